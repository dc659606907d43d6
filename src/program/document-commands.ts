import {type Command} from 'commander';
import {err, ok, type Result} from 'neverthrow';
import {stringify} from 'yaml';
import {type FleetDocument} from '../contracts/fleet-document.js';
import {
	compareDocuments,
	formatDifferences,
	type DocumentDifference,
} from '../core/documents/document-difference.js';
import {formatTable} from '../core/burn/text-table.js';
import {
	type DocumentInForce,
	type HistoryEntry,
} from '../services/operator-backend.js';
import {
	addHostOptions,
	createOperatorClient,
	writeResult,
	formatJson,
	type CommandResult,
	type HostOptions,
} from './command-context.js';
import {CommandFailure} from './command-failure.js';
import {loadDocument} from './document-loader.js';

function loadValidDocument(
	file: string,
): Result<FleetDocument, CommandFailure> {
	return loadDocument(file).mapErr(
		(error) =>
			new CommandFailure(
				'invalid',
				`the document has ${error.problems.length} errors\n${error.message}`,
				'Correct the document and run "daisylever document check" on it.',
				{cause: error},
			),
	);
}

function check(file: string, {json}: {readonly json?: boolean}): CommandResult {
	const loaded = loadDocument(file);
	if (json === true) {
		const text = formatJson({
			valid: loaded.isOk(),
			problems: loaded.isErr() ? loaded.error.problems : [],
		});
		// The problems go to standard output; the exit code still reports the failure.
		return loaded.isOk()
			? ok(text)
			: writeAndFail(text, loaded.error.problems.length);
	}

	return loadValidDocument(file).map(
		(document) =>
			`${file} is valid: ${document.pools.length} pools, ${document.models.length} models, ${document.adapters.length} adapters, ${document.offerings.length} offerings, ${document.callers.length} callers`,
	);
}

function writeAndFail(text: string, count: number): CommandResult {
	writeResult(ok(text));
	return err(new CommandFailure('invalid', `the document has ${count} errors`));
}

async function diff(
	file: string,
	other: string | undefined,
	options: HostOptions,
): Promise<CommandResult> {
	const loaded = loadValidDocument(file);
	if (loaded.isErr()) {
		return err(loaded.error);
	}

	const format = (changes: readonly DocumentDifference[]): string => {
		if (options.json === true) {
			return formatJson({changes});
		}

		return changes.length === 0 ? 'no difference' : formatDifferences(changes);
	};

	if (other !== undefined) {
		return loadValidDocument(other).map((after) =>
			format(compareDocuments(loaded.value, after)),
		);
	}

	return createOperatorClient(options)
		.asyncAndThen((client) =>
			client.json<{changes: readonly DocumentDifference[]}>(
				'POST',
				'/document/check',
				loaded.value,
			),
		)
		.map(({changes}) => format(changes));
}

type SubmitOptions = HostOptions & {
	readonly expectedRevision: string;
	readonly summary: string;
};

async function submit(
	file: string,
	options: SubmitOptions,
): Promise<CommandResult> {
	if (!/^\d+$/.test(options.expectedRevision)) {
		return err(
			new CommandFailure(
				'usage',
				`--expected-revision is "${options.expectedRevision}", but must be a number; "daisylever document history" shows the one in force`,
			),
		);
	}

	return loadValidDocument(file)
		.andThen((document) =>
			createOperatorClient(options).map((client) => ({client, document})),
		)
		.asyncAndThen(({client, document}) =>
			client.json<{revision: number}>('PUT', '/document', {
				expectedRevision: Number(options.expectedRevision),
				summary: options.summary,
				document,
			}),
		)
		.map((response) =>
			options.json === true
				? formatJson(response)
				: `revision ${response.revision} is in force`,
		);
}

async function show(options: HostOptions): Promise<CommandResult> {
	return createOperatorClient(options)
		.asyncAndThen((client) => client.json<DocumentInForce>('GET', '/document'))
		.map((inForce) =>
			options.json === true
				? formatJson(inForce)
				: `# revision ${inForce.revision}\n${stringify(inForce.document)}`,
		);
}

async function history(options: HostOptions): Promise<CommandResult> {
	return createOperatorClient(options)
		.asyncAndThen((client) =>
			client.json<{history: readonly HistoryEntry[]}>(
				'GET',
				'/document/history',
			),
		)
		.map((response) =>
			options.json === true
				? formatJson(response)
				: formatTable([
						['revision', 'time', 'operator', 'summary'],
						...response.history.map((entry) => [
							String(entry.revision),
							new Date(entry.time).toISOString(),
							entry.operator,
							entry.summary,
						]),
					]),
		);
}

/** Adds the commands that check, compare, submit and show the operators' document. */
export function addDocumentCommands(program: Command): void {
	const group = program
		.command('document')
		.description('Check, compare, submit and show the operators’ document.');
	group
		.command('check <file>')
		.description('Check a document and report all errors with their lines.')
		.option('--json', 'write the result as JSON')
		.action((file: string, options: {json?: boolean}) => {
			writeResult(check(file, options));
		});
	addHostOptions(
		group
			.command('diff <file> [other]')
			.description(
				'Compare the document in force with a file, or two files with each other.',
			)
			.option('--json', 'write the changes as JSON'),
	).action(
		async (file: string, other: string | undefined, options: HostOptions) => {
			writeResult(await diff(file, other, options));
		},
	);
	addHostOptions(
		group
			.command('submit <file>')
			.description(
				'Put a document in force, if the expected revision still is in force.',
			)
			.requiredOption(
				'--expected-revision <number>',
				'revision that the change was made from (0 for the first document)',
			)
			.option('--summary <text>', 'what was changed and why', '')
			.option('--json', 'write the new revision as JSON'),
	).action(async (file: string, options: SubmitOptions) => {
		writeResult(await submit(file, options));
	});
	addHostOptions(
		group
			.command('show')
			.description('Show the document in force as YAML.')
			.option('--json', 'write it as JSON'),
	).action(async (options: HostOptions) => {
		writeResult(await show(options));
	});
	addHostOptions(
		group
			.command('history')
			.description('List the accepted documents.')
			.option('--json', 'write them as JSON'),
	).action(async (options: HostOptions) => {
		writeResult(await history(options));
	});
}
