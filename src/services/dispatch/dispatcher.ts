import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {Mailbox} from '../../base/common/mailbox.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {type CacheEvent} from '../../contracts/engine.js';
import {dispatchEvents} from '../../contracts/events/dispatch-events.js';
import {type Execution} from '../../contracts/execution.js';
import {
	type AdapterId,
	type CallerId,
	type Fingerprint,
	type HostId,
	type ModelId,
	type OfferingName,
	type RequestId,
	type TargetId,
} from '../../contracts/ids.js';
import {type RefusalReason} from '../../contracts/target-error.js';
import {AdmissionPolicy} from '../../core/admission-policy.js';
import {CallerLimiter} from '../../core/caller-limiter.js';
import {
	DispatchQueue,
	type BoundWork,
	type QueuedWork,
	type Urgency,
} from '../../core/dispatch-queue.js';
import {HedgingPolicy} from '../../core/hedging-policy.js';
import {SlowdownEstimator} from '../../core/slowdown-estimator.js';
import {IsolationPolicy} from '../../core/isolation-policy.js';
import {LengthEstimator} from '../../core/length-estimator.js';
import {
	OutlierDetector,
	type LatencyKind,
	type TargetHealth,
} from '../../core/outlier-detector.js';
import {PrefixAffinity} from '../../core/prefix-affinity.js';
import {RetryBudget} from '../../core/retry-budget.js';
import {
	LoadAwarePolicy,
	type RoutingCandidate,
	type RoutingPolicy,
} from '../../core/routing-policy.js';
import {ServiceTimeEstimator} from '../../core/service-time-estimator.js';
import {SlotPolicy} from '../../core/slot-policy.js';
import {
	TargetLoadTracker,
	type LoadReport,
	type TargetLoad,
} from '../../core/target-load-tracker.js';

/** Work that a caller asked for. */
export type WorkItem = {
	readonly request: RequestId;
	readonly caller: CallerId;
	readonly urgency: Urgency;
	/** What the caller asked for: an offering, or the route of a plain service. */
	readonly offering: OfferingName;
	/** Absent for work of a plain service. */
	readonly model?: ModelId;
	readonly adapter?: AdapterId;
	readonly promptCharacters: number;
	/** Zero for work of a plain service. */
	readonly maximumTokens: number;
	/** Digests of the prompt's prefixes, longest first. */
	readonly prefixes: readonly string[];
	/** Time from now after which the answer is useless. */
	readonly remainingMilliseconds: number;
	/** Time from now in which the work has to start to keep its objective. Later work gives way to work that still can. */
	readonly startObjectiveMilliseconds?: number;
	/** Time from now after which the caller no longer waits for a start. */
	readonly startTimeoutMilliseconds?: number;
	readonly idempotent: boolean;
	readonly fingerprint: Fingerprint;
	/** True if a target died while it ran a request with this fingerprint. */
	readonly suspect: boolean;
	/** Targets on which the request may run. Bounded by the attempts alone when left out. */
	readonly maximumExecutions?: number;
	/** True for the rest of a broken stream. It is paid from the retry budget. */
	readonly isContinuation?: boolean;
	/** Targets that are chosen only when there is no other, because the stream broke there. */
	readonly avoidedTargets?: readonly TargetId[];
};

/** One try of a request on one target. */
export type Attempt = {
	readonly request: RequestId;
	/** Counts from 1 for each request. */
	readonly attempt: number;
	readonly target: TargetId;
};

/** A target was chosen for work. */
export type Binding = Attempt & {
	readonly item: WorkItem;
	readonly kind: 'first' | 'retry' | 'hedge';
	readonly waitedMilliseconds: number;
	readonly isLong: boolean;
};

/** Work was refused. It did not run, or an earlier attempt ended without running it. */
export type WorkRefusal = {
	readonly item: WorkItem;
	readonly code: 'caller-limit' | 'overload' | 'deadline' | 'no-target';
	readonly countsAsDemand: boolean;
	readonly retryAfterMilliseconds: number;
	readonly message: string;
};

/** What the dispatcher asks of its surroundings. Calls return at once; what follows comes back as messages. */
export abstract class DispatchPort {
	/** Sends work to the chosen target. */
	abstract dispatch(binding: Binding): void;

	/** Answers that the work was refused and not run. */
	abstract refuse(refusal: WorkRefusal): void;

	/** Answers that the last attempt failed and is not repeated. */
	abstract fail(item: WorkItem, execution: Execution): void;

