import {randomInt} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {v4 as uuid, v7 as timeOrderedUuid} from 'uuid';
import {HttpHostList} from '../adapters/node/http-host-list.js';
import {HttpLogService} from '../adapters/node/http-log-service.js';
import {HttpTargetConnector} from '../adapters/node/http-target-connector.js';
import {DisposableStore} from '../base/common/disposable.js';
import {
	SeededRandomSource,
	type RandomSource,
} from '../base/common/random-source.js';
import {type ListenOptions} from '../base/node/listen.js';
import {SystemClock} from '../base/node/system-clock.js';
import {targetDiedSchema} from '../contracts/control-record.js';
import {operatorEvents} from '../contracts/events/operator-events.js';
import {
	type IncarnationId,
	type OrderId,
	type RequestId,
	type Revision,
} from '../contracts/ids.js';
import {type StreamName} from '../contracts/log-service.js';
import {BurnRateTracker} from '../core/burn/burn-rate.js';
import {CallerLimiter} from '../core/admission/caller-limiter.js';
import {SemanticDocumentValidator} from '../core/documents/document-validator.js';
import {
	claimsLeaseName,
	snapshotLeaseName,
} from '../core/leases/lease-names.js';
import {DecisionJournal} from '../services/decision-journal.js';
import {DispatchRegistry} from '../services/dispatch/dispatch-registry.js';
import {ClaimCarryForwardTask} from '../services/entry/claim-carry-forward-task.js';
import {ClaimManager} from '../services/entry/claim-manager.js';
import {ClaimingServiceGateway} from '../services/entry/claiming-service-gateway.js';
import {DemandCounter} from '../services/entry/demand-counter.js';
import {DispatchingModelGateway} from '../services/entry/dispatching-model-gateway.js';
import {EntryServer} from '../services/entry/entry-server.js';
import {HostAdmissionGate} from '../services/entry/host-admission-gate.js';
import {LimitedServiceGateway} from '../services/entry/limited-service-gateway.js';
import {LogClaimAppender} from '../services/entry/log-claim-appender.js';
import {MembershipIncarnationDirectory} from '../services/entry/membership-incarnation-directory.js';
import {QuarantineManager} from '../services/entry/quarantine-manager.js';
import {
	ObservedModelGateway,
	ObservedServiceGateway,
} from '../services/entry/request-observer.js';
import {HistogramMetricRegistry} from '../services/histogram-metric-registry.js';
import {HostOperatorBackend} from '../services/host-operator-backend.js';
import {LeaseManager} from '../services/lease-manager.js';
import {LogDecisionRecorder} from '../services/log-decision-recorder.js';
import {LogFollower} from '../services/log-follower.js';
import {MembershipTask} from '../services/membership-task.js';
import {OperatorServer} from '../services/operator-server.js';
import {PeerDirectory} from '../services/peer-directory.js';
import {PeerExchange} from '../services/peer-exchange.js';
import {PeerServer} from '../services/peer-server.js';
import {FleetPlacement} from '../services/placement/fleet-placement.js';
import {RecordAppender} from '../services/record-appender.js';
import {SnapshotWriter} from '../services/snapshot-writer.js';
import {ReportPoller} from '../services/targets/report-poller.js';
import {
	TargetDirectory,
	type TrackedTarget,
} from '../services/targets/target-directory.js';
import {WinstonEventLogger} from '../services/winston-event-logger.js';
import {createListenOptions} from './listen-events.js';
import {
	RunningHost,
	StartError,
	type HostPorts,
	type RunningHostOptions,
} from './running-host.js';
import {type Settings} from './settings.js';

/** Interval of the checks for targets whose report is due. */
const reportIntervalMilliseconds = 250;
/** Age from which this host fetches the report of an engine itself. The owner of a group sends reports every second, so several were missed. */
const staleReportMilliseconds = 3000;
/** Age from which the report of a plain service is fetched again. Services receive no orders and have no owner, so each host polls them itself. */
const serviceReportMilliseconds = 1000;
/** Average number of hosts that poll a target in each interval while its owner sends no reports. */
const directPollers = 8;
/** Timeout of appending a claim to the log. */
const claimTimeoutMilliseconds = 3000;
/** Timeout of waiting for the outcome of an earlier request with the same idempotency key. */
const settlementTimeoutMilliseconds = 5000;
const millisecondsPerHour = 3_600_000;
/** Idempotency window until a document is in force. */
const defaultIdempotencyWindowHours = 168;
/** Exclusive upper bound of the seed of the random source. */
const seedRange = 2 ** 31;

/** Settings, clock, logging and metrics that all components of a host share. */
type HostContext = ReturnType<typeof createHostContext>;
/** Components that keep the host in agreement with the fleet through the log and the peer protocol. */
type Coordination = ReturnType<typeof buildCoordination>;
/** Components that track targets, dispatch requests and place models. */
type Fleet = ReturnType<typeof buildFleet>;

