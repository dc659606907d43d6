import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {after, test} from 'node:test';
import {TestFleet} from './processes.js';
import {hostSettings, startPlatform} from './test-deployment.js';

const fleet = new TestFleet();

after(async () => {
	await fleet.dispose();
});

// Guards against a setting without effect: a balancer that keeps connections for longer than the host then sends
// requests on connections that are being closed.
for (const {keepAliveMilliseconds, isOpenAfterDefault} of [
	{keepAliveMilliseconds: 300, isOpenAfterDefault: false},
	{keepAliveMilliseconds: 60_000, isOpenAfterDefault: true},
]) {
	test(`an idle connection of a caller is closed after the ${keepAliveMilliseconds} ms of the settings`, async () => {
		const platform = await startPlatform(fleet);
		const host = await fleet.host(`h${keepAliveMilliseconds}`, {
			...hostSettings(platform, `h${keepAliveMilliseconds}`, 'z'),
			timeouts: {keepAliveMilliseconds},
		});
		const socket = connect(Number(new URL(host.callers).port), '127.0.0.1');
		socket.write('GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n');
		await once(socket, 'data');
		const startedAt = performance.now();
		// Without the setting, Node.js closes an idle connection after five seconds.
		const closed = once(socket, 'end').then(() => true);
		const limit = new Promise<false>((resolve) => {
			setTimeout(resolve, isOpenAfterDefault ? 8000 : 30_000, false);
		});
		const isClosed = await Promise.race([closed, limit]);
		const elapsed = performance.now() - startedAt;
		socket.destroy();
		assert.equal(isClosed, !isOpenAfterDefault, `after ${elapsed} ms`);
		if (isClosed) {
			assert.ok(elapsed < 4500, `closed after ${elapsed} ms`);
		}
	});
}
