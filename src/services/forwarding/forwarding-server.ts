import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import {type Result} from 'neverthrow';
import {Disposable} from '../../base/common/disposable.js';
import {ServedConnections} from '../../base/node/served-connections.js';
import {BodyBuffer} from '../../base/node/body-buffer.js';
import {SystemClock} from '../../base/node/system-clock.js';
import {
	listenOn,
	type ListenError,
	type ListenOptions,
} from '../../base/node/listen.js';
import {type RequestLimits} from '../../contracts/forwarding-document.js';
import {type ByteBudget} from '../../core/limits/byte-budget.js';
import {
	ResponseAccount,
	type ResponseCounts,
} from '../../core/streams/response-account.js';

/** A request of a caller with its complete body. */
export type ReceivedRequest = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly body: Buffer;
	/** Monotonic time at which it arrived, if it was not handled at once. */
	readonly arrivedAt?: number;
};

/** Handles the requests that the server receives. */
export abstract class ReceivedRequestHandler {
	/** Handles a request within the limits. */
	abstract handle(request: ReceivedRequest): void;

	/** Responds to a request that is malformed or exceeds a limit. */
	abstract reject(
		message: IncomingMessage,
		response: ServerResponse,
		status: 400 | 413 | 431,
	): void;

	/** Responds to a request whose body this host has no memory for at present. */
	abstract refuseForMemory(
		message: IncomingMessage,
		response: ServerResponse,
	): void;
}

/** Tells hono that the response is written outside it. */
const alreadySentResponse = {headers: {'x-hono-already-sent': 'true'}};
/** Limit of the HTTP parser. The limit of the document can change while the server runs, so it is checked on the parsed headers. */
const maximumHeaderBytes = 131_072;
/** Interval at which connections are checked for the header timeout. */
const connectionCheckIntervalMilliseconds = 500;

/** HTTP server for callers. It enforces the limits of the document on headers, bodies and connections. */
export class ForwardingServer extends Disposable {
	/** The connections of callers. */
	readonly connections = new ServedConnections(new SystemClock());
	private readonly server: Server;
	private limits: RequestLimits = {
		headerBytes: 16_384,
		bodyBytes: 4_194_304,
		headerTimeoutMilliseconds: 3000,
		idleTimeoutMilliseconds: 15_000,
	};

	/** Ends the receiving of each request whose body has not arrived completely. */
	private readonly incomplete = new Set<() => void>();

	private readonly account = new ResponseAccount();

	constructor(
		private readonly handler: ReceivedRequestHandler,
		/** Limit for the bodies of all requests that are held at once. No limit if absent. */
		private readonly budget?: ByteBudget,
		/** Limits what the connections may cost. */
		guard?: (
			server: Server,
			connections: ServedConnections,
			refuseBody: (message: IncomingMessage, response: ServerResponse) => void,
		) => void,
	) {
		super();
		const app = new Hono<{Bindings: HttpBindings}>();
		app.all('*', (context) => {
			this.receive(context.env.incoming, context.env.outgoing);
			return new Response(null, alreadySentResponse);
		});
		const listener = getRequestListener(app.fetch, {
			overrideGlobalObjects: false,
			autoCleanupIncoming: false,
		});
		this.server = createServer(
			{
				maxHeaderSize: maximumHeaderBytes,
				connectionsCheckingInterval: connectionCheckIntervalMilliseconds,
				noDelay: true,
			},
			(message, response) => {
				if (this.connections.isEnding(message.socket)) {
					// The connection can carry no more answers, so the request is neither handled nor passed on.
					message.resume();
					return;
				}

				if (this.connections.addRequest(message, response)) {
					message.once('end', () => {
						this.accountFor(message, response);
					});
				}

				void listener(message, response);
			},
		);
		this.server.on('connection', (socket: Socket) => {
			this.connections.add(socket);
		});
		guard?.(this.server, this.connections, (message, response) => {
			this.handler.refuseForMemory(message, response);
		});
		this.server.requestTimeout = 0;
		this.applyLimits(this.limits);
	}

