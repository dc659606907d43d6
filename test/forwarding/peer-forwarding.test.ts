import assert from 'node:assert/strict';
import {
	createServer,
	type AddressInfo,
	type Server,
	type Socket,
} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {type SoftwareVersion} from '../../src/contracts/ids.js';
import {
	completeResponse,
	formatEvent,
	respondNotRun,
	respondWith,
	responseHead,
	StandInWorker,
	streamEvents,
	type WorkerBehaviour,
} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

/** The host that is cut off in most tests, and the hosts to which it forwards. */
let first: ForwardingHarness;
let others: ForwardingHarness[];
let workers: StandInWorker[];
let servers: Server[];

/** Starts a worker that a host lists. */
async function addWorker(
	host: ForwardingHarness,
	behaviour: WorkerBehaviour,
	version?: string,
): Promise<StandInWorker> {
	const worker = new StandInWorker(`i-${workers.length + 1}`);
	worker.behaviour = behaviour;
	workers.push(worker);
	host.list(worker.id, await worker.start(), {
		softwareVersion: version as SoftwareVersion | undefined,
	});
	return worker;
}

/** Starts another host to which the first one may forward. */
async function addHost(): Promise<ForwardingHarness> {
	const host = new ForwardingHarness();
	others.push(host);
	await host.start(forwardingDocument);
	first.knownPeers = [...first.knownPeers, await host.listenForPeers()];
	return host;
}

/** Starts a listener that handles connections as given, instead of another host. */
async function addFalseHost(
	onConnection: Parameters<typeof createServer>[1],
): Promise<void> {
	const server = createServer({}, onConnection);
	servers.push(server);
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	first.knownPeers = [...first.knownPeers, `127.0.0.1:${port}`];
}

beforeEach(async () => {
	first = new ForwardingHarness();
	others = [];
	workers = [];
	servers = [];
	await first.start(forwardingDocument);
	first.reachability.setCutOff(true);
});

afterEach(async () => {
	for (const harness of [first, ...others]) {
		await harness.stop();
	}

	for (const worker of workers) {
		worker.stop();
	}

	for (const server of servers) {
		server.close();
	}
});

function events(from: number, to: number): string {
	let text = '';
	for (let id = from; id <= to; id++) {
		text += formatEvent(id);
	}

	return text;
}

function requestCount(): number {
	return workers.reduce((sum, {requests}) => sum + requests.length, 0);
}

/** Sends the head of a stream and then one event at each call of `sendNext`. */
function eventByEvent() {
	let socket: Parameters<WorkerBehaviour>[0]['socket'] | undefined;
	let id = 0;
	return {
		behaviour({headers, socket: accepted}: Parameters<WorkerBehaviour>[0]) {
			socket = accepted;
			socket.write(
				responseHead('200 OK', {
					'Request-Id': headers.get('request-id') ?? '',
					'Response-Sig': 'signed',
					'Content-Type': 'text/event-stream',
					'Transfer-Encoding': 'chunked',
				}),
			);
		},
		sendNext() {
			id++;
			const event = formatEvent(id);
			socket!.write(`${event.length.toString(16)}\r\n${event}\r\n`);
		},
	};
}

// Guards against hosts that serve nothing while they are cut off from all targets of a pool.
test('requests of a host that is cut off are answered through another one, unchanged', async () => {
	const host = await addHost();
	const worker = await addWorker(host, ({headers, body, socket}) => {
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signature',
				'Content-Length': String(body.length + 3),
				'Content-Type': 'text/x',
				'Server-Load': '1,2,3',
			}) + `ok ${body}`,
		);
	});
	const options = {
		id: 'r-7',
		body: 'text',
		headers: {'X-Other': 'caf\u00E9', 'Expect-Instance': 'i-9'},
	};
	const result = await first.call('/once/a%20b?q=1&q=2', options);
	const direct = await host.call('/once/a%20b?q=1&q=2', options);
	assert.equal(direct.status, 200);
	assert.equal(result.status, 200);
	assert.equal(result.body, 'ok text');
	assert.equal(result.isComplete, true);
	assert.equal(result.headers['response-sig'], 'signature');
	assert.equal(result.headers['content-type'], 'text/x');
	assert.equal(result.headers['server-load'], undefined);
	const {method, path, headers, body} = worker.requests[0]!;
	assert.equal(`${method} ${path} ${body}`, 'POST /once/a%20b?q=1&q=2 text');
	assert.equal(headers.get('expect-instance'), 'i-1');
	assert.deepEqual(
		[...headers].filter(([name]) => name !== 'deadline-ms'),
		[...worker.requests[1]!.headers].filter(([name]) => name !== 'deadline-ms'),
	);
	assert.equal(requestCount(), 2);
	const [peer] = first.knownPeers;
	assert.equal(first.logged('request-sent-to-peer')[0]!.fields.peer, peer);
	assert.equal(first.logged('request-answered')[0]!.fields.forwardedTo, peer);
	assert.equal(host.logged('request-taken-from-peer').length, 1);
	assert.equal(host.logged('request-answered')[0]!.fields.forwardedBy, 'h1');
});

