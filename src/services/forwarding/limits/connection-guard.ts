import {
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {TypedEvent} from '../../../base/common/typed-event.js';
import {type ReadPacer} from '../../../base/node/read-pacer.js';
import {type ByteBudget} from '../../../core/limits/byte-budget.js';
import {ChunkCost} from '../../../core/limits/chunk-cost.js';
import {
	connectionBytes,
	isBodyTooSlow,
	type ClientLimits,
} from '../../../core/limits/client-limits.js';

/** Why the guard closed a connection. */
export type GuardReason =
	/** There are as many connections as the host may have. */
	| 'connections'
	/** What the host holds for all clients exceeds its memory. */
	| 'memory'
	/** The end of a body did not arrive in time, its bytes arrive too slowly, or none arrived for the idle time. */
	| 'slow-body'
	/** A body makes no progress while others need the memory. */
	| 'stalled-body'
	/** The body comes in small chunks, and more such bodies wait to be parsed than may. */
	| 'fragmented-body'
	/** The client does not read a response. */
	| 'unread';

/** Options of a guard. */
export type ConnectionGuardOptions = {
	readonly server: Server;
	readonly clock: Clock;
	readonly pacer: ReadPacer;
	readonly limits: ClientLimits;
	/** Connections that may be open at once. */
	readonly maximumConnections: number;
	/** The sum of all that is held. */
	readonly total: ByteBudget;
	/** Time for which a client may send nothing of a body. */
	readonly idleMilliseconds: () => number;
	/** True for a connection that can carry no more responses. What its client still sends is not parsed. */
	readonly isEnding: (socket: Socket) => boolean;
	/** Responds to a request whose body is too slow, if there is a true response. */
	readonly endSlowBody: (response: ServerResponse) => void;
	/** Refuses a request whose body costs too much to read to its end. */
	readonly refuseBody: (
		message: IncomingMessage,
		response: ServerResponse,
	) => void;
};

/** A request whose body may not have ended. */
type ArrivingRequest = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly startedAt: number;
	readonly cost: ChunkCost;
};

/** What is known of a connection. */
type GuardedConnection = {
	readonly socket: Socket;
	/** Responses that have not ended. */
	readonly open: Set<ServerResponse>;
	/** The last request, until its response or body has ended. */
	arriving: ArrivingRequest | undefined;
	/** True once a body was refused. What follows it is not parsed. */
	isRefused: boolean;
	/** Time since which the client owes the end of a head or body. */
	owingSince: number;
	hasSentRequest: boolean;
	/** Bytes received since the last head. */
	receivedBytes: number;
	/** Time at which bytes were last received. */
	receivedAt: number;
	/** Bytes received, and the time, when the body was last seen to make progress. */
	progress: {bytes: number; at: number};
	/** Bytes received and not parsed. */
	waitingBytes: number;
	/** Bytes of the head that is arriving. */
	headBytes: number;
	/** What waited to be sent when the client was last seen to read. */
	unsent: string;
	readAt: number;
};

const checkIntervalMilliseconds = 500;
/** Bytes from which a body is seen to make progress. */
const progressBytes = 1024;
/** Time without reading from which a client may be closed for the sake of others. */
const deafMilliseconds = 3000;
/** Time in which a client that has just connected sends its request, also while the host is busy. */
const newMilliseconds = 500;

/**
 * Bounds what the clients of an HTTP server cost: connections, bytes that are held, time for bodies, time without reading
 * and requests that one connection has open. When there are too many connections, or too many bytes are held, it closes
 * the client that has owed the end of a request for the longest time. A request that was read keeps its connection, as
 * long as its client reads the response.
 */
export class ConnectionGuard extends Disposable {
	/** The guard has closed a connection. */
	readonly closed = new TypedEvent<GuardReason>();
	private readonly connections = new Map<Socket, GuardedConnection>();
	/** Connections on which a body arrives in small chunks. */
	private readonly fragmented = new Set<GuardedConnection>();
	private readonly timer: NodeJS.Timeout;

	constructor(private readonly options: ConnectionGuardOptions) {
		super();
		const {server, maximumConnections} = options;
		// The new connection that is one too many takes the place of another one.
		server.maxConnections = maximumConnections + 1;
		server.on('connection', (socket: Socket) => {
			this.add(socket);
		});
		server.prependListener('request', (message, response) => {
			this.addRequest(message, response);
		});
		this.timer = setInterval(() => {
			// After a stall, what has arrived meanwhile is read first.
			setImmediate(() => {
				this.check();
			});
		}, checkIntervalMilliseconds);
		this.timer.unref();
	}

	/** Number of open connections. */
	get openConnections(): number {
		return this.connections.size;
	}

	/** Closes the client that has not read for the longest time, so that others can have the memory. */
	closeDeaf(): void {
		const now = this.options.clock.monotonic();
		const candidates = [...this.connections.values()].filter(
			(connection) => this.deafTime(connection, now) >= deafMilliseconds,
		);
		const [first] = candidates.sort((a, b) => a.readAt - b.readAt);
		if (first) {
			this.close(first, 'unread');
		}
	}

