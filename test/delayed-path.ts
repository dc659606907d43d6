import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';

/** A path that a connection takes. */
export type PathQuality = {
	/** Delay in each direction. */
	readonly delayMilliseconds: number;
	/** Rate in each direction. No limit if absent. */
	readonly bytesPerSecond?: number;
	/** Bytes on the way in one direction from which the sender is not read. */
	readonly maximumBytesUnderWay?: number;
};

const defaultBytesUnderWay = 65_536;

/** A TCP proxy on the loopback interface that passes everything on, also ends and resets, after a delay, and holds few bytes. */
export class DelayedPath {
	private readonly sockets = new Set<Socket>();
	private readonly listener: Server;

	constructor(
		private readonly serverPort: number,
		private readonly drawQuality: () => PathQuality,
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

	/** Ends as the network of a machine that is taken away with its process: what is under way is lost. */
	cut(): void {
		this.listener.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	private accept(client: Socket): void {
		const server = connect({
			host: '127.0.0.1',
			port: this.serverPort,
			allowHalfOpen: true,
		});
		const quality = this.drawQuality();
		for (const socket of [client, server]) {
			this.sockets.add(socket);
			socket.setNoDelay(true);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		}

		passOn(client, server, quality);
		passOn(server, client, quality);
	}
}

function passOn(
	from: Socket,
	to: Socket,
	{
		delayMilliseconds,
		bytesPerSecond = Number.POSITIVE_INFINITY,
		maximumBytesUnderWay = defaultBytesUnderWay,
	}: PathQuality,
): void {
	let bytesUnderWay = 0;
	const waiting: Array<() => void> = [];
	/** Time at which the bytes so far have left the sender's end of the path. */
	let sentAt = 0;
	// Timers fire late by different times, so each runs the oldest action.
	const later = (action: () => void, bytes = 0) => {
		const now = performance.now();
		sentAt = Math.max(now, sentAt) + (bytes / bytesPerSecond) * 1000;
		waiting.push(action);
		setTimeout(
			() => {
				const next = waiting.shift();
				if (!to.destroyed) {
					next?.();
				}
			},
			sentAt - now + delayMilliseconds,
		);
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
		}, bytes.length);
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
