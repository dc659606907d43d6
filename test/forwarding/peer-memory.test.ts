import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {ByteBudget} from '../../src/core/limits/byte-budget.js';
import {respondWith, StandInWorker} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {
	type BodyBudgets,
	forwardingDocument,
	ForwardingHarness,
} from './forwarding-harness.js';

const limitBytes = 100_000;
const largeBytes = 200_000;

let harnesses: ForwardingHarness[];
let workers: StandInWorker[];

beforeEach(() => {
	harnesses = [];
	workers = [];
});

afterEach(async () => {
	for (const harness of harnesses) {
		await harness.stop();
	}

	for (const worker of workers) {
		worker.stop();
	}
});

async function start(budgets: BodyBudgets): Promise<ForwardingHarness> {
	const harness = new ForwardingHarness(undefined, budgets);
	harnesses.push(harness);
	await harness.start({
		...forwardingDocument,
		limits: {...forwardingDocument.limits, bodyBytes: 2 * largeBytes},
	});
	return harness;
}

/** Starts a host that reaches a worker of its own. */
async function startPeer(
	budgets: BodyBudgets,
	answer = 'served',
): Promise<{harness: ForwardingHarness; worker: StandInWorker}> {
	const harness = await start(budgets);
	const worker = new StandInWorker(`i-${workers.length + 1}`);
	workers.push(worker);
	worker.behaviour = respondWith(answer);
	harness.list(worker.id, await worker.start());
	return {harness, worker};
}

// Guards against a host whose memory the requests of other hosts fill.
test('a large request goes to another peer when the first has no memory for it', async () => {
	const requests = new ByteBudget(limitBytes);
	const full = await startPeer({requests});
	const other = await startPeer({});
	const first = await start({});
	first.reachability.setCutOff(true);
	first.knownPeers = [
		await full.harness.listenForPeers(),
		await other.harness.listenForPeers(),
	];
	// The peer that is asked first is drawn.
	for (let call = 0; call < 8; call++) {
		const {status} = await first.call('/idempotent/a', {
			body: 'x'.repeat(largeBytes),
		});
		assert.equal(status, 200);
	}

	assert.equal(full.worker.requests.length, 0);
	assert.equal(other.worker.requests.length, 8);
	assert.equal(requests.heldBytes, 0);
	await full.harness.call('/idempotent/a', {body: 'small'});
	assert.equal(full.worker.requests.length, 1);
});

// Guards against a host whose memory the answers of other hosts fill.
test('a large answer of a peer is given up without memory for it', async () => {
	const answers = new ByteBudget(limitBytes);
	const peer = await startPeer({}, 'x'.repeat(largeBytes));
	const first = await start({answers});
	first.reachability.setCutOff(true);
	first.knownPeers = [await peer.harness.listenForPeers()];
	const {status} = await first.call('/once/a');
	assert.equal(status, 502);
	assert.equal(peer.worker.requests.length, 1);
	await waitUntil('nothing is held', () => answers.heldBytes === 0);
});

// Guards against answers that count as held after another host has taken them.
test('the answers of a peer are held until the other host has taken them', async () => {
	const answers = new ByteBudget(2 * largeBytes);
	const peer = await startPeer({answers}, 'x'.repeat(largeBytes));
	const first = await start({});
	first.reachability.setCutOff(true);
	first.knownPeers = [await peer.harness.listenForPeers()];
	for (let call = 0; call < 5; call++) {
		const {status, body} = await first.call('/idempotent/a');
		assert.equal(status, 200);
		assert.equal(body.length, largeBytes);
	}

	await waitUntil('nothing is held', () => answers.heldBytes === 0);
});
