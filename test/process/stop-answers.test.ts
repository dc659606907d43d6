import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {after, afterEach, before, beforeEach, test} from 'node:test';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {PeerConnections} from '../../src/services/forwarding/peers/peer-connections.js';
import {StandInStore} from '../platform/stand-in-store.js';
import {
	completeResponse,
	formatEvent,
	responseHead,
	StandInWorker,
	type WorkerRequest,
} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

const seed = Number(process.env.STOP_SEED ?? 11);
const random = new SeededRandomSource(seed);
const store = new StandInStore();
const worker = new StandInWorker('i-1');
let workerAddress = '';
let storeAddress = '';
let host: ForwardingTestHost;
let hostCount = 0;

/** Time between two events of a worker that is not slow. */
const gapMilliseconds = 60;
/** Largest number of events, and tokens that each of them holds. */
const largestEvents = 159;
const tokensPerEvent = 4;
/** Requests that a caller sends later than this after SIGTERM must not be cut. */
const lateMilliseconds = 3000;
/** Time from SIGTERM until a host is killed. Before its last sixth, no stream that a worker still writes may be cut. */
const graceMilliseconds = 8000;

const callers = new Set<Caller>();

/** What a caller reads on one connection. */
class Caller {
	readonly socket: Socket;
	received = '';
	isEnded = false;
	error: string | undefined;
	sentAt = Number.POSITIVE_INFINITY;

	constructor(
		public id: string,
		port = host.ports.callers!,
	) {
		callers.add(this);
		// Only an explicit end closes the sending side, as callers do that still send a body.
		this.socket = connect({
			port,
			host: '127.0.0.1',
			allowHalfOpen: true,
		});
		this.socket.on('error', (error: NodeJS.ErrnoException) => {
			this.error = error.code;
		});
		this.socket.on('data', (chunk: Buffer) => {
			this.received += chunk.toString('latin1');
		});
		this.socket.on('end', () => {
			this.isEnded = true;
		});
	}

	/** Sends a request. Only the first part of its body is sent when it is longer than the body. */
	send(
		path: string,
		options: {
			readonly events?: number;
			readonly body?: string;
			readonly length?: number;
		} = {},
	): void {
		const {events = 0, body = '', length = body.length} = options;
		this.sentAt = performance.now();
		this.socket.write(
			[
				`POST ${path} HTTP/1.1`,
				'Host: a.example',
				`Request-Id: ${this.id}`,
				'Deadline-Ms: 15000',
				`Token-Count: 10,${events * tokensPerEvent}`,
				`Content-Length: ${length}`,
				'',
				body,
			].join('\r\n'),
		);
	}

	/** Sends a request with a body in chunks. The last one follows after the given time. */
	sendSlowly(path: string, events: number, milliseconds: number): void {
		this.socket.write(
			[
				`POST ${path} HTTP/1.1`,
				'Host: a.example',
				`Request-Id: ${this.id}`,
				'Deadline-Ms: 15000',
				`Token-Count: 10,${events * tokensPerEvent}`,
				'Transfer-Encoding: chunked',
				'',
				'5\r\nbegin\r\n',
			].join('\r\n'),
		);
		setTimeout(() => {
			this.sentAt = performance.now();
			this.socket.write('3\r\nend\r\n0\r\n\r\n');
		}, milliseconds);
	}

	get status(): number | undefined {
		return this.received === ''
			? undefined
			: Number(this.received.split(' ')[1]);
	}

	/** True when the answer is complete according to its framing. */
	get isWhole(): boolean {
		const headEnd = this.received.indexOf('\r\n\r\n');
		if (headEnd === -1) {
			return false;
		}

		const length = /content-length: (\d+)/i.exec(this.received)?.[1];
		return length === undefined
			? this.received.endsWith('0\r\n\r\n')
			: this.received.length - headEnd - 4 === Number(length);
	}

	async waitForEnd(): Promise<void> {
		await waitUntil(
			`the answer to ${this.id} ends`,
			() => this.isWhole || this.isEnded || this.socket.closed,
		);
	}
}

/** Number of events and slowdown of each stream, by the id of its request. */
const plans = new Map<
	string,
	{
		events: number;
		slowdown: number;
		/** Event before which the worker falls silent, 0 for none. */
		silentAt?: number;
		silentMilliseconds?: number;
	}
>();
/** Times at which workers sent the ends of answers. */
const endedAt = new Map<string, number>();

