import {subscribe} from 'node:diagnostics_channel';
import {type Socket} from 'node:net';

/** Bytes on the sockets of one purpose. TCP and IP headers are not counted. */
export type SocketBytes = {sent: number; received: number};

/** Counts the bytes on all sockets that this process opens or accepts after the meter was made. */
export class SocketMeter {
	private readonly open = new Set<Socket>();
	private readonly closed = new Map<string, SocketBytes>();

	/** Ports are named by purpose: remote ports of outgoing sockets, local ports of accepted ones. */
	constructor(private readonly purposes: Map<number, string>) {
		for (const channel of ['net.client.socket', 'net.server.socket']) {
			subscribe(channel, (message) => {
				this.watch((message as {socket: Socket}).socket);
			});
		}
	}

	/** Names a port that became known after the start. */
	name(port: number, purpose: string): void {
		this.purposes.set(port, purpose);
	}

	/** Totals by purpose since the start. */
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
		// Ports are gone once the socket is closed.
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
	const known = totals.get(purpose) ?? {sent: 0, received: 0};
	known.sent += socket.bytesWritten;
	known.received += socket.bytesRead;
	totals.set(purpose, known);
}
