import process from 'node:process';
import {type Command} from 'commander';
import {err, ok, type Result} from 'neverthrow';
import {
	writeResult,
	formatJson,
	type CommandResult,
} from './command-context.js';
import {CommandFailure} from './command-failure.js';
import {runDemonstration} from './demo-command.js';
import {type HostPorts, type RunHost} from './running-host.js';
import {loadSettings, loadUntilValid} from './settings-loader.js';
import {type Settings} from './settings.js';

type SettingsOptions = {readonly settings: string; readonly json?: boolean};

function checkSettings({settings: file, json}: SettingsOptions): CommandResult {
	const loaded = loadSettings(file, process.env);
	if (json === true) {
		writeResult(
			ok(
				formatJson({
					valid: loaded.isOk(),
					problems: loaded.isErr() ? loaded.error.problems : [],
				}),
			),
		);
	}

	if (loaded.isErr()) {
		const {problems, message} = loaded.error;
		return err(
			new CommandFailure(
				'invalid',
				`the settings have ${problems.length} errors\n${message}`,
			),
		);
	}

	return ok(json === true ? '' : `${file} is valid: host ${loaded.value.host}`);
}

async function run(
	{settings: file}: SettingsOptions,
	runHost: RunHost,
): Promise<CommandResult> {
	const loaded = await loadUntilValid(() => loadSettings(file, process.env));
	if (loaded.isErr()) {
		const {problems, message} = loaded.error;
		return err(
			new CommandFailure(
				'invalid',
				`the settings have ${problems.length} errors\n${message}`,
				'Correct the settings and run "daisylever settings check" on them.',
			),
		);
	}

	const started = await runHost(loaded.value);
	return started
		.map(() => '')
		.mapErr(
			(error) =>
				new CommandFailure(
					'failure',
					`the host could not start: ${error.message}`,
					'Check the listen addresses in the settings.',
					{cause: error},
				),
		);
}

/** Adds the commands that run a host, run a demonstration and check settings. */
export function addHostCommands(program: Command, runHost: RunHost): void {
	const defaultFile = process.env.DAISYLEVER_SETTINGS ?? 'settings.yaml';
	const settingsOption = [
		'--settings <file>',
		'settings file (environment: DAISYLEVER_SETTINGS)',
		defaultFile,
	] as const;
	program
		.command('run')
		.description('Run a host.')
		.option(...settingsOption)
		.action(async (options: SettingsOptions) => {
			writeResult(await run(options, runHost));
		});
	program
		.command('demo')
		.description('Run a host with stand-ins for everything outside it.')
		.option(
			'--port <number>',
			'port for callers; operators and peers follow (0 for free ports)',
			'8080',
		)
		.action(async (options: {readonly port: string}) => {
			writeResult(await runDemonstration(options, runHost));
		});
	program
		.command('settings')
		.description('Check the settings of a host.')
		.command('check')
		.description('Check settings and report all errors with their lines.')
		.option(...settingsOption)
		.option('--json', 'write the result as JSON')
		.action((options: SettingsOptions) => {
			writeResult(checkSettings(options));
		});
}
