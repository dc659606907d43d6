import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';

/** Bytes on the way in one direction from which the sender is not read. */
const maximumBytesUnderWay = 65_536;

/** A TCP proxy on the loopback interface that passes everything on, also ends and resets, after a delay, and holds few bytes. */
export class DelayedPath {
	private readonly sockets = new Set<Socket>();
	private readonly listener: Server;

	constructor(
		private readonly serverPort: number,
		private readonly drawDelay: () => number,
	) {
		this.listener = createServer({allowHalfOpen: true}, (client) => {
			this.accept(client);
		});
	}

	/** Starts listening and returns the port. */
	async start(): Promise<number> {
		await new Promise<void>((resolve) => {
			this.listener.listen(0, '127.0.0.1', resolve);
		});
		return (this.listener.address() as AddressInfo).port;
	}

	/** Stops listening and closes all connections. */
	stop(): void {
		this.listener.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private accept(client: Socket): void {
		const server = connect({
			host: '127.0.0.1',
			port: this.serverPort,
			allowHalfOpen: true,
		});
		const delay = this.drawDelay();
		for (const socket of [client, server]) {
			this.sockets.add(socket);
			socket.setNoDelay(true);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		}

		passOn(client, server, delay);
		passOn(server, client, delay);
	}
}

function passOn(from: Socket, to: Socket, delay: number): void {
	let bytesUnderWay = 0;
	// Timers of equal length fire in order, so the bytes keep theirs.
	const later = (action: () => void) => {
		setTimeout(() => {
			if (!to.destroyed) {
				action();
			}
		}, delay);
	};

	const readOn = () => {
		if (bytesUnderWay + to.writableLength < maximumBytesUnderWay) {
			from.resume();
		}
	};

	from.on('data', (bytes: Buffer) => {
		bytesUnderWay += bytes.length;
		if (bytesUnderWay + to.writableLength >= maximumBytesUnderWay) {
			from.pause();
		}

		later(() => {
			bytesUnderWay -= bytes.length;
			to.write(bytes, readOn);
		});
	});
	from.on('end', () => {
		later(() => {
			to.end();
		});
	});
	from.on('error', () => {
		later(() => {
			to.resetAndDestroy();
		});
	});
	from.on('close', () => {
		later(() => {
			to.destroySoon();
		});
	});
}
