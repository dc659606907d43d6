import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {Mailbox} from '../../base/common/mailbox.js';
import {MedianRandomSource} from '../../base/common/median-random-source.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {dispatchEvents} from '../../contracts/events/dispatch-events.js';
import {
	type HostId,
	type ModelId,
	type RequestId,
	type TargetId,
	type SoftwareVersion,
} from '../../contracts/ids.js';
import {type RefusalReason} from '../../contracts/target-error.js';
import {
	AdmissionPolicy,
	type Admission,
	type AdmissionRefusal,
} from '../../core/admission/admission-policy.js';
import {CallerLimiter} from '../../core/admission/caller-limiter.js';
import {
	type FleetQueue,
	type QueueReport,
} from '../../core/admission/fleet-queue.js';
import {
	ModelBacklog,
	type ArrivingWork,
} from '../../core/admission/model-backlog.js';
import {type CallerUsage} from '../../core/fairness/caller-usage.js';
import {
	DispatchQueue,
	type BoundWork,
} from '../../core/fairness/dispatch-queue.js';
import {HedgingPolicy} from '../../core/routing/hedging-policy.js';
import {SlowdownEstimator} from '../../core/routing/slowdown-estimator.js';
import {IsolationPolicy} from '../../core/routing/isolation-policy.js';
import {LengthEstimator} from '../../core/work/length-estimator.js';
import {
	OutlierDetector,
	type LatencyKind,
} from '../../core/routing/outlier-detector.js';
import {type PermitBook} from '../../core/limits/permit-book.js';
import {type RefusalLimits} from '../../core/limits/refusal-limits.js';
import {PrefixAffinity} from '../../core/routing/prefix-affinity.js';
import {RetryBudget} from '../../core/limits/retry-budget.js';
import {
	LoadAwarePolicy,
	type RoutingPolicy,
} from '../../core/routing/routing-policy.js';
import {ServiceTimeEstimator} from '../../core/work/service-time-estimator.js';
import {SlotPolicy} from '../../core/routing/slot-policy.js';
import {type StartLimiter} from '../../core/admission/start-limiter.js';
import {
	TargetLoadTracker,
	type TargetLoad,
} from '../../core/routing/target-load-tracker.js';
import {
	type WorkItem,
	type Attempt,
	type Binding,
	type WorkRefusal,
	type DispatchPort,
	type CandidateDirectory,
	type DispatcherMessage,
	type PoolMessage,
	isPoolMessage,
	startLevel,
	urgencyOrder,
} from './dispatch-contracts.js';
import {describePreview, type DispatchPreview} from './dispatch-preview.js';
import {leaveHeadroom, sumWaiting} from './fleet-order.js';
import {replacementLoads} from './replacement-loads.js';
import {isStartLimited, TargetChoice} from './target-choice.js';
import {TargetSample} from './target-sample.js';
import {
	toAttemptIdentity,
	type DispatchWork,
	type RunningAttempt,
	type TrackedRequest,
} from './tracked-request.js';
import {type WorkScheduling} from './work-scheduling.js';

/** Dependencies and settings of the dispatcher. Omitted policies use their default settings. */
export type DispatcherOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly host: HostId;
	readonly port: DispatchPort;
	readonly directory: CandidateDirectory;
	readonly logger: EventLogger;
	readonly admissionPolicy?: AdmissionPolicy;
	/** Counts the requests of each caller over all pools of the host. By default, a limiter that covers this pool only. */
	readonly callerLimiter?: CallerLimiter;
	readonly queue?: DispatchQueue<DispatchWork>;
	/** Work of the callers on all hosts, by which they share the targets. */
	readonly callerUsage?: CallerUsage | undefined;
	/** The work that waits on the other hosts. */
	readonly fleetQueue?: FleetQueue | undefined;
	/** True to refuse what a single queue of all hosts would not start in time, instead of judging by the queue of this host. */
	readonly admitsByFleetQueue?: () => boolean;
	readonly routingPolicy?: RoutingPolicy;
	readonly slotPolicy?: SlotPolicy;
	readonly loadTracker?: TargetLoadTracker;
	readonly outlierDetector?: OutlierDetector;
	readonly lengthEstimator?: LengthEstimator;
	readonly retryBudget?: RetryBudget;
	/** Limits the model requests that wait at a target for their first token. No limit if absent. */
	readonly startLimiter?: StartLimiter;
	/** Permits for requests to targets that name the rate that they take. No such limit if absent. */
	readonly permits?: PermitBook;
	/** Limits requests to targets that fall over when they turn away too many. No such limit if absent. */
	readonly refusalLimits?: RefusalLimits;
	/** Schedules the pool by the expected work of the requests. By their number if absent. */
	readonly work?: WorkScheduling | undefined;
	/** False to disable hedging. */
	readonly hedging?: boolean;
	/** Maximum number of attempts per request, including hedges. 3 by default. */
	readonly maximumAttempts?: number;
	/** Factor in (0, 1] applied to the speed of a target, below 1 if the target is more expensive to reach. 1 by default. */
	readonly speedFactor?: (target: TargetId) => number;
	/**
	 * True to charge every retry after a refusal to the retry budget, whatever the reason. For targets at which a refused
	 * request counts as an arrival.
	 */
	readonly chargesEveryRefusal?: boolean;
	/**
	 * Latency recorded for a lost attempt of unknown outcome, so that failing targets are ejected like slow ones. Nothing
	 * is recorded if absent.
	 */
	readonly lostAttemptLatencyMilliseconds?: number;
};

