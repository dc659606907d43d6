import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {sha256} from '../../src/base/common/digest.js';
import {
	type Customer,
	type ForwardingDocument,
} from '../../src/contracts/forwarding-document.js';
import {type CustomerName, type KeyDigest} from '../../src/contracts/ids.js';
import {callerOf} from '../../src/core/fairness/customer-callers.js';
import {CustomerKeys} from '../../src/core/fairness/customer-keys.js';
import {PeerConnections} from '../../src/services/forwarding/peers/peer-connections.js';
import {
	respondWith,
	StandInWorker,
	streamEvents,
} from '../platform/stand-in-worker.js';
import {
	forwardingDocument,
	ForwardingHarness,
	poolName,
} from './forwarding-harness.js';

let host: ForwardingHarness;
let other: ForwardingHarness;
let worker: StandInWorker;

function createCustomer(
	name: string,
	keys: readonly string[],
	priority?: number,
): Customer {
	return {
		name: name as CustomerName,
		keyDigests: keys.map((key) => sha256(key) as KeyDigest),
		priority,
	};
}

function createDocument(
	version: number,
	customers: readonly Customer[] | undefined,
): ForwardingDocument {
	return {
		...forwardingDocument,
		version,
		routes: forwardingDocument.routes.map((route) => ({
			...route,
			isKeyless: route.pathPrefix === '/fixed/',
		})),
		customers,
	};
}

const document = createDocument(2, [
	createCustomer('north', ['key-n1', 'key-n2'], 3),
	createCustomer('south', ['key-s1', 'key-n1']),
]);

/** Headers of the last request that the worker received. */
function lastHeaders(): ReadonlyMap<string, string> {
	return worker.requests.at(-1)!.headers;
}

async function statusOf(
	headers: Readonly<Record<string, string>>,
	path = '/idempotent/x',
): Promise<number> {
	const {status} = await host.call(path, {headers});
	return status;
}

/** Sends a request as it is and returns the status of the response. */
async function rawStatus(lines: readonly string[]): Promise<string> {
	return new Promise((resolve) => {
		const socket = connect(host.callerPort, '127.0.0.1', () => {
			socket.write(
				[
					'GET /idempotent/x HTTP/1.1',
					'Host: a.example',
					'Request-Id: raw',
					...lines,
					'',
					'',
				].join('\r\n'),
			);
		});
		socket.once('data', (data: Buffer) => {
			resolve(data.subarray(9, 12).toString());
			socket.destroy();
		});
	});
}

beforeEach(async () => {
	host = new ForwardingHarness();
	other = new ForwardingHarness();
	worker = new StandInWorker('i-1');
	worker.behaviour = respondWith('served');
	const address = await worker.start();
	await host.start(document);
	await other.start(document);
	for (const harness of [host, other]) {
		harness.list(worker.id, address);
	}
});

afterEach(async () => {
	await host.stop();
	await other.stop();
	worker.stop();
});

// Guards against requests that run for nobody, and against keys that a target or a log sees.
test('a request without exactly one known key is answered with 401 and reaches no target', async () => {
	for (const key of ['', 'other', 'KEY-N1', 'k'.repeat(2000)]) {
		assert.equal(await statusOf({'Api-Key': key}), 401, key.slice(0, 20));
	}

	assert.equal(await statusOf({}), 401);
	assert.equal(await statusOf({tenant: 'north'}), 401);
	assert.equal(
		await rawStatus(['Api-Key: key-n1', 'api-key: key-s1']),
		'401',
		'two keys',
	);
	assert.equal(worker.requests.length, 0);
	const [{fields}] = host.logged('request-rejected') as [
		ReturnType<typeof host.logged>[number],
	];
	assert.equal(fields.status, 401);
	assert.equal(fields.reason, 'the key is unknown');
	assert.equal(host.service.demand().models.length, 0);
});

test('a target learns the customer of the key and neither the key nor what the caller claims', async () => {
	assert.equal(
		await statusOf({'Api-Key': 'key-s1', Tenant: 'north', 'X-Other': 'kept'}),
		200,
	);
	assert.equal(lastHeaders().get('tenant'), 'south');
	assert.equal(lastHeaders().get('x-other'), 'kept');
	assert.equal(lastHeaders().has('api-key'), false);
});

