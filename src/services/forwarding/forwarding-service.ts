import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '../../base/common/clock.js';
import {sha256} from '../../base/common/digest.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {type PolledQueue} from '../../base/node/polled-queue.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {
	type ForwardingDocument,
	type Customer,
	type RouteRule,
} from '../../contracts/forwarding-document.js';
import {
	type CustomerName,
	type FailureDomain,
	type Fingerprint,
	type HostId,
	type ModelId,
	type PoolName,
	type RequestId,
} from '../../contracts/ids.js';
import {
	type RequestCodec,
	type RequestMetadata,
} from '../../contracts/request-codec.js';
import {type PoolReachability} from '../../contracts/pool-reachability.js';
import {type ByteBudget} from '../../core/limits/byte-budget.js';
import {CustomerKeys} from '../../core/fairness/customer-keys.js';
import {type RetryLimits} from '../../core/limits/retry-limits.js';
import {LogLimiter} from '../../core/limits/log-limiter.js';
import {type NamedRateLimits} from '../../core/limits/named-rate-limits.js';
import {type PermitBook} from '../../core/limits/permit-book.js';
import {pickPoolByWeight, RouteTable} from '../../core/routing/route-table.js';
import {
	adapterDemandKey,
	type AdapterDemand,
	type HostDemand,
} from '../../core/placement/host-demand.js';
import {
	type ArrivedRequest,
	type PeerOrigin,
	type PeerRequest,
} from './attempts/arrived-request.js';
import {type BrittleObserver} from './targets/brittle-observer.js';
import {type CrashObserver} from './targets/crash-observer.js';
import {
	ForwardDispatch,
	missingVersionReason,
} from './attempts/forward-dispatch.js';
import {ForwardedRequest} from './attempts/forwarded-request.js';
import {
	decideForPool,
	servesModel,
	unknownModelReason,
} from './attempts/pool-decision.js';
import {headerValue} from './attempts/header-value.js';
import {type ReceivedRequest} from './forwarding-server.js';
import {RefusingRequestHandler} from './limits/host-intake.js';
import {type QuotaEnforcement} from './limits/quota-enforcement.js';
import {type FleetSharing} from './reports/fleet-sharing.js';
import {StopAdmission} from './limits/stop-admission.js';
import {HttpCallerResponse} from './attempts/http-caller-response.js';
import {type PeerResponse} from './peers/peer-response.js';
import {type PeerForwarder} from './peers/peer-forwarder.js';
import {type StreamOriginSharing} from './state/stream-origin-sharing.js';
import {type TargetRegistry} from './targets/target-registry.js';
import {
	explainRoute,
	startRetryMilliseconds,
	stoppingReason,
	unknownKeyReason,
	type RouteQuestion,
} from './route-explanation.js';

/** Options of the forwarding service. */
export type ForwardingServiceOptions = {
	readonly host: HostId;
	readonly failureDomain: FailureDomain;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	readonly codec: RequestCodec;
	readonly registry: TargetRegistry;
	readonly retries: RetryLimits;
	/** Enforces the quotas of customers. Absent if they are not enforced. */
	readonly quotas?: QuotaEnforcement | undefined;
	/** What the other hosts tell of their customers and queues. By default, each host shares and admits by itself. */
	readonly sharing?: FleetSharing | undefined;
	readonly crashes: CrashObserver;
	readonly rateLimits: NamedRateLimits;
	readonly permits: PermitBook;
	readonly brittle: BrittleObserver;
	readonly streams: StreamOriginSharing;
	readonly reachability: PoolReachability;
	/** Runs actions after the connections of callers have been read. */
	readonly polls: PolledQueue;
	/** True while this host would know a version that takes keys away. */
	readonly mayRelyOnKeys: () => boolean;
	/** Time for which the target list may be out of date, for the log. */
	readonly targetListAge: () => number;
	/** Forwards the requests for pools that are cut off. */
	readonly peers: PeerForwarder;
	/** Limit for the bodies of all answers that are held at once. No limit if absent. */
	readonly budget?: ByteBudget | undefined;
	/** Called when a request arrives for an adapter that no target holds. */
	readonly onAdapterMissing: () => void;
	/** Pools whose targets have at most this many slots are scheduled by work. None by default. */
	readonly workAwareSlots?: number | undefined;
};

/** What a planned stop did to the requests of callers. */
export type StopCounts = {
	/** Requests first sent to a target during the stop. */
	readonly begunRequests: number;
	/** Requests refused as not run during the stop. */
	readonly refusedRequests: number;
	/** Requests that the end of the stop ended without their whole answer. */
	readonly cutRequests: number;
	/** Complete answers that their callers had not taken when the stop ended. */
	readonly unsentResponses: number;
	/** Responses of this host to requests that may have run, since the process started. */
	readonly ownFailures: number;
};

