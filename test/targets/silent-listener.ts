import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';

const listenerSource = `
const {createServer} = require('node:net');
const {parentPort} = require('node:worker_threads');
const server = createServer();
server.listen({port: 0, host: '127.0.0.1', backlog: 1}, () => {
	parentPort.postMessage(server.address().port);
	setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0));
});
`;

/**
 * Starts a listener that never accepts connections and whose backlog is full, so that further
 * connection attempts time out. `stop` closes it.
 */
export async function startFullListener(): Promise<{
	readonly address: string;
	readonly stop: () => Promise<void>;
}> {
	const worker = new Worker(listenerSource, {eval: true});
	const [port] = (await once(worker, 'message')) as [number];
	const queuedConnections: Socket[] = [];
	// Linux queues one connection more than the backlog.
	for (let count = 0; count < 2; count++) {
		const socket = connect(port, '127.0.0.1');
		await once(socket, 'connect');
		queuedConnections.push(socket);
	}

	return {
		address: `http://127.0.0.1:${port}`,
		async stop() {
			for (const socket of queuedConnections) {
				socket.destroy();
			}

			await worker.terminate();
		},
	};
}
