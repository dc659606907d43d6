import process from 'node:process';
import {err, ok} from 'neverthrow';
import {type CommandResult} from './command-context.js';
import {CommandFailure} from './command-failure.js';
import {ForwardingHost} from './forwarding-root.js';
import {
	loadForwardingSettings,
	type ForwardingSettings,
} from './forwarding-settings.js';

/** Runs a forwarding host until it is told to stop. The first SIGTERM stops it gracefully, the second one at once. */
export async function runForwardingHost(
	settings: ForwardingSettings,
	file: string,
): Promise<CommandResult> {
	const host = new ForwardingHost(settings);
	let isStopping = false;
	const stop = () => {
		if (isStopping) {
			process.exit(1);
		}

		isStopping = true;
		void host.stop().then(() => {
			process.exit(0);
		});
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	process.on('SIGHUP', () => {
		host.reload(loadForwardingSettings(file));
	});
	const started = await host.start();
	return started.isOk()
		? ok('')
		: err(
				new CommandFailure(
					'failure',
					`the host could not start: ${started.error.message}`,
					'Check the listen addresses in the settings.',
					{cause: started.error},
				),
			);
}