/** Builds and starts all components of a host. Fails with the first listener that cannot be opened, after disposing of what was built. */
export async function startHost(
	settings: Settings,
): Promise<Result<RunningHost, StartError>> {
	const context = createHostContext(settings);
	const {disposables, events} = context;
	const coordination = buildCoordination(context);
	const listenOptions = createListenOptions(events);
	const peerPort = await coordination.peerServer.listen(listenOptions);
	if (peerPort.isErr()) {
		await disposables.dispose();
		return err(new StartError(peerPort.error.message, {cause: peerPort.error}));
	}

	const membership = buildMembership(context, coordination, peerPort.value);
	const leases = disposables.add(
		new LeaseManager({
			...context.services,
			host: settings.host,
			incarnation: context.incarnation,
			follower: coordination.follower,
			liveHosts: () => membership.leaseCandidates,
		}),
	);
	const fleet = buildFleet(context, coordination, membership, leases);
	coordination.lateBindings.load = (peer) => ({
		...fleet.exchange.load(peer),
		ready: fleet.gate.isAdmitting,
	});
	const entry = buildEntry(context, coordination, membership, leases, fleet);
	const operators = buildOperators(context, coordination, membership, fleet);
	startTasks(context, coordination, membership, leases);
	const ports = await listenAll(settings, entry, operators, listenOptions);
	if (ports.isErr()) {
		await disposables.dispose();
		return err(ports.error);
	}

	const allPorts = {...ports.value, peers: peerPort.value};
	events.record(operatorEvents.hostStarted, allPorts);
	const options: RunningHostOptions = {
		disposables,
		gate: fleet.gate,
		membership,
		leases,
		events,
		drainMilliseconds: settings.timeouts.drainMilliseconds,
	};
	return ok(new RunningHost(allPorts, options));
}

function createHostContext(settings: Settings) {
	const clock = new SystemClock();
	const incarnation = uuid() as IncarnationId;
	const events = new WinstonEventLogger({
		level: settings.log.level,
		format: settings.log.format,
		secrets: [settings.peerSecret, ...listPrivateKeys(settings)],
		fields: {host: settings.host, incarnation},
	});
	const metrics = new HistogramMetricRegistry();
	const random = new SeededRandomSource(randomInt(seedRange));
	return {
		settings,
		disposables: new DisposableStore(),
		incarnation,
		clock,
		events,
		metrics,
		services: {clock, random, events, metrics},
		observer: {
			clock,
			metrics,
			burnRates: new BurnRateTracker(clock),
			journal: new DecisionJournal({clock, host: settings.host}),
		},
	};
}

function listPrivateKeys({tls}: Settings): string[] {
	return [tls.callers, tls.operators, tls.peers].flatMap((identity) =>
		identity ? [identity.key] : [],
	);
}

function buildCoordination(context: HostContext) {
	const {settings, disposables, services, observer} = context;
	const log = disposables.add(
		new HttpLogService({
			address: settings.platform.logService,
			responseTimeoutMilliseconds: settings.timeouts.platformMilliseconds,
		}),
	);
	const createAppender = (stream: StreamName, deadlineMilliseconds?: number) =>
		disposables.add(
			new RecordAppender({
				...services,
				log,
				stream,
				appendTimeoutMilliseconds: deadlineMilliseconds,
			}),
		);
	const directory = disposables.add(
		new PeerDirectory({
			secret: settings.peerSecret,
			tls: settings.tls.peers,
			seedAddresses: settings.seedPeers,
			timeoutMilliseconds: settings.timeouts.peerMilliseconds,
		}),
	);
	const follower = disposables.add(
		new LogFollower({
			...services,
			log,
			appender: createAppender('control'),
			validator: new SemanticDocumentValidator(),
			peers: directory,
		}),
	);
	disposables.add(new LogDecisionRecorder(follower, observer.journal));
	// Heartbeats need the membership and the load, which are built from these components and set afterwards.
	const lateBindings: LateBindings = {
		membership: undefined,
		load: () => ({ready: false}),
	};
	const peerServer = disposables.add(
		new PeerServer({
			...services,
			secret: settings.peerSecret,
			tls: settings.tls.peers,
			bindAddress: settings.listen.peers.address,
			port: settings.listen.peers.port,
			follower,
			localState: (peer) => lateBindings.membership?.localState(peer) ?? {},
		}),
	);
	return {log, createAppender, directory, follower, peerServer, lateBindings};
}

/** Components that the heartbeat needs but that are built after it. */
type LateBindings = {
	membership: MembershipTask | undefined;
	load: (
		...peer: Parameters<PeerExchange['load']>
	) => ReturnType<PeerExchange['load']> & {readonly ready: boolean};
};

