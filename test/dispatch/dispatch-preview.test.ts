import assert from 'node:assert/strict';
import {test} from 'node:test';
import {inspect} from 'node:util';
import {ManualClock} from '../../src/base/common/clock.js';
import {EventLogger} from '../../src/base/common/event-logger.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type CallerId,
	type Fingerprint,
	type HostId,
	type ModelId,
	type OfferingName,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {FleetQueue} from '../../src/core/admission/fleet-queue.js';
import {StartLimiter} from '../../src/core/admission/start-limiter.js';
import {CallerUsage} from '../../src/core/fairness/caller-usage.js';
import {BrittleTargets} from '../../src/core/limits/brittle-targets.js';
import {NamedRateLimits} from '../../src/core/limits/named-rate-limits.js';
import {PermitBook} from '../../src/core/limits/permit-book.js';
import {RefusalLimits} from '../../src/core/limits/refusal-limits.js';
import {
	CandidateDirectory,
	DispatchPort,
	type Attempt,
	type Binding,
	type WorkItem,
	type WorkRefusal,
} from '../../src/services/dispatch/dispatch-contracts.js';
import {Dispatcher} from '../../src/services/dispatch/dispatcher.js';
import {WorkScheduling} from '../../src/services/dispatch/work-scheduling.js';

const allTargets = Array.from(
	{length: 24},
	(_, index) => `t${index}` as TargetId,
);
const urgencies = ['urgent', 'standard', 'deferred'] as const;

class RecordingPort extends DispatchPort {
	readonly open: Attempt[] = [];
	readonly decisions: string[] = [];

	dispatch({request, attempt, target, kind}: Binding): void {
		this.decisions.push(`${request}#${attempt} ${kind} ${target}`);
		this.open.push({request, attempt, target});
	}

	refuse({item, code, retryAfterMilliseconds}: WorkRefusal): void {
		this.decisions.push(`${item.request} ${code} ${retryAfterMilliseconds}`);
	}

	fail({request}: {readonly request: RequestId}): void {
		this.decisions.push(`${request} failed`);
	}

	demote(): void {
		// Not part of these tests.
	}

	cancel({request, attempt}: Attempt): void {
		this.decisions.push(`${request}#${attempt} cancelled`);
	}
}

class CountingLogger extends EventLogger {
	count = 0;

	record(): void {
		this.count++;
	}
}

function createItem(changes: Partial<WorkItem> = {}): WorkItem {
	return {
		request: 'asked' as RequestId,
		caller: 'c0' as CallerId,
		urgency: 'standard',
		offering: 'o' as OfferingName,
		model: 'm0' as ModelId,
		promptCharacters: 500,
		maximumTokens: 100,
		prefixes: ['p1'],
		remainingMilliseconds: 4000,
		startObjectiveMilliseconds: 300,
		startTimeoutMilliseconds: 1500,
		idempotent: true,
		fingerprint: 'f' as Fingerprint,
		suspect: false,
		...changes,
	};
}

function createScene(
	seed: number,
	isWorkAware: boolean,
	targets: readonly TargetId[] = allTargets,
) {
	const clock = new ManualClock();
	const random = new SeededRandomSource(seed);
	const port = new RecordingPort();
	const logger = new CountingLogger();
	const limits = new NamedRateLimits({clock});
	const permits = new PermitBook({clock, limits});
	const brittle = new BrittleTargets({clock});
	const refusalLimits = new RefusalLimits({
		clock,
		random,
		brittle,
		hostCount: () => 4,
	});
	const fleetQueue = new FleetQueue({clock});
	const published = {wanted: 0, heldBack: 0};
	permits.wanted.subscribe(() => {
		published.wanted++;
	});
	refusalLimits.heldBack.subscribe(() => {
		published.heldBack++;
	});
	const dispatcher = new Dispatcher({
		clock,
		random,
		host: 'h' as HostId,
		port,
		directory: new (class extends CandidateDirectory {
			targetsFor(): readonly TargetId[] {
				return targets;
			}
		})(),
		logger,
		startLimiter: new StartLimiter({clock}),
		permits,
		refusalLimits,
		fleetQueue,
		callerUsage: new CallerUsage({clock, others: () => 0, callers: () => []}),
		admitsByFleetQueue: () => isWorkAware,
		work: isWorkAware ? new WorkScheduling({clock}) : undefined,
	});
	dispatcher.handle({kind: 'host-count-changed', count: 4});
	for (const target of targets) {
		dispatcher.handle({kind: 'target-set', target, slots: 2});
	}

	limits.apply(targets[1]!, 5);
	limits.apply(targets[2]!, 5);
	return {
		clock,
		random,
		port,
		logger,
		permits,
		brittle,
		refusalLimits,
		fleetQueue,
		published,
		dispatcher,
	};
}

