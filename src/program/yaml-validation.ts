import {err, ok, type Result} from 'neverthrow';
import {isMap, isNode, LineCounter, parseDocument, type Document} from 'yaml';
import {type z} from 'zod';
import {
	formatPath,
	toSchemaProblems,
	type SchemaProblem,
	type ValuePath,
} from '../core/documents/schema-problems.js';

/** One error in a YAML file, with its line and column counted from 1. */
export type YamlProblem = {
	readonly file: string;
	readonly line: number;
	readonly column: number;
	/** Path of the value, such as `listen.callers`. Empty for the whole file. */
	readonly path: string;
	readonly message: string;
};

/** All errors found in a YAML file. */
export class YamlValidationError extends Error {
	override readonly name = 'YamlValidationError';

	/** Problems sorted by line and column. */
	readonly problems: readonly YamlProblem[];

	constructor(problems: readonly YamlProblem[]) {
		const sorted = [...problems].sort(
			(left, right) => left.line - right.line || left.column - right.column,
		);
		super(sorted.map(formatProblem).join('\n'));
		this.problems = sorted;
	}
}

/** Formats a problem as `file:line:column: path: message`. */
export function formatProblem(problem: YamlProblem): string {
	const path = problem.path === '' ? '' : `${problem.path}: `;
	return `${problem.file}:${problem.line}:${problem.column}: ${path}${problem.message}`;
}

/** A parsed YAML file that maps the path of a value to its line and column. */
export class YamlSource {
	private readonly lineCounter = new LineCounter();
	private readonly document: Document;

	constructor(
		readonly file: string,
		text: string,
	) {
		this.document = parseDocument(text, {lineCounter: this.lineCounter});
	}

	/** Returns the content as plain data. Fails with the syntax errors. */
	content(): Result<unknown, YamlValidationError> {
		const problems = this.document.errors.map((error) => ({
			file: this.file,
			line: error.linePos?.[0].line ?? 1,
			column: error.linePos?.[0].col ?? 1,
			path: '',
			message: error.message.split('\n')[0]!.replace(/ at line .*$/, ''),
		}));
		return problems.length === 0
			? ok(this.document.toJS() as unknown)
			: err(new YamlValidationError(problems));
	}

	/** Validates data against a schema. Fails with all errors, including the earlier ones; a path with an earlier problem is reported only once. */
	validate<T extends z.ZodType>(
		schema: T,
		value: unknown,
		earlierProblems: readonly YamlProblem[] = [],
	): Result<z.infer<T>, YamlValidationError> {
		const parsed = schema.safeParse(value);
		const reported = new Set(earlierProblems.map(({path}) => path));
		const problems = [
			...earlierProblems,
			...this.createError(
				toSchemaProblems(schema, parsed.error?.issues ?? []),
			).problems.filter(({path}) => !reported.has(path)),
		];
		return parsed.success && problems.length === 0
			? ok(parsed.data)
			: err(new YamlValidationError(problems));
	}

	/** Converts schema problems to an error with their lines and columns. */
	createError(problems: readonly SchemaProblem[]): YamlValidationError {
		return new YamlValidationError(
			problems.map(({path, message}) => this.problemAt(path, message)),
		);
	}

	/** Creates a problem at the position of a path, or of the nearest enclosing value if the path does not exist. */
	problemAt(path: ValuePath, message: string): YamlProblem {
		const offset = this.offsetOf(path);
		const {line, col} = this.lineCounter.linePos(offset);
		return {
			file: this.file,
			line: Math.max(line, 1),
			column: Math.max(col, 1),
			path: formatPath(path),
			message,
		};
	}

	private offsetOf(path: ValuePath): number {
		const last = path.at(-1);
		const parentPath = path.slice(0, -1);
		const parent: unknown =
			parentPath.length === 0
				? this.document.contents
				: this.document.getIn(parentPath, true);
		if (isMap(parent)) {
			// The position of the key is clearer than that of the value, which can start on a later line.
			const pair = parent.items.find(
				({key}) => isNode(key) && String(key.toJSON()) === String(last),
			);
			if (pair && isNode(pair.key) && pair.key.range) {
				return pair.key.range[0];
			}
		}

		const node: unknown =
			path.length === 0
				? this.document.contents
				: this.document.getIn(path, true);
		if (isNode(node) && node.range) {
			return node.range[0];
		}

		return path.length === 0 ? 0 : this.offsetOf(parentPath);
	}
}
