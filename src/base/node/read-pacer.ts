import {type Socket} from 'node:net';

/** What the pacer asks and tells the owner of a connection. */
export type PacedConnection = {
	readonly socket: Socket;
	/** True once nothing that the client sends is of use. It is read, so that the client can end, but not parsed. */
	readonly isDiscarded: () => boolean;
	/** False between the end of a request and the end of the next head. */
	readonly isBodyArriving: () => boolean;
	/** True while a body arrives that costs much more to parse than its payload is worth. */
	readonly isBodyExpensive: () => boolean;
	/** False while nothing more is to be parsed on the connection. */
	readonly mayParse: () => boolean;
	/** Bytes were received that are not parsed yet. */
	readonly onReceived: (bytes: number) => void;
	/** Bytes are about to be parsed, or were dropped with the connection. */
	readonly onTaken: (bytes: number) => void;
	/** A slice was parsed. */
	readonly onParsed: () => void;
};

type PacedReads = {
	readonly connection: PacedConnection;
	readonly deliver: (chunk: Buffer | null) => boolean;
	chunks: Buffer[];
	hasEnded: boolean;
	isQueued: boolean;
	/** Bytes that are parsed at once. Adapted to the cost of the bytes before. */
	sliceBytes: number;
	/** Recent parsing time, halved in each period. */
	recentMilliseconds: number;
	recentSince: number;
};

/** Parsing time in one turn of the event loop, after which other tasks of the process run. */
const maximumParsingMilliseconds = 8;
const minimumParsingMilliseconds = 0.5;
/** Turns that take longer, for what the requests cause, get less parsing time. Node.js accepts one connection a turn. */
const turnMilliseconds = 20;
/** Parsing time that one slice is to take. */
const sliceMilliseconds = 1;
const firstSliceBytes = 16_384;
/** The same while bodies wait that are expensive to parse: a new connection may bring another one. */
const firstSliceBytesBesideExpensive = 4096;
/** Outside of bodies, more than this may be many requests, which all begin while a slice is parsed. */
const usualHeadBytes = 2048;
const headSliceBytes = 256;
const minimumSliceBytes = 1024;
const maximumSliceBytes = 65_536;
/** Recent parsing time from which a connection waits for those that have used less. */
const heavyMilliseconds = 4;
const recentPeriodMilliseconds = 200;
/** Parsing time of expensive bodies in one turn. Longer turns would accept fewer connections, and so parse more for each that waits in the backlog. */
const expensiveTurnMilliseconds = 2;
/** Bytes that wait to be parsed on all connections, above which no further connection is read. */
const maximumWaitingBytes = 2_097_152;
/** Received bytes after which their buffers are collected. */
const collectionBytes = 2_097_152;

/**
 * Bounds the time in which an HTTP server parses what clients send per turn of the event loop. A read of 64 KiB with
 * chunks of one byte takes over 10 ms to parse, and Node.js parses all that it has read of all connections at once. The
 * pacer holds back what exceeds the share of a turn and lets the connections continue in turn, those first that have
 * used little time. While bytes of a connection wait, no more are read from it.
 */
export class ReadPacer {
	private readonly light: PacedReads[] = [];
	private readonly heavy: PacedReads[] = [];
	private readonly expensive: PacedReads[] = [];
	private readonly reads = new WeakMap<Socket, PacedReads>();
	private uncollectedBytes = 0;
	private spentMilliseconds = 0;
	private parsingMilliseconds = maximumParsingMilliseconds;
	/** Start of the last turn if another one follows it at once. */
	private turnStartedAt: number | undefined;
	private waitingBytes = 0;
	private isTurnScheduled = false;

	constructor(
		/** Collects the buffers of received bytes that were parsed. */
		private readonly collectBuffers?: () => void,
	) {}

	/** Paces a connection of an HTTP server. To be called after the server has taken the connection. */
	add(connection: PacedConnection): void {
		const {socket} = connection;
		const push = socket.push.bind(socket);
		const read = socket._read.bind(socket);
		const reads: PacedReads = {
			connection,
			deliver: push,
			chunks: [],
			hasEnded: false,
			isQueued: false,
			sliceBytes:
				this.expensive.length > 0
					? firstSliceBytesBesideExpensive
					: firstSliceBytes,
			recentMilliseconds: 0,
			recentSince: performance.now(),
		};
		this.reads.set(socket, reads);
		socket.push = (chunk: Buffer | null) => {
			if (chunk === null) {
				reads.hasEnded = true;
			} else {
				reads.chunks.push(chunk);
				this.waitingBytes += chunk.length;
				this.countReceived(chunk.length);
				connection.onReceived(chunk.length);
			}

			// The end of a connection is passed on at once: a request of a client that has left is not to be sent on.
			const isEnd = reads.hasEnded && reads.chunks.length === 0;
			if (isEnd || (!reads.isQueued && this.mayContinue())) {
				this.parseSlice(reads);
			}

			this.queue(reads);
			return reads.chunks.length === 0 && !reads.hasEnded;
		};

		socket._read = (size) => {
			if (reads.chunks.length > 0 || reads.hasEnded) {
				this.queue(reads);
			} else if (this.waitingBytes > maximumWaitingBytes) {
				this.enqueue(reads);
			} else {
				read(size);
			}
		};

		socket.once('close', () => {
			this.discard(reads);
			reads.hasEnded = false;
		});
		// The parser reads the socket by itself, and past the pacer, until somebody else listens to its data.
		socket.on('data', ignore);
	}