	/** Lowers the priority of work that turned out long. */
	abstract demote(attempt: Attempt): void;

	/** Cancels an attempt whose answer is no longer needed. */
	abstract cancel(attempt: Attempt): void;
}

/** Knows which targets can run which work. */
export abstract class CandidateDirectory {
	/** Targets that hold the model and adapter, or all targets of the pool for a plain service. */
	abstract targetsFor(item: WorkItem): readonly TargetId[];
}

/** What the dispatcher is told. */
export type DispatcherMessage =
	| {readonly kind: 'submitted'; readonly item: WorkItem}
	| {readonly kind: 'abandoned'; readonly request: RequestId}
	| ({readonly kind: 'progressed'; readonly tokens: number} & Attempt)
	| ({readonly kind: 'completed'; readonly tokens: number} & Attempt)
	| ({readonly kind: 'refused'; readonly reason: RefusalReason} & Attempt)
	| ({readonly kind: 'lost'; readonly execution: Execution} & Attempt)
	/** No byte of the request reached the target. */
	| ({readonly kind: 'unreached'} & Attempt)
	| {
			readonly kind: 'target-set';
			readonly target: TargetId;
			readonly slots: number;
	  }
	| {readonly kind: 'target-removed'; readonly target: TargetId}
	| {
			readonly kind: 'target-leaving';
			readonly target: TargetId;
			readonly leaving: boolean;
	  }
	| {
			readonly kind: 'target-reported';
			readonly report: LoadReport;
			readonly ageMilliseconds: number;
			readonly adapters: readonly AdapterId[];
	  }
	| {
			readonly kind: 'cache-changed';
			readonly target: TargetId;
			readonly events: readonly CacheEvent[];
	  }
	| {readonly kind: 'hosts-changed'; readonly hosts: readonly HostId[]}
	/** Other targets than before can run waiting work. */
	| {readonly kind: 'candidates-changed'}
	| {
			readonly kind: 'suspects-reserved';
			readonly targets: readonly TargetId[];
	  }
	/** Sent every few milliseconds, for hedges and deadlines. */
	| {readonly kind: 'ticked'};

/** Collaborators and settings of the dispatcher. Policies that are not given have their default settings. */
export type DispatcherOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly host: HostId;
	readonly port: DispatchPort;
	readonly directory: CandidateDirectory;
	readonly logger: EventLogger;
	readonly admissionPolicy?: AdmissionPolicy;
	/** Counts of the callers over all pools of the host. One for this pool alone by default. */
	readonly callerLimiter?: CallerLimiter;
	readonly queue?: DispatchQueue<DispatchWork>;
	readonly routingPolicy?: RoutingPolicy;
	readonly slotPolicy?: SlotPolicy;
	readonly targetView?: TargetLoadTracker;
	readonly outlierDetector?: OutlierDetector;
	readonly lengthEstimator?: LengthEstimator;
	readonly retryBudget?: RetryBudget;
	/** False to send no hedges. */
	readonly hedging?: boolean;
	/** Attempts of a request, hedges included. */
	readonly maximumAttempts?: number;
	/** Share of its speed that a target counts with, in (0, 1], because reaching it costs more. 1 by default. */
	readonly speedFactor?: (target: TargetId) => number;
	/** True where each request that a target refuses counts as an arrival there, whatever the reason. */
	readonly chargesEveryRefusal?: boolean;
	/** Time that a lost attempt counts as in the comparison of targets, so that targets that fail are ejected like slow ones. */
	readonly lostAttemptLatencyMilliseconds?: number;
};

/** A work item as it waits in the queue. */
export type DispatchWork = QueuedWork & {readonly item: WorkItem};

type RunningAttempt = Attempt & {
	readonly startedAt: number;
	firstTokenAt: number | undefined;
	lastTokenAt: number;
	tokens: number;
};

type Tracked = {
	readonly work: DispatchWork;
	readonly attempts: Map<number, RunningAttempt>;
	readonly triedTargets: Set<TargetId>;
	attemptCount: number;
	/** Attempts that may have run. */
	runCount: number;
	isLong: boolean;
	isHedged: boolean;
	/** True once an attempt ended without proof that it did not run. */
	mayHaveRun: boolean;
};

/** Pools up to this size are compared as a whole. */
const maximumCompared = 16;
/** Random targets that are compared in a larger pool. Routing samples six of them; the others serve when some are full. */
const randomlyCompared = 12;
/** Bound on the targets that are compared for each other reason. */
const maximumNamed = 4;
/** Targets that one search for room looks at. */
const searchedForRoom = 64;

