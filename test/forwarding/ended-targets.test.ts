import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {
	completeResponse,
	formatEvent,
	responseHead,
	StandInWorker,
	streamEvents,
	type WorkerBehaviour,
} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {ForwardingHarness, forwardingDocument} from './forwarding-harness.js';

/** The host and its targets, new for each test. */
const setup: {harness?: ForwardingHarness; workers: StandInWorker[]} = {
	workers: [],
};

beforeEach(async () => {
	setup.harness = new ForwardingHarness();
	setup.workers = [];
	await setup.harness.start(forwardingDocument);
});

afterEach(async () => {
	for (const worker of setup.workers) {
		worker.stop();
	}

	await setup.harness!.stop();
});

async function addWorker(
	id: string,
	behaviour: WorkerBehaviour,
): Promise<{worker: StandInWorker; address: string}> {
	const worker = new StandInWorker(id);
	worker.behaviour = behaviour;
	setup.workers.push(worker);
	const address = await worker.start();
	setup.harness!.list(id, address);
	return {worker, address};
}

/** Sends the start of an answer without a length and without chunks. Then the kernel closes the listener and the connection of the killed process, in this order and with an orderly end. */
function beginAndBeKilled(body: string): WorkerBehaviour {
	return ({headers, socket}) => {
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Content-Type': 'text/event-stream',
				Connection: 'close',
			}) + body,
		);
		setTimeout(() => {
			setup.workers[0]!.stopListening();
			socket.end();
		}, 50);
	};
}

// Guards against a cut answer that looks whole: a killed process ends its connections in order, between two events or in
// the middle of a body, which is how a whole answer without a length ends too.
test('an unframed stream does not look whole when the process of its target ends between two events', async () => {
	await addWorker('i-0', beginAndBeKilled(formatEvent(1)));
	const {status, body, isComplete} = await setup.harness!.call('/fixed/x');
	assert.deepEqual([status, body], [200, formatEvent(1)]);
	assert.equal(isComplete, false);
});

test('an unframed body that is not a stream is not passed on as a success when the process of its target ends', async () => {
	await addWorker('i-0', beginAndBeKilled('half of a'));
	const {status, body} = await setup.harness!.call('/once/x', {body: 'b'});
	assert.equal(status, 502, body);
	assert.equal(setup.workers[0]!.requests.length, 1);
});

test('an idempotent request is repeated when the process of its target ends with an unframed answer', async () => {
	await addWorker('i-0', beginAndBeKilled('half of a'));
	const answer = setup.harness!.call('/idempotent/x');
	await waitUntil(
		'the first execution',
		() => setup.workers[0]!.requests.length === 1,
	);
	await addWorker('i-1', ({headers, socket}) => {
		socket.write(completeResponse(headers.get('request-id') ?? '', 'whole'));
	});
	const {status, body} = await answer;
	assert.deepEqual([status, body], [200, 'whole']);
});

test('an unframed stream goes on at another target when the process of its target ends between two events', async () => {
	await addWorker('i-0', beginAndBeKilled(formatEvent(1)));
	const answer = setup.harness!.call('/stream/x');
	await waitUntil(
		'the first execution',
		() => setup.workers[0]!.requests.length === 1,
	);
	const {worker} = await addWorker('i-1', streamEvents(2, 3, 'whole'));
	const {body, isComplete} = await answer;
	assert.deepEqual(
		[body, isComplete],
		[formatEvent(1) + formatEvent(2) + formatEvent(3), true],
	);
	assert.equal(worker.requests[0]!.headers.get('last-event-id'), '1');
});

// Guards against the same when the target is back at its address before the host looks.
test('an unframed stream does not look whole when a later incarnation has taken the place of its target', async () => {
	const {address} = await addWorker('i-0', ({headers, socket}) => {
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Content-Type': 'text/event-stream',
				Connection: 'close',
			}) + formatEvent(1),
		);
		setTimeout(() => {
			setup.harness!.list('i-0', address, {
				residency: {
					incarnation: 'i-0@2' as TargetIncarnation,
					models: [],
				},
			});
			socket.end();
		}, 50);
	});
	const {body, isComplete} = await setup.harness!.call('/fixed/x');
	assert.equal(body, formatEvent(1));
	assert.equal(isComplete, false);
});