test('responses of targets with a failure status or without a length reach the caller as they are', async () => {
	const host = await addHost();
	await addWorker(host, ({headers, path, socket}) => {
		const id = headers.get('request-id') ?? '';
		if (path === '/once/failed') {
			socket.write(completeResponse(id, 'broken', '500 Internal Server Error'));
			return;
		}

		socket.end(
			responseHead('200 OK', {
				'Request-Id': id,
				'Response-Sig': 's',
				Connection: 'close',
			}) + 'until the end',
		);
	});
	const failed = await first.call('/once/failed');
	assert.equal(failed.status, 500);
	assert.equal(failed.body, 'broken');
	const unframed = await first.call('/once/unframed');
	assert.equal(unframed.body, 'until the end');
	assert.equal(unframed.headers['content-length'], undefined);
	assert.equal(unframed.headers['transfer-encoding'], 'chunked');
	assert.ok(unframed.isComplete);
});

// Guards against events that are held back until the end of the stream.
test('each event of a stream is passed on as it arrives', async () => {
	const host = await addHost();
	const stream = eventByEvent();
	const worker = await addWorker(host, stream.behaviour);
	const {promise, received} = first.stream('/stream/x');
	await waitUntil('the request', () => worker.requests.length === 1);
	for (let id = 1; id <= 3; id++) {
		stream.sendNext();
		await waitUntil('the event', () => received() === events(1, id));
	}

	workers[0]!.stop();
	const result = await promise;
	assert.equal(result.isComplete, false);
});

test('the end of a stream that was forwarded is complete', async () => {
	const host = await addHost();
	await addWorker(host, streamEvents(1, 5, 'whole'));
	const result = await first.call('/stream/x');
	assert.equal(result.status, 200);
	assert.equal(result.body, events(1, 5));
	assert.equal(result.isComplete, true);
	assert.equal(result.headers['content-type'], 'text/event-stream');
});

// Guards against a stream that ends for good when its target breaks off while another one could go on.
test('a stream that breaks off at a target goes on at another one through the same host', async () => {
	const host = await addHost();
	await addWorker(host, (request) => {
		const last = request.headers.get('last-event-id');
		if (last === undefined) {
			streamEvents(1, 3, 'torn')(request);
			return;
		}

		assert.equal(last, '3');
		streamEvents(4, 6, 'whole')(request);
	});
	const result = await first.call('/stream/x');
	assert.equal(result.body, events(1, 6));
	assert.equal(result.isComplete, true);
	assert.equal(requestCount(), 2);
});

// Guards against a truncated stream that looks complete to its caller.
test('a stream that may not go on is cut for its caller', async () => {
	const host = await addHost();
	await addWorker(host, streamEvents(1, 3, 'broken'));
	const result = await first.call('/fixed/x');
	assert.equal(result.body, events(1, 3));
	assert.equal(result.isComplete, false);
	assert.equal(requestCount(), 1);
});

// Guards against a request that is executed a second time although its outcome is unknown.
test('a call that may not be repeated fails as unknown when its target is lost', async () => {
	for (let count = 0; count < 2; count++) {
		const host = await addHost();
		await addWorker(host, ({socket}) => {
			socket.destroy();
		});
	}

	const result = await first.call('/once/x', {body: 'b'});
	assert.equal(result.status, 502);
	assert.equal(requestCount(), 1);
});

test('a host that refuses a request is followed by another one', async () => {
	const cutOff = await addHost();
	cutOff.reachability.setCutOff(true);
	const withoutDocument = new ForwardingHarness();
	others.push(withoutDocument);
	await withoutDocument.start(undefined);
	first.knownPeers = [
		...first.knownPeers,
		await withoutDocument.listenForPeers(),
	];
	const host = await addHost();
	await addWorker(host, respondWith('done'));
	for (let count = 0; count < 6; count++) {
		const result = await first.call('/once/x', {body: 'b'});
		assert.equal(result.status, 200);
	}

	assert.equal(requestCount(), 6);
	// Each of the two that refused is asked once at most in this time.
	const refused = first.logged('peer-failed').length;
	assert.ok(refused <= 4, String(refused));
});