/** What decided that a request is forwarded. */
type AcceptedBy = {
	readonly customer: CustomerName | undefined;
	readonly documentVersion: number;
};

type Pool = {
	readonly dispatch: ForwardDispatch;
	/** Models of the pool, undefined for a pool without an engine. */
	models: ReadonlySet<ModelId> | undefined;
};

/** Interval at which the deadlines of queued requests are checked. */
const tickIntervalMilliseconds = 25;
/** Time for which a host reports the last request for a model to the owner. Longer than any model counts as busy. */
const lastRequestLifetimeMilliseconds = 20_000;

/** Delay after which a request that finds no memory may come back: the bodies of others are held until their answers. */
const memoryRetryMilliseconds = 1000;

/** Log lines for the requests that one stop cuts, and as many for its unsent answers. */
const maximumCutLines = 32;
/** Log lines about interrupted answers in each interval. */
const interruptedLogLimits = {intervalMilliseconds: 10_000, maximumLines: 32};

/** Beginning of the outcome of a request whose answer was ended early. */
const interruptedOutcome = 'broken: ';
const cutOffReason = 'the host reaches no target of the pool';
const outdatedKeysReason =
	'the key may have been taken away since the store was read';
const unknownVersionReason =
	'the software version at which the stream began is not known';
/** Delay after which a refused rest of a stream may come back. By then the report of the host that forwarded its beginning has arrived. */
const unknownVersionRetryMilliseconds = 500;

/** Forwards the requests of callers according to the current document. */
export class ForwardingService extends RefusingRequestHandler {
	private document: ForwardingDocument | undefined;
	private routes: RouteTable | undefined;
	private keys = new CustomerKeys({routes: []});
	private readonly pools = new Map<PoolName, Pool>();
	private readonly requests = new Set<ForwardedRequest>();
	/** Monotonic time of the last request for each model, including refused requests. */
	private readonly lastRequestAt = new Map<ModelId, number>();
	private firstRequestAt: number | undefined;
	private lastKey = 0;
	private currentHostCount: number;
	private readonly stopAdmission: StopAdmission;
	private readonly interruptedLog: LogLimiter;
	/** Responses to callers whose bytes have not all left the process, with the ids of their requests, by connection. */
	private readonly openResponses = new Map<
		Socket,
		Map<ServerResponse, RequestId>
	>();