// Guards against whole answers that are taken for cut: a target at its limit of connections refuses further ones, and its process still runs.
test('an unframed answer is whole when its target refuses a further connection while others to it stay open', async () => {
	const {worker} = await addWorker('i-0', ({headers, path, socket}) => {
		const head = {
			'Request-Id': headers.get('request-id') ?? '',
			'Response-Sig': 'signed',
		};
		if (path === '/fixed/x') {
			socket.write(
				responseHead('200 OK', {
					...head,
					'Content-Type': 'text/event-stream',
					'Content-Length': String(2 * formatEvent(1).length),
				}) + formatEvent(1),
			);
			return;
		}

		worker.stopListening();
		socket.end(
			responseHead('200 OK', {...head, Connection: 'close'}) + 'whole',
		);
	});
	const stream = setup.harness!.stream('/fixed/x');
	await waitUntil('the first event', () => stream.received() !== '');
	const {status, body} = await setup.harness!.call('/once/x', {body: 'b'});
	assert.deepEqual([status, body], [200, 'whole']);
	worker.requests[0]!.socket.write(formatEvent(2));
	const {isComplete} = await stream.promise;
	assert.equal(isComplete, true);
});

// Guards against the last answer of each planned stop of a target, which ends its process at once after it.
for (const leave of ['says that it leaves', 'removes its entry'] as const) {
	test(`an unframed answer is whole when its target ${leave} and ends after it`, async () => {
		const {worker, address} = await addWorker('i-0', ({headers, socket}) => {
			setTimeout(() => {
				worker.stopListening();
				socket.end(
					responseHead('200 OK', {
						'Request-Id': headers.get('request-id') ?? '',
						'Response-Sig': 'signed',
						Connection: 'close',
					}) + 'whole',
				);
			}, 100);
		});
		const answer = setup.harness!.call('/once/x', {body: 'b'});
		await waitUntil('the execution', () => worker.requests.length === 1);
		if (leave === 'removes its entry') {
			setup.harness!.registry.applyChange({
				kind: 'unlisted',
				target: worker.id as TargetId,
			});
		} else {
			setup.harness!.list('i-0', address, {isLeaving: true});
		}

		const {status, body} = await answer;
		assert.deepEqual([status, body], [200, 'whole']);
	});
}

// Guards against the opposite: a killed process closes its listener first and its connections some milliseconds later.
test('an unframed stream does not look whole when the other connections of its target end shortly after', async () => {
	const {worker} = await addWorker('i-0', ({headers, path, socket}) => {
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Content-Type': 'text/event-stream',
				Connection: 'close',
			}) + formatEvent(1),
		);
		if (path === '/fixed/second') {
			worker.stopListening();
			socket.end();
			setTimeout(() => {
				worker.stop();
			}, 10);
		}
	});
	const first = setup.harness!.stream('/fixed/first');
	await waitUntil('the first event', () => first.received() !== '');
	const second = setup.harness!.stream('/fixed/second');
	const results = await Promise.all([first.promise, second.promise]);
	assert.deepEqual(
		results.map(({isComplete}) => isComplete),
		[false, false],
	);
});

// Guards against checks that use up the connections that a target accepts.
test('unframed answers that end together are checked over few connections', async () => {
	const count = 4;
	const {worker} = await addWorker('i-0', () => {
		if (worker.requests.length < count) {
			return;
		}

		for (const {headers, socket} of worker.requests) {
			socket.end(
				responseHead('200 OK', {
					'Request-Id': headers.get('request-id') ?? '',
					'Response-Sig': 'signed',
					Connection: 'close',
				}) + 'whole',
			);
		}
	});
	const answers = await Promise.all(
		Array.from({length: count}, async () =>
			setup.harness!.call('/once/x', {body: 'b'}),
		),
	);
	assert.ok(answers.every(({body}) => body === 'whole'));
	await waitUntil(
		'the connections end',
		() => worker.closedSocketCount > worker.requests.length,
	);
	// Each call that is not idempotent has a connection of its own.
	const checks = worker.closedSocketCount - worker.requests.length;
	assert.ok(checks <= count / 2, `${checks} checks`);
});
