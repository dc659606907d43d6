import process from 'node:process';
import {err, ok, type Result} from 'neverthrow';
import {startHost} from './composition-root.js';
import {type HostPorts, type StartError} from './running-host.js';
import {type Settings} from './settings.js';

/** Runs a host until it is told to stop, and returns its ports once it listens. The first signal stops it gracefully, the second one at once. */
export async function runHost(
	settings: Settings,
): Promise<Result<HostPorts, StartError>> {
	const started = await startHost(settings);
	if (started.isErr()) {
		return err(started.error);
	}

	const host = started.value;
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
	return ok(host.ports);
}
