/** Payload from which a chunk costs little to parse in comparison. */
const chunkPayloadBytes = 64;
/** Chunks in excess up to which a body is not fragmented. */
const excessAllowance = 256;

/** Counts what the chunks of a body cost to parse beyond the payload that they carry. */
export class ChunkCost {
	private chunks = 0;
	private payloadBytes = 0;

	/** Counts a chunk with its payload. */
	add(payloadBytes: number): void {
		this.chunks++;
		this.payloadBytes += payloadBytes;
	}

	/** Chunks in excess of one for each 64 bytes of payload. */
	get excessChunks(): number {
		return Math.max(0, this.chunks - this.payloadBytes / chunkPayloadBytes);
	}

	/** True for a body that costs much more to parse than its payload is worth. */
	get isFragmented(): boolean {
		return this.excessChunks > excessAllowance;
	}
}