// Guards against peers that are avoided for all requests because they refuse those for one overloaded model.
test('a refusal by the targets does not keep other requests from a host', async () => {
	const host = await addHost();
	await addWorker(host, (request) => {
		const isRefused = request.path.endsWith('refused');
		(isRefused ? respondNotRun() : respondWith('done'))(request);
	});
	const refused = await first.call('/short/refused');
	assert.equal(refused.status, 503);
	assert.notEqual(refused.headers['retry-after'], undefined);
	const result = await first.call('/once/x');
	assert.equal(result.status, 200);
});

// Guards against requests that go from host to host in a circle.
test('when both hosts are cut off, the caller gets a refusal at once and no host forwards twice', async () => {
	const host = await addHost();
	host.knownPeers = [await first.listenForPeers()];
	host.reachability.setCutOff(true);
	const startedAt = performance.now();
	const result = await first.call('/once/x', {body: 'b'});
	assert.ok(performance.now() - startedAt < 1000);
	assert.equal(result.status, 503);
	assert.notEqual(result.headers['retry-after'], undefined);
	assert.equal(first.logged('request-sent-to-peer').length, 1);
	assert.equal(host.logged('request-sent-to-peer').length, 0);
	assert.equal(host.logged('request-taken-from-peer').length, 0);
});

test('without another host the caller gets a refusal at once', async () => {
	const result = await first.call('/once/x', {body: 'b'});
	assert.equal(result.status, 503);
	assert.notEqual(result.headers['retry-after'], undefined);
});

test('a host whose process has ended is followed by another one, because nothing was sent', async () => {
	const ended = [await addHost(), await addHost()];
	const host = await addHost();
	await addWorker(host, respondWith('done'));
	// Closed after all listeners are open, because a listener that is opened later may get a free port again.
	for (const each of ended) {
		each.closePeerListener();
	}

	const result = await first.call('/once/x', {body: 'b'});
	assert.equal(result.status, 200, JSON.stringify(first.logged('peer-failed')));
	assert.equal(requestCount(), 1);
});

// Guards against a 503 for a request that a host may have run before it ended.
test('the outcome is unknown when a host ends after it has received the request', async () => {
	await addFalseHost((socket) => {
		socket.once('data', () => {
			socket.destroy();
		});
	});
	const result = await first.call('/once/x', {body: 'b'});
	assert.equal(result.status, 502);
	assert.equal(first.logged('peer-failed')[0]!.fields.outcome, 'lost');
});

/** Calls at a host that takes the request and then ends or is silent, while another host is there. */
async function callAtFailingHost(isSilent: boolean) {
	const sockets: Socket[] = [];
	await addFalseHost((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			sockets.push(socket);
		});
	});
	const call = first.call('/idempotent/x');
	await waitUntil('the request at the first host', () => sockets.length > 0);
	const host = await addHost();
	await addWorker(host, respondWith('done'));
	if (!isSilent) {
		sockets[0]!.destroy();
	}

	return call;
}

// Guards against requests that fail with a host although another one could serve them.
test('a request that may be repeated goes on at another host when the first one ends', async () => {
	const result = await callAtFailingHost(false);
	assert.equal(result.status, 200);
	assert.equal(result.body, 'done');
});

// Guards against requests that wait until their deadline for a host that is frozen or cut off.
test('a request that may be repeated goes on at another host when the first one is silent', async () => {
	const result = await callAtFailingHost(true);
	assert.equal(result.status, 200);
	assert.equal(result.body, 'done');
});

// Guards against a stream that ends with its host, or goes on at another software version or with events lost.
test('a stream goes on through another host at its version when its host ends', async () => {
	const ending = await addHost();
	const stream = eventByEvent();
	const worker = await addWorker(ending, stream.behaviour, 'v1');
	const {promise, received} = first.stream('/stream/x');
	await waitUntil('the request', () => worker.requests.length === 1);
	stream.sendNext();
	stream.sendNext();
	await waitUntil('the events', () => received() === events(1, 2));
	const host = await addHost();
	const other = await addWorker(host, streamEvents(3, 5, 'whole'), 'v2');
	const same = await addWorker(host, streamEvents(3, 5, 'whole'), 'v1');
	ending.closePeerListener();
	const result = await promise;
	assert.equal(result.body, events(1, 5));
	assert.equal(result.isComplete, true);
	assert.equal(same.requests[0]!.headers.get('last-event-id'), '2');
	assert.equal(other.requests.length, 0);
});

