import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {after, afterEach, before, beforeEach, test} from 'node:test';
import {PeerConnections} from '../../src/services/forwarding/peers/peer-connections.js';
import {DelayedPath, type PathQuality} from '../delayed-path.js';
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

/** Time from SIGTERM until the platform kills a host. */
const graceMilliseconds = 8000;
/** Time between two events of a stream. */
const gapMilliseconds = 40;

const store = new StandInStore();
const worker = new StandInWorker('i-1');
let storeAddress = '';
let host: ForwardingTestHost;
let hostCount = 0;
let path: DelayedPath | undefined;
const callers = new Set<Caller>();

/** A caller that reads its answers and, unless it holds its connection open, closes it after the host has. */
class Caller {
	readonly socket: Socket;
	received = '';
	isEnded = false;

	constructor(
		readonly id: string,
		port: number,
		holdsOpen = false,
	) {
		callers.add(this);
		this.socket = connect({port, host: '127.0.0.1', allowHalfOpen: holdsOpen});
		this.socket.on('error', () => undefined);
		this.socket.on('data', (chunk: Buffer) => {
			this.received += chunk.toString('latin1');
		});
		this.socket.on('end', () => {
			this.isEnded = true;
		});
	}

	send(target: string, id = this.id): void {
		this.socket.write(
			[
				`POST ${target} HTTP/1.1`,
				'Host: a.example',
				`Request-Id: ${id}`,
				'Deadline-Ms: 15000',
				'Content-Length: 1',
				'',
				'b',
			].join('\r\n'),
		);
	}

	/** True when the last chunk or all bytes of the answer have arrived. */
	get isWhole(): boolean {
		const head = this.received.indexOf('\r\n\r\n');
		const length = /content-length: (\d+)/i.exec(this.received)?.[1];
		return length === undefined
			? this.received.endsWith('0\r\n\r\n')
			: head !== -1 && this.received.length - head - 4 >= Number(length);
	}

	async waitForEnd(): Promise<void> {
		await waitUntil(
			`the connection of ${this.id} ends`,
			() => this.isEnded || this.socket.closed,
		);
	}
}

let events = 10;

