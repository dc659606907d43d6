import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, beforeEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {PeerConnections} from '../../src/services/forwarding/peers/peer-connections.js';
import {
	spawnForwarding,
	startForwardingHost,
	writeForwardingSettings,
} from './forwarding-host.js';
import {slowDown, TestProcess, waitUntil} from './processes.js';
import {callServed, ServedFleet} from './served-fleet.js';

/** Time that a request may be on its way to the target when its caller leaves. */
const wayMilliseconds = 100;

/** A request that reached the target. */
type Arrival = {readonly id: string; readonly at: number};

const fleet = new ServedFleet();
let store = '';
let arrivals: Arrival[] = [];
/** Time at which each caller that left closed its connection, by request. */
let leftAt = new Map<string, number>();
/** Statuses of the requests that were answered. */
let statuses = new Map<string, string>();
let lastCall = 0;

before(async () => {
	store = await fleet.start();
	const respond = fleet.worker.behaviour;
	fleet.worker.behaviour = (request) => {
		const id = request.headers.get('request-id') ?? '';
		arrivals.push({id, at: performance.now()});
		respond(request);
	};
});

beforeEach(() => {
	arrivals = [];
	leftAt = new Map();
	statuses = new Map();
});

after(() => {
	fleet.stop();
});

/** Sends a request on a connection of its own and closes it after a time if there is no answer. */
function call(port: number, patienceMilliseconds: number): void {
	lastCall++;
	const id = `left-${lastCall}`;
	const socket = connect(port, '127.0.0.1', () => {
		socket.write(
			`GET /x/y HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 5000\r\n\r\n`,
		);
	});
	socket.once('data', (data: Buffer) => {
		statuses.set(id, data.subarray(9, 12).toString());
		socket.destroy();
	});
	socket.on('error', () => undefined);
	setTimeout(() => {
		if (!statuses.has(id)) {
			leftAt.set(id, performance.now());
			socket.destroy();
		}
	}, patienceMilliseconds);
}

/** Measures by how much the timers of this process are late at most, which delays what the stand-in target records. */
function observeDelay(): () => number {
	let previous = performance.now();
	let longest = 0;
	const intervalMilliseconds = 5;
	const timer = setInterval(() => {
		const now = performance.now();
		longest = Math.max(longest, now - previous - intervalMilliseconds);
		previous = now;
	}, intervalMilliseconds);
	return () => {
		clearInterval(timer);
		return longest;
	};
}

// Guards against work for callers that left while their connections waited to be accepted: Node.js accepts one a turn,
// so a host with cold code has a backlog of seconds although its event loop never stalls.
test('a host that has just started sends on no requests of callers that have left', async () => {
	const {file, ports} = await writeForwardingSettings('starting', {store});
	const host = new TestProcess(spawnForwarding(file));
	const pace = {runMilliseconds: 60, pauseMilliseconds: 40};
	const endSlowness = slowDown(host, pace);
	try {
		await host.json(
			'the document is in force',
			({message}) => message === 'document-applied',
		);
		const delayOfThisProcess = observeDelay();
		for (
			let group = 0;
			group < 200 || (leftAt.size === 0 && group < 1000);
			group++
		) {
			// A fast machine serves the usual load in time, and then more callers come, and it runs less, until some leave.
			const callers = group < 200 ? 2 : group / 50;
			if (group >= 200 && group % 100 === 0) {
				pace.runMilliseconds = Math.max(5, pace.runMilliseconds / 2);
			}

			for (let each = 0; each < callers; each++) {
				call(ports.callers!, 200 + 5 * ((lastCall * 37) % 160));
			}

			await delay(5);
		}

		await delay(3500);
		const allowance = wayMilliseconds + delayOfThisProcess();
		const late = arrivals.flatMap(({id, at}) => {
			const left = leftAt.get(id);
			return left !== undefined && at - left > allowance
				? [`${id} by ${Math.round(at - left)} ms`]
				: [];
		});
		const answered = [...statuses.values()].filter((each) => each === '200');
		assert.ok(leftAt.size > 0, 'callers leave');
		assert.ok(answered.length > 0, 'requests are answered');
		assert.deepEqual(late, []);
	} finally {
		endSlowness();
		await host.kill();
	}
});

// Guards against requests that are sent on because the end of their connection, although received, is read a turn later.
// The pauses are too short to count as stalls of the event loop.
test('a request whose caller left before the host could read it is not sent on', async () => {
	const host = await startForwardingHost('paused', {store});
	try {
		await waitUntil(
			'the host serves',
			async () => (await callServed(host.ports.callers!)) === 200,
		);
		for (let round = 0; round < 20; round++) {
			host.process.signal('SIGSTOP');
			for (let each = 0; each < 5; each++) {
				call(host.ports.callers!, 8);
			}

			await delay(20);
			host.process.signal('SIGCONT');
			await delay(100);
		}

		await waitUntil(
			'the host serves',
			async () => (await callServed(host.ports.callers!)) === 200,
		);
		const sentOn = arrivals.filter(({id}) => leftAt.has(id));
		assert.ok(leftAt.size > 0, 'callers leave');
		assert.deepEqual(sentOn, []);
	} finally {
		await host.process.kill();
	}
});

// Guards against the same for requests that another host forwarded and gave up.
test('a request that another host gave up before this one could read it is not sent on', async () => {
	const host = await startForwardingHost('peer', {store});
	const connections = new PeerConnections();
	const client = connections.get(`127.0.0.1:${host.ports.peers}`);
	/** Returns the kinds of the messages that were received until the end or until the signal. */
	const forward = async (id: string, signal?: AbortSignal) => {
		const message = {
			host: 'other',
			method: 'GET',
			requestTarget: '/x/y',
			rawHeaders: ['Host', 'a.example', 'Request-Id', id],
			pool: 's',
			remainingMilliseconds: 5000,
			maximumExecutions: 2,
		};
		const kinds: Array<string | undefined> = [];
		try {
			for await (const response of client.forward(message, {
				...(signal && {signal}),
			})) {
				kinds.push(response.message.case);
			}
		} catch (error) {
			if (!signal?.aborted) {
				throw error;
			}
		}

		return kinds;
	};

	try {
		await waitUntil(
			'the host serves',
			async () => (await callServed(host.ports.callers!)) === 200,
		);
		const calls: Array<Promise<unknown>> = [];
		for (let round = 0; round < 20; round++) {
			host.process.signal('SIGSTOP');
			for (let each = 0; each < 5; each++) {
				calls.push(
					forward(`given-up-${calls.length}`, AbortSignal.timeout(10)),
				);
			}

			await delay(25);
			host.process.signal('SIGCONT');
			await delay(100);
		}

		await Promise.all(calls);
		assert.deepEqual(await forward('served'), ['alive', 'head', 'data', 'end']);
		const taken = host.process.lines.filter(
			(line) =>
				line.includes('"request-taken-from-peer"') && line.includes('given-up'),
		);
		assert.ok(taken.length > 0, 'the host reads the requests');
		const sentOn = arrivals.filter(({id}) => id.startsWith('given-up'));
		assert.deepEqual(sentOn, []);
	} finally {
		connections.dispose();
		await host.process.kill();
	}
});