// Guards against work for callers that have left, which goes on at a target.
// Guards against a channel that stays open without an end: a failure arrives where the rest of a stream is due.
test('a stream whose rest is answered with a failure at another host is cut for its caller', async () => {
	const ending = await addHost();
	const {behaviour, sendNext} = eventByEvent();
	await addWorker(ending, behaviour);
	const stream = first.stream('/stream/x');
	await waitUntil('the request arrives', () => requestCount() === 1);
	sendNext();
	await waitUntil('the first event', () => stream.received() === events(1, 1));
	const failing = await addHost();
	await addWorker(failing, ({headers, socket}) => {
		socket.write(
			completeResponse(
				headers.get('request-id') ?? '',
				'broken',
				'500 Internal Server Error',
			),
		);
	});
	ending.closePeerListener();
	const isCut = await Promise.race([
		stream.promise.then(({isComplete}) => !isComplete),
		new Promise<string>((resolve) => {
			setTimeout(resolve, 2000, 'left open');
		}),
	]);
	assert.equal(isCut, true);
	assert.equal(stream.received(), events(1, 1));
});

test('when the caller leaves, the call ends at the other host and at the target', async () => {
	const host = await addHost();
	const worker = await addWorker(host, () => undefined);
	const call = first.call('/once/x', {body: 'b', disconnectMilliseconds: 200});
	await assert.rejects(call);
	await waitUntil(
		'the end at the target',
		() => worker.closedSocketCount === 1,
	);
	assert.equal(host.service.openRequests, 0);
	assert.equal(first.service.openRequests, 0);
	assert.equal(
		host.logged('request-answered')[0]!.fields.outcome,
		'caller left',
	);
});

// Guards against a deadline that starts anew at the second host.
test('the deadline counts from the arrival at the first host', async () => {
	const host = await addHost();
	const worker = await addWorker(host, () => undefined);
	const startedAt = performance.now();
	const result = await first.call('/once/x', {
		body: 'b',
		headers: {'Deadline-Ms': '600'},
	});
	const elapsed = performance.now() - startedAt;
	assert.equal(result.status, 504);
	assert.ok(elapsed >= 500 && elapsed < 2000, String(elapsed));
	const remaining = Number(worker.requests[0]!.headers.get('deadline-ms'));
	assert.ok(remaining > 0 && remaining < 600, String(remaining));
});

// Guards against requests that arrived before the cut was noticed and wait at the host until they are refused.
test('requests that wait unsent when the cut is noticed go to another host', async () => {
	first.reachability.setCutOff(false);
	const host = await addHost();
	await addWorker(host, respondWith('done'));
	const call = first.call('/once/x', {body: 'b'});
	await waitUntil('the request', () => first.service.openRequests === 1);
	assert.equal(first.logged('request-sent-to-peer').length, 0);
	first.reachability.setCutOff(true);
	const result = await call;
	assert.equal(result.status, 200);
	assert.equal(requestCount(), 1);
});

// Guards against requests that wait for connections to targets until these time out, although the host is known to be cut off.
test('requests whose connections to a target are not open when the cut is noticed go to another host', async () => {
	first.reachability.setCutOff(false);
	const host = await addHost();
	await addWorker(host, respondWith('done'));
	const unreached = await addWorker(first, respondWith('too late'));
	first.eventLogged.subscribe(({name}) => {
		if (name === 'attempt-sent') {
			// The attempt has begun by then, and its connection opens in a later turn of the event loop.
			queueMicrotask(() => {
				first.reachability.setCutOff(true);
			});
		}
	});
	const result = await first.call('/once/x', {body: 'b'});
	assert.equal(result.status, 200);
	assert.equal(result.body, 'done');
	assert.equal(first.logged('attempt-sent').length, 1);
	assert.equal(unreached.requests.length, 0);
});

