import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {type PoolName, type TargetId} from '../../src/contracts/ids.js';
import {
	TargetReachability,
	type ReachabilityFailure,
} from '../../src/core/routing/target-reachability.js';

const pool = 'p' as PoolName;
const otherPool = 'q' as PoolName;
const probeTimeoutMilliseconds = 400;
const stepMilliseconds = 25;

function targetsOf(count: number, prefix = 't'): TargetId[] {
	return Array.from(
		{length: count},
		(_, index) => `${prefix}${index}` as TargetId,
	);
}

/** A host with targets whose paths can be cut. Probes are answered as the paths allow. */
class Paths {
	readonly clock = new ManualClock();
	readonly reachability = new TargetReachability({clock: this.clock});
	readonly cut = new Map<TargetId, 'silent' | 'refusing'>();
	/** Times at which each probe was sent. */
	readonly probes: Array<{readonly target: TargetId; readonly at: number}> = [];
	private pending: Array<{readonly target: TargetId; readonly endsAt: number}> =
		[];

	constructor(targets: readonly TargetId[], name = pool) {
		for (const target of targets) {
			this.reachability.addTarget(target, name);
		}

		for (const target of targets) {
			this.reachability.recordConnection(target);
		}
	}

	/** Sends a request, which is answered at once if the target is reached. */
	request(target: TargetId): void {
		this.reachability.recordSent(target);
		if (!this.cut.has(target)) {
			this.reachability.recordData(target);
		}
	}

	/** Runs for a time with a request in each interval, to the targets in turn, and returns when the condition became true. */
	run(
		milliseconds: number,
		targets: readonly TargetId[],
		{
			interval,
			until = () => false,
		}: {readonly interval: number; readonly until?: () => boolean},
	): number | undefined {
		const startedAt = this.clock.monotonic();
		let requests = 0;
		for (;;) {
			const elapsed = this.clock.monotonic() - startedAt;
			if (until()) {
				return elapsed;
			}

			if (elapsed >= milliseconds) {
				return undefined;
			}

			if (elapsed >= (requests + 1) * interval) {
				this.request(targets[requests % targets.length]!);
				requests++;
			}

			this.step();
		}
	}

	private step(): void {
		this.clock.advance(stepMilliseconds);
		const now = this.clock.monotonic();
		const ended = this.pending.filter(({endsAt}) => endsAt <= now);
		this.pending = this.pending.filter(({endsAt}) => endsAt > now);
		for (const {target} of ended) {
			this.reachability.recordFailure(target, 'connect-timeout');
		}

		for (const target of this.reachability.takeProbes()) {
			this.probes.push({target, at: now});
			const state = this.cut.get(target);
			if (state === undefined) {
				this.reachability.recordConnection(target);
			} else if (state === 'refusing') {
				this.reachability.recordFailure(target, 'connection-refused');
			} else {
				this.pending.push({target, endsAt: now + probeTimeoutMilliseconds});
			}
		}
	}
}

const cuts = [
	{count: 1, interval: 200, state: 'silent', within: 1500},
	{count: 2, interval: 200, state: 'silent', within: 1500},
	{count: 6, interval: 200, state: 'silent', within: 1500},
	{count: 40, interval: 200, state: 'silent', within: 1500},
	{count: 6, interval: 200, state: 'refusing', within: 1500},
	{count: 6, interval: 1000, state: 'silent', within: 2500},
	{count: 40, interval: 1000, state: 'silent', within: 2500},
	{count: 6, interval: 1000, state: 'refusing', within: 2500},
] as const;

// Guards against a host that goes on to accept requests for targets that it does not reach.
for (const {count, interval, state, within} of cuts) {
	test(`a cut from ${count} ${state} targets is found within ${within} ms with a request every ${interval} ms`, () => {
		const targets = targetsOf(count);
		const paths = new Paths(targets);
		paths.run(3000, targets, {interval});
		assert.equal(paths.reachability.isCutOff(pool), false);
		for (const target of targets) {
			paths.cut.set(target, state);
		}

		const found = paths.run(within, targets, {
			interval,
			until: () => paths.reachability.isCutOff(pool),
		});
		assert.notEqual(found, undefined);

		paths.run(10_000, targets, {interval});
		assert.equal(paths.reachability.isCutOff(pool), true);
		const sent = paths.probes.length;
		paths.run(10_000, [], {interval: Number.POSITIVE_INFINITY});
		assert.ok(paths.probes.length - sent <= 21, 'More than 2 probes a second.');
		paths.cut.clear();
		const reached = paths.run(1000, [], {
			interval: Number.POSITIVE_INFINITY,
			until: () => !paths.reachability.isCutOff(pool),
		});
		assert.notEqual(reached, undefined);
	});
}

