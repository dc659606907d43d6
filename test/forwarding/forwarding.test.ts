import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {type ListedTarget} from '../../src/contracts/listed-target.js';
import {
	responseHead,
	respondWith,
	formatEvent,
	respondNotRun,
	StandInWorker,
	streamEvents,
	completeResponse,
	type WorkerBehaviour,
} from '../platform/stand-in-worker.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

let harness: ForwardingHarness;
let workers: StandInWorker[];

beforeEach(async () => {
	harness = new ForwardingHarness();
	workers = [new StandInWorker('i-1'), new StandInWorker('i-2')];
	await harness.start(forwardingDocument);
});

afterEach(async () => {
	await harness.stop();
	for (const worker of workers) {
		worker.stop();
	}
});

async function listWorker(
	index: number,
	behaviour: WorkerBehaviour,
	change: Partial<ListedTarget> = {},
): Promise<StandInWorker> {
	const worker = workers[index]!;
	worker.behaviour = behaviour;
	harness.list(worker.id, await worker.start(), change);
	return worker;
}

function executionCount(): number {
	return workers.reduce((sum, {requests}) => sum + requests.length, 0);
}

/** Closes the connection without a response. */
const crash: WorkerBehaviour = ({socket}) => {
	socket.destroy();
};

const allEvents = [1, 2, 3, 4, 5].map((id) => formatEvent(id)).join('');

// Guards against a request or response that is altered while it is forwarded.
test('method, path, query, body and response are forwarded unchanged', async () => {
	const worker = await listWorker(0, respondWith('done'));
	const result = await harness.call('/once/a%20b?q=1&q=2', {
		id: 'r-7',
		body: 'body of the request',
		headers: {'X-Other': 'kept', 'Pin-Ms': '4000'},
	});
	assert.equal(result.status, 200);
	assert.equal(result.body, 'done');
	assert.equal(result.headers['response-sig'], 'signed');
	assert.equal(result.headers['request-id'], 'r-7');
	const [received] = worker.requests;
	assert.equal(received!.method, 'POST');
	assert.equal(received!.path, '/once/a%20b?q=1&q=2');
	assert.equal(received!.body, 'body of the request');
	assert.equal(received!.headers.get('x-other'), 'kept');
	assert.equal(received!.headers.get('expect-instance'), 'i-1');
	assert.equal(received!.headers.get('pin-ms'), undefined);
	const remaining = Number(received!.headers.get('deadline-ms'));
	assert.ok(remaining > 1500 && remaining <= 2500, String(remaining));
});

// Guards against a second execution, and against a response that claims that a request was not executed when it was.
test('a lost non-idempotent request is executed once and fails with 502', async () => {
	await listWorker(0, crash);
	await listWorker(1, crash);
	const result = await harness.call('/once/x', {body: 'b'});
	assert.equal(result.status, 502);
	assert.equal(executionCount(), 1);
});

test('a request that a target refuses is sent to another target', async () => {
	await listWorker(0, respondNotRun());
	await listWorker(1, respondWith('ok'));
	for (let call = 0; call < 3; call++) {
		const result = await harness.call('/once/x', {body: 'b'});
		assert.equal(result.status, 200);
	}
});

// Guards against forwarding a 503 of a target that does not state that it did not execute the request: the caller would
// take it as such a statement.
test('a 503 without the statement that the request was not executed is not forwarded', async () => {
	await listWorker(0, ({headers, socket}) => {
		socket.write(
			completeResponse(
				headers.get('request-id')!,
				'',
				'503 Service Unavailable',
			),
		);
	});
	const result = await harness.call('/once/x', {body: 'b'});
	assert.equal(result.status, 502);
	assert.equal(result.headers['response-sig'], undefined);
});

// Guards against an idempotent request that fails although another target works, and against unlimited retries.
test('a lost idempotent request is retried up to its maximum executions', async () => {
	await listWorker(0, crash);
	await listWorker(1, crash);
	const failed = await harness.call('/idempotent/x');
	assert.equal(failed.status, 502);
	assert.equal(executionCount(), 2);
	workers[0]!.behaviour = respondWith('ok');
	workers[1]!.behaviour = respondWith('ok');
	assert.equal((await harness.call('/idempotent/x')).status, 200);
});

// Guards against replacing the failure response of a target by one of this host.
test('the failure response of a target is forwarded unchanged', async () => {
	await listWorker(0, ({headers, socket}) => {
		socket.write(
			completeResponse(
				headers.get('request-id')!,
				'why',
				'500 Internal Server Error',
			),
		);
	});
	const result = await harness.call('/once/x', {body: 'b'});
	assert.equal(result.status, 500);
	assert.equal(result.body, 'why');
	assert.equal(result.headers['response-sig'], 'signed');
});

