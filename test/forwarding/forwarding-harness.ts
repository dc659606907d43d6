import {
	createServer,
	request as httpRequest,
	type IncomingHttpHeaders,
	type Server,
} from 'node:http';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
	EventLogger,
	NullEventLogger,
	type LogEventDefinition,
} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {TypedEvent} from '../../src/base/common/typed-event.js';
import {listenOn} from '../../src/base/node/listen.js';
import {PolledQueue} from '../../src/base/node/polled-queue.js';
import {SystemClock} from '../../src/base/node/system-clock.js';
import {
	type ForwardingDocument,
	type RouteRule,
} from '../../src/contracts/forwarding-document.js';
import {
	type FailureDomain,
	type HostId,
	type ModelId,
	type PoolName,
	type RouteName,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {type ListedTarget} from '../../src/contracts/listed-target.js';
import {PoolReachability} from '../../src/contracts/pool-reachability.js';
import {type ByteBudget} from '../../src/core/limits/byte-budget.js';
import {CrashCorrelation} from '../../src/core/crashes/crash-correlation.js';
import {NamedRateLimits} from '../../src/core/limits/named-rate-limits.js';
import {PeerSelection} from '../../src/core/routing/peer-selection.js';
import {PermitBook} from '../../src/core/limits/permit-book.js';
import {PlatformRequestCodec} from '../../src/platform/request-codec.js';
import {BrittleObserver} from '../../src/services/forwarding/targets/brittle-observer.js';
import {CrashObserver} from '../../src/services/forwarding/targets/crash-observer.js';
import {ForwardingServer} from '../../src/services/forwarding/forwarding-server.js';
import {FleetSharing} from '../../src/services/forwarding/reports/fleet-sharing.js';
import {ForwardingService} from '../../src/services/forwarding/forwarding-service.js';
import {EventLoopDelay} from '../../src/services/forwarding/limits/event-loop-delay.js';
import {type QuotaEnforcement} from '../../src/services/forwarding/limits/quota-enforcement.js';
import {PeerConnections} from '../../src/services/forwarding/peers/peer-connections.js';
import {PeerForwarder} from '../../src/services/forwarding/peers/peer-forwarder.js';
import {addPeerRoutes} from '../../src/services/forwarding/peers/peer-routes.js';
import {ReachabilityProber} from '../../src/services/forwarding/targets/reachability-prober.js';
import {TargetRegistry} from '../../src/services/forwarding/targets/target-registry.js';
import {createSharing} from './stream-sharing.js';

/** Name of the only pool. */
export const poolName = 'pool' as PoolName;
/** A model id for targets and requests. */
export const model = 'm0' as ModelId;

const limits = {
	headerBytes: 4096,
	bodyBytes: 1000,
	headerTimeoutMilliseconds: 3000,
	idleTimeoutMilliseconds: 15_000,
};

function createRoute(
	path: string,
	rule: Partial<RouteRule> & Pick<RouteRule, 'kind'>,
): RouteRule {
	return {
		name: path as RouteName,
		hostName: 'a.example',
		pathPrefix: path,
		timeoutMilliseconds: 3000,
		latencyObjectiveMilliseconds: 300,
		priority: 0,
		maximumExecutions: 2,
		isResumable: false,
		pools: [{pool: poolName, weight: 1}],
		...rule,
	};
}

/** A document with one pool and one route for each kind of request. */
export const forwardingDocument: ForwardingDocument = {
	version: 1,
	routes: [
		createRoute('/idempotent/', {kind: 'idempotent'}),
		createRoute('/once/', {kind: 'non-idempotent', maximumExecutions: 1}),
		createRoute('/stream/', {kind: 'stream', isResumable: true}),
		createRoute('/fixed/', {kind: 'stream', maximumExecutions: 1}),
		createRoute('/short/', {kind: 'idempotent', timeoutMilliseconds: 300}),
	],
	pools: [{name: poolName, maximumConnections: 100, engine: undefined}],
	limits,
};

/** Response as the caller received it. */
export type CallerResult = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	/** True when the response was complete according to its framing. */
	readonly isComplete: boolean;
};

/** Options of one call. */
export type CallOptions = {
	/** Request id, unique by default. */
	readonly id?: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	/** Time after which the caller closes the connection. */
	readonly disconnectMilliseconds?: number;
};

/** Tells what the test says of the paths to the only pool. */
export class StandInReachability extends PoolReachability {
	readonly changed = new TypedEvent<PoolName>();
	private isPoolCutOff = false;

	isCutOff(): boolean {
		return this.isPoolCutOff;
	}

	/** Cuts the pool off or ends that. */
	setCutOff(isCutOff: boolean): void {
		this.isPoolCutOff = isCutOff;
		this.changed.publish(poolName);
	}
}