// Guards against a pool that waits for its turn while another one is cut off in the same moment.
test('a cut from two pools is found and ends for both in time', () => {
	const first = targetsOf(6);
	const second = targetsOf(4, 'u');
	const paths = new Paths(first);
	for (const target of second) {
		paths.reachability.addTarget(target, otherPool);
		paths.reachability.recordConnection(target);
	}

	const mixed = [first[0]!, second[0]!, first[1]!, second[1]!];
	paths.run(2000, mixed, {interval: 100});
	for (const target of [...first, ...second]) {
		paths.cut.set(target, 'silent');
	}

	const cutOff = () => paths.reachability.cutOffPools().length;
	const found = paths.run(1500, mixed, {
		interval: 100,
		until: () => cutOff() === 2,
	});
	assert.notEqual(found, undefined);
	paths.run(5000, mixed, {interval: 100});
	paths.cut.clear();
	const reached = paths.run(1000, [], {
		interval: Number.POSITIVE_INFINITY,
		until: () => cutOff() === 0,
	});
	assert.notEqual(reached, undefined);
});

// Guards against an owner without requests that keeps its lease behind a cut.
test('a cut is found without any request', () => {
	const targets = targetsOf(6);
	const paths = new Paths(targets);
	for (const target of targets) {
		paths.cut.set(target, 'silent');
	}

	const found = paths.run(4000, [], {
		interval: Number.POSITIVE_INFINITY,
		until: () => paths.reachability.isCutOff(pool),
	});
	assert.notEqual(found, undefined);
});

// Guards against a host that gives up a pool of which it reaches a part.
for (const {count, dead} of [
	{count: 2, dead: 1},
	{count: 3, dead: 1},
	{count: 6, dead: 2},
	{count: 9, dead: 3},
]) {
	for (const state of ['silent', 'refusing'] as const) {
		test(`${dead} ${state} of ${count} targets are no cut`, () => {
			const targets = targetsOf(count);
			const paths = new Paths(targets);
			for (const target of targets.slice(0, dead)) {
				paths.cut.set(target, state);
			}

			// All requests go to the targets that do not answer.
			const found = paths.run(30_000, targets.slice(0, dead), {
				interval: 200,
				until: () => paths.reachability.isCutOff(pool),
			});
			assert.equal(found, undefined);
		});
	}
}

// Guards against slow answers that count as lost paths, and against a flood of probes for them.
test('targets that answer late but accept connections are no cut and are probed about twice a second', () => {
	const targets = targetsOf(6);
	const paths = new Paths(targets);
	const startedAt = paths.clock.monotonic();
	for (let round = 0; round < 100; round++) {
		paths.reachability.recordSent(targets[round % 6]!);
		paths.run(200, [], {interval: Number.POSITIVE_INFINITY});
		assert.equal(paths.reachability.isCutOff(pool), false);
	}

	const seconds = (paths.clock.monotonic() - startedAt) / 1000;
	assert.ok(paths.probes.length > 0);
	assert.ok(paths.probes.length <= 2 * seconds + 8);
});

// Guards against a reset or silent connection of a pool with one target, which says nothing about new connections.
test('lost attempts alone do not cut off a pool', () => {
	for (const count of [1, 2, 6]) {
		const targets = targetsOf(count);
		const paths = new Paths(targets);
		paths.clock.advance(1300);
		for (const target of targets) {
			paths.reachability.recordLostAttempt(target);
			paths.reachability.recordFailure(target, 'connection-reset');
		}

		assert.equal(paths.reachability.isCutOff(pool), false);
	}
});

// Guards against a state that changes with each answer while open connections serve and new ones are refused.
test('a pool whose open connections serve is not cut off by refused connections', () => {
	const targets = targetsOf(6);
	const paths = new Paths(targets);
	for (let round = 0; round < 20; round++) {
		paths.clock.advance(200);
		for (const target of targets) {
			paths.reachability.recordFailure(target, 'connection-refused');
		}

		assert.equal(paths.reachability.isCutOff(pool), false);
		paths.reachability.recordData(targets[round % 6]!);
	}
});