/** Maximum number of targets examined in one search for free capacity. */
const capacitySearchLength = 64;
const medianRandom = new MedianRandomSource();

type ArrivalRefusal = Omit<WorkRefusal, 'item' | 'code'> & {
	readonly code: AdmissionRefusal;
};

/** Owns the queue of one pool on the entry host and assigns work to targets as capacity becomes free. */
export class Dispatcher extends Disposable {
	private readonly mailbox = new Mailbox<DispatcherMessage>();
	private readonly clock: Clock;
	private readonly port: DispatchPort;
	private readonly logger: EventLogger;
	private readonly admissionPolicy: AdmissionPolicy;
	private readonly queue: DispatchQueue<DispatchWork>;
	private readonly slotPolicy: SlotPolicy;
	private readonly loadTracker: TargetLoadTracker;
	private readonly outlierDetector: OutlierDetector;
	private readonly lengthEstimator: LengthEstimator;
	private readonly retryBudget: RetryBudget;
	private readonly startLimiter: StartLimiter | undefined;
	private readonly backlog: ModelBacklog;
	private readonly hedgingPolicy: HedgingPolicy;
	private readonly serviceTimeEstimator = new ServiceTimeEstimator();
	private readonly isolationPolicy = new IsolationPolicy();
	private readonly slowdownEstimator: SlowdownEstimator;
	private readonly prefixAffinity: PrefixAffinity;
	private readonly trackedRequests = new Map<RequestId, TrackedRequest>();
	/** Requests that wait for their first token, in the order of their last attempt. */
	private readonly awaitingFirstToken = new Map<RequestId, TrackedRequest>();
	/** Requests with a stalled attempt, for which a replacement is sought. */
	private readonly stalledRequests = new Map<RequestId, TrackedRequest>();
	private runningCount = 0;
	private isDisposed = false;
	/** Position at which the next search for free capacity starts. */
	private capacitySearchPosition = 0;
	/** The target found by the last search for free capacity, or the one on which an attempt has ended since. */
	private targetWithCapacity: TargetId | undefined;
	private readonly targetSample: TargetSample;
	/** Defined in a pool that is scheduled by work. */
	private work: WorkScheduling | undefined;
	private readonly choice: TargetChoice;

	constructor(private readonly options: DispatcherOptions) {
		super();
		const {clock, random, host} = options;
		this.clock = clock;
		this.port = options.port;
		this.logger = options.logger;
		this.admissionPolicy =
			options.admissionPolicy ??
			new AdmissionPolicy({
				clock,
				limiter: options.callerLimiter ?? new CallerLimiter({clock}),
			});
		this.startLimiter = options.startLimiter;
		this.queue =
			options.queue ??
			new DispatchQueue({
				clock,
				startMarginMilliseconds: (work) =>
					this.startMargin(work as DispatchWork),
				usage: options.callerUsage,
			});
		this.slotPolicy = options.slotPolicy ?? new SlotPolicy({host});
		this.loadTracker = options.loadTracker ?? new TargetLoadTracker({clock});
		this.outlierDetector =
			options.outlierDetector ?? new OutlierDetector({clock});
		this.lengthEstimator = options.lengthEstimator ?? new LengthEstimator();
		this.retryBudget = options.retryBudget ?? new RetryBudget({clock});
		this.backlog = new ModelBacklog({
			clock,
			random,
			fleetQueue: () =>
				options.admitsByFleetQueue?.() ? options.fleetQueue : undefined,
			usage: options.callerUsage,
		});
		this.hedgingPolicy = new HedgingPolicy({clock, budget: this.retryBudget});
		this.prefixAffinity = new PrefixAffinity({clock});
		this.slowdownEstimator = new SlowdownEstimator({clock});
		this.choice = new TargetChoice({
			...options,
			routingPolicy: options.routingPolicy ?? new LoadAwarePolicy({random}),
			isolationPolicy: this.isolationPolicy,
			slotPolicy: this.slotPolicy,
			outlierDetector: this.outlierDetector,
			prefixAffinity: this.prefixAffinity,
			slowdownEstimator: this.slowdownEstimator,
			work: () => this.work,
		});
		this.targetSample = new TargetSample({
			random,
			prefixAffinity: this.prefixAffinity,
			outlierDetector: this.outlierDetector,
		});
		this.scheduleByWork(options.work);
	}

	/** Number of waiting requests. */
	get queueLength(): number {
		return this.queue.size;
	}

	/** True while requests have an attempt that makes no progress. */
	get hasStalledRequests(): boolean {
		return this.stalledRequests.size > 0;
	}

	/** Number of attempts in flight. */
	get runningAttempts(): number {
		return this.runningCount;
	}

	/** Returns the target reserved for a suspect, which heartbeats report to the other hosts. */
	reservedTarget(): TargetId | undefined {
		return this.isolationPolicy.reservedTarget;
	}

	/** Returns the sequence number from which to fetch the cache events of a target. */
	nextCacheSequence(target: TargetId): number {
		return this.prefixAffinity.nextSequence(target);
	}

	/** Schedules by the expected work of the requests, or by their number if undefined. */
	scheduleByWork(work: WorkScheduling | undefined): void {
		this.work = work;
		this.loadTracker.setAging(work?.aging);
		this.startLimiter?.setIncreasePerRound(work !== undefined);
	}

