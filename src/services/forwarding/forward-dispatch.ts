import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {type Execution} from '../../contracts/execution.js';
import {
	type CallerId,
	type FailureDomain,
	type Fingerprint,
	type HostId,
	type OfferingName,
	type PoolName,
	type RequestId,
	type TargetId,
} from '../../contracts/ids.js';
import {
	type ResponseMetadata,
	type RequestCodec,
	type ReportedLoad,
} from '../../contracts/request-codec.js';
import {type RefusalReason} from '../../contracts/target-error.js';
import {AdmissionPolicy} from '../../core/admission-policy.js';
import {CallerLimiter} from '../../core/caller-limiter.js';
import {type Urgency} from '../../core/dispatch-queue.js';
import {type CrashCorrelation} from '../../core/crash-correlation.js';
import {LengthEstimator} from '../../core/length-estimator.js';
import {OutlierDetector} from '../../core/outlier-detector.js';
import {RetryBudget} from '../../core/retry-budget.js';
import {SlotPolicy} from '../../core/slot-policy.js';
import {
	Dispatcher,
	DispatchPort,
	CandidateDirectory,
	type Attempt,
	type Binding,
	type WorkItem,
	type WorkRefusal,
} from '../dispatch/dispatcher.js';
import {
	AttemptListener,
	ForwardAttempt,
	type AttemptFailure,
} from './forward-attempt.js';
import {type ForwardedRequest} from './forwarded-request.js';
import {type TargetConnections} from './target-connections.js';
import {type RegisteredTarget, type TargetRegistry} from './target-registry.js';

/** Bounds on repeated sends that all hosts keep together. */
export type RetryLimits = {
	/** Repeated sends for each request. */
	readonly ratio: number;
	/** Repeated sends in a window beside those of the ratio, of all hosts together. */
	readonly slack: number;
	readonly windowMilliseconds: number;
	/** Hosts that share the slack. */
	readonly hosts: number;
};

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
	readonly crashes: CrashCorrelation;
	readonly maximumBodyBytes: number;
};

/** Part of the slack that may be spent at once, when a target dies with many requests. */
const burstShare = 0.7;
/** All consumers come through one balancer, which names none of them. */
const anyCaller = 'any' as CallerId;
/** Sends of one request, those included that no target received or ran. */
const maximumSends = 5;
/** Part of the ratio that is used, so that a window that cuts a burst in two stays below the bound. */
const usedRatioShare = 0.7;
/** Targets in other failure domains count as this much slower, since bytes between domains are paid for. */
const remotePreference = 0.8;
/** A lost attempt counts as slow as this in the comparison of targets. */
const lossMilliseconds = 3000;
/** Models differ threefold in pace, so that a target is slow only beyond that. */
const ejectionRatio = 4;
/** Silence on a connection after which a repeatable request is sent elsewhere. Below the two seconds after which callers give up. */
const silenceMilliseconds = 1300;
/** Remaining time below which a continuation is not worth a send. */
const leastContinuationMilliseconds = 100;
/** Time that a target's answer at its time limit needs to arrive before this host's own. */
const targetLimitMarginMilliseconds = 20;

/** Forwards the requests to one pool: the dispatcher decides, this class sends. */
export class ForwardDispatch extends Disposable {
	readonly dispatcher: Dispatcher;
	private readonly requests = new Map<RequestId, ForwardedRequest>();
	private readonly attempts = new Map<RequestId, Map<number, ForwardAttempt>>();
	private readonly known = new Set<TargetId>();
	private loadSequence = 0;
	private readonly subscriptions: Disposable[];