// Guards against a host that believes to reach a pool whose targets send it reports, but accept no connection for requests.
test('a pool of which only reports arrive is cut off, and reports do not end that', () => {
	const targets = targetsOf(2);
	const {clock, reachability} = new Paths(targets);
	const pass = () => {
		clock.advance(100);
		for (const target of targets) {
			reachability.recordFailure(target, 'connection-refused');
			reachability.recordReportData(target);
		}
	};

	for (let round = 0; round < 4; round++) {
		assert.equal(reachability.isCutOff(pool), false);
		pass();
	}

	assert.equal(reachability.isCutOff(pool), true);
	pass();
	assert.equal(reachability.isCutOff(pool), true);
	reachability.recordData(targets[0]!);
	assert.equal(reachability.isCutOff(pool), false);
});

// Guards against a process that is taken for ended although its reports arrive.
test('a report refutes that the process of its target has ended', () => {
	const targets = targetsOf(2);
	const {reachability} = new Paths(targets);
	const decisions: boolean[] = [];
	reachability.judgeRefusal(targets[0]!, (isProof) => {
		decisions.push(isProof);
	});
	reachability.recordReportData(targets[0]!);
	reachability.recordConnection(targets[1]!);
	assert.deepEqual(decisions, [false]);
});

// Guards against failures that began before the last contact, as of a target that hung before the others.
test('a connect timeout that began before the last contact does not count', () => {
	const targets = targetsOf(2);
	const paths = new Paths(targets);
	paths.clock.advance(300);
	paths.reachability.recordData(targets[0]!);
	paths.clock.advance(100);
	paths.reachability.recordFailure(targets[0]!, 'connect-timeout');
	paths.reachability.recordFailure(targets[1]!, 'connect-timeout');
	assert.equal(paths.reachability.isCutOff(pool), false);
});

test('changes are published once, also when the last target of a cut off pool is removed', () => {
	const [target] = targetsOf(1);
	const paths = new Paths([target!]);
	const changes: boolean[] = [];
	paths.reachability.changed.subscribe((name) => {
		changes.push(paths.reachability.isCutOff(name));
	});
	paths.clock.advance(400);
	paths.reachability.recordFailure(target!, 'connection-refused');
	paths.reachability.recordFailure(target!, 'connection-refused');
	assert.deepEqual(paths.reachability.evidence(pool)?.failures, {
		'connection-refused': 2,
	});
	paths.reachability.recordData(target!);
	paths.reachability.recordFailure(target!, 'connection-refused');
	assert.equal(paths.reachability.isCutOff(pool), false);
	paths.clock.advance(400);
	paths.reachability.takeProbes();
	paths.reachability.removeTarget(target!);
	assert.deepEqual(changes, [true, false, true, false]);
});

// Guards against innocent requests blamed for targets that run behind cut paths, and against crashes that nobody counts.
test('a refused connection is proof only when another target of the pool accepts a new connection', () => {
	const cases: Array<{
		readonly name: string;
		readonly expected: boolean;
		readonly act: (paths: Paths, targets: readonly TargetId[]) => void;
	}> = [
		{
			name: 'another target accepts',
			expected: true,
			act({reachability}, [, other]) {
				reachability.recordConnection(other!);
			},
		},
		{
			name: 'another target sends data on an old connection',
			expected: false,
			act(paths, [, other]) {
				paths.reachability.recordData(other!);
				paths.clock.advance(1500);
				paths.reachability.takeProbes();
			},
		},
		{
			name: 'the target itself sends data',
			expected: false,
			act({reachability}, [refusing, other]) {
				reachability.recordData(refusing!);
				reachability.recordConnection(other!);
			},
		},
		{
			name: 'the target itself accepts',
			expected: false,
			act({reachability}, [refusing]) {
				reachability.recordConnection(refusing!);
			},
		},
		{
			name: 'the others refuse too',
			expected: false,
			act({reachability}, [, ...others]) {
				for (const other of others) {
					reachability.recordFailure(other, 'connection-refused');
				}

				reachability.recordConnection(others[0]!);
			},
		},
		{
			name: 'the target is removed',
			expected: false,
			act({reachability}, [refusing]) {
				reachability.removeTarget(refusing!);
			},
		},
	];
	for (const {name, expected, act} of cases) {
		const targets = targetsOf(6);
		const paths = new Paths(targets);
		const decisions: boolean[] = [];
		paths.clock.advance(400);
		paths.reachability.recordFailure(targets[0]!, 'connection-refused');
		paths.reachability.judgeRefusal(targets[0]!, (isProof) => {
			decisions.push(isProof);
		});
		assert.deepEqual(decisions, [], name);
		act(paths, targets);
		assert.deepEqual(decisions, [expected], name);
	}
});