	/** Continues a connection that may parse again. */
	resume(socket: Socket): void {
		const reads = this.reads.get(socket);
		if (reads) {
			this.queue(reads);
		}
	}

	/** True while a connection waits for its turn to be parsed or read. */
	isWaiting(socket: Socket): boolean {
		const reads = this.reads.get(socket);
		return reads !== undefined && (reads.isQueued || reads.chunks.length > 0);
	}

	private countReceived(bytes: number): void {
		this.uncollectedBytes += bytes;
		if (this.uncollectedBytes > collectionBytes) {
			this.uncollectedBytes = 0;
			this.collectBuffers?.();
		}
	}

	private mayContinue(): boolean {
		this.scheduleTurn();
		return this.spentMilliseconds < this.parsingMilliseconds;
	}

	private queue(reads: PacedReads): void {
		if ((reads.chunks.length > 0 || reads.hasEnded) && canParse(reads)) {
			this.enqueue(reads);
		}
	}

	private enqueue(reads: PacedReads): void {
		if (reads.isQueued) {
			return;
		}

		reads.isQueued = true;
		this.queueOf(reads).push(reads);
		this.scheduleTurn();
	}

	private queueOf(reads: PacedReads): PacedReads[] {
		if (reads.connection.isBodyExpensive()) {
			return this.expensive;
		}

		return recentOf(reads) < heavyMilliseconds ? this.light : this.heavy;
	}

	private scheduleTurn(): void {
		if (!this.isTurnScheduled) {
			this.isTurnScheduled = true;
			setImmediate(() => {
				this.runTurn();
			});
		}
	}

	private runTurn(): void {
		this.isTurnScheduled = false;
		this.spentMilliseconds = 0;
		const now = performance.now();
		const isLong = now - (this.turnStartedAt ?? now) > turnMilliseconds;
		this.parsingMilliseconds = Math.min(
			maximumParsingMilliseconds,
			Math.max(
				minimumParsingMilliseconds,
				this.parsingMilliseconds * (isLong ? 0.7 : 1.1),
			),
		);
		this.turnStartedAt = undefined;
		// One slice of a connection that has used much, so that the others do not hold it up for ever.
		this.continueNext(this.heavy);
		while (
			this.spentMilliseconds < this.parsingMilliseconds &&
			(this.continueNext(this.light) || this.continueNext(this.heavy))
		) {
			// Continues until the turn is over.
		}

		while (
			this.continueNext(this.expensive) &&
			this.spentMilliseconds < expensiveTurnMilliseconds
		) {
			// Parses at least one slice, so that the others do not hold such bodies up for ever.
		}

		if (
			this.light.length > 0 ||
			this.heavy.length > 0 ||
			this.expensive.length > 0
		) {
			this.turnStartedAt = now;
			this.scheduleTurn();
		}
	}

	private continueNext(queue: PacedReads[]): boolean {
		const reads = queue.shift();
		if (!reads) {
			return false;
		}

		reads.isQueued = false;
		if (reads.chunks.length > 0 || reads.hasEnded) {
			this.parseSlice(reads);
			this.queue(reads);
		} else if (!reads.connection.socket.destroyed) {
			this.spentMilliseconds += 0.01;
			reads.connection.socket._read(0);
		}

		return true;
	}

	private parseSlice(reads: PacedReads): void {
		if (!canParse(reads)) {
			return;
		}

		const [chunk] = reads.chunks;
		if (!chunk) {
			if (reads.hasEnded) {
				reads.hasEnded = false;
				reads.deliver(null);
				reads.connection.socket.read(0);
			}

			return;
		}

		if (reads.connection.isDiscarded()) {
			this.discard(reads);
			reads.connection.socket.read(0);
			return;
		}

		const slice = chunk.subarray(
			0,
			reads.connection.isBodyArriving() || chunk.length <= usualHeadBytes
				? reads.sliceBytes
				: headSliceBytes,
		);
		if (slice.length === chunk.length) {
			reads.chunks.shift();
		} else {
			reads.chunks[0] = chunk.subarray(slice.length);
		}

		this.waitingBytes -= slice.length;
		reads.connection.onTaken(slice.length);
		const startedAt = performance.now();
		reads.deliver(slice);
		const milliseconds = performance.now() - startedAt;
		this.spentMilliseconds += milliseconds;
		reads.recentMilliseconds = recentOf(reads) + milliseconds;
		reads.sliceBytes = Math.min(
			maximumSliceBytes,
			Math.max(
				minimumSliceBytes,
				Math.floor((slice.length * sliceMilliseconds) / milliseconds),
			),
		);
		reads.connection.onParsed();
	}

	private discard(reads: PacedReads): void {
		for (const {length} of reads.chunks) {
			this.waitingBytes -= length;
			reads.connection.onTaken(length);
		}

		reads.chunks = [];
	}
}

function canParse({connection: {socket, mayParse}}: PacedReads): boolean {
	return !socket.destroyed && socket.readableFlowing !== false && mayParse();
}

function recentOf(reads: PacedReads): number {
	const periods = Math.floor(
		(performance.now() - reads.recentSince) / recentPeriodMilliseconds,
	);
	if (periods > 0) {
		reads.recentMilliseconds /= 2 ** periods;
		reads.recentSince += periods * recentPeriodMilliseconds;
	}

	return reads.recentMilliseconds;
}

function ignore(): void {
	// Only the presence of the listener matters.
}
