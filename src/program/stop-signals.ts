import process from 'node:process';

/** On the first SIGTERM or SIGINT, stops the host and then exits with code 0. On a second signal, exits at once with code 1. */
export function stopOnSignals(stop: () => Promise<void>): void {
	let isStopping = false;
	const handleSignal = () => {
		if (isStopping) {
			process.exit(1);
		}

		isStopping = true;
		void stop().then(() => {
			process.exit(0);
		});
	};

	process.on('SIGTERM', handleSignal);
	process.on('SIGINT', handleSignal);
}