	constructor(private readonly options: ForwardDispatchOptions) {
		super();
		const {clock, random, host, events, registry, retries} = options;
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
			// Targets batch requests of all lengths, so none are reserved for short ones.
			lengthEstimator: new LengthEstimator({
				longThresholdTokens: Number.MAX_SAFE_INTEGER,
			}),
			slotPolicy: new SlotPolicy({host, longShare: 1, overcommitShare: 0}),
			outlierDetector: new OutlierDetector({clock, ejectionRatio}),
			retryBudget: makeBudget(clock, retries),
			hedging: false,
			speedFactor: (target) =>
				registry.get(target)?.listed.failureDomain === options.failureDomain
					? 1
					: remotePreference,
			maximumAttempts: maximumSends,
			chargesEveryRefusal: true,
			lostAttemptLatencyMilliseconds: lossMilliseconds,
		});
		this.subscriptions = [
			registry.changed.subscribe((target) => {
				this.targetChanged(target);
			}),
			registry.removed.subscribe((target) => {
				this.targetRemoved(target);
			}),
		];
		for (const target of registry.targetsOfPool(options.pool)) {
			this.targetChanged(target);
		}

		void this.dispatcher.run();
	}

	/** Name of the pool. */
	get pool(): PoolName {
		return this.options.pool;
	}

	/** Requests that wait or run. */
	activeRequests(): Iterable<ForwardedRequest> {
		return this.requests.values();
	}

	/** True while requests wait for a target. */
	get hasWaitingRequests(): boolean {
		return this.dispatcher.queueLength > 0;
	}

	/** True when the request waits and was not sent yet. */
	isWaiting(request: ForwardedRequest): boolean {
		return (this.attempts.get(request.key)?.size ?? 0) === 0;
	}

	/** Queues a request. It ends through its own methods. */
	submit(request: ForwardedRequest): void {
		this.requests.set(request.key, request);
		this.dispatcher.post({
			kind: 'submitted',
			item: this.itemOf(request, false),
		});
	}

	/** Ends a request whose caller left or whose time is over. Its runs are stopped. */
	abandon(request: ForwardedRequest): void {
		this.dispatcher.post({kind: 'abandoned', request: request.key});
		// A cancellation that waits for the mailbox of a busy dispatcher is late.
		for (const attempt of this.attempts.get(request.key)?.values() ?? []) {
			attempt.cancel();
		}
	}

	/** Forgets a request that has its final answer. */
	remove(request: ForwardedRequest): void {
		this.requests.delete(request.key);
		this.attempts.delete(request.key);
	}

	setHosts(hosts: readonly HostId[]): void {
		this.dispatcher.post({kind: 'hosts-changed', hosts});
	}

	tick(): void {
		if (this.hasWaitingRequests) {
			this.dispatcher.post({kind: 'ticked'});
		}
	}

	/** Sends a request to the target that the dispatcher chose. */
	startAttempt(binding: Binding): void {
		const request = this.requests.get(binding.request);
		const connections = this.options.registry.getConnections(binding.target);
		if (!request || request.isFinished || !connections) {
			this.dispatcher.post({kind: 'unreached', ...identify(binding)});
			return;
		}

		request.waitedMilliseconds ??= binding.waitedMilliseconds;
		request.executions++;
		const attempt = this.makeAttempt(request, binding, connections);
		const attempts =
			this.attempts.get(request.key) ?? new Map<number, ForwardAttempt>();
		attempts.set(binding.attempt, attempt);
		this.attempts.set(request.key, attempts);
		const {metadata: facts, route, options} = request;
		this.options.events.record(forwardingEvents.attemptSent, {
			request: facts.id,
			attempt: binding.attempt,
			kind: request.continuations > 0 ? 'continuation' : binding.kind,
			target: binding.target,
			model: facts.model,
			adapter: facts.adapter,
			waitedMilliseconds: Math.round(binding.waitedMilliseconds),
			listAgeMilliseconds: Math.round(
				this.options.clock.monotonic() -
					(this.options.registry.get(binding.target)?.listedAt ?? 0),
			),
		});
		connections.dispatcher.dispatch(
			{
				method: options.method,
				path: options.requestTarget,
				headers: this.options.codec.encodeAttempt(facts, {
					target: binding.target,
					remainingMilliseconds:
						request.remainingMilliseconds() - targetLimitMarginMilliseconds,
					lastEventId: request.lastEventId,
					priority: route.priority,
				}),
				body: options.body.length > 0 ? options.body : null,
				idempotent: false,
				blocking: false,
			},
			attempt,
		);
	}

	cancelAttempt({request, attempt}: Attempt): void {
		const attempts = this.attempts.get(request);
		attempts?.get(attempt)?.cancel();
		attempts?.delete(attempt);
	}

	/** The dispatcher refused the request: it waited too long, or no target took it. */
	handleRefusal({item, message, retryAfterMilliseconds}: WorkRefusal): void {
		this.requests.get(item.request)?.refuse(message, retryAfterMilliseconds);
	}

	/** The last attempt failed and is not repeated. */
	handleFinalFailure(item: WorkItem, execution: Execution): void {
		const request = this.requests.get(item.request);
		if (!request || request.isFinished) {
			return;
		}

		if (execution === 'not-run') {
			request.refuse('no target took the request', 500);
			return;
		}

		request.fail('the target did not give a whole answer');
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

	/** Tells the dispatcher of an event and ends the attempt. */
	endAttempt(
		attempt: Attempt,
		outcome:
			| {readonly kind: 'completed'; readonly tokens: number}
			| {readonly kind: 'refused'; readonly reason: RefusalReason}
			| {readonly kind: 'lost'; readonly execution: Execution}
			| {readonly kind: 'unreached'},
	): void {
		this.attempts.get(attempt.request)?.delete(attempt.attempt);
		this.dispatcher.post({...attempt, ...outcome});
	}

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
		const {registry, crashes} = this.options;
		const incarnation = registry.get(attempt.target)?.listed.residency
			.incarnation;
		if (failure.kind === 'lost' && incarnation !== undefined) {
			crashes.recordLostRequest(
				attempt.target,
				incarnation,
				request.options.fingerprint,
			);
		}

		if (failure.kind === 'unreached') {
			registry.recordUnreachable(attempt.target, failure.isConnectionRefused);
			crashes.recordTargetDeath(attempt.target);
		} else if (failure.kind === 'refused' && failure.response.isMisdirected) {
			registry.recordMissing(
				attempt.target,
				request.metadata.model,
				request.metadata.adapter,
			);
		}
	}

	/** Sends the rest of a broken stream elsewhere, or ends the request. */
	continueStream(request: ForwardedRequest, attempt: Attempt): void {
		// The dispatcher forgets the request and takes its rest as new work.
		this.attempts.get(attempt.request)?.delete(attempt.attempt);
		this.dispatcher.post({kind: 'abandoned', request: request.key});
		if (
			request.isFinished ||
			!request.isRepeatable ||
			request.executions >= request.route.maximumExecutions ||
			this.options.crashes.isQuarantined(request.options.fingerprint) ||
			request.remainingMilliseconds() < leastContinuationMilliseconds
		) {
			request.fail('the stream broke');
			return;
		}

		request.continuations++;
		request.brokenStreamTargets.push(attempt.target);
		this.dispatcher.post({
			kind: 'submitted',
			item: this.itemOf(request, true),
		});
	}

	private makeAttempt(
		request: ForwardedRequest,
		binding: Binding,
		connections: TargetConnections,
	): ForwardAttempt {
		return new ForwardAttempt({
			request: request.metadata.id,
			target: binding.target,
			codec: this.options.codec,
			listener: new RequestAttempt(this, request, identify(binding)),
			inactivityTimeoutMilliseconds: request.isRepeatable
				? silenceMilliseconds
				: undefined,
			onResponseMetadata: (answer) => {
				this.noteLoad(binding.target, answer.load);
			},
			maximumBodyBytes: this.options.maximumBodyBytes,
			isStream: request.route.kind === 'stream',
			connections,
		});
	}

	private itemOf(request: ForwardedRequest, isContinuation: boolean): WorkItem {
		const {metadata: facts, route} = request;
		return {
			request: request.key,
			caller: anyCaller,
			urgency: urgencyOf(route.priority),
			offering: route.name as string as OfferingName,
			...(facts.model === undefined ? {} : {model: facts.model}),
			...(facts.adapter === undefined ? {} : {adapter: facts.adapter}),
			promptCharacters: facts.promptTokens,
			maximumTokens: facts.maximumTokens,
			prefixes: facts.prefixKeys,
			remainingMilliseconds: request.remainingMilliseconds(),
			startObjectiveMilliseconds: request.startObjectiveMilliseconds(),
			startTimeoutMilliseconds: request.startTimeoutMilliseconds(),
			idempotent: request.isRepeatable,
			fingerprint: request.options.fingerprint,
			suspect: false,
			maximumExecutions: route.maximumExecutions - request.executions,
			isContinuation,
			avoidedTargets: request.brokenStreamTargets,
		};
	}

	private targetChanged({listed}: RegisteredTarget): void {
		if (listed.pool !== this.options.pool) {
			return;
		}

		if (!this.known.has(listed.id)) {
			this.known.add(listed.id);
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
	}

	private targetRemoved({listed}: RegisteredTarget): void {
		if (this.known.delete(listed.id)) {
			this.dispatcher.post({kind: 'target-removed', target: listed.id});
		}
	}

	private noteLoad(target: TargetId, load: ReportedLoad | undefined): void {
		const known = this.options.registry.get(target);
		if (!load || !known) {
			return;
		}

		this.loadSequence++;
		this.dispatcher.post({
			kind: 'target-reported',
			report: {
				target,
				incarnation: known.listed.residency.incarnation,
				sequence: this.loadSequence,
				leaving: known.listed.isLeaving,
				running: load.running,
				queued: load.queued,
				slots: load.slots,
			},
			ageMilliseconds: 0,
			adapters: [],
		});
	}
}

