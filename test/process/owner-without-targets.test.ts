import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {
	responseHead,
	StandInWorker,
	type WorkerRequest,
} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

const store = new StandInStore();
const workers = [new StandInWorker('i-1'), new StandInWorker('i-2')];
const ports = new Map<StandInWorker, number>();
const hosts: ForwardingTestHost[] = [];
/** Connections that were used for the requests of callers of each host, and for each other path by its owner. */
const sockets = new Map<string, Set<Socket>>();
const callIntervalMilliseconds = 50;
/** Requests of the host without targets that must all be answered. */
const forwardedCalls = 20;
/** Connections that the host which stays connected has at least, so that it needs no new ones. */
const wantedConnections = 4;
/** Path of the reports that the owner asks for. */
const reportPath = '/report';
/** Response time to requests while these connections are opened. */
const slowResponseMilliseconds = 300;
let isSlow = false;
let requestCount = 0;
const stop = new AbortController();

function hasLogged(host: ForwardingTestHost | undefined, event: string) {
	return host?.process.lines.some((line) => line.includes(`"${event}"`));
}

/** Responds so that idle connections stay open, because a host that can open no others needs them. */
function respond({headers, path, socket}: WorkerRequest): void {
	setTimeout(
		() => {
			socket.write(
				responseHead('200 OK', {
					'Request-Id': headers.get('request-id') ?? '',
					'Response-Sig': 'signed',
					'Content-Length': '0',
					'Keep-Alive': 'timeout=120',
				}),
			);
		},
		isSlow && path !== reportPath ? slowResponseMilliseconds : 0,
	);
}

async function call(host: ForwardingTestHost, name: string): Promise<number> {
	requestCount++;
	const response = await request(
		`http://127.0.0.1:${host.ports.callers}/x/${name}`,
		{
			headers: {
				host: 'a.example',
				'request-id': `r${requestCount}`,
				'deadline-ms': '1000',
			},
		},
	);
	await response.body.dump();
	return response.statusCode;
}

/** Sends requests through a host, one after the other, until the end of the test. */
async function callContinually(
	host: ForwardingTestHost,
	name: string,
): Promise<void> {
	while (!stop.signal.aborted) {
		await call(host, name);
		await new Promise((resolve) => {
			setTimeout(resolve, callIntervalMilliseconds);
		});
	}
}

async function metrics(host: ForwardingTestHost): Promise<string> {
	const response = await request(
		`http://127.0.0.1:${host.ports.metrics}/metrics`,
	);
	return response.body.text();
}

before(async () => {
	const storeAddress = await store.start();
	store.put('keyed.op', 'config', {
		version: 1,
		routes: [
			{
				name: 'r',
				host: 'a.example',
				prefix: '/x/',
				kind: 'idempotent',
				timeout_ms: 3000,
				goal_ms: 300,
				service: 's',
				attempts: 2,
			},
		],
		services: [{name: 's', max_conns: 100, engine: {weights_mb: 1000}}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	for (const worker of workers) {
		worker.behaviour = (received) => {
			const name = received.path.replace('/x/', '');
			const used = sockets.get(name) ?? new Set();
			used.add(received.socket);
			sockets.set(name, used);
			respond(received);
		};

		const address = await worker.start();
		ports.set(worker, Number(address.split(':')[1]));
		store.put('keyed.servers', worker.id, {
			service: 's',
			addr: address,
			zone: 'z',
			slots: 16,
			state: 'ready',
			born: 1,
			seq: 1,
		});
	}

	for (const name of ['h1', 'h2']) {
		const host = await startForwardingHost(name, {
			store: storeAddress,
			targets: {drainMilliseconds: 2000},
		});
		hosts.push(host);
		await waitUntil(`${name} is ready`, () =>
			hasLogged(host, 'forwarding-ready'),
		);
		await waitUntil('h1 is the owner', () =>
			hasLogged(hosts[0], 'ownership-gained'),
		);
	}
});

after(() => {
	stop.abort();
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	store.stop();
	for (const worker of workers) {
		worker.stop();
	}
});

// Guards against an owner that keeps the lease for as long as no order of it reaches a target, also while a connection on
// which it can send no requests goes on.
test('an owner that reaches no target hands over the lease, and finds out when it reaches one again', async () => {
	const [first, second] = hosts as [ForwardingTestHost, ForwardingTestHost];
	const calls = [callContinually(first, 'h1'), callContinually(second, 'h2')];
	await waitUntil(
		'each host has requests',
		() => sockets.has('h1') && sockets.has('h2'),
	);
	await waitUntil('h1 knows of h2', async () =>
		(await metrics(first)).includes('daisylever_hosts 2'),
	);

	isSlow = true;
	await waitUntil('h2 has several connections to each target', async () => {
		await Promise.all(
			Array.from({length: 2 * workers.length * wantedConnections}, async () =>
				call(second, 'h2'),
			),
		);
		const targetPorts = [...sockets.get('h2')!]
			.filter((socket) => !socket.destroyed)
			.map((socket) => socket.localPort);
		return [...ports.values()].every(
			(port) =>
				targetPorts.filter((each) => each === port).length >= wantedConnections,
		);
	});
	isSlow = false;

	// Only the connections of h2 go on, and one that the owner uses for reports alone.
	for (const worker of workers) {
		worker.stopListening();
	}

	const kept = new Set(sockets.get('h2'));
	const ownOfFirst = [...sockets.get('h1')!];
	assert.ok(
		ownOfFirst.every((socket) => !kept.has(socket)),
		'h1 used connections of h2 before it was cut off',
	);
	const reports = [...sockets.get(reportPath)!].filter(
		(socket) =>
			!socket.destroyed && socket.localPort === ports.get(workers[0]!),
	);
	assert.notEqual(reports.length, 0, 'h1 reads reports of i-1');
	for (const worker of workers) {
		worker.closeConnections(new Set([...kept, ...reports]));
	}

	sockets.clear();
	await waitUntil('h1 notices', () => hasLogged(first, 'pool-unreachable'));
	assert.match(await metrics(first), /^daisylever_pools_cut_off 1$/m);
	await waitUntil('h1 gives the lease up', () =>
		hasLogged(first, 'ownership-given-up'),
	);
	await waitUntil('h2 is the owner', () =>
		hasLogged(second, 'ownership-gained'),
	);
	assert.match(await metrics(first), /^daisylever_is_owner 0$/m);
	await waitUntil('h2 serves', async () => (await call(second, 'h2')) === 200);
	// A host without targets forwards its requests. They arrive over connections of h2, since h1 has none and opens none.
	for (let index = 0; index < forwardedCalls; index++) {
		assert.equal(await call(first, 'h1'), 200);
	}

	assert.ok(hasLogged(first, 'request-sent-to-peer'));
	assert.ok(!hasLogged(second, 'request-sent-to-peer'));
	const usedByFirst = [...(sockets.get('h1') ?? [])];
	assert.notEqual(usedByFirst.length, 0);
	assert.ok(
		usedByFirst.every((socket) => kept.has(socket)),
		'h1 reached a target over a connection of its own',
	);
	assert.match(await metrics(first), /^daisylever_pools_cut_off 1$/m);

	for (const worker of workers) {
		await worker.start(ports.get(worker));
	}

	await waitUntil('h1 reaches the targets', () =>
		hasLogged(first, 'pool-reached-again'),
	);
	assert.match(await metrics(first), /^daisylever_pools_cut_off 0$/m);
	stop.abort();
	await Promise.all(calls);
});
