import {
	connect,
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';

/** Direction of the bytes on a connection, seen from the client that opened it. */
export type ProxyDirection = 'to-server' | 'from-server';

const bothDirections: readonly ProxyDirection[] = ['to-server', 'from-server'];

type ProxiedConnection = {readonly client: Socket; readonly server: Socket};

/**
 * A TCP proxy on the loopback interface. Each direction can be silenced, resumed and cut. While it is silent, open
 * connections stay open, new ones are accepted, and bytes are held back until it is resumed.
 */
export class LoopbackProxy {
	/** Number of connections that were accepted. */
	acceptedConnections = 0;
	/** Changes the bytes that the server sends. */
	rewrite: ((bytes: Buffer) => Buffer) | undefined;
	private readonly connections = new Set<ProxiedConnection>();
	private readonly silent = new Set<ProxyDirection>();
	private readonly listener: Server;

	/** `serverAddress` is the `host:port` to which the connections are forwarded. */
	constructor(private readonly serverAddress: string) {
		this.listener = createServer({allowHalfOpen: true}, (client) => {
			this.accept(client);
		});
	}

	/** Starts listening and returns the address as `host:port`. */
	async start(): Promise<string> {
		await new Promise<void>((resolve) => {
			this.listener.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.listener.address() as AddressInfo).port}`;
	}

	/** Number of connections that are open. */
	get openConnections(): number {
		return this.connections.size;
	}

	/** Holds back all bytes in the given directions. */
	silence(directions: readonly ProxyDirection[] = bothDirections): void {
		for (const direction of directions) {
			this.silent.add(direction);
		}

		for (const connection of this.connections) {
			this.applySilence(connection);
		}
	}

	/** Passes on what was held back, and all later bytes. */
	resume(): void {
		this.silent.clear();
		for (const {client, server} of this.connections) {
			client.resume();
			server.resume();
		}
	}

	/** Sends the end of the connection in one direction of all connections, or resets them when none is given. */
	cut(direction?: ProxyDirection): void {
		for (const {client, server} of this.connections) {
			if (direction === undefined) {
				client.resetAndDestroy();
				server.resetAndDestroy();
			} else {
				(direction === 'to-server' ? server : client).end();
			}
		}
	}

	/** Stops listening and closes all connections. */
	stop(): void {
		this.listener.close();
		for (const {client, server} of this.connections) {
			client.destroy();
			server.destroy();
		}
	}

	private accept(client: Socket): void {
		this.acceptedConnections++;
		const separator = this.serverAddress.lastIndexOf(':');
		const server = connect({
			host: this.serverAddress.slice(0, separator),
			port: Number(this.serverAddress.slice(separator + 1)),
			allowHalfOpen: true,
		});
		const connection = {client, server};
		this.connections.add(connection);
		forward(client, server, (bytes) => bytes);
		forward(server, client, (bytes) => this.rewrite?.(bytes) ?? bytes);
		for (const [socket, other] of [
			[client, server],
			[server, client],
		] as const) {
			socket.on('error', () => {
				other.destroy();
			});
			socket.on('close', () => {
				other.end();
				if (client.destroyed && server.destroyed) {
					this.connections.delete(connection);
				}
			});
		}

		this.applySilence(connection);
	}

	private applySilence({client, server}: ProxiedConnection): void {
		if (this.silent.has('to-server')) {
			client.pause();
		}

		if (this.silent.has('from-server')) {
			server.pause();
		}
	}
}

function forward(
	from: Socket,
	to: Socket,
	change: (bytes: Buffer) => Buffer,
): void {
	from.on('data', (bytes: Buffer) => {
		to.write(change(bytes));
	});
	from.on('end', () => {
		to.end();
	});
}
