import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {respondWith, StandInWorker} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

const store = new StandInStore();
const worker = new StandInWorker('i-1');
let host: ForwardingTestHost;

before(async () => {
	const address = await store.start();
	store.put('keyed.op', 'config', {
		version: 1,
		routes: [
			{
				name: 'api',
				host: 'a.example',
				prefix: '/api/',
				kind: 'idempotent',
				timeout_ms: 3000,
				goal_ms: 300,
				service: 's',
				attempts: 2,
			},
		],
		services: [{name: 's', max_conns: 100}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	worker.behaviour = respondWith('served');
	store.put('keyed.servers', worker.id, {
		service: 's',
		addr: await worker.start(),
		zone: 'z',
		slots: 16,
		state: 'ready',
		seq: 1,
	});
	host = await startForwardingHost('explained', {store: address});
	await waitUntil('the host is ready', () =>
		host.process.lines.some((line) => line.includes('"forwarding-ready"')),
	);
});

after(async () => {
	await host.process.kill();
	worker.stop();
	store.stop();
});

async function explain(path: string) {
	const response = await request(
		`http://127.0.0.1:${host.ports.metrics}/explain?host=a.example&path=${path}`,
	);
	return {
		status: response.statusCode,
		text: await response.body.text(),
	};
}

// Guards against an explanation that names no target, invents a route, or sends the request.
test('a running host explains where a request would go without sending it', async () => {
	const {status, text} = await explain('/api/x');
	assert.equal(status, 200, text);
	assert.match(text, /i-1/);
	assert.equal((await explain('/nowhere/')).status, 404);
	assert.equal(worker.requests.length, 0);
});
