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
import {BurnRateTracker} from '../core/burn-rate.js';
import {CallerLimiter} from '../core/caller-limiter.js';
import {SemanticDocumentValidator} from '../core/document-validator.js';
import {claimsLeaseName, snapshotLeaseName} from '../core/lease-names.js';
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
import {
	RunningHost,
	StartError,
	type HostPorts,
	type RunningParts,
} from './running-host.js';
import {type Settings} from './settings.js';

const reportIntervalMilliseconds = 250;
// The owner of a group reports once a second; a report older than this is fetched directly.
const staleReportMilliseconds = 3000;
// Plain services get no orders, so no host owns them and each host asks for itself.
const serviceReportMilliseconds = 1000;
// Hosts that poll a target at each interval, on average, while its owner reports nothing.
const directPollers = 8;
const claimTimeoutMilliseconds = 3000;
const settlementWaitMilliseconds = 5000;
const millisecondsPerHour = 3_600_000;
const defaultWindowHours = 168;
const seedRange = 2 ** 31;

/** What every part of a host is built from. */
type Foundation = ReturnType<typeof layFoundation>;
/** The parts that agree with the other hosts through the log and the peer protocol. */
type Agreement = ReturnType<typeof buildAgreement>;
/** The parts that know and direct the targets. */
type Fleet = ReturnType<typeof buildFleet>;

/** Builds all parts of a host and starts them. */
export async function startHost(
	settings: Settings,
): Promise<Result<RunningHost, StartError>> {
	const foundation = layFoundation(settings);
	const {owned, events} = foundation;
	const agreement = buildAgreement(foundation);
	const peerPort = await agreement.peerServer.listen();
	if (peerPort.isErr()) {
		await owned.dispose();
		return err(new StartError(peerPort.error.message, {cause: peerPort.error}));
	}

	const membership = buildMembership(foundation, agreement, peerPort.value);
	const leases = owned.add(
		new LeaseManager({
			...foundation.services,
			host: settings.host,
			incarnation: foundation.incarnation,
			follower: agreement.follower,
			liveHosts: () => membership.leaseCandidates,
		}),
	);
	const fleet = buildFleet(foundation, agreement, membership, leases);
	agreement.late.load = (peer) => ({
		...fleet.exchange.load(peer),
		ready: fleet.gate.isAdmitting,
	});
	const entry = buildEntry(foundation, agreement, membership, leases, fleet);
	const operators = buildOperators(foundation, agreement, membership, fleet);
	startTasks(foundation, agreement, membership, leases);
	const ports = await listenAll(settings, entry, operators);
	if (ports.isErr()) {
		await owned.dispose();
		return err(ports.error);
	}

	const allPorts = {...ports.value, peers: peerPort.value};
	events.record(operatorEvents.hostStarted, allPorts);
	const parts: RunningParts = {
		owned,
		gate: fleet.gate,
		membership,
		leases,
		events,
		drainMilliseconds: settings.timeouts.drainMilliseconds,
	};
	return ok(new RunningHost(allPorts, parts));
}

function layFoundation(settings: Settings) {
	const clock = new SystemClock();
	const incarnation = uuid() as IncarnationId;
	const events = new WinstonEventLogger({
		level: settings.log.level,
		format: settings.log.format,
		secrets: [settings.peerSecret, ...privateKeysOf(settings)],
		fields: {host: settings.host, incarnation},
	});
	const metrics = new HistogramMetricRegistry();
	const random = new SeededRandomSource(randomInt(seedRange));
	return {
		settings,
		owned: new DisposableStore(),
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

function privateKeysOf({tls}: Settings): string[] {
	return [tls.callers, tls.operators, tls.peers].flatMap((identity) =>
		identity ? [identity.key] : [],
	);
}

function buildAgreement(foundation: Foundation) {
	const {settings, owned, services, observer} = foundation;
	const log = owned.add(
		new HttpLogService({
			address: settings.platform.logService,
			responseTimeoutMilliseconds: settings.timeouts.platformMilliseconds,
		}),
	);
	const createAppender = (stream: StreamName, deadlineMilliseconds?: number) =>
		owned.add(
			new RecordAppender({
				...services,
				log,
				stream,
				appendTimeoutMilliseconds: deadlineMilliseconds,
			}),
		);
	const directory = owned.add(
		new PeerDirectory({
			secret: settings.peerSecret,
			tls: settings.tls.peers,
			seedAddresses: settings.seedPeers,
			timeoutMilliseconds: settings.timeouts.peerMilliseconds,
		}),
	);
	const follower = owned.add(
		new LogFollower({
			...services,
			log,
			appender: createAppender('control'),
			validator: new SemanticDocumentValidator(),
			peers: directory,
		}),
	);
	owned.add(new LogDecisionRecorder(follower, observer.journal));
	// Heartbeats need the membership and the load, which are built on top of these parts.
	const late: LateParts = {membership: undefined, load: () => ({ready: false})};
	const peerServer = owned.add(
		new PeerServer({
			...services,
			secret: settings.peerSecret,
			tls: settings.tls.peers,
			bindAddress: settings.listen.peers.address,
			port: settings.listen.peers.port,
			follower,
			localState: (peer) => late.membership?.localState(peer) ?? {},
		}),
	);
	return {log, createAppender, directory, follower, peerServer, late};
}

type LateParts = {
	membership: MembershipTask | undefined;
	load: (
		...peer: Parameters<PeerExchange['load']>
	) => ReturnType<PeerExchange['load']> & {readonly ready: boolean};
};

function buildMembership(
	foundation: Foundation,
	agreement: Agreement,
	peerPort: number,
): MembershipTask {
	const {settings, owned, services, incarnation} = foundation;
	const {follower, directory, late, peerServer} = agreement;
	const membership = owned.add(
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
			hostList: owned.add(
				new HttpHostList({address: settings.platform.hostList}),
			),
			seedAddresses: settings.seedPeers,
			getHostLoad: (peer) => late.load(peer),
		}),
	);
	late.membership = membership;
	peerServer.heartbeatReceived.subscribe((state) => {
		membership.receive(state);
	});
	return membership;
}