	/** Ends the largest body that makes no progress, so that others can have the memory. Returns false if there is none. */
	endStalledBody(): boolean {
		const {clock, limits} = this.options;
		const now = clock.monotonic();
		let chosen: GuardedConnection | undefined;
		for (const connection of this.connections.values()) {
			if (
				isReceivingBody(connection) &&
				progressTime(connection, now) >= limits.stalledMilliseconds &&
				connection.receivedBytes > (chosen?.receivedBytes ?? 0)
			) {
				chosen = connection;
			}
		}

		if (!chosen) {
			return false;
		}

		this.endBody(chosen, 'stalled-body');
		return true;
	}

	dispose(): void {
		clearInterval(this.timer);
	}

	private add(socket: Socket): void {
		const {clock, pacer, limits, total, maximumConnections} = this.options;
		const now = clock.monotonic();
		const connection: GuardedConnection = {
			socket,
			open: new Set(),
			arriving: undefined,
			isRefused: false,
			owingSince: now,
			hasSentRequest: false,
			receivedBytes: 0,
			receivedAt: now,
			progress: {bytes: 0, at: now},
			waitingBytes: 0,
			headBytes: 0,
			unsent: '',
			readAt: now,
		};
		if (this.connections.size >= maximumConnections) {
			this.makeRoom('connections', connection);
		}

		if (!total.tryTake(connectionBytes)) {
			this.makeRoom('memory', connection);
			total.take(connectionBytes);
		}

		this.connections.set(socket, connection);
		socket.once('close', () => {
			this.connections.delete(socket);
			this.fragmented.delete(connection);
			total.release(connectionBytes + connection.headBytes);
		});
		pacer.add({
			socket,
			isBodyArriving: () => isBodyArriving(connection),
			isBodyExpensive: () => isFragmented(connection),
			isDiscarded: () => connection.isRefused || this.options.isEnding(socket),
			mayParse: () => answeringCount(connection) < limits.requestsPerConnection,
			onReceived(bytes) {
				connection.waitingBytes += bytes;
				connection.receivedBytes += bytes;
				connection.receivedAt = clock.monotonic();
				total.take(bytes);
			},
			onTaken: (bytes) => {
				connection.waitingBytes -= bytes;
				total.release(bytes);
				this.countHead(connection, bytes);
			},
			onParsed: () => {
				this.limitFragmentedBodies(connection);
			},
		});
	}

	/** Counts what the parser keeps of a head until it is complete. */
	private countHead(connection: GuardedConnection, bytes: number): void {
		if (isBodyArriving(connection) || connection.socket.destroyed) {
			return;
		}

		const {total} = this.options;
		connection.headBytes += bytes;
		if (!total.tryTake(bytes)) {
			total.take(bytes);
			this.makeRoom('memory', connection);
		}
	}

	private addRequest(message: IncomingMessage, response: ServerResponse): void {
		const connection = this.connections.get(message.socket);
		if (!connection) {
			return;
		}

		const {clock, pacer, total} = this.options;
		const {headBytes} = connection;
		connection.headBytes = 0;
		connection.receivedBytes = 0;
		connection.receivedAt = clock.monotonic();
		connection.progress = {bytes: 0, at: clock.monotonic()};
		const cost = new ChunkCost();
		// The parser passes each chunk of the body to this method.
		const push = message.push.bind(message);
		message.push = (chunk: Buffer | null, encoding?: BufferEncoding) => {
			if (chunk !== null) {
				cost.add(chunk.length);
			}

			return push(chunk, encoding);
		};

		connection.arriving = {
			message,
			response,
			startedAt: clock.monotonic(),
			cost,
		};
		connection.open.add(response);
		connection.hasSentRequest = true;
		message.once('end', () => {
			if (connection.arriving?.response === response) {
				connection.arriving = undefined;
			}
		});
		response.once('close', () => {
			total.release(headBytes);
			connection.open.delete(response);
			if (connection.arriving?.response === response) {
				connection.arriving = undefined;
			}

			connection.owingSince = clock.monotonic();
			pacer.resume(message.socket);
		});
	}

	/** Refuses the body that has cost most while more fragmented ones than allowed wait to be parsed. A single one is parsed whatever it costs. */
	private limitFragmentedBodies(parsed: GuardedConnection): void {
		if (!isFragmented(parsed)) {
			return;
		}

		const {pacer, limits, refuseBody} = this.options;
		this.fragmented.add(parsed);
		let waiting = 0;
		let chosen: ArrivingRequest | undefined;
		let chosenConnection = parsed;
		for (const connection of this.fragmented) {
			const {arriving, socket} = connection;
			if (!arriving || !isFragmented(connection)) {
				this.fragmented.delete(connection);
			} else if (pacer.isWaiting(socket)) {
				waiting++;
				if (!chosen || arriving.cost.excessChunks > chosen.cost.excessChunks) {
					chosen = arriving;
					chosenConnection = connection;
				}
			}
		}

		if (chosen && waiting > limits.fragmentedBodies) {
			chosenConnection.isRefused = true;
			this.fragmented.delete(chosenConnection);
			this.closed.publish('fragmented-body');
			refuseBody(chosen.message, chosen.response);
		}
	}

