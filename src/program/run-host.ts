import {err, ok, type Result} from 'neverthrow';
import {startHost} from './composition-root.js';
import {type HostPorts, type StartError} from './running-host.js';
import {type Settings} from './settings.js';
import {stopOnSignals} from './stop-signals.js';

/** Starts a host, stops it on signals, and returns its ports once it listens. The first SIGTERM or SIGINT stops it gracefully, the second at once. Fails when a listener cannot be opened. */
export async function runHost(
	settings: Settings,
): Promise<Result<HostPorts, StartError>> {
	const started = await startHost(settings);
	if (started.isErr()) {
		return err(started.error);
	}

	const host = started.value;
	stopOnSignals(async () => host.stop());
	return ok(host.ports);
}