test('a key of two customers belongs to the first, whose priority precedes that of the route', async () => {
	assert.equal(await statusOf({'Api-Key': 'key-n1'}), 200);
	assert.equal(lastHeaders().get('tenant'), 'north');
	assert.equal(lastHeaders().get('request-priority'), '3');
	assert.equal(await statusOf({'Api-Key': 'key-s1'}), 200);
	assert.equal(lastHeaders().get('request-priority'), '0');
});

// Guards against customers of one priority whose urgent requests are no longer ahead of their others.
test('the priorities of customers precede those of routes, which decide among customers of one priority', () => {
	const [first] = forwardingDocument.routes;
	const routes = [0, 1, 2].map((priority) => ({...first!, priority}));
	const prioritiesWith = (...priorities: readonly number[]) => {
		const customers = priorities.map((priority, index) =>
			createCustomer(`c${index}`, [], priority),
		);
		const keys = new CustomerKeys({routes, customers});
		return customers.flatMap((customer) =>
			routes.map((route) => keys.rank(route, customer).priority),
		);
	};

	assert.deepEqual(prioritiesWith(1, 1), [0, 1, 2, 0, 1, 2]);
	assert.deepEqual(prioritiesWith(2, 0), [6, 7, 8, 0, 1, 2]);
	const keys = new CustomerKeys({routes, customers: []});
	assert.equal(keys.rank(routes[1]!, undefined).priority, 1);
});

test('a route without keys serves any request, for no customer', async () => {
	worker.behaviour = streamEvents(1, 1, 'whole');
	const headers = {'Api-Key': 'other', Tenant: 'north'};
	assert.equal(await statusOf(headers, '/fixed/x'), 200);
	assert.equal(lastHeaders().has('tenant'), false);
	assert.equal(lastHeaders().has('api-key'), false);
});

test('a document without customers serves requests without keys', async () => {
	host.service.applyDocument(createDocument(3, []));
	assert.equal(await statusOf({}), 200);
	assert.equal(await statusOf({'Api-Key': 'other', Tenant: 'north'}), 200);
	assert.equal(lastHeaders().has('tenant'), false);
	assert.equal(lastHeaders().has('api-key'), false);
});

test('keys are taken away, added and given to another customer by the next version', async () => {
	host.service.applyDocument(
		createDocument(3, [
			createCustomer('north', ['key-n2', 'key-s1']),
			createCustomer('south', ['key-n3']),
		]),
	);
	assert.equal(await statusOf({'Api-Key': 'key-n1'}), 401);
	assert.equal(await statusOf({'Api-Key': 'key-s1'}), 200);
	assert.equal(lastHeaders().get('tenant'), 'north');
	assert.equal(await statusOf({'Api-Key': 'key-n3'}), 200);
	assert.equal(lastHeaders().get('tenant'), 'south');
});

// Guards against a build that knows no customers: the documents that it passes on have none.
test('the keys stay when a host of an older build sends the next document, until it is read from the store', async () => {
	host.service.applyDocument(createDocument(3, undefined));
	assert.equal(host.service.documentVersion, 3);
	assert.equal(await statusOf({'Api-Key': 'key-s1'}), 200);
	assert.equal(await statusOf({'Api-Key': 'other'}), 401);
	host.service.applyDocument(
		createDocument(3, [createCustomer('north', ['key-n2'])]),
	);
	assert.equal(await statusOf({'Api-Key': 'key-s1'}), 401);
	assert.equal(await statusOf({'Api-Key': 'key-n2'}), 200);
});

// Guards against a key in a message between hosts, and against a host that takes a caller's word for its customer.
test('through another host the customer stays that of the key', async () => {
	host.knownPeers = [await other.listenForPeers()];
	host.reachability.setCutOff(true);
	assert.equal(await statusOf({'Api-Key': 'key-n1', Tenant: 'south'}), 200);
	assert.equal(lastHeaders().get('tenant'), 'north');
	assert.equal(lastHeaders().get('request-priority'), '3');
	assert.equal(lastHeaders().has('api-key'), false);
	assert.equal(await statusOf({'Api-Key': 'other', Tenant: 'south'}), 401);
	assert.equal(worker.requests.length, 1);
	// The host that has checked the key knows a newer version.
	other.service.applyDocument(createDocument(3, []));
	assert.equal(await statusOf({'Api-Key': 'key-s1'}), 200);
	assert.equal(lastHeaders().get('tenant'), 'south');
});

