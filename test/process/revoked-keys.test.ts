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

const revokeMilliseconds = 2000;
const store = new StandInStore();
const worker = new StandInWorker('i-1');
const hosts: ForwardingTestHost[] = [];
/** When each key was taken away, by its number. */
const revokedAt = new Map<number, number>();
/** Requests that were sent with a key later than the bound after it was taken away. */
const lateRequests = new Set<string>();
let version = 0;
let lastRequest = 0;

function keyOf(number: number): string {
	return `secret-key-${number}`;
}

/** Stores the next version, which has one key only. */
function storeVersion(): void {
	version++;
	const route = {
		host: 'a.example',
		kind: 'idempotent',
		timeout_ms: 3000,
		goal_ms: 300,
		service: 's',
		attempts: 2,
	};
	store.put('keyed.op', 'config', {
		version,
		routes: [
			{...route, name: 'keyed', prefix: '/keyed/'},
			{...route, name: 'open', prefix: '/open/', no_auth: true},
		],
		services: [{name: 's', max_conns: 100}],
		tenants: [{name: 'north', api_keys: [keyOf(version)]}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	revokedAt.set(version - 1, performance.now());
}

async function call(
	{ports}: ForwardingTestHost,
	path: string,
	key?: number,
): Promise<{readonly status: number; readonly retryAfter: boolean}> {
	lastRequest++;
	const id = `r${lastRequest}`;
	const at = key === undefined ? undefined : revokedAt.get(key);
	if (at !== undefined && performance.now() - at > revokeMilliseconds) {
		lateRequests.add(id);
	}

	const response = await request(`http://127.0.0.1:${ports.callers}${path}`, {
		headers: {
			host: 'a.example',
			'request-id': id,
			...(key === undefined ? {} : {'api-key': keyOf(key)}),
		},
	});
	await response.body.dump();
	return {
		status: response.statusCode,
		retryAfter: response.headers['retry-after'] !== undefined,
	};
}

async function waitUntilServed(key: number): Promise<void> {
	for (const host of hosts) {
		await waitUntil('the host accepts the key', async () => {
			const {status} = await call(host, '/keyed/x', key);
			return status === 200;
		});
	}
}

before(async () => {
	const address = await store.start();
	storeVersion();
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
					keys: {isRevocationStrict: true, revokeMilliseconds},
				}),
			),
		)),
	);
	await waitUntilServed(version);
});

after(() => {
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	store.stop();
	worker.stop();
});

function ranLate(): string[] {
	return worker.requests.flatMap(({headers}) => {
		const id = headers.get('request-id') ?? '';
		return lateRequests.has(id) ? [id] : [];
	});
}

// Guards against a host that was stopped while a key was taken away, and accepts it when it goes on.
test('a key that was taken away runs nowhere after the bound, also at hosts that stood still', async () => {
	for (const [index, host] of hosts.entries()) {
		const revoked = version;
		host.process.signal('SIGSTOP');
		storeVersion();
		await delay(revokeMilliseconds + 100);
		const calls = hosts.flatMap((each) =>
			Array.from({length: 10}, async () => call(each, '/keyed/x', revoked)),
		);
		await delay(100);
		host.process.signal('SIGCONT');
		const statuses = await Promise.all(calls);
		assert.deepEqual(ranLate(), [], `host ${index + 1}`);
		assert.ok(statuses.every(({status}) => [401, 503].includes(status)));
		await waitUntilServed(version);
	}
});

// Guards against keys that are accepted for as long as the store is away, and against routes without keys that suffer.
test('while the store is away, requests with keys are refused after the bound and the others go on', async () => {
	store.isAway = true;
	await delay(revokeMilliseconds);
	for (const host of hosts) {
		const {status, retryAfter} = await call(host, '/keyed/x', version);
		assert.equal(status, 503);
		assert.ok(retryAfter);
		assert.equal((await call(host, '/open/x')).status, 200);
	}

	store.isAway = false;
	await waitUntilServed(version);
});

// Guards against keys in logs and metrics.
test('no host has written a key', async () => {
	for (const {process: host, ports} of hosts) {
		const response = await request(`http://127.0.0.1:${ports.metrics}/metrics`);
		const metrics = await response.body.text();
		assert.doesNotMatch(metrics, /secret-key/);
		assert.match(metrics, /daisylever_unknown_keys_total [1-9]/);
		assert.match(metrics, /daisylever_outdated_key_refusals_total [1-9]/);
		assert.ok(!host.lines.some((line) => line.includes('secret-key')));
	}

	assert.ok(
		worker.requests.every(({headers}) => headers.get('api-key') === undefined),
	);
	assert.ok(
		worker.requests.every(({headers, path}) =>
			path.startsWith('/keyed/')
				? headers.get('tenant') === 'north'
				: !headers.has('tenant'),
		),
	);
});
