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
import {CallerLimiter} from '../../src/core/admission/caller-limiter.js';
import {SlotPolicy} from '../../src/core/routing/slot-policy.js';
import {RetryBudget} from '../../src/core/limits/retry-budget.js';
import {
	DispatchPort,
	CandidateDirectory,
	type Attempt,
	type Binding,
	type WorkItem,
	type WorkRefusal,
} from '../../src/services/dispatch/dispatch-contracts.js';
import {Dispatcher} from '../../src/services/dispatch/dispatcher.js';

const slots = 3;
const targets = ['a', 'b', 'c'] as TargetId[];

/** Records the calls of the dispatcher and checks the invariants that must hold at each of them. */
class RecordingPort extends DispatchPort {
	readonly running = new Map<string, Binding>();
	readonly waiting = new Map<RequestId, WorkItem>();
	readonly mayHaveRun = new Set<RequestId>();
	readonly responses: string[] = [];

	dispatch(binding: Binding): void {
		const {item, request, target} = binding;
		const others = [...this.running.values()];
		assert.ok(
			this.waiting.has(request),
			`${request} was dispatched after it had ended or before it was submitted`,
		);
		assert.ok(others.filter((each) => each.target === target).length < slots);
		const same = others.filter((each) => each.request === request);
		assert.ok(
			same.length === 0 ||
				(item.idempotent &&
					(binding.kind === 'hedge' || binding.kind === 'replacement')),
		);
		assert.ok(item.idempotent || !this.mayHaveRun.has(request));
		const onTarget = others.filter((each) => each.target === target);
		assert.ok(!item.suspect || onTarget.length === 0);
		assert.ok(onTarget.every((each) => !each.item.suspect));
		this.running.set(`${request}#${binding.attempt}`, binding);
	}

	refuse({item, code}: WorkRefusal): void {
		assert.equal(this.mayHaveRun.has(item.request), false);
		this.recordResponse(item.request, code);
	}

	fail(item: WorkItem): void {
		this.recordResponse(item.request, 'failed');
	}

	demote(): void {
		// The tests send too few tokens for this call.
	}

	cancel({request, attempt}: Attempt): void {
		assert.ok(this.running.delete(`${request}#${attempt}`));
		this.mayHaveRun.add(request);
	}