/** An event that the service has logged. */
export type LoggedEvent = {
	readonly name: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Keeps the events that the service logs. */
class RecordingEventLogger extends EventLogger {
	readonly logged: LoggedEvent[] = [];
	readonly recorded = new TypedEvent<LoggedEvent>();

	record(
		{name}: LogEventDefinition,
		fields: Readonly<Record<string, unknown>> = {},
	): void {
		const event = {name, fields};
		this.logged.push(event);
		this.recorded.publish(event);
	}
}

/** Limits for the bodies that a harness holds at once. */
export type BodyBudgets = {
	readonly requests?: ByteBudget;
	readonly answers?: ByteBudget;
	/** Enforces quotas. They are not enforced if absent. */
	readonly quotas?: QuotaEnforcement;
};

/** A forwarding server in this process. The test provides the targets. */
export class ForwardingHarness {
	readonly clock = new SystemClock();
	readonly crashes = new CrashObserver({
		crashes: new CrashCorrelation({clock: this.clock}),
		events: new NullEventLogger(),
		metrics: new NullMetricRegistry(),
		mayTry: () => false,
	});

	readonly registry: TargetRegistry;
	readonly prober: ReachabilityProber;
	readonly streams;
	readonly service: ForwardingService;
	/** What the host knows of the customers and queues of other hosts. */
	readonly sharing: FleetSharing;
	readonly eventLoop = new EventLoopDelay({
		clock: this.clock,
		events: new NullEventLogger(),
		metrics: new NullMetricRegistry(),
	});

	/** False while a key may have been taken away for too long. */
	mayRelyOnKeys = true;
	/** Number of calls of `onAdapterMissing`. */
	missingAdapterCount = 0;
	readonly reachability = new StandInReachability();
	/** Addresses of the hosts to which requests may be forwarded. */
	knownPeers: readonly string[] = [];
	private readonly polls = new PolledQueue(this.clock);
	private readonly eventLogger = new RecordingEventLogger();
	private readonly peerConnections = new PeerConnections();
	private readonly peers: PeerForwarder;
	private readonly server: ForwardingServer;
	private peerServer: Server | undefined;
	private port = 0;
	private callCount = 0;

	/** Other hosts answer with `askOthers` at which software version a stream began. */
	constructor(
		askOthers?: Parameters<typeof createSharing>[1],
		private readonly budgets: BodyBudgets = {},
	) {
		this.streams = createSharing(this.clock, askOthers);
		const events = this.eventLogger;
		this.sharing = new FleetSharing({
			clock: this.clock,
			events,
			workAwareSlots: 0,
			admitsByFleetQueue: false,
		});
		const random = new SeededRandomSource(5);
		const rateLimits = new NamedRateLimits({clock: this.clock});
		const {polls} = this;
		this.registry = new TargetRegistry({clock: this.clock, events, polls});
		this.prober = new ReachabilityProber({
			clock: this.clock,
			events,
			registry: this.registry,
		});
		this.peers = new PeerForwarder({
			host: 'h1' as HostId,
			clock: this.clock,
			events,
			metrics: new NullMetricRegistry(),
			selection: new PeerSelection({
				clock: this.clock,
				random,
				ownAddress: '',
			}),
			connections: this.peerConnections,
			knownPeers: () => this.knownPeers,
		});
		this.service = new ForwardingService({
			host: 'h1' as HostId,
			failureDomain: 'z' as FailureDomain,
			clock: this.clock,
			random,
			events,
			metrics: new NullMetricRegistry(),
			codec: new PlatformRequestCodec(),
			registry: this.registry,
			crashes: this.crashes,
			rateLimits,
			permits: new PermitBook({clock: this.clock, limits: rateLimits}),
			brittle: new BrittleObserver({
				clock: this.clock,
				random: new SeededRandomSource(6),
				events,
				hostCount: () => this.service.hostCount,
			}),
			streams: this.streams.sharing,
			reachability: this.reachability,
			polls,
			mayRelyOnKeys: () => this.mayRelyOnKeys,
			targetListAge: () => 0,
			peers: this.peers,
			budget: budgets.answers,
			quotas: budgets.quotas,
			retries: {ratio: 0.2, slack: 56, windowMilliseconds: 10_000, hosts: 8},
			sharing: this.sharing,
			onAdapterMissing: () => {
				this.missingAdapterCount++;
			},
		});
		this.server = new ForwardingServer(this.service, budgets.requests);
		this.registry.changed.subscribe(() => {
			this.service.notifyCandidatesChanged();
		});
	}

	/** Starts the server. Without a document the service knows no routes. */
	async start(document: ForwardingDocument | undefined): Promise<void> {
		if (document) {
			this.registry.applyDocument(document);
			this.service.applyDocument(document);
			this.server.applyLimits(document.limits);
		}

		this.port = (await this.server.listen(0, '127.0.0.1'))._unsafeUnwrap();
	}

	/** Opens the listener for other hosts and returns its address. */
	async listenForPeers(): Promise<string> {
		this.peerServer = createServer(
			connectNodeAdapter({
				routes: (router) => {
					addPeerRoutes(router, {
						clock: this.clock,
						serve: (request) => {
							this.service.handlePeerRequest(request);
						},
						requestBudget: this.budgets.requests,
						answerBudget: this.budgets.answers,
					});
				},
			}),
		);
		const port = await listenOn(this.peerServer, 0, '127.0.0.1');
		return `127.0.0.1:${port._unsafeUnwrap()}`;
	}

	/** Closes the listener for other hosts with all its connections, like the end of the process. */
	closePeerListener(): void {
		this.peerServer?.close();
		this.peerServer?.closeAllConnections();
	}

	/** Published with each event that the service logs. */
	get eventLogged(): TypedEvent<LoggedEvent> {
		return this.eventLogger.recorded;
	}

	/** Events of a kind that the service has logged. */
	logged(name: string): readonly LoggedEvent[] {
		return this.eventLogger.logged.filter((event) => event.name === name);
	}

	/** Port at which callers connect. */
	get callerPort(): number {
		return this.port;
	}

	async stop(): Promise<void> {
		this.prober.dispose();
		this.service.dispose();
		this.peers.dispose();
		this.peerConnections.dispose();
		this.closePeerListener();
		this.server.dispose();
		await this.registry.dispose();
	}

	/** Lists a target in the registry. */
	list(id: string, address: string, change: Partial<ListedTarget> = {}): void {
		this.registry.applyChange({
			kind: 'listed',
			target: {
				id: id as TargetId,
				pool: poolName,
				address,
				failureDomain: 'z' as FailureDomain,
				slots: 4,
				isLeaving: false,
				residency: {
					incarnation: `${id}@1` as TargetIncarnation,
					models: [],
				},
				localWeights: {inMemory: [], onDisk: []},
				...change,
			},
		});
	}

	/** Requests a stream. `received` returns what has arrived so far. A caller that is paused reads nothing until `resume`. */
	stream(
		path: string,
		options: {readonly isPaused?: boolean} = {},
	): {
		/** Request id. */
		readonly id: string;
		readonly promise: Promise<CallerResult>;
		readonly received: () => string;
		readonly resume: () => void;
	} {
		this.callCount++;
		const id = `s${this.callCount}`;
		let body = '';
		let resume: () => void = () => undefined;
		const request = httpRequest({
			port: this.port,
			host: '127.0.0.1',
			path,
			headers: {Host: 'a.example', 'Request-Id': id},
		});
		const promise = new Promise<CallerResult>((resolve, reject) => {
			request.on('error', reject);
			request.on('response', (response) => {
				response.on('error', () => undefined);
				response.on('close', () => {
					resolve({
						status: response.statusCode ?? 0,
						headers: response.headers,
						body,
						isComplete: response.complete,
					});
				});
				resume = () => {
					response.on('data', (chunk: Buffer) => {
						body += chunk.toString();
					});
				};

				if (options.isPaused !== true) {
					resume();
				}
			});
		});
		request.end();
		return {
			id,
			promise,
			received: () => body,
			resume() {
				resume();
			},
		};
	}

	/** Sends one request and resolves with the response when the connection or response ends. */
	async call(path: string, options: CallOptions = {}): Promise<CallerResult> {
		this.callCount++;
		const id = options.id ?? `r${this.callCount}`;
		return new Promise((resolve, reject) => {
			const request = httpRequest({
				port: this.port,
				host: '127.0.0.1',
				path,
				method: options.body === undefined ? 'GET' : 'POST',
				headers: {
					Host: 'a.example',
					'Request-Id': id,
					'Deadline-Ms': '2500',
					...options.headers,
				},
			});
			request.on('error', reject);
			request.on('response', (response) => {
				let body = '';
				response.on('data', (chunk: Buffer) => {
					body += chunk.toString();
				});
				response.on('error', () => undefined);
				response.on('close', () => {
					resolve({
						status: response.statusCode ?? 0,
						headers: response.headers,
						body,
						isComplete: response.complete,
					});
				});
			});
			if (options.disconnectMilliseconds !== undefined) {
				setTimeout(() => {
					request.destroy();
				}, options.disconnectMilliseconds);
			}

			request.end(options.body);
		});
	}
}