function buildMembership(
	context: HostContext,
	coordination: Coordination,
	peerPort: number,
): MembershipTask {
	const {settings, disposables, services, incarnation} = context;
	const {follower, directory, lateBindings, peerServer} = coordination;
	const membership = disposables.add(
		new MembershipTask({
			...services,
			host: settings.host,
			incarnation,
			failureDomain: settings.failureDomain,
			peerAddress:
				settings.advertisedPeerUrl ??
				`${settings.tls.peers ? 'https' : 'http'}://${settings.listen.peers.address}:${peerPort}`,
			follower,
			directory,
			hostList: disposables.add(
				new HttpHostList({address: settings.platform.hostList}),
			),
			seedAddresses: settings.seedPeers,
			getHostLoad: (peer) => lateBindings.load(peer),
		}),
	);
	lateBindings.membership = membership;
	peerServer.heartbeatReceived.subscribe((state) => {
		membership.receive(state);
	});
	return membership;
}

function buildFleet(
	context: HostContext,
	coordination: Coordination,
	membership: MembershipTask,
	leases: LeaseManager,
) {
	const {settings, disposables, services, clock, incarnation} = context;
	const {follower} = coordination;
	const targets = disposables.add(
		new TargetDirectory(
			new HttpTargetConnector(settings.timeouts.connectMilliseconds),
			clock,
		),
	);
	const quarantine = disposables.add(
		new QuarantineManager({
			...services,
			host: settings.host,
			control: follower,
			notifyPeers: async () => membership.sendNow(),
		}),
	);
	const demand = new DemandCounter();
	const limiter = new CallerLimiter({clock});
	const dispatches = new DispatchRegistry({
		...services,
		host: settings.host,
		targets,
		document: () => follower.control.document,
		quarantine,
		reserveTarget: async (target) => exchange.reserve(target),
		limiter,
	});
	disposables.addCallback(() => {
		dispatches.dispose();
	});
	const placement: FleetPlacement = disposables.add(
		new FleetPlacement({
			...services,
			incarnation,
			follower,
			leases,
			targets,
			demand: () => exchange.fleetDemand(),
			newOrderId: () => timeOrderedUuid() as OrderId,
		}),
	);
	const exchange: PeerExchange = disposables.add(
		new PeerExchange({
			membership,
			targets,
			placement,
			dispatches,
			quarantine,
			demand,
			host: settings.host,
			now: () => clock.monotonic(),
		}),
	);
	const gate = new HostAdmissionGate(() => membership.isIsolated);
	membership.memberChanged.subscribe(() => {
		dispatches.setHosts(membership.leaseCandidates);
	});
	membership.hostListRead.subscribe((entries) => {
		targets.applyHostList(entries);
	});
	const poller = disposables.add(
		new ReportPoller(targets, reportIntervalMilliseconds, (target) => {
			const age = clock.monotonic() - target.reportedAt;
			return target.engine
				? age > staleReportMilliseconds &&
						isDirectPollDue(services.random, membership.members.length) &&
						!placement.ownsGroupOf(target)
				: age > serviceReportMilliseconds;
		}),
	);
	poller.start();
	applyDocuments(follower, [targets, dispatches, placement, gate]);
	reportTargetDeaths(context, follower, quarantine);
	return {
		targets,
		quarantine,
		demand,
		limiter,
		dispatches,
		placement,
		exchange,
		gate,
	};
}

function buildEntry(
	context: HostContext,
	coordination: Coordination,
	membership: MembershipTask,
	leases: LeaseManager,
	fleet: Fleet,
): EntryServer {
	const {settings, disposables, clock, events, metrics, observer} = context;
	const {follower, log, createAppender} = coordination;
	const claims = disposables.add(
		new ClaimManager({
			host: settings.host,
			incarnation: context.incarnation,
			log,
			appender: new LogClaimAppender(
				createAppender('claims', claimTimeoutMilliseconds),
			),
			incarnations: new MembershipIncarnationDirectory(
				context.incarnation,
				clock,
				() => membership,
			),
			clock,
			events,
			idempotencyWindowMilliseconds: () =>
				millisecondsPerHour *
				(follower.control.document?.idempotency.windowHours ??
					defaultIdempotencyWindowHours),
			claimTimeoutMilliseconds,
			settlementTimeoutMilliseconds,
		}),
	);
	claims.start();
	const carryForwardTask = disposables.add(
		new ClaimCarryForwardTask({
			claims,
			clock,
			events,
			metrics,
			retentionMilliseconds:
				millisecondsPerHour * settings.platform.logRetentionHours,
			holdsLease: () => leases.isConfirmed(claimsLeaseName),
		}),
	);
	carryForwardTask.start();
	return disposables.add(
		new EntryServer({
			gate: fleet.gate,
			models: new ObservedModelGateway(
				new DispatchingModelGateway(fleet.dispatches, fleet.demand, clock),
				observer,
			),
			services: new ObservedServiceGateway(
				new LimitedServiceGateway(
					new ClaimingServiceGateway({
						claims,
						dispatches: fleet.dispatches,
					}),
					fleet.limiter,
					events,
				),
				observer,
			),
			tls: settings.tls.callers,
			limits: {
				bodyBytes: settings.limits.bodyBytes,
				headerBytes: settings.limits.headerBytes,
				connections: settings.limits.connections,
				requestTimeoutMilliseconds:
					settings.timeouts.requestReceiveMilliseconds,
				idleTimeoutMilliseconds: settings.timeouts.keepAliveMilliseconds,
			},
			clock,
			events,
			metrics,
			generateRequestId: () => timeOrderedUuid() as RequestId,
		}),
	);
}

