import {err, ok, type Result} from 'neverthrow';
import {isMap, isNode, LineCounter, parseDocument, type Document} from 'yaml';
import {type z} from 'zod';
import {nearestName} from '../core/nearest-name.js';

type Path = ReadonlyArray<string | number>;

/** One error of a YAML file. */
export type YamlProblem = {
	readonly file: string;
	readonly line: number;
	readonly column: number;
	/** Path of the setting, such as `listen.callers`. Empty for the whole file. */
	readonly path: string;
	readonly message: string;
};

/** All errors of a YAML file at once. */
export class YamlValidationError extends Error {
	override readonly name = 'YamlValidationError';

	constructor(readonly problems: readonly YamlProblem[]) {
		super(problems.map(formatProblem).join('\n'));
	}
}

/** Writes a problem as `file:line:column: path: message`. */
export function formatProblem(problem: YamlProblem): string {
	const path = problem.path === '' ? '' : `${problem.path}: `;
	return `${problem.file}:${problem.line}:${problem.column}: ${path}${problem.message}`;
}

/** Writes a path as `operators[0].name`. */
export function formatPath(path: Path): string {
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

/** Keys that the schema knows at a path. */
function knownKeys(schema: z.core.$ZodType, path: Path): readonly string[] {
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

	/** Checks the content against a schema. Returns the value or all errors. */
	validate<T extends z.ZodType>(
		schema: T,
		replace: (value: unknown) => {
			readonly value: unknown;
			readonly problems: readonly YamlProblem[];
		} = (value) => ({value, problems: []}),
	): Result<z.infer<T>, YamlValidationError> {
		const syntaxProblems = this.document.errors.map((error) => ({
			file: this.file,
			line: error.linePos?.[0].line ?? 1,
			column: error.linePos?.[0].col ?? 1,
			path: '',
			message: error.message.split('\n')[0]!.replace(/ at line .*$/, ''),
		}));
		if (syntaxProblems.length > 0) {
			return err(new YamlValidationError(syntaxProblems));
		}

		const {value, problems: replacementProblems} = replace(
			this.document.toJS() as unknown,
		);
		const parsed = schema.safeParse(value);
		const replaced = new Set(replacementProblems.map(({path}) => path));
		const problems = [
			...replacementProblems,
			...(parsed.error?.issues ?? [])
				.flatMap((issue) => this.problemsOf(schema, issue))
				.filter(({path}) => !replaced.has(path)),
		].sort(
			(left, right) => left.line - right.line || left.column - right.column,
		);
		return parsed.success && problems.length === 0
			? ok(parsed.data)
			: err(new YamlValidationError(problems));
	}

	/** Makes a problem at the place of a path, or at the nearest enclosing value. */
	problemAt(path: Path, message: string): YamlProblem {
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

	private problemsOf(
		schema: z.ZodType,
		issue: z.core.$ZodIssue,
	): YamlProblem[] {
		const path = issue.path.map((part) =>
			typeof part === 'number' ? part : String(part),
		);
		if (issue.code !== 'unrecognized_keys') {
			const message =
				issue.code === 'invalid_type' && issue.input === undefined
					? issue.message.replace(/, received undefined$/, ', but is missing')
					: issue.message;
			return [this.problemAt(path, message)];
		}

		const known = knownKeys(schema, path);
		return issue.keys.map((key) => {
			const nearest = nearestName(key, known);
			const hint = nearest
				? `did you mean "${nearest}"?`
				: `known keys: ${known.join(', ')}`;
			return this.problemAt([...path, key], `unknown key "${key}"; ${hint}`);
		});
	}

	private offsetOf(path: Path): number {
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
