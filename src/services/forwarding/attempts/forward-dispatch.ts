import {type Clock} from '../../../base/common/clock.js';
import {type Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {type RandomSource} from '../../../base/common/random-source.js';
import {isConnectionRefused} from '../../../base/node/connection-probe.js';
import {type PolledQueue} from '../../../base/node/polled-queue.js';
import {SharedListenerChecks} from '../../../base/node/shared-listener-checks.js';
import {wait} from '../../../base/node/wait.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type Execution} from '../../../contracts/execution.js';
import {
	type FailureDomain,
	type HostId,
	type ModelId,
	type PoolName,
	type RequestId,
	type SoftwareVersion,
	type TargetId,
} from '../../../contracts/ids.js';
import {
	type ResponseMetadata,
	type RequestCodec,
	type ReportedLoad,
} from '../../../contracts/request-codec.js';
import {type ListedTarget} from '../../../contracts/listed-target.js';
import {type RefusalReason} from '../../../contracts/target-error.js';
import {type ByteBudget} from '../../../core/limits/byte-budget.js';
import {AdmissionPolicy} from '../../../core/admission/admission-policy.js';
import {AgingShare} from '../../../core/fairness/aging-share.js';
import {CallerLimiter} from '../../../core/admission/caller-limiter.js';
import {LengthEstimator} from '../../../core/work/length-estimator.js';
import {type NamedRateLimits} from '../../../core/limits/named-rate-limits.js';
import {type PermitBook} from '../../../core/limits/permit-book.js';
import {OutlierDetector} from '../../../core/routing/outlier-detector.js';
import {RetryBudget} from '../../../core/limits/retry-budget.js';
import {
	retryBudgetLimits,
	type RetryLimits,
} from '../../../core/limits/retry-limits.js';
import {RefusedDemand} from '../../../core/placement/refused-demand.js';
import {type TargetGate} from '../../../core/routing/target-gate.js';
import {SlotPolicy} from '../../../core/routing/slot-policy.js';
import {StartLimiter} from '../../../core/admission/start-limiter.js';
import {
	DispatchPort,
	startLevel,
	type Attempt,
	type Binding,
	type WorkItem,
	type WorkRefusal,
} from '../../dispatch/dispatch-contracts.js';
import {Dispatcher} from '../../dispatch/dispatcher.js';
import {type DispatchPreview} from '../../dispatch/dispatch-preview.js';
import {type FleetSharing} from '../reports/fleet-sharing.js';
import {type BrittleObserver} from '../targets/brittle-observer.js';
import {type CrashObserver} from '../targets/crash-observer.js';
import {type StreamOriginSharing} from '../state/stream-origin-sharing.js';
import {type TargetConnections} from '../targets/target-connections.js';
import {
	versionOf,
	type RegisteredTarget,
	type TargetRegistry,
} from '../targets/target-registry.js';
import {AttemptOwner, type AttemptOutcome} from './attempt-owner.js';
import {PoolWork} from './pool-work.js';
import {ForwardAttempt, type AttemptFailure} from './forward-attempt.js';
import {type ForwardedRequest} from './forwarded-request.js';
import {RegisteredCandidates} from './registered-candidates.js';
import {RequestAttempt} from './request-attempt.js';
import {toWorkItem, urgencyOf} from './work-items.js';

/** Collaborators of the dispatch of one pool. */
export type ForwardDispatchOptions = {
	readonly pool: PoolName;
	readonly host: HostId;
	readonly failureDomain: FailureDomain;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly codec: RequestCodec;
	readonly registry: TargetRegistry;
	readonly retries: RetryLimits;
	/** What the other hosts tell of their customers and queues. By default, this host shares and admits by itself. */
	readonly sharing?: FleetSharing | undefined;
	readonly crashes: CrashObserver;
	readonly rateLimits: NamedRateLimits;
	readonly permits: PermitBook;
	readonly brittle: BrittleObserver;
	readonly streams: StreamOriginSharing;
	/** False when this host stops before the answer to a request that is sent now would end. */
	readonly mayBegin: (request: ForwardedRequest) => boolean;
	/** Runs actions after the connections of callers have been read. */
	readonly polls: PolledQueue;
	/** Time for which the target list may be out of date, for the log. */
	readonly targetListAge: () => number;
	/** Delay after which a request that is refused for a stop may come back, to another host. */
	readonly stopRetryMilliseconds: number;
	readonly maximumBodyBytes: number;
	/** Limit for the bodies of all answers that are held at once. No limit if absent. */
	readonly budget?: ByteBudget | undefined;
	/** Gives a request that has not run and that this host cannot serve to another host. Returns false when it is to be refused. */
	readonly tryOtherHost?: (request: ForwardedRequest) => boolean;
	/** Pools whose targets have at most this many slots are scheduled by work. None by default. */
	readonly workAwareSlots?: number | undefined;
	/** Decide which targets may receive a request, in addition to the dispatcher, in a pool that is scheduled by work. */
	readonly gates?: readonly TargetGate[] | undefined;
};

/** Why a pool refuses a request before it is queued. */
export type PoolObstacle = {
	readonly reason: string;
	readonly retryAfterMilliseconds: number;
};

/** Attempts of one request, including those that no target received or executed. */
const maximumAttempts = 5;
/** Speed factor of targets in other failure domains, because traffic between domains is charged. */
const remoteSpeedFactor = 0.8;
/** Latency that a lost attempt counts with in the outlier detection. */
const lostAttemptLatencyMilliseconds = 3000;
/** Models differ in speed by up to a factor of three, so only a target beyond that is an outlier. */
const ejectionRatio = 4;
/** Inactivity of a target after which a repeatable request is sent to another one as well. Less than the two seconds after which callers time out. */
const inactivityTimeoutMilliseconds = 1300;
/** Further silence after which an attempt whose answer has not begun is given up, if no other target takes the request. Shortly before its caller leaves, who can then repeat it. */
const silentStartMilliseconds = 600;
/** Priority of work that has waited for so long that it goes ahead of more urgent work at its target. */
const highestPriority = 0;
/** Share of its objective for which work waits behind more urgent work at a target. It is then sent again as aged work. */
const yieldedObjectiveShare = 0.6;
/** The time after which an attempt without an event counts as lost, as a multiple of the usual time to start at the target. */
const startTimeoutFactor = 6;
/** Remaining time below which the rest of a stream is not requested from another target. */
const minimumContinuationMilliseconds = 100;
/** Time within which a target that runs accepts or refuses a connection. */
const probeTimeoutMilliseconds = 400;
/** Time for which the end of an answer is held back at most for a target that neither accepts nor refuses a connection, which proves nothing. */
const endCheckTimeoutMilliseconds = 150;
/** Time within which the kernel ends all connections of a killed process. */
const connectionsEndMilliseconds = 50;
/** Longest delay until a request whose targets all turned this host away may come back: by then placement has loaded its model elsewhere. */
const newReplicaMilliseconds = 3000;
/** Reason of a refusal after which no retry helps. */
export const missingVersionReason =
	'no target of the software version of the stream is left';
/** Margin by which the deadline of a target precedes that of this host, so that the response of the target arrives first. */
const targetDeadlineMarginMilliseconds = 20;

/** Forwards requests to one pool: the dispatcher selects the targets, this class sends the requests. */
export class ForwardDispatch extends AttemptOwner {
	readonly dispatcher: Dispatcher;
	/** Scheduling by work of this pool. */
	readonly work: PoolWork;
	private readonly retryBudget: RetryBudget;
	private readonly startLimiter: StartLimiter;
	private readonly refusedDemand: RefusedDemand;
	private readonly agingShares = new Map<ModelId, AgingShare>();
	private readonly requests = new Map<RequestId, ForwardedRequest>();
	private readonly attempts = new Map<RequestId, Map<number, ForwardAttempt>>();
	private readonly announcedTargets = new Set<TargetId>();
	/** Probes that have not ended, by target. */
	private readonly probes = new Map<TargetId, Promise<void>>();
	/** Checks of the targets whose answers have ended without a length. */
	private readonly endChecks = new SharedListenerChecks();
	private lastLoadSequence = 0;
	private readonly subscriptions: Disposable[];

	constructor(private readonly options: ForwardDispatchOptions) {
		super();
		const {clock, random, host, events, registry, retries} = options;
		this.retryBudget = new RetryBudget({clock, ...retryBudgetLimits(retries)});
		this.startLimiter = new StartLimiter({clock});
		this.refusedDemand = new RefusedDemand({clock});
		this.dispatcher = new Dispatcher({
			clock,
			random,
			host,
			port: new ForwardPort(this),
			directory: new RegisteredCandidates(registry, options.pool),
			logger: events,
			admissionPolicy: new AdmissionPolicy({
				clock,
				limiter: new CallerLimiter({clock}),
				maximumWaitShare: 1,
			}),
			// Targets batch requests of all lengths, so no slots are reserved for short ones.
			lengthEstimator: new LengthEstimator({
				longThresholdTokens: Number.MAX_SAFE_INTEGER,
			}),
			slotPolicy: new SlotPolicy({
				host,
				longShare: 1,
				overcommitShare: 0,
				allowsForReportAge: (options.workAwareSlots ?? 0) > 0,
			}),
			outlierDetector: new OutlierDetector({clock, ejectionRatio}),
			retryBudget: this.retryBudget,
			startLimiter: this.startLimiter,
			callerUsage: options.sharing?.usage(options.pool),
			fleetQueue: options.sharing?.queue,
			admitsByFleetQueue: () =>
				options.sharing?.admitsByQueue(options.pool) ?? false,
			permits: options.permits,
			refusalLimits: options.brittle.limits,
			hedging: false,
			speedFactor: (target) =>
				registry.get(target)?.listed.failureDomain === options.failureDomain
					? 1
					: remoteSpeedFactor,
			maximumAttempts,
			chargesEveryRefusal: true,
			lostAttemptLatencyMilliseconds,
		});
		this.work = new PoolWork({
			...options,
			dispatcher: this.dispatcher,
		});
		options.sharing?.add(this.dispatcher);
		this.subscriptions = [
			registry.heldBack.subscribe(({listed}) => {
				if (listed.pool === options.pool) {
					this.refuseWaitingForHeldBack();
				}
			}),
			registry.changed.subscribe((target) => {
				this.handleTargetChange(target);
			}),
			registry.removed.subscribe((target) => {
				this.handleTargetRemoval(target);
			}),
			registry.reachability.changed.subscribe((pool) => {
				if (pool === options.pool && !registry.reachability.isCutOff(pool)) {
					this.dispatcher.post({kind: 'paths-restored'});
				}
			}),
		];
		for (const target of registry.targetsOfPool(options.pool)) {
			this.handleTargetChange(target);
		}

		void this.dispatcher.run();
	}

	/** Name of the pool. */
	get pool(): PoolName {
		return this.options.pool;
	}

	/** Limit for the body of a response that is not a stream. */
	get maximumBodyBytes(): number {
		return this.options.maximumBodyBytes;
	}

	/** Limit for the bodies of all answers that are held at once, undefined without one. */
	get budget(): ByteBudget | undefined {
		return this.options.budget;
	}

	/** Requests that are queued or in flight. */
	activeRequests(): Iterable<ForwardedRequest> {
		return this.requests.values();
	}

	/** False when this host stops before the answer to a request that is sent now would end. */
	mayBegin(request: ForwardedRequest): boolean {
		return this.options.mayBegin(request);
	}

	/** Requests that were refused lately for lack of capacity, by model. */
	refusedRequests(): ReadonlyMap<ModelId, number> {
		return this.refusedDemand.counts();
	}

	/** True while requests are queued for a target. */
	get hasWaitingRequests(): boolean {
		return this.dispatcher.queueLength > 0;
	}

	/** True when the request has no open attempt, so that it is queued. */
	isWaiting(request: ForwardedRequest): boolean {
		return (this.attempts.get(request.key)?.size ?? 0) === 0;
	}

	/** Targets to which the request was sent and that have not answered it completely. */
	openTargets(request: ForwardedRequest): TargetId[] {
		return [...(this.attempts.get(request.key)?.values() ?? [])]
			.filter(({isSent}) => isSent)
			.map(({target}) => target);
	}

	/** Queues a request. Its outcome is reported through the methods of the request. */
	submit(request: ForwardedRequest): void {
		if (this.work.exceedsMemory(request.metadata.promptTokens)) {
			request.refuse('the prompt exceeds the memory of the targets', undefined);
			return;
		}

		this.requests.set(request.key, request);
		this.dispatcher.post({
			kind: 'submitted',
			item: toWorkItem(request, false),
		});
	}

	/** Ends a request whose caller has left. Returns true when the caller has. */
	endIfCallerLeft(request: ForwardedRequest): boolean {
		if (!request.options.hasCallerLeft()) {
			return false;
		}

		this.abandon(request);
		request.handleCallerDisconnect();
		return true;
	}

	/** Reads the connections of callers, unless they have just been read. Returns true when the request is finished or its caller has left. */
	async findWhetherEnded(request: ForwardedRequest): Promise<boolean> {
		await new Promise<void>((resolve) => {
			this.options.polls.runPolled(resolve);
		});
		return request.isFinished || this.endIfCallerLeft(request);
	}

	/** Abandons a request whose caller disconnected or whose deadline has passed, and cancels its attempts. */
	abandon(request: ForwardedRequest): void {
		this.dispatcher.post({kind: 'abandoned', request: request.key});
		// The attempts are cancelled here, because a cancellation through the mailbox of a busy dispatcher would be late.
		for (const attempt of this.attempts.get(request.key)?.values() ?? []) {
			attempt.cancel();
		}
	}

	/** Ends a request at the end of a stop. An attempt of which no byte was sent has not run. */
	endUnanswered(
		request: ForwardedRequest,
		reason: string,
		retryAfterMilliseconds: number,
	): void {
		for (const attempt of this.attempts.get(request.key)?.values() ?? []) {
			if (!attempt.isSent) {
				request.recordNotRun();
			}
		}

		this.abandon(request);
		request.refuse(reason, retryAfterMilliseconds);
	}

	/** Removes a request that has its final response. */
	remove(request: ForwardedRequest): void {
		this.requests.delete(request.key);
		for (const attempt of this.attempts.get(request.key)?.values() ?? []) {
			attempt.cancel();
		}

		this.attempts.delete(request.key);
	}

	/**
	 * Removes and returns the requests of which nothing is being sent, for another host to serve. To be called from a
	 * timer or immediate: by then the dispatcher has decided on all attempts that ended, so that a request which may
	 * have run waits only if it may be repeated and its repetition is charged to the retry budget.
	 */
	takeUnsent(): ForwardedRequest[] {
		const taken: ForwardedRequest[] = [];
		for (const request of this.requests.values()) {
			const attempts = [...(this.attempts.get(request.key)?.values() ?? [])];
			if (request.isFinished || attempts.some(({isSent}) => isSent)) {
				continue;
			}

			const executions = request.executions - attempts.length;
			if (executions > 0 && !this.mayRunAgain(request, executions)) {
				continue;
			}

			// The attempts whose connections are not open yet are cancelled and do not run.
			this.abandon(request);
			this.remove(request);
			for (const _attempt of attempts) {
				request.recordNotRun();
			}

			taken.push(request);
		}

		return taken;
	}

	/** Takes a repetition from the retry budget of this host for a request that may have run. Returns false when none is left or the request must not be repeated. */
	tryRepeatElsewhere(request: ForwardedRequest): boolean {
		return (
			this.mayRunAgain(request, request.executions) &&
			this.retryBudget.tryAcquire()
		);
	}

	/** Sets the number of hosts that share the targets and the retry budget. */
	setHostCount(count: number): void {
		this.dispatcher.post({kind: 'host-count-changed', count});
		this.retryBudget.setLimits(
			retryBudgetLimits({...this.options.retries, hosts: count}),
		);
	}

	/** Lets the dispatcher check the deadlines of queued requests. Called periodically. */
	tick(): void {
		if (this.hasWaitingRequests || this.dispatcher.hasStalledRequests) {
			this.dispatcher.post({kind: 'ticked'});
		}
	}

	/** Sends a request to the target that the dispatcher selected. */
	startAttempt(binding: Binding): void {
		const request = this.requests.get(binding.request);
		const connections = this.options.registry.getConnections(binding.target);
		if (
			!request ||
			request.isFinished ||
			!connections ||
			this.endIfCallerLeft(request)
		) {
			this.dispatcher.post({kind: 'unreached', ...toAttempt(binding)});
			return;
		}

		if (
			binding.kind === 'replacement' &&
			!(this.maySendRest(request, binding) && this.options.mayBegin(request))
		) {
			// The stalled attempt stays open.
			this.dispatcher.post({kind: 'unreached', ...toAttempt(binding)});
			return;
		}

		if (this.isQuarantined(request)) {
			this.refuseRequest(request);
			return;
		}

		if (!this.options.mayBegin(request)) {
			this.abandon(request);
			request.refuse(
				'the host stops before the request could end',
				this.options.stopRetryMilliseconds,
			);
			return;
		}

		this.options.registry.reachability.recordSent(binding.target);
		request.waitedMilliseconds ??= binding.waitedMilliseconds;
		request.recordSent();
		const attempt = this.createAttempt(request, binding, connections);
		const attempts =
			this.attempts.get(request.key) ?? new Map<number, ForwardAttempt>();
		attempts.set(binding.attempt, attempt);
		this.attempts.set(request.key, attempts);
		const {metadata} = request;
		this.options.events.record(forwardingEvents.attemptSent, {
			request: metadata.id,
			attempt: binding.attempt,
			kind: request.continuations > 0 ? 'continuation' : binding.kind,
			target: binding.target,
			softwareVersion: this.options.registry.get(binding.target)?.listed
				.softwareVersion,
			model: metadata.model,
			adapter: metadata.adapter,
			lastEventId: request.lastEventId,
			resumedRequest: metadata.resumedRequest,
			waitedMilliseconds: Math.round(binding.waitedMilliseconds),
			listAgeMilliseconds: Math.round(
				this.options.clock.monotonic() -
					(this.options.registry.get(binding.target)?.listedAt ?? 0),
			),
			viewAgeMilliseconds: Math.round(this.options.targetListAge()),
		});
		// The end of a connection can be received while its request waits for a target.
		this.options.polls.runPolled(() => {
			if (!attempt.isOver && !this.endIfCallerLeft(request)) {
				this.send(request, binding, connections, attempt);
			}
		});
	}

	/** Refuses the requests with a quarantined fingerprint that are queued, and cancels those that have not started at their target. */
	refuseQuarantined(): void {
		for (const request of this.requests.values()) {
			if (!request.hasStarted && this.isQuarantined(request)) {
				this.refuseRequest(request);
			}
		}
	}

	/** Cancels an attempt without reporting an outcome. */
	cancelAttempt({request, attempt}: Attempt): void {
		const attempts = this.attempts.get(request);
		attempts?.get(attempt)?.cancel();
		attempts?.delete(attempt);
	}

	/** True while the attempt is open. */
	hasAttempt({request, attempt}: Attempt): boolean {
		return this.attempts.get(request)?.has(attempt) ?? false;
	}

	/** True while other attempts of the request are open. */
	hasOtherAttempts({request, attempt}: Attempt): boolean {
		return [...(this.attempts.get(request)?.keys() ?? [])].some(
			(each) => each !== attempt,
		);
	}

	/** Cancels the other attempts of a request, because this one has answered or goes on. */
	cancelOtherAttempts({request, attempt}: Attempt): void {
		for (const [number, other] of this.attempts.get(request) ?? []) {
			if (number !== attempt) {
				this.discountUnbegun(request, other);
				other.cancel();
				this.attempts.get(request)?.delete(number);
			}
		}
	}

	/** Cancels the other attempts of a request whose responses have not gone on since this one began. */
	giveUpOtherAttempts(attempt: Attempt): void {
		const others = [...(this.attempts.get(attempt.request) ?? [])].filter(
			([number]) => number !== attempt.attempt,
		);
		for (const [number, other] of others) {
			other.cancel();
			this.endAttempt(
				{...attempt, attempt: number},
				{kind: 'lost', execution: 'unknown'},
			);
		}
	}

	/** Tells the dispatcher that an attempt goes on, and withdraws its request from those that were lost at the target. */
	handleRecovery(request: ForwardedRequest, attempt: Attempt): void {
		this.options.crashes.withdrawLostRequest(
			attempt.target,
			request.metadata.id,
		);
		this.dispatcher.post({kind: 'recovered', ...attempt});
	}

	/** Seeks a target that can replace one that has fallen silent. Returns the time after which the attempt is given up, undefined when its answer has begun. */
	handleStall(
		request: ForwardedRequest,
		attempt: Attempt,
		reason: string,
	): number | undefined {
		this.options.events.record(forwardingEvents.attemptStalled, {
			request: request.metadata.id,
			attempt: attempt.attempt,
			target: attempt.target,
			reason,
			events: request.eventCount,
		});
		this.recordLostRequest(request, attempt.target);
		this.options.registry.reachability.recordLostAttempt(attempt.target);
		void this.replaceStalled(request, attempt);
		return request.hasStarted ? undefined : silentStartMilliseconds;
	}

	/** Handles a refusal by the dispatcher: the request waited too long, or no target accepted it. */
	handleRefusal({
		item,
		message,
		retryAfterMilliseconds,
		countsAsDemand,
	}: WorkRefusal): void {
		if (countsAsDemand && item.model !== undefined) {
			this.refusedDemand.record(item.model);
		}

		const request = this.requests.get(item.request);
		if (request && !this.tryOtherHost(request)) {
			request.refuse(message, retryAfterMilliseconds);
		}
	}

	/** Handles the failure of the last attempt, which is not retried. */
	handleFinalFailure(item: WorkItem, execution: Execution): void {
		const request = this.requests.get(item.request);
		if (!request || request.isFinished) {
			return;
		}

		if (execution === 'not-run') {
			if (!this.tryOtherHost(request)) {
				request.refuse('no target accepted the request', 500);
			}

			return;
		}

		request.fail('the target did not send a complete response');
	}

	dispose(): void {
		for (const subscription of this.subscriptions) {
			void subscription.dispose();
		}

		for (const request of this.requests.values()) {
			this.abandon(request);
		}

		this.dispatcher.dispose();
	}

	/** Records how many events an attempt has received. */
	recordProgress(attempt: Attempt, events: number): void {
		this.dispatcher.post({kind: 'progressed', tokens: events, ...attempt});
	}

	/** Ends an attempt and reports its outcome to the dispatcher. */
	endAttempt(attempt: Attempt, outcome: AttemptOutcome): void {
		this.attempts.get(attempt.request)?.delete(attempt.attempt);
		this.dispatcher.post({...attempt, ...outcome});
	}

	/** Logs a failed attempt and records what it shows about the target. */
	recordFailure(
		request: ForwardedRequest,
		attempt: Attempt,
		failure: AttemptFailure,
	): void {
		this.options.events.record(forwardingEvents.attemptEnded, {
			request: request.metadata.id,
			attempt: attempt.attempt,
			target: attempt.target,
			outcome: failure.kind,
			reason:
				failure.kind === 'refused'
					? `status ${failure.response.status}`
					: failure.reason,
			events: request.eventCount,
		});
		const {registry} = this.options;
		if (failure.kind === 'lost') {
			this.recordLostRequest(request, attempt.target);
			registry.reachability.recordLostAttempt(attempt.target);
		} else if (failure.kind === 'refused') {
			request.refusedBy.add(attempt.target);
			this.recordHoldBack(attempt.target, failure.response);
		}

		if (failure.kind === 'unreached') {
			registry.recordUnreachable(attempt.target, failure.isConnectionRefused);
			if (failure.isConnectionRefused) {
				this.recordRefusedConnection(attempt.target);
			}
		} else if (failure.kind === 'refused' && failure.response.isMisdirected) {
			registry.recordMissing(
				attempt.target,
				request.metadata.model,
				request.metadata.adapter,
			);
		}
	}

	/** Records the software version at which a stream began, for the case that its caller takes it up again. */
	recordStreamStart({
		isRepeatable,
		metadata,
		softwareVersion,
	}: ForwardedRequest): void {
		if (isRepeatable && softwareVersion !== undefined) {
			this.options.streams.recordStart(metadata.id, softwareVersion);
		}
	}

	/** Records at the end of an answer that the target turned this host away, because the time that it names counts from there. */
	recordHoldBack(target: TargetId, {holdBack}: ResponseMetadata): void {
		if (holdBack) {
			this.options.registry.recordHoldBack(target, holdBack);
		}
	}

	/** Refuses requests whose targets have all turned this host away for longer than their callers wait. */
	refuseHeldBack(request: ForwardedRequest): boolean {
		const refusal = this.findHold(request);
		if (refusal) {
			this.abandon(request);
			request.refuse(refusal.reason, refusal.retryAfterMilliseconds);
		}

		return refusal !== undefined;
	}

	/** Returns why a request is refused whose targets all turned this host away, undefined if it is not. */
	findHold(request: ForwardedRequest): PoolObstacle | undefined {
		const {
			metadata: {model, adapter},
			softwareVersion,
		} = request;
		const hold = this.options.registry.holdMilliseconds(
			this.pool,
			model,
			adapter,
			softwareVersion,
		);
		return hold === undefined || hold <= request.startTimeoutMilliseconds()
			? undefined
			: {
					reason: 'all targets with the model turned this host away',
					retryAfterMilliseconds:
						model === undefined
							? Math.ceil(hold)
							: Math.min(Math.ceil(hold), newReplicaMilliseconds),
				};
	}

	/** Returns what would be done with a request now, and changes nothing. */
	preview(request: ForwardedRequest): DispatchPreview {
		return this.dispatcher.preview(toWorkItem(request, false));
	}

	/** Records that a target has answered a request completely. */
	recordAnswer(request: ForwardedRequest): void {
		this.options.crashes.recordAnswer(request.observed);
	}

	/** Records that a request was running on a target when its connection ended. */
	recordLostRequest(request: ForwardedRequest, target: TargetId): void {
		const {registry, crashes} = this.options;
		const incarnation = registry.get(target)?.listed.residency.incarnation;
		if (incarnation !== undefined) {
			crashes.recordLostRequest(target, incarnation, request.observed);
		}
	}

	/** True when a prompt part of the request may have ended the target on which it was lost. */
	mayHaveCrashedTarget(request: ForwardedRequest): boolean {
		return !this.options.crashes.isSound(request.observed);
	}

	/** True when a request that was lost may be sent again. */
	mayRepeat(request: ForwardedRequest): boolean {
		return !this.options.crashes.hasSuspectPart(request.observed);
	}

	/** Finds out whether the process of a target has ended. */
	async probe(target: TargetId): Promise<void> {
		const running = this.probes.get(target) ?? this.startProbe(target);
		this.probes.set(target, running);
		await running;
	}

	/**
	 * Finds out whether the process that an entry describes has ended, by a new connection and by the newest entry of
	 * the target. A refusal says nothing while this host reaches no target of the pool, or while other connections to the
	 * target stay open: it may be at its limit of connections. A leaving target ends by itself after its last answer.
	 * Silence is no proof.
	 */
	async hasTargetEnded({
		id,
		address,
		residency,
	}: ListedTarget): Promise<boolean> {
		const {registry} = this.options;
		const isCutOff = registry.reachability.isCutOff(this.pool);
		const isRefused = await this.endChecks.hasEnded(
			address,
			endCheckTimeoutMilliseconds,
		);
		if (isRefused && registry.getConnections(id)?.hasOpenConnection) {
			await wait(connectionsEndMilliseconds);
		}

		const isAlive = registry.getConnections(id)?.hasOpenConnection ?? false;
		const newest = registry.get(id)?.listed;
		const isLeaving = newest?.isLeaving ?? true;
		const isReplaced =
			newest !== undefined &&
			newest.residency.incarnation !== residency.incarnation;
		if (isRefused && newest?.address === address) {
			registry.recordUnreachable(id, true);
		}

		return isReplaced || (isRefused && !isCutOff && !isAlive && !isLeaving);
	}

	/** Requests the rest of an interrupted stream from another target, or fails the request. */
	continueStream(request: ForwardedRequest, attempt: Attempt): void {
		// The dispatcher drops the request and receives the rest of the stream as new work.
		this.attempts.get(attempt.request)?.delete(attempt.attempt);
		this.dispatcher.post({kind: 'abandoned', request: request.key});
		if (request.isFinished) {
			return;
		}

		const obstacle = this.findContinuationObstacle(request);
		if (obstacle !== undefined) {
			request.fail(obstacle);
			return;
		}

		request.continuations++;
		request.brokenStreamTargets.push(attempt.target);
		this.dispatcher.post({
			kind: 'submitted',
			item: toWorkItem(request, true),
		});
	}

	/** True unless the stream has begun and all targets of its software version have left. */
	hasTargetOfVersion({softwareVersion}: ForwardedRequest): boolean {
		return (
			softwareVersion === undefined ||
			this.options.registry.hasVersion(this.pool, softwareVersion)
		);
	}

	private send(
		request: ForwardedRequest,
		binding: Binding,
		connections: TargetConnections,
		attempt: ForwardAttempt,
	): void {
		const {metadata, options} = request;
		const outgoing = {
			method: options.method,
			path: options.requestTarget,
			headers: this.options.codec.encodeAttempt(metadata, {
				target: binding.target,
				remainingMilliseconds:
					request.remainingMilliseconds() - targetDeadlineMarginMilliseconds,
				lastEventId: request.lastEventId,
				priority: this.priorityAtTarget(request),
				customer: options.customer,
			}),
			body: options.body.length > 0 ? options.body : null,
			idempotent: false,
			blocking: false,
		};
		// What still belongs to an earlier attempt has the same id and cannot be told from the response to this one.
		if (
			request.refusedBy.has(binding.target) ||
			binding.kind === 'replacement'
		) {
			connections.dispatchAlone(outgoing, attempt);
		} else {
			connections.dispatcher.dispatch(outgoing, attempt);
		}
	}

	/** A model request begins to run with its first token, so a replacement without a response has not run. */
	private discountUnbegun(key: RequestId, attempt: ForwardAttempt): void {
		const request = this.requests.get(key);
		if (request?.route.kind === 'stream' && !attempt.hasResponse) {
			request.recordNotRun();
		}
	}

	/** True unless the rest of a stream must not be sent to the target of a replacement, which may have changed since the stall. */
	private maySendRest(request: ForwardedRequest, {target}: Binding): boolean {
		return (
			this.mayRepeat(request) &&
			!this.isQuarantined(request) &&
			(request.softwareVersion === undefined ||
				request.softwareVersion === this.versionOf(target))
		);
	}

	/** Returns why the rest of an interrupted stream cannot be requested from another target, undefined when it can. */
	private findContinuationObstacle(
		request: ForwardedRequest,
	): string | undefined {
		if (!request.isRepeatable) {
			return 'the stream was interrupted and may not be resumed';
		}

		if (request.executions >= request.route.maximumExecutions) {
			return 'the stream was interrupted and its executions are used up';
		}

		if (!this.mayRepeat(request) || this.isQuarantined(request)) {
			return 'the stream was interrupted and a part of its prompt is suspected to crash targets';
		}

		if (request.remainingMilliseconds() < minimumContinuationMilliseconds) {
			return 'the stream was interrupted shortly before its deadline';
		}

		return this.hasTargetOfVersion(request) ? undefined : missingVersionReason;
	}

	private async replaceStalled(
		request: ForwardedRequest,
		attempt: Attempt,
	): Promise<void> {
		if (this.mayHaveCrashedTarget(request)) {
			await this.probe(attempt.target);
		}

		const open = this.attempts.get(attempt.request)?.get(attempt.attempt);
		if (
			open?.hasStalled &&
			this.mayRepeat(request) &&
			this.options.mayBegin(request)
		) {
			const {softwareVersion} = request;
			this.dispatcher.post({
				kind: 'stalled',
				...attempt,
				...(softwareVersion === undefined ? {} : {softwareVersion}),
			});
		}
	}

	private mayRunAgain(request: ForwardedRequest, executions: number): boolean {
		return (
			request.isRepeatable &&
			executions < request.route.maximumExecutions &&
			this.mayRepeat(request)
		);
	}

	private tryOtherHost(request: ForwardedRequest): boolean {
		return (
			request.executions === 0 &&
			!request.isFinished &&
			this.options.tryOtherHost?.(request) === true
		);
	}

	private versionOf(target: TargetId): SoftwareVersion | undefined {
		const registered = this.options.registry.get(target);
		return registered && versionOf(registered.listed);
	}

	private async startProbe(target: TargetId): Promise<void> {
		const {registry} = this.options;
		const address = registry.get(target)?.listed.address;
		if (
			address !== undefined &&
			(await isConnectionRefused(address, probeTimeoutMilliseconds))
		) {
			registry.recordUnreachable(target, true);
			await new Promise<void>((resolve) => {
				this.recordRefusedConnection(target, resolve);
			});
		}

		this.probes.delete(target);
	}

	/** Records the death of a target once it is clear that the refused connection proves it. Calls back when that is decided. */
	private recordRefusedConnection(
		target: TargetId,
		onDecided?: () => void,
	): void {
		const {registry, crashes} = this.options;
		registry.reachability.judgeRefusal(target, (isProof) => {
			if (isProof) {
				crashes.recordTargetDeath(target, 'connection-refused');
			}

			onDecided?.();
		});
	}

	private isQuarantined(request: ForwardedRequest): boolean {
		return (
			!request.isQuarantineTrial &&
			this.options.crashes.isQuarantined(request.observed)
		);
	}

	private refuseRequest(request: ForwardedRequest): void {
		this.abandon(request);
		request.refuseQuarantined();
	}

	private createAttempt(
		request: ForwardedRequest,
		binding: Binding,
		connections: TargetConnections,
	): ForwardAttempt {
		const {registry} = this.options;
		return new ForwardAttempt({
			request: request.metadata.id,
			target: binding.target,
			codec: this.options.codec,
			listener: new RequestAttempt(
				this,
				request,
				toAttempt(binding),
				registry.get(binding.target)?.listed,
				binding.kind === 'replacement',
			),
			...(request.isRepeatable
				? {
						startTimeoutMilliseconds: this.startTimeout(
							request,
							binding.target,
						),
						inactivityTimeoutMilliseconds,
					}
				: {}),
			onResponseMetadata: (response) => {
				this.recordLoad(binding.target, response.load);
				this.options.brittle.recordResponse(binding.target, response);
				this.recordRateLimit(binding.target, response.requestsPerSecond);
				if (response.isLeaving) {
					this.recordLeaving(binding.target);
				}

				if (response.holdBack) {
					registry.recordHoldBack(binding.target, response.holdBack);
				}
			},
			isNeeded: () =>
				!request.isFinished &&
				!this.endIfCallerLeft(request) &&
				request.remainingMilliseconds() > 0 &&
				!registry.isHeldBack(binding.target),
			maximumBodyBytes: this.options.maximumBodyBytes,
			budget: this.options.budget,
			isStream: request.route.kind === 'stream',
			connections,
		});
	}

	/**
	 * Time within which an attempt must start before the request is sent to another target. A request that waits in the
	 * queue of a busy target is not lost, so the timeout follows the usual time to start there.
	 */
	private startTimeout(request: ForwardedRequest, target: TargetId): number {
		const {priority, latencyObjectiveMilliseconds} = request.route;
		const level = startLevel({urgency: urgencyOf(priority)});
		const usual = this.startLimiter.usualStartMilliseconds(target, level) ?? 0;
		const expected =
			level > 0 && !request.isAged()
				? latencyObjectiveMilliseconds * yieldedObjectiveShare
				: Math.max(latencyObjectiveMilliseconds, usual * startTimeoutFactor);
		return Math.max(
			inactivityTimeoutMilliseconds,
			Math.min(request.startTimeoutMilliseconds(), expected),
		);
	}

	/** Work that has waited for much of its objective goes ahead of more urgent work, within the share of its urgency. */
	private priorityAtTarget(request: ForwardedRequest): number {
		const {metadata, route} = request;
		const level = startLevel({urgency: urgencyOf(route.priority)});
		if (metadata.model === undefined) {
			return route.priority;
		}

		let share = this.agingShares.get(metadata.model);
		if (!share) {
			share = new AgingShare();
			this.agingShares.set(metadata.model, share);
		}

		if (request.executions <= 1) {
			share.recordSent(level);
		}

		return level > 0 && request.isAged() && share.tryAcquire(level)
			? highestPriority
			: route.priority;
	}

	private handleTargetChange({listed}: RegisteredTarget): void {
		if (listed.pool !== this.options.pool) {
			return;
		}

		if (!this.announcedTargets.has(listed.id)) {
			this.announcedTargets.add(listed.id);
			this.dispatcher.post({
				kind: 'target-set',
				target: listed.id,
				slots: listed.slots,
			});
		}

		this.dispatcher.post({
			kind: 'target-leaving',
			target: listed.id,
			leaving: listed.isLeaving,
		});
		if (listed.isLeaving) {
			this.endStreamsWithoutTargets();
		}
	}

	private handleTargetRemoval({listed}: RegisteredTarget): void {
		if (this.announcedTargets.delete(listed.id)) {
			this.dispatcher.post({kind: 'target-removed', target: listed.id});
			this.endStreamsWithoutTargets();
		}
	}

	private refuseWaitingForHeldBack(): void {
		for (const request of this.requests.values()) {
			if (this.isWaiting(request)) {
				this.refuseHeldBack(request);
			}
		}
	}

	/** Ends the streams that wait for a target of a software version of which none is left. */
	private endStreamsWithoutTargets(): void {
		for (const request of this.requests.values()) {
			if (this.isWaiting(request) && !this.hasTargetOfVersion(request)) {
				this.abandon(request);
				request.refuse(missingVersionReason, undefined);
			}
		}
	}

	private recordLeaving(target: TargetId): void {
		const {registry} = this.options;
		const incarnation = registry.get(target)?.listed.residency.incarnation;
		if (incarnation !== undefined) {
			registry.recordLeaving({target, incarnation});
		}
	}

	private recordRateLimit(
		target: TargetId,
		requestsPerSecond: number | undefined,
	): void {
		const {rateLimits, events} = this.options;
		if (rateLimits.apply(target, requestsPerSecond)) {
			events.record(forwardingEvents.targetRateLimited, {
				target,
				requestsPerSecond,
			});
		}
	}

	private recordLoad(target: TargetId, load: ReportedLoad | undefined): void {
		const registered = this.options.registry.get(target);
		if (!load || !registered) {
			return;
		}

		this.lastLoadSequence++;
		this.dispatcher.post({
			kind: 'target-reported',
			report: {
				target,
				incarnation: registered.listed.residency.incarnation,
				sequence: this.lastLoadSequence,
				leaving: registered.listed.isLeaving,
				running: load.running,
				queued: load.queued,
				slots: load.slots,
			},
			ageMilliseconds: 0,
			slowdown: load.slowdown,
			adapters: [],
		});
	}
}

/** Carries out the decisions of the dispatcher. */
class ForwardPort extends DispatchPort {
	constructor(private readonly poolDispatch: ForwardDispatch) {
		super();
	}

	dispatch(binding: Binding): void {
		this.poolDispatch.startAttempt(binding);
	}

	refuse(refusal: WorkRefusal): void {
		this.poolDispatch.handleRefusal(refusal);
	}

	fail(item: WorkItem, execution: Execution): void {
		this.poolDispatch.handleFinalFailure(item, execution);
	}

	demote(): void {
		// Targets cannot change the priority of work in execution.
	}

	cancel(attempt: Attempt): void {
		this.poolDispatch.cancelAttempt(attempt);
	}
}

function toAttempt({request, attempt, target}: Attempt): Attempt {
	return {request, attempt, target};
}