/** Forwards a request as a host of the build before this one does, and returns the status of the answer. */
async function forwardAsOlderBuild(
	headers: readonly string[],
): Promise<number | undefined> {
	const address = await other.listenForPeers();
	const connections = new PeerConnections();
	try {
		const responses = connections.get(address).forward({
			host: 'old',
			method: 'GET',
			requestTarget: '/idempotent/x',
			rawHeaders: ['Host', 'a.example', 'Request-Id', 'old-1', ...headers],
			body: new Uint8Array(),
			pool: poolName,
			remainingMilliseconds: 2000,
			ageMilliseconds: 0,
			maximumExecutions: 1,
		});
		for await (const {message} of responses) {
			if (message.case === 'head') {
				return message.value.status;
			}

			if (message.case === 'failure') {
				return message.value.status;
			}
		}

		return undefined;
	} finally {
		connections.dispose();
	}
}

test('a request that a host of an older build forwards is accepted by its key alone', async () => {
	assert.equal(
		await forwardAsOlderBuild(['Api-Key', 'key-s1', 'Tenant', 'north']),
		200,
	);
	assert.equal(lastHeaders().get('tenant'), 'south');
	assert.equal(lastHeaders().has('api-key'), false);
	other.closePeerListener();
	assert.notEqual(await forwardAsOlderBuild(['Tenant', 'north']), 200);
	assert.equal(worker.requests.length, 1);
});

test('the rest of a stream and a repeated request keep the customer', async () => {
	const names: Array<string | undefined> = [];
	worker.behaviour = (received) => {
		names.push(received.headers.get('tenant'));
		if (names.length > 1) {
			streamEvents(2, 2, 'whole')(received);
			return;
		}

		streamEvents(1, 1, 'broken')(received);
	};

	const second = new StandInWorker('i-2');
	second.behaviour = worker.behaviour;
	host.list(second.id, await second.start());
	await host.call('/stream/x', {headers: {'Api-Key': 'key-s1'}});
	second.stop();
	assert.ok(names.length > 1, 'the stream goes on');
	assert.deepEqual(new Set(names), new Set(['south']));
});

// Guards against keys that were taken away while this host could not learn it, and against refusals where none is needed.
test('while keys may have been taken away, requests with keys are refused with a time to come back and others go on', async () => {
	host.mayRelyOnKeys = false;
	const refused = await host.call('/idempotent/x', {
		headers: {'Api-Key': 'key-s1'},
	});
	assert.equal(refused.status, 503);
	assert.equal(refused.headers['retry-after'], '0.500');
	assert.equal(await statusOf({'Api-Key': 'other'}), 401);
	assert.equal(worker.requests.length, 0);
	worker.behaviour = streamEvents(1, 1, 'whole');
	assert.equal(await statusOf({}, '/fixed/x'), 200);
	host.service.applyDocument(createDocument(3, []));
	assert.equal(await statusOf({}), 200);
});

test('each of ten thousand keys is found', () => {
	const digests = Array.from(
		{length: 10_000},
		(_, index) => sha256(`key-${index}`) as KeyDigest,
	);
	const keys = new CustomerKeys({
		routes: [],
		customers: [0, 1, 2, 3].map((remainder) => ({
			...createCustomer(`c${remainder}`, []),
			keyDigests: digests.filter((_, index) => index % 4 === remainder),
		})),
	});
	for (const [index, digest] of digests.entries()) {
		const decision = keys.check({}, digest);
		assert.ok(decision.isAccepted);
		assert.equal(decision.customer!.name, `c${index % 4}`);
	}
});

// Guards against customers that share one turn in the queue, so that one of them delays the others.
test('the work of a request counts for its customer', async () => {
	const usage = host.sharing.usage(poolName);
	const workOf = (name: string | undefined) =>
		usage.get(callerOf(name as CustomerName | undefined));
	assert.equal(await statusOf({'api-key': 'key-s1'}), 200);
	assert.ok(workOf('south') > 0);
	assert.equal(workOf('north'), 0);
	assert.equal(workOf(undefined), 0);
});
