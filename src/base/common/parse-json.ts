import {fromThrowable} from 'neverthrow';

const parse = fromThrowable(JSON.parse as (text: string) => unknown);

/** Parses JSON. Returns undefined for anything else. */
export function parseJson(bytes: Uint8Array): unknown {
	return parse(Buffer.from(bytes).toString()).unwrapOr(undefined);
}
