import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {OddInputDeployment, usual} from './odd-input.js';
import {peakMegabytes, waitUntil} from './processes.js';

const deployment = new OddInputDeployment();
const sockets: Socket[] = [];

/** Memory of the machine that the settings name. */
const memoryMegabytes = 350;
const requestCount = 200;
/** Less than the limit of the body of a request. */
const bodyBytes = 2_000_000;

before(async () => {
	await deployment.start({settings: {machine: {memoryMegabytes}}});
	await deployment.waitForConfiguration(
		deployment.putConfiguration({
			routes: usual.routes.map((route) => ({
				...route,
				timeout_ms: 10_000,
				goal_ms: 8000,
			})),
			limits: {...usual.limits, max_body_bytes: 4_000_000},
		}),
	);
});

after(() => {
	deployment.stop();
	for (const socket of sockets) {
		socket.destroy();
	}
});

function call(): {readonly socket: Socket; readonly received: () => string} {
	const socket = connect(deployment.host.ports.callers!, '127.0.0.1');
	let text = '';
	socket.setEncoding('utf8');
	socket.on('data', (data: string) => {
		text += data;
	});
	socket.on('error', () => undefined);
	sockets.push(socket);
	return {socket, received: () => text};
}

async function sendLargeBody(id: string): Promise<number> {
	const response = await request(
		`http://127.0.0.1:${deployment.host.ports.callers}/x/a`,
		{
			method: 'POST',
			headers: {host: 'a.example', 'request-id': id},
			body: Buffer.alloc(bodyBytes),
		},
	);
	await response.body.dump();
	return response.statusCode;
}

// Guards against a process that the kernel ends, because callers send many large bodies at once and do not complete them.
test('bodies of requests that arrive at once stay within the memory of the machine', async () => {
	const body = Buffer.alloc(bodyBytes, 'x');
	const calls = Array.from({length: requestCount}, (_, index) => {
		const {socket, received} = call();
		socket.write(
			`POST /x/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: large-${index}\r\nTransfer-Encoding: chunked\r\n\r\n${bodyBytes.toString(16)}\r\n`,
		);
		// The last chunk is missing.
		socket.write(body);
		return {socket, received};
	});
	await waitUntil('some requests are refused', () =>
		calls.some(({received}) => received().includes('\r\n\r\n')),
	);
	await new Promise((resolve) => {
		setTimeout(resolve, 3000);
	});
	await deployment.assertSound();
	assert.ok(peakMegabytes(deployment.host.process) < memoryMegabytes);
	const refusals = calls
		.map(({received}) => received())
		.filter((text) => text.length > 0);
	assert.ok(refusals.length < requestCount);
	for (const text of refusals) {
		assert.match(text, /^HTTP\/1\.1 503 /);
		assert.match(text, /\r\nRetry-After: \d+\.\d+\r\n/);
	}

	assert.ok(
		deployment.host.process.lines.some((line) =>
			line.includes('"requests-exceed-memory"'),
		),
	);
	for (const {socket} of calls) {
		socket.destroy();
	}

	// Bodies whose callers have left are held no more.
	let sent = 0;
	await waitUntil('a large body is taken again', async () => {
		sent++;
		return (await sendLargeBody(`later-${sent}`)) === 200;
	});
});
