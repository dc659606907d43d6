import assert from 'node:assert/strict';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {test} from 'node:test';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

const busyAnswer =
	'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';
const callCount = 10;
/** The connection of an attempt, that of a repetition, and one that checks whether the target listens. */
const connectionsOfCall = 3;

// Guards against connections that are opened one after the other until the deadline of a request: the HTTP client closes
// one that has received data before its request, and opens the next.
test('a target that answers as it accepts gets few connections', async () => {
	const sockets: Socket[] = [];
	const server = createServer((socket) => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.resume();
		socket.write(busyAnswer);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const harness = new ForwardingHarness();
	try {
		await harness.start(forwardingDocument);
		const {port} = server.address() as AddressInfo;
		harness.list('i-1', `127.0.0.1:${port}`);
		for (let call = 0; call < callCount; call++) {
			const {status} = await harness.call('/once/x');
			assert.ok(status >= 500, `status ${status}`);
		}

		assert.ok(
			sockets.length <= callCount * connectionsOfCall,
			`${sockets.length} connections`,
		);
	} finally {
		await harness.stop();
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	}
});
