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
import {
	boundGarbage,
	createYoungCollector,
	descriptorLimit,
	machineMemoryBytes,
} from '../base/node/machine-resources.js';
import {type EndedConnection} from '../base/node/served-connections.js';
import {PolledQueue} from '../base/node/polled-queue.js';
import {SystemClock} from '../base/node/system-clock.js';
import {wait} from '../base/node/wait.js';
import {forwardingEvents} from '../contracts/events/forwarding-events.js';
import {type TargetListChange} from '../contracts/listed-target.js';
import {type DocumentChange} from '../contracts/shared-store.js';
import {clientLimits} from '../core/limits/client-limits.js';
import {CrashCorrelation} from '../core/crashes/crash-correlation.js';
import {NamedRateLimits} from '../core/limits/named-rate-limits.js';
import {OwnerLease} from '../core/leases/owner-lease.js';
import {PeerSelection} from '../core/routing/peer-selection.js';
import {PermitBook} from '../core/limits/permit-book.js';
import {PermitIssuer} from '../core/limits/permit-issuer.js';
import {StreamOrigins} from '../core/streams/stream-origins.js';
import {VersionHistory} from '../core/streams/version-history.js';
import {PlatformDocumentState} from '../platform/document-state.js';
import {PlatformOrderPort} from '../platform/order-port.js';
import {PlatformOwnerLog} from '../platform/owner-log.js';
import {PlatformRequestCodec} from '../platform/request-codec.js';
import {StoreClient} from '../platform/store-client.js';
import {PlatformStreamLog} from '../platform/stream-log.js';
import {PlatformTargetListState} from '../platform/target-list-state.js';
import {BoundedOutput} from '../services/bounded-output.js';
import {BrittleObserver} from '../services/forwarding/targets/brittle-observer.js';
import {ChargedOrderPort} from '../services/forwarding/limits/charged-order-port.js';
import {CrashObserver} from '../services/forwarding/targets/crash-observer.js';
import {EventLoopDelay} from '../services/forwarding/limits/event-loop-delay.js';
import {HostLoadControl} from '../services/forwarding/limits/host-load-control.js';
import {addExplainRoute} from '../services/forwarding/explain-router.js';
import {ForwardingServer} from '../services/forwarding/forwarding-server.js';
import {ForwardingService} from '../services/forwarding/forwarding-service.js';
import {FleetView} from '../services/forwarding/reports/fleet-view.js';
import {OwnerLeaseManager} from '../services/forwarding/owner/owner-lease-manager.js';
import {PeerConnections} from '../services/forwarding/peers/peer-connections.js';
import {PeerForwarder} from '../services/forwarding/peers/peer-forwarder.js';
import {
	addPeerRoutes,
	isForwardCall,
	limitCallBody,
} from '../services/forwarding/peers/peer-routes.js';
import {HeldMemory} from '../services/forwarding/limits/held-memory.js';
import {PermitClient} from '../services/forwarding/limits/permit-client.js';
import {PlacementOwner} from '../services/forwarding/owner/placement-owner.js';
import {ReachabilityProber} from '../services/forwarding/targets/reachability-prober.js';
import {
	ReportClient,
	type FleetUpdate,
} from '../services/forwarding/reports/report-client.js';
import {ReportServer} from '../services/forwarding/reports/report-server.js';
import {FleetSharing} from '../services/forwarding/reports/fleet-sharing.js';
import {maximumListAge} from '../core/membership/list-age.js';
import {
	revocationLimits,
	type RevocationLimits,
} from '../core/limits/revocation-limits.js';
import {
	StateFollower,
	type StateChanges,
} from '../services/forwarding/state/state-follower.js';
import {TargetListManager} from '../services/forwarding/targets/target-list-manager.js';
import {StreamOriginSharing} from '../services/forwarding/state/stream-origin-sharing.js';
import {
	StreamRecorder,
	type StreamWriter,
} from '../services/forwarding/state/stream-recorder.js';
import {
	TargetRegistry,
	versionOf,
} from '../services/forwarding/targets/target-registry.js';
import {HistogramMetricRegistry} from '../services/histogram-metric-registry.js';
import {WinstonEventLogger} from '../services/winston-event-logger.js';
import {createQuotas, type HostQuotas} from './forwarding-quotas.js';
import {type ForwardingSettings} from './forwarding-settings.js';
import {createListenOptions} from './listen-events.js';
import {type ListenAddress} from './settings.js';
import {observeUnexpectedErrors} from './unexpected-errors.js';

