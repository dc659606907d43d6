import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {oddEntries, soundEntry} from '../platform/odd-values.js';
import {StandInStore} from '../platform/stand-in-store.js';
import {respondWith, StandInWorker} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

const store = new StandInStore();
const hosts: ForwardingTestHost[] = [];
const workers = [new StandInWorker('i-1'), new StandInWorker('i-2')];
let storeAddress = '';
let lastRequest = 0;

/** Time within which a new sound entry must get requests of every host, also on a busy machine. */
const takenUpMilliseconds = 10_000;

async function get(host: ForwardingTestHost): Promise<number> {
	lastRequest++;
	const response = await request(`http://127.0.0.1:${host.ports.callers}/x/y`, {
		headers: {host: 'a.example', 'request-id': `r${lastRequest}`},
	});
	await response.body.dump();
	return response.statusCode;
}

async function list(worker: StandInWorker): Promise<void> {
	worker.behaviour = respondWith('served');
	store.put('keyed.servers', worker.id, {
		...soundEntry,
		addr: await worker.start(),
	});
}

function putConfiguration(change: Record<string, unknown> = {}): void {
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
		...change,
	});
}

function sentTo(host: ForwardingTestHost, worker: string): boolean {
	return host.process.lines.some(
		(line) =>
			line.includes('"attempt-sent"') && line.includes(`"target":"${worker}"`),
	);
}

async function waitUntilAllUse(worker: string): Promise<void> {
	await waitUntil(
		`every host uses ${worker}`,
		async () => {
			const statuses = await Promise.all(hosts.map(async (host) => get(host)));
			assert.ok(statuses.every((status) => status === 200));
			return hosts.every((host) => sentTo(host, worker));
		},
		takenUpMilliseconds,
	);
}

before(async () => {
	storeAddress = await store.start();
	putConfiguration();
	await list(workers[0]!);
	hosts.push(
		...(await Promise.all(
			['h1', 'h2', 'h3'].map(async (name) =>
				startForwardingHost(name, {
					store: storeAddress,
					targets: {drainMilliseconds: 2000},
				}),
			),
		)),
	);
	await waitUntil('all hosts are ready and there is an owner', () =>
		hosts.every(({process: {lines}}) =>
			lines.some((line) => line.includes('"forwarding-ready"')),
		) &&
		hosts.some(({process: {lines}}) =>
			lines.some((line) => line.includes('"ownership-gained"')),
		)
			? true
			: undefined,
	);
});

after(() => {
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	store.stop();
	for (const worker of workers) {
		worker.stop();
	}
});

// Guards against hosts that end, stop following the list, or cannot report to each other any more, because another
// writer left an entry that no worker writes.
test('odd entries and configurations end no host, and a later sound entry is taken up by the owner and the followers', async () => {
	const unusable = oddEntries.filter(
		({isUsable, value}) => !isUsable && value.length < 1_000_000,
	);
	for (const [index, {key, value}] of unusable.entries()) {
		store.put('keyed.servers', key ?? `odd-${index}`, value);
	}

	for (const version of [7.5, 1e308, -1]) {
		putConfiguration({version});
	}

	await waitUntil('a host has read the odd entries', () =>
		hosts.some(({process: {lines}}) =>
			lines.some((line) => line.includes('"target-entry-malformed"')),
		)
			? true
			: undefined,
	);
	await list(workers[1]!);
	await waitUntilAllUse('i-2');
	store.put('keyed.servers', 'large', Buffer.alloc(10_000_000, 0x5b));
	store.put('keyed.servers', 'i-2', undefined);
	await waitUntil('every host drops i-2', () =>
		hosts.every(({process: {lines}}) =>
			lines.some(
				(line) =>
					line.includes('"target-unlisted"') && line.includes('"target":"i-2"'),
			),
		)
			? true
			: undefined,
	);
	for (const host of hosts) {
		assert.equal(await get(host), 200);
		assert.equal(host.process.exitCode, undefined);
		const {lines} = host.process;
		assert.ok(lines.every((line) => line.length < 3000));
		assert.ok(
			lines.filter((line) => line.includes('"target-entry-malformed"'))
				.length <= unusable.length,
		);
		for (const event of [
			'"forwarding-stopped"',
			'"unexpected-error"',
			'"state-read-failed"',
			'"report-failed"',
		]) {
			assert.equal(
				lines.find((line) => line.includes(event)),
				undefined,
			);
		}
	}
});

// Guards against a host that cannot start while an odd entry is in the list.
test('a host that starts among odd entries becomes ready and serves', async () => {
	const host = await startForwardingHost('h4', {
		store: storeAddress,
		targets: {drainMilliseconds: 2000},
	});
	hosts.push(host);
	await waitUntil('readiness', () =>
		host.process.lines.some((line) => line.includes('"forwarding-ready"'))
			? true
			: undefined,
	);
	assert.equal(await get(host), 200);
});
