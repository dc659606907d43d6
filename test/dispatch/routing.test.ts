import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type AdapterId,
	type RequestId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {HedgingPolicy} from '../../src/core/routing/hedging-policy.js';
import {OutlierDetector} from '../../src/core/routing/outlier-detector.js';
import {PrefixAffinity} from '../../src/core/routing/prefix-affinity.js';
import {RetryBudget} from '../../src/core/limits/retry-budget.js';
import {
	LeastOutstandingPolicy,
	LoadAwarePolicy,
	RoundRobinPolicy,
	TwoChoicesPolicy,
	type RoutingCandidate,
} from '../../src/core/routing/routing-policy.js';
import {TargetLoadTracker} from '../../src/core/routing/target-load-tracker.js';

const id = (name: string) => name as TargetId;

function candidate(
	name: string,
	changes: Partial<RoutingCandidate> = {},
): RoutingCandidate {
	return {
		target: id(name),
		slots: 8,
		localOutstanding: 0,
		remoteOutstanding: 0,
		weight: 1,
		speed: 1,
		isProbeDue: false,
		affinity: 0,
		...changes,
	};
}

const random = () => new SeededRandomSource(1);

// Each row guards against a policy that ignores the property it names.
const choices: Array<
	readonly [string, RoutingCandidate[], string, {idempotent: boolean}?]
> = [
	['local load', [candidate('a', {localOutstanding: 5}), candidate('b')], 'b'],
	[
		'remote load',
		[candidate('a', {remoteOutstanding: 5}), candidate('b')],
		'b',
	],
	['the number of slots', [candidate('a', {slots: 2}), candidate('b')], 'b'],
	['speed', [candidate('a', {speed: 0.2}), candidate('b')], 'b'],
	[
		'ejection',
		[candidate('a', {weight: 0}), candidate('b', {localOutstanding: 7})],
		'b',
	],
	['a single target that is ejected', [candidate('a', {weight: 0})], 'a'],
	[
		'a probe that is due',
		[candidate('a', {weight: 0, isProbeDue: true}), candidate('b')],
		'a',
	],
	[
		'the ban on probes with non-idempotent requests',
		[candidate('a', {weight: 0, isProbeDue: true}), candidate('b')],
		'b',
		{idempotent: false},
	],
	[
		'affinity below the load bound',
		[
			candidate('a', {affinity: 1, localOutstanding: 4}),
			candidate('b', {localOutstanding: 3}),
		],
		'a',
	],
	[
		'affinity above the load bound',
		[candidate('a', {affinity: 1, localOutstanding: 8}), candidate('b')],
		'b',
	],
];
for (const [name, candidates, expected, request] of choices) {
	test(`the load-aware policy takes into account ${name}`, () => {
		const policy = new LoadAwarePolicy({random: random()});
		const chosen = policy.choose(candidates, request ?? {idempotent: true});
		assert.equal(chosen?.target, expected);
	});
}

// Guards against an exception or an invalid target when a pool is empty.
test('every policy returns undefined without candidates', () => {
	for (const policy of [
		new RoundRobinPolicy({random: random()}),
		new LeastOutstandingPolicy({random: random()}),
		new TwoChoicesPolicy({random: random()}),
		new LoadAwarePolicy({random: random()}),
	]) {
		assert.equal(policy.choose([], {idempotent: true}), undefined);
	}
});

// Guards against counting local requests twice, applying reports out of order, and trusting a single wrong report.
test('the load tracker subtracts local requests from late reports and ages the reports', () => {
	const clock = new ManualClock();
	const view = new TargetLoadTracker({
		clock,
		reportHalfLifeMilliseconds: 500,
		smoothingFactor: 1,
	});
	view.setTarget(id('a'), 8);
	view.setTarget(id('b'), 8);
	view.startRequest(id('a'), 'r1' as RequestId, false);
	clock.advance(1000);
	view.startRequest(id('a'), 'r2' as RequestId, true);
	const report = {
		target: id('a'),
		incarnation: 'one' as never,
		sequence: 5,
		leaving: false,
		running: 4,
		queued: 1,
		slots: 8,
	};
	assert.ok(view.applyReport(report, 500));
	assert.equal(
		view.applyReport({...report, sequence: 4, running: 0}, 0),
		false,
	);
	let [load] = view.loads();
	assert.equal(load?.localOutstanding, 2);
	assert.equal(load.localLong, 1);
	// One of the five reported requests was local when the report was measured.
	assert.equal(load.remoteOutstanding, 4);
	assert.ok(view.applyReport({...report, sequence: 6, running: 9999}, 0));
	[load] = view.loads();
	assert.equal(load?.remoteOutstanding, 30);
	clock.advance(60_000);
	assert.ok(view.loads().every((each) => each.remoteOutstanding < 0.01));
	assert.equal(view.endRequest(id('a'), 'r2' as RequestId), true);
	assert.equal(view.endRequest(id('a'), 'r2' as RequestId), false);
	assert.equal(view.loads()[0]?.localLong, 0);
});

