import process from 'node:process';

/** Signals that a platform or terminal may send to a host. Without a handler SIGHUP and SIGUSR2 end the process, SIGTERM and SIGINT end it without an exit code, and SIGUSR1 opens the debugger of Node.js. */
const hostSignals = [
	'SIGTERM',
	'SIGINT',
	'SIGHUP',
	'SIGPIPE',
	'SIGUSR1',
	'SIGUSR2',
] as const;

/** Commands that run a host. */
const hostCommands = new Set(['run', 'forward']);

/** Name of a signal that a host handles. */
export type HostSignal = (typeof hostSignals)[number];

/** Receives the signals of the process. What comes before a host handles signals is kept for it, except SIGTERM and SIGINT, which end the process with code 0. */
export class ProcessSignals {
	private handle: ((signal: HostSignal) => void) | undefined;
	private readonly installed = new Set<HostSignal>();
	private readonly kept = new Set<HostSignal>();

	/** Installs all handlers if the command line runs a host. Other commands end by signals as usual. */
	installForCommand(argv: readonly string[]): void {
		if (hostCommands.has(argv[2] ?? '') && !argv.includes('--check')) {
			this.install(hostSignals);
		}
	}

	/** Passes all signals to a host from now on, beginning with those that were kept. */
	handOver(handle: (signal: HostSignal) => void): void {
		this.handle = handle;
		this.install(['SIGTERM', 'SIGINT']);
		for (const signal of this.kept) {
			handle(signal);
		}

		this.kept.clear();
	}

	private install(signals: readonly HostSignal[]): void {
		for (const signal of signals) {
			if (!this.installed.has(signal)) {
				this.installed.add(signal);
				process.on(signal, () => {
					this.receive(signal);
				});
			}
		}
	}

	private receive(signal: HostSignal): void {
		if (this.handle) {
			this.handle(signal);
			return;
		}

		if (signal === 'SIGTERM' || signal === 'SIGINT') {
			process.exit(0);
		}

		this.kept.add(signal);
	}
}

/** Signals of this process. */
export const processSignals = new ProcessSignals();
