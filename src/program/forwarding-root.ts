import process from 'node:process';
import {createServer} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import {err, ok, type Result} from 'neverthrow';
import {v4 as uuid} from 'uuid';
import {transports} from 'winston';
import {
	CallbackDisposable,
	Disposable,
	DisposableStore,
} from '../base/common/disposable.js';
import {type EventLogger} from '../base/common/event-logger.js';
import {SeededRandomSource} from '../base/common/random-source.js';
import {listenOn, type ListenError} from '../base/node/listen.js';
import {SystemClock} from '../base/node/system-clock.js';
import {wait} from '../base/node/wait.js';
import {forwardingEvents} from '../contracts/events/forwarding-events.js';
import {type TargetListChange} from '../contracts/listed-target.js';
import {type DocumentChange} from '../contracts/shared-store.js';
import {CrashCorrelation} from '../core/crash-correlation.js';
import {OwnerLease} from '../core/owner-lease.js';
import {PlatformDocumentState} from '../platform/document-state.js';
import {PlatformOrderPort} from '../platform/order-port.js';
import {PlatformOwnerLog} from '../platform/owner-log.js';
import {PlatformRequestCodec} from '../platform/request-codec.js';
import {StoreClient} from '../platform/store-client.js';
import {PlatformTargetListState} from '../platform/target-list-state.js';
import {BoundedOutput} from '../services/bounded-output.js';
import {ForwardingServer} from '../services/forwarding/forwarding-server.js';
import {ForwardingService} from '../services/forwarding/forwarding-service.js';
import {OwnerClient} from '../services/forwarding/owner-client.js';
import {OwnerLeaseManager} from '../services/forwarding/owner-lease-manager.js';
import {OwnerServer} from '../services/forwarding/owner-server.js';
import {PlacementOwner} from '../services/forwarding/placement-owner.js';
import {
	StateFollower,
	type StateChanges,
} from '../services/forwarding/state-follower.js';
import {TargetListManager} from '../services/forwarding/target-list-manager.js';
import {TargetRegistry} from '../services/forwarding/target-registry.js';
import {HistogramMetricRegistry} from '../services/histogram-metric-registry.js';
import {WinstonEventLogger} from '../services/winston-event-logger.js';
import {type ForwardingSettings} from './forwarding-settings.js';
import {type ListenAddress} from './settings.js';

/** Log lines that wait for their reader, and lines in a second, of one process. */
const logBounds = {maximumBytes: 1_048_576, linesPerSecond: 400};
/** Wait of a read of the document. Short, because a connection that went silent shows only by a missing answer. */
const documentPollMilliseconds = 2000;
/** Pause between reads of the list of targets. With a repeated read it stays below the two seconds in which a leaving target must get no new work. */
const targetPauseMilliseconds = 950;
/** Times of the owner lease besides the handover. The silence is above the validity, so that two holders never overlap. */
const leaseTimes = {
	renewalMilliseconds: 800,
	validityMilliseconds: 1500,
	takeoverDelayMilliseconds: 1800,
};
/** Clock differences and delays on the way of an order, on top of the handover. */
const handoverMarginMilliseconds = 200;
/** Time in which the balancer notices that a stopping host is not ready. Then no new connections are taken. */
const unreadyMilliseconds = 2700;
/** Time from which a stopping host closes idle connections, so that callers do not send on them shortly before its end. */
const idleCloseMilliseconds = 1000;
/** Time from which a stopping host refuses requests on connections that callers still hold. Callers have had several seconds to see the close, and a stream takes up to four. */
const refuseMilliseconds = 3500;
/** Time before the end in which open requests are cut, so that the process ends in time. */
const stopMarginMilliseconds = 250;
const stopStepMilliseconds = 50;
const periodMilliseconds = 250;
/** Hosts of a fleet of this kind, until the owner tells their number. */
const expectedHosts = 8;

/** A running host that forwards requests. */
export class ForwardingHost extends Disposable {
	private readonly parts = new DisposableStore();
	private readonly clock = new SystemClock();
	private readonly metrics = new HistogramMetricRegistry();
	private readonly events: EventLogger;
	private readonly output: BoundedOutput;
	private readonly registry: TargetRegistry;
	private readonly service: ForwardingService;
	private readonly server: ForwardingServer;
	private readonly owner: PlacementOwner;
	private readonly ownerServer: OwnerServer;
	private readonly ownerClient: OwnerClient;
	private readonly keeper: OwnerLeaseManager;
	private readonly targetKeeper: TargetListManager;
	private readonly documents: StateFollower<DocumentChange>;
	private readonly targets: StateFollower<TargetListChange>;
	private isStopping = false;
	private wasReady = false;

