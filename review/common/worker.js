/** A small stand-in worker on a plain socket. */
import {createServer} from 'node:net';

/** Parses the requests of a connection and hands each one to the behaviour. */
export class Worker {
	requests = [];
	sockets = new Set();
	behaviour = () => undefined;

	constructor(id) {
		this.id = id;
		this.server = createServer((socket) => {
			this.serve(socket);
		});
	}

	async start(port = 0) {
		await new Promise((resolve) => {
			this.server.listen(port, '127.0.0.1', resolve);
		});
		this.address = `127.0.0.1:${this.server.address().port}`;
		return this.address;
	}

	stop() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	serve(socket) {
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.sockets.delete(socket);
		});
		let received = Buffer.alloc(0);
		socket.on('data', (chunk) => {
			received = Buffer.concat([received, chunk]);
			for (;;) {
				const headEnd = received.indexOf('\r\n\r\n');
				if (headEnd === -1) {
					return;
				}

				const [first, ...lines] = received
					.subarray(0, headEnd)
					.toString('latin1')
					.split('\r\n');
				const headers = Object.fromEntries(
					lines.map((line) => {
						const colon = line.indexOf(':');
						return [
							line.slice(0, colon).toLowerCase(),
							line.slice(colon + 1).trim(),
						];
					}),
				);
				const end = headEnd + 4 + Number(headers['content-length'] ?? 0);
				if (received.length < end) {
					return;
				}

				const [method, path] = first.split(' ');
				const body = received.subarray(headEnd + 4, end);
				received = received.subarray(end);
				this.handle({method, path, headers, body, socket});
			}
		});
	}

	handle(request) {
		const {path, headers, socket} = request;
		if (
			headers['expect-instance'] !== undefined &&
			headers['expect-instance'] !== this.id
		) {
			socket.write(
				`HTTP/1.1 421 Misdirected Request\r\nRequest-Id: ${headers['request-id'] ?? ''}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`,
			);
			return;
		}

		if (this.engine && (path === '/report' || path === '/order')) {
			this.engine.handle(this, request);
			return;
		}

		this.requests.push(request);
		this.behaviour(this, request);
	}
}

export function head(status, id, headers = {}) {
	const lines = Object.entries({
		'Request-Id': id,
		...(status.startsWith('2') ? {'Response-Sig': `sig.${id}`} : {}),
		...headers,
	}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n`;
}

/** One event of a stream, of a software version where the case tells them apart. */
export const event = (id, version = 'piece') =>
	`id: ${id}\ndata: ${version} ${id}\n\n`;
