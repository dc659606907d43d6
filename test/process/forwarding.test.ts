import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {respondWith, StandInWorker} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {TestProcess, waitUntil} from './processes.js';

const store = new StandInStore();
const worker = new StandInWorker('i-1');
const hosts: ForwardingTestHost[] = [];
let storeAddress = '';

async function startHost(name: string): Promise<ForwardingTestHost> {
	const host = await startForwardingHost(name, {store: storeAddress});
	hosts.push(host);
	return host;
}

async function get(
	port: number,
	target: string,
	headers: Record<string, string> = {},
): Promise<{status: number; text: string}> {
	const response = await request(`http://127.0.0.1:${port}${target}`, {
		headers,
	});
	return {status: response.statusCode, text: await response.body.text()};
}

function putConfiguration(version: number, timeoutMilliseconds: number): void {
	store.put('keyed.op', 'config', {
		version,
		routes: [
			{
				name: 'r',
				host: 'a.example',
				prefix: '/x/',
				kind: 'idempotent',
				timeout_ms: timeoutMilliseconds,
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
}

before(async () => {
	storeAddress = await store.start();
	const address = await worker.start();
	worker.behaviour = respondWith('served');
	store.put('keyed.servers', 'i-1', {
		service: 's',
		addr: address,
		zone: 'z',
		slots: 4,
		state: 'ready',
		born: 1,
	});
});

after(() => {
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	store.stop();
	worker.stop();
});

// The host must not accept requests before it has a document, must become ready with the document,
// apply newer versions, and complete open requests when it stops.
test('a forwarding host is ready only with a document, applies newer versions and stops without cutting off requests', async () => {
	const {process: host, ports} = await startHost('h1');
	await host.json('start', ({message}) => message === 'forwarding-started');
	assert.equal((await get(ports.readiness!, '/ready')).status, 503);
	putConfiguration(3, 2000);
	await waitUntil('readiness', async () =>
		(await get(ports.readiness!, '/ready')).status === 200 ? true : undefined,
	);
	const call = async () =>
		get(ports.callers!, '/x/y', {host: 'a.example', 'request-id': 'r1'});
	assert.deepEqual(await call(), {status: 200, text: 'served'});
	await host.json(
		'the log event of the attempt',
		({message, fields}) =>
			message === 'attempt-sent' &&
			fields.request === 'r1' &&
			fields.target === 'i-1',
	);
	await host.json(
		'the log event of the response',
		({message, fields}) =>
			message === 'request-answered' && fields.outcome === 'status 200',
	);
	assert.match(
		(await get(ports.metrics!, '/metrics')).text,
		/daisylever_answers_total/,
	);
	putConfiguration(9, 200);
	await host.json(
		'the newer document',
		({message, fields}) =>
			message === 'document-applied' && fields.version === 9,
	);

	let respond = () => undefined as void;
	worker.behaviour = (received) => {
		respond = () => {
			respondWith('late but whole')(received);
		};
	};

	putConfiguration(11, 20_000);
	await host.json(
		'the document with the long timeout',
		({message, fields}) =>
			message === 'document-applied' && fields.version === 11,
	);
	const openRequest = call();
	await waitUntil('the request at the target', () =>
		worker.requests.length === 2 ? true : undefined,
	);
	host.child.kill('SIGTERM');
	await host.json('stop', ({message}) => message === 'forwarding-stopping');
	assert.equal((await get(ports.readiness!, '/ready')).status, 503);
	respond();
	assert.deepEqual(await openRequest, {status: 200, text: 'late but whole'});
	await waitUntil('the process exits', () => host.exitCode);
	assert.equal(host.exitCode, 0);
});

test('exactly one host owns placement, and another one takes over when it is killed', async () => {
	const names = ['h2', 'h3'];
	const started = await Promise.all(names.map(async (name) => startHost(name)));
	const owners = () =>
		started.filter(({process: host}) =>
			host.lines.some((line) => line.includes('"ownership-gained"')),
		);
	const [first] = await waitUntil('an owner', () =>
		owners().length > 0 ? owners() : undefined,
	);
	assert.equal(owners().length, 1);
	first!.process.child.kill('SIGKILL');
	await waitUntil('another owner', () =>
		owners().length === 2 ? true : undefined,
	);
});

// Guards against a process that cannot serve and yet does not end, so that nothing restarts it: one of its listeners
// did not open, and the others keep it running. The address is tried for 75 s, because its holder may end.
test('a forwarding host that cannot listen on an address for 75 s ends with code 1', async () => {
	const taken = await startHost('h4');
	const file = taken.settingsFile;
	const second = new TestProcess(
		spawn(
			process.execPath,
			['build/src/program/main.js', 'forward', '--settings', file],
			{stdio: ['ignore', 'pipe', 'pipe']},
		),
	);
	const startedAt = performance.now();
	await waitUntil('the second process ends', () => second.exitCode, 120_000);
	assert.equal(second.exitCode, 1);
	assert.ok(performance.now() - startedAt > 74_000);
	assert.ok(
		second.lines.some(
			(line) =>
				line.includes('cannot listen on') && line.includes('EADDRINUSE'),
		),
	);
	const ending = await second.json(
		'the end',
		({message}) => message === 'process-ending',
	);
	assert.equal(ending.fields.code, 1);
});
