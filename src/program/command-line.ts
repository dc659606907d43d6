import process from 'node:process';
import {Command, CommanderError} from 'commander';
import {err} from 'neverthrow';
import {writeResult} from './command-context.js';
import {CommandFailure, exitCodes, formatExitCodes} from './command-failure.js';
import {addDocumentCommands} from './document-commands.js';
import {
	addForwardingCommands,
	type RunForwardingHost,
} from './forwarding-commands.js';
import {addHostCommands} from './host-commands.js';
import {type RunHost} from './running-host.js';
import {addInspectionCommands} from './inspection-commands.js';
import {addLogBurnCommand} from './log-burn-command.js';
import {addLogDemandCommand} from './log-demand-command.js';
import {programVersion} from './version.js';

/** Creates the command line of the program with all its commands. */
export function createCommandLine(
	runHost: RunHost,
	runForwardingHost: RunForwardingHost,
): Command {
	const program = new Command('daisylever')
		.description('Serves many models on fewer accelerators.')
		.showSuggestionAfterError()
		// A command and its subcommand have options of the same names.
		.enablePositionalOptions()
		.exitOverride()
		.addHelpText('afterAll', `\nExit codes:\n${formatExitCodes()}`);
	addHostCommands(program, runHost);
	addForwardingCommands(program, runForwardingHost);
	addDocumentCommands(program);
	addInspectionCommands(program);
	addLogBurnCommand(program);
	addLogDemandCommand(program);
	program
		.command('version')
		.description('Print the version.')
		.action(() => {
			process.stdout.write(`${programVersion}\n`);
		});
	return program;
}

/** Parses the arguments, runs the command and sets the exit code of the process. Unexpected errors are written to standard error with their stack. */
export async function runCommandLine(
	program: Command,
	argv: readonly string[],
): Promise<void> {
	try {
		await program.parseAsync([...argv]);
	} catch (error) {
		if (error instanceof CommanderError) {
			// Commander has already written its message. Help ends with exit code 0.
			process.exitCode =
				error.exitCode === 0 ? exitCodes.success.code : exitCodes.usage.code;
			return;
		}

		writeResult(
			err(
				new CommandFailure(
					'failure',
					error instanceof Error
						? (error.stack ?? error.message)
						: String(error),
				),
			),
		);
	}
}