/** Passes the events of one attempt to its request and the dispatcher. */
class RequestAttempt extends AttemptListener {
	private events = 0;

	constructor(
		private readonly owner: ForwardDispatch,
		private readonly request: ForwardedRequest,
		private readonly attempt: Attempt,
	) {
		super();
	}

	onStreamStart(answer: ResponseMetadata): void {
		this.request.startStream(answer);
	}

	onStreamData(chunk: Buffer): void {
		const before = this.request.eventCount;
		if (!this.request.forwardStreamData(chunk)) {
			this.breakOff('an event does not follow the last one');
			return;
		}

		this.events += this.request.eventCount - before;
		if (this.events > 0) {
			this.owner.dispatcher.post({
				kind: 'progressed',
				tokens: this.events,
				...this.attempt,
			});
		}
	}

	onStreamEnd(): void {
		if (!this.request.endStream()) {
			this.breakOff('the stream ended within an event');
			return;
		}

		this.owner.endAttempt(this.attempt, {
			kind: 'completed',
			tokens: this.events,
		});
	}

	onResponse(answer: ResponseMetadata, body: Buffer): void {
		if (this.request.hasStarted) {
			this.onFailure({
				kind: 'lost',
				reason: `status ${answer.status} for the rest of a stream`,
			});
			return;
		}

		const isFailure = answer.status >= 500;
		if (isFailure) {
			this.request.recordFailureResponse(answer, body);
			this.owner.endAttempt(this.attempt, {kind: 'lost', execution: 'unknown'});
			return;
		}

		this.request.forwardResponse(answer, body);
		this.owner.endAttempt(this.attempt, {kind: 'completed', tokens: 1});
	}

