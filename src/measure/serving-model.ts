import {NullEventLogger} from '../base/common/event-logger.js';
import {
	SeededRandomSource,
	type RandomSource,
} from '../base/common/random-source.js';
import {
	type Fingerprint,
	type HostId,
	type ModelId,
	type RequestId,
	type TargetId,
} from '../contracts/ids.js';
import {
	type RoutingCandidate,
	type RoutingPolicy,
} from '../core/routing/routing-policy.js';
import {
	DispatchPort,
	CandidateDirectory,
	type Attempt,
	type Binding,
	type WorkRefusal,
} from '../services/dispatch/dispatch-contracts.js';
import {
	Dispatcher,
	type DispatcherOptions,
} from '../services/dispatch/dispatcher.js';
import {TargetModel, type ModelWork, type Slowdown} from './target-model.js';
import {VirtualTimeline} from './virtual-timeline.js';
import {serviceTime, type WorkloadRequest} from './workload.js';

/** Targets and entry hosts of a simulated fleet. `until` is the end of the simulation in milliseconds. */
export type FleetShape = {
	readonly hosts: number;
	readonly targets: number;
	readonly slots: number;
	readonly slowdowns: ReadonlyMap<number, readonly Slowdown[]>;
	readonly until: number;
	readonly seed: number;
	readonly reportIntervalMilliseconds: number;
	readonly reportDelayMilliseconds: readonly [number, number];
};

/** Creates the dispatcher options of one host. */
export type DispatcherChoice = (
	timeline: VirtualTimeline,
	random: RandomSource,
	host: HostId,
) => Partial<DispatcherOptions>;

/** How the entry hosts distribute requests: with a routing policy only, or with the dispatcher. */
export type Strategy = {
	readonly name: string;
} & (
	| {readonly routing: (random: RandomSource) => RoutingPolicy}
	| {
			readonly dispatcher: DispatcherChoice;
			/** Called with the dispatcher of each host. */
			readonly created?: (host: HostId, dispatcher: Dispatcher) => void;
	  }
);

/** Result of a request. The latency runs from its arrival to its completion or refusal, in milliseconds. */
export type Outcome = {
	readonly request: WorkloadRequest;
	readonly latency: number;
	readonly outcome: 'completed' | 'refused';
};

/** Results of a simulation. */
export type RunResult = {
	readonly outcomes: readonly Outcome[];
	/** Slot time used on each target, in milliseconds at normal speed. */
	readonly used: readonly number[];
	readonly hedges: number;
};

/** Entry of a simulated host. */
abstract class EntryModel {
	abstract submit(index: number, request: WorkloadRequest): void;
	abstract report(target: TargetModel, delay: number): void;
	abstract tick(): void;
}

/** Baseline: binds each request to a target on arrival; the request then waits in the queue of that target. */
class BindOnArrivalEntry extends EntryModel {
	private readonly outstanding = new Map<TargetModel, number>();

	constructor(
		private readonly targets: readonly TargetModel[],
		private readonly policy: RoutingPolicy,
		private readonly finish: (index: number) => void,
	) {
		super();
	}

	submit(index: number, request: WorkloadRequest): void {
		const candidates = this.targets.map((target): RoutingCandidate => ({
			target: target.id,
			slots: target.slots,
			localOutstanding: this.outstanding.get(target) ?? 0,
			remoteOutstanding: 0,
			weight: 1,
			speed: 1,
			isProbeDue: false,
			affinity: 0,
		}));
		const chosen = this.policy.choose(candidates, {idempotent: true});
		const target = this.targets.find(({id}) => id === chosen?.target)!;
		this.outstanding.set(target, (this.outstanding.get(target) ?? 0) + 1);
		target.accept({
			...request,
			progressed() {
				// The baselines ignore progress.
			},
			completed: () => {
				this.outstanding.set(target, this.outstanding.get(target)! - 1);
				this.finish(index);
			},
			isCancelled: false,
		});
	}

	report(): void {
		// The baselines consider only the requests of their own host.
	}

	tick(): void {
		// The baselines have no timers.
	}
}

/** Runs the dispatcher of the program on the virtual clock. */
class DispatcherEntry extends EntryModel {
	hedges = 0;
	readonly dispatcher: Dispatcher;
	private readonly requests = new Map<RequestId, WorkloadRequest>();
	private readonly workByAttempt = new Map<string, ModelWork>();

	constructor(
		options: Omit<DispatcherOptions, 'port' | 'directory' | 'logger'>,
		hosts: readonly HostId[],
		private readonly targets: readonly TargetModel[],
		private readonly finish: (
			index: number,
			outcome: Outcome['outcome'],
		) => void,
	) {
		super();
		const ids = targets.map(({id}) => id);
		this.dispatcher = new Dispatcher({
			...options,
			port: new ModelPort(this),
			directory: new (class extends CandidateDirectory {
				targetsFor(): readonly TargetId[] {
					return ids;
				}
			})(),
			logger: new NullEventLogger(),
		});
		this.dispatcher.handle({kind: 'hosts-changed', hosts});
		for (const {id, slots} of targets) {
			this.dispatcher.handle({kind: 'target-set', target: id, slots});
		}
	}

