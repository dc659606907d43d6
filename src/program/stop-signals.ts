import process from 'node:process';

/** On the first SIGTERM or SIGINT, stops the host and then exits with code 0. On a second signal, exits with code 1, after the last responses of a host that sends them. */
export function stopOnSignals(
	stop: () => Promise<void>,
	sendLastResponses?: () => Promise<void>,
): void {
	let isStopping = false;
	const handleSignal = () => {
		if (!isStopping) {
			isStopping = true;
			void stop().then(() => {
				process.exit(0);
			});
			return;
		}

		if (!sendLastResponses) {
			process.exit(1);
		}

		void sendLastResponses().then(() => {
			process.exit(1);
		});
	};

	process.on('SIGTERM', handleSignal);
	process.on('SIGINT', handleSignal);
}
