import {connect} from 'node:net';

/** Opens and closes a connection. Returns true when it is refused, which means that nothing listens at the address. */
export async function isConnectionRefused(
	address: string,
	timeoutMilliseconds: number,
): Promise<boolean> {
	const separator = address.lastIndexOf(':');
	return new Promise((resolve) => {
		const socket = connect({
			host: address.slice(0, separator),
			port: Number(address.slice(separator + 1)),
		});
		const end = (isRefused: boolean) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isRefused);
		};

		const timer = setTimeout(end, timeoutMilliseconds, false);
		socket.once('connect', () => {
			end(false);
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			end(error.code === 'ECONNREFUSED');
		});
	});
}
