import {connect} from 'node:net';

/** How an attempt to open a connection ended. */
export type ConnectionOutcome = 'opened' | 'refused' | 'timed-out' | 'failed';

/** Opens and closes a connection. */
export async function probeConnection(
	address: string,
	timeoutMilliseconds: number,
	signal?: AbortSignal,
): Promise<ConnectionOutcome> {
	const separator = address.lastIndexOf(':');
	return new Promise((resolve) => {
		const socket = connect({
			host: address.slice(0, separator),
			port: Number(address.slice(separator + 1)),
		});
		const abort = () => {
			end('failed');
		};

		const end = (outcome: ConnectionOutcome) => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', abort);
			socket.destroy();
			resolve(outcome);
		};

		const timer = setTimeout(() => {
			// After a pause of the process, a connection that opened in time is noticed after the timer.
			setImmediate(() => {
				end('timed-out');
			});
		}, timeoutMilliseconds);
		signal?.addEventListener('abort', abort);
		socket.once('connect', () => {
			end('opened');
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			end(error.code === 'ECONNREFUSED' ? 'refused' : 'failed');
		});
	});
}

/** Opens and closes a connection. Returns true when it is refused, which means that nothing listens at the address or that the path to it is cut. */
export async function isConnectionRefused(
	address: string,
	timeoutMilliseconds: number,
): Promise<boolean> {
	return (await probeConnection(address, timeoutMilliseconds)) === 'refused';
}

type SharedProbe = {
	readonly running: Promise<boolean>;
	/** Begins when the running one has ended. */
	next: Promise<boolean> | undefined;
};

/** Probes on behalf of several callers: at most one connection is opened to an address at a time, and each caller gets the result of a probe that began after its call. */
export class SharedConnectionProbes {
	private readonly probes = new Map<string, SharedProbe>();

	/** Opens and closes a connection, like the function `isConnectionRefused`. */
	async isRefused(
		address: string,
		timeoutMilliseconds: number,
	): Promise<boolean> {
		const probe = this.probes.get(address);
		if (!probe) {
			return this.start(address, timeoutMilliseconds);
		}

		probe.next ??= this.startAfter(probe, address, timeoutMilliseconds);
		return probe.next;
	}

	private async startAfter(
		{running}: SharedProbe,
		address: string,
		timeoutMilliseconds: number,
	): Promise<boolean> {
		await running;
		return this.start(address, timeoutMilliseconds);
	}

	private async start(
		address: string,
		timeoutMilliseconds: number,
	): Promise<boolean> {
		const running = isConnectionRefused(address, timeoutMilliseconds);
		const probe: SharedProbe = {running, next: undefined};
		this.probes.set(address, probe);
		const isRefused = await running;
		if (!probe.next && this.probes.get(address) === probe) {
			this.probes.delete(address);
		}

		return isRefused;
	}
}