	/** Applies the limits of a document. */
	applyLimits(limits: RequestLimits): void {
		this.limits = limits;
		this.server.headersTimeout = limits.headerTimeoutMilliseconds;
		this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
	}

	/** Starts listening and returns the port. */
	async listen(
		port: number,
		hostname: string,
		options?: ListenOptions,
	): Promise<Result<number, ListenError>> {
		return listenOn(this.server, port, hostname, options);
	}

	/** Number of requests whose bodies have not arrived completely. */
	get incompleteRequests(): number {
		return this.incomplete.size;
	}

	/** Lets the handler, which accepts no requests any more, respond to those that have not arrived completely. */
	endIncompleteRequests(): void {
		for (const end of this.incomplete) {
			end();
		}
	}

	/** What became of the requests that were read completely. */
	get responseCounts(): ResponseCounts {
		return this.account.counts();
	}

	/** Stops accepting connections. Closing the HTTP server itself would also reset connections on which a request is about to arrive. */
	stopListening(): void {
		if (this.server.listening) {
			NetServer.prototype.close.call(this.server);
		}
	}

	dispose(): void {
		this.stopListening();
		this.server.closeAllConnections();
	}

	private accountFor(
		{socket}: IncomingMessage,
		response: ServerResponse,
	): void {
		if (response.closed) {
			return;
		}

		this.account.recordRead();
		response.once('close', () => {
			if (response.writableFinished) {
				this.account.recordEnd('whole');
			} else {
				this.account.recordEnd(
					this.connections.isLeft(socket) ? 'abandoned' : 'interrupted',
				);
			}
		});
	}

	private receive(message: IncomingMessage, response: ServerResponse): void {
		const {headerBytes, bodyBytes} = this.limits;
		if (headerSizeOf(message.rawHeaders) > headerBytes) {
			this.handler.reject(message, response, 431);
			return;
		}

		const declaredBytes = Number(message.headers['content-length'] ?? 0);
		if (declaredBytes > bodyBytes) {
			this.handler.reject(message, response, 413);
			return;
		}

		const held = this.budget?.hold();
		const received = new BodyBuffer();
		let isRejected = false;
		response.once('close', () => {
			held?.release();
			// The guard may have ended the request. Its connection is read for some seconds more.
			isRejected = true;
			received.clear();
		});
		if (held?.admits(declaredBytes) === false) {
			this.handler.refuseForMemory(message, response);
			return;
		}

		let size = 0;
		const endIncomplete = () => {
			this.incomplete.delete(endIncomplete);
			// The guard of the connections may have refused the request.
			if (!isRejected && !response.headersSent) {
				isRejected = true;
				this.handler.handle({message, response, body: Buffer.alloc(0)});
			}
		};

		this.incomplete.add(endIncomplete);
		message.on('close', () => {
			this.incomplete.delete(endIncomplete);
		});
		message.on('data', (chunk: Buffer) => {
			size += chunk.length;
			if (size > bodyBytes && !isRejected) {
				isRejected = true;
				this.handler.reject(message, response, 413);
			}

			if (!isRejected && held?.tryTake(chunk.length) === false) {
				isRejected = true;
				held.release();
				this.handler.refuseForMemory(message, response);
			}

			if (isRejected) {
				received.clear();
			} else {
				received.append(chunk);
			}
		});
		message.on('end', () => {
			this.incomplete.delete(endIncomplete);
			if (!isRejected) {
				// The listeners outlive the request's body, so the buffer is emptied here.
				this.handler.handle({message, response, body: received.take()});
			}
		});
		message.on('error', () => {
			// The connection failed before the request was complete, so there is no caller to respond to.
			isRejected = true;
			received.clear();
		});
	}
}

function headerSizeOf(rawHeaders: readonly string[]): number {
	let size = 0;
	for (const text of rawHeaders) {
		// Two bytes for the colon and the space after a name, or the line end after a value.
		size += text.length + 2;
	}

	return size;
}
