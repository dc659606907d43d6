import assert from 'node:assert/strict';
import {Agent, createServer, get, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Pool} from 'undici';
import {LoopbackProxy} from '../loopback-proxy.js';
import {waitUntil} from '../process/processes.js';

/** Longer than the eleven seconds after which the TCP keep-alive of an agent of Node.js gives up a machine that is unreachable. */
const silenceMilliseconds = 12_500;

// Guards against a keep-alive that ends a connection although the machine at the other end answers its probes: only
// timers of this product may decide how long a process may be silent.
test('TCP keep-alive does not end a connection whose other end is silent but reachable', async () => {
	const pending: ServerResponse[] = [];
	const server = createServer((_request, response) => {
		pending.push(response);
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const proxy = new LoopbackProxy(`127.0.0.1:${port}`);
	const address = `http://${await proxy.start()}`;
	const agent = new Agent({keepAlive: true});
	const pool = new Pool(address, {headersTimeout: 0, bodyTimeout: 0});
	try {
		const byAgent = new Promise<number | undefined>((resolve, reject) => {
			get(address, {agent}, (response) => {
				response.resume();
				resolve(response.statusCode);
			}).on('error', reject);
		});
		const byPool = pool.request({method: 'GET', path: '/'});
		await waitUntil('both requests arrive', () => pending.length === 2);
		proxy.silence();
		for (const response of pending) {
			response.end('done');
		}

		await delay(silenceMilliseconds);
		assert.equal(proxy.openConnections, 2);
		proxy.resume();
		assert.equal(await byAgent, 200);
		const {statusCode, body} = await byPool;
		await body.dump();
		assert.equal(statusCode, 200);
		assert.equal(proxy.acceptedConnections, 2);
	} finally {
		agent.destroy();
		await pool.destroy();
		proxy.stop();
		server.closeAllConnections();
		server.close();
	}
});