	onFailure(failure: AttemptFailure): void {
		this.owner.recordFailure(this.request, this.attempt, failure);
		if (failure.kind !== 'lost') {
			this.request.executions--;
		}

		if (failure.kind === 'unreached') {
			this.owner.endAttempt(this.attempt, {kind: 'unreached'});
			return;
		}

		if (failure.kind === 'refused') {
			this.owner.endAttempt(this.attempt, {
				kind: 'refused',
				reason: failure.response.isMisdirected ? 'not-resident' : 'busy',
			});
			return;
		}

		if (this.request.hasStarted) {
			this.owner.continueStream(this.request, this.attempt);
			return;
		}

		this.owner.endAttempt(this.attempt, {kind: 'lost', execution: 'unknown'});
	}

	private breakOff(reason: string): void {
		this.owner.cancelAttempt(this.attempt);
		this.onFailure({kind: 'lost', reason});
	}
}

/** Turns the decisions of the dispatcher into sends and answers. */
class ForwardPort extends DispatchPort {
	constructor(private readonly owner: ForwardDispatch) {
		super();
	}

	dispatch(binding: Binding): void {
		this.owner.startAttempt(binding);
	}

	refuse(refusal: WorkRefusal): void {
		this.owner.handleRefusal(refusal);
	}

	fail(item: WorkItem, execution: Execution): void {
		this.owner.handleFinalFailure(item, execution);
	}

	demote(): void {
		// Targets do not change the priority of running work.
	}

	cancel(attempt: Attempt): void {
		this.owner.cancelAttempt(attempt);
	}
}

/** Candidates from the registry. */
class RegisteredCandidates extends CandidateDirectory {
	constructor(
		private readonly registry: TargetRegistry,
		private readonly pool: PoolName,
	) {
		super();
	}

	targetsFor(item: WorkItem): readonly TargetId[] {
		return this.registry.candidates(this.pool, item.model, item.adapter);
	}
}

/** A window that meets a full bucket sees its capacity and its refill, which together are this host's share of the slack. */
function makeBudget(clock: Clock, retries: RetryLimits): RetryBudget {
	const slack = retries.slack / retries.hosts;
	return new RetryBudget({
		clock,
		ratio: retries.ratio * usedRatioShare,
		minimumPerSecond:
			(slack * (1 - burstShare)) / (retries.windowMilliseconds / 1000),
		capacity: Math.max(2, Math.floor(slack * burstShare)),
	});
}

function identify({request, attempt, target}: Attempt): Attempt {
	return {request, attempt, target};
}

function urgencyOf(rank: number): Urgency {
	return rank <= 0 ? 'urgent' : rank === 1 ? 'standard' : 'deferred';
}