	/** The waiting and dispatched work of model requests. */
	queueReport(): QueueReport {
		return {
			waiting: sumWaiting(this.queue.promptWork()),
			dispatched: this.backlog.dispatchedWork(),
			hosts: 1,
		};
	}

	/** Returns what would be done with new work that is not suspect, and changes nothing. All candidates are compared instead of a sample. */
	preview(item: WorkItem): DispatchPreview {
		const read = () => {
			const work = this.createWork(item);
			const loads = this.loadTracker.loads(
				this.options.directory.targetsFor(item),
			);
			return {
				admission: this.admit(work, true),
				yieldsToUrgentWork: this.yieldsToUrgentWork(work),
				loads,
				withHeadroom: leaveHeadroom(loads, work, this.options),
				assessed: this.choice.preview(
					{item, isLong: work.isLong, isAged: false},
					loads,
				),
				expectedMilliseconds: work.expectedMilliseconds,
				waitingRequests: this.queue.size,
			};
		};

		return describePreview(
			this.options.callerUsage?.preview(read) ?? read(),
			this.choice,
			this.work,
		);
	}

	/** Queues a message, to be handled by `run`. */
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
		// Caller counts are shared with pools that continue to run.
		for (const {work} of this.trackedRequests.values()) {
			this.admissionPolicy.release(work.caller);
		}

