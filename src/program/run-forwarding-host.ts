import process from 'node:process';
import {err, ok} from 'neverthrow';
import {type CommandResult} from './command-context.js';
import {CommandFailure} from './command-failure.js';
import {ForwardingHost} from './forwarding-root.js';
import {
	loadForwardingSettings,
	type ForwardingSettings,
} from './forwarding-settings.js';
import {stopOnSignals} from './stop-signals.js';

/** Starts a forwarding host and stops it on signals: gracefully on the first SIGTERM or SIGINT, at once on the second. SIGHUP reads the settings file again. Fails when a listener cannot be opened. */
export async function runForwardingHost(
	settings: ForwardingSettings,
	file: string,
): Promise<CommandResult> {
	const host = new ForwardingHost(settings);
	stopOnSignals(
		async () => host.stop(),
		async () => host.sendLastResponses(),
	);
	process.on('SIGHUP', () => {
		host.reload(loadForwardingSettings(file));
	});
	const started = await host.start();
	if (started.isOk()) {
		return ok('');
	}

	// The listeners that did open would keep the process running.
	await host.dispose();
	return err(
		new CommandFailure(
			'failure',
			`the host could not start: ${started.error.message}`,
			'Check the listen addresses in the settings.',
			{cause: started.error},
		),
	);
}