// Guards against wrong bytes that reach a caller as its response.
test('foreign, unsigned, truncated and malformed responses are never forwarded', async () => {
	const faults: ReadonlyArray<readonly [string, WorkerBehaviour]> = [
		[
			'foreign',
			({socket}) => {
				socket.write(completeResponse('another', 'wrong'));
			},
		],
		[
			'unsigned',
			({headers, socket}) => {
				socket.write(
					responseHead('200 OK', {
						'Request-Id': headers.get('request-id')!,
						'Content-Length': '5',
					}) + 'wrong',
				);
			},
		],
		[
			'truncated',
			({headers, socket}) => {
				socket.end(
					responseHead('200 OK', {
						'Request-Id': headers.get('request-id')!,
						'Response-Sig': 'signed',
						'Content-Length': '50',
					}) + 'wrong',
				);
			},
		],
		[
			'reset without a length',
			({headers, socket}) => {
				socket.write(
					responseHead('200 OK', {
						'Request-Id': headers.get('request-id')!,
						'Response-Sig': 'signed',
						Connection: 'close',
					}) + 'wrong',
				);
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 30);
			},
		],
		[
			'reset within chunks',
			({headers, socket}) => {
				socket.write(
					responseHead('200 OK', {
						'Request-Id': headers.get('request-id')!,
						'Response-Sig': 'signed',
						'Transfer-Encoding': 'chunked',
						Connection: 'close',
					}) + '5\r\nwrong\r\n',
				);
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 30);
			},
		],
		[
			'malformed',
			({socket}) => {
				socket.write('wrong bytes\r\n\r\n');
			},
		],
	];
	const worker = await listWorker(0, crash);
	for (const [name, behaviour] of faults) {
		worker.behaviour = behaviour;
		const result = await harness.call('/once/x', {body: 'b'});
		assert.equal(result.status, 502, name);
		assert.ok(!result.body.includes('wrong'), name);
	}
});

// Guards against a possibly truncated response that gets a content length. Chunks say no more than the end of its
// connection at the target, and no less when the response breaks off (early-ends.test.ts).
test('a response without framing is forwarded in chunks', async () => {
	const worker = await listWorker(0, ({headers, socket}) => {
		socket.end(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id')!,
				'Response-Sig': 'signed',
				Connection: 'close',
			}) + 'may be short',
		);
	});
	const result = await harness.call('/once/x', {body: 'b'});
	assert.equal(result.body, 'may be short');
	assert.ok(result.isComplete);
	worker.behaviour = ({headers, socket}) => {
		socket.end(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id')!,
				'Response-Sig': 'signed',
				'Content-Type': 'text/event-stream',
				Connection: 'close',
			}) + formatEvent(1),
		);
	};

	const stream = await harness.call('/fixed/x', {body: 'b'});
	assert.equal(stream.body, formatEvent(1));
	assert.ok(stream.isComplete);
	for (const {headers} of [result, stream]) {
		assert.equal(headers['content-length'], undefined);
		assert.equal(headers['transfer-encoding'], 'chunked');
	}
});

// Guards against a late duplicate response on a kept-alive connection that is delivered to the next request.
test('a duplicate response is not delivered to a later request', async () => {
	await listWorker(0, ({headers, socket}) => {
		const id = headers.get('request-id')!;
		socket.write(completeResponse(id, `first of ${id}`));
		setTimeout(() => {
			socket.write(completeResponse(id, `second of ${id}`));
		}, 10);
	});
	for (let call = 0; call < 10; call++) {
		const result = await harness.call('/idempotent/x', {id: `d${call}`});
		if (result.status === 200) {
			assert.equal(result.body, `first of d${call}`);
		}

		await delay(call * 2);
	}
});

// Guards against streams that lose, repeat or truncate events when they continue at another target.
test('an interrupted stream continues after its last complete event', async () => {
	await listWorker(0, streamEvents(1, 3, 'torn'));
	const second = await listWorker(1, ({headers, ...rest}) => {
		const last = Number(headers.get('last-event-id') ?? 0);
		streamEvents(last + 1, 5, 'whole')({headers, ...rest});
	});
	for (let call = 0; call < 4; call++) {
		const result = await harness.call('/stream/x', {body: 'b'});
		assert.equal(result.status, 200);
		assert.equal(result.body, allEvents);
		assert.equal(result.isComplete, true);
	}

	assert.ok(
		second.requests.some(({headers}) => headers.get('last-event-id') === '3'),
	);
});

test('an interrupted stream that is not resumable does not look complete', async () => {
	await listWorker(0, streamEvents(1, 3, 'broken'));
	await listWorker(1, streamEvents(1, 3, 'broken'));
	const result = await harness.call('/fixed/x', {body: 'b'});
	assert.equal(result.isComplete, false);
	assert.equal(executionCount(), 1);
});

