import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {v4 as uuid} from 'uuid';
import {
	backoffMilliseconds,
	type BackoffOptions,
} from '../base/common/backoff.js';
import {Disposable} from '../base/common/disposable.js';
import {wait} from '../base/node/wait.js';
import {agreementEvents} from '../contracts/events/agreement-events.js';
import {type LogOffset, type RecordId} from '../contracts/ids.js';
import {
	LogUnavailableError,
	type LogError,
	type LogRecord,
	type LogService,
	type StreamName,
} from '../contracts/log-service.js';
import {type ServiceOptions} from './service-options.js';

/** Options of the record appender. */
export type RecordAppenderOptions = ServiceOptions & {
	readonly log: LogService;
	/** Delay between attempts. */
	readonly retry?: BackoffOptions;
	readonly stream: StreamName;
	/** Time for a record from submission to confirmation, over all attempts. */
	readonly appendTimeoutMilliseconds?: number;
	/** Time for one attempt. A connection that went silent must not use up the deadline. */
	readonly attemptTimeoutMilliseconds?: number;
	readonly maximumBatchRecords?: number;
	readonly maximumQueuedRecords?: number;
	/** Wait for more records before an append. */
	readonly lingerMilliseconds?: number;
};

type QueuedRecord = {
	readonly record: LogRecord;
	readonly deadline: number;
	readonly resolve: (result: Result<LogOffset, LogError>) => void;
};

// Full attempts reach the deadline after about eight repetitions.
const defaultRetry = {initialMilliseconds: 50, maximumMilliseconds: 1000};

/** Appends the records of one host to one stream: in batches, in order, and again with the same id after a lost answer. */
export class RecordAppender extends Disposable {
	private readonly queue: QueuedRecord[] = [];
	private readonly stopping = new AbortController();
	private running: Promise<void> | undefined;

	constructor(private readonly options: RecordAppenderOptions) {
		super();
	}

	/** Returns a new record id. */
	createRecordId(): RecordId {
		return uuid() as RecordId;
	}

	/** Appends a record. After an error it may still be in the log. */
	append(record: LogRecord): ResultAsync<LogOffset, LogError> {
		return new ResultAsync(
			new Promise<Result<LogOffset, LogError>>((resolve) => {
				const maximum = this.options.maximumQueuedRecords ?? 10_000;
				if (this.stopping.signal.aborted || this.queue.length >= maximum) {
					resolve(
						err(
							new LogUnavailableError(
								'the append queue is full or the host is stopping',
							),
						),
					);
					return;
				}

				const deadline =
					this.options.clock.monotonic() +
					(this.options.appendTimeoutMilliseconds ?? 10_000);
				this.queue.push({record, deadline, resolve});
				this.running ??= this.run();
			}),
		);
	}

	async dispose(): Promise<void> {
		this.stopping.abort();
		await this.running;
	}

	private async run(): Promise<void> {
		await wait(this.options.lingerMilliseconds ?? 2, this.stopping.signal);
		let attempt = 0;
		while (this.queue.length > 0) {
			this.abandonExpired();
			const batch = this.queue.slice(
				0,
				this.options.maximumBatchRecords ?? 200,
			);
			if (batch.length === 0) {
				break;
			}

			const result = await this.attempt(batch.map((item) => item.record));
			if (result.isOk()) {
				attempt = 0;
				this.queue.splice(0, batch.length);
				for (const [index, item] of batch.entries()) {
					item.resolve(ok((result.value + index) as LogOffset));
				}

				continue;
			}

			this.options.events.record(agreementEvents.appendFailed, {
				stream: this.options.stream,
				records: batch.length,
				attempt,
				error: result.error.message,
			});
			if (this.stopping.signal.aborted) {
				this.abandon(this.queue.splice(0), 'the host is stopping');
				break;
			}

			await wait(
				backoffMilliseconds(
					attempt,
					this.options.retry ?? defaultRetry,
					this.options.random,
				),
				this.stopping.signal,
			);
			attempt++;
		}

		this.running = undefined;
	}

	private async attempt(
		records: readonly LogRecord[],
	): Promise<Result<LogOffset, LogError>> {
		const {log, stream, metrics, clock} = this.options;
		const started = clock.monotonic();
		const timer = new AbortController();
		const timeout = async (): Promise<Result<LogOffset, LogError>> => {
			await wait(this.options.attemptTimeoutMilliseconds ?? 3000, timer.signal);
			return err(new LogUnavailableError('the append was not answered'));
		};

		const result = await Promise.race([log.append(stream, records), timeout()]);
		timer.abort();
		metrics.count('daisylever_log_appends_total', {
			stream,
			result: result.isOk() ? 'confirmed' : 'failed',
		});
		metrics.observe(
			'daisylever_log_append_milliseconds',
			clock.monotonic() - started,
			{stream},
		);
		return result;
	}

	private abandonExpired(): void {
		const now = this.options.clock.monotonic();
		const kept: QueuedRecord[] = [];
		const expired: QueuedRecord[] = [];
		for (const item of this.queue) {
			(item.deadline <= now ? expired : kept).push(item);
		}

		if (expired.length > 0) {
			this.queue.splice(0, this.queue.length, ...kept);
			this.abandon(expired, 'not confirmed before the deadline');
		}
	}

	private abandon(items: readonly QueuedRecord[], reason: string): void {
		if (items.length === 0) {
			return;
		}

		this.options.events.record(agreementEvents.appendAbandoned, {
			stream: this.options.stream,
			records: items.length,
			reason,
		});
		for (const item of items) {
			item.resolve(err(new LogUnavailableError(reason)));
		}
	}
}
