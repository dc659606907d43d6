import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {err, ok, type Result} from 'neverthrow';

/** A server could not start listening. */
export class ListenError extends Error {
	override readonly name = 'ListenError';
}

/** Starts listening and returns the port. Port 0 lets the operating system choose one. */
export async function listenOn(
	server: Server,
	port: number,
	hostname: string,
): Promise<Result<number, ListenError>> {
	return new Promise((resolve) => {
		const fail = (cause: Error) => {
			resolve(
				err(
					new ListenError(
						`cannot listen on ${hostname}:${port}: ${cause.message}`,
						{cause},
					),
				),
			);
		};

		server.once('error', fail);
		server.listen(port, hostname, () => {
			server.off('error', fail);
			resolve(ok((server.address() as AddressInfo).port));
		});
	});
}
