import {type Socket} from 'node:net';
import {buildConnector, Client, Pool, type Dispatcher} from 'undici';
import {Disposable} from '../../../base/common/disposable.js';
import {type PolledQueue} from '../../../base/node/polled-queue.js';

/** Options of the connections to a target. */
export type TargetConnectionsOptions = {
	/** `host:port` of the target. */
	readonly address: string;
	readonly maximumConnections: number;
	/** Delays the use of a new connection until the connections of callers have been read, because callers can leave while it opens. No delay if absent. */
	readonly polls?: PolledQueue | undefined;
	/** Called when a connection has opened. */
	readonly onConnected?: () => void;
	/** Called when bytes were received on a connection for requests. */
	readonly onData?: () => void;
	/** Called when bytes of a report were received. */
	readonly onReportData?: () => void;
};

/** Connect timeout. A target on the same network accepts within milliseconds, so a longer wait means that it is unavailable. */
const connectTimeoutMilliseconds = 400;
/** Keep-alive timeout. Idle connections are closed before a target closes them, so that a request is rarely sent on a connection that is being closed. */
const keepAliveTimeoutMilliseconds = 4000;

/** A pool of HTTP connections to one target. */
export class TargetConnections extends Disposable {
	private readonly origin: string;
	private readonly pool: Pool;
	/** Opened by the first report. */
	private reportPool: Pool | undefined;
	private readonly singleClients = new Set<Client>();
	/** Connections whose end has not been noticed. */
	private readonly openSockets = new Set<Socket>();
	/** Open connections that the HTTP client has not received yet. */
	private readonly waitingSockets = new Set<Socket>();
	private isFailing = false;

	constructor(private readonly options: TargetConnectionsOptions) {
		super();
		this.origin = `http://${options.address}`;
		this.pool = new Pool(this.origin, {
			connections: options.maximumConnections,
			...this.clientOptions(options.onData),
		});
	}

	/** Dispatcher for requests to the target. */
	get dispatcher(): Dispatcher {
		return this.pool;
	}

	/** Dispatcher for the reports that the owner asks for. A late answer to one must not be taken for the answer to a request. */
	get reportDispatcher(): Dispatcher {
		this.reportPool ??= new Pool(this.origin, {
			connections: 1,
			...this.clientOptions(this.options.onReportData),
		});
		return this.reportPool;
	}

	/** Calls `use` with a dispatcher whose connection is opened for this call alone, and closes it afterwards. */
	async withOwnConnection<T>(
		use: (dispatcher: Dispatcher) => Promise<T>,
	): Promise<T> {
		const client = new Client(
			this.origin,
			this.clientOptions(this.options.onData),
		);
		this.singleClients.add(client);
		try {
			return await use(client);
		} finally {
			this.singleClients.delete(client);
			await client.destroy();
		}
	}

	/** Sends a request on a connection of its own, on which nothing that belongs to an earlier request can arrive. */
	dispatchAlone(
		request: Dispatcher.DispatchOptions,
		handler: Dispatcher.DispatchHandler,
	): void {
		const client = new Client(
			this.origin,
			this.clientOptions(this.options.onData),
		);
		this.singleClients.add(client);
		client.dispatch({...request, reset: true}, handler);
		void client.close().then(() => {
			this.singleClients.delete(client);
		});
	}

	/**
	 * True while the error of a connection is being handled. The HTTP client treats a reset of a connection that would be
	 * closed anyway as the end of its response, so a response that ends now is incomplete.
	 */
	get isConnectionFailing(): boolean {
		return this.isFailing;
	}

	/** True while the target has a connection to this host open. One with unread bytes does not count, since its end may be behind them. */
	get hasOpenConnection(): boolean {
		return [...this.openSockets].some(
			({destroyed, readableLength}) => !destroyed && readableLength === 0,
		);
	}

	/** Accepts no new requests. Requests in flight keep their connections until they end. */
	close(): void {
		void this.pool.close();
		void this.reportPool?.close();
	}

	async dispose(): Promise<void> {
		for (const socket of this.waitingSockets) {
			socket.destroy();
		}

		await Promise.all(
			[
				this.pool,
				...(this.reportPool ? [this.reportPool] : []),
				...this.singleClients,
			].map(async (client) => client.destroy()),
		);
	}

	private clientOptions(onData: (() => void) | undefined): Client.Options {
		const connect = buildConnector({timeout: connectTimeoutMilliseconds});
		return {
			pipelining: 1,
			connect: (target, callback) => {
				connect(target, (...result: Parameters<typeof callback>) => {
					const [, socket] = result;
					socket?.prependListener('error', () => {
						this.recordConnectionError();
					});
					if (socket && this.options.polls) {
						this.waitingSockets.add(socket);
						this.options.onConnected?.();
						this.options.polls.pushFirst(() => {
							this.waitingSockets.delete(socket);
							this.useConnection(socket, onData, callback);
						});
						return;
					}

					if (socket) {
						this.options.onConnected?.();
						this.observeContact(socket, onData);
					}

					callback(...result);
				});
			},
			// Each attempt has its own inactivity timeout, which depends on whether its request may be repeated.
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveTimeoutMilliseconds,
		};
	}

	/** Hands an open connection to the HTTP client. Its data and its end are read from then on. */
	private useConnection(
		socket: Socket,
		onData: (() => void) | undefined,
		callback: buildConnector.Callback,
	): void {
		if (socket.destroyed) {
			callback(new Error('the connection was closed as it opened'), null);
			return;
		}

		// The HTTP client would close such a connection and open the next one, again and again.
		if (socket.readableLength > 0) {
			socket.destroy();
			callback(
				new Error('the target sent data before the request was sent'),
				null,
			);
			return;
		}

		this.observeContact(socket, onData);
		callback(null, socket);
	}

	private observeContact(
		socket: Socket,
		onData: (() => void) | undefined,
	): void {
		this.openSockets.add(socket);
		socket.once('close', () => {
			this.openSockets.delete(socket);
		});
		socket.once('end', () => {
			if (isReset(socket)) {
				this.recordConnectionError();
			}
		});
		let bytesRead = 0;
		// The end of a connection makes it readable too.
		socket.on('readable', () => {
			if (socket.bytesRead > bytesRead) {
				bytesRead = socket.bytesRead;
				onData?.();
			} else {
				this.openSockets.delete(socket);
			}
		});
	}

	private recordConnectionError(): void {
		this.isFailing = true;
		process.nextTick(() => {
			this.isFailing = false;
		});
	}
}

/**
 * True when the connection that has just ended was reset. libuv reports an end in order when the last bytes and a reset
 * are received together. The kernel knows no other side of a connection that was reset, and Node.js asks it at the first
 * use of the address.
 */
function isReset(socket: Socket): boolean {
	return socket.remoteAddress === undefined;
}
