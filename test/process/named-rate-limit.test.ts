import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {responseHead, StandInWorker} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

const hostCount = 3;
const requestsPerSecond = 8;
const windowMilliseconds = 4000;
/** What the users' rule allows in a window. */
const allowedInWindow =
	1.5 * requestsPerSecond * (windowMilliseconds / 1000) + 5;
const stableMilliseconds = 3000;
const sendIntervalMilliseconds = 20;

const store = new StandInStore();
const worker = new StandInWorker('i-1');
const hosts: ForwardingTestHost[] = [];
const arrivals: number[] = [];
/** The rate that the worker names, undefined for none. */
let namedRate: number | undefined;
let requestCount = 0;

/** Sends a request through one of the hosts, most of them through the first one, and returns the status. */
async function send(): Promise<number> {
	requestCount++;
	const host = hosts[requestCount % 4 === 0 ? requestCount % hostCount : 0]!;
	const response = await request(`http://127.0.0.1:${host.ports.callers}/x/y`, {
		headers: {
			host: 'a.example',
			'request-id': `r${requestCount}`,
			'deadline-ms': '1000',
		},
	});
	await response.body.dump();
	return response.statusCode;
}

/** Sends requests at a steady pace and returns how many were served. */
async function sendFor(milliseconds: number): Promise<number> {
	const endsAt = performance.now() + milliseconds;
	const statuses: Array<Promise<number>> = [];
	while (performance.now() < endsAt) {
		statuses.push(send());
		await new Promise((resolve) => {
			setTimeout(resolve, sendIntervalMilliseconds);
		});
	}

	const outcomes = await Promise.all(statuses);
	return outcomes.filter((status) => status === 200).length;
}

/** Largest number of arrivals in any window that begins later than the given time. */
function largestWindow(from: number): number {
	const counted = arrivals.filter((at) => at > from);
	return Math.max(
		0,
		...counted.map(
			(start) =>
				counted.filter((at) => at >= start && at < start + windowMilliseconds)
					.length,
		),
	);
}

before(async () => {
	const storeAddress = await store.start();
	const address = await worker.start();
	worker.behaviour = ({headers, socket}) => {
		arrivals.push(performance.now());
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Content-Length': '0',
				...(namedRate === undefined ? {} : {'Server-Limit': String(namedRate)}),
			}),
		);
	};

	store.put('keyed.servers', 'i-1', {
		service: 's',
		addr: address,
		zone: 'z',
		slots: 64,
		state: 'ready',
		born: 1,
	});
	store.put('keyed.op', 'config', {
		version: 1,
		routes: [
			{
				name: 'r',
				host: 'a.example',
				prefix: '/x/',
				kind: 'idempotent',
				timeout_ms: 2000,
				goal_ms: 300,
				service: 's',
				attempts: 2,
			},
		],
		services: [{name: 's', max_conns: 100}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	hosts.push(
		...(await Promise.all(
			Array.from({length: hostCount}, async (_, index) =>
				startForwardingHost(`h${index}`, {store: storeAddress}),
			),
		)),
	);
	await waitUntil(
		'readiness and an owner',
		() =>
			hosts.every(({process: {lines}}) =>
				lines.some((line) => line.includes('"forwarding-ready"')),
			) &&
			hosts.some(({process: {lines}}) =>
				lines.some((line) => line.includes('"ownership-gained"')),
			),
	);
});

after(() => {
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	worker.stop();
	store.stop();
});

// Guards against a target that gets more requests than the rate that it names, from all hosts together: each host keeps
// the rate for itself, or shares it evenly although most requests come through one host.
test('a target gets the rate of requests that it names from all hosts together, and more once it names none', async () => {
	await sendFor(1000);
	namedRate = requestsPerSecond;
	const namedAt = performance.now();
	await sendFor(stableMilliseconds);
	const served = await sendFor(8000);
	const largest = largestWindow(namedAt + stableMilliseconds);
	assert.ok(
		largest <= allowedInWindow,
		`${largest} requests in a window, ${allowedInWindow} allowed`,
	);
	assert.ok(
		served >= requestsPerSecond * 8 * 0.7,
		`${served} served of ${requestsPerSecond * 8}`,
	);
	namedRate = undefined;
	await sendFor(2000);
	const servedAfter = await sendFor(2000);
	assert.ok(servedAfter >= 60, `${servedAfter} served without a limit`);
});
