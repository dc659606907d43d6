import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {type SoftwareVersion, type TargetId} from '../../src/contracts/ids.js';
import {StandInWorker, streamEvents} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

let harness: ForwardingHarness;
let workers: StandInWorker[];

/** Starts a worker and lists it with a software version. */
async function addWorker(
	id: string,
	version: string | undefined,
): Promise<StandInWorker> {
	const worker = new StandInWorker(id);
	workers.push(worker);
	const address = await worker.start();
	harness.list(id, address, {
		softwareVersion: version as SoftwareVersion | undefined,
	});
	return worker;
}

beforeEach(async () => {
	harness = new ForwardingHarness();
	workers = [];
	await harness.start(forwardingDocument);
});

afterEach(async () => {
	await harness.stop();
	for (const worker of workers) {
		worker.stop();
	}
});

// Guards against a caller that waits until its deadline for the rest of a stream that no target can continue.
test('a stream whose software version has no target left ends at once', async () => {
	const first = await addWorker('i-1', 'v1');
	first.behaviour = streamEvents(1, 3, 'broken');
	const call = harness.call('/stream/x');
	await waitUntil('the request', () => first.requests.length === 1);
	const second = await addWorker('i-2', 'v2');
	second.behaviour = streamEvents(4, 6, 'whole');
	harness.registry.applyChange({
		kind: 'unlisted',
		target: 'i-1' as TargetId,
	});
	const startedAt = performance.now();
	const result = await call;
	assert.ok(performance.now() - startedAt < 1000);
	assert.equal(result.isComplete, false);
	assert.ok(!result.body.includes('piece 4'));
	assert.equal(second.requests.length, 0);
});

test('targets that name no software version continue the streams of each other', async () => {
	const first = await addWorker('i-1', undefined);
	first.behaviour = streamEvents(1, 3, 'broken');
	const call = harness.call('/stream/x');
	await waitUntil('the request', () => first.requests.length === 1);
	const second = await addWorker('i-2', undefined);
	second.behaviour = streamEvents(4, 6, 'whole');
	const result = await call;
	assert.equal(result.isComplete, true);
	assert.ok(result.body.includes('piece 6'));
});

/** Restarts the harness so that other hosts know the given streams. */
async function restartWith(
	known: Readonly<Record<string, string>>,
): Promise<void> {
	await harness.stop();
	harness = new ForwardingHarness(
		async (stream) => known[stream] as SoftwareVersion | undefined,
	);
	await harness.start(forwardingDocument);
}

const taken = (headers: Readonly<Record<string, string>>) => ({
	headers: {'Last-Event-Id': '3', ...headers},
});

// Guards against a stream that goes on at another version because this host has never seen it.
test('a stream that another host knows goes on at a target of its version', async () => {
	await restartWith({a: 'v2', b: 'v1'});
	for (const version of ['v1', 'v2']) {
		const worker = await addWorker(`i-${version}`, version);
		worker.behaviour = streamEvents(4, 6, 'whole');
	}

	for (const [resumed, index] of [
		['a', 1],
		['b', 0],
	] as const) {
		for (let count = 1; count <= 4; count++) {
			const result = await harness.call('/stream/x', taken({Resumes: resumed}));
			assert.equal(result.status, 200);
			assert.equal(workers[index]!.requests.length, count);
		}
	}
});

// Guards against a guess, and against a caller that waits although nobody knows its stream.
test('a stream that no host knows is refused as not run', async () => {
	await restartWith({});
	await addWorker('i-1', 'v1');
	await addWorker('i-2', 'v2');
	const longId = 'x'.repeat(300);
	const cases: ReadonlyArray<Readonly<Record<string, string>>> = [
		{Resumes: 'unknown'},
		{Resumes: longId},
		{},
	];
	for (const headers of cases) {
		const startedAt = performance.now();
		const result = await harness.call('/stream/x', taken(headers));
		assert.equal(result.status, 503);
		assert.ok(Number(result.headers['retry-after']) > 0);
		assert.ok(performance.now() - startedAt < 500);
	}

	assert.ok(workers.every(({requests}) => requests.length === 0));
});

test('a stream whose version has left is refused without a delay after which it could go on', async () => {
	await restartWith({a: 'v1'});
	await addWorker('i-2', 'v2');
	const result = await harness.call('/stream/x', taken({Resumes: 'a'}));
	assert.equal(result.status, 503);
	assert.equal(result.headers['retry-after'], undefined);
	assert.equal(workers[0]!.requests.length, 0);
});

// Guards against callers that get nothing although they have no event yet: their streams may begin anew anywhere.
test('a stream without an event begins anew at any target, and the header goes on unchanged', async () => {
	await restartWith({});
	const worker = await addWorker('i-2', 'v2');
	worker.behaviour = streamEvents(1, 3, 'whole');
	const result = await harness.call('/stream/x', {headers: {Resumes: 'a'}});
	assert.equal(result.isComplete, true);
	assert.equal(worker.requests[0]?.headers.get('resumes'), 'a');
});

// Guards against a caller whose third try names the first one: the host that forwarded it knows the stream by that name.
test('a stream is known by the request that brought its first event', async () => {
	await restartWith({});
	const first = await addWorker('i-1', 'v1');
	const second = await addWorker('i-2', 'v2');
	for (const worker of [first, second]) {
		worker.behaviour = streamEvents(1, 3, 'whole');
	}

	await harness.call('/stream/x', {id: 'first'});
	const origin = first.requests.length === 1 ? first : second;
	for (const worker of [first, second]) {
		worker.behaviour = streamEvents(4, 6, 'whole');
	}

	for (const id of ['second', 'third']) {
		const before = origin.requests.length;
		await harness.call('/stream/x', {id, ...taken({Resumes: 'first'})});
		assert.equal(origin.requests.length, before + 1);
	}
});
