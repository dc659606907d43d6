import process from 'node:process';

/** Stops a host at the first SIGTERM or SIGINT and ends the process afterwards. A second signal ends it at once. */
export function stopOnSignals(stop: () => Promise<void>): void {
	let isStopping = false;
	const handle = () => {
		if (isStopping) {
			process.exit(1);
		}

		isStopping = true;
		void stop().then(() => {
			process.exit(0);
		});
	};

	process.on('SIGTERM', handle);
	process.on('SIGINT', handle);
}
