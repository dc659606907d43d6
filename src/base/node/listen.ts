import {type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {err, ok, type Result} from 'neverthrow';

/** A listener could not start. */
export class ListenError extends Error {
	override readonly name = 'ListenError';
}

/** Listens and returns the port, which the kernel chooses for port 0. */
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
