import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	completeResponse,
	respondWith,
	StandInWorker,
	type WorkerBehaviour,
} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

const harness = new ForwardingHarness();
const worker = new StandInWorker('i-1');

before(async () => {
	await harness.start(forwardingDocument);
	worker.behaviour = respondWith('served');
	harness.list(worker.id, await worker.start());
});

after(async () => {
	await harness.stop();
	worker.stop();
});

async function sendAndLeave(id: string): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		const socket = connect(harness.callerPort, '127.0.0.1', () => {
			socket.write(
				`GET /idempotent/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000\r\n\r\n`,
			);
			// Unlike `end`, this sends the end of the connection before the event loop turns.
			socket.destroy();
			// The server runs in this process, so it reads neither the request nor its end before this has ended.
			const until = performance.now() + 100;
			while (performance.now() < until) {
				// The event loop is blocked.
			}

			resolve();
		});
		socket.on('error', reject);
	});
}

// Guards against work for callers that left while their requests waited in the socket of a host that stood still.
test('a host that stood still does not send on the requests of callers that have left', async () => {
	for (let call = 0; call < 5; call++) {
		await delay(50);
		harness.service.eventLoopDelay.record(0);
		await sendAndLeave(`left-${call}`);
	}

	await waitUntil(
		'the requests are done',
		() => harness.service.openRequests === 0,
	);
	await delay(50);
	assert.equal(worker.requests.length, 0);
	harness.service.eventLoopDelay.record(0);
	const result = await harness.call('/idempotent/x');
	assert.equal(result.body, 'served');
});

// Guards against a stall that is detected only after the requests that waited during it were read.
test('a host whose timer is overdue counts as having stood still', async () => {
	const before = worker.requests.length;
	harness.service.eventLoopDelay.record(-1000);
	// Longer than the memory of the last stall.
	await delay(700);
	harness.service.eventLoopDelay.record(1000);
	await delay(1100);
	for (let call = 0; call < 3; call++) {
		await sendAndLeave(`overdue-${call}`);
	}

	await waitUntil(
		'the requests are done',
		() => harness.service.openRequests === 0,
	);
	await delay(50);
	assert.equal(worker.requests.length, before);
});

// Guards against work that goes on for a caller that sent several requests without waiting for the answers and left:
// Node.js closes only the first of their responses.
test('all requests of a connection end when their caller leaves', async () => {
	const {behaviour} = worker;
	const before = worker.requests.length;
	const keepOpen: WorkerBehaviour = ({headers, socket}) => {
		if (headers.get('request-id') === 'first') {
			socket.write(completeResponse('first', 'served'));
		}
	};

	worker.behaviour = keepOpen;
	const socket = connect(harness.callerPort, '127.0.0.1');
	for (const id of ['first', 'second', 'third', 'fourth']) {
		socket.write(
			`GET /idempotent/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 30000\r\n\r\n`,
		);
	}

	await waitUntil(
		'three requests are at work',
		() =>
			worker.requests.length - before === 4 &&
			harness.service.openRequests === 3,
	);
	socket.destroy();
	await waitUntil(
		'the requests end',
		() => harness.service.openRequests === 0,
		1000,
	);
	worker.behaviour = behaviour;
});
