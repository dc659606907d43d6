import {randomInt} from 'node:crypto';
import {errAsync, type ResultAsync} from 'neverthrow';
import {v7 as timeOrderedUuid, v4 as uuid} from 'uuid';
import {DisposableStore} from '../base/common/disposable.js';
import {SeededRandomSource} from '../base/common/random-source.js';
import {SystemClock} from '../base/node/system-clock.js';
import {HttpLogService} from '../adapters/node/http-log-service.js';
import {HttpTargetConnector} from '../adapters/node/http-target-connector.js';
import {operatorEvents} from '../contracts/events/operator-events.js';
import {
	type IncarnationId,
	type RequestId,
	type Revision,
} from '../contracts/ids.js';
import {type LogBatch, type StreamName} from '../contracts/log-service.js';
import {SchemaOnlyDocumentValidator} from '../core/document-validator.js';
import {snapshotLeaseName} from '../core/lease-names.js';
import {ClaimKeeper} from '../services/entry/claim-keeper.js';
import {ClaimingServiceGateway} from '../services/entry/claiming-service-gateway.js';
import {EngineModelGateway} from '../services/entry/engine-model-gateway.js';
import {EntryServer} from '../services/entry/entry-server.js';
import {HostGate} from '../services/entry/host-gate.js';
import {LogClaimAppender} from '../services/entry/log-claim-appender.js';
import {HistogramMetricRegistry} from '../services/histogram-metric-registry.js';
import {LeaseKeeper} from '../services/lease-keeper.js';
import {LogFollower} from '../services/log-follower.js';
import {PeerError, PeerRecordSource} from '../services/peer-record-source.js';
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

/** Ports that a running host listens on. */
export type HostPorts = {
	readonly callers: number;
};

/** A host that serves. */
export class RunningHost {
	constructor(
		readonly ports: HostPorts,
		private readonly parts: DisposableStore,
		private readonly gate: HostGate,
		private readonly drainMilliseconds: number,
	) {}

	/** Takes no new work, lets running requests end, and releases everything. */
	async stop(): Promise<void> {
		this.gate.stop();
		const limit = new AbortController();
		const timer = setTimeout(() => {
			limit.abort();
		}, this.drainMilliseconds);
		await Promise.race([
			this.gate.idle(),
			new Promise<void>((resolve) => {
				limit.signal.addEventListener('abort', () => {
					resolve();
				});
			}),
		]);
		clearTimeout(timer);
		await this.parts.dispose();
	}
}

/** Builds all parts of a host and starts them. */
export async function startHost(settings: Settings): Promise<RunningHost> {
	const parts = new DisposableStore();
	const clock = new SystemClock();
	const incarnation = uuid() as IncarnationId;
	const events = new WinstonEventLogger({
		level: settings.log.level,
		format: settings.log.format,
		secrets: [settings.peerSecret],
		fields: {host: settings.host, incarnation},
	});
	const services: ServiceOptions = {
		clock,
		random: new SeededRandomSource(randomInt(seedRange)),
		events,
		metrics: new HistogramMetricRegistry(),
	};
	const log = parts.add(
		new HttpLogService({
			address: settings.platform.logService,
			answerTimeoutMilliseconds: settings.timeouts.platformMilliseconds,
		}),
	);
	const createAppender = (stream: StreamName) =>
		parts.add(new RecordAppender({...services, log, stream}));
	const follower = parts.add(
		new LogFollower({
			...services,
			log,
			appender: createAppender('control'),
			validator: new SchemaOnlyDocumentValidator(),
			peers: new NoPeerRecordSource(),
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
			incarnations: {isLive: () => true},
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
	const poller = parts.add(
		new ReportPoller(targets, reportIntervalMilliseconds, () => true),
	);
	const leases = parts.add(
		new LeaseKeeper({
			...services,
			host: settings.host,
			incarnation,
			follower,
			liveHosts: () => [settings.host],
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
	const entry = parts.add(
		new EntryServer({
			gate,
			models: new EngineModelGateway(
				new LeastOutstandingAssigner(
					targets,
					() => follower.control.document,
				),
				clock,
			),
			services: new ClaimingServiceGateway({
				claims,
				targets,
				clock,
				random: services.random,
			}),
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
	follower.start();
	claims.start();
	poller.start();
	leases.start();
	snapshots.start();
	const {callers} = settings.listen;
	const ports = {
		callers: await entry.listen(callers.port, callers.address),
	};
	events.record(operatorEvents.hostStarted, ports);
	return new RunningHost(
		ports,
		parts,
		gate,
		settings.timeouts.drainMilliseconds,
	);
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

class NoPeerRecordSource extends PeerRecordSource {
	records(): ResultAsync<LogBatch, PeerError> {
		return errAsync(new PeerError('there are no peers'));
	}

	snapshot(): ResultAsync<unknown, PeerError> {
		return errAsync(new PeerError('there are no peers'));
	}
}
