import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type CallerId,
	type Fingerprint,
	type HostId,
	type ModelId,
	type OfferingName,
	type RequestId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {CallerLimiter} from '../../src/core/caller-limiter.js';
import {SlotPolicy} from '../../src/core/slot-policy.js';
import {RetryBudget} from '../../src/core/retry-budget.js';
import {
	Dispatcher,
	DispatchPort,
	CandidateDirectory,
	type Attempt,
	type Binding,
	type WorkItem,
	type WorkRefusal,
} from '../../src/services/dispatch/dispatcher.js';

const slots = 3;
const targets = ['a', 'b', 'c'] as TargetId[];

/** Keeps what the dispatcher asked for and checks the rules that hold at every moment. */
class RecordingPort extends DispatchPort {
	readonly running = new Map<string, Binding>();
	readonly waiting = new Map<RequestId, WorkItem>();
	readonly mayHaveRun = new Set<RequestId>();
	readonly answers: string[] = [];

	dispatch(binding: Binding): void {
		const {item, request, target} = binding;
		const others = [...this.running.values()];
		assert.ok(this.waiting.has(request), `${request} is not open`);
		assert.ok(others.filter((each) => each.target === target).length < slots);
		const same = others.filter((each) => each.request === request);
		assert.ok(
			same.length === 0 || (item.idempotent && binding.kind === 'hedge'),
		);
		assert.ok(item.idempotent || !this.mayHaveRun.has(request));
		const onTarget = others.filter((each) => each.target === target);
		assert.ok(!item.suspect || onTarget.length === 0);
		assert.ok(onTarget.every((each) => !each.item.suspect));
		this.running.set(`${request}#${binding.attempt}`, binding);
	}

	refuse({item, code}: WorkRefusal): void {
		assert.equal(this.mayHaveRun.has(item.request), false);
		this.answer(item.request, code);
	}

	fail(item: WorkItem): void {
		this.answer(item.request, 'failed');
	}

	demote(): void {
		// The tests send few tokens.
	}

	cancel({request, attempt}: Attempt): void {
		assert.ok(this.running.delete(`${request}#${attempt}`));
		this.mayHaveRun.add(request);
	}

	answer(request: RequestId, how: string): void {
		assert.ok(this.waiting.delete(request), `${request} was answered twice`);
		this.answers.push(`${request} ${how}`);
	}
}

class AllTargets extends CandidateDirectory {
	targetsFor(): readonly TargetId[] {
		return targets;
	}
}

function setUp() {
	const clock = new ManualClock();
	const port = new RecordingPort();
	const host = 'h' as HostId;
	const limiter = new CallerLimiter({clock});
	const dispatcher = new Dispatcher({
		clock,
		random: new SeededRandomSource(3),
		host,
		port,
		directory: new AllTargets(),
		callerLimiter: limiter,
		logger: new NullEventLogger(),
		slotPolicy: new SlotPolicy({host, overcommitShare: 0}),
		retryBudget: new RetryBudget({
			clock,
			capacity: 1000,
			minimumPerSecond: 1000,
		}),
	});
	for (const target of targets) {
		dispatcher.handle({kind: 'target-set', target, slots});
	}

	const submit = (name: string, changes: Partial<WorkItem> = {}) => {
		const item: WorkItem = {
			request: name as RequestId,
			caller: 'caller' as CallerId,
			urgency: 'standard',
			offering: 'talk' as OfferingName,
			model: 'model' as ModelId,
			promptCharacters: 100,
			maximumTokens: 100,
			prefixes: [],
			remainingMilliseconds: 60_000,
			idempotent: true,
			fingerprint: 'print' as Fingerprint,
			suspect: false,
			...changes,
		};
		port.waiting.set(item.request, item);
		dispatcher.handle({kind: 'submitted', item});
	};

	return {clock, port, dispatcher, limiter, submit};
}

const step = fc.oneof(
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constant('submit' as const),
			idempotent: fc.boolean(),
			suspect: fc.nat(5).map((value) => value === 0),
			remainingMilliseconds: fc.integer({min: 200, max: 60_000}),
		}),
	},
	{
		weight: 4,
		arbitrary: fc.record({
			kind: fc.constantFrom(
				'progress',
				'complete',
				'refuse',
				'lose-unknown',
				'lose-not-run',
				'abandon',
			),
			index: fc.nat(8),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('wait' as const),
			milliseconds: fc.nat(400),
		}),
	},
);

