import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';

const main = fileURLToPath(
	new URL('../../src/program/main.js', import.meta.url),
);

// `npm start` runs this command, so a failure would be the first thing that a new user sees.
test('the demonstration serves a caller and exits with code 0 on SIGTERM', async () => {
	const child = spawn(process.execPath, [main, 'demo', '--port', '0'], {
		stdio: ['ignore', 'ignore', 'pipe'],
	});
	const exited = new Promise<number | null>((resolve) => {
		child.once('exit', resolve);
	});
	try {
		let log = '';
		// The two events are logged in either order.
		await new Promise<void>((resolve, reject) => {
			child.stderr.on('data', (data) => {
				log += String(data);
				if (log.includes('host-started') && log.includes('document-accepted')) {
					resolve();
				}
			});
			child.once('exit', () => {
				reject(
					new Error(`the demonstration exited before it was ready: ${log}`),
				);
			});
		});
		const port = /host-started .*callers=(\d+)/.exec(log)?.[1];
		const response = await request(`http://127.0.0.1:${port}/v1/models`, {
			headers: {authorization: 'Bearer demo-caller-key'},
		});
		assert.equal(response.statusCode, 200);
		assert.match(await response.body.text(), /"id":"drafts"/);
		child.kill('SIGTERM');
		assert.equal(await exited, 0, log);
	} finally {
		child.kill('SIGKILL');
	}
});
