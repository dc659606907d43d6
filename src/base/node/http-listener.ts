import {createServer as createPlainServer, type Server} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {Server as NetServer} from 'node:net';
import {createAdaptorServer, type HttpBindings} from '@hono/node-server';
import {type Hono} from 'hono';
import {type Result} from 'neverthrow';
import {Disposable} from '../common/disposable.js';
import {listenOn, type ListenError} from './listen.js';

/** Certificate chain and private key of a listener, in PEM form. */
export type TlsIdentity = {
	readonly certificate: string;
	readonly key: string;
};

/** Bounds of a listener. */
export type ListenerLimits = {
	readonly headerBytes: number;
	readonly connections: number;
	/** Time for the headers and the body of a request to arrive. */
	readonly requestTimeoutMilliseconds: number;
};

/** Options of a listener. */
export type HttpListenerOptions = {
	readonly fetch: Hono<{Bindings: HttpBindings}>['fetch'];
	readonly limits: ListenerLimits;
	/** Plain HTTP without it. */
	readonly tls?: TlsIdentity | undefined;
};

// Requests have ended when a listener is disposed; clients get this time to read their answers.
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
				...(tls
					? {cert: tls.certificate, key: tls.key, minVersion: 'TLSv1.2'}
					: {}),
			},
		}) as Server;
		this.server.maxConnections = limits.connections;
	}

	/** Listens and returns the port. */
	async listen(
		port: number,
		hostname: string,
	): Promise<Result<number, ListenError>> {
		return listenOn(this.server, port, hostname);
	}

	/** Takes no new connections and closes the open ones after a short grace. Requests must have ended before. */
	async dispose(): Promise<void> {
		if (!this.server.listening) {
			return;
		}

		await new Promise<void>((resolve) => {
			// The close of an HTTP server also resets connections on which a request is about to arrive. Until the
			// grace ends, such a request still gets an answer.
			NetServer.prototype.close.call(this.server, () => {
				resolve();
			});
			setTimeout(() => {
				this.server.closeAllConnections();
			}, closeGraceMilliseconds).unref();
		});
	}
}
