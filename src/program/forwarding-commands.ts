import process from 'node:process';
import {type Command} from 'commander';
import {err, ok, type Result} from 'neverthrow';
import {writeResult, type CommandResult} from './command-context.js';
import {CommandFailure} from './command-failure.js';
import {
	loadForwardingSettings,
	type ForwardingSettings,
} from './forwarding-settings.js';
import {loadUntilValid} from './settings-loader.js';
import {type YamlValidationError} from './yaml-validation.js';

/** Starts a forwarding host that stops on SIGTERM or SIGINT. Resolves when it listens or has failed to start. The file is read again on SIGHUP. */
export type RunForwardingHost = (
	settings: ForwardingSettings,
	file: string,
) => Promise<CommandResult>;

async function runWithSettings(
	file: string,
	loaded: Result<ForwardingSettings, YamlValidationError>,
	runHost: RunForwardingHost,
): Promise<CommandResult> {
	if (loaded.isErr()) {
		const {problems, message} = loaded.error;
		return err(
			new CommandFailure(
				'invalid',
				`the settings have ${problems.length} errors\n${message}`,
				'Correct the settings of the forwarding host.',
			),
		);
	}

	return runHost(loaded.value, file);
}

/** Adds the command that runs a forwarding host or checks its settings. */
export function addForwardingCommands(
	program: Command,
	runHost: RunForwardingHost,
): void {
	const defaultFile = process.env.DAISYLEVER_CONFIG ?? 'forwarding.yaml';
	const command = program
		.command('forward')
		.description('Run a host that forwards requests by an operators’ document.')
		.option(
			'--settings <file>',
			'settings file (environment: DAISYLEVER_CONFIG)',
			defaultFile,
		)
		.option('--check', 'check the settings and end')
		.action(
			async ({
				settings: file,
				check,
			}: {
				readonly settings: string;
				readonly check?: boolean;
			}) => {
				if (check === true) {
					writeResult(
						await runWithSettings(
							file,
							loadForwardingSettings(file),
							async ({host}) => ok(`${file} is valid: host ${host}`),
						),
					);
					return;
				}

				const loaded = await loadUntilValid(() => loadForwardingSettings(file));
				writeResult(await runWithSettings(file, loaded, runHost));
			},
		);
	command.addHelpText(
		'after',
		'\nSIGTERM or SIGINT stops the host gracefully, SIGINT during the stop at once. SIGHUP reads the settings again.',
	);
}