// Guards against lost and repeated answers, non-idempotent work sent again after it may have run, a "not run" that is untrue, full targets and suspects with company.
test('the dispatcher answers each request once and keeps the rules of dispatch', () => {
	fc.assert(
		fc.property(fc.array(step, {maxLength: 150}), (steps) => {
			const {clock, port, dispatcher, limiter, submit} = setUp();
			for (const [number, each] of steps.entries()) {
				if (each.kind === 'submit') {
					submit(`r${number}`, each);
					continue;
				}

				if (each.kind === 'wait') {
					clock.advance(each.milliseconds);
					dispatcher.handle({kind: 'ticked'});
					continue;
				}

				const all = [...port.running];
				const [key, binding] = all[each.index % Math.max(1, all.length)] ?? [];
				if (key === undefined || !binding) {
					continue;
				}

				const {request, attempt, target} = binding;
				const identity = {request, attempt, target};
				if (each.kind === 'abandon') {
					dispatcher.handle({kind: 'abandoned', request});
					port.answer(request, 'abandoned');
				} else if (each.kind === 'progress') {
					dispatcher.handle({kind: 'progressed', ...identity, tokens: 1});
				} else {
					port.running.delete(key);
					if (each.kind === 'complete') {
						dispatcher.handle({kind: 'completed', ...identity, tokens: 3});
						port.answer(request, 'completed');
					} else if (each.kind === 'refuse') {
						dispatcher.handle({kind: 'refused', ...identity, reason: 'busy'});
					} else {
						const execution =
							each.kind === 'lose-unknown' ? 'unknown' : 'not-run';
						if (execution === 'unknown') {
							port.mayHaveRun.add(request);
						}

						dispatcher.handle({kind: 'lost', ...identity, execution});
					}
				}

				assert.equal(dispatcher.runningAttempts, port.running.size);
			}

			// All that is left completes, and then nothing is left.
			for (let turn = 0; port.waiting.size > 0 && turn < 1000; turn++) {
				clock.advance(100);
				dispatcher.handle({kind: 'ticked'});
				const [next] = port.running;
				if (next) {
					const [key, {request, attempt, target}] = next;
					port.running.delete(key);
					dispatcher.handle({
						kind: 'completed',
						request,
						attempt,
						target,
						tokens: 3,
					});
					port.answer(request, 'completed');
				}
			}

			assert.equal(port.waiting.size, 0);
			assert.equal(dispatcher.queueLength, 0);
			assert.equal(dispatcher.runningAttempts, 0);
			assert.equal(limiter.localCounts().size, 0);
			assert.equal(dispatcher.reservedTarget(), undefined);
		}),
		{seed: 24, numRuns: 500},
	);
});

// Guards against work for a leaving target, and against a refusal by it that uses up attempts elsewhere.
test('a target that refuses as leaving gets no further work', () => {
	const {port, dispatcher, submit} = setUp();
	submit('r1', {idempotent: false});
	const [[key, {request, attempt, target}]] = [...port.running] as [
		[string, Binding],
	];
	port.running.delete(key);
	dispatcher.handle({
		kind: 'refused',
		request,
		attempt,
		target,
		reason: 'leaving',
	});
	for (let index = 0; index < 5; index++) {
		submit(`x${index}`);
	}

	assert.equal(port.running.size, 6);
	assert.ok([...port.running.values()].every((each) => each.target !== target));
});

// Guards against messages that the task does not take, and a task that does not end.
test('the task handles posted messages until it is disposed', async () => {
	const {dispatcher, port} = setUp();
	const task = dispatcher.run();
	dispatcher.post({kind: 'target-leaving', target: targets[0]!, leaving: true});
	dispatcher.dispose();
	await task;
	assert.equal(port.answers.length, 0);
});

class ListingPort extends DispatchPort {
	readonly bindings: Binding[] = [];

	dispatch(binding: Binding): void {
		this.bindings.push(binding);
	}

	refuse(refusal: WorkRefusal): void {
		assert.fail(refusal.message);
	}

	fail(): void {
		assert.fail('no attempt was lost');
	}

