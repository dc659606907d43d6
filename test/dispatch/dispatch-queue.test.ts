import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {
	type CallerId,
	type HostId,
	type OfferingName,
	type RequestId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {
	DispatchQueue,
	type QueuedWork,
	type Urgency,
} from '../../src/core/fairness/dispatch-queue.js';
import {LengthEstimator} from '../../src/core/work/length-estimator.js';
import {SlotPolicy} from '../../src/core/routing/slot-policy.js';
import {type TargetLoad} from '../../src/core/routing/target-load-tracker.js';

const findAnyTarget = () => 'a' as TargetId;

function work(name: string, changes: Partial<QueuedWork> = {}): QueuedWork {
	return {
		request: name as RequestId,
		caller: 'caller' as CallerId,
		urgency: 'standard',
		isLong: false,
		routingKey: 'model',
		expectedMilliseconds: 10,
		deadline: Number.POSITIVE_INFINITY,
		...changes,
	};
}

// Guards against urgent or short work that waits behind other work.
test('work is ordered by urgency, then short before long, then arrival', () => {
	const queue = new DispatchQueue({clock: new ManualClock()});
	for (const urgency of ['deferred', 'standard', 'urgent'] as const) {
		for (const isLong of [true, false]) {
			const name = `${urgency}-${isLong ? 'long' : 'short'}`;
			queue.enqueue(work(name, {urgency, isLong}));
		}
	}

	const order = Array.from(
		{length: 6},
		() => queue.take(findAnyTarget)!.work.request,
	);
	assert.deepEqual(order, [
		'urgent-short',
		'urgent-long',
		'standard-short',
		'standard-long',
		'deferred-short',
		'deferred-long',
	]);
});

// Guards against a caller that fills the queue and starves the others.
test('callers receive equal shares of slot time', () => {
	const queue = new DispatchQueue({clock: new ManualClock()});
	for (let index = 0; index < 90; index++) {
		queue.enqueue(work(`x${index}`, {caller: 'x' as CallerId}));
	}

	for (let index = 0; index < 10; index++) {
		queue.enqueue(
			work(`y${index}`, {caller: 'y' as CallerId, expectedMilliseconds: 30}),
		);
	}

	const first = Array.from(
		{length: 40},
		() => queue.take(findAnyTarget)!.work.caller,
	);
	assert.equal(first.filter((caller) => caller === 'y').length, 10);
});

const urgencies: Urgency[] = ['urgent', 'standard', 'deferred'];
const step = fc.oneof(
	fc.record({
		kind: fc.constant('enqueue' as const),
		caller: fc.nat(3),
		urgency: fc.constantFrom(...urgencies),
		isLong: fc.boolean(),
		routingKey: fc.constantFrom('m1', 'm2'),
		expectedMilliseconds: fc.integer({min: 1, max: 200}),
		slack: fc.oneof(fc.integer({min: 1, max: 4000}), fc.constant(1e9)),
	}),
	fc.record({
		kind: fc.constant('take' as const),
		blocked: fc.constantFrom('', 'm1', 'm2'),
	}),
	fc.record({kind: fc.constant('cancel' as const), index: fc.nat(30)}),
	fc.constant({kind: 'sweep'} as const),
	fc.record({kind: fc.constant('wait' as const), milliseconds: fc.nat(800)}),
);

// Guards against work that is lost, dispatched twice or starved, dispatches without capacity, dispatched infeasible
// work, and dropped feasible work.
test('each request leaves the queue exactly once, and none starves past the aging threshold', () => {
	fc.assert(
		fc.property(fc.array(step, {maxLength: 150}), (steps) => {
			const clock = new ManualClock();
			const agingThreshold = 1000;
			const interval = 3;
			const queue = new DispatchQueue({
				clock,
				agingThresholdMilliseconds: agingThreshold,
				agedDispatchInterval: interval,
			});
			const waiting = new Map<RequestId, {work: QueuedWork; since: number}>();
			const assertLeavesOnce = (request: RequestId) => {
				assert.ok(waiting.delete(request), `${request} left twice`);
			};

			const isInfeasible = (each: QueuedWork) =>
				clock.monotonic() + each.expectedMilliseconds > each.deadline;
			const sweep = () => {
				for (const each of queue.removeInfeasible()) {
					assert.ok(isInfeasible(each));
					assertLeavesOnce(each.request);
				}
			};

			for (const [index, each] of steps.entries()) {
				switch (each.kind) {
					case 'enqueue': {
						const added = work(`r${index}`, {
							...each,
							caller: `c${each.caller}` as CallerId,
							deadline: clock.monotonic() + each.slack,
						});
						assert.ok(queue.enqueue(added).isOk());
						assert.ok(queue.enqueue(added).isErr());
						waiting.set(added.request, {
							work: added,
							since: clock.monotonic(),
						});

						break;
					}

					case 'take': {
						const bound = queue.take((candidate) =>
							candidate.routingKey === each.blocked
								? undefined
								: findAnyTarget(),
						);
						if (bound) {
							assert.notEqual(bound.work.routingKey, each.blocked);
							assert.equal(isInfeasible(bound.work), false);
							assertLeavesOnce(bound.work.request);
						} else {
							sweep();
							assert.ok(
								[...waiting.values()].every(
									(entry) => entry.work.routingKey === each.blocked,
								),
							);
						}

						break;
					}

					case 'cancel': {
						const request = `r${each.index}` as RequestId;
						const expected = waiting.get(request)?.work;
						const cancelled = queue.cancel(request);
						// Infeasible work may have been removed by `take` already; the sweep then returns it.
						if (expected && !isInfeasible(expected)) {
							assert.ok(cancelled);
						}

						if (cancelled) {
							assert.equal(cancelled, expected);
							assertLeavesOnce(request);
						}

						break;
					}

					case 'wait': {
						clock.advance(each.milliseconds);

						break;
					}

					case 'sweep': {
						sweep();
						assert.equal(queue.size, waiting.size);
					}
				}
			}

			sweep();
			assert.equal(queue.size, waiting.size);
			const aged = [...waiting.values()]
				.filter((entry) => clock.monotonic() - entry.since >= agingThreshold)
				.map((entry) => entry.work.request);
			// New urgent work keeps arriving; the aged work must be dispatched nevertheless.
			for (let turn = 0; turn < aged.length * interval; turn++) {
				const name = `young${turn}`;
				queue.enqueue(work(name, {urgency: 'urgent'}));
				waiting.set(name as RequestId, {work: work(name), since: 0});
				assertLeavesOnce(queue.take(findAnyTarget)!.work.request);
			}

			assert.ok(aged.every((request) => !waiting.has(request)));
			while (waiting.size > 0) {
				assertLeavesOnce(queue.take(findAnyTarget)!.work.request);
			}

			assert.equal(queue.size, 0);
			assert.equal(
				queue.workAhead(work('last', {urgency: 'deferred', isLong: true})),
				0,
			);
		}),
		{seed: 21, numRuns: 500},
	);
});

const t = 't' as TargetId;

function slotPolicies(
	hostCount: number,
	slots: ReadonlyArray<readonly [TargetId, number]>,
) {
	const hosts = Array.from(
		{length: hostCount},
		(_, index) => `h${index}` as HostId,
	);
	return hosts.map((host) => {
		const policy = new SlotPolicy({host});
		policy.setHosts(hosts);
		for (const [target, count] of slots) {
			policy.setTarget(target, count);
		}

		return policy;
	});
}

// Guards against long work of several hosts that together fills a target, and against hosts with fewer long slots
// than others.
test('the long slots of each target are divided among the hosts exactly and evenly', () => {
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 12}),
			fc.array(fc.integer({min: 2, max: 64}), {minLength: 1, maxLength: 6}),
			(hostCount, counts) => {
				const all = counts.map(
					(count, index) => [`t${index}` as TargetId, count] as const,
				);
				const policies = slotPolicies(hostCount, all);
				for (const [target, count] of all) {
					const total = policies.reduce(
						(sum, policy) => sum + policy.localLongSlots(target),
						0,
					);
					assert.equal(total, policies[0]!.longSlots(count));
					assert.ok(total < count);
				}

				const sums = policies.map((policy) =>
					all.reduce((sum, [target]) => sum + policy.localLongSlots(target), 0),
				);
				assert.ok(Math.max(...sums) - Math.min(...sums) <= 1);
			},
		),
		{seed: 22},
	);
});

