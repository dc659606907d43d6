import {createHash} from 'node:crypto';
import murmurhash from 'murmurhash';

/** Returns the SHA-256 digest of a text or bytes in lower-case hexadecimal. */
export function sha256(text: string | Uint8Array): string {
	return createHash('sha256').update(text).digest('hex');
}

/** Returns a fast, non-cryptographic 32-bit hash (MurmurHash3) for placement and partitioning. */
export function hash32(text: string): number {
	return murmurhash.v3(text);
}

/** Serializes JSON data with sorted keys, so that equal data yields equal text. Properties that are undefined are left out. */
export function canonicalJson(value: unknown): string {
	if (Array.isArray(value)) {
		return `[${value.map((item) => canonicalJson(item)).join(',')}]`;
	}

	if (value === null || typeof value !== 'object') {
		return JSON.stringify(value) ?? 'null';
	}

	const entries = Object.entries(value)
		.filter(([, item]) => item !== undefined)
		.sort(([left], [right]) => (left < right ? -1 : 1))
		.map(([key, item]) => `${JSON.stringify(key)}:${canonicalJson(item)}`);
	return `{${entries.join(',')}}`;
}
