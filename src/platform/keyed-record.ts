/** A key with its new value. The value is undefined when the key was deleted. */
export type KeyedChange = {
	readonly key: string;
	readonly value: Buffer | undefined;
};

/**
 * Decodes a record of a keyed topic: one byte with the length of the key, the key in UTF-8, then the value. An empty
 * value deletes the key. Returns undefined for a record that is too short for its key.
 */
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
