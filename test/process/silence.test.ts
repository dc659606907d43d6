import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {LoopbackProxy, type ProxyDirection} from '../loopback-proxy.js';
import {StandInStore} from '../platform/stand-in-store.js';
import {respondWith, StandInWorker} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

/** Silence after which the store or the owner goes on as if nothing had happened. */
const silenceMilliseconds = 1200;
/** Time after the silence within which all hosts follow documents and target lists again. */
const followMilliseconds = 1000;
const store = new StandInStore();
const worker = new StandInWorker('i-1');
const hosts: ForwardingTestHost[] = [];
const storeProxies: LoopbackProxy[] = [];
const peerProxies: LoopbackProxy[] = [];
const agent = new Agent({connections: 4});
let workerAddress = '';
let version = 0;
let lastRequest = 0;

function putConfiguration(): void {
	version++;
	store.put('keyed.op', 'config', {
		version,
		routes: [
			{
				name: 'r',
				host: 'a.example',
				prefix: '/x/',
				kind: 'non_idempotent',
				timeout_ms: 3000,
				goal_ms: 300,
				service: 's',
				attempts: 1,
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

function putWorker(id: string): void {
	store.put('keyed.servers', id, {
		service: 's',
		addr: workerAddress,
		zone: 'z',
		slots: 16,
		state: 'ready',
		born: 1,
		seq: 1,
	});
}

/** Starts a host that reaches the store through a proxy of its own. */
async function startHost(
	name: string,
	storeAddress: string,
	rewrite?: (bytes: Buffer) => Buffer,
): Promise<void> {
	const proxy = new LoopbackProxy(storeAddress);
	storeProxies.push(proxy);
	proxy.rewrite = rewrite;

	hosts.push(
		await startForwardingHost(name, {
			store: await proxy.start(),
			targets: {drainMilliseconds: 2000},
		}),
	);
}

function countEvents(event: string): number {
	return hosts
		.flatMap(({process: {lines}}) => lines)
		.filter((line) => line.includes(`"${event}"`)).length;
}

async function status(port: number, path: string): Promise<number> {
	lastRequest++;
	const response = await request(`http://127.0.0.1:${port}${path}`, {
		dispatcher: agent,
		headers: {host: 'a.example', 'request-id': `r${lastRequest}`},
	});
	await response.body.dump();
	return response.statusCode;
}

/** Calls every host and its readiness until the work ends, and returns the statuses other than 200. */
async function failuresDuring(work: () => Promise<void>): Promise<string[]> {
	const failures: string[] = [];
	const done = new AbortController();
	const callers = hosts.flatMap(({ports}, index) =>
		[
			[ports.callers!, '/x/y'],
			[ports.readiness!, '/ready'],
		].map(async ([port, path]) => {
			while (!done.signal.aborted) {
				const code = await status(Number(port), String(path));
				if (code !== 200) {
					failures.push(`host ${index + 1} ${path}: ${code}`);
				}

				await delay(25);
			}
		}),
	);
	try {
		await work();
	} finally {
		done.abort();
		await Promise.all(callers);
	}

	return failures;
}

/** Returns the milliseconds until all hosts have applied the newest document and listed a target. */
async function followTime(targetId: string): Promise<number> {
	const startedAt = performance.now();
	await waitUntil(
		'all hosts follow the store',
		() =>
			hosts.every(
				({process: {lines}}) =>
					lines.some(
						(line) =>
							line.includes('"document-applied"') &&
							line.includes(`"version":${version}}`),
					) &&
					lines.some(
						(line) =>
							line.includes('"target-listed"') && line.includes(targetId),
					),
			),
		10_000,
	);
	return performance.now() - startedAt;
}

before(async () => {
	const storeAddress = await store.start();
	workerAddress = await worker.start();
	worker.behaviour = respondWith('served');
	putConfiguration();
	putWorker('i-0');
	await startHost('h1', storeAddress);
	await waitUntil(
		'the first host is the owner',
		() => countEvents('ownership-gained') === 1,
	);
	// The other hosts read in the store that the owner is reached at the proxy. Both ports have five digits.
	const owner = `127.0.0.1:${hosts[0]!.ports.peers}`;
	const peerProxy = new LoopbackProxy(owner);
	peerProxies.push(peerProxy);
	const address = await peerProxy.start();
	assert.equal(address.length, owner.length);
	const rewrite = (bytes: Buffer) =>
		Buffer.from(bytes.toString('latin1').replaceAll(owner, address), 'latin1');
	await startHost('h2', storeAddress, rewrite);
	await startHost('h3', storeAddress, rewrite);
	await waitUntil('all hosts serve', async () => {
		for (const {ports} of hosts) {
			if (
				(await status(ports.readiness!, '/ready')) !== 200 ||
				(await status(ports.callers!, '/x/y')) !== 200
			) {
				return false;
			}
		}

		return peerProxy.openConnections > 0;
	});
});

after(async () => {
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	for (const proxy of [...storeProxies, ...peerProxies]) {
		proxy.stop();
	}

	store.stop();
	worker.stop();
	await agent.destroy();
});

/** Silences the proxies while the document and the list of targets change, and checks that no host takes the store or the owner for dead. */
async function checkSilence(
	silent: readonly LoopbackProxy[],
	target: string,
	directions?: readonly ProxyDirection[],
): Promise<void> {
	let followed = Number.POSITIVE_INFINITY;
	const failures = await failuresDuring(async () => {
		for (const proxy of silent) {
			proxy.silence(directions);
		}

		putConfiguration();
		putWorker(target);
		await delay(silenceMilliseconds);
		for (const proxy of silent) {
			proxy.resume();
		}

		followed = await followTime(target);
	});
	assert.deepEqual(failures, []);
	assert.equal(countEvents('ownership-gained'), 1);
	assert.equal(countEvents('ownership-lost'), 0);
	assert.ok(followed < followMilliseconds, `followed after ${followed} ms`);
}

// Guards against hosts that take a sound store for dead: they would lose readiness, refuse requests, pass on the lease
// or follow the store again only after a long delay. The silence starts at several moments between two renewals.
for (const delayMilliseconds of [0, 250, 500, 750]) {
	test(`a store that is silent for 1.2 s, from ${delayMilliseconds} ms after a renewal of the lease on, changes nothing`, async () => {
		const end = store.end('daisylever.owner');
		await waitUntil('the lease is renewed', () =>
			store.end('daisylever.owner') > end ? true : undefined,
		);
		await delay(delayMilliseconds);
		await checkSilence(storeProxies, `i-store-${delayMilliseconds}`);
	});
}

// Guards against hosts that take a sound owner for dead while nothing arrives from it, and claim its lease or give up
// the state that it sends.
for (const direction of ['to-server', 'from-server'] as const) {
	test(`an owner to which the connections are silent ${direction} for 1.2 s stays the owner`, async () => {
		await checkSilence(peerProxies, `i-owner-${direction}`, [direction]);
	});
}
