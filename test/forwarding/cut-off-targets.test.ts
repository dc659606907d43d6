import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {startFullListener} from '../targets/silent-listener.js';
import {respondWith, StandInWorker} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {
	forwardingDocument,
	ForwardingHarness,
	poolName,
} from './forwarding-harness.js';

let harness: ForwardingHarness;
let workers: StandInWorker[];
let ports: number[];
let observations: number;

const names = ['i-1', 'i-2', 'i-3'];

function startWorker(id: string): StandInWorker {
	const worker = new StandInWorker(id);
	worker.behaviour = respondWith('ok');
	return worker;
}

beforeEach(async () => {
	harness = new ForwardingHarness();
	observations = 0;
	harness.crashes.observed.subscribe(() => {
		observations++;
	});
	await harness.start(forwardingDocument);
	workers = names.map((name) => startWorker(name));
	ports = [];
	for (const worker of workers) {
		const address = await worker.start();
		ports.push(Number(address.split(':')[1]));
		harness.list(worker.id, address);
	}
});

afterEach(async () => {
	await harness.stop();
	for (const worker of workers) {
		worker.stop();
	}
});

function isCutOff(): boolean {
	return harness.registry.reachability.isCutOff(poolName);
}

async function restartWorkers(): Promise<void> {
	workers = names.map((name) => startWorker(name));
	for (const [index, worker] of workers.entries()) {
		await worker.start(ports[index]);
	}
}

/** Sends a request that may have ended its target if it is lost. */
async function callOnce(part: number) {
	return harness.call('/once/x', {
		body: 'b',
		headers: {'Prompt-Prefix': `part${part}:5,own${part}:5`},
	});
}

function requestCount(): number {
	return workers.reduce((sum, {requests}) => sum + requests.length, 0);
}

/** Requests that stay open at the workers until these stop. */
async function openRequests(count: number) {
	for (const worker of workers) {
		worker.behaviour = () => undefined;
	}

	const before = requestCount();
	const calls = Array.from({length: count}, async (_, part) => callOnce(part));
	await waitUntil(
		'the requests have arrived',
		() => requestCount() - before === count,
	);
	return calls;
}

// Guards against innocent requests that are quarantined on all hosts because a host lost its paths, and against a host
// that does not use the targets for seconds after these have returned.
test('targets that all refuse connections are cut off, not dead, and are used again when they accept', async () => {
	assert.equal((await harness.call('/idempotent/x')).status, 200);
	const calls = await openRequests(9);
	for (const worker of workers) {
		worker.stop();
	}

	await waitUntil('the pool is cut off', isCutOff);
	for (const {status} of await Promise.all(calls)) {
		assert.equal(status, 502);
	}

	assert.equal(observations, 0);
	await restartWorkers();
	await waitUntil('the pool is reached', () => !isCutOff());
	assert.equal(observations, 0);
	for (const {emptyUntil} of harness.registry.all()) {
		assert.equal(emptyUntil, 0);
	}

	assert.equal((await harness.call('/idempotent/x')).status, 200);
});

// Guards against crashes that count for nothing because the evidence is held back.
test('a target that alone refuses connections is dead', async () => {
	const calls = await openRequests(9);
	workers[0]!.stop();
	await waitUntil('the death is observed', () => observations > 0);
	assert.equal(isCutOff(), false);
	const [first, ...others] = [...harness.registry.all()];
	assert.ok(first!.emptyUntil > harness.clock.monotonic());
	assert.deepEqual(
		others.map(({emptyUntil}) => emptyUntil),
		[0, 0],
	);
	for (const worker of workers.slice(1)) {
		worker.stop();
	}

	await Promise.all(calls);
});

// Guards against a host that counts targets as dead whose open connections go on to serve.
test('targets that refuse new connections but serve open ones are not dead', async () => {
	for (const worker of workers) {
		worker.behaviour = (request) => {
			setTimeout(() => {
				respondWith('ok')(request);
			}, 20);
		};
	}

	const isServing = async () =>
		(await harness.call('/idempotent/x')).status === 200;
	await Promise.all(Array.from({length: 24}, async () => isServing()));
	for (const worker of workers) {
		worker.stopListening();
		worker.behaviour = (request) => {
			if (request.path.startsWith('/once/')) {
				request.socket.destroy();
			} else {
				respondWith('ok')(request);
			}
		};
	}

	const calls: Array<Promise<unknown>> = [];
	for (let round = 0; round < 6; round++) {
		calls.push(callOnce(round));
		await isServing();
	}

	await Promise.all(calls);
	assert.equal(observations, 0);
});

// Guards against a host that keeps sending requests to targets whose connections hang.
test('targets that accept no connection in time are cut off', async () => {
	const listeners = await Promise.all(
		names.map(async () => startFullListener()),
	);
	for (const [index, {address}] of listeners.entries()) {
		workers[index]!.stop();
		harness.list(names[index]!, address.replace('http://', ''));
	}

	const call = harness.call('/short/x');
	await waitUntil('the pool is cut off', isCutOff);
	assert.notEqual((await call).status, 200);
	assert.equal(observations, 0);
	await Promise.all(listeners.map(async ({stop}) => stop()));
});