/** Owns the queue of one pool in the entry host and binds work to targets as they get room. */
export class Dispatcher extends Disposable {
	private readonly mailbox = new Mailbox<DispatcherMessage>();
	private readonly clock: Clock;
	private readonly port: DispatchPort;
	private readonly logger: EventLogger;
	private readonly admission: AdmissionPolicy;
	private readonly queue: DispatchQueue<DispatchWork>;
	private readonly routing: RoutingPolicy;
	private readonly slots: SlotPolicy;
	private readonly view: TargetLoadTracker;
	private readonly outliers: OutlierDetector;
	private readonly lengths: LengthEstimator;
	private readonly budget: RetryBudget;
	private readonly hedging: HedgingPolicy;
	private readonly serviceTimes = new ServiceTimeEstimator();
	private readonly isolation = new IsolationPolicy();
	private readonly pace: SlowdownEstimator;
	private readonly affinity: PrefixAffinity;
	private readonly tracked = new Map<RequestId, Tracked>();
	/** Requests whose first token is awaited, oldest first. */
	private readonly awaitingFirstToken = new Map<RequestId, Tracked>();
	private runningCount = 0;
	private isDisposed = false;
	/** Position from which the next search for room starts. */
	private roomPosition = 0;
	/** A target that had room in the last search, or on which an attempt has ended since. */
	private roomyTarget: TargetId | undefined;
	/** Targets by candidate list, to look for single ones in a long list. */
	private readonly candidateSets = new WeakMap<
		readonly TargetId[],
		ReadonlySet<TargetId>
	>();

	constructor(private readonly options: DispatcherOptions) {
		super();
		const {clock, random, host} = options;
		this.clock = clock;
		this.port = options.port;
		this.logger = options.logger;
		this.admission =
			options.admissionPolicy ??
			new AdmissionPolicy({
				clock,
				limiter: options.callerLimiter ?? new CallerLimiter({clock}),
			});
		this.queue = options.queue ?? new DispatchQueue({clock});
		this.routing = options.routingPolicy ?? new LoadAwarePolicy({random});
		this.slots = options.slotPolicy ?? new SlotPolicy({host});
		this.view = options.targetView ?? new TargetLoadTracker({clock});
		this.outliers = options.outlierDetector ?? new OutlierDetector({clock});
		this.lengths = options.lengthEstimator ?? new LengthEstimator();
		this.budget = options.retryBudget ?? new RetryBudget({clock});
		this.hedging = new HedgingPolicy({clock, budget: this.budget});
		this.affinity = new PrefixAffinity({clock});
		this.pace = new SlowdownEstimator({clock});
	}

	/** Number of waiting requests. */
	get queueLength(): number {
		return this.queue.size;
	}

	/** Number of attempts in flight. */
	get runningAttempts(): number {
		return this.runningCount;
	}

	/** The target kept for a suspect, for the heartbeat. */
	reservedTarget(): TargetId | undefined {
		return this.isolation.reservedTarget;
	}

	/** Sequence number from which cache events of a target are to be fetched. */
	nextCacheSequence(target: TargetId): number {
		return this.affinity.nextSequence(target);
	}

	/** Sends a message to the task. */
	post(message: DispatcherMessage): void {
		this.mailbox.post(message);
	}

	/** Handles messages until the dispatcher is disposed. */
	async run(): Promise<void> {
		let message = await this.mailbox.take();
		while (message) {
			this.handle(message);
			message = await this.mailbox.take();
		}
	}

	dispose(): void {
		this.isDisposed = true;
		this.mailbox.close();
		// The counts of callers are shared with other pools, which go on.
		for (const {work} of this.tracked.values()) {
			this.admission.release(work.caller);
		}

		this.tracked.clear();
	}

