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
	startLevel,
	type Binding,
	type WorkItem,
	type WorkRefusal,
} from '../services/dispatch/dispatch-contracts.js';
import {
	Dispatcher,
	type DispatcherOptions,
} from '../services/dispatch/dispatcher.js';
import {
	TargetModel,
	type ModelWork,
	type Slowdown,
	type TargetModelOptions,
} from './target-model.js';
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
	/** Share of the reports in responses that are lost. Targets report their load with the first event of each response if present. */
	readonly lostResponseReports?: number;
	readonly targetOptions?: TargetModelOptions;
	/** Indices of the targets that hold a model. All by default. */
	readonly targetsOf?: (model: ModelId) => readonly number[];
};

/** Creates the dispatcher options of one host. */
export type DispatcherChoice = (
	timeline: VirtualTimeline,
	random: RandomSource,
	host: HostId,
	targets: readonly TargetModel[],
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
	/** Time to the first event, undefined if there was none. */
	readonly firstMilliseconds?: number | undefined;
	/** Longest time between two events. */
	readonly pauseMilliseconds?: number;
};

/** Times of the events of a request. */
type EventTimes = {first: number; last: number; pause: number};

/** Results of a simulation. */
export type RunResult = {
	readonly outcomes: readonly Outcome[];
	/** Slot time used on each target, in milliseconds at normal speed. */
	readonly used: readonly number[];
	readonly hedges: number;
	readonly preemptions: number;
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
	private readonly ids: readonly TargetId[];
	private readonly idsByModel = new Map<ModelId, readonly TargetId[]>();

	constructor(
		options: Omit<DispatcherOptions, 'port' | 'directory' | 'logger'>,
		hosts: readonly HostId[],
		private readonly targets: readonly TargetModel[],
		private readonly finish: (
			index: number,
			outcome: Outcome['outcome'],
		) => void,
		private readonly fleet: {
			readonly progressed: (
				entry: DispatcherEntry,
				index: number,
				target: TargetModel,
				isFirst: boolean,
			) => void;
			readonly targetsOf: FleetShape['targetsOf'];
		},
	) {
		super();
		this.ids = targets.map(({id}) => id);
		this.dispatcher = new Dispatcher({
			...options,
			port: new ModelPort(this),
			directory: new ModelDirectory((model) => this.holdersOf(model)),
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
		const {stream} = request;
		this.dispatcher.handle({
			kind: 'submitted',
			item: {
				request: id,
				caller: request.caller,
				urgency: request.urgency,
				offering: request.offering,
				model: stream?.model ?? ('model' as ModelId),
				promptCharacters: stream?.promptTokens ?? request.promptCharacters,
				maximumTokens: stream?.maximumTokens ?? 1024,
				hintedTokens: stream?.hintedTokens,
				prefixes: stream?.prefixes ?? [],
				...(stream
					? {
							startObjectiveMilliseconds: stream.objectiveMilliseconds,
							startTimeoutMilliseconds: stream.startTimeoutMilliseconds,
						}
					: {}),
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
		const slowdown = target.slowdown();
		this.schedule(delay, () => {
			this.dispatcher.handle({
				kind: 'target-reported',
				report,
				ageMilliseconds: delay,
				slowdown,
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
		const model = this.targets.find(({id}) => id === target)!;
		let isFirst = true;
		const work: ModelWork = {
			...source,
			level: startLevel(binding.item),
			promptMilliseconds: source.stream?.promptMilliseconds ?? 0,
			progressed: (tokens) => {
				this.fleet.progressed(this, Number(request), model, isFirst);
				isFirst = false;
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
		model.accept(work);
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

	/** Targets that hold a model. */
	private holdersOf(model: ModelId | undefined): readonly TargetId[] {
		const {targetsOf} = this.fleet;
		if (!targetsOf || model === undefined) {
			return this.ids;
		}

		let holders = this.idsByModel.get(model);
		if (!holders) {
			holders = targetsOf(model).map((index) => this.ids[index]!);
			this.idsByModel.set(model, holders);
		}

		return holders;
	}
}

class ModelDirectory extends CandidateDirectory {
	constructor(
		private readonly holdersOf: (
			model: ModelId | undefined,
		) => readonly TargetId[],
	) {
		super();
	}

	targetsFor({model}: WorkItem): readonly TargetId[] {
		return this.holdersOf(model);
	}
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
				shape.targetOptions,
			),
	);
	const hostIds = Array.from(
		{length: shape.hosts},
		(_, index) => `host-${index}` as HostId,
	);
	const outcomes: Outcome[] = [];
	const eventTimes = new Map<number, EventTimes>();
	const finish = (index: number, outcome: Outcome['outcome']) => {
		const request = workload[index]!;
		const times = eventTimes.get(index);
		eventTimes.delete(index);
		outcomes.push({
			request,
			latency: timeline.monotonic() - request.arrival,
			outcome,
			firstMilliseconds: times && times.first - request.arrival,
			pauseMilliseconds: times?.pause ?? 0,
		});
	};

	const progressed = (
		entry: DispatcherEntry,
		index: number,
		target: TargetModel,
		isFirst: boolean,
	) => {
		const now = timeline.monotonic();
		const times = eventTimes.get(index) ?? {first: now, last: now, pause: 0};
		times.pause = Math.max(times.pause, now - times.last);
		times.last = now;
		eventTimes.set(index, times);
		if (
			isFirst &&
			shape.lostResponseReports !== undefined &&
			random.next() >= shape.lostResponseReports
		) {
			entry.report(target, minimumDelay + random.next() * delayRange);
		}
	};

	const [minimumDelay, maximumDelay] = shape.reportDelayMilliseconds;
	const delayRange = maximumDelay - minimumDelay;

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
				...strategy.dispatcher(timeline, random, host, targets),
			},
			hostIds,
			targets,
			finish,
			{progressed, targetsOf: shape.targetsOf},
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

	timeline.every(shape.reportIntervalMilliseconds, shape.until, () => {
		for (const target of targets) {
			for (const entry of entries) {
				entry.report(target, minimumDelay + random.next() * delayRange);
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
		preemptions: targets.reduce((sum, each) => sum + each.preemptions, 0),
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
