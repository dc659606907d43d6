import {type LogOffset, type RecordId} from '../contracts/ids.js';
import {
	type LogBatch,
	type LogRecord,
	type StoredRecord,
	type StreamBounds,
} from '../contracts/log-service.js';
import {TypedEvent} from '../base/common/typed-event.js';

type Stream = {
	records: StoredRecord[];
	next: number;
};

/** In-memory storage of append-only streams, with a limit on the number of records retained per stream. */
export class LogStore {
	/** Fires with the name of a stream to which records were appended. */
	readonly streamGrown = new TypedEvent<string>();
	private readonly streams = new Map<string, Stream>();

	constructor(private retainedRecords = Number.POSITIVE_INFINITY) {}

	/** Appends records and returns the offset of the first one. Does not deduplicate record ids. */
	append(name: string, records: readonly LogRecord[]): LogOffset {
		const stream = this.stream(name);
		const first = stream.next as LogOffset;
		for (const record of records) {
			stream.records.push({...record, offset: stream.next as LogOffset});
			stream.next++;
		}

		this.trim(stream);
		this.streamGrown.publish(name);
		return first;
	}

	/** Returns at most `limit` records from an offset on, or undefined when the offset is no longer retained. */
	read(name: string, from: number, limit: number): LogBatch | undefined {
		const {earliest, next} = this.bounds(name);
		if (from < earliest) {
			return undefined;
		}

		const records = this.stream(name).records.slice(
			from - earliest,
			from - earliest + limit,
		);
		return {
			records,
			next: Math.min(Math.max(from, next), from + records.length) as LogOffset,
		};
	}

	/** Returns the earliest retained offset of a stream and the offset of the next record. */
	bounds(name: string): StreamBounds {
		const stream = this.stream(name);
		return {
			earliest: (stream.next - stream.records.length) as LogOffset,
			next: stream.next as LogOffset,
		};
	}

	/** Changes the number of records retained per stream and removes older ones. */
	retain(records: number): void {
		this.retainedRecords = records;
		for (const stream of this.streams.values()) {
			this.trim(stream);
		}
	}

	/** Removes all records of a stream before an offset. */
	dropBefore(name: string, offset: number): void {
		const {earliest} = this.bounds(name);
		this.stream(name).records.splice(0, Math.max(0, offset - earliest));
	}

	/** Removes the records from an offset on, which is then given out again. Streams without an offset lose all records. */
	truncateTo(lengths: Readonly<Record<string, number>>): void {
		for (const [name, stream] of this.streams) {
			const {earliest} = this.bounds(name);
			const next = Math.max(earliest, lengths[name] ?? 0);
			stream.records.splice(next - earliest);
			stream.next = next;
		}
	}

	/** Returns the number of stored records with an id, which exceeds one after repeated appends. */
	occurrences(name: string, id: RecordId): number {
		return this.stream(name).records.filter((record) => record.id === id)
			.length;
	}

	private stream(name: string): Stream {
		let stream = this.streams.get(name);
		if (!stream) {
			stream = {records: [], next: 0};
			this.streams.set(name, stream);
		}

		return stream;
	}

	private trim(stream: Stream): void {
		const surplus = stream.records.length - this.retainedRecords;
		if (surplus > 0) {
			stream.records.splice(0, surplus);
		}
	}
}
