import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {Server as NetServer} from 'node:net';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import {type Result} from 'neverthrow';
import {Disposable} from '../../base/common/disposable.js';
import {listenOn, type ListenError} from '../../base/node/listen.js';
import {type RequestLimits} from '../../contracts/forwarding-document.js';

/** One request of a caller with its whole body. */
export type ReceivedRequest = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: Buffer;
};

/** What the server tells its owner. */
export abstract class ReceivedRequestHandler {
	abstract handle(request: ReceivedRequest): void;

	/** Answers a request that breaks a limit. */
	abstract reject(
		message: IncomingMessage,
		response: ServerResponse,
		status: 400 | 413 | 431,
	): void;
}

/** Marks a response that was written outside hono. */
const writtenOutside = {headers: {'x-hono-already-sent': 'true'}};
/** Parsing stops here. The limit of the document is checked on what was parsed, since it changes while the server runs. */
const maximumHeaderBytes = 131_072;
/** How often connections are checked for headers that are late. */
const checkMilliseconds = 500;
/** Connections that a host serves at a time. Below the descriptors of a small machine. */
const maximumConnections = 3000;

/** Receives the requests of callers: headers, bodies and connections, with the limits of the document. */
export class ForwardingServer extends Disposable {
	private readonly server: Server;
	private limits: RequestLimits = {
		headerBytes: 16_384,
		bodyBytes: 4_194_304,
		headerTimeoutMilliseconds: 3000,
		idleTimeoutMilliseconds: 15_000,
	};

	constructor(private readonly handler: ReceivedRequestHandler) {
		super();
		const app = new Hono<{Bindings: HttpBindings}>();
		app.all('*', (context) => {
			this.receive(context.env.incoming, context.env.outgoing);
			return new Response(null, writtenOutside);
		});
		const listener = getRequestListener(app.fetch, {
			overrideGlobalObjects: false,
			autoCleanupIncoming: false,
		});
		this.server = createServer(
			{
				maxHeaderSize: maximumHeaderBytes,
				connectionsCheckingInterval: checkMilliseconds,
				noDelay: true,
			},
			(message, response) => {
				void listener(message, response);
			},
		);
		this.server.maxConnections = maximumConnections;
		this.server.requestTimeout = 0;
		this.applyLimits(this.limits);
	}

	/** Takes over the limits of a document. */
	applyLimits(limits: RequestLimits): void {
		this.limits = limits;
		this.server.headersTimeout = limits.headerTimeoutMilliseconds;
		this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
	}

	async listen(
		port: number,
		hostname: string,
	): Promise<Result<number, ListenError>> {
		return listenOn(this.server, port, hostname);
	}

	/** Closes connections on which no request is open. */
	closeIdleConnections(): void {
		this.server.closeIdleConnections();
	}

	/** Takes no new connections. The close of an HTTP server would also reset connections on which a request is about to arrive. */
	stopListening(): void {
		if (this.server.listening) {
			NetServer.prototype.close.call(this.server);
		}
	}

	dispose(): void {
		this.stopListening();
		this.server.closeAllConnections();
	}

	private receive(message: IncomingMessage, response: ServerResponse): void {
		const {headerBytes, bodyBytes} = this.limits;
		if (sizeOf(message.rawHeaders) > headerBytes) {
			this.handler.reject(message, response, 431);
			return;
		}

		if (Number(message.headers['content-length'] ?? 0) > bodyBytes) {
			this.handler.reject(message, response, 413);
			return;
		}

		const parts: Buffer[] = [];
		let size = 0;
		let isRejected = false;
		message.on('data', (chunk: Buffer) => {
			size += chunk.length;
			if (size > bodyBytes && !isRejected) {
				isRejected = true;
				this.handler.reject(message, response, 413);
			}

			if (!isRejected) {
				parts.push(chunk);
			}
		});
		message.on('end', () => {
			if (!isRejected) {
				this.handler.handle({message, response, body: Buffer.concat(parts)});
			}
		});
		message.on('error', () => {
			// The connection broke before the request was whole, so there is nobody to answer.
			isRejected = true;
		});
	}
}

function sizeOf(rawHeaders: readonly string[]): number {
	let size = 0;
	for (const text of rawHeaders) {
		// Two bytes for the colon and the space, or the line end.
		size += text.length + 2;
	}

	return size;
}
