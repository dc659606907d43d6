import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {type RandomSource} from '../../../base/common/random-source.js';
import {wait} from '../../../base/node/wait.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {
	StoreRestoredError,
	type SharedStoreError,
	type StorePosition,
	type StreamLog,
} from '../../../contracts/shared-store.js';
import {LogLimiter} from '../../../core/limits/log-limiter.js';
import {type StreamOriginSharing} from './stream-origin-sharing.js';

/** Options of the stream recorder. */
export type StreamRecorderOptions = {
	readonly log: StreamLog;
	readonly streams: StreamOriginSharing;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	/** Who has to write the streams that this host knows: this host, as one of few, another one, or each host for itself. */
	readonly writer: () => StreamWriter;
	readonly hostCount: () => number;
};

/** Who writes streams to the store. */
export type StreamWriter = 'this-host' | 'receiver' | 'each-host';

/** Interval of the writes of a host to which others report. */
const writeIntervalMilliseconds = 500;
/** Writes and reads a second of all hosts together while each one calls the store for itself. */
const callsPerSecond = 20;
const logIntervalMilliseconds = 60_000;
/** Characters of the reason in a log line. */
const maximumReasonLength = 300;

/**
 * Keeps the software versions at which streams began in the store, so that they outlive the hosts that know them. The
 * hosts to which others report write them, while all targets have one version nothing is written. They are read only
 * when a stream is taken up that no host knows.
 */
export class StreamRecorder extends Disposable {
	private readonly abort = new AbortController();
	private readonly failureLog: LogLimiter;
	private writtenRevision = 0;
	private position: StorePosition | undefined;
	private readStartedAt = Number.NEGATIVE_INFINITY;
	private pendingRead: Promise<void> | undefined;

	constructor(private readonly options: StreamRecorderOptions) {
		super();
		this.failureLog = new LogLimiter({
			clock: options.clock,
			intervalMilliseconds: logIntervalMilliseconds,
			maximumLines: 2,
		});
	}

	/** Writes new streams until disposed. */
	async run(): Promise<void> {
		const {signal} = this.abort;
		while (!signal.aborted) {
			await wait(this.writeDelay(), signal);
			if (!signal.aborted && this.options.writer() !== 'receiver') {
				await this.write();
			}
		}
	}

	/** Reads what was written since the last read, unless that was a moment ago. Calls during a read wait for the same one. */
	async read(): Promise<void> {
		const now = this.options.clock.monotonic();
		if (this.pendingRead) {
			return this.pendingRead;
		}

		if (now - this.readStartedAt < this.sharedInterval) {
			return;
		}

		this.readStartedAt = now;
		this.pendingRead = this.readLog();
		await this.pendingRead;
		this.pendingRead = undefined;
	}

	/** Forgets what the store had, which was restored from a copy, so that everything is written and read again. */
	handleRestore(): void {
		this.writtenRevision = 0;
		this.position = undefined;
	}

	dispose(): void {
		this.abort.abort();
	}

	/** Interval at which this host may call the store while all hosts do so. */
	private get sharedInterval(): number {
		return Math.max(
			writeIntervalMilliseconds,
			(this.options.hostCount() * 1000) / callsPerSecond,
		);
	}

	private writeDelay(): number {
		if (this.options.writer() !== 'each-host') {
			return writeIntervalMilliseconds;
		}

		// Hosts that lose the same receiver do not all write at once.
		return this.sharedInterval * (0.5 + this.options.random.next());
	}

	private async write(): Promise<void> {
		const {log, streams, metrics} = this.options;
		const {origins, revision} = streams.changesForStore(this.writtenRevision);
		if (origins.length === 0) {
			return;
		}

		const written = await log.append(origins);
		metrics.count('daisylever_stream_records_total', {
			result: written.isOk() ? 'written' : 'failed',
		});
		if (written.isErr()) {
			this.logFailure('write', written.error);
			return;
		}

		this.writtenRevision = revision;
	}

	private async readLog(): Promise<void> {
		const {log, streams, metrics} = this.options;
		for (;;) {
			const from = this.position;
			const result = await log.read(from);
			metrics.count('daisylever_stream_reads_total');
			if (result.isErr()) {
				if (result.error instanceof StoreRestoredError) {
					this.handleRestore();
				}

				this.logFailure('read', result.error);
				return;
			}

			this.position = result.value.next;
			streams.recordStored(result.value.origins);
			if (result.value.origins.length === 0) {
				return;
			}
		}
	}

	private logFailure(call: 'read' | 'write', error: SharedStoreError): void {
		const omittedLines = this.failureLog.admit(call);
		if (omittedLines !== undefined) {
			this.options.events.record(forwardingEvents.streamsNotStored, {
				call,
				reason: error.message.slice(0, maximumReasonLength),
				omittedLines,
			});
		}
	}
}
