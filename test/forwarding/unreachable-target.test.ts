import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	NullEventLogger,
	type EventLogger,
} from '../../src/base/common/event-logger.js';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {PolledQueue} from '../../src/base/node/polled-queue.js';
import {
	type FailureDomain,
	type Fingerprint,
	type HostId,
	type PoolName,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {
	CrashCorrelation,
	type ObservedRequest,
} from '../../src/core/crashes/crash-correlation.js';
import {NamedRateLimits} from '../../src/core/limits/named-rate-limits.js';
import {PermitBook} from '../../src/core/limits/permit-book.js';
import {PlatformRequestCodec} from '../../src/platform/request-codec.js';
import {BrittleObserver} from '../../src/services/forwarding/targets/brittle-observer.js';
import {CrashObserver} from '../../src/services/forwarding/targets/crash-observer.js';
import {ForwardDispatch} from '../../src/services/forwarding/attempts/forward-dispatch.js';
import {type ForwardedRequest} from '../../src/services/forwarding/attempts/forwarded-request.js';
import {TargetRegistry} from '../../src/services/forwarding/targets/target-registry.js';
import {createSharing} from './stream-sharing.js';

const pool = 'p' as PoolName;
const targets = ['t1', 't2', 't3'] as TargetId[];
const observed: ObservedRequest = {
	id: 'r' as RequestId,
	fingerprint: 'f' as Fingerprint,
	promptParts: [],
};

function createDispatch(clock: ManualClock, crashes: CrashObserver) {
	const events: EventLogger = new NullEventLogger();
	const rateLimits = new NamedRateLimits({clock});
	return new ForwardDispatch({
		pool,
		host: 'h' as HostId,
		failureDomain: 'z' as FailureDomain,
		clock,
		random: new SeededRandomSource(1),
		events,
		codec: new PlatformRequestCodec(),
		registry: new TargetRegistry({clock, events}),
		retries: {ratio: 0.2, slack: 56, windowMilliseconds: 10_000, hosts: 8},
		crashes,
		rateLimits,
		permits: new PermitBook({clock, limits: rateLimits}),
		brittle: new BrittleObserver({
			clock,
			random: new SeededRandomSource(6),
			events: new NullEventLogger(),
			hostCount: () => 1,
		}),
		streams: createSharing(clock).sharing,
		mayBegin: () => true,
		polls: new PolledQueue(clock),
		targetListAge: () => 0,
		stopRetryMilliseconds: 500,
		maximumBodyBytes: 1000,
	});
}

// Guards against targets that are frozen or cut off being taken for crashed, which blames the requests that they hold.
test('a target that does not accept a connection in time is not dead, and one that refuses it is', () => {
	for (const isConnectionRefused of [false, true]) {
		const clock = new ManualClock();
		const crashes = new CrashObserver({
			crashes: new CrashCorrelation({clock}),
			events: new NullEventLogger(),
			metrics: new NullMetricRegistry(),
			mayTry: () => false,
		});
		const dispatch = createDispatch(clock, crashes);
		for (const target of targets) {
			clock.advance(100);
			crashes.recordLostRequest(
				target,
				`${target}@1` as TargetIncarnation,
				observed,
			);
			dispatch.recordFailure(
				{metadata: {id: observed.id}, eventCount: 0} as ForwardedRequest,
				{request: observed.id, attempt: 1, target},
				{kind: 'unreached', reason: 'connect', isConnectionRefused},
			);
		}

		assert.equal(crashes.isQuarantined(observed), isConnectionRefused);
		dispatch.dispose();
	}
});
