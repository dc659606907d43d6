import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '../../base/common/clock.js';
import {sha256} from '../../base/common/digest.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {
	type ForwardingDocument,
	type RouteRule,
} from '../../contracts/forwarding-document.js';
import {
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
import {type CrashCorrelation} from '../../core/crash-correlation.js';
import {pickPoolByWeight, RouteTable} from '../../core/route-table.js';
import {CallerResponse} from './caller-response.js';
import {ForwardDispatch, type RetryLimits} from './forward-dispatch.js';
import {ForwardedRequest} from './forwarded-request.js';
import {
	ReceivedRequestHandler,
	type ReceivedRequest,
} from './forwarding-server.js';
import {type AdapterDemand, type HostDemand} from './host-demand.js';
import {type TargetRegistry} from './target-registry.js';

/** Options of the service. */
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
	readonly crashes: CrashCorrelation;
	/** Called when a request waits for an adapter that no target holds. */
	readonly onAdapterMissing: () => void;
};

type Pool = {
	readonly dispatch: ForwardDispatch;
	models: ReadonlySet<ModelId> | undefined;
};

/** Pause between two looks at waiting work whose time is over. */
const tickMilliseconds = 25;
/** Delay of a tick that is worth a log line. Half of the pause that callers notice is far above it. */
const stallMilliseconds = 30;
/** Time for which a host tells the owner when a model was last asked for. Longer than any model counts as busy. */
const askedLifetimeMilliseconds = 20_000;
/** A host without a document has one within this time, or stays without for longer than callers wait. */
const startRetryMilliseconds = 500;

