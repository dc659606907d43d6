import {createServer as createPlainServer, type Server} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {Server as NetServer} from 'node:net';
import {createAdaptorServer, type HttpBindings} from '@hono/node-server';
import {type Hono} from 'hono';
import {type Result} from 'neverthrow';
import {Disposable} from '../common/disposable.js';
import {listenOn, type ListenError, type ListenOptions} from './listen.js';

/** Certificate chain and private key of a listener, in PEM format. */
export type TlsIdentity = {
	readonly certificate: string;
	readonly key: string;
};

/** Limits of a listener. */
export type ListenerLimits = {
	/** Largest total size of the headers of a request. */
	readonly headerBytes: number;
	/** Largest number of open connections. */
	readonly connections: number;
	/** Time in which the headers and the body of a request must arrive. */
	readonly requestTimeoutMilliseconds: number;
	/** Time after which an idle connection is closed. Default: 5000, that of Node.js. */
	readonly idleTimeoutMilliseconds?: number;
};

/** Options of a listener. */
export type HttpListenerOptions = {
	/** Request handler of the application. */
	readonly fetch: Hono<{Bindings: HttpBindings}>['fetch'];
	readonly limits: ListenerLimits;
	/** Identity for HTTPS. The listener serves plain HTTP when it is undefined. */
	readonly tls?: TlsIdentity | undefined;
};

// All requests have ended when a listener is disposed. Clients get this time to read their responses.
const closeGraceMilliseconds = 1000;

/** Serves a hono application over HTTP or HTTPS. */
export class HttpListener extends Disposable {
	private readonly server: Server;

	constructor(options: HttpListenerOptions) {
		super();
		const {limits, tls} = options;
		this.server = createAdaptorServer({
			fetch: options.fetch,
			createServer: tls ? createTlsServer : createPlainServer,
			serverOptions: {
				maxHeaderSize: limits.headerBytes,
				requestTimeout: limits.requestTimeoutMilliseconds,
				...(limits.idleTimeoutMilliseconds === undefined
					? {}
					: {keepAliveTimeout: limits.idleTimeoutMilliseconds}),
				...(tls
					? {cert: tls.certificate, key: tls.key, minVersion: 'TLSv1.2'}
					: {}),
			},
		}) as Server;
		this.server.maxConnections = limits.connections;
	}

	/** Starts listening and returns the port. Port 0 lets the operating system choose one. */
	async listen(
		port: number,
		hostname: string,
		options?: ListenOptions,
	): Promise<Result<number, ListenError>> {
		return listenOn(this.server, port, hostname, options);
	}

	/** Stops accepting connections and closes the open ones after a grace period. Requests must have ended before. */
	async dispose(): Promise<void> {
		if (!this.server.listening) {
			return;
		}

		await new Promise<void>((resolve) => {
			// `close` of an HTTP server also closes idle connections, on which a request may be about to arrive. `close`
			// of the underlying TCP server leaves them open, so that such a request gets a response during the grace period.
			NetServer.prototype.close.call(this.server, () => {
				resolve();
			});
			setTimeout(() => {
				this.server.closeAllConnections();
			}, closeGraceMilliseconds).unref();
		});
	}
}
