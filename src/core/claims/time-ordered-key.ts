import {parse, validate, version} from 'uuid';
import {type IdempotencyKey} from '../../contracts/ids.js';

/** Length of the big-endian timestamp at the start of a version 7 UUID. */
const timestampBytes = 6;

/** Returns the creation time of a version 7 UUID, in milliseconds since the Unix epoch, or undefined for a key of another form. */
export function creationTimeOf(key: IdempotencyKey): number | undefined {
	if (!validate(key) || version(key) !== 7) {
		return undefined;
	}

	let milliseconds = 0;
	for (const byte of parse(key).subarray(0, timestampBytes)) {
		milliseconds = milliseconds * 256 + byte;
	}

	return milliseconds;
}