		this.trackedRequests.clear();
	}

	/** Handles one message synchronously. Called by `run`, and directly by programs that use a virtual clock. */
	handle(message: DispatcherMessage): void {
		if (this.isDisposed) {
			return;
		}

		if (isPoolMessage(message)) {
			this.handlePoolChange(message);
			this.dispatchWaiting();
			return;
		}

		if (message.kind === 'progressed' && this.startLimiter) {
			this.handleProgressWithLimit(message);
			return;
		}

		switch (message.kind) {
			case 'submitted': {
				this.submit(message.item);
				break;
			}

			case 'abandoned': {
				this.handleAbandonment(message.request);
				break;
			}

			case 'progressed': {
				this.handleProgress(message, message.tokens);
				// Progress after the start frees no capacity.
				return;
			}

			case 'completed': {
				this.handleCompletion(message, message.tokens);
				break;
			}

			case 'stalled': {
				this.handleStall(message);
				break;
			}

			case 'recovered': {
				this.handleRecovery(message);
				break;
			}

			case 'refused': {
				this.handleRefusal(message, message.reason);
				break;
			}

			case 'lost': {
				this.handleLoss(message);
				break;
			}

			case 'unreached': {
				this.handleUnreached(message);
				break;
			}

			case 'ticked': {
				this.queue.deprioritizeLate();
				this.refuseInfeasible();
				this.refuseHopeless();
				this.hedgeOverdueRequests();
				this.replaceStalledAttempts();
				break;
			}
		}

		this.dispatchWaiting();
	}

	/** A start frees capacity of the limiter, so waiting work may be dispatched. */
	private handleProgressWithLimit(
		message: Extract<DispatcherMessage, {kind: 'progressed'}>,
	): void {
		if (this.handleProgress(message, message.tokens)) {
			this.dispatchWaiting();
		}
	}

	private handlePoolChange(message: PoolMessage): void {
		switch (message.kind) {
			case 'target-set': {
				this.loadTracker.setTarget(message.target, message.slots);
				this.outlierDetector.addTarget(message.target);
				this.slotPolicy.setTarget(message.target, message.slots);
				break;
			}

			case 'target-removed': {
				this.loadTracker.removeTarget(message.target);
				this.outlierDetector.removeTarget(message.target);
				this.slotPolicy.removeTarget(message.target);
				this.prefixAffinity.removeTarget(message.target);
				this.slowdownEstimator.removeTarget(message.target);
				this.startLimiter?.removeTarget(message.target);
				this.work?.removeTarget(message.target);
				break;
			}

			case 'target-leaving': {
				this.loadTracker.setLeaving(message.target, message.leaving);
				break;
			}

			case 'target-reported': {
				this.applyReport(message);
				this.prefixAffinity.setAdapters(
					message.report.target,
					message.adapters,
				);
				break;
			}

			case 'cache-changed': {
				this.prefixAffinity.applyCacheEvents(message.target, message.events);
				break;
			}

			case 'hosts-changed': {
				this.slotPolicy.setHosts(message.hosts);
				break;
			}

			case 'host-count-changed': {
				this.slotPolicy.setHostCount(message.count);
				break;
			}

			case 'suspects-reserved': {
				this.isolationPolicy.setRemoteReservations(message.targets);
				break;
			}

			case 'paths-restored': {
				this.outlierDetector.reset();
				this.startLimiter?.reset();
				break;
			}

			case 'candidates-changed': {
				// `handle` dispatches waiting work after each message.
				break;
			}
		}
	}

	private applyReport({
		report,
		slowdown,
		ageMilliseconds,
	}: Extract<PoolMessage, {kind: 'target-reported'}>): void {
		if (
			this.loadTracker.applyReport(report, ageMilliseconds) &&
			slowdown !== undefined
		) {
			this.work?.recordSlowdown(report.target, slowdown, ageMilliseconds);
		}
	}

	private submit(item: WorkItem): void {
		if (this.trackedRequests.has(item.request)) {
			return;
		}

		if (item.isContinuation === true && !this.retryBudget.tryAcquire()) {
			this.logger.record(dispatchEvents.retryBudgetSpent, {
				request: item.request,
			});
			this.port.fail(item, 'unknown');
			return;
		}

		const work = this.createWork(item);
		const admission = this.admit(work, false);
		if (admission.isErr()) {
			const event = {
				'caller-limit': dispatchEvents.callerLimitReached,
				overload: dispatchEvents.overloadRefused,
				deadline: dispatchEvents.deadlineRefused,
			}[admission.error.code];
			this.logger.record(event, {caller: item.caller, request: item.request});
			this.port.refuse({item, ...admission.error});
			return;
		}

		if (admission.value.isOverLimit) {
			this.logger.record(dispatchEvents.callerLimitExceeded, {
				caller: item.caller,
			});
		}

		if (item.isContinuation !== true) {
			this.retryBudget.recordFirstAttempt();
		}

		const tracked: TrackedRequest = {
			work,
			attempts: new Map(),
			triedTargets: new Set(item.avoidedTargets),
			attemptCount: 0,
			executionCount: 0,
			isLong: work.isLong,
			isHedged: false,
			mayHaveRun: false,
			mayRepeat: true,
			softwareVersion: item.softwareVersion,
		};
		this.trackedRequests.set(item.request, tracked);
		this.enqueue(tracked);
	}

	private createWork(item: WorkItem): DispatchWork {
		const estimate = this.lengthEstimator.estimate(item);
		return {
			item,
			request: item.request,
			caller: item.caller,
			urgency: item.urgency,
			isLong: estimate.isLong,
			// A suspect waits for an empty target, so it is queued separately to avoid blocking other work.
			routingKey: `${item.model ?? item.offering}|${item.adapter ?? ''}|${item.softwareVersion ?? ''}|${item.suspect ? 'suspect' : item.idempotent}`,
			// The rest of a stream takes less time than a whole one, and its caller has begun to read it.
			expectedMilliseconds:
				item.isContinuation === true
					? 0
					: (this.work?.expectedMilliseconds(item) ??
						this.serviceTimeEstimator.estimate(estimate.tokens)),
			deadline: this.clock.monotonic() + item.remainingMilliseconds,
			startObjectiveDeadline:
				this.clock.monotonic() + (item.startObjectiveMilliseconds ?? Infinity),
			startDeadline:
				this.clock.monotonic() + (item.startTimeoutMilliseconds ?? Infinity),
		};
	}

	/** Admits new work, or returns why it is refused. A preview counts nothing. */
	private admit(
		work: DispatchWork,
		isPreview: boolean,
	): Result<Admission, ArrivalRefusal> {
		const {item, caller, expectedMilliseconds} = work;
		const request = {
			caller,
			// Work that would exceed the start timeout of its caller is refused immediately, so that the caller can retry in time.
			remainingMilliseconds: Math.min(
				item.remainingMilliseconds,
				(item.startTimeoutMilliseconds ?? Infinity) + expectedMilliseconds,
			),
			expectedMilliseconds,
			workAheadMilliseconds: this.queue.workAhead(work),
			runningRequests: this.runningCount,
		};
		const admission = isPreview
			? this.admissionPolicy.preview(request)
			: this.admissionPolicy.admit(request);
		if (admission.isErr()) {
			const {code, countsAsDemand, retryAfterMilliseconds, message} =
				admission.error;
			return err({code, countsAsDemand, retryAfterMilliseconds, message});
		}

		const hopeless = this.hopelessWait(
			work,
			isPreview ? medianRandom : this.options.random,
		);
		if (!hopeless) {
			return ok(admission.value);
		}

		if (!isPreview) {
			this.admissionPolicy.release(caller);
		}

		const {waitMilliseconds, retryAfterMilliseconds} = hopeless;
		return err({
			code: 'overload',
			countsAsDemand: true,
			retryAfterMilliseconds,
			message: `the requests for the model that wait already take about ${Math.round(waitMilliseconds)} ms`,
		});
	}

	/** The wait of new work that would not start in time. */
	private hopelessWait(work: DispatchWork, random: RandomSource) {
		// A stream that has begun is not refused.
		if (!this.startLimiter || work.item.isContinuation === true) {
			return undefined;
		}

		const now = this.clock.monotonic();
		const arriving = this.arriving(work);
		return (
			arriving &&
			this.backlog.hopelessWait(
				{
					...arriving,
					objectiveMilliseconds:
						(work.startObjectiveDeadline ?? Infinity) -
						now -
						this.startMargin(work),
					timeoutMilliseconds: work.item.startTimeoutMilliseconds ?? Infinity,
				},
				random,
			)
		);
	}

	/** What is queued ahead of work, undefined for calls to plain services. */
	private arriving(work: DispatchWork) {
		const {
			item: {model},
			urgency,
			caller,
			expectedMilliseconds,
		} = work;
		const matches = (queued: DispatchWork) => queued.item.model === model;
		return model === undefined
			? undefined
			: ({
					model,
					level: startLevel({urgency}),
					caller,
					expectedMilliseconds,
					requestsAhead: this.queue.countAhead(work, false, matches),
					workAhead: () =>
						this.queue.countAhead(work, false, matches, {
							weigh: (queued) => queued.expectedMilliseconds,
							turn: expectedMilliseconds,
						}),
				} satisfies Partial<ArrivingWork>);
	}

	/** Refuses work that has missed its objective and is not dispatched before its caller gives up, because there is too much other work for its model. */
	private refuseHopeless(): void {
		if (!this.startLimiter || this.queue.size === 0) {
			return;
		}

		const now = this.clock.monotonic();
		const hopeless = this.queue.removeHopeless(
			({item, startDeadline}, ahead) => {
				const wait =
					item.model === undefined
						? 0
						: this.backlog.lateWait(item.model, ahead + 1);
				return now + wait > (startDeadline ?? Infinity);
			},
		);
		for (const {request, item} of hopeless) {
			const tracked = this.trackedRequests.get(request);
			if (!tracked) {
				continue;
			}

			if (item.model !== undefined) {
				this.backlog.recordOverload(item.model, item.caller);
			}

			this.logger.record(dispatchEvents.deadlineRefused, {request});
			this.refuseOrFail(tracked, {
				code: 'overload',
				countsAsDemand: true,
				retryAfterMilliseconds: this.retryDelay(tracked.work),
				message: 'the request cannot start before its caller gives up',
			});
		}
	}

	/** Time after which the queued requests for the model of a refused request have been dispatched. */
	private retryDelay(work: DispatchWork): number {
		const arriving = this.arriving({...work, isLong: false});
		return arriving ? this.backlog.retryDelay(arriving) : 0;
	}

	/** Time by which work has to be sent earlier than usual to start within its objective. */
	private startMargin({item}: DispatchWork): number {
		return this.startLimiter && item.model !== undefined
			? this.backlog.startMargin(
					item.model,
					item.startObjectiveMilliseconds ?? 0,
				)
			: 0;
	}

	private enqueue(tracked: TrackedRequest): void {
		const {item} = tracked.work;
		const queued = this.queue.enqueue({
			...tracked.work,
			isLong: tracked.isLong,
		});
		if (queued.isOk()) {
			return;
		}

		this.logger.record(dispatchEvents.queueFull, {request: item.request});
		this.refuseOrFail(tracked, {
			code: 'overload',
			countsAsDemand: true,
			retryAfterMilliseconds: 1000,
			message: queued.error.message,
		});
	}

	private dispatchWaiting(): void {
		let bound = this.takeNextWork();
		while (bound) {
			this.dispatch(bound);
			bound = this.takeNextWork();
		}

		this.refuseMissedDeadlines(this.queue.drainInfeasible());
	}

	private takeNextWork(): BoundWork<DispatchWork> | undefined {
		// Under overload the pool is usually full; without this check, each message would search a target for every lane of the queue.
		if (this.queue.size === 0 || !this.findCapacity()) {
			return undefined;
		}

		return this.queue.take((work, isAged) => this.findTarget(work, isAged));
	}

	/**
	 * Returns true if a target has free capacity. Examines a bounded number of targets; in a large full pool, the next
	 * search continues where this one ended.
	 */
	private findCapacity(): boolean {
		if (this.targetWithCapacity !== undefined) {
			const [load] = this.loadTracker.loads([this.targetWithCapacity]);
			if (load && this.choice.hasFreeSlot(load, 0, false)) {
				return true;
			}
		}

		const loads = this.loadTracker.loadsFrom(
			this.capacitySearchPosition,
			capacitySearchLength,
		);
		const index = loads.findIndex((load) =>
			this.choice.hasFreeSlot(load, 0, false),
		);
		this.targetWithCapacity = loads[index]?.target;
		this.capacitySearchPosition += index === -1 ? loads.length : index;
		return index !== -1;
	}

	private dispatch(bound: BoundWork<DispatchWork>): void {
		const {work, target, byAge, waitedMilliseconds} = bound;
		const tracked = this.trackedRequests.get(work.request);
		if (!tracked) {
			return;
		}

		this.admissionPolicy.recordDispatch(work.expectedMilliseconds);
		if (work.item.model !== undefined) {
			const isLate =
				this.clock.monotonic() + this.startMargin(work) >
				(work.startObjectiveDeadline ?? Infinity);
			this.backlog.recordDispatch(
				work.item.model,
				startLevel(work),
				work.expectedMilliseconds,
				isLate,
			);
		}

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

		this.startAttempt(
			tracked,
			target,
			tracked.attemptCount === 0 ? 'first' : 'retry',
			waitedMilliseconds,
		);
	}

	private startAttempt(
		tracked: TrackedRequest,
		target: TargetId,
		kind: Binding['kind'],
		waitedMilliseconds: number,
		item = tracked.work.item,
	): void {
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
			stalledAt: undefined,
			isReplacement: kind === 'replacement',
		};
		tracked.attempts.set(attempt.attempt, attempt);
		tracked.triedTargets.add(target);
		this.runningCount++;
		const [load] = this.work ? this.loadTracker.loads([target]) : [];
		if (load) {
			this.work?.recordSent(load, item, this.choice.heldShare(load, item));
		}

		this.loadTracker.startRequest(target, item.request, tracked.isLong);
		this.options.permits?.recordSent(target);
		this.options.refusalLimits?.recordSent(target);
		if (isStartLimited(item)) {
			this.startLimiter?.recordSent(target, {
				request: item.request,
				level: startLevel(item),
				objectiveMilliseconds: item.startObjectiveMilliseconds ?? Infinity,
			});
		}

		this.prefixAffinity.recordDispatch(target, item.prefixes);
		if (this.outlierDetector.health(target).isProbeDue) {
			this.outlierDetector.recordProbe(target);
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
		if (!isAged && this.yieldsToUrgentWork(work)) {
			return undefined;
		}

		const tracked = this.trackedRequests.get(work.request);
		const targets = this.options.directory.targetsFor(work.item);
		if (work.item.suspect) {
			return this.isolationPolicy.reserveTarget(
				work.request,
				this.loadTracker.loads(targets),
			);
		}

		const loads = this.loadTracker.loads(
			this.targetsToCompare(work.item, targets),
		);

		const untried = loads.filter(
			({target}) => !tracked?.triedTargets.has(target),
		);
		// If all targets have been tried, as in a pool of one target, a retry may reuse them.
		const usable = untried.length > 0 ? untried : loads;
		return this.chooseTarget(
			work,
			leaveHeadroom(usable, work, this.options),
			isAged,
		);
	}

	private targetsToCompare(
		item: WorkItem,
		targets: readonly TargetId[],
	): Iterable<TargetId> {
		return this.targetSample.targetsToCompare(
			targets,
			item.prefixes,
			this.targetWithCapacity,
		);
	}

	private chooseTarget(
		work: DispatchWork,
		loads: readonly TargetLoad[],
		isAged: boolean,
	): TargetId | undefined {
		const isLong =
			this.trackedRequests.get(work.request)?.isLong ?? work.isLong;
		return this.choice.choose({item: work.item, isLong, isAged}, loads);
	}

	/** True while more urgent work for the same model waits for a target: sent now, this work would only wait behind it at the target. */
	private yieldsToUrgentWork({item}: DispatchWork): boolean {
		const moreUrgent = urgencyOrder[startLevel(item) - 1];
		return (
			this.startLimiter !== undefined &&
			isStartLimited(item) &&
			moreUrgent !== undefined &&
			this.queue.countAhead(
				{urgency: moreUrgent, isLong: true},
				false,
				(queued) => queued.item.model === item.model,
			) > 0
		);
	}

	/** Returns true for the first progress of the attempt. */
	private handleProgress(message: Attempt, tokens: number): boolean {
		const tracked = this.trackedRequests.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (!tracked || !attempt) {
			return false;
		}

		this.recordRecovery(tracked, attempt);
		const isStart = attempt.firstTokenAt === undefined;
		const now = this.clock.monotonic();
		if (attempt.firstTokenAt === undefined) {
			attempt.firstTokenAt = now;
			this.startLimiter?.recordStarted(attempt.target, message.request);
			this.recordStart(tracked.work.item, now - attempt.startedAt);
			this.awaitingFirstToken.delete(message.request);
			const elapsed = now - attempt.startedAt;
			this.observeLatency(attempt.target, 'first-token', elapsed);
			this.hedgingPolicy.recordFirstToken(elapsed);
			this.serviceTimeEstimator.observeFirstToken(elapsed);
			this.cancelOtherAttempts(tracked, attempt);
		} else if (tokens > attempt.tokens) {
			const between = (now - attempt.lastTokenAt) / (tokens - attempt.tokens);
			this.observeLatency(attempt.target, 'between-tokens', between);
			const {model} = tracked.work.item;
			if (model !== undefined) {
				this.slowdownEstimator.observe(attempt.target, model, between);
				this.work?.recordGap(attempt.target, tracked.work.item, between);
			}

			this.serviceTimeEstimator.observeBetweenTokens(between);
		}

		attempt.lastTokenAt = now;
		attempt.tokens = Math.max(attempt.tokens, tokens);
		this.work?.recordProgress(attempt.target, tracked.work.item, tokens);
		if (!tracked.isLong && tokens >= this.lengthEstimator.longThresholdTokens) {
			tracked.isLong = true;
			this.loadTracker.markLong(attempt.target, message.request);
			this.logger.record(dispatchEvents.workDemoted, {
				request: message.request,
			});
			this.port.demote(toAttemptIdentity(attempt));
		}

		return isStart;
	}

	private recordStart({model}: WorkItem, milliseconds: number): void {
		if (model !== undefined) {
			this.backlog.recordStart(model, milliseconds);
		}
	}

	private handleCompletion(message: Attempt, tokens: number): void {
		const tracked = this.trackedRequests.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (!tracked || !attempt) {
			return;
		}

		this.handleProgress(message, tokens);
		const {item} = tracked.work;
		if (item.maximumTokens > 0) {
			this.lengthEstimator.observe(item, tokens);
			this.work?.observe(item, attempt);
		}

		this.endAttempt(tracked, attempt);
		this.removeRequest(tracked);
	}

	/** Seeks a replacement for an attempt that makes no progress. The attempt stays open until the replacement has begun. */
	private handleStall(
		message: Extract<DispatcherMessage, {kind: 'stalled'}>,
	): void {
		const tracked = this.trackedRequests.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (!tracked || !attempt) {
			return;
		}

		attempt.stalledAt = this.clock.monotonic();
		tracked.softwareVersion = message.softwareVersion;
		this.observeLostAttempt(attempt.target);
		this.stalledRequests.set(message.request, tracked);
		this.replaceStalledAttempt(tracked);
	}

	private handleRecovery(message: Attempt): void {
		const tracked = this.trackedRequests.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (attempt) {
			attempt.stalledAt = undefined;
		}
	}

	/** Records that an attempt makes progress, which makes all others of the request needless. */
	private recordRecovery(
		tracked: TrackedRequest,
		attempt: RunningAttempt,
	): void {
		attempt.stalledAt = undefined;
		this.stalledRequests.delete(tracked.work.request);
		if (tracked.attempts.size > 1) {
			this.cancelOtherAttempts(tracked, attempt);
		}
	}

	private replaceStalledAttempts(): void {
		for (const tracked of this.stalledRequests.values()) {
			this.replaceStalledAttempt(tracked);
		}
	}

	/** Sends a request whose only open attempt has stalled to another target, if it may run once more. */
	private replaceStalledAttempt(tracked: TrackedRequest): void {
		const [attempt] = tracked.attempts.values();
		const {item} = tracked.work;
		if (
			attempt?.stalledAt === undefined ||
			tracked.attempts.size > 1 ||
			!item.idempotent ||
			item.suspect ||
			!tracked.mayRepeat ||
			tracked.attemptCount >= (this.options.maximumAttempts ?? 3) ||
			tracked.executionCount + 1 >= (item.maximumExecutions ?? Infinity) ||
			this.retryBudget.available < 1
		) {
			return;
		}

		const replacement: WorkItem = {
			...item,
			...(tracked.softwareVersion === undefined
				? {}
				: {softwareVersion: tracked.softwareVersion}),
			isContinuation:
				item.isContinuation === true || attempt.firstTokenAt !== undefined,
		};
		const loads = this.loadTracker.loads(
			this.targetsToCompare(
				replacement,
				this.options.directory.targetsFor(replacement),
			),
		);
		const target = this.chooseTarget(
			{...tracked.work, item: replacement},
			replacementLoads(tracked, attempt, loads, this.clock.monotonic()),
			false,
		);
		if (target !== undefined && this.retryBudget.tryAcquire()) {
			this.startAttempt(tracked, target, 'replacement', 0, replacement);
		}
	}

	private handleRefusal(message: Attempt, reason: RefusalReason): void {
		const tracked = this.trackedRequests.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (reason === 'leaving') {
			this.loadTracker.setLeaving(message.target, true);
		}

		if (!tracked || !attempt) {
			return;
		}

		this.logger.record(dispatchEvents.targetRefused, {
			...toAttemptIdentity(attempt),
			reason,
		});
		// A target that is leaving, or whose model was unloaded by placement, refuses many requests at once without
		// executing them. The budget limits retries of work that was executed in vain.
		const needsBudget =
			this.options.chargesEveryRefusal === true ||
			(reason !== 'leaving' && reason !== 'not-resident');
		this.retryNotRun(tracked, attempt, {
			needsBudget,
			message: `the targets refused the request, the last one because of ${reason}`,
		});
	}

	private handleLoss(
		message: Extract<DispatcherMessage, {kind: 'lost'}>,
	): void {
		const {execution} = message;
		const tracked = this.trackedRequests.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (!tracked || !attempt) {
			return;
		}

		this.logger.record(dispatchEvents.attemptLost, {
			...toAttemptIdentity(attempt),
			execution,
		});
		this.endAttempt(tracked, attempt);
		tracked.mayRepeat &&= message.mayRepeat !== false;
		if (execution === 'unknown') {
			tracked.mayHaveRun = true;
			tracked.executionCount++;
			// A stall was observed already.
			if (attempt.stalledAt === undefined) {
				this.observeLostAttempt(attempt.target);
			}
		}

		if (tracked.attempts.size > 0) {
			return;
		}

		const {item} = tracked.work;
		// A stream that has produced tokens is continued by its owner, which holds the tokens received so far.
		if (
			(item.idempotent || !tracked.mayHaveRun) &&
			attempt.firstTokenAt === undefined &&
			!item.suspect &&
			tracked.mayRepeat &&
			this.mayRetry(tracked, true)
		) {
			this.enqueue(tracked);
			return;
		}

		this.removeRequest(tracked);
		this.port.fail(item, tracked.mayHaveRun ? 'unknown' : execution);
	}

	/** Retries a request that did not reach its target. The budget is not charged, since the attempt put no load on a target. */
	private handleUnreached(message: Attempt): void {
		const tracked = this.trackedRequests.get(message.request);
		const attempt = tracked?.attempts.get(message.attempt);
		if (!tracked || !attempt) {
			return;
		}

		this.retryNotRun(tracked, attempt, {
			needsBudget: false,
			message: 'no target could be reached',
		});
	}

	/** Enqueues a request again whose attempt was not executed, or refuses it. */
	private retryNotRun(
		tracked: TrackedRequest,
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

		// Once enqueued again, a suspect is behind other suspects, which need the target reserved for it.
		this.isolationPolicy.release(tracked.work.request);
		if (this.mayRetry(tracked, needsBudget)) {
			this.enqueue(tracked);
			return;
		}

		this.refuseOrFail(tracked, {
			code: 'no-target',
			countsAsDemand: true,
			retryAfterMilliseconds: 1000,
			message,
		});
	}

	private observeLostAttempt(target: TargetId): void {
		const {lostAttemptLatencyMilliseconds} = this.options;
		if (lostAttemptLatencyMilliseconds !== undefined) {
			this.observeLatency(
				target,
				'first-token',
				lostAttemptLatencyMilliseconds,
			);
		}
	}

	private mayRetry(tracked: TrackedRequest, needsBudget: boolean): boolean {
		if (
			tracked.attemptCount >= (this.options.maximumAttempts ?? 3) ||
			tracked.executionCount >=
				(tracked.work.item.maximumExecutions ?? Infinity)
		) {
			return false;
		}

		if (needsBudget && !this.retryBudget.tryAcquire()) {
			this.logger.record(dispatchEvents.retryBudgetSpent, {
				request: tracked.work.request,
			});
			return false;
		}

		return true;
	}

	private handleAbandonment(request: RequestId): void {
		const tracked = this.trackedRequests.get(request);
		if (!tracked) {
			return;
		}

		this.queue.cancel(request);
		for (const attempt of tracked.attempts.values()) {
			this.endAttempt(tracked, attempt);
			this.port.cancel(toAttemptIdentity(attempt));
		}

		this.removeRequest(tracked);
	}

	private hedgeOverdueRequests(): void {
		const delay = this.hedgingPolicy.delay();
		if (this.options.hedging === false || delay === undefined) {
			return;
		}

		const now = this.clock.monotonic();
		for (const tracked of this.awaitingFirstToken.values()) {
			const [attempt] = tracked.attempts.values();
			if (!attempt || now - attempt.startedAt < delay) {
				// Requests are ordered by start time, so later ones are not overdue either.
				return;
			}

			this.hedge(tracked, now - attempt.startedAt);
		}
	}

	private hedge(tracked: TrackedRequest, waitedMilliseconds: number): void {
		const {item} = tracked.work;
		if (
			tracked.isHedged ||
			!item.idempotent ||
			item.suspect ||
			tracked.attemptCount >= (this.options.maximumAttempts ?? 3)
		) {
			return;
		}

		const loads = this.loadTracker
			.loads(
				this.targetsToCompare(item, this.options.directory.targetsFor(item)),
			)
			.filter(({target}) => !tracked.triedTargets.has(target));
		const target = this.chooseTarget(tracked.work, loads, false);
		if (
			target === undefined ||
			!this.hedgingPolicy.tryHedge({
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
		this.startAttempt(tracked, target, 'hedge', 0);
	}

	private cancelOtherAttempts(
		tracked: TrackedRequest,
		winner: RunningAttempt,
	): void {
		for (const attempt of tracked.attempts.values()) {
			if (attempt === winner) {
				continue;
			}

			if (attempt.isReplacement) {
				// A model request that has not begun has not run.
				tracked.executionCount += tracked.work.item.model === undefined ? 1 : 0;
			} else if (attempt.stalledAt === undefined) {
				// The cancelled attempt has waited at least this long. Without this observation, the detector would receive no
				// latency from the slow target.
				this.observeLatency(
					attempt.target,
					'first-token',
					this.clock.monotonic() - attempt.startedAt,
				);
			} else {
				tracked.executionCount++;
			}

			tracked.mayHaveRun = true;
			this.endAttempt(tracked, attempt);
			this.port.cancel(toAttemptIdentity(attempt));
		}
	}

	/**
	 * Ends work that is queued or was refused by a target. After a lost attempt it fails with an unknown outcome, since a
	 * refusal states that the work was not executed.
	 */
	private refuseOrFail(
		tracked: TrackedRequest,
		refusal: Omit<WorkRefusal, 'item'>,
	): void {
		const {item} = tracked.work;
		this.removeRequest(tracked);
		if (tracked.mayHaveRun) {
			this.port.fail(item, 'unknown');
			return;
		}

		this.port.refuse({item, ...refusal});
	}

	private refuseInfeasible(): void {
		this.refuseMissedDeadlines(this.queue.removeInfeasible());
	}

	private refuseMissedDeadlines(dropped: readonly DispatchWork[]): void {
		for (const {request} of dropped) {
			const tracked = this.trackedRequests.get(request);
			if (!tracked) {
				continue;
			}

			this.logger.record(dispatchEvents.deadlineRefused, {request});
			this.refuseOrFail(tracked, {
				code: 'deadline',
				countsAsDemand: true,
				retryAfterMilliseconds: 0,
				message: 'the request can no longer finish before its deadline',
			});
		}
	}

	private observeLatency(
		target: TargetId,
		kind: LatencyKind,
		milliseconds: number,
	): void {
		const change = this.outlierDetector.observe(target, kind, milliseconds);
		if (change === 'ejected') {
			this.logger.record(dispatchEvents.targetEjected, {target, kind});
		} else if (change === 'restored') {
			this.logger.record(dispatchEvents.targetRestored, {target});
		}
	}

	private endAttempt(tracked: TrackedRequest, attempt: RunningAttempt): void {
		if (!tracked.attempts.delete(attempt.attempt)) {
			return;
		}

		this.runningCount--;
		this.loadTracker.endRequest(attempt.target, attempt.request);
		this.options.refusalLimits?.recordEnded(attempt.target);
		this.startLimiter?.recordEnded(attempt.target, attempt.request);
		this.work?.recordEnded(attempt.target, attempt.request);
		this.targetWithCapacity = attempt.target;
		if (tracked.attempts.size === 0) {
			this.awaitingFirstToken.delete(attempt.request);
			this.stalledRequests.delete(attempt.request);
		}
	}

	private removeRequest(tracked: TrackedRequest): void {
		const {request, caller} = tracked.work;
		if (!this.trackedRequests.delete(request)) {
			return;
		}

		for (const attempt of tracked.attempts.values()) {
			this.endAttempt(tracked, attempt);
			this.port.cancel(toAttemptIdentity(attempt));
		}

		this.awaitingFirstToken.delete(request);
		this.isolationPolicy.release(request);
		this.admissionPolicy.release(caller);
	}
}
