/** One event of a stream with the bytes as they came. */
export type StreamEvent = {
	/** Number of the event, absent when the event states none. */
	readonly id: number | undefined;
	readonly bytes: Buffer;
};

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Cuts the bytes of an event stream into whole events. A stream that breaks in the middle of an event
 * leaves its beginning behind, which must not be passed on when the stream is resumed elsewhere.
 */
export class EventStreamSplitter {
	private rest: Buffer = Buffer.alloc(0);

	/** Bytes of an event that is not whole yet. */
	get remainder(): Buffer {
		return this.rest;
	}

	/** Takes in bytes and returns the events that are whole now. */
	push(chunk: Buffer): StreamEvent[] {
		const bytes =
			this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
		const events: StreamEvent[] = [];
		let start = 0;
		let end = endOfEvent(bytes, start);
		while (end !== undefined) {
			const event = bytes.subarray(start, end);
			events.push({id: idOf(event), bytes: event});
			start = end;
			end = endOfEvent(bytes, start);
		}

		this.rest = bytes.subarray(start);
		return events;
	}
}

/** Index after the empty line that ends an event. */
function endOfEvent(bytes: Buffer, start: number): number | undefined {
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

function idOf(event: Buffer): number | undefined {
	const match = /^id: ?(\d{1,15})\r?$/m.exec(event.toString('latin1'));
	return match ? Number(match[1]) : undefined;
}