test('a refusal is discarded at once while the pool is cut off, and proof for a target that is not listed', () => {
	const [target] = targetsOf(1);
	const {clock, reachability} = new Paths([target!]);
	const decisions: boolean[] = [];
	const decide = (isProof: boolean) => {
		decisions.push(isProof);
	};

	clock.advance(400);
	reachability.recordFailure(target!, 'connection-refused');
	reachability.judgeRefusal(target!, decide);
	reachability.judgeRefusal('unlisted' as TargetId, decide);
	assert.deepEqual(decisions, [false, true]);
});

type Event =
	| {readonly kind: 'contact'; readonly target: number}
	| {
			readonly kind: 'failure';
			readonly target: number;
			readonly failure: ReachabilityFailure;
	  }
	| {readonly kind: 'sent'; readonly target: number}
	| {readonly kind: 'refused'; readonly target: number}
	| {readonly kind: 'wait'; readonly milliseconds: number}
	| {readonly kind: 'probes'};

const eventArbitrary: fc.Arbitrary<Event> = fc.oneof(
	fc.record({kind: fc.constant('contact' as const), target: fc.nat(5)}),
	fc.record({
		kind: fc.constant('failure' as const),
		target: fc.nat(5),
		failure: fc.constantFrom<ReachabilityFailure[]>(
			'connect-timeout',
			'connect-error',
			'connection-refused',
			'no-progress',
			'connection-reset',
		),
	}),
	fc.record({kind: fc.constant('sent' as const), target: fc.nat(5)}),
	fc.record({kind: fc.constant('refused' as const), target: fc.nat(5)}),
	fc.record({
		kind: fc.constant('wait' as const),
		milliseconds: fc.nat(2000),
	}),
	fc.record({kind: fc.constant('probes' as const)}),
);

// Guards against orders of events that cut off a pool without failures of several targets, or keep it cut off after a
// contact, and against refusals that are decided twice or never.
test('in any order of events, a pool is cut off only after failures of enough targets and until the next contact', () => {
	fc.assert(
		fc.property(
			fc.integer({min: 1, max: 6}),
			fc.array(eventArbitrary, {maxLength: 120}),
			(count, events) => {
				const targets = targetsOf(count);
				const {clock, reachability} = new Paths(targets);
				const failing = new Set<TargetId>();
				let judged = 0;
				let decided = 0;
				let published = false;
				const decide = (isProof: boolean) => {
					decided++;
					assert.equal(isProof, false);
				};

				reachability.changed.subscribe((name) => {
					published = reachability.isCutOff(name);
				});
				for (const event of events) {
					if (event.kind === 'wait') {
						clock.advance(event.milliseconds);
						continue;
					}

					if (event.kind === 'probes') {
						const probes = reachability.takeProbes();
						assert.ok(probes.length <= 8);
						assert.equal(new Set(probes).size, probes.length);
						continue;
					}

					const target = targets[event.target % count]!;
					switch (event.kind) {
						case 'contact': {
							reachability.recordData(target);
							failing.clear();
							assert.equal(reachability.isCutOff(pool), false);
							break;
						}

						case 'failure': {
							reachability.recordFailure(target, event.failure);
							failing.add(target);
							break;
						}

						case 'sent': {
							reachability.recordSent(target);
							break;
						}

						case 'refused': {
							judged++;
							reachability.judgeRefusal(target, decide);
							break;
						}
					}

					assert.equal(published, reachability.isCutOff(pool));
					assert.ok(
						!reachability.isCutOff(pool) ||
							failing.size >= (count <= 2 ? count : Math.floor(count / 3) + 1),
					);
				}

				clock.advance(1500);
				reachability.takeProbes();
				assert.equal(decided, judged);
			},
		),
		{seed: 20_261_205, numRuns: 500},
	);
});
