/** Size of the big-endian length before each record. */
const lengthBytes = 4;

/** Puts the length of a record before it. */
export function frameRecord(body: Uint8Array): Buffer {
	const length = Buffer.alloc(lengthBytes);
	length.writeUInt32BE(body.length);
	return Buffer.concat([length, body]);
}

/** Returns the framed records that follow a position. The last one may be short. */
export function splitFramedRecords(bytes: Buffer, start: number): Buffer[] {
	const records: Buffer[] = [];
	let index = start;
	while (index + lengthBytes <= bytes.length) {
		const from = index + lengthBytes;
		index = from + bytes.readUInt32BE(index);
		records.push(bytes.subarray(from, index));
	}

	return records;
}
