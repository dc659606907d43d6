/** A key with its newest value. Without a value the key is dropped. */
export type KeyedChange = {
	readonly key: string;
	readonly value: Buffer | undefined;
};

/** Reads the key and value of a record of a keyed topic: one byte of key length, the key, the value. */
export function decodeKeyedRecord(body: Buffer): KeyedChange | undefined {
	const keyLength = body[0];
	if (keyLength === undefined || body.length < 1 + keyLength) {
		return undefined;
	}

	const value = body.subarray(1 + keyLength);
	return {
		key: body.subarray(1, 1 + keyLength).toString('utf8'),
		value: value.length === 0 ? undefined : value,
	};
}
