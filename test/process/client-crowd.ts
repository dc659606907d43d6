import {connect, type Socket} from 'node:net';

/** What one client of a crowd sends. */
export type ClientKind = {
	readonly port: 'callers' | 'peers';
	/** Sent once when the connection has opened. */
	readonly first: Buffer | string;
	/** Sent again and again, as fast as the connection takes it or with a pause. */
	readonly rest?: Buffer;
	readonly pauseMilliseconds?: number;
	/** Number of times that the rest is sent. Default: without end. */
	readonly repetitions?: number;
	/** True for a client that reads nothing. */
	readonly isDeaf?: boolean;
};

/** Delay before a client connects again whose connection was closed. */
const reconnectMilliseconds = 100;

/** Clients that all send the same and connect again when they are turned away. */
export class ClientCrowd {
	private readonly sockets = new Set<Socket>();
	private isOver = false;
	private sent = 0;

	constructor(
		private readonly ports: Readonly<Record<string, number>>,
		kinds: readonly ClientKind[],
		count: number,
	) {
		for (let index = 0; index < count; index++) {
			this.connect(kinds[index % kinds.length]!);
		}
	}

	/** Bytes that the operating system has taken of all clients. */
	get sentBytes(): number {
		return this.sent;
	}

	/** Closes all connections. */
	end(): void {
		this.isOver = true;
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private connect(kind: ClientKind): void {
		const socket = connect(this.ports[kind.port]!, '127.0.0.1');
		this.sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.sockets.delete(socket);
			setTimeout(() => {
				if (!this.isOver) {
					this.connect(kind);
				}
			}, reconnectMilliseconds);
		});
		if (kind.isDeaf) {
			socket.pause();
		} else {
			socket.resume();
		}

		socket.write(kind.first, () => {
			this.sendRest(socket, kind, kind.repetitions ?? Number.POSITIVE_INFINITY);
		});
	}

	private sendRest(
		socket: Socket,
		kind: ClientKind,
		repetitions: number,
	): void {
		const {rest, pauseMilliseconds = 0} = kind;
		if (!rest || repetitions === 0 || socket.destroyed) {
			return;
		}

		socket.write(rest, (error) => {
			this.sent += error ? 0 : rest.length;
			setTimeout(() => {
				this.sendRest(socket, kind, repetitions - 1);
			}, pauseMilliseconds);
		});
	}
}

/** What a client sends whose request is complete. */
export type WholeRequest = {
	readonly head: string;
	/** The body in its transfer coding, sent as fast as the connection takes it. */
	readonly parts: readonly Buffer[];
	/** Pause before each part. */
	readonly pauseMilliseconds?: number;
};

/** Sends one request on a connection of its own. Returns the status of the response, or 0 if the connection ends without one. */
export async function sendWhole(
	port: number,
	{head, parts, pauseMilliseconds = 0}: WholeRequest,
): Promise<number> {
	const socket = connect(port, '127.0.0.1');
	const status = new Promise<number>((resolve) => {
		let received = '';
		socket.setEncoding('latin1');
		socket.on('error', () => undefined);
		socket.on('data', (data: string) => {
			received += data;
			const match = /^HTTP\/1\.1 (\d{3}) /.exec(received);
			if (match) {
				resolve(Number(match[1]));
			}
		});
		socket.on('close', () => {
			resolve(0);
		});
	});
	const answered = status.then(() => true);
	socket.write(head);
	for (const part of parts) {
		const pause = new Promise<void>((resolve) => {
			setTimeout(resolve, pauseMilliseconds);
		});
		if (await Promise.race([answered, pause])) {
			break;
		}

		const taken = new Promise<void>((resolve) => {
			socket.write(part, () => {
				resolve();
			});
		});
		await Promise.race([answered, taken]);
	}

	try {
		return await status;
	} finally {
		socket.destroy();
	}
}
