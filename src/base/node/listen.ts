import {type AddressInfo, type Server} from 'node:net';
import {err, ok, type Result} from 'neverthrow';
import {wait} from './wait.js';

/** A server could not start listening. */
export class ListenError extends Error {
	override readonly name = 'ListenError';
}

/** A failed attempt to listen that is followed by another one. */
export type ListenRetry = {
	readonly address: string;
	/** Error code of the operating system, such as `EADDRINUSE`. */
	readonly code: string;
	/** Number of the attempt, from 1. */
	readonly attempt: number;
	readonly milliseconds: number;
};

/** Options of the attempts to listen. */
export type ListenOptions = {
	/** Called after each attempt that is followed by another one. */
	readonly onUnavailable?: (retry: ListenRetry) => void;
	/** Called when the server listens after at least one failed attempt. */
	readonly onOpenedLate?: (opened: Omit<ListenRetry, 'code'>) => void;
	/** Ends the attempts. */
	readonly signal?: AbortSignal;
	/** Time in which attempts are repeated. Default: 75 s. */
	readonly retryMilliseconds?: number;
};

/** Errors that end by themselves: another socket holds the address, or the network interface has not got it yet. */
const temporaryCodes = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);
/** A predecessor holds an address for some seconds, and the kernel keeps the local port of a closed outgoing connection for 60 s. */
const defaultRetryMilliseconds = 75_000;
const firstRetryDelayMilliseconds = 50;
const maximumRetryDelayMilliseconds = 500;

/** Starts listening and returns the port. Port 0 lets the operating system choose one. An address that is in use or not there yet is tried again with a growing delay; other errors fail at once. */
export async function listenOn(
	server: Server,
	port: number,
	hostname: string,
	options: ListenOptions = {},
): Promise<Result<number, ListenError>> {
	const {onUnavailable, onOpenedLate, signal} = options;
	const address = `${hostname}:${port}`;
	const startedAt = performance.now();
	const retryMilliseconds =
		options.retryMilliseconds ?? defaultRetryMilliseconds;
	for (let attempt = 1; ; attempt++) {
		const result = await tryToListen(server, port, hostname);
		const milliseconds = Math.round(performance.now() - startedAt);
		if (result.isOk()) {
			if (attempt > 1) {
				onOpenedLate?.({address, attempt, milliseconds});
			}

			return ok(result.value);
		}

		const {code = '', message} = result.error;
		if (
			!temporaryCodes.has(code) ||
			milliseconds >= retryMilliseconds ||
			signal?.aborted === true
		) {
			return err(
				new ListenError(
					`cannot listen on ${address}: ${message} (attempt ${attempt}, ${milliseconds} ms after the first)`,
					{cause: result.error},
				),
			);
		}

		onUnavailable?.({address, code, attempt, milliseconds});
		await wait(
			Math.min(
				maximumRetryDelayMilliseconds,
				firstRetryDelayMilliseconds * 2 ** Math.min(attempt - 1, 10),
			),
			signal,
		);
	}
}

async function tryToListen(
	server: Server,
	port: number,
	hostname: string,
): Promise<Result<number, NodeJS.ErrnoException>> {
	return new Promise((resolve) => {
		const removeListeners = () => {
			server.off('error', fail);
			server.off('listening', succeed);
		};

		const fail = (error: Error) => {
			removeListeners();
			resolve(err(error));
		};

		const succeed = () => {
			removeListeners();
			resolve(ok((server.address() as AddressInfo).port));
		};

		server.once('error', fail);
		server.once('listening', succeed);
		server.listen(port, hostname);
	});
}
