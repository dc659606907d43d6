import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {err, ok, type Result} from 'neverthrow';
import {type z} from 'zod';
import {CommandFailure} from './command-failure.js';

/** Parses the JSON of a log line, or returns undefined for any other line. The platform may put a prefix before the JSON. */
function parseLine<T>(line: string, schema: z.ZodType<T>): T | undefined {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let value: unknown;
	try {
		value = JSON.parse(line.slice(start));
	} catch {
		return undefined;
	}

	const {success, data} = schema.safeParse(value);
	return success ? data : undefined;
}

/** Calls back for each line of the log files that matches a schema. Other lines are skipped. */
export async function readLogLines<T>(
	files: readonly string[],
	schema: z.ZodType<T>,
	onLine: (line: T) => void,
): Promise<Result<void, CommandFailure>> {
	for (const file of files) {
		try {
			for await (const text of createInterface({
				input: createReadStream(file),
			})) {
				const line = parseLine(text, schema);
				if (line) {
					onLine(line);
				}
			}
		} catch (error) {
			return err(
				new CommandFailure(
					'invalid',
					`the log cannot be read: ${error instanceof Error ? error.message : String(error)}`,
				),
			);
		}
	}

	return ok();
}