	demote(): void {
		// Engines have no call for it.
	}

	cancel(): void {
		// Nothing runs.
	}
}

function largePool(seed: number, size: number) {
	const pool = Array.from(
		{length: size},
		(_, index) => `target-${index}` as TargetId,
	);
	const port = new ListingPort();
	const dispatcher = new Dispatcher({
		clock: new ManualClock(),
		random: new SeededRandomSource(seed),
		host: 'h' as HostId,
		port,
		directory: new (class extends CandidateDirectory {
			targetsFor(): readonly TargetId[] {
				return pool;
			}
		})(),
		logger: new NullEventLogger(),
		hedging: false,
	});
	for (const target of pool) {
		dispatcher.handle({kind: 'target-set', target, slots: 1});
	}

	const submit = (name: string, prefix = name, suspect = false) => {
		dispatcher.handle({
			kind: 'submitted',
			item: {
				request: name as RequestId,
				caller: 'c' as CallerId,
				urgency: 'standard',
				offering: 'o' as OfferingName,
				model: 'm' as ModelId,
				promptCharacters: 10,
				maximumTokens: 1,
				prefixes: [prefix],
				remainingMilliseconds: 60_000,
				idempotent: true,
				fingerprint: name as Fingerprint,
				suspect,
			},
		});
	};

	return {pool, port, dispatcher, submit};
}

// Guards against a bounded comparison that leaves targets of a large pool unused or work waiting beside room.
test('a large pool fills up to its last target and refills the one that got room', () => {
	fc.assert(
		fc.property(fc.nat(1000), fc.nat(399), (seed, freed) => {
			const {port, dispatcher, submit} = largePool(seed, 200);
			// Each target takes its slot and one request beyond it.
			for (let index = 0; index < 400; index++) {
				submit(`r${index}`);
			}

			for (let tick = 0; port.bindings.length < 400 && tick < 1000; tick++) {
				dispatcher.handle({kind: 'ticked'});
			}

			assert.equal(port.bindings.length, 400);
			submit('waiting');
			assert.equal(port.bindings.length, 400);
			const {request, attempt, target} = port.bindings[freed]!;
			dispatcher.handle({
				kind: 'completed',
				request,
				attempt,
				target,
				tokens: 1,
			});
			assert.equal(port.bindings.at(-1)?.target, target);
			assert.equal(port.bindings.at(-1)?.request, 'waiting');
		}),
		{numRuns: 20},
	);
});

// Guards against a sample that loses the affinity of a prompt to the target that holds its prefix.
test('a request in a large pool finds the holder of its prefix', () => {
	let free = 0;
	for (let seed = 0; seed < 50; seed++) {
		const {port, dispatcher, submit} = largePool(seed, 200);
		submit('first', 'shared');
		const {request, attempt, target} = port.bindings[0]!;
		dispatcher.handle({kind: 'completed', request, attempt, target, tokens: 1});
		for (let index = 0; index < 20; index++) {
			submit(`other-${index}`);
		}

		const isFree = port.bindings
			.slice(1)
			.every((each) => each.target !== target);
		submit('second', 'shared');
		assert.ok(!isFree || port.bindings.at(-1)?.target === target);
		free += isFree ? 1 : 0;
	}

	assert.ok(free >= 10, `the holder was free in ${free} of 50 runs`);
});

// Guards against suspects that wait for ever: the one that holds the isolated target must not queue behind the others.
test('a suspect that was refused leaves the isolated target to the next one', () => {
	const {port, dispatcher, submit} = largePool(1, 3);
	submit('first', 'first', true);
	submit('second', 'second', true);
	assert.equal(port.bindings.length, 1);
	const {request, attempt, target} = port.bindings[0]!;
	dispatcher.handle({
		kind: 'refused',
		request,
		attempt,
		target,
		reason: 'not-resident',
	});
	assert.equal(port.bindings.length, 2);
	const {target: isolated, ...rest} = port.bindings[1]!;
	dispatcher.handle({
		kind: 'completed',
		request: rest.request,
		attempt: rest.attempt,
		target: isolated,
		tokens: 1,
	});
	assert.deepEqual(port.bindings.map((binding) => binding.request).sort(), [
		'first',
		'first',
		'second',
	]);
});