function buildOperators(
	context: HostContext,
	coordination: Coordination,
	membership: MembershipTask,
	fleet: Fleet,
): OperatorServer {
	const {settings, disposables, events, observer} = context;
	const {follower} = coordination;
	const openOrderBytes = ({definition}: TrackedTarget) =>
		(follower.control.openIntents.get(definition.id) ?? []).reduce(
			(sum, intent) => sum + intent.bytes,
			0,
		);
	return disposables.add(
		new OperatorServer({
			backend: new HostOperatorBackend({
				...observer,
				host: settings.host,
				incarnation: context.incarnation,
				failureDomain: settings.failureDomain,
				follower,
				membership,
				targets: fleet.targets,
				gate: fleet.gate,
				openOrderBytes,
			}),
			credentials: settings.operators,
			logger: events,
			tls: settings.tls.operators,
			limits: {
				documentBytes: settings.limits.documentBytes,
				headerBytes: settings.limits.headerBytes,
				connections: settings.limits.connections,
				requestTimeoutMilliseconds:
					settings.timeouts.requestReceiveMilliseconds,
			},
		}),
	);
}

function startTasks(
	context: HostContext,
	coordination: Coordination,
	membership: MembershipTask,
	leases: LeaseManager,
): void {
	const {disposables, services} = context;
	const {follower, createAppender} = coordination;
	const snapshots = disposables.add(
		new SnapshotWriter({
			...services,
			follower,
			appender: createAppender('snapshots'),
			holdsLease: () => leases.isConfirmed(snapshotLeaseName),
		}),
	);
	follower.start();
	membership.start();
	leases.start();
	snapshots.start();
}

async function listenAll(
	settings: Settings,
	entry: EntryServer,
	operators: OperatorServer,
	options: ListenOptions,
): Promise<Result<Omit<HostPorts, 'peers'>, StartError>> {
	const {callers: callerAddress, operators: operatorAddress} = settings.listen;
	const callers = await entry.listen(
		callerAddress.port,
		callerAddress.address,
		options,
	);
	if (callers.isErr()) {
		return err(new StartError(callers.error.message, {cause: callers.error}));
	}

	const operatorPort = await operators.listen(
		operatorAddress.port,
		operatorAddress.address,
		options,
	);
	return operatorPort
		.map((port) => ({callers: callers.value, operators: port}))
		.mapErr((cause) => new StartError(cause.message, {cause}));
}

/** Decides at random whether this host polls a target whose owner sends no reports. Keeps the polls of a target independent of the number of hosts, because after a restart every host misses every report. */
function isDirectPollDue(random: RandomSource, members: number): boolean {
	return random.integer(Math.ceil((members + 1) / directPollers)) === 0;
}

/** Applies each accepted document to the components of this host. The gate comes last, so that it admits requests only when the others have applied the document. */
function applyDocuments(
	follower: LogFollower,
	consumers: readonly [
		TargetDirectory,
		DispatchRegistry,
		FleetPlacement,
		HostAdmissionGate,
	],
): void {
	let appliedRevision = 0 as Revision;
	const apply = () => {
		const {revision, document} = follower.control;
		if (!document || revision === appliedRevision) {
			return;
		}

		appliedRevision = revision;
		for (const consumer of consumers) {
			consumer.applyDocument(document);
		}
	};

	follower.recordApplied.subscribe(apply);
	follower.stateRestored.subscribe(apply);
}

/** Reports target deaths recorded in the log to the quarantine. */
function reportTargetDeaths(
	{clock}: HostContext,
	follower: LogFollower,
	quarantine: QuarantineManager,
): void {
	follower.recordApplied.subscribe(({record, outcome}) => {
		const death = targetDiedSchema.safeParse(record.body);
		if (outcome.accepted && death.success) {
			quarantine.applyDeath(death.data, clock.wall() - death.data.time);
		}
	});
}
