import assert from 'node:assert/strict';
import {request as httpRequest} from 'node:http';
import {test} from 'node:test';
import {StandInStore} from '../platform/stand-in-store.js';
import {
	formatEvent,
	responseHead,
	StandInWorker,
} from '../platform/stand-in-worker.js';
import {startForwardingHost} from './forwarding-host.js';
import {waitUntil} from './processes.js';

// Guards against an answer that looks whole because its host was killed: the kernel then ends the connection in order,
// and nobody of the host is left to reset it.
test('an unframed stream does not look whole after its host was killed', async () => {
	const store = new StandInStore();
	const worker = new StandInWorker('i-0');
	worker.behaviour = ({headers, socket}) => {
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Content-Type': 'text/event-stream',
				Connection: 'close',
			}) + formatEvent(1),
		);
	};

	const address = await worker.start();
	store.put('keyed.op', 'config', {
		version: 1,
		routes: [
			{
				name: 'r',
				host: 'a.example',
				prefix: '/x/',
				kind: 'stream',
				timeout_ms: 20_000,
				goal_ms: 300,
				service: 's',
				attempts: 1,
			},
		],
		services: [{name: 's', max_conns: 400}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	store.put('keyed.servers', 'i-0', {
		service: 's',
		addr: address,
		zone: 'z',
		slots: 8,
		state: 'ready',
		version: 'v1',
		born: 1,
		seq: 1,
	});
	const host = await startForwardingHost('h1', {store: await store.start()});
	try {
		await host.process.json(
			'readiness',
			({message}) => message === 'forwarding-ready',
		);
		let body = '';
		let isWhole: boolean | undefined;
		const request = httpRequest({
			port: host.ports.callers,
			path: '/x/y',
			headers: {host: 'a.example', 'request-id': 'r'},
		});
		request.on('response', (response) => {
			response.on('data', (chunk) => {
				body += String(chunk);
			});
			response.on('error', () => undefined);
			response.on('close', () => {
				isWhole = response.complete;
			});
		});
		request.end();
		await waitUntil('the first event', () => body === formatEvent(1));
		host.process.child.kill('SIGKILL');
		await waitUntil('the end of the answer', () => isWhole !== undefined);
		assert.equal(isWhole, false);
	} finally {
		host.process.child.kill('SIGKILL');
		store.stop();
		worker.stop();
	}
});
