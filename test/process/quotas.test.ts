import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
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
const hosts: ForwardingTestHost[] = [];
const quota = {per_s: 2000, burst: 2000, unit: 'tokens', plain_tokens: 100};
const excessShare = 0.1;
const slackUnits = 1000;
let lastRequest = 0;

async function call(host: ForwardingTestHost, key: string) {
	lastRequest++;
	const response = await request(
		`http://127.0.0.1:${host.ports.callers}/api/x`,
		{
			headers: {
				host: 'a.example',
				'request-id': `r${lastRequest}`,
				'api-key': key,
			},
		},
	);
	await response.body.dump();
	return response;
}

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
		tenants: [
			{name: 'north', api_keys: ['key-n'], ...quota},
			{name: 'south', api_keys: ['key-s']},
		],
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
		born: 1,
		seq: 1,
	});
	hosts.push(
		...(await Promise.all(
			['h1', 'h2', 'h3'].map(async (name) =>
				startForwardingHost(name, {
					store: address,
					quotas: {windowSeconds: 8, excessShare, slackUnits},
				}),
			),
		)),
	);
	for (const host of hosts) {
		await waitUntil('the host serves', async () => {
			const {statusCode} = await call(host, 'key-s');
			return statusCode === 200;
		});
	}

	// The owner listens before it decides.
	await delay(2500);
});

after(() => {
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	store.stop();
	worker.stop();
});

// Guards against hosts that count the use of a customer each for themselves, or that serve nothing beyond their parts.
test('three hosts together serve a customer up to its quota and refuse the rest with a delay', async () => {
	const startedAt = performance.now();
	const counts = new Map<number, number>();
	const calls: Array<Promise<void>> = [];
	for (let round = 0; round < 150; round++) {
		// Two thirds of the load come to the first host.
		for (const host of [hosts[0]!, hosts[0]!, hosts[round % 3]!]) {
			calls.push(
				call(host, 'key-n').then(({statusCode, headers}) => {
					counts.set(statusCode, (counts.get(statusCode) ?? 0) + 1);
					assert.ok(statusCode !== 429 || Number(headers['retry-after']) > 0);
				}),
			);
		}

		await delay(40);
	}

	await Promise.all(calls);
	const seconds = (performance.now() - startedAt) / 1000;
	const served = (counts.get(200) ?? 0) * quota.plain_tokens;
	const allowed = quota.per_s * seconds + quota.burst;
	const description = `${served} units in ${seconds} s, ${JSON.stringify([...counts])}`;
	assert.ok(served <= allowed * (1 + excessShare) + slackUnits, description);
	assert.ok(served >= allowed / 2, description);
	assert.deepEqual(
		[...counts.keys()].sort((one, other) => one - other),
		[200, 429],
		description,
	);
});

test('the refusals of a customer are in metrics and log by name, and a customer without a quota has none', async () => {
	const {statusCode} = await call(hosts[0]!, 'key-s');
	assert.equal(statusCode, 200);
	const {process: host, ports} = hosts[0]!;
	const response = await request(`http://127.0.0.1:${ports.metrics}/metrics`);
	const metrics = await response.body.text();
	assert.match(
		metrics,
		/daisylever_quota_refusals_total{customer="north",reason="quota"} [1-9]/,
	);
	assert.match(
		metrics,
		/daisylever_quota_units_per_second{customer="north"} 2000/,
	);
	assert.doesNotMatch(metrics, /daisylever_quota_\w+{customer="south"/);
	assert.ok(
		host.lines.some(
			(line) => line.includes('quota-exceeded') && line.includes('north'),
		),
	);
});
