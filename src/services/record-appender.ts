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

/** Options of a record appender. */
export type RecordAppenderOptions = ServiceOptions & {
	readonly log: LogService;
	/** Backoff between attempts. Default: 50 ms to 1 s. */
	readonly retry?: BackoffOptions;
	readonly stream: StreamName;
	/** Maximum time from the submission of a record to its confirmation, over all attempts. Default: 10,000. */
	readonly appendTimeoutMilliseconds?: number;
	/** Timeout of one attempt, so that a connection that no longer receives data does not use up the deadline. Default: 3000. */
	readonly attemptTimeoutMilliseconds?: number;
	/** Maximum number of records in one append. Default: 200. */
	readonly maximumBatchRecords?: number;
	/** Maximum number of records in the queue. Further ones are refused. Default: 10,000. */
	readonly maximumQueuedRecords?: number;
	/** How long the first append of an idle appender waits for more records. Default: 2. */
	readonly lingerMilliseconds?: number;
};

type QueuedRecord = {
	readonly record: LogRecord;
	/** Monotonic time in milliseconds. */
	readonly deadline: number;
	readonly resolve: (result: Result<LogOffset, LogError>) => void;
};

// If every attempt uses its full timeout, the deadline is reached after about eight repetitions.
const defaultRetry = {initialMilliseconds: 50, maximumMilliseconds: 1000};

/**
 * Appends the records of one host to one stream, in order and in batches.
 * An append without a response is repeated with the same record ids.
 */
export class RecordAppender extends Disposable {
	private readonly queue: QueuedRecord[] = [];
	private readonly stopController = new AbortController();
	private running: Promise<void> | undefined;

	constructor(private readonly options: RecordAppenderOptions) {
		super();
	}

	/** Returns a new unique record id. */
	createRecordId(): RecordId {
		return uuid() as RecordId;
	}

	/** Appends a record and resolves with its offset. After an error the record may still be in the log. */
	append(record: LogRecord): ResultAsync<LogOffset, LogError> {
		return new ResultAsync(
			new Promise<Result<LogOffset, LogError>>((resolve) => {
				const maximum = this.options.maximumQueuedRecords ?? 10_000;
				if (
					this.stopController.signal.aborted ||
					this.queue.length >= maximum
				) {
					resolve(
						err(
							new LogUnavailableError(
								`The append queue of ${maximum} records is full or the host is stopping.`,
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
		this.stopController.abort();
		await this.running;
	}

	private async run(): Promise<void> {
		await wait(
			this.options.lingerMilliseconds ?? 2,
			this.stopController.signal,
		);
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

			const result = await this.tryAppend(batch.map((item) => item.record));
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
			if (this.stopController.signal.aborted) {
				this.abandon(this.queue.splice(0), 'The host is stopping.');
				break;
			}

			await wait(
				backoffMilliseconds(
					attempt,
					this.options.retry ?? defaultRetry,
					this.options.random,
				),
				this.stopController.signal,
			);
			attempt++;
		}

		this.running = undefined;
	}

	private async tryAppend(
		records: readonly LogRecord[],
	): Promise<Result<LogOffset, LogError>> {
		const {log, stream, metrics, clock} = this.options;
		const started = clock.monotonic();
		const attemptController = new AbortController();
		const timeout = async (): Promise<Result<LogOffset, LogError>> => {
			const timeoutMilliseconds =
				this.options.attemptTimeoutMilliseconds ?? 3000;
			await wait(timeoutMilliseconds, attemptController.signal);
			return err(
				new LogUnavailableError(
					`The log did not respond to an append within ${timeoutMilliseconds} ms.`,
				),
			);
		};

		const result = await Promise.race([log.append(stream, records), timeout()]);
		attemptController.abort();
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
		const remaining: QueuedRecord[] = [];
		const expired: QueuedRecord[] = [];
		for (const item of this.queue) {
			(item.deadline <= now ? expired : remaining).push(item);
		}

		if (expired.length > 0) {
			this.queue.splice(0, this.queue.length, ...remaining);
			this.abandon(
				expired,
				'The log did not confirm the append before its deadline.',
			);
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
