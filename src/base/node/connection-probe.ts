import {connect} from 'node:net';

/** How an attempt to open a connection ended. */
export type ConnectionOutcome = 'opened' | 'refused' | 'timed-out' | 'failed';

/** Time for which a connection must stay open to show that the process behind it runs. The kernel closes the descriptors of a killed process one after the other, and resets what its listener had taken in. */
const holdMilliseconds = 20;
/** Connections that are tried when each one is closed at once, as by a target with too many connections. */
const maximumHeldConnections = 3;

/** Opens and closes a connection. */
export async function probeConnection(
	address: string,
	timeoutMilliseconds: number,
	signal?: AbortSignal,
): Promise<ConnectionOutcome> {
	return new Promise((resolve) => {
		const socket = connect(toEndpoint(address));
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

/**
 * Finds out whether the listener at an address has ended, also when its process is just being ended. A connection that
 * neither opens nor is refused in time proves nothing.
 */
export async function hasListenerEnded(
	address: string,
	timeoutMilliseconds: number,
): Promise<boolean> {
	for (let index = 0; index < maximumHeldConnections; index++) {
		const outcome = await holdConnection(address, timeoutMilliseconds);
		if (outcome !== 'closed') {
			return outcome === 'refused';
		}
	}

	return false;
}

async function holdConnection(
	address: string,
	timeoutMilliseconds: number,
): Promise<'held' | 'closed' | 'refused' | 'unknown'> {
	return new Promise((resolve) => {
		const socket = connect(toEndpoint(address));
		let hasOpened = false;
		const end = (outcome: 'held' | 'closed' | 'refused' | 'unknown') => {
			clearTimeout(timer);
			socket.destroy();
			resolve(outcome);
		};

		const startTimer = (milliseconds: number) =>
			setTimeout(() => {
				// After a pause of the process, what happened in time is noticed after the timer.
				setImmediate(() => {
					end(hasOpened ? 'held' : 'unknown');
				});
			}, milliseconds);
		let timer = startTimer(timeoutMilliseconds);
		socket.once('connect', () => {
			hasOpened = true;
			clearTimeout(timer);
			timer = startTimer(holdMilliseconds);
			socket.resume();
		});
		socket.once('end', () => {
			end('closed');
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			if (error.code === 'ECONNREFUSED') {
				end('refused');
				return;
			}

			// A reset can arrive before the opening of the connection is noticed.
			end(hasOpened || error.code === 'ECONNRESET' ? 'closed' : 'unknown');
		});
	});
}

function toEndpoint(address: string): {host: string; port: number} {
	const separator = address.lastIndexOf(':');
	return {
		host: address.slice(0, separator),
		port: Number(address.slice(separator + 1)),
	};
}