function play(
	seed: number,
	isWorkAware: boolean,
	ask: (scene: ReturnType<typeof createScene>, step: number) => void,
) {
	const scene = createScene(seed, isWorkAware);
	const {clock, port, permits, brittle, refusalLimits, dispatcher} = scene;
	const random = new SeededRandomSource(seed + 1);
	for (let step = 0; step < 2500; step++) {
		clock.advance(random.next() * 6);
		if (step % 100 === 0) {
			brittle.apply(allTargets[3]!, 2);
			scene.fleetQueue.applyUpstream(
				{
					hosts: 1,
					waiting: [
						{
							model: 'm0' as ModelId,
							level: 1,
							caller: 'c1' as CallerId,
							milliseconds: 500,
						},
					],
					dispatched: new Map(),
				},
				0,
			);
			permits.applyGrant({
				target: allTargets[1]!,
				count: 2,
				retryMilliseconds: 50,
			});
		}

		const draw = random.next();
		const open = port.open[random.integer(Math.max(1, port.open.length))];
		if (draw < 0.4) {
			const item = createItem({
				request: `r${step}` as RequestId,
				caller: `c${random.integer(3)}` as CallerId,
				urgency: urgencies[random.integer(3)]!,
				model: `m${random.integer(3)}` as ModelId,
				prefixes: [`p${random.integer(30)}`],
				idempotent: random.next() < 0.8,
			});
			dispatcher.handle({kind: 'submitted', item});
		} else if (draw < 0.5) {
			dispatcher.handle({
				kind: 'target-reported',
				report: {
					target: allTargets[random.integer(allTargets.length)]!,
					incarnation: 'i' as TargetIncarnation,
					sequence: step,
					leaving: false,
					running: random.integer(3),
					queued: random.integer(2),
					slots: 2,
				},
				ageMilliseconds: random.next() * 500,
				slowdown: 1 + random.next(),
				adapters: [],
			});
		} else if (draw < 0.55) {
			dispatcher.handle({kind: 'ticked'});
		} else if (open && draw < 0.75) {
			dispatcher.handle({kind: 'progressed', tokens: step, ...open});
		} else if (open) {
			port.open.splice(port.open.indexOf(open), 1);
			if (open.target === allTargets[3] && draw > 0.9) {
				refusalLimits.recordRefused(open.target);
			}

			dispatcher.handle(
				draw < 0.95
					? {kind: 'completed', tokens: random.integer(100), ...open}
					: {kind: 'refused', reason: 'busy', ...open},
			);
		}

		ask(scene, step);
	}

	return {
		decisions: port.decisions,
		events: scene.logger.count,
		published: scene.published,
	};
}

/** All fields of the dispatcher and its collaborators, private ones and the state of the random source included. */
function stateOf(scene: ReturnType<typeof createScene>): string {
	// Builds the index of the reported queues, which depends on nothing but the reports.
	scene.fleetQueue.workAhead('m0' as ModelId, 1, 'c0' as CallerId, 1);
	return inspect(
		[
			scene.dispatcher,
			scene.refusalLimits,
			scene.brittle,
			scene.random,
			scene.published,
			scene.logger.count,
		],
		{
			depth: Number.POSITIVE_INFINITY,
			maxArrayLength: null,
			maxStringLength: null,
		},
	);
}

// Guards against a question that changes a permit, limit, estimate, cache, random state or event, and with it later decisions.
for (const isWorkAware of [false, true]) {
	test(`asking what the dispatcher would do changes nothing, ${isWorkAware ? 'by work' : 'by number'}`, () => {
		const outcomes = new Set<string>();
		const exclusions = new Set<string | undefined>();
		const asked = play(7, isWorkAware, (scene, step) => {
			const before = step % 50 === 0 ? stateOf(scene) : undefined;
			const {outcome, candidates} = scene.dispatcher.preview(
				createItem({urgency: urgencies[step % 3]!}),
			);
			if (before !== undefined) {
				assert.ok(stateOf(scene) === before, `step ${step}`);
			}

			outcomes.add(outcome);
			for (const {exclusion} of candidates) {
				exclusions.add(exclusion);
			}
		});
		assert.deepEqual(
			asked,
			play(7, isWorkAware, () => undefined),
		);
		assert.deepEqual([...outcomes].sort(), ['dispatch', 'queue', 'refuse']);
		for (const each of ['no-free-slot', 'start-limit', 'no-permit']) {
			assert.ok(exclusions.has(each), each);
		}

		assert.ok(exclusions.has('refusal-limit'));
	});
}

// Guards against an answer that differs from the decision that follows.
test('a request that is submitted next gets the outcome that was told, at a target that was not excluded', () => {
	// With more targets, a decision compares a random sample that may miss the only free one.
	const scene = createScene(3, true, allTargets.slice(0, 16));
	const {dispatcher, port, clock} = scene;
	for (let step = 0; step < 300; step++) {
		clock.advance(2);
		const item = createItem({request: `r${step}` as RequestId});
		const {outcome, candidates, retryAfterMilliseconds} =
			dispatcher.preview(item);
		const count = port.decisions.length;
		dispatcher.handle({kind: 'submitted', item});
		const own = port.decisions
			.slice(count)
			.find((each) => each.startsWith(`r${step}#`));
		assert.equal(own !== undefined, outcome === 'dispatch', `step ${step}`);
		if (own) {
			const chosen = candidates.find(
				({target}) => target === own.split(' ').at(-1),
			);
			assert.ok(chosen && chosen.exclusion === undefined);
		}

		assert.equal(retryAfterMilliseconds !== undefined, outcome === 'refuse');
		const [open] = port.open;
		if (open && step % 3 === 0) {
			port.open.shift();
			dispatcher.handle({kind: 'completed', tokens: 10, ...open});
		}
	}
});
