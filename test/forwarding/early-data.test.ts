import assert from 'node:assert/strict';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {PolledQueue} from '../../src/base/node/polled-queue.js';
import {SystemClock} from '../../src/base/node/system-clock.js';
import {TargetConnections} from '../../src/services/forwarding/targets/target-connections.js';
import {waitUntil} from '../process/processes.js';

const clock = new SystemClock();
const busyAnswer =
	'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';

/** Runs actions late, as a host does whose event loop has long turns. */
class LateQueue extends PolledQueue {
	override pushFirst(run: () => void): void {
		setTimeout(run, 50);
	}
}

/** Starts a target that calls `accept` for each connection. Returns its address and its open connections. */
async function startTarget(
	context: TestContext,
	accept: (socket: Socket) => void,
): Promise<{address: string; open: Set<Socket>; accepted: () => number}> {
	const open = new Set<Socket>();
	let accepted = 0;
	const server = createServer((socket) => {
		accepted++;
		open.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			open.delete(socket);
		});
		socket.resume();
		accept(socket);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	context.after(() => {
		for (const socket of open) {
			socket.destroy();
		}

		server.close();
	});
	const {port} = server.address() as AddressInfo;
	return {address: `127.0.0.1:${port}`, open, accepted: () => accepted};
}

// Guards against connections that are opened one after the other until the deadline of a request, because the HTTP client
// closes one that has received data before its request and opens the next.
test('a target that answers before the request has been sent fails the attempt at once', async (context) => {
	const {address, accepted} = await startTarget(context, (socket) => {
		socket.end(busyAnswer);
	});
	const connections = new TargetConnections({
		address,
		maximumConnections: 1,
		polls: new LateQueue(clock),
	});
	context.after(async () => connections.dispose());
	let hasBegun = false;
	let error: Error | undefined;
	connections.dispatcher.dispatch(
		{method: 'POST', path: '/', body: 'x'},
		{
			onRequestStart() {
				hasBegun = true;
			},
			onResponseError(_controller, failure) {
				error = failure;
			},
		},
	);
	await waitUntil('the attempt has failed', () => error !== undefined, 2000);
	assert.equal(hasBegun, false);
	assert.equal(accepted(), 1);
});

// Guards against connections that stay open after the disposal, because the HTTP client has never received them.
test('a connection that waits for a poll of the sockets is closed by the disposal', async (context) => {
	const {address, open, accepted} = await startTarget(context, () => undefined);
	const polls = new PolledQueue(clock);
	const connections = new TargetConnections({
		address,
		maximumConnections: 1,
		polls,
		onConnected() {
			void connections.dispose();
			setImmediate(() => {
				polls.dispose();
			});
		},
	});
	connections.dispatcher.dispatch(
		{method: 'GET', path: '/'},
		{
			onRequestStart() {
				assert.fail('the request was sent after the disposal');
			},
			onResponseError(_controller, {message}) {
				assert.equal(message, 'The client is destroyed');
			},
		},
	);
	await waitUntil('a connection has opened', () => accepted() > 0);
	await waitUntil('it is closed', () => open.size === 0, 2000);
});
