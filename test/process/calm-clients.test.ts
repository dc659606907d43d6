import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {sendWhole} from './client-crowd.js';
import {OddInputDeployment, usual} from './odd-input.js';

const deployment = new OddInputDeployment();
const bodyBytes = 4_000_000;

before(async () => {
	await deployment.start({settings: {machine: {memoryMegabytes: 350}}});
	await deployment.waitForConfiguration(
		deployment.putConfiguration({
			limits: {...usual.limits, max_body_bytes: bodyBytes},
		}),
	);
});

after(() => {
	deployment.stop();
});

const head = (id: string) =>
	`POST /x/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const lastChunk = Buffer.from('0\r\n\r\n');

// Guards against a limit for crowds that refuses a single client within the limits of the document.
test('the largest body is served in one-byte chunks when no other client waits', async () => {
	const part = Buffer.from('1\r\nx\r\n'.repeat(40_000));
	const status = await sendWhole(deployment.host.ports.callers!, {
		head: head('small-chunks'),
		parts: [...Array.from({length: bodyBytes / 40_000}, () => part), lastChunk],
	});
	assert.equal(status, 200);
	assert.equal(await deployment.plainStatus(), 200);
	assert.equal(deployment.standardError, '');
});

// Guards against a limit on the time or the rate of a body, which the document does not name: its idle time is 15 s.
test('a body with long pauses is served when no other client waits', async () => {
	const status = await sendWhole(deployment.host.ports.callers!, {
		head: head('pauses'),
		parts: [
			...Array.from({length: 7}, () => Buffer.from('5\r\nxxxxx\r\n')),
			lastChunk,
		],
		pauseMilliseconds: 9000,
	});
	assert.equal(status, 200);
	assert.equal(await deployment.plainStatus(), 200);
	assert.equal(deployment.standardError, '');
});

// Guards against bodies that are held for ever, because nothing limits their time.
test('a body of which nothing arrives for the idle time is refused as not run', async () => {
	await deployment.waitForConfiguration(
		deployment.putConfiguration({
			limits: {...usual.limits, max_body_bytes: bodyBytes, idle_ms: 2000},
		}),
	);
	const status = await sendWhole(deployment.host.ports.callers!, {
		head: head('silent'),
		parts: [Buffer.from('5\r\nxxxxx\r\n')],
	});
	assert.equal(status, 408);
	assert.equal(
		deployment.soundWorker.requests.some(
			({headers}) => headers.get('request-id') === 'silent',
		),
		false,
	);
});
