import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {BrittleBehaviour, StandInWorker} from '../platform/stand-in-worker.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

const callerCount = 30;
const slots = 4;

let harness: ForwardingHarness;
let workers: StandInWorker[];
let behaviours: BrittleBehaviour[];

beforeEach(async () => {
	harness = new ForwardingHarness();
	harness.service.setHostCount(2);
	await harness.start(forwardingDocument);
	workers = [new StandInWorker('i-1'), new StandInWorker('i-2')];
	behaviours = [];
	for (const worker of workers) {
		harness.list(worker.id, await worker.start(), {slots});
		behaviours.push(
			new BrittleBehaviour(worker, {
				slots,
				usedByOthers: 1,
				serviceMilliseconds: 30,
				refusalsPerSecond: 3,
			}),
		);
	}
});

afterEach(async () => {
	await harness.stop();
	for (const worker of workers) {
		worker.stop();
	}
});

/** Lets all callers send one request after the other, and returns how many were answered. */
async function callFor(milliseconds: number): Promise<number> {
	const end = performance.now() + milliseconds;
	let served = 0;
	await Promise.all(
		Array.from({length: callerCount}, async () => {
			while (performance.now() < end) {
				const {status} = await harness.call('/idempotent/x');
				served += status === 200 ? 1 : 0;
			}
		}),
	);
	return served;
}

// Guards against requests that are turned away by a brittle target instead of waiting in the host, until it falls over.
test('targets that say that they are brittle do not fall over in a burst, and go on working', async () => {
	for (const behaviour of behaviours) {
		behaviour.isAnnounced = true;
	}

	await callFor(500);
	for (const behaviour of behaviours) {
		behaviour.isBrittle = true;
		behaviour.queueRoom = 0;
	}

	const served = await callFor(2500);
	assert.deepEqual(
		behaviours.map(({falls}) => falls),
		[0, 0],
	);
	assert.ok(served >= 10, `${served} served`);
});

// Guards against a limit that stays after the targets have stopped to say that they are brittle.
test('targets that are no longer brittle get as much as before', async () => {
	for (const behaviour of behaviours) {
		behaviour.isAnnounced = true;
	}

	await callFor(300);
	for (const behaviour of behaviours) {
		behaviour.isAnnounced = false;
	}

	await callFor(500);
	const sent = () =>
		workers.reduce((sum, {requests}) => sum + requests.length, 0);
	const before = sent();
	await callFor(500);
	assert.ok(sent() - before >= 50, `${sent() - before} sent`);
});
