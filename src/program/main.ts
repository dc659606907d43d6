import process from 'node:process';
import {Command} from 'commander';
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

void command.parseAsync(process.argv);