/** Largest size of the log lines that wait to be read, and highest rate of log lines. Lines beyond either are dropped. */
const logLimits = {
	maximumBytes: 1_048_576,
	linesPerSecond: 400,
	importantLinesPerSecond: 100,
};
/** Longest wait for the log lines to be written before the process ends. */
const logFlushMilliseconds = 50;
/** Longest wait of a long poll for the document. Short, because a dead connection shows only by a missing response. */
const documentPollMilliseconds = 2000;
/** Delays as shares of the time within which new requests to a leaving target must end. Even a repeated read stays within it. */
const targetReadShares = {
	/** Delay between reads of a host that receives the list from no other host. */
	alone: 0.475,
	/** Delay between reads of the owner, from which the other hosts receive the list. */
	owner: 0.12,
};
/** Time without an answer after which a read is sent over a second connection too. Above the time that a slow store takes. */
const readRepeatMilliseconds = 350;
/** Timing of the owner lease, except for the handover. The takeover delay exceeds the validity, so that two holders never overlap. */
const leaseTiming = {
	renewalMilliseconds: 800,
	validityMilliseconds: 1500,
	takeoverDelayMilliseconds: 1800,
};
/** Allowance for clock differences and for the transit of an order, added to the handover time. */
const handoverMarginMilliseconds = 200;
/** Time after the start of a stop until which new connections are accepted. By then the load balancer has noticed that the host is not ready. */
const stopListeningMilliseconds = 2700;
/** Time after the start of a stop from which idle connections are closed, so that callers do not send on them shortly before the process ends. */
const idleCloseMilliseconds = 1000;
/** Time after the start of a stop from which new requests and requests not yet sent to a target are refused. By then callers have had several seconds to notice the closed connections, and a stream takes up to four seconds. */
const refuseRequestsMilliseconds = 3500;
/** Time before the end of the stop period at which open requests get a last response or are aborted, so that the process ends in time. */
const stopMarginMilliseconds = 250;
/** Time before the end of the stop period at which connections are no longer waited for. A check that is late and the last log lines take up to as long. */
const exitMarginMilliseconds = 100;
/** Time after the last response of a stop that a second signal has cut short within which callers close their connections. */
const shortDeliveryMilliseconds = 1000;
/** Log lines for the connections of one stop that end without the end of their callers. */
const maximumUnconfirmedLines = 32;
/** Interval of the checks during a stop. */
const stopCheckMilliseconds = 50;
/** Interval at which expired targets are removed, readiness is checked and metrics are updated. */
const updateIntervalMilliseconds = 250;
/** Assumed number of hosts of the fleet until the owner reports it. */
const defaultHostCount = 8;
/** Time within which a host can read a newer document from the store. After it, the host asks for the one of the host to which it reports: the store is unavailable to this host, or was restored and holds an older version. */
const documentReadMilliseconds = 200;
/** Processor share from which a machine claims a free owner lease without delay. */
const strongProcessorShare = 0.5;
/** Longest delay of the claim of a weak machine, so that a stronger one claims first. */
const maximumClaimDelayMilliseconds = 1000;

const bytesPerMegabyte = 1_000_000;
/** Share of the memory of the operating system that a host without `machine.memoryMegabytes` uses, because other processes use it too. */
const defaultMemoryShare = 0.25;

/** A host that forwards the requests of callers to listed targets, as the operators’ document says. */
export class ForwardingHost extends Disposable {
	/** Log of the host. */
	readonly events: EventLogger;

	private readonly components = new DisposableStore();
	private readonly clock = new SystemClock();
	private readonly metrics = new HistogramMetricRegistry();
	private readonly output: BoundedOutput;
	private readonly registry: TargetRegistry;
	private readonly service: ForwardingService;
	private readonly memory: HeldMemory;
	private readonly server: ForwardingServer;
	private readonly hostLoad: HostLoadControl;
	private readonly eventLoop: EventLoopDelay;
	private readonly owner: PlacementOwner;
	private readonly view: FleetView;
	/** Undefined if the settings name no window of quotas. */
	private readonly quotas: HostQuotas | undefined;
	private readonly reportServer: ReportServer;
	private readonly reportClient: ReportClient;
	private readonly leaseManager: OwnerLeaseManager;
	private readonly targetListManager: TargetListManager;
	private readonly versions: VersionHistory;
	private readonly streamRecorder: StreamRecorder;
	private readonly documents: StateFollower<DocumentChange>;
	private readonly targets: StateFollower<TargetListChange>;
	/** Undefined if a key may be accepted for longer after it was taken away. */
	private readonly revocation: RevocationLimits | undefined;
	private hasStarted = false;
	private isStopping = false;
	private unconfirmedConnections = 0;
	private wasReady = false;
	private readonly listening = new AbortController();
	/** Time since which another host is known to have a newer document than this one, infinite when none has. */
	private behindSince = Number.POSITIVE_INFINITY;
	/** Version of that document. */
	private newestVersion = 0;

