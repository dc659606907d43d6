import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {StandInWorker} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

const worker = new StandInWorker('i-1');
let harness: ForwardingHarness;

beforeEach(async () => {
	harness = new ForwardingHarness();
	await harness.start(forwardingDocument);
	worker.behaviour = () => undefined;
	harness.list(worker.id, await worker.start());
});

afterEach(async () => {
	await harness.stop();
	worker.stop();
});

// Guards against memory that grows with each caller that leaves: Node.js closes only the response that has the connection, not those that wait behind it.
test('a caller that leaves with several requests on its connection leaves no open response behind', async () => {
	const socket = connect(harness.callerPort, '127.0.0.1');
	for (const id of ['p1', 'p2', 'p3']) {
		socket.write(
			`GET /idempotent/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000\r\n\r\n`,
		);
	}

	await waitUntil('all arrive', () => worker.requests.length === 3);
	assert.equal(harness.service.openCallerResponses, 3);
	socket.destroy();
	await waitUntil(
		'the requests are done',
		() => harness.service.openRequests === 0,
	);
	assert.equal(harness.service.openCallerResponses, 0);
});
