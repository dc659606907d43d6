import {err, ok} from 'neverthrow';
import {forwardingEvents} from '../contracts/events/forwarding-events.js';
import {type CommandResult} from './command-context.js';
import {CommandFailure, exitCodes} from './command-failure.js';
import {ForwardingHost} from './forwarding-root.js';
import {
	loadForwardingSettings,
	type ForwardingSettings,
} from './forwarding-settings.js';
import {HostSignals} from './host-signals.js';

/** Starts a forwarding host and lets it handle the signals of the process. SIGHUP reads the settings file again. Fails when a listener cannot be opened. */
export async function runForwardingHost(
	settings: ForwardingSettings,
	file: string,
): Promise<CommandResult> {
	const host = new ForwardingHost(settings);
	new HostSignals({
		events: host.events,
		stop: async () => host.stop(),
		sendLastResponses: async () => host.sendLastResponses(),
		reload() {
			host.reload(loadForwardingSettings(file));
		},
		flushLog: async () => host.flushLog(),
	}).takeOver();
	const started = await host.start();
	if (started.isOk()) {
		return ok('');
	}

	const reason = `the host could not start: ${started.error.message}`;
	host.events.record(forwardingEvents.processEnding, {
		code: exitCodes.failure.code,
		reason,
	});
	await host.flushLog();
	// The listeners that did open would keep the process running.
	await host.dispose();
	return err(
		new CommandFailure(
			'failure',
			reason,
			'Check the listen addresses in the settings.',
			{cause: started.error},
		),
	);
}
