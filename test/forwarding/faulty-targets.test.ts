import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {type Socket} from 'node:net';
import {type TargetId} from '../../src/contracts/ids.js';
import {
	completeResponse,
	formatEvent,
	responseHead,
	respondNotRun,
	StandInWorker,
	streamEvents,
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
): Promise<StandInWorker> {
	const worker = workers[index]!;
	worker.behaviour = behaviour;
	harness.list(worker.id, await worker.start());
	return worker;
}

function executionCount(): number {
	return workers.reduce((sum, {requests}) => sum + requests.length, 0);
}

function refusal(id: string | undefined): string {
	return responseHead('503 Service Unavailable', {
		...(id === undefined ? {} : {'Request-Id': id}),
		'Not-Run': '1',
		'Content-Length': '0',
	});
}

// Guards against a caller that is told to try again although its request runs: a faulty target writes the refusal of an
// earlier request once more on a kept connection.
test('the repeated refusal of another request does not count for the request that runs', async () => {
	let refused: string | undefined;
	await listWorker(0, ({headers, socket}) => {
		const id = headers.get('request-id')!;
		if (refused === undefined) {
			refused = id;
			socket.write(refusal(id));
			return;
		}

		socket.write(refusal(refused));
		setTimeout(() => {
			socket.write(completeResponse(id, 'done'));
		}, 50);
	});
	const first = await harness.call('/once/x', {body: 'b', id: 'first'});
	assert.ok([502, 503].includes(first.status));
	const sent = executionCount();
	const second = await harness.call('/once/x', {body: 'b', id: 'second'});
	assert.equal(second.status, 502);
	assert.equal(executionCount(), sent + 1);
});

// Guards against the same when the request itself was refused before and is sent to the same target again: the refusal
// names its id, so only another connection tells the two attempts apart.
test('the repeated refusal of an earlier attempt does not count for the attempt that runs', async () => {
	const refusals = new Map<Socket, string>();
	const worker = await listWorker(0, ({headers, socket}) => {
		const id = headers.get('request-id')!;
		if (refusals.size === 0) {
			refusals.set(socket, refusal(id));
			socket.write(refusal(id));
			// The request waits until the target gets work again, so that the connection of its first attempt is free.
			harness.registry.recordUnreachable('i-1' as TargetId, false);
			setTimeout(() => {
				harness.service.notifyCandidatesChanged();
			}, 350);
			return;
		}

		socket.write(refusals.get(socket) ?? '');
		setTimeout(() => {
			socket.write(completeResponse(id, 'done'));
		}, 50);
	});
	const result = await harness.call('/once/x', {body: 'b', id: 'once'});
	assert.equal(worker.requests.length, 2);
	assert.equal(result.status, 200);
	assert.equal(result.body, 'done');
});

// Guards against a refusal that names no request: on a kept connection it may be the late one of an earlier request.
test('a refusal without the id of the request does not prove that the request was not run', async () => {
	await listWorker(0, ({socket}) => {
		socket.write(refusal(undefined));
	});
	const result = await harness.call('/once/x', {body: 'b'});
	assert.equal(result.status, 502);
	assert.equal(executionCount(), 1);
});

const interrupted = streamEvents(1, 3, 'broken');
const firstEvents = [1, 2, 3].map((id) => formatEvent(id)).join('');

/** Answers the first request with a stream that breaks off, and the rest of it with the given response. */
function breakThenAnswer(
	answer: (id: string, socket: Socket) => void,
): WorkerBehaviour {
	return (received) => {
		const {headers, socket} = received;
		if (headers.get('last-event-id') === undefined) {
			interrupted(received);
			return;
		}

		answer(headers.get('request-id')!, socket);
	};
}