	recordResponse(request: RequestId, outcome: string): void {
		assert.ok(
			this.waiting.delete(request),
			`${request} received more than one response`,
		);
		this.responses.push(`${request} ${outcome}`);
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

const eventArbitrary = fc.oneof(
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
				'stall',
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

// Checked for random sequences of events: each request receives exactly one response, non-idempotent work is not sent
// again once it may have been executed, no refusal claims "not run" after a possible execution, no target exceeds its
// slots, and a suspect runs alone on its target.
test('no sequence of events loses or repeats a response or breaks a dispatch invariant', () => {
	fc.assert(
		fc.property(fc.array(eventArbitrary, {maxLength: 150}), (events) => {
			const {clock, port, dispatcher, limiter, submit} = setUp();
			for (const [number, event] of events.entries()) {
				if (event.kind === 'submit') {
					submit(`r${number}`, event);
					continue;
				}

				if (event.kind === 'wait') {
					clock.advance(event.milliseconds);
					dispatcher.handle({kind: 'ticked'});
					continue;
				}

				const all = [...port.running];
				const [key, binding] = all[event.index % Math.max(1, all.length)] ?? [];
				if (key === undefined || !binding) {
					continue;
				}

				const {request, attempt, target} = binding;
				const identity = {request, attempt, target};
				if (event.kind === 'stall') {
					dispatcher.handle({kind: 'stalled', ...identity});
					assert.equal(dispatcher.runningAttempts, port.running.size);
					continue;
				}

				if (event.kind === 'abandon') {
					dispatcher.handle({kind: 'abandoned', request});
					port.recordResponse(request, 'abandoned');
				} else if (event.kind === 'progress') {
					dispatcher.handle({kind: 'progressed', ...identity, tokens: 1});
				} else {
					port.running.delete(key);
					if (event.kind === 'complete') {
						dispatcher.handle({kind: 'completed', ...identity, tokens: 3});
						port.recordResponse(request, 'completed');
					} else if (event.kind === 'refuse') {
						dispatcher.handle({kind: 'refused', ...identity, reason: 'busy'});
					} else {
						const execution =
							event.kind === 'lose-unknown' ? 'unknown' : 'not-run';
						if (execution === 'unknown') {
							port.mayHaveRun.add(request);
						}

						dispatcher.handle({kind: 'lost', ...identity, execution});
					}
				}

				assert.equal(dispatcher.runningAttempts, port.running.size);
			}

			// Completes the remaining requests, after which no state may be left.
			for (let tick = 0; port.waiting.size > 0 && tick < 1000; tick++) {
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
					port.recordResponse(request, 'completed');
				}
			}

			assert.equal(port.waiting.size, 0);
			assert.equal(dispatcher.queueLength, 0);
			assert.equal(dispatcher.runningAttempts, 0);
			assert.equal(dispatcher.hasStalledRequests, false);
			assert.equal(limiter.localCounts().size, 0);
			assert.equal(dispatcher.reservedTarget(), undefined);
		}),
		{seed: 24, numRuns: 500},
	);
});

function stallOnly(
	dispatcher: Dispatcher,
	port: RecordingPort,
): {readonly key: string; readonly attempt: Attempt} {
	const [[key, {request, attempt, target}]] = [...port.running] as [
		[string, Binding],
	];
	const identity = {request, attempt, target};
	dispatcher.handle({kind: 'stalled', ...identity});
	return {key, attempt: identity};
}

// Guards against a stream that is given up for the silence of its target before another one has begun.
test('a stalled attempt stays open until its replacement makes progress', () => {
	const {port, dispatcher, submit} = setUp();
	submit('r1');
	const stalled = stallOnly(dispatcher, port);
	assert.equal(port.running.size, 2);
	assert.ok(port.running.has(stalled.key));
	const replacement = [...port.running.values()].at(-1)!;
	assert.equal(replacement.kind, 'replacement');
	assert.notEqual(replacement.target, stalled.attempt.target);
	const {request, attempt, target} = replacement;
	dispatcher.handle({kind: 'progressed', request, attempt, target, tokens: 1});
	assert.deepEqual([...port.running.values()], [replacement]);
	assert.equal(dispatcher.hasStalledRequests, false);
});

// Guards against a second run of a stream whose target goes on.
test('the replacement of a stalled attempt is cancelled when that one makes progress', () => {
	const {port, dispatcher, submit} = setUp();
	submit('r1');
	const {key, attempt} = stallOnly(dispatcher, port);
	dispatcher.handle({kind: 'progressed', ...attempt, tokens: 1});
	assert.deepEqual([...port.running.keys()], [key]);
	assert.equal(dispatcher.hasStalledRequests, false);
});

// A pool in which one target is silent with all its slots in use and the others are full: the pattern of a pause under load.
test('stalled attempts wait for free slots of other targets and use each of those once', () => {
	const {clock, port, dispatcher, submit} = setUp();
	for (let index = 0; index < slots * targets.length; index++) {
		submit(`r${index}`);
	}

	const bindings = [...port.running.values()];
	const silent = bindings.filter(({target}) => target === targets[0]);
	for (const {request, attempt, target} of silent) {
		dispatcher.handle({kind: 'stalled', request, attempt, target});
	}

	assert.equal(port.running.size, bindings.length);
	assert.deepEqual(port.responses, []);
	const {request, attempt, target} = bindings.find(
		(each) => each.target === targets[1],
	)!;
	port.running.delete(`${request}#${attempt}`);
	dispatcher.handle({kind: 'completed', request, attempt, target, tokens: 3});
	clock.advance(25);
	dispatcher.handle({kind: 'ticked'});
	const replacements = [...port.running.values()].filter(
		({kind}) => kind === 'replacement',
	);
	assert.deepEqual(
		replacements.map((each) => each.target),
		[target],
	);
	const [refused] = replacements;
	port.running.delete(`${refused!.request}#${refused!.attempt}`);
	dispatcher.handle({
		kind: 'refused',
		request: refused!.request,
		attempt: refused!.attempt,
		target: refused!.target,
		reason: 'busy',
	});
	for (let tick = 0; tick < 10; tick++) {
		clock.advance(25);
		dispatcher.handle({kind: 'ticked'});
	}

	const again = [...port.running.values()].filter(
		(each) => each.request === refused!.request,
	);
	assert.ok(again.some(({target}) => target === targets[0]));
	assert.ok(again.every(({target}) => target !== refused!.target));
});

// Guards against more executions than a request may have.
test('a stalled attempt is not replaced when the request may not be executed again', () => {
	for (const changes of [
		{maximumExecutions: 1},
		{idempotent: false},
		{suspect: true},
	]) {
		const {clock, port, dispatcher, submit} = setUp();
		submit('r1', changes);
		stallOnly(dispatcher, port);
		clock.advance(25);
		dispatcher.handle({kind: 'ticked'});
		assert.equal(port.running.size, 1);
	}
});

// The refused request must also be retried on another target.
test('a target that refused a request because it is leaving receives no further work', () => {
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

test('the dispatcher takes posted messages and its task ends when it is disposed', async () => {
	const {dispatcher, port} = setUp();
	const task = dispatcher.run();
	dispatcher.post({kind: 'target-leaving', target: targets[0]!, leaving: true});
	dispatcher.dispose();
	await task;
	assert.equal(port.responses.length, 0);
});

class BindingRecorder extends DispatchPort {
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
		// The tests send too few tokens for this call.
	}

	cancel(): void {
		// The tests cancel no attempt.
	}
}

function setUpLargePool(seed: number, size: number) {
	const pool = Array.from(
		{length: size},
		(_, index) => `target-${index}` as TargetId,
	);
	const port = new BindingRecorder();
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

// In a large pool only a sample of the targets is compared for each dispatch.
test('no target of a large pool stays unused and no work waits while a target has free capacity', () => {
	fc.assert(
		fc.property(fc.nat(1000), fc.nat(399), (seed, freed) => {
			const {port, dispatcher, submit} = setUpLargePool(seed, 200);
			// Each target accepts one request in its slot and one more beyond it.
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

// The sample of compared targets must include those that hold a prefix of the prompt.
test('a request in a large pool is sent to the target that holds its prefix', () => {
	let freeRuns = 0;
	for (let seed = 0; seed < 50; seed++) {
		const {port, dispatcher, submit} = setUpLargePool(seed, 200);
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
		freeRuns += isFree ? 1 : 0;
	}

	assert.ok(
		freeRuns >= 10,
		`the target that holds the prefix was free in only ${freeRuns} of 50 runs, expected at least 10`,
	);
});

// Otherwise suspects wait forever: the refused one is queued behind others that need the target reserved for it.
test('a refused suspect releases its reserved target to the next suspect', () => {
	const {port, dispatcher, submit} = setUpLargePool(1, 3);
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
