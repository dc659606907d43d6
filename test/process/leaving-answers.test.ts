import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {
	responseHead,
	respondWith,
	StandInWorker,
} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

const store = new StandInStore();
const hosts: ForwardingTestHost[] = [];
const workers = [new StandInWorker('i-1'), new StandInWorker('i-2')];
/** Time within which a leaving worker must get no new work. */
const drainMilliseconds = 2000;
/** Body of the answers in which the worker says that it leaves. */
const leavingBody = 'leaving';
let storeAddress = '';
let lastRequest = 0;

async function fetchFrom(
	host: ForwardingTestHost,
): Promise<{readonly status: number; readonly body: string}> {
	lastRequest++;
	const response = await request(`http://127.0.0.1:${host.ports.callers}/x/y`, {
		headers: {host: 'a.example', 'request-id': `r${lastRequest}`},
	});
	return {status: response.statusCode, body: await response.body.text()};
}

async function get(host: ForwardingTestHost): Promise<number> {
	const {status} = await fetchFrom(host);
	return status;
}

before(async () => {
	storeAddress = await store.start();
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
		services: [{name: 's', max_conns: 100}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	for (const worker of workers) {
		worker.behaviour = respondWith('served');
		store.put('keyed.servers', worker.id, {
			service: 's',
			addr: await worker.start(),
			zone: 'z',
			slots: 16,
			state: 'ready',
			born: 1,
			seq: 1,
		});
	}

	hosts.push(
		...(await Promise.all(
			['h1', 'h2', 'h3'].map(async (name) =>
				startForwardingHost(name, {
					store: storeAddress,
					targets: {drainMilliseconds},
				}),
			),
		)),
	);
	await waitUntil('every host uses both workers', async () => {
		for (const host of hosts) {
			await get(host);
		}

		return hosts.every(({process: {lines}}) =>
			['i-1', 'i-2'].every((id) =>
				lines.some(
					(line) => line.includes('"attempt-sent"') && line.includes(id),
				),
			),
		);
	});
	// Hosts find each other through the store, so a host that has not done so cannot hear from the others while it is away.
	for (const host of hosts) {
		await waitUntil('every host knows the others', async () =>
			knowsFleet(host),
		);
	}
});

/** True when a host knows how many hosts there are and which one is the owner. */
async function knowsFleet({
	process: {lines},
	ports,
}: ForwardingTestHost): Promise<boolean> {
	const response = await request(`http://127.0.0.1:${ports.metrics}/metrics`);
	return (
		(await response.body.text()).includes('daisylever_hosts 3\n') &&
		lines.some((line) => /"(owner-changed|ownership-gained)"/.test(line))
	);
}

after(() => {
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	store.stop();
	for (const worker of workers) {
		worker.stop();
	}
});

// Guards against new work for a leaving worker of which the store says nothing: it is away, and comes back with the old
// entry. Only one host has the worker's word.
test('a worker that says in one answer that it leaves gets no new work of any host, while the store is away and after it', async () => {
	const [leaving] = workers;
	store.isAway = true;
	leaving!.behaviour = ({headers, socket}) => {
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Server-Leaving': '1',
				'Content-Length': String(leavingBody.length),
			}) + leavingBody,
		);
	};

	// An answer that comes after a stall, when another worker has answered instead, reaches no host. The worker repeats it.
	await waitUntil('an answer of the worker reaches one host', async () => {
		const {body} = await fetchFrom(hosts[0]!);
		return body === leavingBody;
	});
	leaving!.behaviour = respondWith('served');
	await new Promise((resolve) => {
		setTimeout(resolve, drainMilliseconds);
	});
	const sent = leaving!.requests.length;
	const startedAt = performance.now();
	while (performance.now() - startedAt < 2 * drainMilliseconds) {
		for (const host of hosts) {
			assert.equal(await get(host), 200);
		}
	}

	assert.equal(leaving!.requests.length, sent);
	store.isAway = false;
	const restarted = await startForwardingHost('h4', {
		store: storeAddress,
		targets: {drainMilliseconds},
	});
	hosts.push(restarted);
	await waitUntil('the new host serves', async () =>
		(await get(restarted)) === 200 ? true : undefined,
	);
	await new Promise((resolve) => {
		setTimeout(resolve, drainMilliseconds);
	});
	const later = leaving!.requests.length;
	for (let call = 0; call < 20; call++) {
		for (const host of hosts) {
			assert.equal(await get(host), 200);
		}
	}

	assert.equal(leaving!.requests.length, later);
	assert.equal(
		hosts
			.slice(0, 3)
			.filter(({process: {lines}}) =>
				lines.some(
					(line) =>
						line.includes('"target-listed"') &&
						line.includes('"isLeaving":true'),
				),
			).length,
		3,
	);
});
