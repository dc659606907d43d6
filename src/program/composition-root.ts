import {randomInt} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {v7 as timeOrderedUuid, v4 as uuid} from 'uuid';
import {DisposableStore} from '../base/common/disposable.js';
import {type Clock} from '../base/common/clock.js';
import {type EventLogger} from '../base/common/event-logger.js';
import {SeededRandomSource} from '../base/common/random-source.js';
import {SystemClock} from '../base/node/system-clock.js';
import {HttpHostList} from '../adapters/node/http-host-list.js';
import {HttpLogService} from '../adapters/node/http-log-service.js';
import {HttpTargetConnector} from '../adapters/node/http-target-connector.js';
import {targetDiedSchema} from '../contracts/control-record.js';
import {operatorEvents} from '../contracts/events/operator-events.js';
import {
	type Fingerprint,
	type IncarnationId,
	type RequestId,
	type Revision,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';
import {type StreamName} from '../contracts/log-service.js';
import {BurnRateTracker} from '../core/burn-rate.js';
import {SemanticDocumentValidator} from '../core/document-validator.js';
import {snapshotLeaseName} from '../core/lease-names.js';
import {
	ClaimKeeper,
	IncarnationDirectory,
} from '../services/entry/claim-keeper.js';
import {ClaimingServiceGateway} from '../services/entry/claiming-service-gateway.js';
import {EngineModelGateway} from '../services/entry/engine-model-gateway.js';
import {EntryServer} from '../services/entry/entry-server.js';
import {HostGate} from '../services/entry/host-gate.js';
import {LogClaimAppender} from '../services/entry/log-claim-appender.js';
import {MemberIncarnations} from '../services/entry/member-incarnations.js';
import {QuarantineKeeper} from '../services/entry/quarantine-keeper.js';
import {
	ObservedModelGateway,
	ObservedServiceGateway,
} from '../services/entry/request-observer.js';
import {HistogramMetricRegistry} from '../services/histogram-metric-registry.js';
import {DecisionJournal} from '../services/decision-journal.js';
import {HostOperatorBackend} from '../services/host-operator-backend.js';
import {LeaseKeeper} from '../services/lease-keeper.js';
import {LogFollower} from '../services/log-follower.js';
import {MembershipTask} from '../services/membership-task.js';
import {OperatorServer} from '../services/operator-server.js';
import {PeerDirectory} from '../services/peer-directory.js';
import {PeerServer} from '../services/peer-server.js';
import {RecordAppender} from '../services/record-appender.js';
import {type ServiceOptions} from '../services/service-options.js';
import {SnapshotWriter} from '../services/snapshot-writer.js';
import {LeastOutstandingAssigner} from '../services/targets/least-outstanding-assigner.js';
import {ReportPoller} from '../services/targets/report-poller.js';
import {TargetDirectory} from '../services/targets/target-directory.js';
import {WinstonEventLogger} from '../services/winston-event-logger.js';
import {type Settings} from './settings.js';

const reportIntervalMilliseconds = 250;
const claimTimeoutMilliseconds = 3000;
const settlementWaitMilliseconds = 5000;
const millisecondsPerHour = 3_600_000;
const defaultWindowHours = 168;
const seedRange = 2 ** 31;

/** A host could not start. The message says which listener failed. */
export class StartError extends Error {
	override readonly name = 'StartError';
}

/** Ports that a running host listens on. */
export type HostPorts = {
	readonly callers: number;
	readonly operators: number;
	readonly peers: number;
};

type RunningParts = {
	readonly owned: DisposableStore;
	readonly gate: HostGate;
	readonly membership: MembershipTask;
	readonly leases: LeaseKeeper;
	readonly events: EventLogger;
	readonly drainMilliseconds: number;
};

/** A host that serves. */
export class RunningHost {
	constructor(
		readonly ports: HostPorts,
		private readonly parts: RunningParts,
	) {}

	/** Takes no new work, hands its leases over, lets running requests end, and releases everything. */
	async stop(): Promise<void> {
		const {gate, membership, leases, owned, events} = this.parts;
		events.record(operatorEvents.hostStopping, {inFlight: gate.inFlight});
		gate.stop();
		await Promise.all([
			membership.leave(),
			leases.releaseAll(),
			withinLimit(gate.idle(), this.parts.drainMilliseconds),
		]);
		await membership.recordStop();
		await owned.dispose();
		events.record(operatorEvents.hostStopped, {unfinished: gate.inFlight});
	}
}

async function withinLimit(
	work: Promise<void>,
	milliseconds: number,
): Promise<void> {
	let timer: NodeJS.Timeout | undefined;
	const limit = new Promise<void>((resolve) => {
		timer = setTimeout(resolve, milliseconds);
	});
	await Promise.race([work, limit]);
	clearTimeout(timer);
}

/** Builds all parts of a host and starts them. */
export async function startHost(
	settings: Settings,
): Promise<Result<RunningHost, StartError>> {
	const parts = new DisposableStore();
	const clock = new SystemClock();
	const incarnation = uuid() as IncarnationId;
	const events = new WinstonEventLogger({
		level: settings.log.level,
		format: settings.log.format,
		secrets: [settings.peerSecret],
		fields: {host: settings.host, incarnation},
	});
	const metrics = new HistogramMetricRegistry();
	const services: ServiceOptions = {
		clock,
		random: new SeededRandomSource(randomInt(seedRange)),
		events,
		metrics,
	};
	const observer = {
		clock,
		metrics,
		burnRates: new BurnRateTracker(clock),
		journal: new DecisionJournal({clock, host: settings.host}),
	};
	const log = parts.add(
		new HttpLogService({
			address: settings.platform.logService,
			answerTimeoutMilliseconds: settings.timeouts.platformMilliseconds,
		}),
	);
	const createAppender = (stream: StreamName) =>
		parts.add(new RecordAppender({...services, log, stream}));
	const peers = parts.add(
		new PeerDirectory({
			secret: settings.peerSecret,
			seedAddresses: settings.seedPeers,
			timeoutMilliseconds: settings.timeouts.peerMilliseconds,
		}),
	);
	const follower = parts.add(
		new LogFollower({
			...services,
			log,
			appender: createAppender('control'),
			validator: new SemanticDocumentValidator(),
			peers,
		}),
	);
	const targets = parts.add(
		new TargetDirectory(
			new HttpTargetConnector(settings.timeouts.connectMilliseconds),
			clock,
		),
	);
	const gate = new HostGate();
	followDocument(follower, gate, targets);
	const claims = parts.add(
		new ClaimKeeper({
			host: settings.host,
			incarnation,
			log,
			appender: new LogClaimAppender(createAppender('claims')),
			incarnations: new MemberIncarnations(
				incarnation,
				clock,
				() => membership,
			),
			clock,
			events,
			windowMilliseconds: () =>
				millisecondsPerHour *
				(follower.control.document?.idempotency.windowHours ??
					defaultWindowHours),
			claimTimeoutMilliseconds,
			settlementWaitMilliseconds,
		}),
	);
	const peerServer = parts.add(
		new PeerServer({
			...services,
			secret: settings.peerSecret,
			bindAddress: settings.listen.peers.address,
			port: settings.listen.peers.port,
			follower,
			localState: () => membership.localState(),
		}),
	);
	const peerPort = await peerServer.listen();
	if (peerPort.isErr()) {
		await parts.dispose();
		return err(new StartError(peerPort.error.message, {cause: peerPort.error}));
	}

	const membership: MembershipTask = parts.add(
		new MembershipTask({
			...services,
			host: settings.host,
			incarnation,
			failureDomain: settings.failureDomain,
			peerAddress:
				settings.advertisedPeerUrl ??
				`http://${settings.listen.peers.address}:${peerPort.value}`,
			follower,
			directory: peers,
			hostList: parts.add(
				new HttpHostList({address: settings.platform.hostList}),
			),
			seedAddresses: settings.seedPeers,
			load: () => ({
				ready: gate.isOpen,
				sightings: [...quarantine.ownSightings()],
			}),
		}),
	);
	peerServer.heartbeatReceived.subscribe((state) => {
		membership.receive(state);
	});
	membership.isolationChanged.subscribe((isIsolated) => {
		gate.setStale(isIsolated);
	});
	const poller = parts.add(
		new ReportPoller(targets, reportIntervalMilliseconds, () => true),
	);
	const leases = parts.add(
		new LeaseKeeper({
			...services,
			host: settings.host,
			incarnation,
			follower,
			liveHosts: () => membership.leaseCandidates,
		}),
	);
	const snapshots = parts.add(
		new SnapshotWriter({
			...services,
			follower,
			appender: createAppender('snapshots'),
			holdsLease: () => leases.held.has(snapshotLeaseName),
		}),
	);
	const quarantine = parts.add(
		new QuarantineKeeper({...services, host: settings.host, control: follower}),
	);
	followTargetDeaths(follower, membership, quarantine, clock);
	const entry = parts.add(
		new EntryServer({
			gate,
			models: new ObservedModelGateway(
				new EngineModelGateway({
					...services,
					assigner: new LeastOutstandingAssigner(
						targets,
						() => follower.control.document,
					),
					targets,
					quarantine,
				}),
				observer,
			),
			services: new ObservedServiceGateway(
				new ClaimingServiceGateway({
					claims,
					targets,
					clock,
					random: services.random,
				}),
				observer,
			),
			limits: {
				bodyBytes: settings.limits.bodyBytes,
				headerBytes: settings.limits.headerBytes,
				connections: settings.limits.connections,
				requestTimeoutMilliseconds:
					settings.timeouts.requestReceiveMilliseconds,
			},
			clock,
			events,
			metrics: services.metrics,
			mintRequestId: () => timeOrderedUuid() as RequestId,
		}),
	);
	const operators = parts.add(
		new OperatorServer({
			backend: new HostOperatorBackend({
				...observer,
				host: settings.host,
				incarnation,
				failureDomain: settings.failureDomain,
				follower,
				membership,
				targets,
				gate,
				openOrderBytes: ({definition}) =>
					(follower.control.openIntents.get(definition.id) ?? []).reduce(
						(sum, intent) => sum + intent.bytes,
						0,
					),
			}),
			credentials: settings.operators,
			logger: events,
			limits: {
				documentBytes: settings.limits.documentBytes,
				headerBytes: settings.limits.headerBytes,
				connections: settings.limits.connections,
				requestTimeoutMilliseconds:
					settings.timeouts.requestReceiveMilliseconds,
			},
		}),
	);
	follower.start();
	claims.start();
	poller.start();
	membership.start();
	leases.start();
	snapshots.start();
	const ports = await listenAll(settings, entry, operators);
	if (ports.isErr()) {
		await parts.dispose();
		return err(ports.error);
	}

	const allPorts = {...ports.value, peers: peerPort.value};
	events.record(operatorEvents.hostStarted, allPorts);
	return ok(
		new RunningHost(allPorts, {
			owned: parts,
			gate,
			membership,
			leases,
			events,
			drainMilliseconds: settings.timeouts.drainMilliseconds,
		}),
	);
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

/** Puts each accepted document in force on this host. */
function followDocument(
	follower: LogFollower,
	gate: HostGate,
	targets: TargetDirectory,
): void {
	let inForce = 0 as Revision;
	const apply = () => {
		const {revision, document} = follower.control;
		if (!document || revision === inForce) {
			return;
		}

		inForce = revision;
		targets.applyDocument(document);
		gate.applyDocument(document);
	};

	follower.recordApplied.subscribe(apply);
	follower.stateRestored.subscribe(apply);
}

/** Tells the quarantine of the deaths that the log and the peers report. */
function followTargetDeaths(
	follower: LogFollower,
	membership: MembershipTask,
	quarantine: QuarantineKeeper,
	clock: Clock,
): void {
	follower.recordApplied.subscribe(({record, outcome}) => {
		const death = targetDiedSchema.safeParse(record.body);
		if (outcome.accepted && death.success) {
			quarantine.observe(death.data, clock.wall() - death.data.time);
		}
	});
	membership.heartbeatReceived.subscribe(({sightings}) => {
		for (const sighting of sightings) {
			quarantine.observe(
				{
					target: sighting.target as TargetId,
					targetIncarnation: sighting.targetIncarnation as TargetIncarnation,
					fingerprints: [sighting.fingerprint as Fingerprint],
				},
				0,
			);
		}
	});
}