	/** Handles one message. The task calls it, and so do programs with a virtual clock. */
	handle(message: DispatcherMessage): void {
		if (this.isDisposed) {
			return;
		}

		switch (message.kind) {
			case 'submitted': {
				this.submit(message.item);
				break;
			}

			case 'abandoned': {
				this.abandon(message.request);
				break;
			}

			case 'progressed': {
				this.progress(message, message.tokens);
				// Progress frees no room.
				return;
			}

			case 'completed': {
				this.complete(message, message.tokens);
				break;
			}

			case 'refused': {
				this.handleRefusal(message, message.reason);
				break;
			}

			case 'lost': {
				this.handleLoss(message, message.execution);
				break;
			}

			case 'unreached': {
				this.handleUnreached(message);
				break;
			}

			case 'ticked': {
				this.queue.deprioritizeLate();
				this.refuseHopeless();
				this.hedgeOverdue();
				break;
			}

			case 'cache-changed':
			case 'candidates-changed':
			case 'hosts-changed':
			case 'suspects-reserved':
			case 'target-leaving':
			case 'target-removed':
			case 'target-reported':
			case 'target-set': {
				this.handleSurroundings(message);
				break;
			}
		}

		this.bindWaiting();
	}

	private handleSurroundings(
		message: Exclude<
			DispatcherMessage,
			{
				kind:
					| 'submitted'
					| 'abandoned'
					| 'progressed'
					| 'completed'
					| 'refused'
					| 'lost'
					| 'unreached'
					| 'ticked';
			}
		>,
	): void {
		switch (message.kind) {
			case 'target-set': {
				this.view.setTarget(message.target, message.slots);
				this.outliers.addTarget(message.target);
				this.slots.setTarget(message.target, message.slots);
				break;
			}

			case 'target-removed': {
				this.view.removeTarget(message.target);
				this.outliers.removeTarget(message.target);
				this.slots.removeTarget(message.target);
				this.affinity.removeTarget(message.target);
				this.pace.removeTarget(message.target);
				break;
			}

			case 'target-leaving': {
				this.view.setLeaving(message.target, message.leaving);
				break;
			}

			case 'target-reported': {
				this.view.applyReport(message.report, message.ageMilliseconds);
				this.affinity.setAdapters(message.report.target, message.adapters);
				break;
			}

			case 'cache-changed': {
				this.affinity.applyCacheEvents(message.target, message.events);
				break;
			}

			case 'hosts-changed': {
				this.slots.setHosts(message.hosts);
				break;
			}

			case 'suspects-reserved': {
				this.isolation.setRemoteReservations(message.targets);
				break;
			}

			case 'candidates-changed': {
				// The waiting work is bound after each message.
				break;
			}
		}
	}

	private submit(item: WorkItem): void {
		if (this.tracked.has(item.request)) {
			return;
		}

		if (item.isContinuation === true && !this.budget.tryAcquire()) {
			this.logger.record(dispatchEvents.retryBudgetSpent, {
				request: item.request,
			});
			this.port.fail(item, 'unknown');
			return;
		}

		const estimate = this.lengths.estimate(item);
		const work: DispatchWork = {
			item,
			request: item.request,
			caller: item.caller,
			urgency: item.urgency,
			isLong: estimate.isLong,
			// A suspect waits for an empty target and must not hold up other work.
			routingKey: `${item.model ?? item.offering}|${item.adapter ?? ''}|${item.suspect ? 'suspect' : item.idempotent}`,
			expectedMilliseconds: this.serviceTimes.estimate(estimate.tokens),
			deadline: this.clock.monotonic() + item.remainingMilliseconds,
			startObjectiveDeadline:
				this.clock.monotonic() + (item.startObjectiveMilliseconds ?? Infinity),
			startDeadline:
				this.clock.monotonic() + (item.startTimeoutMilliseconds ?? Infinity),
		};
		const admission = this.admission.admit({
			caller: item.caller,
			// Work that would wait longer than its caller is refused at once, so that the caller can come back in time.
			remainingMilliseconds: Math.min(
				item.remainingMilliseconds,
				(item.startTimeoutMilliseconds ?? Infinity) + work.expectedMilliseconds,
			),
			expectedMilliseconds: work.expectedMilliseconds,
			workAheadMilliseconds: this.queue.workAhead(work),
			runningRequests: this.runningCount,
		});
		if (admission.isErr()) {
			const {code, countsAsDemand, retryAfterMilliseconds} = admission.error;
			const event = {
				'caller-limit': dispatchEvents.callerLimitReached,
				overload: dispatchEvents.overloadRefused,
				deadline: dispatchEvents.deadlineRefused,
			}[code];
			this.logger.record(event, {caller: item.caller, request: item.request});
			this.port.refuse({
				item,
				code,
				countsAsDemand,
				retryAfterMilliseconds,
				message: admission.error.message,
			});
			return;
		}

		if (admission.value.isOverLimit) {
			this.logger.record(dispatchEvents.callerLimitExceeded, {
				caller: item.caller,
			});
		}

		if (item.isContinuation !== true) {
			this.budget.recordFirstAttempt();
		}

		const tracked: Tracked = {
			work,
			attempts: new Map(),
			triedTargets: new Set(item.avoidedTargets),
			attemptCount: 0,
			runCount: 0,
			isLong: work.isLong,
			isHedged: false,
			mayHaveRun: false,
		};
		this.tracked.set(item.request, tracked);
		this.enqueue(tracked);
	}

