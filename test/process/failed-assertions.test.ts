import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {after, test} from 'node:test';
import bundledAssert from '../../src/base/node/bundled-assert.cjs';
import {OddInputDeployment, sendRaw} from './odd-input.js';

const directory = mkdtempSync(path.join(tmpdir(), 'daisylever-bundle-'));
const deployment = new OddInputDeployment();

after(() => {
	deployment.stop();
	rmSync(directory, {recursive: true});
});

// Guards against an assertion of the HTTP client that blocks the event loop of the bundled program for seconds, because
// Node.js reads and parses the minified source to describe it.
test('an answer with status 101 does not stop the bundled program', async () => {
	const bundle = path.join(directory, 'daisylever.cjs');
	execFileSync('bash', ['scripts/build-bundle.sh', bundle]);
	await deployment.start({programFile: bundle});
	deployment.oddWorker.behaviour = ({headers, socket}) => {
		socket.write(
			`HTTP/1.1 101 Switching Protocols\r\nRequest-Id: ${headers.get('request-id')}\r\nContent-Length: 5\r\n\r\nwhole`,
		);
	};

	await sendRaw(deployment.host.ports.callers!, {
		bytes:
			'GET /odd-once/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: odd\r\n\r\n',
		end: 'wait',
	});
	const startedAt = performance.now();
	await deployment.assertSound();
	assert.ok(performance.now() - startedAt < maximumMilliseconds);
	await new Promise((resolve) => {
		setTimeout(resolve, stallReportMilliseconds);
	});
	await deployment.assertSound();
});

/** Time to a plain answer. The stall takes more than four seconds, the answer some milliseconds. */
const maximumMilliseconds = 1000;
/** Time after which a stall has been reported. */
const stallReportMilliseconds = 1000;

// Guards against a stand-in that lets a failed assertion pass.
test('an assertion of the bundled program throws when it fails', () => {
	bundledAssert(true);
	bundledAssert(1, 'one');
	for (const value of [false, undefined, 0, '', null]) {
		assert.throws(
			() => {
				bundledAssert(value);
			},
			{code: 'ERR_ASSERTION'},
		);
	}

	assert.throws(() => {
		bundledAssert(false, 'reason');
	}, /reason/);
	assert.throws(() => {
		bundledAssert(false, new TypeError('own error'));
	}, TypeError);
});