function stream(request: WorkerRequest): void {
	const {headers, socket} = request;
	const id = headers.get('request-id') ?? '';
	const {
		events,
		slowdown,
		silentAt = 0,
		silentMilliseconds = 0,
	} = plans.get(id) ?? {events: 5, slowdown: 1};
	if (request.path.startsWith('/once/')) {
		setTimeout(() => {
			endedAt.set(id, performance.now());
			socket.write(completeResponse(id, 'done'));
		}, gapMilliseconds * slowdown);
		return;
	}

	socket.write(
		responseHead('200 OK', {
			'Request-Id': id,
			'Response-Sig': 'signed',
			'Content-Type': 'text/event-stream',
			'Transfer-Encoding': 'chunked',
		}),
	);
	let sent = 0;
	const sendNext = () => {
		if (socket.destroyed) {
			return;
		}

		sent++;
		const event = formatEvent(sent);
		socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
		if (sent === events) {
			endedAt.set(id, performance.now());
			socket.write('0\r\n\r\n');
			return;
		}

		setTimeout(
			sendNext,
			gapMilliseconds * slowdown +
				(sent + 1 === silentAt ? silentMilliseconds : 0),
		);
	};

	setTimeout(sendNext, gapMilliseconds * slowdown);
}

/** Draws a number of events: 47 on average, with a heavy tail. */
function drawEvents(): number {
	return Math.min(
		largestEvents,
		Math.max(2, Math.round(-47 * Math.log(1 - random.next()))),
	);
}

const largeBody = 'x'.repeat(4_000_000);

let documentVersion = 0;

