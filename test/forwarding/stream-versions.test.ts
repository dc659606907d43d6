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