	constructor(private readonly settings: ForwardingSettings) {
		super();
		const {clock, metrics, components} = this;
		const {host, store, retries, lease, listen, log, keys} = settings;
		this.revocation =
			keys.isRevocationStrict && keys.revokeMilliseconds
				? revocationLimits(keys.revokeMilliseconds)
				: undefined;
		this.output = new BoundedOutput({
			fileDescriptor: process.stdout.fd,
			now: () => clock.monotonic(),
			...logLimits,
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
		this.eventLoop = new EventLoopDelay({clock, events, metrics});
		const client = components.add(new StoreClient({address: store}));
		client.generationChanged.subscribe((generation) => {
			events.record(forwardingEvents.storeGenerationChanged, {generation});
		});
		const codec = new PlatformRequestCodec();
		const polls = components.add(
			new PolledQueue(clock, () => this.hostLoad.intake.isAccepting),
		);
		const registry = components.add(new TargetRegistry({clock, events, polls}));
		this.registry = registry;
		registry.setHostCount(defaultHostCount);
		components.add(new ReachabilityProber({clock, events, registry}));
		this.targetListManager = new TargetListManager(
			clock,
			registry,
			settings.targets.drainMilliseconds,
		);
		const rateLimits = new NamedRateLimits({clock});
		const permits = new PermitBook({clock, limits: rateLimits});
		const brittle = new BrittleObserver({
			clock,
			random,
			events,
			hostCount: () => this.service.hostCount,
		});
		const permitIssuer = new PermitIssuer({clock, limits: rateLimits});
		const fallbackIssuer = new PermitIssuer({clock, limits: rateLimits});
		registry.removed.subscribe(({listed}) => {
			permitIssuer.forget(listed.id);
			fallbackIssuer.forget(listed.id);
		});
		this.owner = components.add(
			new PlacementOwner({
				host,
				clock,
				events,
				registry,
				workAwareSlots: settings.scheduling.workAwareSlots,
				limits: rateLimits,
				port: new ChargedOrderPort(
					new PlatformOrderPort(
						({id}) => registry.getConnections(id),
						({
							target: {id, residency},
							isLeaving,
							holdBack,
							refusalsPerSecond,
						}) => {
							brittle.recordAnnouncement(id, refusalsPerSecond);
							if (holdBack) {
								registry.recordHoldBack(id, holdBack);
							}

							if (isLeaving) {
								registry.recordLeaving({
									target: id,
									incarnation: residency.incarnation,
								});
							}
						},
					),
					permitIssuer,
				),
				isHolder: () => this.leaseManager.isHolder,
				token: () => this.leaseManager.token(),
				onSuperseded: () => {
					this.leaseManager.markSuperseded();
				},
			}),
		);
		const {owner} = this;
		this.view = components.add(new FleetView({name: incarnation, registry}));
		const crashes = new CrashObserver({
			crashes: new CrashCorrelation({clock}),
			events,
			metrics,
			mayTry: () => this.leaseManager.isHolder,
		});
		this.versions = new VersionHistory({
			clock,
			isListCurrent: () =>
				this.targets.ageMilliseconds <= settings.targets.drainMilliseconds,
		});
		registry.changed.subscribe(({listed}) => {
			this.versions.observe(listed.pool, versionOf(listed));
		});
		const streams = new StreamOriginSharing({
			origins: new StreamOrigins(clock),
			versions: this.versions,
			stored: new StreamOrigins(clock),
			readStore: async () => this.streamRecorder.read(),
			isRecording: () =>
				this.reportServer.isRelay && this.reportClient.isStreamKeeperResponsive,
			askOthers: async (stream) => this.reportClient.findStream(stream),
		});
		this.streamRecorder = components.add(
			new StreamRecorder({
				log: new PlatformStreamLog(client),
				streams,
				clock,
				random,
				events,
				metrics,
				writer: () => this.streamWriter,
				hostCount: () => this.service.hostCount,
			}),
		);
		client.generationChanged.subscribe(() => {
			this.streamRecorder.handleRestore();
		});
		if (settings.machine.memoryMegabytes) {
			boundGarbage();
		}

		const memory = components.add(
			new HeldMemory({
				clock,
				events,
				metrics,
				collectBuffers: settings.machine.memoryMegabytes
					? createYoungCollector()
					: undefined,
				limits: clientLimits(settings.clients, {
					memoryBytes: settings.machine.memoryMegabytes
						? settings.machine.memoryMegabytes * bytesPerMegabyte
						: machineMemoryBytes() * defaultMemoryShare,
					descriptors: descriptorLimit(),
				}),
			}),
		);
		this.memory = memory;
		this.quotas = createQuotas(settings.quotas, {
			clock,
			random,
			events,
			metrics,
			hostCount: () => this.service.hostCount,
			isOwner: () => this.leaseManager.isHolder,
			onWordWanted: () => {
				this.reportClient.scheduleReport();
			},
		});
		const sharing = new FleetSharing({clock, events, ...settings.scheduling});
		const {processorShare} = settings.machine;
		this.hostLoad = components.add(
			new HostLoadControl({
				...settings.hostLoad,
				host,
				failureDomain: settings.failureDomain,
				processorShare,
				clock,
				events,
				metrics,
				codec,
				handler: () => this.service,
				document: () => this.service.currentDocument,
				isServing: () => this.isServing,
				isOwner: () => this.leaseManager.isHolder,
			}),
		);
		const parts = [
			...sharing.parts,
			...(this.quotas ? [this.quotas.part] : []),
			...this.hostLoad.reportParts,
		];
		this.reportServer = components.add(
			new ReportServer({
				host,
				capacity: processorShare,
				clock,
				owner,
				view: this.view,
				crashes,
				limits: rateLimits,
				brittle: brittle.targets,
				permits: permitIssuer,
				streams,
				askUpstream: async (stream) => this.reportClient.askUpstream(stream),
				isOwner: () => this.leaseManager.isHolder,
				relayedState: () => this.reportClient.relayedState(),
				lease: () => this.leaseManager.status(),
				targetList: () => ({
					position: this.targets.currentPosition,
					ageMilliseconds: this.targets.ageMilliseconds,
				}),
				documentConfirmationAge: () =>
					this.view.documentPosition === this.documents.currentPosition
						? this.documents.confirmationAgeMilliseconds
						: Number.POSITIVE_INFINITY,
				onUrgentReport: () => {
					this.reportClient.scheduleReport();
				},
				onLeavingTarget(target) {
					registry.recordLeaving(target);
				},
				onDocumentReceived: (document) => {
					this.takeDocument(document);
				},
				parts,
				mustArrive: isForwardCall,
				addRoutes: (router) => {
					addPeerRoutes(router, {
						clock,
						serve: (request) => {
							this.service.handlePeerRequest(request);
						},
						requestBudget: memory.requests,
						answerBudget: memory.answers,
					});
				},
				guard(server, connections) {
					memory.guardPeers(server, connections);
				},
				limitBody(message, response) {
					limitCallBody(message, response, memory.requests);
				},
			}),
		);
		const peerAddress = `${listen.peers.address}:${listen.peers.port}`;
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
				hosts: defaultHostCount,
			},
			quotas: this.quotas?.enforcement,
			sharing,
			crashes,
			rateLimits,
			permits,
			brittle,
			streams,
			reachability: registry.reachability,
			polls,
			mayRelyOnKeys: () => this.mayRelyOnKeys(),
			targetListAge: () => this.targets.ageMilliseconds,
			budget: memory.answers,
			peers: components.add(
				new PeerForwarder({
					host,
					clock,
					events,
					metrics,
					selection: new PeerSelection({
						clock,
						random,
						ownAddress: peerAddress,
					}),
					connections: components.add(new PeerConnections()),
					knownPeers: () => this.reportClient.knownPeers(),
				}),
			),
			onAdapterMissing: () => {
				this.reportClient.scheduleReport();
			},
			workAwareSlots: settings.scheduling.workAwareSlots,
		});
		const {service} = this;
		components.addCallback(() => {
			service.dispose();
		});
		this.server = components.add(
			new ForwardingServer(
				this.hostLoad.intake,
				memory.requests,
				(server, connections, refuseBody) => {
					memory.guardCallers(server, connections, refuseBody);
				},
			),
		);
		this.reportClient = components.add(
			new ReportClient({
				host,
				failureDomain: settings.failureDomain,
				peerAddress,
				capacity: processorShare,
				clock,
				events,
				holder: () => this.leaseManager.holder,
				localOwner: owner,
				isLocalOwner: () => this.leaseManager.isHolder,
				crashes,
				limits: rateLimits,
				brittle: brittle.targets,
				streams,
				leavingTargets: () => registry.leavingTargets(),
				demand: () => this.reportServer.mergeDemand(service.demand()),
				peerAddresses: () => this.reportServer.peerAddresses(),
				document: () => service.currentDocument,
				needsDocument: () =>
					clock.monotonic() - this.behindSince >= documentReadMilliseconds,
				onLeaseStatusReceived: (status) => {
					this.leaseManager.applyHolderStatus(status);
				},
				parts,
				applyUpdate: (update) => this.applyUpdate(update),
			}),
		);
		const {reportClient} = this;
		const permitClient = components.add(
			new PermitClient({
				book: permits,
				metrics,
				issuer: permitIssuer,
				groupShare: () => this.reportServer.permitShare(),
				ask: async (demands) => reportClient.acquirePermits(demands),
				fallbackIssuer,
				hostCount: () => service.hostCount,
			}),
		);
		permitClient.granted.subscribe(() => {
			service.notifyCandidatesChanged();
		});
		this.leaseManager = components.add(
			new OwnerLeaseManager({
				lease: new OwnerLease(
					{host, incarnation, peerAddress},
					{
						...leaseTiming,
						claimDelayMilliseconds:
							maximumClaimDelayMilliseconds *
							Math.max(0, 1 - processorShare / strongProcessorShare),
						handoverMilliseconds:
							lease.handoverMilliseconds + handoverMarginMilliseconds,
					},
				),
				log: new PlatformOwnerLog(client),
				clock,
				random,
				events,
				isHolderResponsive: () => reportClient.isOwnerResponsive(),
				mustAbstain: () => service.hostCount > 1 && this.reachesNoEngine,
				quarantined: () => crashes.quarantined(),
				onSuspicionsRead(reports) {
					crashes.merge(reports);
				},
				versionReport: () => this.versions.report(),
				onVersionsRead: (report) => {
					this.versions.learn(report);
				},
				sinceLastOrder: () => owner.sinceLastOrder(),
			}),
		);
		const {drainMilliseconds} = settings.targets;
		const maximumReceivedAgeMilliseconds = maximumListAge(drainMilliseconds);
		const isReader = () => this.leaseManager.isHolder;
		this.documents = components.add(
			new StateFollower<DocumentChange>({
				name: 'document',
				state: new PlatformDocumentState(client),
				clock,
				events,
				pollTimeoutMilliseconds: Math.min(
					documentPollMilliseconds,
					this.revocation?.pollMilliseconds ?? documentPollMilliseconds,
				),
				readDelayMilliseconds: () => 0,
				maximumReceivedAgeMilliseconds,
				maximumConfirmationAgeMilliseconds:
					this.revocation?.maximumReceivedMilliseconds,
				repeatMilliseconds: readRepeatMilliseconds,
				isReader,
			}),
		);
		this.targets = components.add(
			new StateFollower<TargetListChange>({
				name: 'targets',
				state: new PlatformTargetListState(client),
				clock,
				events,
				pollTimeoutMilliseconds: 0,
				readDelayMilliseconds: () =>
					drainMilliseconds *
					(isReader() ? targetReadShares.owner : targetReadShares.alone),
				maximumReceivedAgeMilliseconds,
				repeatMilliseconds: readRepeatMilliseconds,
				isReader,
			}),
		);
		this.connectComponents();
	}

	/** Opens the listeners and starts to follow the shared store. Waits for addresses that are in use or not there yet. Fails with the first listener that cannot be opened. */
	async start(): Promise<Result<void, ListenError>> {
		const {listen} = this.settings;
		const ready = this.createAuxiliaryServer('/ready');
		const metrics = this.createAuxiliaryServer('/metrics');
		const {signal} = this.listening;
		const options = {...createListenOptions(this.events), signal};
		let failure: ListenError | undefined;
		await Promise.all(
			[
				listenOn(
					ready,
					listen.readiness.port,
					listen.readiness.address,
					options,
				),
				listenOn(metrics, listen.metrics.port, listen.metrics.address, options),
				this.reportServer.listen(
					listen.peers.port,
					listen.peers.address,
					options,
				),
				this.server.listen(
					listen.callers.port,
					listen.callers.address,
					options,
				),
			].map(async (attempt) => {
				const result = await attempt;
				if (result.isErr()) {
					failure ??= result.error;
					// A host that lacks one listener ends, so the others are not waited for.
					this.listening.abort();
				}
			}),
		);
		if (failure) {
			return err(failure);
		}

		this.hasStarted = true;
		this.events.record(forwardingEvents.hostStarted, {
			callers: listen.callers,
		});
		void this.documents.run();
		void this.targets.run();
		void this.leaseManager.run();
		void this.reportClient.run();
		void this.streamRecorder.run();
		this.hostLoad.start();
		const timer = setInterval(() => {
			this.update();
		}, updateIntervalMilliseconds);
		this.components.add(
			new CallbackDisposable(() => {
				clearInterval(timer);
			}),
		);
		return ok(undefined);
	}

	/** Serves new requests until the load balancer has noticed the stop, then lets open requests end and their answers arrive. Returns before the stop period of the settings is over. Calls after the first do nothing, as do calls before the host has started, when there is nothing to end. */
	async stop(): Promise<void> {
		if (this.isStopping || !this.hasStarted) {
			return;
		}

		const signalledAt = new Date().toISOString();
		// The end counts from the signal, which a blocked event loop notices late.
		const endMilliseconds =
			this.settings.stopSeconds * 1000 - stopMarginMilliseconds;
		const signalDelayMilliseconds = this.eventLoop.signalDelayMilliseconds();
		// A process whose signal is older than the stop period has been killed, so the signal came at the end of a longer delay.
		const noticedAfterMilliseconds =
			signalDelayMilliseconds < endMilliseconds ? signalDelayMilliseconds : 0;
		const startedAt = this.clock.monotonic() - noticedAfterMilliseconds;
		const elapsed = () => this.clock.monotonic() - startedAt;
		this.isStopping = true;
		this.hostLoad.intake.passAll();
		this.service.beginStop(
			startedAt + endMilliseconds,
			startedAt + stopListeningMilliseconds,
		);
		this.events.record(forwardingEvents.hostStopping, {
			openRequests: this.service.openRequests,
		});
		void this.leaseManager.release();
		while (
			elapsed() < stopListeningMilliseconds ||
			((this.hasOpenRequests || this.hasUndeliveredResponses) &&
				elapsed() < endMilliseconds)
		) {
			await wait(stopCheckMilliseconds);
			if (elapsed() >= stopListeningMilliseconds) {
				this.server.stopListening();
			}

			if (elapsed() >= idleCloseMilliseconds) {
				this.server.connections.endIdle();
			}

			if (elapsed() >= refuseRequestsMilliseconds) {
				this.service.refuseUnsentRequests();
				this.reportServer.connections.endIdle();
			}
		}

		const {openRequests} = this.service;
		const counts = this.service.endOpenRequests();
		const {openRequests: unfinishedRequests, ...responseCounts} =
			this.server.responseCounts;
		this.events.record(forwardingEvents.hostStopped, {
			openRequests,
			...counts,
			...responseCounts,
			unfinishedRequests,
			signalledAt,
			noticedAfterMilliseconds: Math.round(noticedAfterMilliseconds),
			milliseconds: Math.round(elapsed()),
		});
		await this.sendLastResponses(
			this.settings.stopSeconds * 1000 - exitMarginMilliseconds - elapsed(),
		);
		this.recordConnectionEnds();
	}

	/** Responds to all open requests, ends streams, and refuses what arrives from here on, because the process ends before it could be answered otherwise. Returns once the callers have read the responses and closed their connections, at most after the given time. */
	async sendLastResponses(
		maximumMilliseconds = shortDeliveryMilliseconds,
	): Promise<void> {
		this.service.endOpenRequests();
		this.server.endIncompleteRequests();
		const startedAt = this.clock.monotonic();
		do {
			this.server.connections.endIdle();
			this.reportServer.connections.endIdle();
			await wait(stopCheckMilliseconds);
		} while (
			this.clock.monotonic() - startedAt < maximumMilliseconds &&
			(this.server.connections.openResponses > 0 ||
				this.service.hasOpenPeerResponses ||
				this.hasUndeliveredResponses)
		);
	}

	/** Records in the log that the settings file was read again, or why it was rejected. Settings in use do not change. */
	reload(settings: Result<ForwardingSettings, Error>): void {
		this.events.record(
			settings.isOk()
				? forwardingEvents.settingsReloaded
				: forwardingEvents.settingsRejected,
			settings.isOk() ? {} : {reason: settings.error.message},
		);
	}

	/** Waits until the log lines recorded so far are written, for a short time at most, because the reader of the log may not read. */
	async flushLog(): Promise<void> {
		await this.output.drain(logFlushMilliseconds);
	}

	/** Closes the listeners and connections and stops all tasks. */
	async dispose(): Promise<void> {
		await this.components.dispose();
	}

	/** Logs how the connections of callers have ended, and those that end with the process. */
	private recordConnectionEnds(): void {
		const open = this.server.connections.openConnections();
		for (const connection of open) {
			this.recordUnconfirmed(connection);
		}

		const {counts} = this.server.connections;
		this.events.record(forwardingEvents.connectionsEnded, {
			closedByCaller: counts['closed-by-client'],
			reset: counts.reset,
			unconfirmed: counts.unconfirmed,
			open: open.length,
		});
	}

	private recordUnconfirmed({
		socket,
		sinceResponseMilliseconds,
	}: Omit<EndedConnection, 'end'>): void {
		this.unconfirmedConnections++;
		if (this.unconfirmedConnections <= maximumUnconfirmedLines) {
			this.events.record(forwardingEvents.deliveryUnconfirmed, {
				request: this.service.lastRequestOf(socket),
				milliseconds: Math.round(sinceResponseMilliseconds),
			});
		}
	}

	/** True while requests have no whole answer, or bytes of their answers have not left this process. */
	private get hasOpenRequests(): boolean {
		return (
			this.service.openRequests > 0 ||
			this.server.incompleteRequests > 0 ||
			this.server.connections.openResponses > 0 ||
			this.service.hasOpenPeerResponses
		);
	}

	/** True while answers that have left this process may not have arrived at callers or at hosts that forwarded requests to this one. */
	private get hasUndeliveredResponses(): boolean {
		return (
			this.server.connections.undeliveredResponses > 0 ||
			this.reportServer.connections.undeliveredResponses > 0
		);
	}

	private get streamWriter(): StreamWriter {
		if (this.leaseManager.isHolder || this.reportServer.isRelay) {
			return 'this-host';
		}

		return this.reportClient.isStreamKeeperResponsive
			? 'receiver'
			: 'each-host';
	}

	/** True while this host serves requests, whatever its load. */
	private get isServing(): boolean {
		return (
			this.hasStarted &&
			!this.isStopping &&
			this.service.documentVersion !== undefined &&
			this.targetListManager.isLoaded
		);
	}

	/** True while this host reaches no target of the pools with an engine. */
	private get reachesNoEngine(): boolean {
		const {registry, service} = this;
		const pools = (service.currentDocument?.pools ?? []).filter(
			({name, engine}) =>
				engine !== undefined && registry.targetsOfPool(name).length > 0,
		);
		return (
			pools.length > 0 &&
			pools.every(({name}) => registry.reachability.isCutOff(name))
		);
	}

	private connectComponents(): void {
		const {registry, service, owner, events} = this;
		this.documents.changed.subscribe(({changes}) => {
			for (const change of changes) {
				this.applyDocument(change);
			}

			this.showDocument();
		});
		this.targets.changed.subscribe(
			(changes: StateChanges<TargetListChange>) => {
				if (
					changes.mayLackChanges &&
					changes.gapMilliseconds > this.settings.targets.drainMilliseconds
				) {
					this.versions.recordGap();
				}

				this.targetListManager.apply(changes);
			},
		);
		registry.changed.subscribe(() => {
			service.notifyCandidatesChanged();
		});
		registry.heldBack.subscribe(() => {
			this.metrics.count('daisylever_held_back_total');
		});
		registry.leavingObserved.subscribe(() => {
			this.metrics.count('daisylever_leaving_answers_total');
			this.reportClient.scheduleReport();
		});
		owner.contentChanged.subscribe((content) => {
			if (this.leaseManager.isHolder) {
				registry.applyContents([content], 0);
			}
		});
		this.server.connections.accepted.subscribe(() => {
			this.hostLoad.intake.recordAccepted();
		});
		this.server.connections.ended.subscribe((connection) => {
			if (this.isStopping && connection.end === 'unconfirmed') {
				this.recordUnconfirmed(connection);
			}
		});
		this.components.add(observeUnexpectedErrors(events));
	}

	/** Applies the shared state that the owner or a relay sent. Returns false when this host has read the target list further itself. */
	private applyUpdate(update: FleetUpdate): boolean {
		const {contents, hostCount, targetList} = update;
		const {registry, service} = this;
		if (hostCount > 0) {
			registry.setHostCount(hostCount);
			service.setHostCount(hostCount);
		}

		if (targetList) {
			this.receiveDocument(update, targetList.ageMilliseconds);
			const isApplied = this.targets.receive({
				changes: targetList.changes,
				isSnapshot: targetList.isComplete,
				position: targetList.position,
				ageMilliseconds: targetList.ageMilliseconds,
			});
			if (!isApplied) {
				return false;
			}
		}

		registry.applyContents(contents, update.ownerSilenceMilliseconds);
		return true;
	}

	private receiveDocument(
		{
			document,
			documentVersion,
			documentPosition,
			documentConfirmationAgeMilliseconds,
		}: FleetUpdate,
		ageMilliseconds: number,
	): void {
		if (document) {
			this.takeDocument(document);
		}

		if (document?.kind === 'document') {
			this.documents.receive({
				changes: [],
				isSnapshot: false,
				position: documentPosition,
				ageMilliseconds,
				confirmationAgeMilliseconds: documentConfirmationAgeMilliseconds,
			});
			// A host of an older build has read it, which leaves the customers out.
			if (document.document.customers === undefined) {
				this.documents.readAgain();
			}
		} else {
			this.documents.receivePosition(
				documentPosition,
				ageMilliseconds,
				documentConfirmationAgeMilliseconds,
			);
		}

		if (documentVersion <= (this.service.documentVersion ?? 0)) {
			this.behindSince = Number.POSITIVE_INFINITY;
			return;
		}

		this.newestVersion = documentVersion;
		if (this.behindSince === Number.POSITIVE_INFINITY) {
			this.behindSince = this.clock.monotonic();
			this.documents.readSoon();
		}
	}

	/** True unless a key that this host knows may have been taken away for too long: the store was not read, or another host knows a newer version. */
	private mayRelyOnKeys(): boolean {
		if (!this.revocation) {
			return true;
		}

		const {reliedOnMilliseconds, maximumReceivedMilliseconds} = this.revocation;
		return (
			this.documents.confirmationAgeMilliseconds < reliedOnMilliseconds &&
			this.clock.monotonic() - this.behindSince < maximumReceivedMilliseconds
		);
	}

	/** Puts a document of another host in force if it is newer than the current one. */
	private takeDocument(change: DocumentChange): void {
		this.applyDocument(change);
		this.showDocument();
	}

	/** Lets other hosts receive the document in force and its position. */
	private showDocument(): void {
		this.view.setDocument(
			this.documents.currentPosition,
			this.service.currentDocument,
		);
	}

	private applyDocument(change: DocumentChange): void {
		if (change.kind === 'unreadable') {
			this.events.record(forwardingEvents.documentUnreadable, {
				reason: change.reason,
			});
			return;
		}

		const {document} = change;
		// The registry comes first, so that the connections of a new pool have their limit before requests use them.
		this.registry.applyDocument(document);
		if (!this.service.applyDocument(document)) {
			return;
		}

		if (document.version >= this.newestVersion) {
			this.behindSince = Number.POSITIVE_INFINITY;
		}

		this.owner.applyDocument(document);
		this.server.applyLimits(document.limits);
		this.events.record(forwardingEvents.documentApplied, {
			version: document.version,
			routes: document.routes.length,
			position: this.documents.currentPosition,
		});
	}

	private update(): void {
		this.eventLoop.record(updateIntervalMilliseconds);
		if (this.leaseManager.isHolder) {
			this.owner.start();
		}

		// The position also grows with records that leave the document as it is.
		this.showDocument();
		this.targetListManager.removeExpired();
		this.registry.revertExpiredContents();
		for (const {listed} of this.registry.all()) {
			this.versions.observe(listed.pool, versionOf(listed));
		}

		if (this.isServing && !this.wasReady) {
			this.wasReady = true;
			this.events.record(forwardingEvents.hostReady, {
				documentVersion: this.service.documentVersion,
				targets: [...this.registry.all()].length,
			});
		}
	}

	private exposition(): string {
		this.updateGauges();
		return this.metrics.exposition();
	}

	private updateGauges(): void {
		this.quotas?.enforcement.updateMetrics();
		this.memory.updateGauges();
		this.metrics.gauge('daisylever_open_requests', this.service.openRequests);
		this.metrics.gauge(
			'daisylever_log_lines_dropped',
			this.output.droppedLines,
		);
		this.metrics.gauge(
			'daisylever_is_owner',
			this.leaseManager.isHolder ? 1 : 0,
		);
		this.metrics.gauge(
			'daisylever_unserved_artifacts',
			this.owner.unservedCount,
		);
		for (const [state, {ageMilliseconds, currentPosition}] of Object.entries({
			targets: this.targets,
			document: this.documents,
		})) {
			this.metrics.gauge('daisylever_store_age_milliseconds', ageMilliseconds, {
				state,
			});
			this.metrics.gauge('daisylever_store_position', currentPosition, {state});
		}

		this.metrics.gauge(
			'daisylever_uses_relay',
			this.reportClient.relay === '' ? 0 : 1,
		);
		this.metrics.gauge(
			'daisylever_pools_cut_off',
			this.registry.reachability.cutOffPools().length,
		);
		this.metrics.gauge('daisylever_hosts', this.service.hostCount);
		for (const {pool, work} of this.service.dispatches()) {
			work.updateGauges(pool, this.metrics);
		}
	}

	private createAuxiliaryServer(path: '/ready' | '/metrics') {
		const app = new Hono();
		app.get(path, (context) =>
			path === '/ready'
				? context.text('', this.isServing && this.hostLoad.isReady ? 200 : 503)
				: context.text(this.exposition()),
		);
		if (path === '/metrics') {
			addExplainRoute(app, (question) => this.service.explain(question));
		}

		const listener = getRequestListener(app.fetch, {
			overrideGlobalObjects: false,
		});
		const server = createServer((message, response) => {
			void listener(message, response);
		});
		this.components.addCallback(() => {
			server.close();
			server.closeAllConnections();
		});
		return server;
	}
}
