import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {type CallerId, type HostId} from '../../src/contracts/ids.js';
import {AdmissionPolicy} from '../../src/core/admission/admission-policy.js';
import {CallerLimiter} from '../../src/core/admission/caller-limiter.js';

const step = fc.oneof(
	fc.record({kind: fc.constant('admit' as const), caller: fc.nat(2)}),
	fc.record({kind: fc.constant('release' as const), caller: fc.nat(2)}),
	fc.record({
		kind: fc.constant('peer' as const),
		host: fc.nat(2),
		counts: fc.array(fc.nat(3), {minLength: 3, maxLength: 3}),
	}),
	fc.record({kind: fc.constant('wait' as const), milliseconds: fc.nat(4000)}),
);

const idle = {
	remainingMilliseconds: 1000,
	expectedMilliseconds: 10,
	workAheadMilliseconds: 0,
	runningRequests: 0,
};

for (const mode of ['disabled', 'monitor', 'enforced'] as const) {
	// Guards against admission above the limit, refusals in mode monitor, and counts of silent peers that never expire.
	test(`caller limits in mode ${mode} match the sum of local and peer counts`, () => {
		fc.assert(
			fc.property(
				fc.array(step, {maxLength: 120}),
				fc.nat(6),
				(steps, limit) => {
					const clock = new ManualClock();
					const limiter = new CallerLimiter({
						clock,
						settings: {mode, maximumConcurrentPerCaller: limit},
					});
					const policy = new AdmissionPolicy({clock, limiter});
					const localCounts = [0, 0, 0];
					const peers = new Map<number, {counts: number[]; at: number}>();
					const expectedInFlight = (caller: number) =>
						[...peers.values()]
							.filter(({at}) => clock.monotonic() - at <= 5000)
							.reduce(
								(total, {counts}) => total + counts[caller]!,
								localCounts[caller]!,
							);
					for (const each of steps) {
						switch (each.kind) {
							case 'wait': {
								clock.advance(each.milliseconds);

								break;
							}

							case 'peer': {
								peers.set(each.host, {
									counts: each.counts,
									at: clock.monotonic(),
								});
								limiter.applyPeerCounts(
									`h${each.host}` as HostId,
									new Map(
										each.counts.map((count, caller) => [
											`c${caller}` as CallerId,
											count,
										]),
									),
								);

								break;
							}

							case 'release': {
								policy.release(`c${each.caller}` as CallerId);
								localCounts[each.caller] = Math.max(
									0,
									localCounts[each.caller]! - 1,
								);

								break;
							}

							case 'admit': {
								const caller = `c${each.caller}` as CallerId;
								const isOver =
									limit > 0 && expectedInFlight(each.caller) >= limit;
								const result = policy.admit({...idle, caller});
								assert.equal(result.isErr(), isOver && mode === 'enforced');
								if (result.isOk()) {
									localCounts[each.caller]!++;
									assert.equal(
										result.value.isOverLimit,
										isOver && mode === 'monitor',
									);
								} else {
									assert.equal(result.error.code, 'caller-limit');
									assert.equal(result.error.countsAsDemand, false);
								}

								assert.equal(
									limiter.inFlight(caller),
									expectedInFlight(each.caller),
								);
							}
						}
					}
				},
			),
			{seed: 23, numRuns: 300},
		);
	});
}

const cases: Array<
	readonly [string, Partial<typeof idle>, string | undefined]
> = [
	['no work ahead', {}, undefined],
	['a deadline that is too close', {remainingMilliseconds: 5}, 'deadline'],
	['a short queue', {workAheadMilliseconds: 4000}, undefined],
	[
		'a queue longer than the deadline allows',
		{workAheadMilliseconds: 40_000},
		'overload',
	],
	[
		'a queue that many requests in flight will drain',
		{workAheadMilliseconds: 40_000, runningRequests: 200},
		undefined,
	],
];
for (const [name, changes, code] of cases) {
	// Guards against admitting work that would miss its deadline, and against refusing work that would meet it.
	test(`admission with ${name}`, () => {
		const clock = new ManualClock();
		const policy = new AdmissionPolicy({
			clock,
			limiter: new CallerLimiter({clock}),
		});
		// Ten slots of work are drained for five seconds.
		for (let turn = 0; turn < 500; turn++) {
			clock.advance(10);
			policy.recordDispatch(100);
		}

		const result = policy.admit({...idle, ...changes, caller: 'c' as CallerId});
		const refusal = result.isErr() ? result.error : undefined;
		assert.equal(refusal?.code, code);
		assert.equal(refusal?.countsAsDemand ?? true, true);
	});
}
