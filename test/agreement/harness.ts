import assert from 'node:assert/strict';
import {setImmediate as yieldToLoop} from 'node:timers/promises';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {type Clock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {SystemClock} from '../../src/base/node/system-clock.js';
import {
	type HostId,
	type IncarnationId,
	type LeaseName,
	type LogOffset,
} from '../../src/contracts/ids.js';
import {
	LogService,
	type LogRecord,
	type LogBatch,
	type StreamName,
} from '../../src/contracts/log-service.js';
import {SchemaOnlyDocumentValidator} from '../../src/core/documents/document-validator.js';
import {LogFollower} from '../../src/services/log-follower.js';
import {
	PeerError,
	PeerRecordSource,
} from '../../src/services/peer-record-source.js';
import {RecordAppender} from '../../src/services/record-appender.js';
import {SnapshotWriter} from '../../src/services/snapshot-writer.js';

export const planLease = 'plan/engines' as LeaseName;
export const groupLease = 'group/engines/north' as LeaseName;

/** Returns a valid document with the given model. */
export function sampleDocument(model = 'base'): unknown {
	return {
		schema: 1,
		pools: [
			{
				name: 'engines',
				kind: 'engine',
				targets: [
					{
						id: 'engine-1',
						address: 'http://127.0.0.1:1',
						failureDomain: 'north',
						memoryBytes: 100,
					},
				],
			},
		],
		models: [{id: model, pool: 'engines', bytes: 10}],
		callerClasses: [{name: 'standard', urgency: 'standard'}],
		weightStore: {
			loadsPerSecond: 1,
			concurrentLoads: 1,
			concurrentAdapterLoads: 1,
		},
	};
}

/** Waits until a condition holds. Fails with the description after the timeout. */
export async function waitUntil(
	condition: () => boolean,
	description: string,
	timeoutMilliseconds = 10_000,
): Promise<void> {
	const deadline = performance.now() + timeoutMilliseconds;
	while (!condition()) {
		assert.ok(performance.now() < deadline, `Timed out: ${description}`);
		await yieldToLoop();
	}
}

/** The shared log as accessed by one host. Calls of a paused host wait until it is resumed. */
export class PausableLogService extends LogService {
	private gate: Promise<void> | undefined;
	private release: (() => void) | undefined;

	constructor(private readonly shared: LogService) {
		super();
	}

	get isPaused(): boolean {
		return this.gate !== undefined;
	}

	pause(): void {
		this.gate ??= new Promise((resolve) => {
			this.release = resolve;
		});
	}

	resume(): void {
		this.gate = undefined;
		this.release?.();
	}

	append(stream: StreamName, records: readonly LogRecord[]) {
		return this.waitForResume(() => this.shared.append(stream, records));
	}

	read(
		stream: StreamName,
		from: LogOffset,
		options: {limit: number; waitMilliseconds: number},
		signal?: AbortSignal,
	) {
		return this.waitForResume(() =>
			this.shared.read(stream, from, options, signal),
		).andThen((batch) => this.waitForResume(() => okAsync(batch)));
	}

	readBounds(stream: StreamName) {
		return this.waitForResume(() => this.shared.readBounds(stream));
	}

	private waitForResume<T, E>(
		action: () => ResultAsync<T, E>,
	): ResultAsync<T, E> {
		return this.gate
			? new ResultAsync(this.gate.then(async () => action()))
			: action();
	}
}

/** Peer record source of a host without peers. */
export class EmptyPeerRecordSource extends PeerRecordSource {
	records(): ResultAsync<LogBatch, PeerError> {
		return errAsync(new PeerError('no peers'));
	}

	snapshot(): ResultAsync<unknown, PeerError> {
		return errAsync(new PeerError('no peers'));
	}
}

let startedHosts = 0;

/** Log follower, appenders and snapshot writer of one incarnation of a host. Snapshots are written only by explicit ticks. */
export class TestHost {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly log: PausableLogService;
	readonly follower: LogFollower;
	readonly snapshots: SnapshotWriter;
	readonly common;
	private readonly appenders: RecordAppender[];

	constructor(
		shared: LogService,
		name: string,
		options: {
			peers?: PeerRecordSource;
			clock?: Clock;
			longPollMilliseconds?: number;
			maximumRetainedRecords?: number;
		} = {},
	) {
		startedHosts++;
		this.host = name as HostId;
		this.incarnation = `${name}-run-${startedHosts}` as IncarnationId;
		this.log = new PausableLogService(shared);
		this.common = {
			clock: options.clock ?? new SystemClock(),
			random: new SeededRandomSource(startedHosts),
			events: new NullEventLogger(),
			metrics: new NullMetricRegistry(),
		};
		const retry = {initialMilliseconds: 1, maximumMilliseconds: 4};
		const appender = (stream: StreamName) =>
			new RecordAppender({
				...this.common,
				log: this.log,
				stream,
				retry,
				lingerMilliseconds: 0,
				attemptTimeoutMilliseconds: 200,
			});
		this.appenders = [appender('control'), appender('snapshots')];
		this.follower = new LogFollower({
			...this.common,
			log: this.log,
			appender: this.appenders[0]!,
			validator: new SchemaOnlyDocumentValidator(),
			peers: options.peers ?? new EmptyPeerRecordSource(),
			retry,
			readLimit: 7,
			longPollMilliseconds: options.longPollMilliseconds ?? 50,
			...(options.maximumRetainedRecords !== undefined && {
				maximumRetainedRecords: options.maximumRetainedRecords,
			}),
		});
		this.snapshots = new SnapshotWriter({
			...this.common,
			follower: this.follower,
			appender: this.appenders[1]!,
			holdsLease: () => true,
			recordInterval: 1,
		});
		this.follower.start();
	}

	get control() {
		return this.follower.control;
	}

	/** Submits a document based on the revision in force on this host. */
	edit(model: string) {
		return this.follower.submit({
			kind: 'document-submitted',
			expectedRevision: this.control.revision,
			operator: this.host,
			summary: model,
			time: 0,
			document: sampleDocument(model),
		});
	}

	/** Claims a lease based on the last record of the lease that this host has applied. */
	claim(lease: LeaseName) {
		return this.follower.submit({
			kind: 'lease-claimed',
			lease,
			holder: this.host,
			incarnation: this.incarnation,
			expectedOffset: this.control.leases.get(lease)?.lastOffset ?? null,
			reason: 'test',
			time: 0,
		});
	}

	async dispose(): Promise<void> {
		this.log.resume();
		await this.follower.dispose();
		for (const appender of this.appenders) {
			await appender.dispose();
		}
	}
}
