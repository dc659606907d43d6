import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {request as httpRequest} from 'node:http';
import {type Socket} from 'node:net';
import {
	formatEvent,
	responseHead,
	StandInWorker,
	streamEvents,
	type WorkerBehaviour,
} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

const megabyte = 1_048_576;
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

function framed(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function startStream(headers: ReadonlyMap<string, string>, socket: Socket) {
	socket.write(
		responseHead('200 OK', {
			'Request-Id': headers.get('request-id') ?? '',
			'Response-Sig': 'signed',
			'Content-Type': 'text/event-stream',
			'Transfer-Encoding': 'chunked',
		}),
	);
}

/** Writes the same text until the other side closes the connection. Returns the number of bytes that it has accepted. */
function writeEndlessly(socket: Socket, text: string): {bytes: number} {
	const written = {bytes: 0};
	const write = () => {
		while (!socket.destroyed && socket.write(text)) {
			written.bytes += text.length;
		}

		written.bytes += text.length;
	};

	socket.on('drain', write);
	write();
	return written;
}

/** Continues a stream with the events up to 5. */
const finishStream: WorkerBehaviour = ({headers, ...rest}) => {
	const last = Number(headers.get('last-event-id') ?? 0);
	streamEvents(last + 1, 5, 'whole')({headers, ...rest});
};

const allEvents = [1, 2, 3, 4, 5].map((id) => formatEvent(id)).join('');

// Guards against a host whose memory is filled by a target in trouble, which sends bytes that never complete an event.
test('a stream that becomes endless bytes is continued elsewhere', async () => {
	let written = {bytes: 0};
	const first = await listWorker(0, ({headers, socket}) => {
		startStream(headers, socket);
		socket.write(framed(formatEvent(1)));
		written = writeEndlessly(socket, framed('x'.repeat(16_384)));
	});
	const second = await listWorker(1, finishStream);
	let wasContinued = false;
	// A young host has saved up one repetition, so a second stream that needs one may be broken off.
	for (let call = 0; call < 20 && !wasContinued; call++) {
		const result = await harness.call('/stream/x', {body: 'b'});
		assert.equal(result.body, allEvents);
		assert.equal(result.isComplete, true);
		wasContinued = second.requests.some(({headers}) =>
			headers.has('last-event-id'),
		);
	}

	assert.ok(wasContinued);
	assert.ok(written.bytes < 16 * megabyte, `${written.bytes} bytes`);
	await waitUntil(
		'the connection is closed',
		() => first.closedSocketCount > 0,
	);
});

// Guards against the same in the head of a response, before anything tells what it is.
test('a head without end does not reach the caller and ends the attempt', async () => {
	let written = {bytes: 0};
	const worker = await listWorker(0, ({socket}) => {
		socket.write('HTTP/1.1 200 OK\r\nX-Padding: ');
		written = writeEndlessly(socket, 'a'.repeat(16_384));
	});
	const result = await harness.call('/once/x', {body: 'b'});
	assert.equal(result.status, 502);
	assert.ok(written.bytes < 16 * megabyte, `${written.bytes} bytes`);
	await waitUntil(
		'the connection is closed',
		() => worker.closedSocketCount > 0,
	);
});

// Guards against a body without end where a short response is due.
test('a body without end does not reach the caller and ends the attempt', async () => {
	let written = {bytes: 0};
	const worker = await listWorker(0, ({headers, socket}) => {
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Transfer-Encoding': 'chunked',
			}),
		);
		written = writeEndlessly(socket, framed('x'.repeat(16_384)));
	});
	const result = await harness.call('/once/x', {body: 'b'});
	assert.equal(result.status, 502);
	assert.ok(written.bytes < 32 * megabyte, `${written.bytes} bytes`);
	await waitUntil(
		'the connection is closed',
		() => worker.closedSocketCount > 0,
	);
});

// Guards against stalled streams that never end, because a byte, a comment or an empty event comes now and then.
test('a stream that trickles without progress is continued elsewhere', async () => {
	const trickles = [': still here\n\n', '\n\n', 'd'];
	const first = await listWorker(0, ({headers, socket}) => {
		startStream(headers, socket);
		socket.write(framed(formatEvent(1)));
		let count = 0;
		const timer = setInterval(() => {
			count++;
			socket.write(framed(trickles[count % 2]!));
		}, 200);
		socket.on('close', () => {
			clearInterval(timer);
		});
	});
	await listWorker(1, finishStream);
	while (first.requests.length === 0) {
		const result = await harness.call('/stream/x', {body: 'b'});
		assert.equal(result.isComplete, true);
		assert.ok(result.body.endsWith(formatEvent(5)));
	}
});

// Guards against slow but sound streams that are cut: each event comes after most of the time without progress.
test('a slow stream with events in time is not cut', async () => {
	const worker = await listWorker(0, ({headers, socket}) => {
		startStream(headers, socket);
		let id = 0;
		const timer = setInterval(() => {
			id++;
			socket.write(framed(formatEvent(id)));
			if (id === 2) {
				clearInterval(timer);
				socket.write('0\r\n\r\n');
			}
		}, 1100);
	});
	const result = await harness.call('/stream/x', {body: 'b'});
	assert.equal(result.isComplete, true);
	assert.equal(worker.requests.length, 1);
});

// Guards against a host that keeps in memory what a slow caller does not read.
test('a caller that reads slowly slows its target', async () => {
	let written = {bytes: 0};
	await listWorker(0, ({headers, socket}) => {
		startStream(headers, socket);
		written = writeEndlessly(socket, framed(`data: ${'x'.repeat(16_384)}\n\n`));
	});
	await new Promise<void>((resolve, reject) => {
		const request = httpRequest({
			port: harness.callerPort,
			host: '127.0.0.1',
			path: '/fixed/x',
			method: 'POST',
			headers: {
				Host: 'a.example',
				'Request-Id': 'slow',
				'Deadline-Ms': '2500',
			},
		});
		request.on('error', reject);
		request.on('response', (response) => {
			response.on('error', () => undefined);
			response.pause();
			setTimeout(() => {
				request.destroy();
				resolve();
			}, 1000);
		});
		request.end('b');
	});
	// The buffers of the sockets hold a few megabytes at most.
	assert.ok(written.bytes < 32 * megabyte, `${written.bytes} bytes`);
});
