import {parse, validate, version} from 'uuid';
import {type IdempotencyKey} from '../contracts/ids.js';

const timestampBytes = 6;

/** Returns the wall time at which a key in the form of a time-ordered UUID (version 7) was made. */
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