	private enqueue(tracked: Tracked): void {
		const {item} = tracked.work;
		const queued = this.queue.enqueue({
			...tracked.work,
			isLong: tracked.isLong,
		});
		if (queued.isOk()) {
			return;
		}

		this.logger.record(dispatchEvents.queueFull, {request: item.request});
		this.giveUp(tracked, {
			code: 'overload',
			countsAsDemand: true,
			retryAfterMilliseconds: 1000,
			message: queued.error.message,
		});
	}

	private bindWaiting(): void {
		let bound = this.takeNext();
		while (bound) {
			this.dispatch(bound);
			bound = this.takeNext();
		}

		this.refuseDropped(this.queue.drainInfeasible());
	}

	private takeNext(): BoundWork<DispatchWork> | undefined {
		// A full pool is the usual state under overload; without this check each message would ask for every lane of the queue.
		if (this.queue.size === 0 || !this.findRoom()) {
			return undefined;
		}

		return this.queue.take((work, isAged) => this.findTarget(work, isAged));
	}

	/** Looks for room on a bounded number of targets. In a large full pool, later searches go on where this one ended. */
	private findRoom(): boolean {
		if (this.roomyTarget !== undefined) {
			const [load] = this.view.loads([this.roomyTarget]);
			if (load && this.slots.hasCapacity(load, false)) {
				return true;
			}
		}

		const loads = this.view.loadsFrom(this.roomPosition, searchedForRoom);
		const index = loads.findIndex((load) =>
			this.slots.hasCapacity(load, false),
		);
		this.roomyTarget = loads[index]?.target;
		this.roomPosition += index === -1 ? loads.length : index;
		return index !== -1;
	}

	private dispatch(bound: BoundWork<DispatchWork>): void {
		const {work, target, byAge, waitedMilliseconds} = bound;
		const tracked = this.tracked.get(work.request);
		if (!tracked) {
			return;
		}

		this.admission.recordDispatch(work.expectedMilliseconds);
		if (byAge) {
			this.logger.record(dispatchEvents.workDispatchedByAge, {
				request: work.request,
				waitedMilliseconds,
			});
		}

		if (work.item.suspect) {
			this.logger.record(dispatchEvents.suspectIsolated, {
				fingerprint: work.item.fingerprint,
				target,
			});
		}

		this.start(
			tracked,
			target,
			tracked.attemptCount === 0 ? 'first' : 'retry',
			waitedMilliseconds,
		);
	}

	private start(
		tracked: Tracked,
		target: TargetId,
		kind: Binding['kind'],
		waitedMilliseconds: number,
	): void {
		const {item} = tracked.work;
		const now = this.clock.monotonic();
		tracked.attemptCount++;
		const attempt: RunningAttempt = {
			request: item.request,
			attempt: tracked.attemptCount,
			target,
			startedAt: now,
			firstTokenAt: undefined,
			lastTokenAt: now,
			tokens: 0,
		};
		tracked.attempts.set(attempt.attempt, attempt);
		tracked.triedTargets.add(target);
		this.runningCount++;
		this.view.startRequest(target, item.request, tracked.isLong);
		this.affinity.recordDispatch(target, item.prefixes);
		if (this.outliers.health(target).isProbeDue) {
			this.outliers.recordProbe(target);
		}

		this.awaitingFirstToken.delete(item.request);
		this.awaitingFirstToken.set(item.request, tracked);
		this.port.dispatch({
			request: item.request,
			attempt: attempt.attempt,
			target,
			item,
			kind,
			waitedMilliseconds,
			isLong: tracked.isLong,
		});
	}

	private findTarget(
		work: DispatchWork,
		isAged: boolean,
	): TargetId | undefined {
		const tracked = this.tracked.get(work.request);
		const targets = this.options.directory.targetsFor(work.item);
		if (work.item.suspect) {
			return this.isolation.reserveTarget(
				work.request,
				this.view.loads(targets),
			);
		}

		const loads = this.view.loads(this.compared(work.item, targets));

		const untried = loads.filter(
			({target}) => !tracked?.triedTargets.has(target),
		);
		// A pool of one target leaves no other for a retry.
		const usable = untried.length > 0 ? untried : loads;
		return this.choose(work, usable, isAged);
	}

