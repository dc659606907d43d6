/** One server-sent event with its bytes as received. */
export type StreamEvent = {
	/** Numeric id of the event, or undefined when the event has none. */
	readonly id: number | undefined;
	/** The whole event, including the blank line that ends it. */
	readonly bytes: Buffer;
};

/** Largest size of an event. A target in trouble may send bytes without end, which would otherwise fill the memory of the host. */
const maximumEventBytes = 262_144;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Splits the bytes of a server-sent event stream into complete events. The incomplete event at the end of an
 * interrupted stream is held back, because the target that resumes the stream sends it again from its beginning.
 */
export class EventStreamSplitter {
	private pending: Buffer = Buffer.alloc(0);

	/** Bytes of the incomplete event at the end of the stream. */
	get remainder(): Buffer {
		return this.pending;
	}

	/** True when the bytes after the last complete event are more than any event has. */
	get isOversized(): boolean {
		return this.pending.length > maximumEventBytes;
	}

	/** Appends received bytes and returns the events that they complete. */
	push(chunk: Buffer): StreamEvent[] {
		const bytes =
			this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
		const events: StreamEvent[] = [];
		let start = 0;
		let end = findEventEnd(bytes, start);
		while (end !== undefined) {
			const event = bytes.subarray(start, end);
			events.push({id: parseId(event), bytes: event});
			start = end;
			end = findEventEnd(bytes, start);
		}

		this.pending = bytes.subarray(start);
		return events;
	}
}

/** Returns the index after the blank line that ends the event, or undefined when the event is incomplete. */
function findEventEnd(bytes: Buffer, start: number): number | undefined {
	let index = bytes.indexOf(lineFeed, start);
	while (index !== -1) {
		const next = bytes[index + 1];
		if (next === lineFeed) {
			return index + 2;
		}

		if (next === carriageReturn && bytes[index + 2] === lineFeed) {
			return index + 3;
		}

		index = bytes.indexOf(lineFeed, index + 1);
	}

	return undefined;
}

/** Parses the `id` field of an event. Accepts up to 15 digits, which a number represents exactly. */
function parseId(event: Buffer): number | undefined {
	const match = /^id: ?(\d{1,15})\r?$/m.exec(event.toString('latin1'));
	return match ? Number(match[1]) : undefined;
}
