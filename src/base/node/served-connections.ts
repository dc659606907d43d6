import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '../common/clock.js';
import {TypedEvent} from '../common/typed-event.js';

/** How a connection that carried a response ended. */
export type ConnectionEnd =
	/** The client closed it after the last response had left this process, so it has read that response. */
	| 'closed-by-client'
	/** The client or the network reset it. */
	| 'reset'
	/** This host closed it without the client's end. The last response may not have arrived. */
	| 'unconfirmed';

/** The end of a connection that carried a response. */
export type EndedConnection = {
	readonly socket: Socket;
	readonly end: ConnectionEnd;
	/** Time since the last response left this process. */
	readonly sinceResponseMilliseconds: number;
};

/** Number of connections that ended in each way. */
export type ConnectionCounts = Readonly<Record<ConnectionEnd, number>>;

/** What is known of a connection. */
type ServedConnection = {
	/** Responses that have not left the process. */
	readonly openResponses: Set<ServerResponse>;
	/** Bytes read when the last request was complete, undefined before the first one. */
	bytesAtRequestEnd: number | undefined;
	/** The last request, undefined before the first one. */
	lastMessage: IncomingMessage | undefined;
	/** Monotonic time at which the last response left this process, undefined before the first one. */
	respondedAt: number | undefined;
	/** True once the client has closed its side of the connection. */
	hasClientEnded: boolean;
	/** True once the connection has failed. */
	isReset: boolean;
};

/** Time for which a connection is read after its last response, while its client still sends. A client sends the rest of a body within a round trip or two of the response. */
const lingerMilliseconds = 1000;

/** The connections of an HTTP server: their open responses, and how they end. */
export class ServedConnections {
	/** A connection that carried a response has ended. */
	readonly ended = new TypedEvent<EndedConnection>();
	/** Open connections. */
	private readonly connections = new Map<Socket, ServedConnection>();
	/** The same with those that were closed, whose responses end later. */
	private readonly known = new WeakMap<Socket, ServedConnection>();
	/** Connections that are read until their clients close them. */
	private readonly lingering = new Set<Socket>();
	private readonly ends: Record<ConnectionEnd, number> = {
		'closed-by-client': 0,
		reset: 0,
		unconfirmed: 0,
	};

	constructor(private readonly clock: Clock) {}

	/** Number of responses that have not completely left this process. */
	get openResponses(): number {
		let count = 0;
		for (const {openResponses} of this.connections.values()) {
			count += openResponses.size;
		}

		return count;
	}

	/** Number of connections that are read until their clients close them. */
	get lingeringConnections(): number {
		return this.lingering.size;
	}

	/** How the connections that carried a response have ended so far. */
	get counts(): ConnectionCounts {
		return {...this.ends};
	}

	/** Connections that carried a response and are open. */
	openConnections(): Array<Omit<EndedConnection, 'end'>> {
		const now = this.clock.monotonic();
		return [...this.connections].flatMap(([socket, {respondedAt}]) =>
			respondedAt === undefined
				? []
				: [{socket, sinceResponseMilliseconds: now - respondedAt}],
		);
	}

	/** True once the connection can carry no more responses. */
	isLingering(socket: Socket): boolean {
		return this.lingering.has(socket);
	}

	/** True once the client has closed its side of the connection or reset it. */
	isLeft(socket: Socket): boolean {
		const connection = this.known.get(socket);
		return connection?.hasClientEnded === true || connection?.isReset === true;
	}

	/** Closes connections that have had a request and have none now. The same function of Node.js also closes those whose last response has not been written to the network yet. */
	closeIdle(): void {
		for (const [socket, connection] of this.connections) {
			if (
				connection.openResponses.size === 0 &&
				connection.bytesAtRequestEnd === socket.bytesRead
			) {
				socket.destroy();
			}
		}
	}

	/** Observes a new connection. */
	add(socket: Socket): void {
		const connection: ServedConnection = {
			openResponses: new Set(),
			bytesAtRequestEnd: undefined,
			lastMessage: undefined,
			respondedAt: undefined,
			hasClientEnded: false,
			isReset: false,
		};
		socket.once('end', () => {
			connection.hasClientEnded = true;
		});
		socket.once('error', () => {
			connection.isReset = true;
		});
		this.connections.set(socket, connection);
		this.known.set(socket, connection);
		const destroySoon = socket.destroySoon.bind(socket);
		// The HTTP server calls this after the last response of a connection. A connection that is closed with unread bytes is reset, and the client can lose a response that it has not read yet.
		socket.destroySoon = () => {
			if (connection.lastMessage?.complete === false) {
				this.linger(socket);
			} else {
				destroySoon();
			}
		};

		socket.once('close', () => {
			this.connections.delete(socket);
			this.lingering.delete(socket);
			closeWaitingResponses(connection.openResponses);
			this.recordEnd(socket, connection);
		});
	}

	/** Observes a request and its response. Returns false for a connection that is not known or has been closed. */
	addRequest(message: IncomingMessage, response: ServerResponse): boolean {
		const {socket} = message;
		const connection = this.connections.get(socket);
		if (!connection) {
			return false;
		}

		connection.lastMessage = message;
		connection.openResponses.add(response);
		response.once('close', () => {
			connection.openResponses.delete(response);
			if (response.writableFinished) {
				connection.respondedAt = this.clock.monotonic();
			}
		});
		message.once('end', () => {
			connection.bytesAtRequestEnd = socket.bytesRead;
		});
		return true;
	}

	private recordEnd(
		socket: Socket,
		{respondedAt, hasClientEnded, isReset}: ServedConnection,
	): void {
		if (respondedAt === undefined) {
			return;
		}

		const end = isReset
			? 'reset'
			: hasClientEnded
				? 'closed-by-client'
				: 'unconfirmed';
		this.ends[end]++;
		this.ended.publish({
			socket,
			end,
			sinceResponseMilliseconds: this.clock.monotonic() - respondedAt,
		});
	}

	/** Ends the sending side of a connection and reads what the client still sends, until it closes the connection. */
	private linger(socket: Socket): void {
		if (this.lingering.has(socket) || socket.destroyed) {
			return;
		}

		this.lingering.add(socket);
		socket.end();
		socket.once('end', () => {
			socket.destroy();
		});
		const timer = setTimeout(() => {
			socket.destroy();
		}, lingerMilliseconds);
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}
}

/** Node.js closes only the response that has the connection when the connection is closed, not those that wait behind it. */
function closeWaitingResponses(responses: ReadonlySet<ServerResponse>): void {
	for (const response of responses) {
		if (!response.socket) {
			response.destroy();
			response.emit('close');
		}
	}
}
