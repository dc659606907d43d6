import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {StandInWorker, streamEvents} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

/** Prompt parts whose ids begin so crash the workers that begin to answer on them. */
const crashingPrefix = 'bad';
const sharedPart = '50a1ed50';
const workerCount = 5;
const hostCount = 3;
/** Time after the fifth crash from which at most three more requests may reach targets. */
const stableMilliseconds = 3000;
const restartMilliseconds = 400;
const sendIntervalMilliseconds = 25;

const store = new StandInStore();
const hosts: ForwardingTestHost[] = [];
const workers = new Map<string, StandInWorker>();
const addresses = new Map<string, string>();
const crashTimes: number[] = [];
/** Times at which requests with the crashing part reached a worker. */
const crashingArrivals: number[] = [];
let requestCount = 0;
let isEnded = false;
let storeAddress = '';

function putWorker(name: string, born: number): void {
	store.put('keyed.servers', name, {
		service: 's',
		addr: addresses.get(name),
		zone: 'z',
		slots: 64,
		state: 'ready',
		born,
	});
}

/** Starts a worker, which ends when it begins to answer a request with the crashing part, and restarts at its address. */
async function startWorker(name: string, port = 0): Promise<void> {
	const worker = new StandInWorker(name);
	workers.set(name, worker);
	worker.behaviour = (received) => {
		const parts = (received.headers.get('prompt-prefix') ?? '').split(',');
		if (!parts.some((part) => part.startsWith(crashingPrefix))) {
			streamEvents(1, 5, 'whole')(received);
			return;
		}

		crashingArrivals.push(performance.now());
		streamEvents(1, 1, 'broken')(received);
		setTimeout(() => {
			if (workers.get(name) === worker) {
				void crash(name, worker);
			}
		}, 10);
	};

	addresses.set(name, await worker.start(port));
	putWorker(name, Date.now());
}

async function crash(name: string, worker: StandInWorker): Promise<void> {
	workers.delete(name);
	crashTimes.push(performance.now());
	worker.stop();
	await new Promise((resolve) => {
		setTimeout(resolve, restartMilliseconds);
	});
	if (isEnded) {
		return;
	}

	await startWorker(name, Number(addresses.get(name)!.split(':')[1]));
}

/** Sends a request through one of the hosts and returns true when its answer is complete. */
async function send(parts: readonly string[]): Promise<boolean> {
	requestCount++;
	const id = `r${requestCount}`;
	const host = hosts[requestCount % hosts.length]!;
	try {
		const response = await request(
			`http://127.0.0.1:${host.ports.callers}/stream/x`,
			{
				method: 'POST',
				headers: {
					host: 'a.example',
					'request-id': id,
					'deadline-ms': '3000',
					'prompt-prefix': [...parts, `own${id}`]
						.map((part) => `${part}:100`)
						.join(','),
				},
				body: id,
			},
		);
		const text = await response.body.text();
		return response.statusCode === 200 && text.includes('id: 5\n');
	} catch {
		return false;
	}
}

/** Sends sound requests, and some with the crashing part if there is one, at a steady pace. Returns the share of sound requests with a complete answer. */
async function sendFor(
	milliseconds: number,
	crashingPart?: string,
): Promise<number> {
	const endsAt = performance.now() + milliseconds;
	const sound: Array<Promise<boolean>> = [];
	while (performance.now() < endsAt) {
		sound.push(send([sharedPart]));
		if (crashingPart !== undefined) {
			void send([sharedPart, crashingPart]);
		}

		await new Promise((resolve) => {
			setTimeout(resolve, sendIntervalMilliseconds);
		});
	}

	const outcomes = await Promise.all(sound);
	return outcomes.filter(Boolean).length / outcomes.length;
}

async function startHosts(): Promise<void> {
	const started = await Promise.all(
		Array.from({length: hostCount}, async (_, index) =>
			startForwardingHost(`h${index}`, {store: storeAddress}),
		),
	);
	hosts.splice(0, hosts.length, ...started);
	await waitUntil('readiness', () =>
		hosts.every(({process: {lines}}) =>
			lines.some((line) => line.includes('"forwarding-ready"')),
		),
	);
}

function arrivalsSince(time: number): number {
	return crashingArrivals.filter((at) => at > time).length;
}

before(async () => {
	storeAddress = await store.start();
	store.put('keyed.op', 'config', {
		version: 1,
		routes: [
			{
				name: 'r',
				host: 'a.example',
				prefix: '/stream/',
				kind: 'stream',
				allow_resume: true,
				timeout_ms: 5000,
				goal_ms: 300,
				service: 's',
				attempts: 3,
			},
		],
		services: [{name: 's', max_conns: 200}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	for (let index = 0; index < workerCount; index++) {
		await startWorker(`i-${index}`);
	}

	await startHosts();
});

after(() => {
	isEnded = true;
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	for (const worker of workers.values()) {
		worker.stop();
	}

	store.stop();
});

// Guards against a part of prompts that crashes each target which begins to answer on it: no two requests with the part
// are alike, so nothing that identifies whole requests finds it. Requests that share the other parts must be served.
test('requests with a prompt part that crashes targets stop reaching targets, and the others are served', async () => {
	const servedBefore = await sendFor(2000);
	await sendFor(2 * stableMilliseconds, 'bad1');
	const fifthCrashAt = crashTimes[4] ?? Number.POSITIVE_INFINITY;
	const servedAfter = await sendFor(stableMilliseconds, 'bad1');
	const later = arrivalsSince(fifthCrashAt + stableMilliseconds);
	assert.ok(crashTimes.length > 0, 'no target crashed');
	assert.ok(
		later <= 3,
		`${later} requests reached targets, ${crashTimes.length} crashes`,
	);
	assert.ok(
		servedAfter >= servedBefore / 2,
		`${servedAfter} of the sound requests served, ${servedBefore} before`,
	);
});

// Guards against a quarantine that is lost when no host is left that knows it.
test('a quarantined prompt part stays quarantined after the loss of all hosts', async () => {
	await Promise.all(hosts.map(async ({process: host}) => host.kill()));
	const killedAt = performance.now();
	await startHosts();
	const served = await sendFor(stableMilliseconds, 'bad1');
	const arrivals = arrivalsSince(killedAt);
	assert.ok(arrivals <= 3, `${arrivals} requests reached targets`);
	assert.ok(served >= 0.5, `${served} of the sound requests served`);
});

// Guards against evidence that nobody collects: no host can hold the lease while the store is away, and the last owner
// is gone.
test('a crashing prompt part is found without the store and without an owner', async () => {
	await waitUntil('an owner', () =>
		hosts.some(({process: {lines}}) =>
			lines.some((line) => line.includes('"ownership-gained"')),
		),
	);
	await sendFor(500);
	store.stop();
	const owner = hosts.findIndex(({process: {lines}}) =>
		lines.some((line) => line.includes('"ownership-gained"')),
	);
	const [killed] = hosts.splice(owner, 1);
	await killed!.process.kill();
	crashTimes.length = 0;
	await sendFor(2 * stableMilliseconds, 'bad2');
	const fifthCrashAt = crashTimes[4] ?? performance.now() - stableMilliseconds;
	await sendFor(stableMilliseconds, 'bad2');
	const later = arrivalsSince(fifthCrashAt + stableMilliseconds);
	assert.ok(crashTimes.length > 0, 'no target crashed');
	assert.ok(
		later <= 3,
		`${later} requests reached targets, ${crashTimes.length} crashes`,
	);
});