// Guards against the text or the head of an error in the middle of a stream, and against a stream that ends with an error
// as if it were complete.
test('an error instead of the rest of a stream is not part of the stream, and the stream does not look complete', async () => {
	const head = (status: string, id: string, length: number) =>
		responseHead(status, {
			'Request-Id': id,
			'Response-Sig': 'signed',
			'Content-Type': 'text/plain',
			'Content-Length': String(length),
		});
	const answers: ReadonlyArray<
		readonly [string, (id: string, socket: Socket) => void]
	> = [
		[
			'500 with a text',
			(id, socket) => {
				socket.write(head('500 Internal Server Error', id, 5) + 'error');
			},
		],
		[
			'500 with an event',
			(id, socket) => {
				const event = formatEvent(4);
				socket.write(
					head('500 Internal Server Error', id, event.length) + event,
				);
			},
		],
		[
			'404 without a body',
			(id, socket) => {
				socket.write(head('404 Not Found', id, 0));
			},
		],
		[
			'503 that may have run',
			(id, socket) => {
				socket.write(head('503 Service Unavailable', id, 5) + 'error');
			},
		],
		[
			'200 with a text',
			(id, socket) => {
				socket.write(head('200 OK', id, 5) + 'error');
			},
		],
		[
			'200 of another type with the form of an event',
			(id, socket) => {
				const event = formatEvent(4);
				socket.write(head('200 OK', id, event.length) + event);
			},
		],
		[
			'200 of another type without a body',
			(id, socket) => {
				socket.write(head('200 OK', id, 0));
			},
		],
		[
			'a second head within a chunk',
			(id, socket) => {
				const text = head('500 Internal Server Error', id, 5) + 'error';
				socket.write(
					responseHead('200 OK', {
						'Request-Id': id,
						'Response-Sig': 'signed',
						'Content-Type': 'text/event-stream',
						'Transfer-Encoding': 'chunked',
					}) + `${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`,
				);
			},
		],
	];
	for (const [name, answer] of answers) {
		await harness.stop();
		harness = new ForwardingHarness();
		await harness.start(forwardingDocument);
		for (const worker of workers) {
			worker.stop();
		}

		workers = [new StandInWorker('i-1'), new StandInWorker('i-2')];
		await listWorker(0, breakThenAnswer(answer));
		await listWorker(1, breakThenAnswer(answer));
		const result = await harness.call('/stream/x', {body: 'b'});
		assert.equal(result.body, firstEvents, name);
		assert.equal(result.isComplete, false, name);
	}
});

test('a refusal instead of the rest of a stream is not part of the stream', async () => {
	const refuse = respondNotRun();
	await listWorker(0, (received) => {
		(received.headers.has('last-event-id') ? refuse : interrupted)(received);
	});
	await listWorker(1, (received) => {
		(received.headers.has('last-event-id') ? refuse : interrupted)(received);
	});
	const result = await harness.call('/stream/x', {body: 'b'});
	assert.equal(result.body, firstEvents);
	assert.equal(result.isComplete, false);
});

// Guards against a success with an empty or short body that is framed as whole: the target closed the connection in the
// middle of the head.
test('a head that breaks off is not forwarded as a response', async () => {
	const lines = [
		'HTTP/1.1 200 OK',
		'Request-Id: ID',
		'Response-Sig: signed',
		'Content-Type: text/event-stream',
		'Content-Length: 5',
		'',
		'',
	];
	const whole = lines.join('\r\n');
	for (const path of ['/once/x', '/fixed/x']) {
		const worker = workers[0]!;
		harness.list(worker.id, await worker.start());
		for (let length = 0; length < whole.length; length += 7) {
			worker.behaviour = ({headers, socket}) => {
				const id = headers.get('request-id')!;
				socket.end(whole.slice(0, length).replace('ID', id));
			};

			const result = await harness.call(path, {body: 'b'});
			assert.equal(result.status, 502, `${path}, ${length} bytes`);
			assert.equal(result.headers['response-sig'], undefined);
		}

		worker.stop();
		workers[0] = new StandInWorker('i-1');
	}
});
