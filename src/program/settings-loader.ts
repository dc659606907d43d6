import {readFileSync} from 'node:fs';
import process from 'node:process';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {wait} from '../base/node/wait.js';
import {settingsSchema, type Settings} from './settings.js';
import {
	YamlSource,
	YamlValidationError,
	type YamlProblem,
} from './yaml-validation.js';

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Paths of the settings whose value may be `{environment: NAME}` or `{file: PATH}` instead of a literal. `*` stands for each item of a list. */
const secretPaths = [
	['peerSecret'],
	['operators', '*', 'tokenDigest'],
	['tls', 'callers', 'certificate'],
	['tls', 'callers', 'key'],
	['tls', 'operators', 'certificate'],
	['tls', 'operators', 'key'],
	['tls', 'peers', 'certificate'],
	['tls', 'peers', 'key'],
	['tls', 'peers', 'authority'],
];

const secretReferenceSchema = z.union([
	z.strictObject({environment: z.string()}),
	z.strictObject({file: z.string()}),
]);

/** Time for which a host that starts reads settings with errors again: their writer may be about to replace or complete the file. */
const settingsRetryMilliseconds = 5000;
const settingsRetryDelayMilliseconds = 100;

type ResolveContext = {
	readonly source: YamlSource;
	readonly environment: Environment;
	readonly problems: YamlProblem[];
};

function resolveSecret(
	value: unknown,
	path: ReadonlyArray<string | number>,
	context: ResolveContext,
): unknown {
	const reference = secretReferenceSchema.safeParse(value);
	if (!reference.success) {
		return value;
	}

	return 'environment' in reference.data
		? readVariable(reference.data.environment, path, context)
		: readSecretFile(reference.data.file, path, context);
}

function readVariable(
	name: string,
	path: ReadonlyArray<string | number>,
	{source, environment, problems}: ResolveContext,
): string | undefined {
	const secret = environment[name];
	if (secret === undefined || secret === '') {
		problems.push(
			source.problemAt(path, `the environment variable ${name} is not set`),
		);
	}

	return secret;
}

function readSecretFile(
	file: string,
	path: ReadonlyArray<string | number>,
	{source, problems}: ResolveContext,
): string | undefined {
	try {
		return readFileSync(file, 'utf8').trim();
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		problems.push(
			source.problemAt(path, `the file ${file} cannot be read: ${reason}`),
		);
		return undefined;
	}
}

function resolveSecretsAt(
	value: unknown,
	remaining: readonly string[],
	path: ReadonlyArray<string | number>,
	context: ResolveContext,
): unknown {
	const [first, ...rest] = remaining;
	if (first === undefined) {
		return resolveSecret(value, path, context);
	}

	if (first === '*') {
		return Array.isArray(value)
			? value.map((item, index) =>
					resolveSecretsAt(item, rest, [...path, index], context),
				)
			: value;
	}

	if (typeof value !== 'object' || value === null || !(first in value)) {
		return value;
	}

	const member = (value as Record<string, unknown>)[first];
	return {
		...value,
		[first]: resolveSecretsAt(member, rest, [...path, first], context),
	};
}

/** Validates the text of a settings file and reads the secrets that it refers to from the environment or from files. Fails with all errors. */
export function parseSettings(
	text: string,
	file: string,
	environment: Environment,
): Result<Settings, YamlValidationError> {
	const source = new YamlSource(file, text);
	return source.content().andThen((content) => {
		const problems: YamlProblem[] = [];
		const context = {source, environment, problems};
		let value = content;
		for (const path of secretPaths) {
			value = resolveSecretsAt(value, path, [], context);
		}

		return source.validate(settingsSchema, value, problems);
	});
}

/** Reads a UTF-8 text file. The error has the form of a problem in that file. */
export function readTextFile(
	file: string,
): Result<string, YamlValidationError> {
	try {
		return ok(readFileSync(file, 'utf8'));
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		return err(
			new YamlValidationError([
				{
					file,
					line: 1,
					column: 1,
					path: '',
					message: `cannot be read: ${reason}`,
				},
			]),
		);
	}
}

/** Reads the settings of a host that starts, and again for some seconds while they have errors. Fails with the errors of the last reading. */
export async function loadUntilValid<T>(
	load: () => Result<T, YamlValidationError>,
): Promise<Result<T, YamlValidationError>> {
	const deadline = performance.now() + settingsRetryMilliseconds;
	let loaded = load();
	if (loaded.isErr()) {
		process.stderr.write(
			`daisylever: the settings have errors and are read again for ${settingsRetryMilliseconds / 1000} s: ${loaded.error.message}\n`,
		);
	}

	while (loaded.isErr() && performance.now() < deadline) {
		await wait(settingsRetryDelayMilliseconds);
		loaded = load();
	}

	return loaded;
}

/** Reads and validates the settings file of a host. Fails with all errors of the file. */
export function loadSettings(
	file: string,
	environment: Environment,
): Result<Settings, YamlValidationError> {
	return readTextFile(file).andThen((text) =>
		parseSettings(text, file, environment),
	);
}
