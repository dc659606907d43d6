import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
	ForwardingHarness,
	forwardingDocument,
} from '../forwarding/forwarding-harness.js';
import {StandInStore} from '../platform/stand-in-store.js';
import {
	formatEvent,
	responseHead,
	respondWith,
	StandInWorker,
	streamEvents,
	type WorkerBehaviour,
} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

const store = new StandInStore();
const worker = new StandInWorker('i-1');
/** A host in this process, which lists no target and is cut off. The hosts to which it forwards are processes. */
const first = new ForwardingHarness();
const hosts: ForwardingTestHost[] = [];

const firstEvents: WorkerBehaviour = ({headers, socket}) => {
	socket.write(
		responseHead('200 OK', {
			'Request-Id': headers.get('request-id') ?? '',
			'Response-Sig': 'signed',
			'Content-Type': 'text/event-stream',
			'Transfer-Encoding': 'chunked',
		}),
	);
	for (const id of [1, 2]) {
		const event = formatEvent(id);
		socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
	}
};

/** Returns the host whose log names a request that it has taken from another host. */
async function servingHost(id: string): Promise<ForwardingTestHost> {
	return waitUntil('a host takes the request', () =>
		hosts.find(({process}) =>
			process.lines.some(
				(line) =>
					line.includes('"request-taken-from-peer"') &&
					line.includes(`"${id}"`),
			),
		),
	);
}

before(async () => {
	const storeAddress = await store.start();
	const route = (name: string, kind: string) => ({
		name,
		host: 'a.example',
		prefix: `/${name}/`,
		kind,
		timeout_ms: 20_000,
		goal_ms: 300,
		service: 's',
		attempts: kind === 'stream' ? 2 : 1,
		allow_resume: kind === 'stream',
	});
	store.put('keyed.op', 'config', {
		version: 1,
		routes: [route('once', 'non_idempotent'), route('stream', 'stream')],
		services: [{name: 's', max_conns: 100}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	worker.behaviour = respondWith('served');
	store.put('keyed.servers', worker.id, {
		service: 's',
		addr: await worker.start(),
		zone: 'z',
		slots: 16,
		state: 'ready',
		born: 1,
		seq: 1,
	});
	for (const name of ['h2', 'h3']) {
		hosts.push(
			await startForwardingHost(name, {
				store: storeAddress,
				targets: {drainMilliseconds: 2000},
			}),
		);
	}

	for (const {process} of hosts) {
		await process.json(
			'readiness',
			({message}) => message === 'forwarding-ready',
		);
	}

	await first.start({
		...forwardingDocument,
		routes: forwardingDocument.routes.map((each) => ({
			...each,
			timeoutMilliseconds: 20_000,
		})),
	});
	first.reachability.setCutOff(true);
	first.knownPeers = hosts.map(({ports}) => `127.0.0.1:${ports.peers}`);
});

after(async () => {
	await first.stop();
	for (const {process} of hosts) {
		process.signal('SIGKILL');
	}

	worker.stop();
	store.stop();
});

// Guards against a program that does not serve the calls of other hosts on its listener for them, or serves them to callers.
test('a host process serves the requests that another host forwards, on its listener for hosts only', async () => {
	const result = await first.call('/once/x', {
		id: 'plain',
		body: 'b',
		headers: {'Deadline-Ms': '15000'},
	});
	assert.equal(result.status, 200);
	assert.equal(result.body, 'served');
	const host = await servingHost('plain');
	const answered = await host.process.json(
		'the answer',
		({message, fields}) =>
			message === 'request-answered' && fields.request === 'plain',
	);
	assert.equal(answered.fields.outcome, 'status 200');
	assert.equal(answered.fields.forwardedBy, 'h1');
	first.knownPeers = hosts.map(({ports}) => `127.0.0.1:${ports.callers}`);
	const refused = await first.call('/once/x', {body: 'b'});
	assert.notEqual(refused.status, 200);
	assert.equal(worker.requests.length, 1);
	first.knownPeers = hosts.map(({ports}) => `127.0.0.1:${ports.peers}`);
});

// Guards against streams that end with the process that served them, although another host reaches the targets.
test('a stream goes on through another host when the process that serves it is killed', async () => {
	worker.behaviour = (request) => {
		const isRest = request.headers.get('last-event-id') === '2';
		(isRest ? streamEvents(3, 5, 'whole') : firstEvents)(request);
	};

	const {promise, received, id} = first.stream('/stream/x');
	await waitUntil('two events', () => received().includes('piece 2'));
	const host = await servingHost(id);
	await host.process.kill();
	const result = await promise;
	assert.equal(
		result.body,
		[1, 2, 3, 4, 5].map((event) => formatEvent(event)).join(''),
	);
	assert.equal(result.isComplete, true);
});
