import {subscribe} from 'node:diagnostics_channel';
import {type Socket} from 'node:net';

/** Payload bytes on the sockets of one purpose, without TCP and IP headers. */
export type SocketBytes = {sent: number; received: number};

/** Counts the bytes on all sockets that this process opens or accepts after the meter was constructed. */
export class SocketMeter {
	private readonly open = new Set<Socket>();
	private readonly closed = new Map<string, SocketBytes>();

	/** `purposes` maps ports to purposes: remote ports of outgoing sockets, local ports of accepted ones. */
	constructor(private readonly purposes: Map<number, string>) {
		for (const channel of ['net.client.socket', 'net.server.socket']) {
			subscribe(channel, (message) => {
				this.watch((message as {socket: Socket}).socket);
			});
		}
	}

	/** Sets the purpose of a port that was assigned after construction. */
	name(port: number, purpose: string): void {
		this.purposes.set(port, purpose);
	}

	/** Returns the total bytes since construction, by purpose. */
	read(): Record<string, SocketBytes> {
		const totals = new Map(
			[...this.closed].map(([purpose, bytes]) => [purpose, {...bytes}]),
		);
		for (const socket of this.open) {
			add(totals, this.purposeOf(socket), socket);
		}

		return Object.fromEntries(totals);
	}

	private watch(socket: Socket): void {
		this.open.add(socket);
		// Read while the socket is connected, since a closed socket no longer has its ports.
		let purpose = 'other';
		socket.once('connect', () => {
			purpose = this.purposeOf(socket);
		});
		if (socket.remotePort !== undefined) {
			purpose = this.purposeOf(socket);
		}

		socket.once('close', () => {
			this.open.delete(socket);
			add(this.closed, purpose, socket);
		});
	}

	private purposeOf({remotePort, localPort}: Socket): string {
		return (
			this.purposes.get(remotePort ?? 0) ??
			this.purposes.get(localPort ?? 0) ??
			'other'
		);
	}
}

function add(
	totals: Map<string, SocketBytes>,
	purpose: string,
	socket: Socket,
): void {
	const bytes = totals.get(purpose) ?? {sent: 0, received: 0};
	bytes.sent += socket.bytesWritten;
	bytes.received += socket.bytesRead;
	totals.set(purpose, bytes);
}
