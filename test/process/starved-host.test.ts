import assert from 'node:assert/strict';
import {setMaxListeners} from 'node:events';
import {readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {startForwardingHost} from './forwarding-host.js';
import {type TestProcess, waitUntil} from './processes.js';
import {callServed, ServedFleet, statusOf} from './served-fleet.js';

/** Processor time that the host gets, as on the smallest machine. */
const processorShare = 0.12;
/** Processor time that it may use at once after it was idle. */
const burstMilliseconds = 6;
/** Callers that keep their connections and send their next request at once. */
const keptCallers = 100;
const newConnectionIntervalMilliseconds = 110;
const loadMilliseconds = 16_000;
/** Time within which a host that says ready takes or refuses a new connection. */
const takenMilliseconds = 4000;
/** Share of the time for which a host may be not ready. */
const maximumNotReadyShare = 1 / 8;

/** A connection that was opened under load, and the time until the host sent something on it or closed it. */
type Attempt = {readonly at: number; takenAfter: number};

const fleet = new ServedFleet();
let store = '';
let lastRequest = 0;

before(async () => {
	store = await fleet.start();
});

after(() => {
	fleet.stop();
});

function writeRequest(socket: Socket): void {
	lastRequest++;
	socket.write(
		`GET /x/y HTTP/1.1\r\nHost: a.example\r\nRequest-Id: s-${lastRequest}\r\nDeadline-Ms: 5000\r\n\r\n`,
	);
}

/** Stops a process while its main thread has used more than its share. Counts what it has used, so that a busy machine does not take more from it. Returns a function that ends this. */
function limitProcessor(host: TestProcess): () => void {
	const usedMilliseconds = () =>
		Number(
			readFileSync(`/proc/${host.child.pid}/schedstat`, 'utf8').split(' ')[0],
		) / 1_000_000;
	let allowed = usedMilliseconds();
	let checkedAt = performance.now();
	const timer = setInterval(() => {
		const now = performance.now();
		const used = usedMilliseconds();
		allowed = Math.min(
			used + burstMilliseconds,
			allowed + (now - checkedAt) * processorShare,
		);
		checkedAt = now;
		host.signal(used > allowed ? 'SIGSTOP' : 'SIGCONT');
	}, 2);
	return () => {
		clearInterval(timer);
		host.signal('SIGCONT');
	};
}

/** A caller that repeats its request on one connection for as long as the host lets it, and comes back when a refusal says. */
function keepCalling(port: number, signal: AbortSignal): void {
	const socket = connect(port, '127.0.0.1', () => {
		writeRequest(socket);
	});
	let pauseMilliseconds = 0;
	socket.on('data', (data: Buffer) => {
		const refusal = /^http\/1.1 503[^]*?retry-after: ([\d.]+)/i.exec(
			data.toString('latin1'),
		);
		pauseMilliseconds = Number(refusal?.[1] ?? 0) * 1000;
		setTimeout(() => {
			if (socket.writable) {
				writeRequest(socket);
			}
		}, pauseMilliseconds);
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		if (!signal.aborted) {
			setTimeout(() => {
				keepCalling(port, signal);
			}, pauseMilliseconds + 10);
		}
	});
	signal.addEventListener('abort', () => {
		socket.destroy();
	});
}

function openConnection(port: number): Attempt {
	const attempt = {at: performance.now(), takenAfter: Number.POSITIVE_INFINITY};
	const socket = connect(port, '127.0.0.1', () => {
		writeRequest(socket);
	});
	const take = () => {
		attempt.takenAfter = Math.min(
			attempt.takenAfter,
			performance.now() - attempt.at,
		);
		socket.destroy();
	};

	socket.once('data', take);
	socket.once('close', take);
	socket.on('error', () => undefined);
	return attempt;
}

// Guards against a host that says ready while new connections wait in its backlog: Node.js accepts one connection a turn
// of the event loop, and the work of open requests makes the turns long.
test('a host without processor time takes or refuses each new connection while it says ready', async () => {
	const host = await startForwardingHost('starved', {
		store,
		machine: {processorShare},
	});
	const ended = new AbortController();
	setMaxListeners(0, ended.signal);
	const attempts: Attempt[] = [];
	const notReadyAt: number[] = [];
	let readinessAnswers = 0;
	const askReadiness = async () => {
		const askedAt = performance.now();
		const status = await statusOf(host.ports.readiness!, '/ready');
		readinessAnswers++;
		if (status === 503) {
			notReadyAt.push(askedAt);
		}
	};

	const returnProcessor = await waitUntil(
		'the host serves',
		async () => (await callServed(host.ports.callers!)) === 200,
	).then(() => limitProcessor(host.process));
	try {
		for (let each = 0; each < keptCallers; each++) {
			keepCalling(host.ports.callers!, ended.signal);
		}

		const opening = setInterval(() => {
			attempts.push(openConnection(host.ports.callers!));
		}, newConnectionIntervalMilliseconds);
		const asking = setInterval(() => {
			void askReadiness();
		}, 1000);
		await delay(loadMilliseconds);
		clearInterval(opening);
		clearInterval(asking);
		await delay(takenMilliseconds);
		const untaken = attempts.filter(
			({at, takenAfter}) =>
				takenAfter > takenMilliseconds &&
				!notReadyAt.some(
					(notReady) =>
						notReady > at - 1000 && notReady < at + takenMilliseconds,
				),
		);
		const summary = {
			attempts: attempts.length,
			untaken: untaken.length,
			longest: Math.max(...attempts.map(({takenAfter}) => takenAfter)),
			readinessAnswers,
			notReady: notReadyAt.length,
		};
		assert.ok(attempts.length > 50, JSON.stringify(summary));
		assert.equal(untaken.length, 0, JSON.stringify(summary));
		assert.ok(
			notReadyAt.length <= (loadMilliseconds / 1000) * maximumNotReadyShare,
			JSON.stringify(summary),
		);
	} finally {
		returnProcessor();
		ended.abort();
		await host.process.kill();
	}
});