// Guards against a request that runs twice because it was taken while its attempt was under way.
test('requests that were sent when the cut is noticed stay where they are unless they are lost and may be repeated', async () => {
	first.reachability.setCutOff(false);
	const host = await addHost();
	await addWorker(host, respondWith('repeated'));
	const worker = await addWorker(first, () => undefined);
	const once = first.call('/once/x', {body: 'b'});
	const repeatable = first.call('/idempotent/x');
	await waitUntil('the requests', () => worker.requests.length === 2);
	first.reachability.setCutOff(true);
	worker.stop();
	assert.equal((await once).status, 502);
	const result = await repeatable;
	assert.equal(result.status, 200);
	assert.equal(result.body, 'repeated');
	assert.equal(workers[0]!.requests.length, 1);
});

test('when the cut ends, new requests go directly and forwarded ones end where they are', async () => {
	const host = await addHost();
	const stream = eventByEvent();
	const worker = await addWorker(host, stream.behaviour);
	const {promise, received} = first.stream('/fixed/x');
	await waitUntil('the request', () => worker.requests.length === 1);
	const own = await addWorker(first, respondWith('direct'));
	first.reachability.setCutOff(false);
	const direct = await first.call('/once/x');
	assert.equal(direct.body, 'direct');
	assert.equal(own.requests.length, 1);
	stream.sendNext();
	await waitUntil('the event', () => received() === events(1, 1));
	worker.requests[0]!.socket.write('0\r\n\r\n');
	const result = await promise;
	assert.equal(result.isComplete, true);
	assert.equal(first.logged('request-sent-to-peer').length, 1);
});

// Guards against a caller that reaches the calls between hosts, or makes a host take its request for a forwarded one.
test('a caller cannot use the calls between hosts', async () => {
	const host = await addHost();
	await addWorker(host, respondWith('done'));
	for (const path of [
		'/daisylever.forwarding.v1.PeerForwardingService/Forward',
		'/daisylever.owner.v1.OwnerService/Report',
	]) {
		const result = await host.call(path, {
			body: '{}',
			headers: {
				'Content-Type': 'application/connect+json',
				'Connect-Protocol-Version': '1',
			},
		});
		assert.equal(result.status, 404);
	}

	const result = await host.call('/once/x', {
		headers: {
			'Forwarded-By': 'h9',
			Forwarded: 'for=h9',
			'Connect-Protocol-Version': '1',
		},
	});
	assert.equal(result.status, 200);
	assert.equal(
		host.logged('request-answered')[0]!.fields.forwardedBy,
		undefined,
	);
});

// Guards against a host whose memory fills with the answer for a caller that does not read.
test('a caller that does not read pauses the target through both hosts', async () => {
	const host = await addHost();
	for (const {service} of [first, host]) {
		service.applyDocument({
			...forwardingDocument,
			version: 2,
			routes: forwardingDocument.routes.map((route) => ({
				...route,
				timeoutMilliseconds: 30_000,
			})),
		});
	}

	const eventCount = 1000;
	const text = 'x'.repeat(50_000);
	let written = 0;
	await addWorker(host, ({headers, socket}) => {
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Content-Type': 'text/event-stream',
				'Transfer-Encoding': 'chunked',
			}),
		);
		const send = () => {
			while (written < eventCount) {
				written++;
				const event = `id: ${written}\ndata: ${text}\n\n`;
				if (!socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)) {
					socket.once('drain', send);
					return;
				}
			}

			socket.write('0\r\n\r\n');
		};

		send();
	});
	const {promise, resume} = first.stream('/fixed/x', {isPaused: true});
	let before = -1;
	await waitUntil('the pause', async () => {
		const isStill = written === before && written > 0;
		before = written;
		await new Promise((resolve) => {
			setTimeout(resolve, 300);
		});
		return isStill;
	});
	assert.ok(written < eventCount, String(written));
	resume();
	const result = await promise;
	assert.equal(result.isComplete, true);
	assert.equal(written, eventCount);
});

// Guards against a request that one host has not run and that a stopping host offers to the next one, whose answer the end of the stop would cut.
test('a request that another host has not run is not forwarded again once its answer would come after the stop', async () => {
	const refuseLate: WorkerBehaviour = (request) => {
		setTimeout(() => {
			respondNotRun()(request);
		}, 300);
	};

	for (let index = 0; index < 2; index++) {
		await addWorker(await addHost(), refuseLate);
	}

	const call = first.call('/once/x', {body: 'b'});
	await waitUntil('a worker has the request', () => requestCount() === 1);
	first.service.beginStop(first.clock.monotonic() + 500);
	const {status} = await call;
	assert.equal(status, 503);
	assert.equal(workers.filter(({requests}) => requests.length > 0).length, 1);
});