const capacityCases: Array<
	readonly [number, Partial<TargetLoad>, boolean, boolean]
> = [
	[0, {}, false, true],
	[0, {leaving: true}, false, false],
	[0, {localOutstanding: 8}, false, false],
	[0, {localOutstanding: 4, remoteOutstanding: 4}, false, false],
	[0, {localOutstanding: 4, localLong: 4}, true, false],
	[0, {localOutstanding: 4, localLong: 4}, false, true],
	[0, {localOutstanding: 3, localLong: 3}, true, true],
	[0.5, {localOutstanding: 11}, false, true],
	[0.5, {localOutstanding: 12}, false, false],
	[0.5, {localOutstanding: 6, remoteOutstanding: 6}, false, false],
];
const load = (changes: Partial<TargetLoad>): TargetLoad => ({
	target: t,
	slots: 8,
	leaving: false,
	localOutstanding: 0,
	localLong: 0,
	remoteOutstanding: 0,
	...changes,
});
// Guards against a target filled beyond its slots and their overcommit, or beyond its limit of long work. With two
// hosts the share of a host is 4 slots, and above it only the estimated remote load decides.
test('capacity depends on slots, the limit of long work and leaving', () => {
	for (const [overcommitShare, changes, isLong, expected] of capacityCases) {
		const policy = new SlotPolicy({
			host: 'h' as HostId,
			overcommitShare,
		});
		policy.setTarget(t, 8);
		if ((changes.remoteOutstanding ?? 0) > 0) {
			policy.setHosts(['h', 'i'] as HostId[]);
		}

		assert.equal(policy.hasCapacity(load(changes), isLong), expected);
	}
});

