import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';

/** Parses JSON text and validates it against a schema. */
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
		return err(new Error('the text is not valid JSON', {cause: error}));
	}

	const parsed = schema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err(parsed.error);
}
