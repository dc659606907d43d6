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

/** In-memory log service with faults that tests enable and disable. */
export class MemoryLogService extends LogService {
	/** Number of stored records over all streams, including those removed by retention. */
	appendedRecords = 0;
	/** Number of append calls, including failed ones. */
	appendCalls = 0;

	private readonly streams = new Map<StreamName, Stream>();
	private readonly waiters = new Set<() => void>();
	private changeCount = 0;
	private outage = false;
	private responsesToLose = 0;
	private delayMilliseconds = 0;
	private retention = Number.POSITIVE_INFINITY;

	/** Starts or ends an outage, in which all calls, including waiting reads, fail without effect. */
	setOutage(outage: boolean): void {
		this.outage = outage;
		this.wakeWaiters();
	}

	/** Makes the next `count` appends take effect but report a failure. */
	loseAppendResponses(count: number): void {
		this.responsesToLose = count;
	}

	/** Delays the effect and the response of all later calls. */
	setDelay(milliseconds: number): void {
		this.delayMilliseconds = milliseconds;
	}

	/** Limits the number of records retained per stream and removes older ones. */
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
				// Readers must not observe later changes that the appender makes to the object.
				body: structuredClone(record.body),
				offset: (first + index) as LogOffset,
			});
		}

		this.appendedRecords += records.length;
		this.trim(stream);
		this.wakeWaiters();
		if (this.responsesToLose > 0) {
			this.responsesToLose--;
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
		let {changeCount} = this;
		const result = await this.delayed(() => {
			changeCount = this.changeCount;
			return this.readNow(stream, from, options.limit);
		});
		const isDone = result.isErr() || result.value.records.length > 0;
		if (isDone || options.waitMilliseconds <= 0) {
			return result;
		}

		// Waiting would miss a change that happened after the read.
		if (changeCount === this.changeCount && !signal?.aborted) {
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

	private wakeWaiters(): void {
		this.changeCount++;
		for (const waiter of this.waiters) {
			waiter();
		}
	}

	private unavailable(): LogUnavailableError {
		return new LogUnavailableError('the log service did not answer');
	}
}