function putConfiguration(): void {
	documentVersion++;
	const route = (name: string, change: Record<string, unknown>) => ({
		name,
		host: 'a.example',
		prefix: `/${name}/`,
		timeout_ms: 15_000,
		goal_ms: 2000,
		service: 's',
		attempts: 1,
		...change,
	});
	store.put('keyed.op', 'config', {
		version: documentVersion,
		routes: [
			route('once', {kind: 'non_idempotent'}),
			route('summary', {kind: 'stream'}),
			route('guide', {kind: 'stream', attempts: 2, allow_resume: true}),
		],
		services: [{name: 's', max_conns: 2000}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 100_000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
}

function listWorker(
	id: string,
	address: string,
	state: 'ready' | 'draining',
	sequence: number,
): void {
	store.put('keyed.servers', id, {
		service: 's',
		addr: address,
		zone: 'z',
		slots: 500,
		state,
		born: 1,
		seq: sequence,
	});
}

before(async () => {
	storeAddress = await store.start();
	putConfiguration();
	workerAddress = await worker.start();
});

beforeEach(async () => {
	worker.behaviour = stream;
	listWorker(worker.id, workerAddress, 'ready', 1);
	hostCount++;
	host = await startForwardingHost(`h${hostCount}`, {
		store: storeAddress,
		targets: {drainMilliseconds: 2000},
	});
	for (const expected of ['forwarding-ready', 'target-listed']) {
		await host.process.json(expected, ({message}) => message === expected);
	}
});

afterEach(() => {
	host.process.child.kill('SIGKILL');
	for (const {socket} of callers) {
		socket.destroy();
	}

	callers.clear();
});

after(() => {
	store.stop();
	worker.stop();
});

let lastCaller = 0;

function createCaller(): Caller {
	lastCaller++;
	return new Caller(`c${lastCaller}`);
}

function hasReachedWorker({id}: Caller): boolean {
	return worker.requests.some(({headers}) => headers.get('request-id') === id);
}

async function waitForWorker(caller: Caller): Promise<void> {
	await waitUntil(`${caller.id} reaches the worker`, () =>
		hasReachedWorker(caller),
	);
}

/** Sends SIGTERM and returns its time. */
async function stopHost(): Promise<number> {
	const signalledAt = performance.now();
	host.process.signal('SIGTERM');
	await host.process.json(
		'the stop',
		({message}) => message === 'forwarding-stopping',
	);
	return signalledAt;
}

async function waitFor(milliseconds: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
}

// Guards against a host that has just started, knows a few short answers, and begins a long stream that the end of its stop cuts.
test('a stream that is sent late in the stop of a young host is whole or refused as not run', async (context) => {
	for (let count = 0; count < 3; count++) {
		const caller = createCaller();
		caller.send('/summary/x', {events: 5});
		await caller.waitForEnd();
		assert.ok(caller.isWhole);
		caller.socket.destroy();
	}

	// The process goes on until this stream ends.
	const open = createCaller();
	plans.set(open.id, {events: 100, slowdown: 1});
	open.send('/summary/x', {events: 100});
	await waitForWorker(open);
	const signalledAt = await stopHost();
	await waitFor(2600 - (performance.now() - signalledAt));
	// These connections are accepted before the host stops listening and have had no request, so they are not idle.
	const lastCallers = Array.from({length: 40}, () => createCaller());
	for (const [index, caller] of lastCallers.entries()) {
		const at = 2700 + index * 20;
		await waitFor(at - (performance.now() - signalledAt));
		const events = drawEvents();
		const slowdown = random.next() < 0.25 ? 2 + 6 * random.next() : 1;
		plans.set(caller.id, {events, slowdown});
		// Every second body arrives in parts, the last one some tenths of a second after the head.
		if (index % 2 === 0) {
			caller.send('/summary/x', {events});
		} else {
			caller.sendSlowly('/summary/x', events, 300 * random.next());
		}
	}

	await host.process.waitForExit();
	await Promise.all(lastCallers.map(async (caller) => caller.waitForEnd()));
	const late = lastCallers.filter(
		({sentAt}) => sentAt - signalledAt > lateMilliseconds,
	);
	const cut = lastCallers.filter(
		(caller) => hasReachedWorker(caller) && !caller.isWhole,
	);
	const refused = lastCallers.filter(({status}) => status === 503);
	context.diagnostic(
		JSON.stringify({
			seed,
			sent: lastCallers.length,
			late: late.length,
			begun: lastCallers.filter((caller) => hasReachedWorker(caller)).length,
			cut: cut.length,
			cutLate: cut.filter((caller) => late.includes(caller)).length,
			refused: refused.length,
		}),
	);
	assert.ok(open.isWhole);
	assert.ok(late.length > 10);
	assert.equal(
		lastCallers.filter(({status}) => status === undefined).length,
		0,
	);
	assert.deepEqual(
		cut.filter((caller) => late.includes(caller)).map(({id}) => id),
		[],
	);
	for (const caller of refused) {
		assert.ok(!hasReachedWorker(caller));
		assert.match(caller.received, /\r\nretry-after/i);
	}
});

// Guards against a late stream that is judged by the pace before its target became slower. That its caller may take it up elsewhere does not make it whole.
test('a stream that may be resumed and is sent late in a stop is whole or refused as not run', async () => {
	for (let count = 0; count < 10; count++) {
		const caller = createCaller();
		caller.send('/guide/x', {events: 5});
		await caller.waitForEnd();
		assert.ok(caller.isWhole);
		caller.socket.destroy();
	}

	const open = createCaller();
	plans.set(open.id, {events: 100, slowdown: 1});
	open.send('/guide/x', {events: 100});
	await waitForWorker(open);
	const signalledAt = await stopHost();
	await waitFor(2600 - (performance.now() - signalledAt));
	const lastCallers = Array.from({length: 8}, () => createCaller());
	for (const [index, caller] of lastCallers.entries()) {
		await waitFor(3050 + index * 30 - (performance.now() - signalledAt));
		plans.set(caller.id, {events: 10, slowdown: 10});
		caller.send('/guide/x', {events: 10});
	}

	await host.process.waitForExit();
	await Promise.all(lastCallers.map(async (caller) => caller.waitForEnd()));
	assert.ok(open.isWhole);
	assert.deepEqual(
		lastCallers
			.filter((caller) => hasReachedWorker(caller) && !caller.isWhole)
			.map(({id}) => id),
		[],
	);
	for (const caller of lastCallers.filter((each) => !hasReachedWorker(each))) {
		assert.equal(caller.status, 503);
	}
});

// Guards against an answer whose last bytes have not left the process when its connection is closed as idle, or when the process ends.
test('an answer that its caller reads slowly is whole', async () => {
	worker.behaviour = ({headers, socket}) => {
		socket.write(completeResponse(headers.get('request-id') ?? '', largeBody));
	};

	const caller = createCaller();
	caller.socket.pause();
	caller.send('/once/x');
	await waitForWorker(caller);
	await waitFor(200);
	const signalledAt = await stopHost();
	await waitFor(4000 - (performance.now() - signalledAt));
	caller.socket.resume();
	await caller.waitForEnd();
	assert.ok(caller.isWhole, `${caller.received.length} bytes, ${caller.error}`);
	assert.equal(await host.process.waitForExit(), 0);
});

// Guards against the same for the answers that this host gives to other hosts, which forwarded the requests of their callers.
test('an answer that another host reads slowly is whole', async () => {
	worker.behaviour = ({headers, socket}) => {
		socket.write(completeResponse(headers.get('request-id') ?? '', largeBody));
	};

	const connections = new PeerConnections();
	const {peers} = host.ports;
	const messages = connections
		.get(`127.0.0.1:${peers}`)
		.forward({
			host: 'other',
			method: 'POST',
			requestTarget: '/once/x',
			rawHeaders: ['Host', 'a.example', 'Request-Id', 'forwarded'],
			pool: 's',
			remainingMilliseconds: 15_000,
			maximumExecutions: 1,
		})
		[Symbol.asyncIterator]();
	const cases: Array<string | undefined> = [];
	let bytes = 0;
	const read = async () => {
		const {value, done} = await messages.next();
		if (done === true) {
			return false;
		}

		cases.push(value.message.case);
		bytes +=
			value.message.case === 'data' ? value.message.value.bytes.length : 0;
		return true;
	};

	while (cases.at(-1) !== 'head') {
		assert.ok(await read());
	}

	const signalledAt = await stopHost();
	await waitFor(4000 - (performance.now() - signalledAt));
	while (await read()) {
		// Reads to the end.
	}

	connections.dispose();
	assert.equal(bytes, largeBody.length);
	assert.equal(cases.at(-1), 'end');
	assert.equal(await host.process.waitForExit(), 0);
});

// Guards against a reset of a connection on which the caller still sends, which can lose the answer before it is read.
test('a caller that still sends its body at the end of the stop reads the refusal and the end of the connection', async () => {
	const caller = createCaller();
	caller.send('/once/x', {body: 'begin', length: 50_000});
	let endedAt: number | undefined;
	const timer = setInterval(() => {
		if (caller.isEnded) {
			endedAt ??= performance.now();
		}

		// What a caller sends before it learns of the end is still on its way then.
		if (endedAt === undefined || performance.now() - endedAt < 100) {
			caller.socket.write('more');
		} else {
			clearInterval(timer);
			caller.socket.end();
		}
	}, 1);
	try {
		await stopHost();
		await waitUntil('the connection ends', () => caller.socket.closed);
	} finally {
		clearInterval(timer);
	}

	assert.equal(caller.status, 503);
	assert.ok(caller.isWhole);
	assert.equal(caller.error, undefined);
	assert.equal(await host.process.waitForExit(), 0);
});

// Guards against cut requests that no log line names, so that nobody can tell why they were cut.
test('the log names each request that the end of the stop cuts', async () => {
	const caller = createCaller();
	plans.set(caller.id, {events: 100_000, slowdown: 1});
	caller.send('/summary/x', {events: 100});
	await waitForWorker(caller);
	await stopHost();
	await host.process.waitForExit();
	const lines = host.process.lines
		.filter((line) => line.startsWith('{'))
		.map((line) => JSON.parse(line) as Record<string, any>);
	const cut = lines.find(({message}) => message === 'request-cut-by-stop');
	assert.equal(cut?.fields.request, caller.id);
	assert.match(String(cut?.fields.key), new RegExp(`^${caller.id}#`));
	assert.equal(cut?.fields.route, 'summary');
	assert.deepEqual(cut?.fields.targets, ['i-1']);
	assert.equal(cut?.fields.isTargetAtWork, true);
	assert.ok(cut?.fields.events > 50);
	const stopped = lines.find(({message}) => message === 'forwarding-stopped');
	assert.equal(stopped?.fields.cutRequests, 1);
	assert.ok(stopped?.fields.signalledAt);
});

/** What became of one request of the mix. */
type Outcome = {
	readonly id: string;
	readonly host: ForwardingTestHost;
	readonly sentAt: number;
	readonly status: number | undefined;
	readonly isWhole: boolean;
};

/** Sends requests to a host one after the other, on a connection that is kept as long as the host keeps it. */
async function callUntilExit(
	target: ForwardingTestHost,
	isKept: boolean,
	outcomes: Outcome[],
): Promise<void> {
	let caller: Caller | undefined;
	while (target.process.exitCode === undefined) {
		lastCaller++;
		const id = `c${lastCaller}`;
		if (!caller || !isKept || caller.socket.destroyed || caller.isEnded) {
			caller?.socket.destroy();
			caller = new Caller(id, target.ports.callers);
		}

		caller.id = id;
		caller.received = '';
		const events = drawEvents();
		plans.set(id, {
			events,
			slowdown: random.next() < 0.25 ? 2 + 6 * random.next() : 1,
			silentAt: random.next() < 0.15 ? Math.ceil(random.next() * events) : 0,
			silentMilliseconds: 2800 * random.next(),
		});
		const path = random.next() < 0.2 ? '/once/x' : '/summary/x';
		caller.send(path, {events});
		const {sentAt} = caller;
		while (
			!caller.isWhole &&
			!caller.isEnded &&
			!caller.socket.destroyed &&
			performance.now() - sentAt < 20_000
		) {
			await waitFor(5);
		}

		outcomes.push({
			id,
			host: target,
			sentAt,
			status: caller.status,
			isWhole: caller.isWhole,
		});
		if (/\r\nconnection: close/i.test(caller.received)) {
			caller.socket.destroy();
		}

		await waitFor(50 * random.next());
	}
}

// Guards against answers that are cut because something else changes while a host stops.
test('two hosts that stop at once cut no answer while targets leave and the configuration changes', async (context) => {
	const second = await startForwardingHost(`h${hostCount}-2`, {
		store: storeAddress,
		targets: {drainMilliseconds: 2000},
	});
	await second.process.json(
		'the second host is ready',
		({message}) => message === 'forwarding-ready',
	);
	const leaving = new StandInWorker('i-2');
	leaving.behaviour = stream;
	const leavingAddress = await leaving.start();
	listWorker(leaving.id, leavingAddress, 'ready', 1);
	const outcomes: Outcome[] = [];
	const calls = [host, second].flatMap((target) =>
		Array.from({length: 10}, async (_, index) =>
			callUntilExit(target, index % 2 === 0, outcomes),
		),
	);
	await waitFor(4000);
	const signalledAt = await stopHost();
	second.process.signal('SIGTERM');
	await waitFor(500);
	listWorker(leaving.id, leavingAddress, 'draining', 2);
	await waitFor(500);
	putConfiguration();
	await waitFor(1000);
	store.put('keyed.servers', leaving.id, undefined);
	await Promise.all(calls);
	const reached = new Set(
		[...worker.requests, ...leaving.requests].map(({headers}) =>
			headers.get('request-id'),
		),
	);
	leaving.stop();
	store.put('keyed.servers', leaving.id, undefined);
	const cut = outcomes.filter(({id, isWhole}) => reached.has(id) && !isWhole);
	const counted = cut.filter(
		({id, sentAt}) =>
			sentAt - signalledAt > lateMilliseconds ||
			(endedAt.get(id) ?? Number.POSITIVE_INFINITY) - signalledAt <
				graceMilliseconds * (5 / 6),
	);
	const during = outcomes.filter(({sentAt}) => sentAt > signalledAt);
	context.diagnostic(
		JSON.stringify({
			seed,
			sent: outcomes.length,
			sentInStop: during.length,
			begunInStop: during.filter(({id}) => reached.has(id)).length,
			refusedInStop: during.filter(({status}) => status === 503).length,
			cut: cut.length,
			counted: counted.length,
		}),
	);
	assert.ok(outcomes.some(({isWhole, status}) => isWhole && status === 200));
	assert.deepEqual(counted, []);
	assert.equal(await host.process.waitForExit(), 0);
	assert.equal(await second.process.waitForExit(), 0);
});

// Guards against a stop that counts from when the process notices the signal, and is killed before it has answered.
test('a host that was frozen when the signal came ends within the time of its stop', async () => {
	const caller = createCaller();
	plans.set(caller.id, {events: 100_000, slowdown: 1});
	caller.send('/summary/x', {events: 100});
	await waitForWorker(caller);
	// The host measures from the last run of a timer, which is up to 250 ms old when the freeze begins.
	await waitFor(1000);
	host.process.signal('SIGSTOP');
	await waitFor(100);
	const signalledAt = performance.now();
	host.process.signal('SIGTERM');
	await waitFor(2000);
	host.process.signal('SIGCONT');
	assert.equal(await host.process.waitForExit(), 0);
	const milliseconds = performance.now() - signalledAt;
	assert.ok(milliseconds < graceMilliseconds, `${milliseconds} ms`);
});

// Guards against a host that ends at once, without serving until the load balancer has noticed, because it takes the whole of a long freeze for the age of the signal.
test('a host that was frozen for longer than its stop period still serves when the signal comes after the freeze', async () => {
	// A stopping host begins only what it knows to end in time.
	for (let count = 0; count < 10; count++) {
		const known = createCaller();
		known.send('/once/x');
		await known.waitForEnd();
		assert.equal(known.status, 200);
	}

	await waitFor(1000);
	host.process.signal('SIGSTOP');
	await waitFor(graceMilliseconds + 500);
	host.process.signal('SIGCONT');
	const signalledAt = await stopHost();
	await waitFor(1000 - (performance.now() - signalledAt));
	const caller = createCaller();
	caller.send('/once/x');
	await caller.waitForEnd();
	assert.equal(caller.status, 200);
	assert.equal(await host.process.waitForExit(), 0);
});