// Guards against ejecting the whole pool, ejecting for ever, and ejecting a target that is as slow as its peers.
test('the outlier detector ejects a bounded share of slow targets and restores them after probes', () => {
	const clock = new ManualClock();
	const detector = new OutlierDetector({clock});
	const names = ['a', 'b', 'c', 'd', 'e', 'f'].map(id);
	for (const name of names) {
		detector.addTarget(name);
	}

	const observeAll = (slow: readonly string[], factor: number) => {
		for (let round = 0; round < 20; round++) {
			clock.advance(25);
			for (const name of names) {
				const time = slow.includes(name) ? 20 * factor : 20;
				detector.observe(name, 'between-tokens', time);
			}
		}
	};

	observeAll([], 1);
	assert.equal(detector.ejectedCount, 0);
	observeAll(['a', 'b', 'c'], 5);
	assert.equal(detector.ejectedCount, 2);
	assert.equal(detector.health(id('f')).weight, 1);
	clock.advance(300);
	const ejected = names.find((name) => detector.health(name).weight === 0)!;
	assert.ok(detector.health(ejected).isProbeDue);
	detector.recordProbe(ejected);
	assert.equal(detector.health(ejected).isProbeDue, false);
	detector.observe(ejected, 'between-tokens', 20);
	assert.equal(detector.health(ejected).weight, 0.25);
	detector.observe(ejected, 'between-tokens', 20);
	assert.equal(detector.observe(ejected, 'between-tokens', 20), 'restored');
	observeAll(names, 5);
	observeAll(names, 5);
	clock.advance(30_000);
	observeAll(names, 5);
	assert.equal(detector.ejectedCount, 0);
});

// Guards against affinity for prefixes whose eviction was lost, and against applying repeated or late events.
test('prefix affinity follows cache events with gaps', () => {
	const clock = new ManualClock();
	const affinity = new PrefixAffinity({clock, timeToLiveMilliseconds: 1000});
	const a = id('a');
	const stored = (sequence: number, prefix: string) =>
		({sequence, kind: 'stored', prefix}) as const;
	affinity.applyCacheEvents(a, [stored(1, 'long'), stored(0, 'short')]);
	assert.equal(affinity.affinity(a, ['long', 'short']), 0.5);
	assert.equal(affinity.affinity(a, ['other', 'short']), 0.25);
	affinity.applyCacheEvents(a, [stored(1, 'repeated')]);
	assert.equal(affinity.affinity(a, ['repeated']), 0);
	affinity.applyCacheEvents(a, [stored(9, 'new')]);
	assert.equal(affinity.nextSequence(a), 10);
	assert.equal(affinity.affinity(a, ['long']), 0.25);
	assert.equal(affinity.affinity(a, ['new']), 0.5);
	affinity.setAdapters(a, ['x' as AdapterId]);
	assert.equal(affinity.affinity(a, ['new'], 'x' as AdapterId), 1);
	clock.advance(1000);
	assert.equal(affinity.affinity(a, ['new']), 0);
	affinity.applyCacheEvents(a, [{sequence: 10, kind: 'cleared', prefix: ''}]);
	assert.equal(affinity.affinity(a, ['long']), 0);
});

// Guards against hedges that run non-idempotent or suspect requests twice, or exceed the retry budget.
test('hedging requires an idempotent request, a wait beyond the quantile and budget', () => {
	const clock = new ManualClock();
	const budget = new RetryBudget({clock, minimumPerSecond: 0, capacity: 1});
	const hedging = new HedgingPolicy({clock, budget});
	const hedgeCandidate = {
		idempotent: true,
		suspect: false,
		alreadyHedged: false,
		waitedMilliseconds: 100,
	};
	assert.equal(hedging.tryHedge(hedgeCandidate), false);
	for (let time = 1; time <= 100; time++) {
		hedging.recordFirstToken(time / 2);
	}

	const refused = [
		{idempotent: false},
		{suspect: true},
		{alreadyHedged: true},
		{waitedMilliseconds: 40},
	];
	for (const change of refused) {
		assert.equal(hedging.tryHedge({...hedgeCandidate, ...change}), false);
	}

	assert.equal(hedging.tryHedge(hedgeCandidate), true);
	assert.equal(hedging.tryHedge(hedgeCandidate), false);
});

// Guards against targets that get less work after the paths to them have returned, because attempts were lost on the way.
test('after a reset, the outlier detector restores all targets and compares new samples only', () => {
	const clock = new ManualClock();
	const detector = new OutlierDetector({clock});
	const names = ['a', 'b', 'c'].map(id);
	for (const name of names) {
		detector.addTarget(name);
	}

	for (let round = 0; round < 20; round++) {
		clock.advance(25);
		for (const name of names) {
			detector.observe(name, 'first-token', name === 'a' ? 3000 : 100);
		}
	}

	assert.equal(detector.health(id('a')).weight, 0);
	detector.reset();
	assert.equal(detector.ejectedCount, 0);
	assert.deepEqual(detector.reducedTargets(), []);
	for (let round = 0; round < 20; round++) {
		clock.advance(25);
		for (const name of names) {
			detector.observe(name, 'first-token', 100);
		}
	}

	assert.deepEqual(detector.health(id('a')), {
		weight: 1,
		speed: 1,
		isProbeDue: false,
	});
});
