import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {
	formatEvent,
	responseHead,
	StandInWorker,
	type WorkerBehaviour,
	type WorkerRequest,
} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {ForwardingHarness, forwardingDocument} from './forwarding-harness.js';

/** The host and its only target, new for each test. */
const setup: {harness?: ForwardingHarness; worker?: StandInWorker} = {};

beforeEach(async () => {
	const harness = new ForwardingHarness();
	const worker = new StandInWorker('i-0');
	await harness.start(forwardingDocument);
	harness.list('i-0', await worker.start());
	Object.assign(setup, {harness, worker});
});

afterEach(async () => {
	setup.worker!.stop();
	await setup.harness!.stop();
});

/** Sends the head of a response without a length and without chunks, and the start of its body. */
function begin({headers, socket}: WorkerRequest, body: string): void {
	socket.write(
		responseHead('200 OK', {
			'Request-Id': headers.get('request-id') ?? '',
			'Response-Sig': 'signed',
			'Content-Type': 'text/event-stream',
			Connection: 'close',
		}) + body,
	);
}

/** Returns a behaviour that sends the start of an unframed response and ends it later. */
function beginThen(
	body: string,
	end: (request: WorkerRequest) => void,
): WorkerBehaviour {
	return (request) => {
		begin(request, body);
		setTimeout(() => {
			end(request);
		}, 50);
	};
}

const reset = ({socket}: WorkerRequest) => {
	socket.resetAndDestroy();
};

const close = ({socket}: WorkerRequest) => {
	socket.end();
};

// Guards against a broken answer whose end says that it is whole: the end of the connection marks the end of a body
// without a length and without chunks.
for (const [name, path, behaviour] of [
	['reset between two events', '/fixed/x', beginThen(formatEvent(1), reset)],
	[
		'reset within an event',
		'/fixed/x',
		beginThen(formatEvent(1) + 'id: 2', reset),
	],
	[
		'closed within an event',
		'/fixed/x',
		beginThen(formatEvent(1) + 'id: 2', close),
	],
	['only comments, then reset', '/fixed/x', beginThen(': wait\n\n', reset)],
	['an event without end', '/fixed/x', beginThen('id: 1', close)],
	[
		'past the time limit',
		'/fixed/x',
		beginThen(formatEvent(1), () => undefined),
	],
] satisfies Array<[string, string, WorkerBehaviour]>) {
	test(`an unframed stream does not look whole: ${name}`, async () => {
		setup.worker!.behaviour = behaviour;
		const {isComplete, status, body} = await setup.harness!.call(path, {
			headers: {'Deadline-Ms': '400'},
		});
		assert.equal(status, 200);
		assert.equal(isComplete, false, body);
	});
}

// Guards against a reset that looks like an end in order: libuv reports it so when it is received together with the last
// bytes.
for (const [name, path, body] of [
	['a body', '/once/x', 'part'],
	['a stream', '/fixed/x', formatEvent(1)],
] as const) {
	test(`${name} without framing is not passed on as whole when a reset arrives with its bytes`, async () => {
		setup.worker!.behaviour = (request) => {
			begin(request, body);
			reset(request);
		};

		for (let round = 0; round < 10; round++) {
			const {status, isComplete} = await setup.harness!.call(path, {body: 'b'});
			assert.ok(status === 502 || !isComplete, `status ${status}`);
		}
	});
}

test('an unframed answer that its target ends in order looks whole', async () => {
	setup.worker!.behaviour = beginThen('whole', close);
	const plain = await setup.harness!.call('/once/x', {body: 'b'});
	assert.deepEqual([plain.body, plain.isComplete], ['whole', true]);
	setup.worker!.behaviour = beginThen(formatEvent(1) + formatEvent(2), close);
	const stream = await setup.harness!.call('/fixed/x');
	assert.deepEqual(
		[stream.body, stream.isComplete],
		[formatEvent(1) + formatEvent(2), true],
	);
	for (const {headers} of [plain, stream]) {
		assert.equal(headers['content-length'], undefined);
		assert.equal(headers['transfer-encoding'], 'chunked');
	}
});

// Callers of HTTP/1.0 know no chunks, so only a reset tells them that a body is not whole.
for (const [name, end, ending] of [
	['reset by its target', reset, 'ECONNRESET'],
	['ended by its target', close, 'closed'],
] as const) {
	test(`a caller of HTTP/1.0 sees how an unframed stream ends: ${name}`, async () => {
		setup.worker!.behaviour = beginThen(formatEvent(1), end);
		const socket = connect(setup.harness!.callerPort, '127.0.0.1');
		let received = '';
		let seen: string | undefined;
		socket.on('data', (chunk) => {
			received += String(chunk);
		});
		socket.on('end', () => {
			seen ??= 'closed';
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			seen ??= error.code;
		});
		socket.write(
			'GET /fixed/x HTTP/1.0\r\nHost: a.example\r\nRequest-Id: old\r\n\r\n',
		);
		await waitUntil('the end of the connection', () => seen);
		assert.equal(seen, ending);
		assert.ok(received.includes(formatEvent(1)));
		assert.ok(!received.includes('chunked'));
	});
}
