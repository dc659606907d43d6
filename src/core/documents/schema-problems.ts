import {type z} from 'zod';
import {nearestName} from './nearest-name.js';

/** Path to a value in a document or settings file. */
export type ValuePath = ReadonlyArray<string | number>;

/** A problem at a path of a value. The position in the source file is resolved separately. */
export type SchemaProblem = {
	readonly path: ValuePath;
	readonly message: string;
};

/** Formats a path, for example `operators[0].name`. */
export function formatPath(path: ValuePath): string {
	let text = '';
	for (const part of path) {
		if (typeof part === 'number') {
			text += `[${part}]`;
		} else {
			text += text === '' ? part : `.${part}`;
		}
	}

	return text;
}

type SchemaDefinition = {
	readonly shape?: Record<string, z.core.$ZodType>;
	readonly innerType?: z.core.$ZodType;
	readonly element?: z.core.$ZodType;
	readonly in?: z.core.$ZodType;
};

/** Returns the keys that the schema defines at a path. */
function knownKeys(schema: z.core.$ZodType, path: ValuePath): string[] {
	const definition = schema._zod.def as SchemaDefinition;
	const inner = definition.innerType ?? definition.in;
	if (inner) {
		return knownKeys(inner, path);
	}

	const [first, ...rest] = path;
	if (first === undefined) {
		return Object.keys(definition.shape ?? {});
	}

	const next =
		typeof first === 'number' ? definition.element : definition.shape?.[first];
	return next ? knownKeys(next, rest) : [];
}

/** Converts the issues of a failed schema check to problems. The message of an unknown key suggests the nearest known key. */
export function toSchemaProblems(
	schema: z.core.$ZodType,
	issues: readonly z.core.$ZodIssue[],
): SchemaProblem[] {
	return issues.flatMap((issue) => {
		const path = issue.path.map((part) =>
			typeof part === 'number' ? part : String(part),
		);
		if (issue.code !== 'unrecognized_keys') {
			const message = issue.message
				.replace(/, received undefined$/, ', but is missing')
				.replace(/^Invalid input: /, '');
			return [{path, message}];
		}

		const keys = knownKeys(schema, path);
		return issue.keys.map((key) => {
			const nearest = nearestName(key, keys);
			const hint = nearest
				? `did you mean "${nearest}"?`
				: `known keys: ${keys.join(', ')}`;
			return {
				path: [...path, key],
				message: `unknown key "${key}"; ${hint}`,
			};
		});
	});
}
