import assert from 'node:assert/strict';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {test} from 'node:test';
import {hasListenerEnded} from '../../src/base/node/connection-probe.js';

const timeoutMilliseconds = 400;

async function probe(
	onConnection: (server: Server, count: number) => 'keep' | 'reset',
): Promise<{hasEnded: boolean; connections: number}> {
	let connections = 0;
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		connections++;
		if (onConnection(server, connections) === 'reset') {
			socket.resetAndDestroy();
		}
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const hasEnded = await hasListenerEnded(
		`127.0.0.1:${port}`,
		timeoutMilliseconds,
	);
	server.close();
	return {hasEnded, connections};
}

// Guards against a killed process that is taken for a running one: the kernel closes its connections before its listener,
// accepts the probe in between, and then resets it.
test('a listener that ends just after it accepted a connection has ended', async () => {
	const {hasEnded} = await probe((server) => {
		server.close();
		return 'reset';
	});
	assert.equal(hasEnded, true);
});

// Guards against whole answers that are cut: a target with too many connections resets new ones.
test('a listener that resets each connection has not ended', async () => {
	const {hasEnded, connections} = await probe(() => 'reset');
	assert.equal(hasEnded, false);
	assert.ok(connections <= 3);
});

test('a listener that keeps a connection open has not ended', async () => {
	const {hasEnded, connections} = await probe(() => 'keep');
	assert.deepEqual([hasEnded, connections], [false, 1]);
});
