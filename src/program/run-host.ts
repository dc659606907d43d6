import {err, ok, type Result} from 'neverthrow';
import {startHost} from './composition-root.js';
import {type HostPorts, type StartError} from './running-host.js';
import {type Settings} from './settings.js';
import {stopOnSignals} from './stop-signals.js';

/** Runs a host until it is told to stop, and returns its ports once it listens. The first signal stops it gracefully, the second one at once. */
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