	constructor(private readonly settings: ForwardingSettings) {
		super();
		const {clock, metrics, parts} = this;
		const {host, store, retries, lease, listen, log} = settings;
		this.output = new BoundedOutput({
			fileDescriptor: process.stdout.fd,
			now: () => clock.monotonic(),
			...logBounds,
		});
		const events = new WinstonEventLogger({
			...log,
			fields: {host},
			transport: new transports.Stream({stream: this.output}),
		});
		this.events = events;
		const incarnation = uuid();
		const random = new SeededRandomSource(
			Number.parseInt(incarnation.slice(0, 8), 16),
		);
		const client = parts.add(new StoreClient({address: store}));
		const codec = new PlatformRequestCodec();
		const registry = parts.add(new TargetRegistry({clock, events}));
		this.registry = registry;
		registry.setHostCount(expectedHosts);
		this.targetKeeper = new TargetListManager(clock, registry);
		this.owner = parts.add(
			new PlacementOwner({
				host,
				clock,
				events,
				registry,
				port: new PlatformOrderPort(
					({id}) => registry.getConnections(id)?.dispatcher,
				),
				token: () => this.keeper.token(),
				onSuperseded: () => {
					this.keeper.markSuperseded();
				},
			}),
		);
		const {owner} = this;
		this.ownerServer = parts.add(
			new OwnerServer({
				owner,
				name: incarnation,
				isOwner: () => this.keeper.isHolder,
				lease: () => this.keeper.status(),
			}),
		);
		const crashes = new CrashCorrelation({clock});
		registry.restarted.subscribe(({listed}) => {
			crashes.recordTargetDeath(listed.id);
		});
		registry.removed.subscribe(({listed}) => {
			crashes.recordTargetDeath(listed.id);
		});
		this.service = new ForwardingService({
			host,
			failureDomain: settings.failureDomain,
			clock,
			random,
			events,
			metrics,
			codec,
			registry,
			retries: {
				ratio: retries.ratio,
				slack: retries.slack,
				windowMilliseconds: retries.windowSeconds * 1000,
				hosts: expectedHosts,
			},
			crashes,
			onAdapterMissing: () => {
				this.ownerClient.scheduleReport();
			},
		});
		const {service} = this;
		parts.addCallback(() => {
			service.dispose();
		});
		this.server = parts.add(new ForwardingServer(service));
		this.ownerClient = parts.add(
			new OwnerClient({
				host,
				clock,
				events,
				holder: () => this.keeper.holder,
				localOwner: owner,
				isLocalOwner: () => this.keeper.isHolder,
				demand: () => service.demand(),
				onLeaseStatusReceived: (heard) => {
					this.keeper.applyHolderStatus(heard);
				},
			}),
		);
		const {ownerClient} = this;
		this.keeper = parts.add(
			new OwnerLeaseManager({
				lease: new OwnerLease(
					{
						host,
						incarnation,
						peerAddress: `${listen.peers.address}:${listen.peers.port}`,
					},
					{
						...leaseTimes,
						handoverMilliseconds:
							lease.handoverMilliseconds + handoverMarginMilliseconds,
					},
				),
				log: new PlatformOwnerLog(client),
				clock,
				random,
				events,
				isHolderResponsive: () => ownerClient.isOwnerResponsive(),
				sinceLastOrder: () => owner.sinceLastOrder(),
			}),
		);
		this.documents = parts.add(
			new StateFollower<DocumentChange>({
				name: 'document',
				state: new PlatformDocumentState(client),
				clock,
				events,
				pollTimeoutMilliseconds: documentPollMilliseconds,
				readDelayMilliseconds: 0,
			}),
		);
		this.targets = parts.add(
			new StateFollower<TargetListChange>({
				name: 'targets',
				state: new PlatformTargetListState(client),
				clock,
				events,
				pollTimeoutMilliseconds: 0,
				readDelayMilliseconds: targetPauseMilliseconds,
			}),
		);
		this.connectParts(crashes);
	}

	/** Listens and starts to follow the store. */
	async start(): Promise<Result<void, ListenError>> {
		const {listen} = this.settings;
		const ready = this.makeAuxiliaryServer('/ready');
		const metrics = this.makeAuxiliaryServer('/metrics');
		const listening = await Promise.all([
			listenOn(ready, listen.readiness.port, listen.readiness.address),
			listenOn(metrics, listen.metrics.port, listen.metrics.address),
			this.ownerServer.listen(listen.peers.port, listen.peers.address),
			this.server.listen(listen.callers.port, listen.callers.address),
		]);
		for (const result of listening) {
			if (result.isErr()) {
				return err(result.error);
			}
		}

		this.events.record(forwardingEvents.hostStarted, {
			callers: listen.callers,
		});
		this.service.start();
		this.owner.start();
		void this.documents.run();
		void this.targets.run();
		void this.keeper.run();
		void this.ownerClient.run();
		const timer = setInterval(() => {
			this.tick();
		}, periodMilliseconds);
		this.parts.add(
			new CallbackDisposable(() => {
				clearInterval(timer);
			}),
		);
		return ok(undefined);
	}

