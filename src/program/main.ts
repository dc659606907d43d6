import process from 'node:process';
import {Command} from 'commander';
import {runHost} from './run-host.js';
import {loadSettings} from './settings-loader.js';
import {programVersion} from './version.js';

const command = new Command('daisylever').description(
	'Serves many models on fewer accelerators.',
);

command
	.command('version')
	.description('Print the version.')
	.action(() => {
		process.stdout.write(`${programVersion}\n`);
	});

command
	.command('run')
	.description('Run a host.')
	.requiredOption('--settings <file>', 'settings file')
	.action(async (options: {settings: string}) => {
		const settings = loadSettings(options.settings, process.env);
		if (settings.isErr()) {
			process.stderr.write(`${settings.error.message}\n`);
			process.exit(2);
		}

		const running = await runHost(settings.value);
		if (running.isErr()) {
			process.stderr.write(`${running.error.message}\n`);
			process.exit(1);
		}
	});

void command.parseAsync(process.argv);
