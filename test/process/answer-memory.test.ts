import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {after, test} from 'node:test';
import {request} from 'undici';
import {OddInputDeployment, usual} from './odd-input.js';
import {peakMegabytes, waitUntil} from './processes.js';

const deployment = new OddInputDeployment();
const sockets: Socket[] = [];

after(() => {
	deployment.stop();
	for (const socket of sockets) {
		socket.destroy();
	}
});

/** Memory of the machine that the settings name. */
const memoryMegabytes = 350;
const answerCount = 60;
/** Slightly less than the limit of an answer. */
const answerBytes = 4_000_000;
/** Time for which the answers arrive. */
const arrivalMilliseconds = 4000;

async function largeAnswer(id: string): Promise<number> {
	const response = await request(
		`http://127.0.0.1:${deployment.host.ports.callers}/odd-once/a`,
		{headers: {host: 'a.example', 'request-id': id}},
	);
	const {byteLength} = await response.body.arrayBuffer();
	assert.equal(response.statusCode, 200);
	return byteLength;
}

// Guards against a process that the kernel ends, because many large answers wait for their ends or for their callers.
test('large answers that are held at once stay within the memory of the machine', async () => {
	await deployment.start({settings: {machine: {memoryMegabytes}}});
	await deployment.waitForConfiguration(
		deployment.putConfiguration({
			routes: usual.routes.map((route) => ({
				...route,
				timeout_ms: 10_000,
				goal_ms: 8000,
			})),
			services: [
				{name: 's', max_conns: 100},
				{name: 'odd', max_conns: 4000},
			],
		}),
	);
	const body = Buffer.alloc(answerBytes, 'x');
	deployment.oddWorker.behaviour = ({headers, socket}) => {
		socket.write(
			`HTTP/1.1 200 OK\r\nRequest-Id: ${headers.get('request-id')}\r\nResponse-Sig: signed\r\n\r\n`,
		);
		socket.end(body);
	};

	for (let index = 0; index < answerCount; index++) {
		const socket = connect(deployment.host.ports.callers!, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.pause();
		socket.write(
			`GET /odd-once/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: held-${index}\r\n\r\n`,
		);
		sockets.push(socket);
	}

	await new Promise((resolve) => {
		setTimeout(resolve, arrivalMilliseconds);
	});
	await deployment.assertSound();
	assert.ok(peakMegabytes(deployment.host.process) < memoryMegabytes);
	assert.ok(
		deployment.host.process.lines.some((line) =>
			line.includes('"answers-exceed-memory"'),
		),
	);
	for (const socket of sockets) {
		socket.destroy();
	}

	// Answers whose callers have left are held no more.
	let answered = 0;
	await waitUntil('large answers are whole again', async () => {
		answered++;
		return (await largeAnswer(`later-${answered}`)) === answerBytes;
	});
	assert.ok(peakMegabytes(deployment.host.process) < memoryMegabytes);
});
