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

	constructor(
		private readonly ports: Readonly<Record<string, number>>,
		kinds: readonly ClientKind[],
		count: number,
	) {
		for (let index = 0; index < count; index++) {
			this.connect(kinds[index % kinds.length]!);
		}
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
			send(socket, kind, kind.repetitions ?? Number.POSITIVE_INFINITY);
		});
	}
}

function send(socket: Socket, kind: ClientKind, repetitions: number): void {
	const {rest, pauseMilliseconds = 0} = kind;
	if (!rest || repetitions === 0 || socket.destroyed) {
		return;
	}

	socket.write(rest, () => {
		setTimeout(() => {
			send(socket, kind, repetitions - 1);
		}, pauseMilliseconds);
	});
}
