import {err, ok, type Result} from 'neverthrow';
import {startHost} from './composition-root.js';
import {HostSignals} from './host-signals.js';
import {type HostPorts, type StartError} from './running-host.js';
import {type Settings} from './settings.js';
import {observeUnexpectedErrors} from './unexpected-errors.js';

/** Starts a host, lets it handle the signals of the process, and returns its ports once it listens. Fails when a listener cannot be opened. */
export async function runHost(
	settings: Settings,
): Promise<Result<HostPorts, StartError>> {
	const started = await startHost(settings);
	if (started.isErr()) {
		return err(started.error);
	}

	const host = started.value;
	observeUnexpectedErrors(host.events);
	new HostSignals({
		events: host.events,
		stop: async () => host.stop(),
	}).takeOver();
	return ok(host.ports);
}