	/** Closes the client with the highest rank, or else the new one. */
	private makeRoom(reason: GuardReason, newest: GuardedConnection): void {
		const now = this.options.clock.monotonic();
		let chosen: GuardedConnection | undefined;
		let chosenRank = 0;
		for (const connection of this.connections.values()) {
			const rank = this.rank(connection, now);
			if (
				!connection.socket.destroyed &&
				rank > 0 &&
				(rank > chosenRank ||
					(rank === chosenRank && connection.owingSince < chosen!.owingSince))
			) {
				chosen = connection;
				chosenRank = rank;
			}
		}

		this.close(chosen ?? newest, reason);
	}

	/**
	 * Higher for clients that are closed first: those that owe the end of a request, those with several open requests or
	 * without any reading, idle ones, and new ones, whose request may be about to be read. 0 for those whose only request
	 * is being served.
	 */
	private rank(connection: GuardedConnection, now: number): number {
		const {hasSentRequest, headBytes} = connection;
		const answering = answeringCount(connection);
		if (answering > 0) {
			return answering > 1 || this.deafTime(connection, now) >= deafMilliseconds
				? 3
				: 0;
		}

		if (isBodyArriving(connection) || !hasSentRequest || headBytes > 0) {
			return now - connection.owingSince >= newMilliseconds ? 4 : 1;
		}

		return 2;
	}

	/** Time for which a client has had a response to read and has read nothing of it. */
	private deafTime(connection: GuardedConnection, now: number): number {
		const {socket} = connection;
		const unsent = unsentOf(socket);
		if (socket.writableLength === 0 || unsent !== connection.unsent) {
			connection.unsent = unsent;
			connection.readAt = now;
		}

		return now - connection.readAt;
	}

	private check(): void {
		const {clock, limits, idleMilliseconds} = this.options;
		const now = clock.monotonic();
		for (const connection of this.connections.values()) {
			const {arriving, receivedBytes, receivedAt} = connection;
			progressTime(connection, now);
			if (this.deafTime(connection, now) > limits.unreadMilliseconds) {
				this.close(connection, 'unread');
			} else if (
				arriving &&
				isReceivingBody(connection) &&
				(now - receivedAt > idleMilliseconds() ||
					isBodyTooSlow(limits, receivedBytes, now - arriving.startedAt))
			) {
				this.endBody(connection, 'slow-body');
			}
		}
	}

	/** Gives a request up whose end is awaited in vain. */
	private endBody(connection: GuardedConnection, reason: GuardReason): void {
		const {arriving} = connection;
		connection.isRefused = true;
		this.closed.publish(reason);
		if (arriving) {
			this.options.endSlowBody(arriving.response);
		}
	}

	private close(connection: GuardedConnection, reason: GuardReason): void {
		connection.socket.destroy();
		this.closed.publish(reason);
	}
}

/** Follows the parser: the event for the end of a body comes later, when the parser may have been given further requests. */
function isBodyArriving({arriving}: GuardedConnection): boolean {
	return arriving !== undefined && !arriving.message.complete;
}

/** True while the end of a body is awaited and all that was received of it is parsed: what this host has not parsed is not the fault of the client. */
function isReceivingBody(connection: GuardedConnection): boolean {
	return (
		!connection.isRefused &&
		connection.waitingBytes === 0 &&
		!connection.socket.destroyed &&
		isBodyArriving(connection)
	);
}

/** Time since a body has made progress, which is more than some bytes now and then. */
function progressTime(connection: GuardedConnection, now: number): number {
	const {progress, receivedBytes} = connection;
	if (
		!isReceivingBody(connection) ||
		receivedBytes - progress.bytes >= progressBytes
	) {
		connection.progress = {bytes: receivedBytes, at: now};
	}

	return now - connection.progress.at;
}

/** True while a body arrives that costs much more to parse than its payload is worth. */
function isFragmented(connection: GuardedConnection): boolean {
	return (
		!connection.isRefused &&
		connection.arriving?.cost.isFragmented === true &&
		isBodyArriving(connection)
	);
}

/** Number of requests that were read and whose responses have not ended. */
function answeringCount(connection: GuardedConnection): number {
	return connection.open.size - (isBodyArriving(connection) ? 1 : 0);
}

/** Changes whenever the client takes bytes, also while one large write is under way, which only the queue of the handle shows. */
function unsentOf(socket: Socket): string {
	const {_handle: handle} = socket as Socket & {
		readonly _handle?: {readonly writeQueueSize?: number} | null;
	};
	return `${socket.bytesWritten - socket.writableLength} ${handle?.writeQueueSize ?? 0}`;
}