// Guards against long work that no host ever runs, and against aged long work that takes slots reserved for short work.
test('aged long work may exceed the long slots only on a host that has none', () => {
	const withoutLongSlots = slotPolicies(9, [[t, 8]]).filter((policy) => {
		const mayExceed = policy.mayExceedLongSlots([load({})]);
		assert.equal(policy.mayExceedLongSlots([load({localLong: 1})]), false);
		assert.equal(mayExceed, policy.localLongSlots(t) === 0);
		return mayExceed;
	});
	assert.equal(withoutLongSlots.length, 5);
});

// Guards against refusing callers with little work because another one floods the queue.
test('of each other caller, only as much work counts ahead as the caller has itself', () => {
	const queue = new DispatchQueue({clock: new ManualClock()});
	for (let index = 0; index < 50; index++) {
		queue.enqueue(work(`x${index}`, {caller: 'x' as CallerId}));
	}

	assert.equal(queue.workAhead(work('y', {caller: 'y' as CallerId})), 10);
	assert.equal(queue.workAhead(work('x', {caller: 'x' as CallerId})), 500);
	const urgent = work('z', {caller: 'y' as CallerId, urgency: 'urgent'});
	assert.equal(queue.workAhead(urgent), 0);
});

// Guards against long work of a known caller in short slots, and against applying the lengths of one caller to another.
test('the length estimator distinguishes long from short work by caller and prompt size', () => {
	const estimator = new LengthEstimator();
	const features = (caller: string, promptCharacters: number) => ({
		caller: caller as CallerId,
		offering: 'talk' as OfferingName,
		promptCharacters,
		maximumTokens: 1024,
	});
	assert.equal(estimator.estimate(features('x', 100)).isLong, false);
	for (let index = 0; index < 40; index++) {
		estimator.observe(features('foreman', 4000), 700);
		estimator.observe(features('foreman', 100), 20);
		estimator.observe(features('picker', 100), 20);
	}

	assert.equal(estimator.estimate(features('foreman', 4000)).isLong, true);
	assert.equal(estimator.estimate(features('foreman', 100)).isLong, false);
	assert.equal(estimator.estimate(features('picker', 100)).isLong, false);
	const {tokens} = estimator.estimate(features('picker', 100));
	assert.ok(tokens > 15 && tokens < 30, `${tokens}`);
	const capped = {...features('foreman', 4000), maximumTokens: 50};
	assert.ok(estimator.estimate(capped).tokens <= 50);
	assert.equal(estimator.estimate(capped).isLong, false);
});
