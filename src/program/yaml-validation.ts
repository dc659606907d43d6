import {err, ok, type Result} from 'neverthrow';
import {isMap, isNode, LineCounter, parseDocument, type Document} from 'yaml';
import {type z} from 'zod';
import {
	formatPath,
	toSchemaProblems,
	type SchemaProblem,
	type ValuePath,
} from '../core/schema-problems.js';

/** One error of a YAML file. */
export type YamlProblem = {
	readonly file: string;
	readonly line: number;
	readonly column: number;
	/** ValuePath of the setting, such as `listen.callers`. Empty for the whole file. */
	readonly path: string;
	readonly message: string;
};

/** All errors of a YAML file at once. */
export class YamlValidationError extends Error {
	override readonly name = 'YamlValidationError';

	/** The problems in the order of the file. */
	readonly problems: readonly YamlProblem[];

	constructor(problems: readonly YamlProblem[]) {
		const sorted = [...problems].sort(
			(left, right) => left.line - right.line || left.column - right.column,
		);
		super(sorted.map(formatProblem).join('\n'));
		this.problems = sorted;
	}
}

/** Writes a problem as `file:line:column: path: message`. */
export function formatProblem(problem: YamlProblem): string {
	const path = problem.path === '' ? '' : `${problem.path}: `;
	return `${problem.file}:${problem.line}:${problem.column}: ${path}${problem.message}`;
}

/** A parsed YAML file that knows where each of its values stands. */
export class YamlSource {
	private readonly lineCounter = new LineCounter();
	private readonly document: Document;

	constructor(
		readonly file: string,
		text: string,
	) {
		this.document = parseDocument(text, {lineCounter: this.lineCounter});
	}

	/** Returns the content as plain data, or the errors of the YAML syntax. */
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

	/** Checks data against a schema. Returns the value or all errors, the given ones included. */
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

	/** Gives problems their places in the file. */
	createError(problems: readonly SchemaProblem[]): YamlValidationError {
		return new YamlValidationError(
			problems.map(({path, message}) => this.problemAt(path, message)),
		);
	}

	/** Makes a problem at the place of a path, or at the nearest enclosing value. */
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
			// The key is a better place than the value, which can start on a later line.
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
