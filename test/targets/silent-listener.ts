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

/** Starts a listener that never accepts and whose queue is full, so that connections time out. */
export async function startFullListener(): Promise<{
	readonly address: string;
	readonly stop: () => Promise<void>;
}> {
	const worker = new Worker(listenerSource, {eval: true});
	const [port] = (await once(worker, 'message')) as [number];
	const fillers: Socket[] = [];
	// The kernel queues one connection more than the backlog.
	for (let count = 0; count < 2; count++) {
		const socket = connect(port, '127.0.0.1');
		await once(socket, 'connect');
		fillers.push(socket);
	}

	return {
		address: `http://127.0.0.1:${port}`,
		async stop() {
			for (const socket of fillers) {
				socket.destroy();
			}

			await worker.terminate();
		},
	};
}