	/**
	 * Returns the targets that one dispatch compares: all of a small pool; of a large one random targets, and those
	 * that a random choice would rarely meet although they matter: holders of the prompt's prefixes, ejected and
	 * recovering targets, whose probes would not be sent, and the last target found with room.
	 */
	private compared(
		item: WorkItem,
		targets: readonly TargetId[],
	): Iterable<TargetId> {
		if (targets.length <= maximumCompared) {
			return targets;
		}

		let all = this.candidateSets.get(targets);
		if (!all) {
			all = new Set(targets);
			this.candidateSets.set(targets, all);
		}

		const chosen = new Set<TargetId>();
		const named = [
			...this.affinity.holdersOf(item.prefixes, maximumNamed),
			...this.outliers.reducedTargets().slice(0, maximumNamed),
			...(this.roomyTarget === undefined ? [] : [this.roomyTarget]),
		];
		for (const target of named) {
			if (all.has(target)) {
				chosen.add(target);
			}
		}

		const {random} = this.options;
		for (let drawn = 0; drawn < randomlyCompared; drawn += 1) {
			chosen.add(targets[random.integer(targets.length)]!);
		}

		return chosen;
	}

	private choose(
		work: DispatchWork,
		loads: readonly TargetLoad[],
		isAged: boolean,
	): TargetId | undefined {
		const isLong = this.tracked.get(work.request)?.isLong ?? work.isLong;
		const known = loads.filter(({leaving}) => !leaving);
		const countsAsLong =
			isLong && !(isAged && this.slots.mayExceedLongSlots(known));
		const healths = new Map(
			known.map(({target}) => [target, this.outliers.health(target)]),
		);
		// Waiting for a healthy target is faster than a slow one with room.
		const hasHealthy = [...healths.values()].some(({weight}) => weight > 0);
		const candidates: RoutingCandidate[] = [];
		for (const load of known) {
			const health = healths.get(load.target)!;
			if (
				!this.isolation.isAvailable(load.target) ||
				!this.slots.hasCapacity(load, countsAsLong) ||
				(hasHealthy && health.weight === 0 && !health.isProbeDue)
			) {
				continue;
			}

			// A target that recovers gets its share of the slots only.
			const isRecovering = health.weight > 0 && health.weight < 1;
			if (
				isRecovering &&
				load.localOutstanding >= Math.ceil(load.slots * health.weight)
			) {
				continue;
			}

			candidates.push(this.candidateOf(load, health, work.item));
		}

		const chosen = this.routing.choose(candidates, work.item);
		// Without a healthy target with room, only a probe may go to an ejected one.
		return chosen &&
			hasHealthy &&
			chosen.weight === 0 &&
			!(chosen.isProbeDue && work.item.idempotent)
			? undefined
			: chosen?.target;
	}

	private candidateOf(
		load: TargetLoad,
		health: TargetHealth,
		{prefixes, adapter}: WorkItem,
	): RoutingCandidate {
		const {target} = load;
		const preference = this.options.speedFactor?.(target) ?? 1;
		return {
			...load,
			...health,
			speed: (health.speed * preference) / this.pace.slowdown(target),
			affinity: this.affinity.affinity(target, prefixes, adapter),
		};
	}

	private progress(message: Attempt, tokens: number): void {
		const tracked = this.tracked.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (!tracked || !attempt) {
			return;
		}

		const now = this.clock.monotonic();
		if (attempt.firstTokenAt === undefined) {
			attempt.firstTokenAt = now;
			this.awaitingFirstToken.delete(message.request);
			const elapsed = now - attempt.startedAt;
			this.observe(attempt.target, 'first-token', elapsed);
			this.hedging.recordFirstToken(elapsed);
			this.serviceTimes.observeFirstToken(elapsed);
			this.cancelOthers(tracked, attempt);
		} else if (tokens > attempt.tokens) {
			const between = (now - attempt.lastTokenAt) / (tokens - attempt.tokens);
			this.observe(attempt.target, 'between-tokens', between);
			const {model} = tracked.work.item;
			if (model !== undefined) {
				this.pace.observe(attempt.target, model, between);
			}

			this.serviceTimes.observeBetweenTokens(between);
		}

		attempt.lastTokenAt = now;
		attempt.tokens = Math.max(attempt.tokens, tokens);
		if (!tracked.isLong && tokens >= this.lengths.longThresholdTokens) {
			tracked.isLong = true;
			this.view.markLong(attempt.target, message.request);
			this.logger.record(dispatchEvents.workDemoted, {
				request: message.request,
			});
			this.port.demote(identify(attempt));
		}
	}

