import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {
	completeResponse,
	formatEvent,
	respondWith,
	responseHead,
	StandInWorker,
	type WorkerBehaviour,
} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {ForwardingHarness, forwardingDocument} from './forwarding-harness.js';

function create() {
	return {
		first: new ForwardingHarness(),
		second: new ForwardingHarness(),
		worker: new StandInWorker('i-1'),
	};
}

// The harnesses run timers, so those of a test are created before it.
const created: Array<ReturnType<typeof create>> = [];

beforeEach(async () => {
	const {first, second, worker} = create();
	created.push({first, second, worker});
	const address = await worker.start();
	for (const host of [first, second]) {
		await host.start(forwardingDocument);
		host.list(worker.id, address);
	}
});

afterEach(async () => {
	const {first, second, worker} = created.at(-1)!;
	await first.stop();
	await second.stop();
	worker.stop();
});

/** Responds with a status line and headers that make the response look as sound as possible, or like the statement that the request has not run. */
function respondOdd(
	status: string,
	body: string,
	{before = '', isNotRun = false} = {},
): WorkerBehaviour {
	return ({headers, socket}) => {
		const head = responseHead(status, {
			'Request-Id': headers.get('request-id') ?? '',
			'Response-Sig': 'signed',
			...(isNotRun ? {'Not-Run': '1'} : {}),
			'Content-Type': 'text/event-stream',
			'Content-Length': String(body.length),
		});
		socket.write(before + head + body);
	};
}

const kinds = [
	['with a body', formatEvent(1), false],
	['without a body', '', false],
	['that claims that the request has not run', '', true],
] as const;
const earlyHints = responseHead('103 Early Hints', {Link: '</a>'});

for (const status of ['600 Odd', '999 Odd', '1000 Odd', '099 Odd']) {
	for (const [kind, body, isNotRun] of kinds) {
		for (const path of ['/once/x', '/fixed/x']) {
			// Guards against a status that HTTP does not know which reaches the caller or counts as "not run".
			test(`a response with status ${status} ${kind} to ${path} is a lost attempt that is not repeated`, async () => {
				const {first, worker} = created.at(-1)!;
				worker.behaviour = respondOdd(status, body, {isNotRun});
				const {status: received} = await first.call(path);
				assert.equal(received, 502);
				assert.equal(worker.requests.length, 1);
				await waitUntil(
					'the connection is closed',
					() => worker.closedSocketCount > 0,
				);
			});
		}
	}
}

for (const [name, before] of [
	['at once', ''],
	['after 103', earlyHints],
] as const) {
	test(`a request that may run twice is sent again after status 999 ${name}`, async () => {
		const {first, worker} = created.at(-1)!;
		worker.behaviour = (request) => {
			const isFirst = worker.requests.length === 1;
			(isFirst ? respondOdd('999 Odd', 'x', {before}) : respondWith('sound'))(
				request,
			);
		};

		const result = await first.call('/idempotent/x');
		assert.equal(result.status, 200);
		assert.equal(result.body, 'sound');
		assert.equal(worker.requests.length, 2);
		assert.notEqual(worker.requests[0]!.socket, worker.requests[1]!.socket);
	});
}

for (const path of ['/once/x', '/fixed/x']) {
	test(`status 600 to ${path} through another host is a lost attempt that is not repeated`, async () => {
		const {first, second, worker} = created.at(-1)!;
		worker.behaviour = respondOdd('600 Odd', formatEvent(1));
		first.knownPeers = [await second.listenForPeers()];
		first.reachability.setCutOff(true);
		const result = await first.call(path);
		assert.equal(result.status, 502);
		assert.equal(worker.requests.length, 1);
	});
}

test('status 999 as the second response on a persistent connection is a lost attempt, and its connection is closed', async () => {
	const {first, worker} = created.at(-1)!;
	worker.behaviour = respondWith('sound');
	assert.equal((await first.call('/once/x')).status, 200);
	worker.behaviour = respondOdd('999 Odd', 'x');
	assert.equal((await first.call('/once/x')).status, 502);
	assert.equal(worker.requests.length, 2);
	assert.equal(worker.requests[0]!.socket, worker.requests[1]!.socket);
	await waitUntil('the connection is closed', () =>
		Boolean(worker.requests[1]!.socket.destroyed),
	);
	worker.behaviour = respondWith('sound again');
	assert.equal((await first.call('/once/x')).body, 'sound again');
});

// Guards against a 101 that is taken for the response to the request, or for the start of one.
const upgrades: ReadonlyArray<Readonly<Record<string, string>>> = [
	{},
	{Connection: 'upgrade', Upgrade: 'other'},
];
for (const upgrade of upgrades) {
	test(`a 101 that was not asked for is a lost attempt: ${JSON.stringify(upgrade)}`, async () => {
		const {first, worker} = created.at(-1)!;
		worker.behaviour = ({headers, socket}) => {
			const id = headers.get('request-id') ?? '';
			socket.write(
				responseHead('101 Switching Protocols', {
					'Request-Id': id,
					...upgrade,
				}) + completeResponse(id, 'final'),
			);
		};

		assert.equal((await first.call('/once/x')).status, 502);
		assert.equal(worker.requests.length, 1);
	});
}
