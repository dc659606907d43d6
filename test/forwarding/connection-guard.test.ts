import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type RequestListener,
	type Server,
	type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {ReadPacer} from '../../src/base/node/read-pacer.js';
import {SystemClock} from '../../src/base/node/system-clock.js';
import {ByteBudget} from '../../src/core/limits/byte-budget.js';
import {ConnectionGuard} from '../../src/services/forwarding/limits/connection-guard.js';
import {waitUntil} from '../process/processes.js';

const requestsPerConnection = 4;
/** Requests that fit in the slice of 2 KiB that reaches the limit. */
const requestsPerSlice = 40;
const fragmentedBodies = 2;

/** A server with a guard, and what the guard refused. */
class GuardedServer {
	readonly refused: IncomingMessage[] = [];
	private readonly clients: Socket[] = [];
	private readonly server: Server;
	private readonly guard: ConnectionGuard;

	constructor(handle: RequestListener) {
		this.server = createServer(handle);
		this.guard = new ConnectionGuard({
			server: this.server,
			clock: new SystemClock(),
			pacer: new ReadPacer(),
			limits: {
				heldBytes: 10_000_000,
				connections: 10,
				peerConnections: 10,
				requestsPerConnection,
				fragmentedBodies,
				bodyMilliseconds: 60_000,
				bytesPerSecond: 256,
				stalledMilliseconds: 1000,
				unreadMilliseconds: 60_000,
			},
			maximumConnections: 10,
			total: new ByteBudget(10_000_000),
			idleMilliseconds: () => 15_000,
			isEnding: () => false,
			endSlowBody: () => undefined,
			refuseBody: (message, response) => {
				this.refused.push(message);
				response.writeHead(503, {'Content-Length': '0'});
				response.end();
			},
		});
	}

	async listen(): Promise<void> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
	}

	connect(): Socket {
		const {port} = this.server.address() as AddressInfo;
		const client = connect(port, '127.0.0.1');
		client.on('error', () => undefined);
		client.resume();
		this.clients.push(client);
		return client;
	}

	dispose(): void {
		for (const client of this.clients) {
			client.destroy();
		}

		this.guard.dispose();
		this.server.close();
	}
}

// Guards against many requests that are read of one connection before the first one is answered: a client that sends them as fast as it can filled the memory of a host.
test('a connection has no more requests open than the limit and one slice', async () => {
	const responses: ServerResponse[] = [];
	const server = new GuardedServer((message, response) => {
		message.resume();
		responses.push(response);
	});
	await server.listen();
	try {
		server
			.connect()
			.write(
				'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'.repeat(2000),
			);
		// Each round answers what is open. At the end, all requests were read.
		let answered = 0;
		for (let round = 0; answered < 2000; round++) {
			assert.ok(round < 2000, 'the connection goes on after its responses');
			await delay(2);
			assert.ok(
				responses.length <= requestsPerConnection + requestsPerSlice,
				`${responses.length} requests are open`,
			);
			for (const response of responses.splice(0)) {
				answered++;
				response.end();
			}
		}
	} finally {
		server.dispose();
	}
});

/** Sends a body in one-byte chunks without its end. */
function sendFragments(client: Socket, chunks: number): void {
	client.write(
		'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n',
	);
	client.write('1\r\nx\r\n'.repeat(chunks));
}

// Guards against clients that keep the process busy with chunks that carry nothing, and against a limit that a single client reaches.
test('of bodies in one-byte chunks that wait at once, the most expensive are refused and the others go on', async () => {
	const whole: IncomingMessage[] = [];
	const received = new Map<IncomingMessage, number>();
	const server = new GuardedServer((message) => {
		received.set(message, 0);
		message.on('data', (chunk: Buffer) => {
			received.set(message, received.get(message)! + chunk.length);
		});
		message.on('end', () => {
			whole.push(message);
		});
	});
	await server.listen();
	try {
		const chunks = 200_000;
		const clients = Array.from({length: 6}, () => server.connect());
		for (const client of clients) {
			sendFragments(client, chunks);
			client.write('0\r\n\r\n');
		}

		await waitUntil(
			'all bodies are read or refused',
			() => whole.length + server.refused.length === clients.length,
		);
		assert.ok(whole.length >= fragmentedBodies, `${whole.length} were read`);
		assert.ok(server.refused.length > 0);
		for (const message of server.refused) {
			assert.ok(received.get(message)! < chunks);
		}

		const refusals = server.refused.length;
		const single = server.connect();
		sendFragments(single, 2 * chunks);
		single.write('0\r\n\r\n');
		await waitUntil(
			'a single body is read',
			() => whole.length + refusals === clients.length + 1,
		);
		assert.equal(server.refused.length, refusals);
	} finally {
		server.dispose();
	}
});