	/** Answers to other hosts that have not taken all of them. */
	private readonly openPeerResponses = new Set<PeerResponse>();
	/** Id of the last request of each connection of a caller. */
	private readonly lastRequests = new WeakMap<Socket, RequestId>();
	private ownFailures = 0;
	/** Keys of the requests first sent during the stop. */
	private readonly begunRequests = new Set<RequestId>();
	private refusedRequests = 0;
	private isStopping = false;
	private isAcceptingRequests = true;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ForwardingServiceOptions) {
		super();
		const {crashes, registry, rateLimits, permits, brittle, reachability} =
			options;
		registry.restarted.subscribe(({listed}) => {
			crashes.recordTargetDeath(listed.id, 'restarted');
			rateLimits.forget(listed.id);
			permits.forget(listed.id);
			brittle.recordRestart(listed.id);
		});
		registry.removed.subscribe(({listed}) => {
			crashes.recordTargetDeath(listed.id, 'unlisted');
			rateLimits.forget(listed.id);
			permits.forget(listed.id);
			brittle.forget(listed.id);
		});
		crashes.quarantineGrown.subscribe(() => {
			for (const {dispatch} of this.pools.values()) {
				dispatch.refuseQuarantined();
			}
		});
		this.stopAdmission = new StopAdmission(options.clock);
		this.interruptedLog = new LogLimiter({
			clock: options.clock,
			...interruptedLogLimits,
		});
		reachability.changed.subscribe((name) => {
			setImmediate(() => {
				const pool = this.pools.get(name);
				if (pool) {
					this.forwardUnsent(pool);
				}
			});
		});
		this.currentHostCount = options.retries.hosts;
	}

	/** Version of the current document, undefined before the first one. */
	get documentVersion(): number | undefined {
		return this.document?.version;
	}

	/** The document in force, undefined before the first one. */
	get currentDocument(): ForwardingDocument | undefined {
		return this.document;
	}

	/** Number of requests without a final response. */
	get openRequests(): number {
		return this.requests.size;
	}

	/** True while another host has not taken all of an answer to a request that it forwarded. */
	get hasOpenPeerResponses(): boolean {
		return this.openPeerResponses.size > 0;
	}

	/** Number of responses to callers whose bytes have not all left the process. */
	get openCallerResponses(): number {
		let count = 0;
		for (const responses of this.openResponses.values()) {
			count += responses.size;
		}

		return count;
	}

	/** Id of the last request that was received on a connection. */
	lastRequestOf(socket: Socket): RequestId | undefined {
		return this.lastRequests.get(socket);
	}

	dispose(): void {
		clearInterval(this.timer);
		for (const {dispatch} of this.pools.values()) {
			dispatch.dispose();
		}
	}

	/** Begins the stop, which ends at a monotonic time: from now on each response closes its connection, and only requests whose answers end before are begun. What is begun from `mustEndFrom` on must end in any case. */
	beginStop(endsAt: number, mustEndFrom = endsAt): void {
		this.isStopping = true;
		this.stopAdmission.begin({mustEndFrom, endsAt});
	}

	/** Refuses new requests and those not sent yet as not executed, because an execution that began now would be interrupted at the end of the stop. Called repeatedly, because a target may still refuse a request that was sent before. */
	refuseUnsentRequests(): void {
		this.isAcceptingRequests = false;
		for (const {dispatch} of this.pools.values()) {
			for (const request of dispatch.activeRequests()) {
				if (request.executions === 0 && !request.isFinished) {
					dispatch.abandon(request);
					request.refuse(stoppingReason, startRetryMilliseconds);
				}
			}
		}
	}

	/** Ends all open requests at the end of the stop: those without a response with an own one that says whether they may have been executed, streams by closing their connections. Returns what the whole stop did to requests. */
	endOpenRequests(): StopCounts {
		this.refuseUnsentRequests();
		const cutRequests = this.recordCutRequests();
		const unsentResponses = this.recordUnsentResponses();
		for (const {dispatch} of this.pools.values()) {
			for (const request of dispatch.activeRequests()) {
				dispatch.endUnanswered(request, stoppingReason, startRetryMilliseconds);
			}
		}

		for (const request of this.requests) {
			request.refuse(stoppingReason, startRetryMilliseconds);
		}

		return {
			begunRequests: this.begunRequests.size,
			refusedRequests: this.refusedRequests,
			cutRequests,
			unsentResponses,
			ownFailures: this.ownFailures,
		};
	}

	/** Applies a document and returns true, or returns false for a document that is not newer than the current one. */
	applyDocument(document: ForwardingDocument): boolean {
		if (
			this.document &&
			document.version <= this.document.version &&
			!this.isCompletion(document)
		) {
			return false;
		}

		this.document = document;
		this.options.quotas?.applyDocument(document);
		this.options.sharing?.applyDocument(document);
		this.routes = new RouteTable(document);
		// Keeps the last known keys if a host of an older build sent the document, which leaves them out.
		if (document.customers) {
			this.keys = new CustomerKeys(document);
		}

		for (const {name, engine} of document.pools) {
			const models = engine && new Set(engine.models.map(({id}) => id));
			const existing = this.pools.get(name);
			if (existing) {
				existing.models = models;
				existing.dispatch.work.applyEngine(engine);
				continue;
			}

			const dispatch = this.createDispatch(name);
			dispatch.work.applyEngine(engine);
			this.pools.set(name, {dispatch, models});
		}

		return true;
	}

	/** Dispatches of all pools. */
	dispatches(): readonly ForwardDispatch[] {
		return [...this.pools.values()].map(({dispatch}) => dispatch);
	}

	/** Explains where a request would go now and why, without sending it. */
	explain(question: RouteQuestion) {
		const {document, routes, keys, pools} = this;
		return explainRoute(question, {
			...this.options,
			document,
			routes,
			keys,
			pools,
			findHostRefusal: (customer) => this.findHostRefusal(customer),
			mayBegin: (request) => this.mayBegin(request),
		});
	}

	/** Number of hosts that share the targets and the retry budget. */
	get hostCount(): number {
		return this.currentHostCount;
	}

	/** Sets the number of hosts that share the targets and the retry budget. */
	setHostCount(count: number): void {
		if (count === this.currentHostCount) {
			return;
		}

		this.currentHostCount = count;
		for (const {dispatch} of this.pools.values()) {
			dispatch.setHostCount(count);
		}
	}

	/** Notifies the dispatchers with queued requests that the candidates have changed. */
	notifyCandidatesChanged(): void {
		for (const {dispatch} of this.pools.values()) {
			if (dispatch.hasWaitingRequests) {
				dispatch.dispatcher.post({kind: 'candidates-changed'});
			}
		}
	}

	/** Requests that are queued, in flight or were refused lately on this host, by model and adapter. */
	demand(): HostDemand {
		const models = new Map<ModelId, number>();
		const adapters = new Map<string, AdapterDemand>();
		for (const {dispatch} of this.pools.values()) {
			for (const [model, count] of dispatch.refusedRequests()) {
				models.set(model, (models.get(model) ?? 0) + count);
			}

			for (const request of dispatch.activeRequests()) {
				const {model, adapter} = request.metadata;
				if (model === undefined || request.isFinished) {
					continue;
				}

				models.set(model, (models.get(model) ?? 0) + 1);
				if (adapter === undefined) {
					continue;
				}

				const isWaiting =
					dispatch.isWaiting(request) && !this.hasCandidate(dispatch, request);
				const softwareVersion = isWaiting ? request.softwareVersion : undefined;
				const key = adapterDemandKey({model, adapter, softwareVersion});
				const counted = adapters.get(key);
				adapters.set(key, {
					model,
					adapter,
					softwareVersion,
					requests: (counted?.requests ?? 0) + 1,
					waiting: (counted?.waiting ?? 0) + (isWaiting ? 1 : 0),
				});
			}
		}

		const now = this.options.clock.monotonic();
		for (const [model, at] of this.lastRequestAt) {
			if (now - at >= lastRequestLifetimeMilliseconds) {
				this.lastRequestAt.delete(model);
			}
		}

		return {
			host: this.options.host,
			members: this.isStopping ? [] : [this.options.host],
			observedMilliseconds:
				this.firstRequestAt === undefined ? 0 : now - this.firstRequestAt,
			models: [
				...new Set([...models.keys(), ...this.lastRequestAt.keys()]),
			].map((model) => ({
				model,
				requests: models.get(model) ?? 0,
				idleMilliseconds: models.has(model)
					? 0
					: now - (this.lastRequestAt.get(model) ?? now),
			})),
			adapters: [...adapters.values()],
		};
	}

	handle({message, response, body, arrivedAt}: ReceivedRequest): void {
		const {codec, clock, events, metrics} = this.options;
		metrics.count('daisylever_requests_total');
		const metadata = codec.decodeRequest(message.rawHeaders);
		if (metadata.isErr()) {
			this.reject(message, response, 400);
			return;
		}

		this.lastRequests.set(message.socket, metadata.value.id);
		this.keepOpenResponse(message.socket, response, metadata.value.id);
		if (!this.document || !this.routes || !this.isAcceptingRequests) {
			this.refusedRequests += this.isStopping ? 1 : 0;
			this.sendLocalResponse(
				response,
				503,
				metadata.value.id,
				startRetryMilliseconds,
			);
			return;
		}

		const requestTarget = message.url ?? '/';
		const route = this.routes.match(message.headers.host ?? '', requestTarget);
		if (!route) {
			events.record(forwardingEvents.requestRejected, {
				request: metadata.value.id,
				status: 404,
				documentVersion: this.document.version,
			});
			this.sendLocalResponse(response, 404, metadata.value.id, undefined);
			return;
		}

		const decision = this.keys.check(route, metadata.value.keyDigest);
		if (!decision.isAccepted) {
			this.recordUnknownKey(metadata.value.id);
			this.sendLocalResponse(response, 401, metadata.value.id, undefined);
			return;
		}

		const {customer} = decision;
		if (this.findHostRefusal(customer)) {
			metrics.count('daisylever_outdated_key_refusals_total');
			events.record(forwardingEvents.requestRejected, {
				request: metadata.value.id,
				status: 503,
				reason: outdatedKeysReason,
				documentVersion: this.document.version,
			});
			this.sendLocalResponse(
				response,
				503,
				metadata.value.id,
				startRetryMilliseconds,
			);
			return;
		}

		this.forward(
			{
				method: message.method ?? 'GET',
				requestTarget,
				rawHeaders: message.rawHeaders,
				body,
				arrivedAt: arrivedAt ?? clock.monotonic(),
				response: new HttpCallerResponse(
					response,
					() => this.isStopping,
					this.options.budget,
				),
				hasCallerLeft: () =>
					message.socket.destroyed || message.socket.readableEnded,
				onCallerLeft(callback) {
					response.once('close', callback);
				},
				origin: undefined,
			},
			metadata.value,
			this.keys.rank(route, customer),
			{customer: customer?.name, documentVersion: this.document.version},
		);
	}

	/** Serves a request that another host forwarded, as one of a caller. Refuses it at once if it would have to be forwarded again. */
	handlePeerRequest(received: PeerRequest): void {
		const {codec, clock, events, reachability} = this.options;
		const {origin, response, rawHeaders, requestTarget, arrivedAt} = received;
		this.openPeerResponses.add(response);
		response.onClosed(() => {
			this.openPeerResponses.delete(response);
		});
		const metadata = codec.decodeRequest(rawHeaders);
		const route = this.routes?.match(
			headerValue(rawHeaders, 'host') ?? '',
			requestTarget,
		);
		if (!this.document) {
			response.refuseHost('the host has no document', startRetryMilliseconds);
			return;
		}

		if (!this.isAcceptingRequests) {
			response.refuseHost(stoppingReason, startRetryMilliseconds);
			return;
		}

		if (reachability.isCutOff(origin.pool)) {
			response.refuseHost(cutOffReason, startRetryMilliseconds);
			return;
		}

		if (metadata.isErr() || !route) {
			response.sendOwn({
				status: 404,
				headers: [],
				execution: 'not-run',
				reason: 'no route matches',
				retryAfterMilliseconds: startRetryMilliseconds,
			});
			return;
		}

		const decision = origin.isKeyChecked
			? {
					isAccepted: true as const,
					customer: this.keys.get(origin.customer ?? ''),
				}
			: this.keys.check(route, metadata.value.keyDigest);
		if (!decision.isAccepted) {
			this.recordUnknownKey(metadata.value.id);
			response.sendOwn({
				status: 401,
				headers: [],
				execution: 'not-run',
				reason: unknownKeyReason,
				retryAfterMilliseconds: undefined,
			});
			return;
		}

		events.record(forwardingEvents.requestTakenFromPeer, {
			request: metadata.value.id,
			peer: origin.host,
			pool: origin.pool,
			lastEventId: origin.lastEventId,
		});
		const request = this.forward(
			received,
			{
				...metadata.value,
				remainingMilliseconds:
					origin.remainingMilliseconds + clock.monotonic() - arrivedAt,
				lastEventId: origin.lastEventId,
			},
			{
				...this.keys.rank(route, decision.customer),
				maximumExecutions: Math.min(
					route.maximumExecutions,
					origin.maximumExecutions,
				),
			},
			{
				customer: origin.customer ?? decision.customer?.name,
				documentVersion: this.document.version,
			},
		);
		response.describeWith(() => ({
			executions: request.executions,
			softwareVersion: request.softwareVersion,
			isSuspect: this.options.crashes.hasSuspectPart(request.observed),
		}));
	}

	reject(
		message: IncomingMessage,
		response: ServerResponse,
		status: 400 | 413 | 431,
	): void {
		this.options.events.record(forwardingEvents.requestRejected, {
			path: message.url,
			status,
		});
		response.writeHead(status, {'Content-Length': '0', Connection: 'close'});
		response.end();
	}

	refuseForMemory(message: IncomingMessage, response: ServerResponse): void {
		// The rest of the body is not read, so the connection can carry no other request.
		this.refuseUnread(message, response, memoryRetryMilliseconds, true);
	}

	refuseForLoad(
		message: IncomingMessage,
		response: ServerResponse,
		retryMilliseconds: number,
	): void {
		this.refuseUnread(message, response, retryMilliseconds);
	}

	private refuseUnread(
		message: IncomingMessage,
		response: ServerResponse,
		retryMilliseconds: number,
		mustClose?: boolean,
	): void {
		const {codec, metrics} = this.options;
		metrics.count('daisylever_requests_total');
		const metadata = codec.decodeRequest(message.rawHeaders);
		if (metadata.isErr()) {
			this.reject(message, response, 400);
			return;
		}

		this.sendLocalResponse(
			response,
			503,
			metadata.value.id,
			retryMilliseconds,
			mustClose,
		);
	}

	/** Why all requests of a customer are refused, undefined if they are not. */
	private findHostRefusal(customer: Customer | undefined) {
		const reason = this.isAcceptingRequests
			? customer && !this.options.mayRelyOnKeys()
				? outdatedKeysReason
				: undefined
			: stoppingReason;
		return reason === undefined
			? undefined
			: ({
					status: 503,
					reason,
					retryAfterMilliseconds: startRetryMilliseconds,
				} as const);
	}

	/** True for the current version with the customers that a host of an older build has left out. */
	private isCompletion(document: ForwardingDocument): boolean {
		return (
			document.version === this.document?.version &&
			this.document.customers === undefined &&
			document.customers !== undefined
		);
	}

	private recordUnknownKey(request: RequestId): void {
		this.options.metrics.count('daisylever_unknown_keys_total');
		this.options.events.record(forwardingEvents.requestRejected, {
			request,
			status: 401,
			reason: unknownKeyReason,
			documentVersion: this.document?.version,
		});
	}

	/** Keeps a response until its bytes have left the process or its connection is closed. Node.js closes only the response that has the connection, not those that wait behind it. */
	private keepOpenResponse(
		socket: Socket,
		response: ServerResponse,
		request: RequestId,
	): void {
		if (socket.destroyed) {
			return;
		}

		const known = this.openResponses.get(socket);
		const responses = known ?? new Map<ServerResponse, RequestId>();
		responses.set(response, request);
		response.once('close', () => {
			responses.delete(response);
		});
		if (!known) {
			this.openResponses.set(socket, responses);
			socket.once('close', () => {
				this.openResponses.delete(socket);
			});
		}
	}

	private recordRequestTime(model: ModelId | undefined): void {
		const now = this.options.clock.monotonic();
		this.firstRequestAt ??= now;
		if (model !== undefined) {
			this.lastRequestAt.set(model, now);
		}
	}

	/** Checks the deadlines of queued requests until no request is open. An open request may be queued again. */
	private startTicking(): void {
		this.timer ??= setInterval(() => {
			for (const pool of this.pools.values()) {
				pool.dispatch.tick();
				// An attempt that was being connected when the pool was cut off returns its request later.
				this.forwardUnsent(pool);
			}

			if (this.requests.size === 0) {
				clearInterval(this.timer);
				this.timer = undefined;
			}
		}, tickIntervalMilliseconds);
	}

	private forward(
		arrived: ArrivedRequest,
		metadata: RequestMetadata,
		route: RouteRule,
		{customer, documentVersion}: AcceptedBy,
	): ForwardedRequest {
		const {clock, codec, events, peers} = this.options;
		const {method, requestTarget, rawHeaders, body, origin} = arrived;
		const name = this.pickPool(route, origin);
		const pool = name === undefined ? undefined : this.pools.get(name);
		this.lastKey++;
		const request = new ForwardedRequest({
			key: `${metadata.id}#${this.lastKey}` as RequestId,
			metadata,
			route,
			method,
			requestTarget,
			rawHeaders,
			body,
			customer,
			fingerprint: sha256(
				Buffer.concat([Buffer.from(`${method} ${requestTarget}\n`), body]),
			) as Fingerprint,
			response: arrived.response,
			documentVersion,
			forwardedBy: origin?.host,
			hasCallerLeft: arrived.hasCallerLeft,
			arrivedAt: arrived.arrivedAt,
			codec,
			clock,
			events,
			findMissing: () =>
				pool &&
				this.options.registry.findMissing(
					pool.dispatch.pool,
					metadata.model,
					metadata.adapter,
				),
			onFinished: (finished, outcome) => {
				this.requests.delete(finished);
				pool?.dispatch.remove(finished);
				peers.cancel(finished);
				this.recordMetrics(finished, outcome);
			},
		});
		this.requests.add(request);
		this.recordRequestTime(metadata.model);
		if (!pool || !servesModel(pool, metadata.model)) {
			request.refuse(unknownModelReason, 0);
			return request;
		}

		const admission = this.options.crashes.admit(request.observed);
		if (admission === 'quarantined') {
			request.refuseQuarantined();
			return request;
		}

		request.isQuarantineTrial = admission === 'trial';
		if (!this.mayBegin(request)) {
			request.refuse(stoppingReason, startRetryMilliseconds);
			return request;
		}

		arrived.onCallerLeft(() => {
			if (!request.isFinished) {
				pool.dispatch.abandon(request);
				request.handleCallerDisconnect();
			}
		});
		request.start(() => {
			pool.dispatch.abandon(request);
			request.expire();
		});
		this.startTicking();
		const submit = () => {
			if (request.isTakenUpAgain) {
				void this.submitResumed(request, pool, arrived);
			} else {
				this.submitArrived(request, pool);
			}
		};

		if (this.options.quotas) {
			this.options.quotas.admit(request, submit);
		} else {
			submit();
		}

		return request;
	}

	/** Requests from another host keep the pool that it picked, so that the weights stay as configured. */
	private pickPool(
		route: RouteRule,
		origin: PeerOrigin | undefined,
	): PoolName | undefined {
		return origin && route.pools.some(({pool}) => pool === origin.pool)
			? origin.pool
			: pickPoolByWeight(route, this.options.random);
	}

	/** Forwards the requests for a pool that is cut off of which nothing is being sent to other hosts. Those that another host forwarded are refused instead. */
	private forwardUnsent({dispatch}: Pool): void {
		if (!this.options.reachability.isCutOff(dispatch.pool)) {
			return;
		}

		for (const request of dispatch.takeUnsent()) {
			this.forwardToPeer(request, dispatch);
		}
	}

	/** Takes a request that would be refused out of the dispatch of a pool that is cut off, and forwards it to another host. */
	private tryOtherHost(request: ForwardedRequest, name: PoolName): boolean {
		const pool = this.pools.get(name);
		if (
			!pool ||
			request.options.forwardedBy !== undefined ||
			!this.options.reachability.isCutOff(name)
		) {
			return false;
		}

		pool.dispatch.abandon(request);
		pool.dispatch.remove(request);
		this.forwardToPeer(request, pool.dispatch);
		return true;
	}

	/** Forwards a request to another host, or refuses it if it came from one. */
	private forwardToPeer(
		request: ForwardedRequest,
		dispatch: ForwardDispatch,
	): void {
		if (request.options.forwardedBy === undefined) {
			// The other host counts it.
			request.quotaCharge?.release();
			void this.options.peers.forward(request, dispatch);
		} else {
			request.refuse(cutOffReason, startRetryMilliseconds);
		}
	}

	/** Submits the rest of a stream once it is known at which software version it began. Refuses it if no host knows. */
	private async submitResumed(
		request: ForwardedRequest,
		pool: Pool,
		arrived: ArrivedRequest,
	): Promise<void> {
		const {streams} = this.options;
		const {resumedRequest} = request.metadata;
		request.softwareVersion =
			arrived.origin?.softwareVersion ??
			streams.known(pool.dispatch.pool, resumedRequest) ??
			(resumedRequest && (await streams.find(resumedRequest)));
		if (request.isFinished) {
			return;
		}

		if (request.softwareVersion === undefined) {
			request.refuse(unknownVersionReason, unknownVersionRetryMilliseconds);
			return;
		}

		if (resumedRequest) {
			streams.recordStart(resumedRequest, request.softwareVersion);
		}

		if (
			pool.dispatch.hasTargetOfVersion(request) ||
			this.options.reachability.isCutOff(pool.dispatch.pool)
		) {
			this.submitArrived(request, pool);
		} else {
			request.refuse(missingVersionReason, undefined);
		}
	}

	/** Submits a request once its connection has been read again, and thus its end if the caller has left. */
	private submitArrived(request: ForwardedRequest, pool: Pool): void {
		this.options.polls.push(() => {
			if (!request.isFinished && !pool.dispatch.endIfCallerLeft(request)) {
				this.submit(request, pool);
			}
		});
	}

	private submit(request: ForwardedRequest, {dispatch}: Pool): void {
		const {metadata} = request;
		const decision = decideForPool(dispatch, request, this.options);
		if (decision.kind === 'other-host') {
			this.forwardToPeer(request, dispatch);
			return;
		}

		if (decision.kind !== 'submit') {
			if (decision.kind === 'held-back') {
				dispatch.abandon(request);
			}

			request.refuse(decision.reason, decision.retryAfterMilliseconds);
			return;
		}

		dispatch.submit(request);
		if (
			metadata.adapter !== undefined &&
			!this.hasCandidate(dispatch, request)
		) {
			this.options.onAdapterMissing();
		}
	}

	private hasCandidate(
		{pool}: ForwardDispatch,
		{metadata: {model, adapter}, softwareVersion}: ForwardedRequest,
	): boolean {
		return (
			this.options.registry.candidates(pool, model, adapter, softwareVersion)
				.length > 0
		);
	}

	private sendLocalResponse(
		response: ServerResponse,
		status: number,
		request: RequestId,
		retryAfterMilliseconds: number | undefined,
		mustClose = this.isStopping,
	): void {
		const headers = this.options.codec.encodeLocalResponse(
			request,
			retryAfterMilliseconds,
		);
		new HttpCallerResponse(response, () => mustClose).send(
			status,
			Object.entries(headers).flat(),
			Buffer.alloc(0),
		);
	}

	/** False when the host stops before the answer to a request that is sent now would end. A stream that has begun goes on to the end. */
	private mayBegin(request: ForwardedRequest): boolean {
		if (!this.isStopping || request.hasStarted) {
			return true;
		}

		const isNew = request.executions === 0;
		return (
			(this.isAcceptingRequests || !isNew) &&
			this.stopAdmission.canEnd(request, this.requests)
		);
	}

	/** Logs the requests that were sent to a target or another host and have no whole answer. Returns their number. */
	private recordCutRequests(): number {
		const now = this.options.clock.monotonic();
		let count = 0;
		for (const request of this.requests) {
			const {metadata, route, options, peer, lastEventAt} = request;
			const targets = [...this.pools.values()].flatMap(({dispatch}) =>
				dispatch.openTargets(request),
			);
			const isCut =
				request.hasStarted || targets.length > 0 || request.executions > 0;
			count += isCut ? 1 : 0;
			if (!isCut || count > maximumCutLines) {
				continue;
			}

			this.options.events.record(forwardingEvents.requestCutByStop, {
				request: metadata.id,
				key: request.key,
				route: route.name,
				targets,
				forwardedTo: peer,
				forwardedBy: options.forwardedBy,
				ageMilliseconds: Math.round(request.ageMilliseconds),
				waitedMilliseconds:
					request.waitedMilliseconds === undefined
						? undefined
						: Math.round(request.waitedMilliseconds),
				remainingMilliseconds: Math.round(request.remainingMilliseconds()),
				events: request.eventCount,
				maximumTokens: metadata.maximumTokens,
				sinceEventMilliseconds:
					lastEventAt === undefined ? undefined : Math.round(now - lastEventAt),
				isTargetAtWork: targets.length > 0,
				unsentBytes: options.response.unsentBytes,
			});
		}

		return count;
	}

	/** Logs the complete answers that their callers have not taken. Returns their number. */
	private recordUnsentResponses(): number {
		let count = 0;
		const open = [...this.openResponses.values()].flatMap((each) => [...each]);
		for (const [response, request] of open) {
			const unsentBytes = response.writableLength;
			if (!response.writableEnded || unsentBytes === 0) {
				continue;
			}

			count++;
			if (count <= maximumCutLines) {
				this.options.events.record(forwardingEvents.responseCutByStop, {
					request,
					unsentBytes,
				});
			}
		}

		return count;
	}

	private recordInterruption(request: ForwardedRequest, reason: string): void {
		const {metadata, route, key, options} = request;
		const omittedLines = this.interruptedLog.admit(key);
		if (omittedLines === undefined) {
			return;
		}

		this.options.events.record(forwardingEvents.answerInterrupted, {
			request: metadata.id,
			key,
			route: route.name,
			reason,
			targets: [...this.pools.values()].flatMap(({dispatch}) =>
				dispatch.openTargets(request),
			),
			brokenTargets: request.brokenStreamTargets,
			forwardedTo: request.peer,
			forwardedBy: options.forwardedBy,
			ageMilliseconds: Math.round(request.ageMilliseconds),
			remainingMilliseconds: Math.round(request.remainingMilliseconds()),
			events: request.eventCount,
			executions: request.executions,
			isStopping: this.isStopping,
			omittedLines,
		});
	}

	private recordMetrics(request: ForwardedRequest, outcome: string): void {
		const {metrics, clock} = this.options;
		if (outcome.startsWith(interruptedOutcome)) {
			this.recordInterruption(
				request,
				outcome.slice(interruptedOutcome.length),
			);
		}

		if (this.isStopping && outcome.startsWith('own 503')) {
			this.refusedRequests++;
		}

		this.ownFailures += /^own 50[24]/.test(outcome) ? 1 : 0;

		const {kind} = request.route;
		if (request.options.forwardedBy !== undefined) {
			metrics.count('daisylever_peer_requests_total', {
				result: outcome.split(':')[0]!,
			});
			return;
		}

		const [result] = outcome.split(':');
		if (isCompleteAnswer(outcome)) {
			this.stopAdmission.recordAnswer(request);
		}

		const milliseconds = clock.monotonic() - request.options.arrivedAt;
		metrics.count('daisylever_answers_total', {kind, result: result!});
		metrics.observe('daisylever_answer_milliseconds', milliseconds, {kind});
		if (result === 'own 503') {
			metrics.observe('daisylever_refusal_milliseconds', milliseconds, {kind});
		}
	}

	private createDispatch(pool: PoolName): ForwardDispatch {
		const {host, clock, random, events, codec, registry, retries} =
			this.options;
		return new ForwardDispatch({
			pool,
			host,
			failureDomain: this.options.failureDomain,
			clock,
			random,
			events,
			codec,
			registry,
			retries: {...retries, hosts: this.currentHostCount},
			sharing: this.options.sharing,
			crashes: this.options.crashes,
			rateLimits: this.options.rateLimits,
			permits: this.options.permits,
			brittle: this.options.brittle,
			streams: this.options.streams,
			mayBegin: (request) => {
				const mayBegin = this.mayBegin(request);
				if (this.isStopping && mayBegin && request.executions === 0) {
					this.begunRequests.add(request.key);
				}

				return mayBegin;
			},
			stopRetryMilliseconds: startRetryMilliseconds,
			polls: this.options.polls,
			targetListAge: this.options.targetListAge,
			maximumBodyBytes: 4_194_304,
			budget: this.options.budget,
			tryOtherHost: (request) => this.tryOtherHost(request, pool),
			workAwareSlots: this.options.workAwareSlots,
		});
	}
}

/** True for an answer of a target that is neither an own response nor broken. */
function isCompleteAnswer(outcome: string): boolean {
	return outcome === 'complete' || outcome.startsWith('status ');
}
