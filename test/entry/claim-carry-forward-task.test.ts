import assert from 'node:assert/strict';
import {test} from 'node:test';
import {v7 as timeOrderedUuid} from 'uuid';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type CallerId,
	type HostId,
	type IdempotencyKey,
	type IncarnationId,
	type RequestId,
} from '../../src/contracts/ids.js';
import {ClaimCarryForwardTask} from '../../src/services/entry/claim-carry-forward-task.js';
import {
	ClaimManager,
	IncarnationDirectory,
} from '../../src/services/entry/claim-manager.js';
import {LogClaimAppender} from '../../src/services/entry/log-claim-appender.js';
import {RecordAppender} from '../../src/services/record-appender.js';
import {MemoryLogService} from '../../src/stand-ins/memory-log-service.js';
import {waitUntil} from '../agreement/harness.js';

const hour = 3_600_000;
const start = 1000 * hour;

class AllLive extends IncarnationDirectory {
	isLive(): boolean {
		return true;
	}
}

function setUp() {
	const log = new MemoryLogService();
	const clock = new ManualClock(start);
	const common = {
		clock,
		random: new SeededRandomSource(1),
		events: new NullEventLogger(),
		metrics: new NullMetricRegistry(),
	};
	const appender = new RecordAppender({...common, log, stream: 'claims'});
	const claims = new ClaimManager({
		...common,
		host: 'host-1' as HostId,
		incarnation: 'run-1' as IncarnationId,
		log,
		appender: new LogClaimAppender(appender),
		incarnations: new AllLive(),
		idempotencyWindowMilliseconds: () => 168 * hour,
		claimTimeoutMilliseconds: 5000,
		settlementTimeoutMilliseconds: 10,
	});
	claims.start();
	const holder = {holds: true};
	const carrier = new ClaimCarryForwardTask({
		...common,
		claims,
		retentionMilliseconds: 24 * hour,
		holdsLease: () => holder.holds,
	});
	let requests = 0;
	return {
		clock,
		claims,
		carrier,
		holder,
		async claim(key: string) {
			await waitUntil(() => claims.isReady, 'the host reads the claims');
			requests++;
			const request = {
				caller: 'workshop-7' as CallerId,
				key: key as IdempotencyKey,
				bodyDigest: 'body',
				requestId: `request-${requests}` as RequestId,
			};
			const decision = await claims.claim(request);
			return {request, kind: decision._unsafeUnwrap().kind};
		},
		async dispose() {
			claims.dispose();
			await appender.dispose();
		},
	};
}

// Guards against claims that are carried too late, by a host without the lease, or again and again.
test('the lease holder carries a claim once it is half as old as the retention', async () => {
	const fixture = setUp();
	try {
		await fixture.claim('booking-0001');
		fixture.clock.advance(11 * hour);
		await fixture.claim('booking-0002');
		assert.equal(await fixture.carrier.tick(), 0);
		fixture.clock.advance(2 * hour);
		fixture.holder.holds = false;
		assert.equal(await fixture.carrier.tick(), 0);
		fixture.holder.holds = true;
		assert.equal(await fixture.carrier.tick(), 1);
		assert.equal(await fixture.carrier.tick(), 0);
	} finally {
		await fixture.dispose();
	}
});

// Guards against a key that runs again after its claim was forgotten, and against a refusal of a key whose outcome is known.
test('a time-ordered key older than the window is refused unless it is known', async () => {
	const fixture = setUp();
	try {
		const old = timeOrderedUuid({msecs: start - 169 * hour});
		const refused = await fixture.claim(old);
		assert.equal(refused.kind, 'expired');
		const young = timeOrderedUuid({msecs: start - 167 * hour});
		const granted = await fixture.claim(young);
		assert.equal(granted.kind, 'granted');
		await fixture.claims.settle(granted.request, {status: 201});
		fixture.clock.advance(100 * hour);
		const known = await fixture.claim(young);
		assert.equal(known.kind, 'settled');
		fixture.clock.advance(100 * hour);
		const forgotten = await fixture.claim(young);
		assert.equal(forgotten.kind, 'expired');
	} finally {
		await fixture.dispose();
	}
});
