import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {type Command} from 'commander';
import {err, ok, type Result} from 'neverthrow';
import {CommandFailure, exitCodes} from './command-failure.js';
import {OperatorClient} from './operator-client.js';

/** Result of a command: the text for standard output, or the failure. */
export type CommandResult = Result<string, CommandFailure>;

/** Options that all commands that call a host have in common, as given on the command line. */
export type HostOptions = {
	readonly url: string;
	readonly tokenFile?: string;
	readonly timeout: string;
	readonly json?: boolean;
};

/** Adds the address, token and timeout options to a command that calls a host. */
export function addHostOptions(command: Command): Command {
	return command
		.option(
			'--url <url>',
			'operators’ listener of any host (environment: DAISYLEVER_URL)',
			process.env.DAISYLEVER_URL ?? 'http://127.0.0.1:8081',
		)
		.option(
			'--token-file <file>',
			'file with the operator token (otherwise environment: DAISYLEVER_TOKEN)',
		)
		.option('--timeout <milliseconds>', 'time limit of the call', '10000');
}

/** Creates the operator client from the options of a command. Fails with a usage error when an option is invalid or the token file cannot be read. */
export function createOperatorClient(
	options: HostOptions,
): Result<OperatorClient, CommandFailure> {
	const timeoutMilliseconds = Number(options.timeout);
	if (!Number.isInteger(timeoutMilliseconds) || timeoutMilliseconds <= 0) {
		return err(
			new CommandFailure(
				'usage',
				`--timeout is "${options.timeout}", but must be a number of milliseconds`,
			),
		);
	}

	if (!URL.canParse(options.url)) {
		return err(
			new CommandFailure(
				'usage',
				`--url is "${options.url}", but must be a URL such as http://10.0.0.5:8081`,
			),
		);
	}

	return readToken(options).map(
		(token) =>
			new OperatorClient({url: options.url, token, timeoutMilliseconds}),
	);
}

function readToken({
	tokenFile,
}: HostOptions): Result<string | undefined, CommandFailure> {
	if (tokenFile === undefined) {
		return ok(process.env.DAISYLEVER_TOKEN);
	}

	try {
		return ok(readFileSync(tokenFile, 'utf8').trim());
	} catch (error) {
		return err(
			new CommandFailure(
				'usage',
				`--token-file ${tokenFile} cannot be read: ${error instanceof Error ? error.message : String(error)}`,
			),
		);
	}
}

/** Writes the text of a result to standard output, or the failure to standard error, and sets the exit code of the process on failure. */
export function writeResult(result: CommandResult): void {
	if (result.isOk()) {
		const text = result.value;
		if (text === '') {
			return;
		}

		process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
		return;
	}

	const {message, remedy, exitCodeName} = result.error;
	process.stderr.write(`daisylever: ${message}\n`);
	if (remedy !== undefined) {
		process.stderr.write(`${remedy}\n`);
	}

	process.exitCode = exitCodes[exitCodeName].code;
}

/** Writes text to a file and returns a confirmation. Fails when the file cannot be written. */
export function writeOutput(file: string, text: string): CommandResult {
	try {
		writeFileSync(file, text);
		return ok(`written to ${file}`);
	} catch (error) {
		return err(
			new CommandFailure(
				'failure',
				`${file} cannot be written: ${error instanceof Error ? error.message : String(error)}`,
			),
		);
	}
}

/** Formats a value as indented JSON for the `--json` option. */
export function formatJson(value: unknown): string {
	return JSON.stringify(value, undefined, 2);
}
