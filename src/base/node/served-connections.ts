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
	/** Monotonic time at which the last response left this process, undefined before the first one and for responses that need not arrive. */
	respondedAt: number | undefined;
	/** True once the client has closed its side of the connection. */
	hasClientEnded: boolean;
	/** True once the connection has failed. */
	isReset: boolean;
};

/** Time after a response within which it arrives, and the end of its client comes back. Longer than clients wait without receiving anything. */
const deliveryMilliseconds = 3000;

/**
 * The connections of an HTTP server: their open responses, and how they end. The server ends its side of a connection
 * first and reads on until the client has closed the other one, which shows that the client has read the last response:
 * what the operating system has taken is lost if the connection is reset for bytes that were not read, or if the network
 * ends with the process.
 */
export class ServedConnections {
	/** A connection was accepted. */
	readonly accepted = new TypedEvent<void>();
	/** A connection that carried a response has ended. */
	readonly ended = new TypedEvent<EndedConnection>();
	/** Open connections. */
	private readonly connections = new Map<Socket, ServedConnection>();
	/** The same with those that were closed, whose responses end later. */
	private readonly known = new WeakMap<Socket, ServedConnection>();
	/** Connections whose sending side has ended, and that are read until their clients close them. */
	private readonly ending = new Set<Socket>();
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

	/** Number of connections whose last response has left this process lately and may not have arrived. */
	get undeliveredResponses(): number {
		const now = this.clock.monotonic();
		let count = 0;
		for (const {openResponses, respondedAt} of this.connections.values()) {
			count +=
				openResponses.size === 0 &&
				respondedAt !== undefined &&
				now - respondedAt < deliveryMilliseconds
					? 1
					: 0;
		}

		return count;
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
	isEnding(socket: Socket): boolean {
		return this.ending.has(socket);
	}

	/** True once the client has closed its side of the connection or reset it. */
	isLeft(socket: Socket): boolean {
		const connection = this.known.get(socket);
		return connection?.hasClientEnded === true || connection?.isReset === true;
	}

	/** Ends connections that have carried a response and have no request now. */
	endIdle(): void {
		for (const [socket, connection] of this.connections) {
			if (
				connection.openResponses.size === 0 &&
				connection.respondedAt !== undefined &&
				connection.bytesAtRequestEnd === socket.bytesRead
			) {
				this.end(socket);
			}
		}
	}

	/** Observes a new connection. */
	add(socket: Socket): void {
		this.accepted.publish();
		const connection: ServedConnection = {
			openResponses: new Set(),
			bytesAtRequestEnd: undefined,
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
		// The HTTP server calls this after the last response of a connection.
		socket.destroySoon = () => {
			if (connection.hasClientEnded) {
				destroySoon();
			} else {
				this.end(socket);
			}
		};

		socket.once('close', () => {
			this.connections.delete(socket);
			this.ending.delete(socket);
			closeWaitingResponses(connection.openResponses);
			this.recordEnd(socket, connection);
		});
	}

	/** Observes a request and its response. Returns false for a connection that is not known or has been closed. */
	addRequest(
		message: IncomingMessage,
		response: ServerResponse,
		mustArrive = true,
	): boolean {
		const {socket} = message;
		const connection = this.connections.get(socket);
		if (!connection) {
			return false;
		}

		// A client that sends its next request has read the last response.
		connection.respondedAt = undefined;
		connection.openResponses.add(response);
		response.once('close', () => {
			connection.openResponses.delete(response);
			if (response.writableFinished && mustArrive) {
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
	private end(socket: Socket): void {
		if (this.ending.has(socket) || socket.destroyed) {
			return;
		}

		this.ending.add(socket);
		socket.end();
		socket.once('end', () => {
			socket.destroy();
		});
		const timer = setTimeout(() => {
			socket.destroy();
		}, deliveryMilliseconds);
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