/** Forwards the requests of callers by the document in force. */
export class ForwardingService extends ReceivedRequestHandler {
	private document: ForwardingDocument | undefined;
	private routes: RouteTable | undefined;
	private readonly pools = new Map<PoolName, Pool>();
	private readonly requests = new Set<ForwardedRequest>();
	/** Time of the last request for each model, also of those that were refused. */
	private readonly askedAt = new Map<ModelId, number>();
	private firstAskedAt: number | undefined;
	private nextKey = 0;
	private isStopping = false;
	private isTakingRequests = true;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: ForwardingServiceOptions) {
		super();
	}

	/** Version of the document in force. */
	get documentVersion(): number | undefined {
		return this.document?.version;
	}

	/** Number of requests without a final answer. */
	get openRequests(): number {
		return this.requests.size;
	}

	start(): void {
		let tickedAt = this.options.clock.monotonic();
		this.timer = setInterval(() => {
			const now = this.options.clock.monotonic();
			this.noteStall(now - tickedAt - tickMilliseconds);
			tickedAt = now;
			for (const {dispatch} of this.pools.values()) {
				dispatch.tick();
			}
		}, tickMilliseconds);
	}

	dispose(): void {
		clearInterval(this.timer);
		for (const {dispatch} of this.pools.values()) {
			dispatch.dispose();
		}
	}

	/** From now on each answer closes its connection. */
	beginStop(): void {
		this.isStopping = true;
	}

	/** From now on requests that were not sent are refused as not run: a run that began now would be cut at the end of the stop. */
	refuseUnsentRequests(): void {
		if (!this.isTakingRequests) {
			return;
		}

		this.isTakingRequests = false;
		for (const {dispatch} of this.pools.values()) {
			for (const request of dispatch.activeRequests()) {
				if (request.executions === 0 && !request.isFinished) {
					dispatch.abandon(request);
					request.refuse('the host stops', startRetryMilliseconds);
				}
			}
		}
	}

	/** Takes over a newer document. Older ones are left out, so that a host never goes back. */
	applyDocument(document: ForwardingDocument): boolean {
		if (this.document && document.version <= this.document.version) {
			return false;
		}

		this.document = document;
		this.routes = new RouteTable(document);
		for (const {name, engine} of document.pools) {
			const models = engine && new Set(engine.models.map(({id}) => id));
			const known = this.pools.get(name);
			if (known) {
				known.models = models;
				continue;
			}

			this.pools.set(name, {dispatch: this.makeDispatch(name), models});
		}

		return true;
	}

	/** Sets the hosts that share the targets. */
	setHosts(hosts: readonly HostId[]): void {
		for (const {dispatch} of this.pools.values()) {
			dispatch.setHosts(hosts);
		}
	}

	/** Other targets than before hold models. */
	notifyCandidatesChanged(): void {
		for (const {dispatch} of this.pools.values()) {
			if (dispatch.hasWaitingRequests) {
				dispatch.dispatcher.post({kind: 'candidates-changed'});
			}
		}
	}

	/** Requests that run or wait here, by model and adapter. */
	demand(): HostDemand {
		const models = new Map<ModelId, number>();
		const adapters = new Map<string, AdapterDemand>();
		for (const {dispatch} of this.pools.values()) {
			for (const request of dispatch.activeRequests()) {
				const {model, adapter} = request.metadata;
				if (model === undefined || request.isFinished) {
					continue;
				}

				models.set(model, (models.get(model) ?? 0) + 1);
				if (adapter === undefined) {
					continue;
				}

				const key = `${model}/${adapter}`;
				const known = adapters.get(key);
				const isWaiting =
					dispatch.isWaiting(request) &&
					!this.hasHolder(dispatch, request.metadata);
				adapters.set(key, {
					model,
					adapter,
					requests: (known?.requests ?? 0) + 1,
					waiting: (known?.waiting ?? 0) + (isWaiting ? 1 : 0),
				});
			}
		}

		const now = this.options.clock.monotonic();
		for (const [model, at] of this.askedAt) {
			if (now - at >= askedLifetimeMilliseconds) {
				this.askedAt.delete(model);
			}
		}

		return {
			host: this.options.host,
			isLeaving: this.isStopping,
			observedMilliseconds:
				this.firstAskedAt === undefined ? 0 : now - this.firstAskedAt,
			models: [...new Set([...models.keys(), ...this.askedAt.keys()])].map(
				(model) => ({
					model,
					requests: models.get(model) ?? 0,
					idleMilliseconds: models.has(model)
						? 0
						: now - (this.askedAt.get(model) ?? now),
				}),
			),
			adapters: [...adapters.values()],
			deaths: this.options.crashes.takeUnreportedDeaths(),
		};
	}

	handle(received: ReceivedRequest): void {
		const {message, response} = received;
		const {codec, events, metrics} = this.options;
		metrics.count('daisylever_requests_total');
		const facts = codec.decodeRequest(message.rawHeaders);
		if (facts.isErr()) {
			this.reject(message, response, 400);
			return;
		}

		if (!this.document || !this.routes || !this.isTakingRequests) {
			this.answerOwn(response, 503, facts.value.id, startRetryMilliseconds);
			return;
		}

		const target = message.url ?? '/';
		const route = this.routes.match(message.headers.host ?? '', target);
		if (!route) {
			events.record(forwardingEvents.requestRejected, {
				request: facts.value.id,
				status: 404,
				documentVersion: this.document.version,
			});
			this.answerOwn(response, 404, facts.value.id, undefined);
			return;
		}

		this.forward(received, facts.value, route, this.document.version);
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

	private noteAsked(model: ModelId | undefined): void {
		const now = this.options.clock.monotonic();
		this.firstAskedAt ??= now;
		if (model !== undefined) {
			this.askedAt.set(model, now);
		}
	}

	private noteStall(milliseconds: number): void {
		this.options.metrics.observe(
			'daisylever_event_loop_delay_milliseconds',
			Math.max(0, milliseconds),
		);
		if (milliseconds >= stallMilliseconds) {
			this.options.events.record(forwardingEvents.eventLoopStalled, {
				milliseconds: Math.round(milliseconds),
			});
		}
	}

	private forward(
		{message, response, body}: ReceivedRequest,
		facts: RequestMetadata,
		route: RouteRule,
		documentVersion: number,
	): void {
		const {clock, codec, events, random} = this.options;
		const name = pickPoolByWeight(route, random);
		const pool = name === undefined ? undefined : this.pools.get(name);
		const target = message.url ?? '/';
		const method = message.method ?? 'GET';
		this.nextKey++;
		const request = new ForwardedRequest({
			key: String(this.nextKey) as RequestId,
			metadata: facts,
			route,
			method,
			requestTarget: target,
			body,
			fingerprint: sha256(
				Buffer.concat([Buffer.from(`${method} ${target}\n`), body]),
			) as Fingerprint,
			response: new CallerResponse(response, () => this.isStopping),
			documentVersion,
			arrivedAt: clock.monotonic(),
			codec,
			clock,
			events,
			onFinished: (finished, outcome) => {
				this.requests.delete(finished);
				pool?.dispatch.remove(finished);
				this.measure(finished, outcome);
			},
		});
		this.requests.add(request);
		this.noteAsked(facts.model);
		if (
			!pool ||
			(facts.model !== undefined && !pool.models?.has(facts.model))
		) {
			request.refuse('no pool or model of this name', 0);
			return;
		}

		if (this.options.crashes.isQuarantined(request.options.fingerprint)) {
			request.refuse('the request crashes targets', 0);
			return;
		}

		response.once('close', () => {
			if (!request.isFinished) {
				pool.dispatch.abandon(request);
				request.handleCallerDisconnect();
			}
		});
		request.start(() => {
			pool.dispatch.abandon(request);
			request.expire();
		});
		pool.dispatch.submit(request);
		if (facts.adapter !== undefined && !this.hasHolder(pool.dispatch, facts)) {
			this.options.onAdapterMissing();
		}
	}

	private hasHolder(
		{pool}: ForwardDispatch,
		{model, adapter}: RequestMetadata,
	): boolean {
		return this.options.registry.candidates(pool, model, adapter).length > 0;
	}

	private answerOwn(
		response: ServerResponse,
		status: number,
		request: RequestId,
		retryAfterMilliseconds: number | undefined,
	): void {
		const headers = this.options.codec.encodeLocalResponse(
			request,
			retryAfterMilliseconds,
		);
		new CallerResponse(response, () => this.isStopping).send(
			status,
			Object.entries(headers).flat(),
			'',
		);
	}

	private measure(request: ForwardedRequest, outcome: string): void {
		const {metrics, clock} = this.options;
		const {kind} = request.route;
		const [result] = outcome.split(':');
		metrics.count('daisylever_answers_total', {kind, result: result!});
		metrics.observe(
			'daisylever_answer_milliseconds',
			clock.monotonic() - request.options.arrivedAt,
			{kind},
		);
	}

	private makeDispatch(pool: PoolName): ForwardDispatch {
		const {host, clock, random, events, codec, registry, retries, crashes} =
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
			retries,
			crashes,
			maximumBodyBytes: 4_194_304,
		});
	}
}