function answer({headers, socket, path: target}: WorkerRequest): void {
	const id = headers.get('request-id') ?? '';
	if (!target.startsWith('/stream/')) {
		socket.write(completeResponse(id, 'done'));
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
	const timer = setInterval(() => {
		sent++;
		const event = formatEvent(sent);
		socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
		if (sent >= events) {
			clearInterval(timer);
			socket.write('0\r\n\r\n');
		}
	}, gapMilliseconds);
}

before(async () => {
	storeAddress = await store.start();
	const route = (name: string, kind: Record<string, unknown>) => ({
		name,
		host: 'a.example',
		prefix: `/${name}/`,
		timeout_ms: 15_000,
		goal_ms: 2000,
		service: 's',
		attempts: 1,
		...kind,
	});
	store.put('keyed.op', 'config', {
		version: 1,
		routes: [
			route('stream', {kind: 'stream'}),
			route('once', {kind: 'non_idempotent'}),
		],
		services: [{name: 's', max_conns: 2000}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 100_000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	store.put('keyed.servers', worker.id, {
		service: 's',
		addr: await worker.start(),
		zone: 'z',
		slots: 500,
		state: 'ready',
		born: 1,
		seq: 1,
	});
	worker.behaviour = answer;
});

beforeEach(async () => {
	events = 10;
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
	path?.stop();
	path = undefined;
});

after(() => {
	store.stop();
	worker.stop();
});

/** Starts a path to the host that ends with its process, and returns its port. */
async function startPath(
	quality: PathQuality,
	port = host.ports.callers!,
): Promise<number> {
	const started = new DelayedPath(port, () => quality);
	path = started;
	host.process.child.once('exit', () => {
		started.cut();
	});
	return started.start();
}

async function hasReachedWorker(id: string): Promise<void> {
	await waitUntil(`${id} reaches the worker`, () =>
		worker.requests.some(({headers}) => headers.get('request-id') === id),
	);
}

async function waitFor(milliseconds: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
}

async function stopsAfterLastAnswer(delayMilliseconds: number): Promise<void> {
	// Ends after new requests are refused, so that the process waits for nothing else.
	events = 3400 / gapMilliseconds;
	const caller = new Caller('last', await startPath({delayMilliseconds}));
	caller.send('/stream/x', `stream-${delayMilliseconds}`);
	await hasReachedWorker(`stream-${delayMilliseconds}`);
	host.process.signal('SIGTERM');
	await caller.waitForEnd();
	assert.ok(caller.isWhole, caller.received.slice(-100));
	assert.equal(await host.process.waitForExit(), 0);
}

// Guards against the loss of the last answer of a stop: its bytes have left the process, which then ends and takes the network with it.
for (const milliseconds of [0, 80, 150, 300]) {
	test(`a stopping host ends after its last answer has arrived over a path of ${milliseconds} ms`, async () =>
		stopsAfterLastAnswer(milliseconds));
}

// Guards against the same for an answer whose head announces the end of the connection, which was closed at once.
test('an answer that begins during the stop arrives over a slow path', async () => {
	const port = await startPath({
		delayMilliseconds: 300,
		bytesPerSecond: 875_000,
		maximumBytesUnderWay: 16_384,
	});
	// A host begins such a stream only if it knows how long others took.
	for (let index = 0; index < 3; index++) {
		const earlier = new Caller(`earlier-${index}`, port);
		earlier.send('/stream/x');
		await waitUntil('a stream ends', () => earlier.isWhole);
		earlier.socket.destroy();
	}

	const caller = new Caller('late', port);
	await waitFor(700);
	host.process.signal('SIGTERM');
	await host.process.json(
		'the stop',
		({message}) => message === 'forwarding-stopping',
	);
	await waitFor(1800);
	caller.send('/stream/x', 'begun-late');
	await hasReachedWorker('begun-late');
	await caller.waitForEnd();
	assert.ok(caller.isWhole, caller.received.slice(-100));
	assert.equal(await host.process.waitForExit(), 0);
});

// Guards against the same for an answer to another host, which forwarded the request of its caller.
test('an answer to another host arrives before the process ends', async () => {
	const port = await startPath({delayMilliseconds: 300}, host.ports.peers);
	events = 3400 / gapMilliseconds;
	const connections = new PeerConnections();
	const cases: Array<string | undefined> = [];
	const read = async () => {
		const messages = connections.get(`127.0.0.1:${port}`).forward({
			host: 'other',
			method: 'POST',
			requestTarget: '/stream/x',
			rawHeaders: ['Host', 'a.example', 'Request-Id', 'forwarded'],
			pool: 's',
			remainingMilliseconds: 15_000,
			maximumExecutions: 1,
		});
		for await (const {message} of messages) {
			cases.push(message.case);
		}
	};

	const reading = read();
	await hasReachedWorker('forwarded');
	host.process.signal('SIGTERM');
	await reading;
	connections.dispose();
	assert.equal(cases.at(-1), 'end');
	assert.equal(await host.process.waitForExit(), 0);
});

// Guards against a stop that lasts to its limit because callers keep connections that carry nothing any more.
test('a stopping host does not wait for callers that keep idle connections open', async () => {
	const idle = Array.from(
		{length: 5},
		(_, index) => new Caller(`idle-${index}`, host.ports.callers!, true),
	);
	for (const caller of idle) {
		caller.send('/once/x');
	}

	await waitUntil('the answers arrive', () =>
		idle.every(({isWhole}) => isWhole),
	);
	await waitFor(1500);
	const signalledAt = performance.now();
	host.process.signal('SIGTERM');
	assert.equal(await host.process.waitForExit(), 0);
	const milliseconds = performance.now() - signalledAt;
	assert.ok(
		milliseconds < graceMilliseconds / 2,
		`${milliseconds} ms after SIGTERM`,
	);
});

// Guards against an end of the process that takes the last answer along when Ctrl-C is pressed twice.
test('an answer that is complete before a second SIGINT arrives', async () => {
	const caller = new Caller(
		'interrupted',
		await startPath({delayMilliseconds: 300}),
	);
	caller.send('/once/x', 'before-sigint');
	await hasReachedWorker('before-sigint');
	await waitFor(50);
	host.process.signal('SIGINT');
	await host.process.json(
		'the stop',
		({message}) => message === 'forwarding-stopping',
	);
	host.process.signal('SIGINT');
	await host.process.waitForExit();
	await caller.waitForEnd();
	assert.ok(caller.isWhole, caller.received);
});