	submit(index: number, request: WorkloadRequest): void {
		const id = `${index}` as RequestId;
		this.requests.set(id, request);
		this.dispatcher.handle({
			kind: 'submitted',
			item: {
				request: id,
				caller: request.caller,
				urgency: request.urgency,
				offering: request.offering,
				model: 'model' as ModelId,
				promptCharacters: request.promptCharacters,
				maximumTokens: 1024,
				prefixes: [],
				remainingMilliseconds: request.deadlineMilliseconds,
				...(request.startObjectiveMilliseconds === undefined
					? {}
					: {startObjectiveMilliseconds: request.startObjectiveMilliseconds}),
				...(request.startTimeoutMilliseconds === undefined
					? {}
					: {startTimeoutMilliseconds: request.startTimeoutMilliseconds}),
				idempotent: true,
				fingerprint: id as string as Fingerprint,
				suspect: false,
			},
		});
	}

	report(target: TargetModel, delay: number): void {
		const report = target.report();
		this.schedule(delay, () => {
			this.dispatcher.handle({
				kind: 'target-reported',
				report,
				ageMilliseconds: delay,
				adapters: [],
			});
		});
	}

	tick(): void {
		this.dispatcher.handle({kind: 'ticked'});
	}

	dispatch(binding: Binding): void {
		const {request, attempt, target} = binding;
		const source = this.requests.get(request)!;
		this.hedges += binding.kind === 'hedge' ? 1 : 0;
		const work: ModelWork = {
			...source,
			progressed: (tokens) => {
				this.dispatcher.handle({
					kind: 'progressed',
					request,
					attempt,
					target,
					tokens,
				});
			},
			completed: () => {
				this.workByAttempt.delete(`${request}#${attempt}`);
				this.requests.delete(request);
				this.dispatcher.handle({
					kind: 'completed',
					request,
					attempt,
					target,
					tokens: source.tokens,
				});
				this.finish(Number(request), 'completed');
			},
			isCancelled: false,
		};
		this.workByAttempt.set(`${request}#${attempt}`, work);
		this.targets.find(({id}) => id === target)!.accept(work);
	}

	refuse(refusal: WorkRefusal): void {
		this.requests.delete(refusal.item.request);
		this.finish(Number(refusal.item.request), 'refused');
	}

	cancel({request, attempt}: Attempt): void {
		const work = this.workByAttempt.get(`${request}#${attempt}`);
		if (work) {
			work.isCancelled = true;
			this.workByAttempt.delete(`${request}#${attempt}`);
		}
	}

	/** Runs an action after a delay on the virtual clock. Set by the simulation. */
	schedule: (delay: number, action: () => void) => void = () => undefined;
}

class ModelPort extends DispatchPort {
	constructor(private readonly entry: DispatcherEntry) {
		super();
	}

	dispatch(binding: Binding): void {
		this.entry.dispatch(binding);
	}

	refuse(refusal: WorkRefusal): void {
		this.entry.refuse(refusal);
	}

	fail(): void {
		// Simulated attempts do not fail.
	}

	demote(): void {
		// Simulated targets have no priorities.
	}

	cancel(attempt: Attempt): void {
		this.entry.cancel(attempt);
	}
}

/** Simulates a workload on a fleet that uses a strategy. */
export function runFleet(
	shape: FleetShape,
	workload: readonly WorkloadRequest[],
	strategy: Strategy,
): RunResult {
	const timeline = new VirtualTimeline();
	const random = new SeededRandomSource(shape.seed + 1);
	const targets = Array.from(
		{length: shape.targets},
		(_, index) =>
			new TargetModel(
				timeline,
				`target-${index}` as TargetId,
				shape.slots,
				shape.slowdowns.get(index) ?? [],
			),
	);
	const hostIds = Array.from(
		{length: shape.hosts},
		(_, index) => `host-${index}` as HostId,
	);
	const outcomes: Outcome[] = [];
	const finish = (index: number, outcome: Outcome['outcome']) => {
		const request = workload[index]!;
		outcomes.push({
			request,
			latency: timeline.monotonic() - request.arrival,
			outcome,
		});
	};

	const entries = hostIds.map((host): EntryModel => {
		if ('routing' in strategy) {
			return new BindOnArrivalEntry(
				targets,
				strategy.routing(random),
				(index) => {
					finish(index, 'completed');
				},
			);
		}

		const entry = new DispatcherEntry(
			{
				clock: timeline,
				random,
				host,
				...strategy.dispatcher(timeline, random, host),
			},
			hostIds,
			targets,
			finish,
		);
		strategy.created?.(host, entry.dispatcher);
		entry.schedule = (delay, action) => {
			timeline.at(timeline.monotonic() + delay, action);
		};

		return entry;
	});

	for (const [index, request] of workload.entries()) {
		timeline.at(request.arrival, () => {
			entries[request.host]!.submit(index, request);
		});
	}

	const [minimumDelay, maximumDelay] = shape.reportDelayMilliseconds;
	timeline.every(shape.reportIntervalMilliseconds, shape.until, () => {
		for (const target of targets) {
			for (const entry of entries) {
				entry.report(
					target,
					minimumDelay + random.next() * (maximumDelay - minimumDelay),
				);
			}
		}
	});
	timeline.every(5, shape.until, () => {
		for (const entry of entries) {
			entry.tick();
		}
	});
	timeline.run(shape.until);
	return {
		outcomes,
		used: targets.map(({used}) => used),
		hedges: entries.reduce(
			(sum, entry) =>
				sum + (entry instanceof DispatcherEntry ? entry.hedges : 0),
			0,
		),
	};
}

/** Returns the requests per millisecond that the fleet can complete, from the mean slot time of a sample. */
export function capacity(
	shape: Pick<FleetShape, 'targets' | 'slots'>,
	sample: readonly WorkloadRequest[],
): number {
	let sum = 0;
	for (const request of sample) {
		sum += serviceTime(request);
	}

	return (shape.targets * shape.slots * sample.length) / sum;
}
