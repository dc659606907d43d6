import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {after, afterEach, before, beforeEach, test} from 'node:test';
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

const store = new StandInStore();
const worker = new StandInWorker('i-1');
let workerAddress = '';
let storeAddress = '';
let host: ForwardingTestHost;
let hostCount = 0;

/** Time between two events of a worker that is not slow. */
const gapMilliseconds = 60;
/** Tokens that an event holds. */
const tokensPerEvent = 4;
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

function stream(request: WorkerRequest): void {
	const {headers, socket} = request;
	const id = headers.get('request-id') ?? '';
	const {
		events,
		slowdown,
		silentAt = 0,
		silentMilliseconds = 0,
	} = plans.get(id) ?? {events: 5, slowdown: 1};
	if (!request.path.startsWith('/summary/')) {
		setTimeout(() => {
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