	private complete(message: Attempt, tokens: number): void {
		const tracked = this.tracked.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (!tracked || !attempt) {
			return;
		}

		this.progress(message, tokens);
		const {item} = tracked.work;
		if (item.maximumTokens > 0) {
			this.lengths.observe(item, tokens);
		}

		this.endAttempt(tracked, attempt);
		this.forget(tracked);
	}

	private handleRefusal(message: Attempt, reason: RefusalReason): void {
		const tracked = this.tracked.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (reason === 'leaving') {
			this.view.setLeaving(message.target, true);
		}

		if (!tracked || !attempt) {
			return;
		}

		this.logger.record(dispatchEvents.targetRefused, {
			...identify(attempt),
			reason,
		});
		// A target that leaves, or whose model placement took off, refuses a burst at once, and none of it ran; the budget is for work that was executed in vain.
		const needsBudget =
			this.options.chargesEveryRefusal === true ||
			(reason !== 'leaving' && reason !== 'not-resident');
		this.repeatUnrun(tracked, attempt, {
			needsBudget,
			message: `the targets refused the request, the last one because of ${reason}`,
		});
	}

	private handleLoss(message: Attempt, execution: Execution): void {
		const tracked = this.tracked.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (!tracked || !attempt) {
			return;
		}

		this.logger.record(dispatchEvents.attemptLost, {
			...identify(attempt),
			execution,
		});
		this.endAttempt(tracked, attempt);
		if (execution === 'unknown') {
			tracked.mayHaveRun = true;
			tracked.runCount++;
			this.observeLoss(attempt.target);
		}

		if (tracked.attempts.size > 0) {
			return;
		}

		const {item} = tracked.work;
		// A stream with tokens is continued by its owner, which knows the text so far.
		if (
			(item.idempotent || !tracked.mayHaveRun) &&
			attempt.firstTokenAt === undefined &&
			!item.suspect &&
			this.mayRepeat(tracked, true)
		) {
			this.enqueue(tracked);
			return;
		}

		this.forget(tracked);
		this.port.fail(item, tracked.mayHaveRun ? 'unknown' : execution);
	}

	/** A request that did not reach its target waits again; it cost the targets nothing. */
	private handleUnreached(message: Attempt): void {
		const tracked = this.tracked.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (!tracked || !attempt) {
			return;
		}

		this.repeatUnrun(tracked, attempt, {
			needsBudget: false,
			message: 'no target could be reached',
		});
	}

	/** Queues a request again whose attempt did not run, or refuses it. */
	private repeatUnrun(
		tracked: Tracked,
		attempt: RunningAttempt,
		{
			needsBudget,
			message,
		}: {readonly needsBudget: boolean; readonly message: string},
	): void {
		this.endAttempt(tracked, attempt);
		if (tracked.attempts.size > 0) {
			return;
		}

		// Queued again, it stands behind other suspects, which need the target that it held.
		this.isolation.release(tracked.work.request);
		if (this.mayRepeat(tracked, needsBudget)) {
			this.enqueue(tracked);
			return;
		}

		this.giveUp(tracked, {
			code: 'no-target',
			countsAsDemand: true,
			retryAfterMilliseconds: 1000,
			message,
		});
	}

	private observeLoss(target: TargetId): void {
		const {lostAttemptLatencyMilliseconds: lossMilliseconds} = this.options;
		if (lossMilliseconds !== undefined) {
			this.observe(target, 'first-token', lossMilliseconds);
		}
	}

	private mayRepeat(tracked: Tracked, needsBudget: boolean): boolean {
		if (
			tracked.attemptCount >= (this.options.maximumAttempts ?? 3) ||
			tracked.runCount >= (tracked.work.item.maximumExecutions ?? Infinity)
		) {
			return false;
		}

		if (needsBudget && !this.budget.tryAcquire()) {
			this.logger.record(dispatchEvents.retryBudgetSpent, {
				request: tracked.work.request,
			});
			return false;
		}

		return true;
	}

