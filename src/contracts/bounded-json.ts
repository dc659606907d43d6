import {isUtf8} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {maximumTimerMilliseconds} from '../base/common/timer-limits.js';

/** Characters of a name. */
const maximumNameLength = 256;
/** Items of one list, such as the models of a target. */
const maximumListLength = 4096;
/** Problems that a reason names. */
const maximumProblems = 3;
/** Characters of a reason. It is written to the log, and the input is of any size. */
const maximumReasonLength = 300;

/** A name of bounded length. */
export const nameSchema = z.string().max(maximumNameLength);

/** A time in milliseconds that a timer waits for. A longer one than a timer can wait for is cut. */
export const durationSchema = z
	.number()
	.nonnegative()
	.transform((milliseconds) =>
		Math.min(maximumTimerMilliseconds, milliseconds),
	);

/** A list whose length is checked before its items, because each invalid item of a long one costs time. */
export function boundedList<Item extends z.ZodType>(item: Item) {
	return z.array(z.unknown()).max(maximumListLength).pipe(z.array(item));
}

/** A list whose items have names of their own. */
export function uniquelyNamed<Item extends {readonly name: string}>(
	schema: z.ZodType<Item>,
) {
	return z.array(schema).superRefine((items, context) => {
		const names = new Set<string>();
		for (const [index, {name}] of items.entries()) {
			if (names.has(name)) {
				context.addIssue({
					code: 'custom',
					path: [index, 'name'],
					message: 'another item has the same name',
				});
			}

			names.add(name);
		}
	});
}

/** Decodes JSON of other writers, or states in bounded size why it does not match a schema. */
export function decodeJson<Schema extends z.ZodType>(
	value: Buffer,
	schema: Schema,
	maximumBytes: number,
): Result<z.output<Schema>, string> {
	if (value.length > maximumBytes) {
		return err(`the value has ${value.length} bytes`);
	}

	if (!isUtf8(value)) {
		return err('the value is not valid UTF-8');
	}

	try {
		const parsed = schema.safeParse(JSON.parse(value.toString('utf8')));
		return parsed.success ? ok(parsed.data) : err(reasonOf(parsed.error));
	} catch (error) {
		// The message of the error quotes the value, which may contain keys.
		const [position] = /position \d+/.exec(String(error)) ?? [];
		return err(
			`the value is not valid JSON${position === undefined ? '' : ` at ${position}`}`,
		);
	}
}

function reasonOf(error: z.ZodError): string {
	const problems = error.issues.slice(0, maximumProblems);
	const more = error.issues.length - problems.length;
	return (
		z.prettifyError(new z.ZodError(problems)).slice(0, maximumReasonLength) +
		(more > 0 ? ` (and ${more} more)` : '')
	);
}
