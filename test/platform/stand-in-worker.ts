import {
	createServer,
	type Server,
	type Socket,
	type AddressInfo,
} from 'node:net';

/** A request that a worker received. */
export type WorkerRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: ReadonlyMap<string, string>;
	readonly body: string;
	readonly socket: Socket;
};

/** How a worker responds to a request. */
export type WorkerBehaviour = (request: WorkerRequest) => void;

/** A stand-in for a worker on a plain socket, so that responses can be late, truncated, duplicated or missing. */
export class StandInWorker {
	readonly requests: WorkerRequest[] = [];
	/** Number of sockets that have been closed, by either side. */
	closedSocketCount = 0;
	behaviour: WorkerBehaviour = respondWith('ok');
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();

	constructor(
		readonly id: string,
		/** Open connections from which further ones are reset. */
		maximumConnections = Number.POSITIVE_INFINITY,
	) {
		this.server = createServer((socket) => {
			if (this.sockets.size >= maximumConnections) {
				socket.resetAndDestroy();
				return;
			}

			this.serve(socket);
		});
	}

	/** Starts the worker and returns its address as `host:port`. */
	async start(port = 0): Promise<string> {
		await new Promise<void>((resolve) => {
			this.server.listen(port, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Refuses new connections. Open ones go on. */
	stopListening(): void {
		this.server.close();
	}

	/** Closes all connections except some, also those on which no request has been received. */
	closeConnections(kept: ReadonlySet<Socket> = new Set()): void {
		for (const socket of this.sockets) {
			if (!kept.has(socket)) {
				socket.destroy();
			}
		}
	}

	stop(): void {
		this.closeConnections();

		this.server.close();
	}

	private serve(socket: Socket): void {
		this.sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.closedSocketCount++;
			this.sockets.delete(socket);
		});
		let received = '';
		socket.on('data', (chunk: Buffer) => {
			received += chunk.toString('latin1');
			received = this.handleRequests(socket, received);
		});
	}

	/** Handles the complete requests of the received text and returns the rest. */
	private handleRequests(socket: Socket, text: string): string {
		const headEnd = text.indexOf('\r\n\r\n');
		if (headEnd === -1) {
			return text;
		}

		const [first, ...lines] = text.slice(0, headEnd).split('\r\n');
		const headers = new Map(
			lines.map((line) => {
				const colon = line.indexOf(':');
				return [
					line.slice(0, colon).toLowerCase(),
					line.slice(colon + 1).trim(),
				] as const;
			}),
		);
		const length = Number(headers.get('content-length') ?? 0);
		const bodyStart = headEnd + 4;
		if (text.length < bodyStart + length) {
			return text;
		}

		const [method, path] = first!.split(' ');
		const request = {
			method: method!,
			path: path!,
			headers,
			body: text.slice(bodyStart, bodyStart + length),
			socket,
		};
		this.requests.push(request);
		this.behaviour(request);
		return this.handleRequests(socket, text.slice(bodyStart + length));
	}
}

/** Returns the status line and headers of a response. */
export function responseHead(
	status: string,
	headers: Readonly<Record<string, string>>,
): string {
	return [
		`HTTP/1.1 ${status}`,
		...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
		'',
		'',
	].join('\r\n');
}

/** Returns a complete response to a request, with the signature of a worker. */
export function completeResponse(
	id: string,
	body: string,
	status = '200 OK',
): string {
	return (
		responseHead(status, {
			'Request-Id': id,
			'Response-Sig': 'signed',
			'Content-Length': String(body.length),
		}) + body
	);
}

/** Responds to each request with the body. */
export function respondWith(body: string): WorkerBehaviour {
	return ({headers, socket}) => {
		socket.write(completeResponse(headers.get('request-id') ?? '', body));
	};
}

/** Responds that the request was not executed. */
export function respondNotRun(
	status = '503 Service Unavailable',
): WorkerBehaviour {
	return ({headers, socket}) => {
		socket.write(
			responseHead(status, {
				'Request-Id': headers.get('request-id') ?? '',
				'Not-Run': '1',
				'Content-Length': '0',
			}),
		);
	};
}

/** Returns one server-sent event. */
export function formatEvent(id: number): string {
	return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Sends each event in a chunk. Then the stream ends (`whole`), or the connection closes between events (`broken`) or within an event (`torn`). */
export function streamEvents(
	from: number,
	to: number,
	end: 'whole' | 'broken' | 'torn',
): WorkerBehaviour {
	return ({headers, socket}) => {
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Content-Type': 'text/event-stream',
				'Transfer-Encoding': 'chunked',
			}),
		);
		for (let id = from; id <= to; id++) {
			socket.write(chunk(formatEvent(id)));
		}

		if (end === 'whole') {
			socket.write('0\r\n\r\n');
			return;
		}

		if (end === 'torn') {
			socket.write(chunk(`id: ${to + 1}\nda`));
		}

		setTimeout(() => {
			socket.destroy();
		}, 20);
	};
}

function chunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Room of a worker that turns requests away when it is full. */
export type WorkerRoom = {
	readonly slots: number;
	/** Slots in use by requests of other hosts. */
	readonly usedByOthers: number;
	readonly serviceMilliseconds: number;
	/** Refusals a second above which the worker falls over, once it is brittle. */
	readonly refusalsPerSecond: number;
};

/** Lets a worker say that it is brittle, turn away what it has no room for, and fall over after too many refusals within a second. */
export class BrittleBehaviour {
	/** Requests that may wait at the worker. */
	queueRoom = 8;
	isAnnounced = false;
	/** True while too many refusals make the worker fall over. */
	isBrittle = false;
	falls = 0;
	refusals = 0;
	private inFlight = 0;
	private refusedAt: number[] = [];

	constructor(
		private readonly worker: StandInWorker,
		private readonly room: WorkerRoom,
	) {
		worker.behaviour = (request) => {
			this.respond(request);
		};
	}

	private respond({headers, socket}: WorkerRequest): void {
		const id = headers.get('request-id') ?? '';
		const {slots, usedByOthers, serviceMilliseconds} = this.room;
		if (usedByOthers + this.inFlight >= slots + this.queueRoom) {
			socket.write(
				responseHead('503 Service Unavailable', {
					...this.headers(id),
					'Not-Run': '1',
					'Content-Length': '0',
				}),
			);
			this.recordRefusal();
			return;
		}

		this.inFlight++;
		setTimeout(() => {
			this.inFlight--;
			socket.write(
				responseHead('200 OK', {
					...this.headers(id),
					'Response-Sig': 'signed',
					'Content-Length': '6',
				}) + 'served',
			);
		}, serviceMilliseconds);
	}

	private headers(id: string): Record<string, string> {
		const {slots, usedByOthers, refusalsPerSecond} = this.room;
		const occupied = usedByOthers + this.inFlight;
		return {
			'Request-Id': id,
			'Server-Load': `${Math.min(slots, occupied)},${Math.max(0, occupied - slots)},${slots}`,
			...(this.isAnnounced
				? {'Server-Brittle': String(refusalsPerSecond)}
				: {}),
		};
	}

	private recordRefusal(): void {
		const now = performance.now();
		this.refusals++;
		this.refusedAt = [...this.refusedAt.filter((at) => now - at < 1000), now];
		if (this.isBrittle && this.refusedAt.length > this.room.refusalsPerSecond) {
			this.falls++;
			this.refusedAt = [];
			this.worker.stop();
		}
	}
}