	private abandon(request: RequestId): void {
		const tracked = this.tracked.get(request);
		if (!tracked) {
			return;
		}

		this.queue.cancel(request);
		for (const attempt of tracked.attempts.values()) {
			this.endAttempt(tracked, attempt);
			this.port.cancel(identify(attempt));
		}

		this.forget(tracked);
	}

	private hedgeOverdue(): void {
		const delay = this.hedging.delay();
		if (this.options.hedging === false || delay === undefined) {
			return;
		}

		const now = this.clock.monotonic();
		for (const tracked of this.awaitingFirstToken.values()) {
			const [attempt] = tracked.attempts.values();
			if (!attempt || now - attempt.startedAt < delay) {
				// The requests are in the order of their start.
				return;
			}

			this.hedge(tracked, now - attempt.startedAt);
		}
	}

	private hedge(tracked: Tracked, waitedMilliseconds: number): void {
		const {item} = tracked.work;
		if (
			tracked.isHedged ||
			!item.idempotent ||
			item.suspect ||
			tracked.attemptCount >= (this.options.maximumAttempts ?? 3)
		) {
			return;
		}

		const loads = this.view
			.loads(this.compared(item, this.options.directory.targetsFor(item)))
			.filter(({target}) => !tracked.triedTargets.has(target));
		const target = this.choose(tracked.work, loads, false);
		if (
			target === undefined ||
			!this.hedging.tryHedge({
				idempotent: item.idempotent,
				suspect: item.suspect,
				alreadyHedged: tracked.isHedged,
				waitedMilliseconds,
			})
		) {
			return;
		}

		tracked.isHedged = true;
		this.logger.record(dispatchEvents.requestHedged, {request: item.request});
		this.start(tracked, target, 'hedge', 0);
	}

	private cancelOthers(tracked: Tracked, winner: RunningAttempt): void {
		for (const attempt of tracked.attempts.values()) {
			if (attempt === winner) {
				continue;
			}

			// The loser has waited at least this long; without this the detector would never see the slow one.
			this.observe(
				attempt.target,
				'first-token',
				this.clock.monotonic() - attempt.startedAt,
			);
			tracked.mayHaveRun = true;
			this.endAttempt(tracked, attempt);
			this.port.cancel(identify(attempt));
		}
	}

	/** Ends work that waits or was refused. A refusal says "not run", which is untrue after a lost attempt. */
	private giveUp(tracked: Tracked, refusal: Omit<WorkRefusal, 'item'>): void {
		const {item} = tracked.work;
		this.forget(tracked);
		if (tracked.mayHaveRun) {
			this.port.fail(item, 'unknown');
			return;
		}

		this.port.refuse({item, ...refusal});
	}

	private refuseHopeless(): void {
		this.refuseDropped(this.queue.removeInfeasible());
	}

	private refuseDropped(dropped: readonly DispatchWork[]): void {
		for (const {request} of dropped) {
			const tracked = this.tracked.get(request);
			if (!tracked) {
				continue;
			}

			this.logger.record(dispatchEvents.deadlineRefused, {request});
			this.giveUp(tracked, {
				code: 'deadline',
				countsAsDemand: true,
				retryAfterMilliseconds: 0,
				message: 'the request can no longer finish before its deadline',
			});
		}
	}

	private observe(
		target: TargetId,
		kind: LatencyKind,
		milliseconds: number,
	): void {
		const change = this.outliers.observe(target, kind, milliseconds);
		if (change === 'ejected') {
			this.logger.record(dispatchEvents.targetEjected, {target, kind});
		} else if (change === 'restored') {
			this.logger.record(dispatchEvents.targetRestored, {target});
		}
	}

	private endAttempt(tracked: Tracked, attempt: RunningAttempt): void {
		if (!tracked.attempts.delete(attempt.attempt)) {
			return;
		}

		this.runningCount--;
		this.view.endRequest(attempt.target, attempt.request);
		this.roomyTarget = attempt.target;
		if (tracked.attempts.size === 0) {
			this.awaitingFirstToken.delete(attempt.request);
		}
	}

	private forget(tracked: Tracked): void {
		const {request, caller} = tracked.work;
		if (!this.tracked.delete(request)) {
			return;
		}

		for (const attempt of tracked.attempts.values()) {
			this.endAttempt(tracked, attempt);
			this.port.cancel(identify(attempt));
		}

		this.awaitingFirstToken.delete(request);
		this.isolation.release(request);
		this.admission.release(caller);
	}
}

function identify({request, attempt, target}: Attempt): Attempt {
	return {request, attempt, target};
}