// Guards against duplicate events when the second target starts the stream from the beginning.
test('a continuation that repeats events is not forwarded', async () => {
	await listWorker(0, streamEvents(1, 3, 'broken'));
	await listWorker(1, streamEvents(1, 3, 'broken'));
	const result = await harness.call('/stream/x', {body: 'b'});
	assert.equal(result.isComplete, false);
	assert.equal(result.body, [1, 2, 3].map((id) => formatEvent(id)).join(''));
});

// Guards against callers that wait beyond the timeout of their route.
test('the response is sent at the deadline when the target does not respond', async () => {
	await listWorker(0, () => undefined);
	const startedAt = harness.clock.monotonic();
	const result = await harness.call('/short/x');
	const elapsed = harness.clock.monotonic() - startedAt;
	assert.equal(result.status, 504);
	assert.ok(elapsed >= 290 && elapsed < 800, String(elapsed));
});

// Guards against a wait that cannot succeed, and against a refusal that does not allow a retry.
test('a request without a target is refused as not executed', async () => {
	const result = await harness.call('/short/x');
	assert.equal(result.status, 503);
	assert.notEqual(result.headers['retry-after'], undefined);
});

// Guards against targets that work for callers that have disconnected.
test('the attempt is cancelled when its caller disconnects', async () => {
	const worker = await listWorker(0, () => undefined);
	await assert.rejects(
		harness.call('/stream/x', {body: 'b', disconnectMilliseconds: 100}),
	);
	const deadline = harness.clock.monotonic() + 2000;
	while (
		worker.closedSocketCount === 0 &&
		harness.clock.monotonic() < deadline
	) {
		await delay(10);
	}

	assert.equal(worker.closedSocketCount, 1);
	assert.equal(harness.service.openRequests, 0);
});

test('a leaving target gets no new work', async () => {
	const worker = await listWorker(0, respondWith('first'));
	await listWorker(1, respondWith('second'));
	harness.list('i-1', '127.0.0.1:1', {isLeaving: true});
	for (let call = 0; call < 5; call++) {
		assert.equal((await harness.call('/idempotent/x')).body, 'second');
	}

	assert.equal(worker.requests.length, 0);
});

// Guards against other responses, such as 404, from a host that has no routes yet.
test('without a document every request is refused as not executed', async () => {
	const empty = new ForwardingHarness();
	await empty.start(undefined);
	const result = await empty.call('/idempotent/x');
	assert.equal(result.status, 503);
	await empty.stop();
});

// Guards against executions that begin shortly before a stopping host exits and are interrupted by it.
test('a stopping host refuses new requests as not executed', async () => {
	const worker = await listWorker(0, respondWith('ok'));
	harness.service.beginStop(harness.clock.monotonic() + 7750);
	const taken = await harness.call('/idempotent/x');
	assert.equal(taken.status, 200);
	harness.service.refuseUnsentRequests();
	const refused = await harness.call('/idempotent/x');
	assert.equal(refused.status, 503);
	assert.equal(refused.headers.connection, 'close');
	assert.equal(worker.requests.length, 1);
});

// Guards against queued requests that are sent just before a stopping host exits and are interrupted by it.
test('a stopping host refuses queued requests', async () => {
	const waiting = harness.call('/stream/x');
	await delay(50);
	harness.service.beginStop(harness.clock.monotonic() + 7750);
	harness.service.refuseUnsentRequests();
	assert.equal((await waiting).status, 503);
	const worker = await listWorker(0, respondWith('ok'));
	await delay(50);
	assert.equal(worker.requests.length, 0);
});

test('an older document is not applied after a newer one', () => {
	assert.equal(
		harness.service.applyDocument({...forwardingDocument, version: 3}),
		true,
	);
	assert.equal(
		harness.service.applyDocument({...forwardingDocument, version: 2}),
		false,
	);
	assert.equal(harness.service.documentVersion, 3);
});

// Guards against accepted requests beyond the limits, and against refused requests within them.
test('the limits of the document on headers and bodies are enforced', async () => {
	await listWorker(0, respondWith('ok'));
	const large = await harness.call('/once/x', {body: 'x'.repeat(1001)});
	assert.equal(large.status, 413);
	const fitting = await harness.call('/once/x', {body: 'x'.repeat(1000)});
	assert.equal(fitting.status, 200);
	const headers = await harness.call('/once/x', {
		body: 'b',
		headers: {'X-Long': 'x'.repeat(5000)},
	});
	assert.equal(headers.status, 431);
	const noRoute = await harness.call('/none/x');
	assert.equal(noRoute.status, 404);
});

// Guards against retries that amplify an overload.
test('retries stay within the retry budget', async () => {
	await listWorker(0, crash);
	await listWorker(1, crash);
	await Promise.all(
		Array.from({length: 60}, async () => harness.call('/idempotent/x')),
	);
	// 60 first attempts, 7 retries from this host's share of the slack, and 0.14 retries per request.
	assert.ok(executionCount() <= 60 + 7 + 9, String(executionCount()));
});
