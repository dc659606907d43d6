import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';

/** Reads a JSON text and checks its form. */
export function parseJson<T>(
	text: string | Uint8Array,
	schema: z.ZodType<T>,
): Result<T, Error> {
	let value: unknown;
	try {
		value = JSON.parse(
			typeof text === 'string' ? text : Buffer.from(text).toString('utf8'),
		);
	} catch (error) {
		return err(new Error('not JSON', {cause: error}));
	}

	const parsed = schema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err(parsed.error);
}
