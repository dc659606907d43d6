import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {OddInputDeployment, usual} from './odd-input.js';
import {waitUntil} from './processes.js';

const deployment = new OddInputDeployment();

/** Time after which a request whose caller has left has no work at its target. The time limit of its route is longer. */
const endMilliseconds = 2000;

before(async () => {
	await deployment.start();
	await deployment.waitForConfiguration(
		deployment.putConfiguration({
			routes: usual.routes.map((route) => ({
				...route,
				timeout_ms: 10_000,
				goal_ms: 8000,
			})),
		}),
	);
});

after(() => {
	deployment.stop();
});

// Guards against work that goes on at a target without a caller, because Node.js does not close a response that waits behind another one.
test('requests that wait behind another one on a connection end when their caller leaves', async () => {
	const {oddWorker, host} = deployment;
	oddWorker.behaviour = () => undefined;
	for (let round = 0; round < 5; round++) {
		const closedBefore = oddWorker.closedSocketCount;
		const socket = connect(host.ports.callers!, '127.0.0.1');
		for (const place of ['first', 'second', 'third']) {
			socket.write(
				`GET /odd-once/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${place}-${round}\r\n\r\n`,
			);
		}

		await waitUntil('the last request is sent', () =>
			oddWorker.requests.some(
				({headers}) => headers.get('request-id') === `third-${round}`,
			),
		);
		socket.destroy();
		const leftAt = performance.now();
		await waitUntil(
			'all requests end',
			() => oddWorker.closedSocketCount >= closedBefore + 3,
		);
		assert.ok(performance.now() - leftAt < endMilliseconds);
	}
});