function buildFleet(
	foundation: Foundation,
	agreement: Agreement,
	membership: MembershipTask,
	leases: LeaseManager,
) {
	const {settings, owned, services, clock, incarnation} = foundation;
	const {follower} = agreement;
	const targets = owned.add(
		new TargetDirectory(
			new HttpTargetConnector(settings.timeouts.connectMilliseconds),
			clock,
		),
	);
	const quarantine = owned.add(
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
	owned.addCallback(() => {
		dispatches.dispose();
	});
	const placement: FleetPlacement = owned.add(
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
	const exchange: PeerExchange = owned.add(
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
	const poller = owned.add(
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
	followDocument(follower, [targets, dispatches, placement, gate]);
	followTargetDeaths(foundation, follower, quarantine);
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
	foundation: Foundation,
	agreement: Agreement,
	membership: MembershipTask,
	leases: LeaseManager,
	fleet: Fleet,
): EntryServer {
	const {settings, owned, clock, events, metrics, observer} = foundation;
	const {follower, log, createAppender} = agreement;
	const claims = owned.add(
		new ClaimManager({
			host: settings.host,
			incarnation: foundation.incarnation,
			log,
			appender: new LogClaimAppender(
				createAppender('claims', claimTimeoutMilliseconds),
			),
			incarnations: new MembershipIncarnationDirectory(
				foundation.incarnation,
				clock,
				() => membership,
			),
			clock,
			events,
			idempotencyWindowMilliseconds: () =>
				millisecondsPerHour *
				(follower.control.document?.idempotency.windowHours ??
					defaultWindowHours),
			claimTimeoutMilliseconds,
			settlementTimeoutMilliseconds: settlementWaitMilliseconds,
		}),
	);
	claims.start();
	const carrier = owned.add(
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
	carrier.start();
	return owned.add(
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
			},
			clock,
			events,
			metrics,
			generateRequestId: () => timeOrderedUuid() as RequestId,
		}),
	);
}

function buildOperators(
	foundation: Foundation,
	agreement: Agreement,
	membership: MembershipTask,
	fleet: Fleet,
): OperatorServer {
	const {settings, owned, events, observer} = foundation;
	const {follower} = agreement;
	const openOrderBytes = ({definition}: TrackedTarget) =>
		(follower.control.openIntents.get(definition.id) ?? []).reduce(
			(sum, intent) => sum + intent.bytes,
			0,
		);
	return owned.add(
		new OperatorServer({
			backend: new HostOperatorBackend({
				...observer,
				host: settings.host,
				incarnation: foundation.incarnation,
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
	foundation: Foundation,
	agreement: Agreement,
	membership: MembershipTask,
	leases: LeaseManager,
): void {
	const {owned, services} = foundation;
	const {follower, createAppender} = agreement;
	const snapshots = owned.add(
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
): Promise<Result<Omit<HostPorts, 'peers'>, StartError>> {
	const {callers: callerAddress, operators: operatorAddress} = settings.listen;
	const callers = await entry.listen(callerAddress.port, callerAddress.address);
	if (callers.isErr()) {
		return err(new StartError(callers.error.message, {cause: callers.error}));
	}

	const operatorPort = await operators.listen(
		operatorAddress.port,
		operatorAddress.address,
	);
	return operatorPort
		.map((port) => ({callers: callers.value, operators: port}))
		.mapErr((cause) => new StartError(cause.message, {cause}));
}

/** Polls of a target without an owner must not grow with the fleet: after a restart every host misses every report. */
function isDirectPollDue(random: RandomSource, members: number): boolean {
	return random.integer(Math.ceil((members + 1) / directPollers)) === 0;
}

/** Puts each accepted document in force on this host. The gate comes last, so that it opens on parts that know the document. */
function followDocument(
	follower: LogFollower,
	followers: readonly [
		TargetDirectory,
		DispatchRegistry,
		FleetPlacement,
		HostAdmissionGate,
	],
): void {
	let inForce = 0 as Revision;
	const apply = () => {
		const {revision, document} = follower.control;
		if (!document || revision === inForce) {
			return;
		}

		inForce = revision;
		for (const part of followers) {
			part.applyDocument(document);
		}
	};

	follower.recordApplied.subscribe(apply);
	follower.stateRestored.subscribe(apply);
}

/** Tells the quarantine of the deaths in the log. */
function followTargetDeaths(
	{clock}: Foundation,
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