	/** Serves what arrives until the balancer has noticed, finishes it, and ends in time. */
	async stop(): Promise<void> {
		if (this.isStopping) {
			return;
		}

		const startedAt = this.clock.monotonic();
		const elapsed = () => this.clock.monotonic() - startedAt;
		const endMilliseconds =
			this.settings.stopSeconds * 1000 - stopMarginMilliseconds;
		this.isStopping = true;
		this.service.beginStop();
		this.events.record(forwardingEvents.hostStopping, {
			openRequests: this.service.openRequests,
		});
		void this.keeper.release();
		while (
			elapsed() < unreadyMilliseconds ||
			(this.service.openRequests > 0 && elapsed() < endMilliseconds)
		) {
			await wait(stopStepMilliseconds);
			if (elapsed() >= unreadyMilliseconds) {
				this.server.stopListening();
			}

			if (elapsed() >= idleCloseMilliseconds) {
				this.server.closeIdleConnections();
			}

			if (elapsed() >= refuseMilliseconds) {
				this.service.refuseUnsentRequests();
			}
		}

		this.events.record(forwardingEvents.hostStopped, {
			openRequests: this.service.openRequests,
			milliseconds: Math.round(elapsed()),
		});
		await wait(stopStepMilliseconds);
	}

	/** Notes that the settings file was read again. */
	reload(settings: Result<ForwardingSettings, Error>): void {
		this.events.record(
			settings.isOk()
				? forwardingEvents.settingsReloaded
				: forwardingEvents.settingsRejected,
			settings.isOk() ? {} : {reason: settings.error.message},
		);
	}

	async dispose(): Promise<void> {
		await this.parts.dispose();
	}

	private get isReady(): boolean {
		return (
			!this.isStopping &&
			this.service.documentVersion !== undefined &&
			this.targetKeeper.isLoaded
		);
	}

	private connectParts(crashes: CrashCorrelation): void {
		const {registry, service, owner, events} = this;
		this.documents.changed.subscribe(({changes}) => {
			for (const change of changes) {
				this.applyDocument(change);
			}
		});
		this.targets.changed.subscribe(
			(followed: StateChanges<TargetListChange>) => {
				this.targetKeeper.apply(followed);
			},
		);
		registry.changed.subscribe(() => {
			service.notifyCandidatesChanged();
		});
		this.ownerClient.updateReceived.subscribe(
			({contents, hosts, quarantined}) => {
				crashes.block(quarantined);
				registry.applyContents(contents);
				if (hosts.length > 0) {
					service.setHosts(hosts);
				}
			},
		);
		owner.contentsChanged.subscribe(() => {
			if (this.keeper.isHolder) {
				registry.applyContents(owner.contents());
			}
		});
		process.on('unhandledRejection', (reason) => {
			events.record(forwardingEvents.hostStopped, {
				reason: String(reason),
			});
		});
	}

	private applyDocument(change: DocumentChange): void {
		if (change.kind === 'unreadable') {
			this.events.record(forwardingEvents.documentUnreadable, {
				reason: change.reason,
			});
			return;
		}

		const {document} = change;
		// Pools come first, so that the connections of a new one have their bound.
		this.registry.applyDocument(document);
		if (!this.service.applyDocument(document)) {
			return;
		}

		this.owner.applyDocument(document);
		this.server.applyLimits(document.limits);
		this.events.record(forwardingEvents.documentApplied, {
			version: document.version,
			routes: document.routes.length,
		});
	}

	private tick(): void {
		this.targetKeeper.removeExpired();
		if (this.isReady && !this.wasReady) {
			this.wasReady = true;
			this.events.record(forwardingEvents.hostReady, {
				documentVersion: this.service.documentVersion,
				targets: [...this.registry.all()].length,
			});
		}

		this.metrics.gauge('daisylever_open_requests', this.service.openRequests);
		this.metrics.gauge(
			'daisylever_log_lines_dropped',
			this.output.droppedLines,
		);
		this.metrics.gauge('daisylever_is_owner', this.keeper.isHolder ? 1 : 0);
		this.metrics.gauge(
			'daisylever_store_age_milliseconds',
			this.targets.ageMilliseconds,
			{state: 'targets'},
		);
	}

	private makeAuxiliaryServer(path: '/ready' | '/metrics') {
		const app = new Hono();
		app.get(path, (context) =>
			path === '/ready'
				? context.text('', this.isReady ? 200 : 503)
				: context.text(this.metrics.exposition()),
		);
		const listener = getRequestListener(app.fetch, {
			overrideGlobalObjects: false,
		});
		const server = createServer((message, response) => {
			void listener(message, response);
		});
		this.parts.addCallback(() => {
			server.close();
			server.closeAllConnections();
		});
		return server;
	}
}
