import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {ReadPacer} from '../../src/base/node/read-pacer.js';
import {SystemClock} from '../../src/base/node/system-clock.js';
import {ByteBudget} from '../../src/core/limits/byte-budget.js';
import {ConnectionGuard} from '../../src/services/forwarding/limits/connection-guard.js';

const requestsPerConnection = 4;
/** Requests that fit in the slice of 2 KiB that reaches the limit. */
const requestsPerSlice = 40;

// Guards against many requests that are read of one connection before the first one is answered: a client that sends them as fast as it can filled the memory of a host.
test('a connection has no more requests open than the limit and one slice', async () => {
	const responses: ServerResponse[] = [];
	const server = createServer((message, response) => {
		message.resume();
		responses.push(response);
	});
	const guard = new ConnectionGuard({
		server,
		clock: new SystemClock(),
		pacer: new ReadPacer(),
		limits: {
			heldBytes: 10_000_000,
			connections: 10,
			peerConnections: 10,
			requestsPerConnection,
			bodyMilliseconds: 60_000,
			bytesPerSecond: 256,
			unreadMilliseconds: 60_000,
		},
		maximumConnections: 10,
		total: new ByteBudget(10_000_000),
		isEnding: () => false,
		endSlowBody: () => undefined,
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
	try {
		client.resume();
		client.write(
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
		client.destroy();
		guard.dispose();
		server.close();
	}
});
