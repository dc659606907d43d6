import {type ResultAsync} from 'neverthrow';
import {type LogOffset, type RecordId} from './ids.js';

/** The streams of the log. */
export type StreamName = 'control' | 'claims' | 'snapshots';

/** A record to append. */
export type LogRecord = {
	readonly id: RecordId;
	readonly body: unknown;
};

/** A record with its offset in the stream. */
export type StoredRecord = LogRecord & {
	readonly offset: LogOffset;
};

/** Records from one read and the offset to read from next. */
export type LogBatch = {
	readonly records: readonly StoredRecord[];
	readonly next: LogOffset;
};

/** The retained part of a stream: `earliest` is the first retained offset, `next` that of the next append. */
export type StreamBounds = {
	readonly earliest: LogOffset;
	readonly next: LogOffset;
};

/** A failure of the log service. */
export abstract class LogError extends Error {}

/** The log service did not respond. An append may or may not have taken effect. */
export class LogUnavailableError extends LogError {
	override readonly name = 'LogUnavailableError';
}

/**
 * The log service was restored from a copy while this process used it, so records that it had confirmed may be lost and
 * their offsets are given out again. Nothing that this process knows of the log holds any more. It treats the log as
 * unavailable until it ends.
 */
export class LogRestoredError extends LogError {
	override readonly name = 'LogRestoredError';
}

/** The requested offset is no longer retained. */
export class LogTruncatedError extends LogError {
	override readonly name = 'LogTruncatedError';

	/** `earliest` is the first retained offset. */
	constructor(readonly earliest: LogOffset) {
		super(`the log retains no records before offset ${earliest}`);
	}
}

/** The log service sent a response that violates its protocol. */
export class LogProtocolError extends LogError {
	override readonly name = 'LogProtocolError';
}

/** A client for the platform's append-only log. */
export abstract class LogService {
	/**
	 * Appends records in order and returns the offset of the first one.
	 * After an error the append may still have taken effect: repeat it with the same record ids.
	 */
	abstract append(
		stream: StreamName,
		records: readonly LogRecord[],
	): ResultAsync<LogOffset, LogError>;

	/** Reads up to `limit` records from an offset on. Waits up to `waitMilliseconds` when there are none yet. */
	abstract read(
		stream: StreamName,
		from: LogOffset,
		options: {readonly limit: number; readonly waitMilliseconds: number},
		signal?: AbortSignal,
	): ResultAsync<LogBatch, LogError>;

	/** Returns the retained part of a stream. */
	abstract readBounds(stream: StreamName): ResultAsync<StreamBounds, LogError>;
}
