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

/** Reports every incarnation as live. */
class AlwaysLiveDirectory extends IncarnationDirectory {
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
		incarnations: new AlwaysLiveDirectory(),
		idempotencyWindowMilliseconds: () => 168 * hour,
		claimTimeoutMilliseconds: 5000,
		settlementTimeoutMilliseconds: 10,
	});
	claims.start();
	const lease = {isHeld: true};
	const task = new ClaimCarryForwardTask({
		...common,
		claims,
		retentionMilliseconds: 24 * hour,
		holdsLease: () => lease.isHeld,
	});
	let requests = 0;
	return {
		clock,
		claims,
		task,
		lease,
		async claim(key: string) {
			await waitUntil(
				() => claims.isReady,
				'the host to begin reading the claims',
			);
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

test('a claim is carried forward at half of the retention time, only by the lease holder and only once', async () => {
	const fixture = setUp();
	try {
		await fixture.claim('booking-0001');
		fixture.clock.advance(11 * hour);
		await fixture.claim('booking-0002');
		assert.equal(await fixture.task.tick(), 0);
		fixture.clock.advance(2 * hour);
		fixture.lease.isHeld = false;
		assert.equal(await fixture.task.tick(), 0);
		fixture.lease.isHeld = true;
		assert.equal(await fixture.task.tick(), 1);
		assert.equal(await fixture.task.tick(), 0);
	} finally {
		await fixture.dispose();
	}
});

// Without the check, a key could run again after its claim expired. A key whose outcome is still recorded must receive
// that outcome although its creation time lies before the window.
test('a time-ordered key from before the window is refused unless its outcome is recorded', async () => {
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
		const recorded = await fixture.claim(young);
		assert.equal(recorded.kind, 'settled');
		fixture.clock.advance(100 * hour);
		const expired = await fixture.claim(young);
		assert.equal(expired.kind, 'expired');
	} finally {
		await fixture.dispose();
	}
});
