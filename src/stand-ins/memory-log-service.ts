import {errAsync, okAsync, ResultAsync, type Result, ok, err} from 'neverthrow';
import {type LogOffset} from '../contracts/ids.js';
import {
	LogService,
	LogTruncatedError,
	LogUnavailableError,
	type LogBatch,
	type LogError,
	type LogRecord,
	type StoredRecord,
	type StreamBounds,
	type StreamName,
} from '../contracts/log-service.js';

type Stream = {earliest: number; records: StoredRecord[]};

/** A log service in memory with faults that tests switch on and off. */
export class MemoryLogService extends LogService {
	/** Number of records that took effect, over all streams. */
	appendedRecords = 0;
	/** Number of append calls, failed ones included. */
	appendCalls = 0;

	private readonly streams = new Map<StreamName, Stream>();
	private readonly waiters = new Set<() => void>();
	private changes = 0;
	private outage = false;
	private answersToLose = 0;
	private delayMilliseconds = 0;
	private retention = Number.POSITIVE_INFINITY;

	/** Starts or ends an outage: all calls fail without effect, waiting reads included. */
	setOutage(outage: boolean): void {
		this.outage = outage;
		this.wake();
	}

	/** Makes the next appends take effect and then report a failure. */
	loseAppendResponses(count: number): void {
		this.answersToLose = count;
	}

	/** Delays the effect and the answer of each later call. */
	setDelay(milliseconds: number): void {
		this.delayMilliseconds = milliseconds;
	}

	/** Keeps at most this many records in each stream. */
	setRetention(records: number): void {
		this.retention = records;
		for (const stream of this.streams.values()) {
			this.trim(stream);
		}
	}

	append(
		stream: StreamName,
		records: readonly LogRecord[],
	): ResultAsync<LogOffset, LogError> {
		this.appendCalls++;
		return this.delayed(() => this.appendNow(stream, records));
	}

	read(
		stream: StreamName,
		from: LogOffset,
		options: {readonly limit: number; readonly waitMilliseconds: number},
		signal?: AbortSignal,
	): ResultAsync<LogBatch, LogError> {
		return new ResultAsync(this.readOrWait(stream, from, options, signal));
	}

	readBounds(stream: StreamName): ResultAsync<StreamBounds, LogError> {
		return this.delayed(() => {
			if (this.outage) {
				return err(this.unavailable());
			}

			const {earliest, records} = this.stream(stream);
			return ok({
				earliest: earliest as LogOffset,
				next: (earliest + records.length) as LogOffset,
			});
		});
	}

	private appendNow(
		name: StreamName,
		records: readonly LogRecord[],
	): Result<LogOffset, LogError> {
		if (this.outage) {
			return err(this.unavailable());
		}

		const stream = this.stream(name);
		const first = stream.earliest + stream.records.length;
		for (const [index, record] of records.entries()) {
			stream.records.push({
				id: record.id,
				// A later change by the appender must not reach the readers.
				body: structuredClone(record.body),
				offset: (first + index) as LogOffset,
			});
		}

		this.appendedRecords += records.length;
		this.trim(stream);
		this.wake();
		if (this.answersToLose > 0) {
			this.answersToLose--;
			return err(this.unavailable());
		}

		return ok(first as LogOffset);
	}

	private async readOrWait(
		stream: StreamName,
		from: LogOffset,
		options: {readonly limit: number; readonly waitMilliseconds: number},
		signal?: AbortSignal,
	): Promise<Result<LogBatch, LogError>> {
		let {changes} = this;
		const result = await this.delayed(() => {
			changes = this.changes;
			return this.readNow(stream, from, options.limit);
		});
		const isDone = result.isErr() || result.value.records.length > 0;
		if (isDone || options.waitMilliseconds <= 0) {
			return result;
		}

		// A change between the read and the wait must not be missed.
		if (changes === this.changes && !signal?.aborted) {
			await this.waitForChange(options.waitMilliseconds, signal);
		}

		return this.readNow(stream, from, options.limit);
	}

	private readNow(
		name: StreamName,
		from: LogOffset,
		limit: number,
	): Result<LogBatch, LogError> {
		if (this.outage) {
			return err(this.unavailable());
		}

		const {earliest, records} = this.stream(name);
		if (from < earliest) {
			return err(new LogTruncatedError(earliest as LogOffset));
		}

		const batch = records.slice(from - earliest, from - earliest + limit);
		return ok({
			records: batch,
			next: (from + batch.length) as LogOffset,
		});
	}

	private delayed<T>(
		action: () => Result<T, LogError>,
	): ResultAsync<T, LogError> {
		if (this.delayMilliseconds === 0) {
			const result = action();
			return result.isOk() ? okAsync(result.value) : errAsync(result.error);
		}

		return new ResultAsync(
			new Promise((resolve) => {
				setTimeout(() => {
					resolve(action());
				}, this.delayMilliseconds);
			}),
		);
	}

	private async waitForChange(
		milliseconds: number,
		signal?: AbortSignal,
	): Promise<void> {
		return new Promise((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				this.waiters.delete(finish);
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, milliseconds);
			this.waiters.add(finish);
			signal?.addEventListener('abort', finish);
		});
	}

	private stream(name: StreamName): Stream {
		const existing = this.streams.get(name);
		if (existing) {
			return existing;
		}

		const created: Stream = {earliest: 0, records: []};
		this.streams.set(name, created);
		return created;
	}

	private trim(stream: Stream): void {
		const surplus = stream.records.length - this.retention;
		if (surplus > 0) {
			stream.records.splice(0, surplus);
			stream.earliest += surplus;
		}
	}

	private wake(): void {
		this.changes++;
		for (const waiter of this.waiters) {
			waiter();
		}
	}

	private unavailable(): LogUnavailableError {
		return new LogUnavailableError('the log service did not answer');
	}
}
