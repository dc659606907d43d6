import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type EnginePool} from '../../src/contracts/forwarding-document.js';
import {
	type CallerId,
	type Fingerprint,
	type HostId,
	type ModelId,
	type OfferingName,
	type PoolName,
	type RequestId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {
	TargetGate,
	type GatedRequest,
} from '../../src/core/routing/target-gate.js';
import {type TargetLoad} from '../../src/core/routing/target-load-tracker.js';
import {
	CandidateDirectory,
	DispatchPort,
	type Binding,
	type WorkItem,
} from '../../src/services/dispatch/dispatch-contracts.js';
import {Dispatcher} from '../../src/services/dispatch/dispatcher.js';
import {WorkScheduling} from '../../src/services/dispatch/work-scheduling.js';
import {PoolWork} from '../../src/services/forwarding/attempts/pool-work.js';

const targets = ['closed', 'open'] as TargetId[];

class SentBindings extends DispatchPort {
	readonly sent: Binding[] = [];

	dispatch(binding: Binding): void {
		this.sent.push(binding);
	}

	refuse(): void {
		assert.fail('refused');
	}

	fail(): void {
		assert.fail('failed');
	}

	demote(): void {
		// No request is long enough.
	}

	cancel(): void {
		// Nothing is cancelled.
	}
}

/** Lets no request reach the first target, and records the calls. */
class RecordingGate extends TargetGate {
	readonly calls: string[] = [];

	mayReceive({target}: TargetLoad, {estimate}: GatedRequest): boolean {
		assert.ok(estimate.upperTokens >= estimate.tokens / 2);
		return target !== 'closed';
	}

	recordSent(target: TargetId, {request}: GatedRequest): void {
		this.calls.push(`sent ${target} ${request}`);
	}

	recordProgress(target: TargetId, request: RequestId, tokens: number): void {
		this.calls.push(`progress ${target} ${request} ${tokens}`);
	}

	recordEnded(target: TargetId, request: RequestId): void {
		this.calls.push(`ended ${target} ${request}`);
	}

	removeTarget(target: TargetId): void {
		this.calls.push(`removed ${target}`);
	}
}

function setUp() {
	const clock = new ManualClock();
	const port = new SentBindings();
	const dispatcher = new Dispatcher({
		clock,
		random: new SeededRandomSource(1),
		host: 'h' as HostId,
		port,
		directory: new (class extends CandidateDirectory {
			targetsFor(): readonly TargetId[] {
				return targets;
			}
		})(),
		logger: new NullEventLogger(),
		hedging: false,
	});
	for (const target of targets) {
		dispatcher.handle({kind: 'target-set', target, slots: 12});
	}

	const item: WorkItem = {
		request: 'r' as RequestId,
		caller: 'c' as CallerId,
		urgency: 'standard',
		offering: 'o' as OfferingName,
		model: 'm' as ModelId,
		promptCharacters: 700,
		maximumTokens: 950,
		prefixes: [],
		remainingMilliseconds: 10_000,
		idempotent: true,
		fingerprint: 'f' as Fingerprint,
		suspect: false,
	};
	return {clock, port, dispatcher, item};
}

// Guards against pools that are scheduled by work although neither the settings nor the document ask for it, and against
// a switch that does not follow the document.
test('a pool is scheduled by work while its slots are within the setting', () => {
	const engine = {slots: 24, models: []} as unknown as EnginePool;
	for (const [workAwareSlots, slots, isExpected] of [
		[undefined, 24, false],
		[0, 24, false],
		[23, 24, false],
		[24, 24, true],
		[24, undefined, false],
	] as const) {
		const {clock, dispatcher} = setUp();
		const set: unknown[] = [];
		dispatcher.scheduleByWork = (work) => {
			set.push(work);
		};

		const work = new PoolWork({
			pool: 'p' as PoolName,
			clock,
			events: new NullEventLogger(),
			dispatcher,
			workAwareSlots,
		});
		work.applyEngine({...engine, slots});
		work.applyEngine({...engine, slots});
		assert.equal(set.length, isExpected ? 1 : 0);
		if (isExpected) {
			assert.ok(set[0] instanceof WorkScheduling);
			work.applyEngine({...engine, slots: 100});
			assert.equal(set[1], undefined);
		}
	}
});

// Guards against a prompt that no target can hold being sent from target to target until its caller gives up.
test('a prompt exceeds the memory of the targets only in a pool that is scheduled by work', () => {
	const engine = {
		slots: 12,
		memoryTokens: 36_672,
		models: [],
	} as unknown as EnginePool;
	for (const workAwareSlots of [0, 12]) {
		const {clock, dispatcher} = setUp();
		const work = new PoolWork({
			pool: 'p' as PoolName,
			clock,
			events: new NullEventLogger(),
			dispatcher,
			workAwareSlots,
		});
		work.applyEngine(engine);
		assert.ok(!work.exceedsMemory(36_672));
		assert.equal(work.exceedsMemory(36_673), workAwareSlots > 0);
		work.applyEngine({...engine, memoryTokens: undefined});
		assert.ok(!work.exceedsMemory(1_000_000));
	}
});

// Guards against gates that are not asked, or that miss a request which then counts for ever.
test('gates decide which target receives a request and see it until its end', () => {
	const {clock, port, dispatcher, item} = setUp();
	const gate = new RecordingGate();
	dispatcher.scheduleByWork(
		new WorkScheduling({clock, gates: [gate], tokensPerEvent: 9}),
	);
	dispatcher.handle({kind: 'submitted', item});
	const [binding] = port.sent;
	assert.equal(binding?.target, 'open');
	const attempt = {request: item.request, attempt: 1, target: binding.target};
	dispatcher.handle({kind: 'progressed', tokens: 3, ...attempt});
	dispatcher.handle({kind: 'completed', tokens: 4, ...attempt});
	dispatcher.handle({kind: 'target-removed', target: binding.target});
	assert.deepEqual(gate.calls, [
		'sent open r',
		'progress open r 27',
		'progress open r 36',
		'ended open r',
		'removed open',
	]);
});

// Guards against a queue and admission that keep counting all requests alike.
test('requests learn the work that the queue and admission count', () => {
	const {clock, port, dispatcher, item} = setUp();
	const work = new WorkScheduling({clock, tokensPerEvent: 9});
	dispatcher.scheduleByWork(work);
	const before = work.expectedMilliseconds(item);
	for (let index = 0; index < 40; index++) {
		const request = `r${index}` as RequestId;
		dispatcher.handle({kind: 'submitted', item: {...item, request}});
		const {target} = port.sent.at(-1)!;
		for (const tokens of [1, 2]) {
			clock.advance(45);
			dispatcher.handle({
				kind: 'progressed',
				tokens,
				request,
				attempt: 1,
				target,
			});
		}

		dispatcher.handle({
			kind: 'completed',
			tokens: 2,
			request,
			attempt: 1,
			target,
		});
	}

	const after = work.expectedMilliseconds(item);
	assert.ok(after < before / 2 && after > 90, `${before} ${after}`);
	assert.ok(work.expectedMilliseconds({...item, producedEvents: 1}) < after);
});
