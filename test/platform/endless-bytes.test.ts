import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {readBody} from '../../src/base/node/read-body.js';
import {
	type FailureDomain,
	type PoolName,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {type ListedTarget} from '../../src/contracts/listed-target.js';
import {PlatformOrderPort} from '../../src/platform/order-port.js';
import {StoreClient} from '../../src/platform/store-client.js';
import {waitUntil} from '../process/processes.js';

/** Limit of the store client. A store may hold an entry of another writer of 10 MB (test/process/odd-entries.test.ts). */
const storeLimitBytes = 16_777_216;
/** What the sockets of both ends can hold beyond what was read. */
const socketBufferBytes = 16 * 1_048_576;

/** Starts a server that sends a body without end to each request, until the connection is closed. */
async function startEndlessServer(context: TestContext) {
	const state = {writtenBytes: 0, openSockets: new Set<Socket>(), address: ''};
	const block = Buffer.alloc(65_536, ' ');
	const server = createServer((socket) => {
		state.openSockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			state.openSockets.delete(socket);
		});
		const send = () => {
			while (!socket.destroyed && socket.write(block)) {
				state.writtenBytes += block.length;
			}

			state.writtenBytes += block.length;
		};

		socket.once('data', () => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n');
			socket.on('drain', send);
			send();
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		for (const socket of state.openSockets) {
			socket.destroy();
		}

		server.close();
	});
	state.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	return state;
}

// Guards against a faulty target, or store, whose endless body fills the memory of the host.
test('an endless response to a report or an order is cut at its limit', async (context) => {
	const server = await startEndlessServer(context);
	const target: ListedTarget = {
		id: 't' as TargetId,
		pool: 'p' as PoolName,
		address: server.address,
		failureDomain: 'z' as FailureDomain,
		slots: 1,
		isLeaving: false,
		residency: {incarnation: 't@1' as TargetIncarnation, models: []},
		localWeights: {inMemory: [], onDisk: []},
	};
	const port = new PlatformOrderPort(
		() => undefined,
		() => undefined,
	);
	const state = await port.fetchState(target);
	assert.ok(state.isErr());
	await waitUntil(
		'the connection is closed',
		() => server.openSockets.size === 0,
	);
	assert.ok(server.writtenBytes < socketBufferBytes, `${server.writtenBytes}`);
});

test('an endless response of the store is cut at its limit', async (context) => {
	const server = await startEndlessServer(context);
	const client = new StoreClient({address: server.address});
	context.after(async () => {
		await client.dispose();
	});
	const read = await client.readNewest('keyed.op');
	assert.ok(read.isErr());
	await waitUntil(
		'the connection is closed',
		() => server.openSockets.size === 0,
	);
	assert.ok(
		server.writtenBytes < storeLimitBytes + socketBufferBytes,
		`${server.writtenBytes}`,
	);
});

test('a body within the limit is read whole, one beyond it fails', async (context) => {
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.end('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		server.close();
	});
	const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
	const whole = await request(url);
	assert.equal((await readBody(whole.body, 5)).toString(), 'whole');
	const beyond = await request(url);
	await assert.rejects(readBody(beyond.body, 4), {name: 'BodyTooLargeError'});
});
