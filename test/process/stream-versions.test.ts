import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {
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
const hosts: ForwardingTestHost[] = [];
/** Two workers of each of two software versions. */
const workers = ['v1', 'v1', 'v2', 'v2'].map((version, index) => ({
	worker: new StandInWorker(`i-${index}`),
	version,
}));
const streamCount = 24;
/** Events that each stream has at its first worker. */
const brokenAfter = 3;

/** A stream as its caller knows it. */
type CallerStream = {
	readonly id: string;
	status: number;
	/** Id of the last event received. */
	lastEventId: number;
	/** Versions of the workers that sent the events. */
	readonly versions: Set<string>;
	isEnded: boolean;
};

/** Sends the head and the events up to a last one, each with the version of the worker, and leaves the stream open. */
function sendEvents(
	version: string,
	lastEvent: number,
	end: (received: WorkerRequest) => void,
): (received: WorkerRequest) => void {
	return (received) => {
		const {headers, socket} = received;
		const from = Number(headers.get('last-event-id') ?? 0) + 1;
		socket.write(
			responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Content-Type': 'text/event-stream',
				'Transfer-Encoding': 'chunked',
			}),
		);
		for (let id = from; id <= lastEvent; id++) {
			const text = formatEvent(id).replace('piece', version);
			socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
		}

		end(received);
	};
}

/** Sends a request and follows its stream until it ends or breaks. */
async function follow(
	port: number,
	id: string,
	headers: Readonly<Record<string, string>> = {},
): Promise<CallerStream> {
	const stream: CallerStream = {
		id,
		status: 0,
		lastEventId: Number(headers['last-event-id'] ?? 0),
		versions: new Set(),
		isEnded: false,
	};
	const read = async () => {
		try {
			const response = await request(`http://127.0.0.1:${port}/x/y`, {
				headers: {host: 'a.example', 'request-id': id, ...headers},
			});
			stream.status = response.statusCode;
			let text = '';
			for await (const chunk of response.body) {
				text += String(chunk);
				for (const match of text.matchAll(/id: (\d+)\ndata: (\w+)/g)) {
					stream.lastEventId = Math.max(stream.lastEventId, Number(match[1]));
					stream.versions.add(match[2]!);
				}
			}
		} catch {
			// The connection broke.
		}

		stream.isEnded = true;
	};

	void read();
	return stream;
}

before(async () => {
	const storeAddress = await store.start();
	store.put('keyed.op', 'config', {
		version: 1,
		routes: [
			{
				name: 'r',
				host: 'a.example',
				prefix: '/x/',
				kind: 'stream',
				timeout_ms: 20_000,
				goal_ms: 300,
				service: 's',
				attempts: 2,
				allow_resume: true,
			},
		],
		services: [{name: 's', max_conns: 400}],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	});
	for (const {worker, version} of workers) {
		const address = await worker.start();
		store.put('keyed.servers', worker.id, {
			service: 's',
			addr: address,
			zone: 'z',
			slots: 64,
			state: 'ready',
			version,
			born: 1,
			seq: 1,
		});
	}

	hosts.push(
		...(await Promise.all(
			['h1', 'h2', 'h3'].map(async (name) =>
				startForwardingHost(name, {store: storeAddress}),
			),
		)),
	);
	await Promise.all(
		hosts.map(async ({process: host}) =>
			host.json('readiness', ({message}) => message === 'forwarding-ready'),
		),
	);
	await waitUntil('every host knows the size of the fleet', async () => {
		const texts = await Promise.all(
			hosts.map(async ({ports}) => {
				const response = await request(
					`http://127.0.0.1:${ports.metrics}/metrics`,
				);
				return response.body.text();
			}),
		);
		return texts.every((text) => text.includes('daisylever_hosts 3\n'));
	});
});

after(() => {
	for (const {process: host} of hosts) {
		host.child.kill('SIGKILL');
	}

	store.stop();
	for (const {worker} of workers) {
		worker.stop();
	}
});

async function startStreams(
	host: ForwardingTestHost,
	prefix: string,
): Promise<CallerStream[]> {
	const streams = await Promise.all(
		Array.from({length: streamCount}, async (_, index) =>
			follow(host.ports.callers!, `${prefix}${index}`),
		),
	);
	await waitUntil('the first events of all streams', () =>
		streams.every(({lastEventId}) => lastEventId >= brokenAfter),
	);
	return streams;
}

function setBehaviour(
	lastEvent: number,
	end: (received: WorkerRequest) => void,
): void {
	for (const {worker, version} of workers) {
		worker.behaviour = sendEvents(version, lastEvent, end);
	}
}

function endWhole({socket}: WorkerRequest): void {
	socket.write('0\r\n\r\n');
}

function countByVersion(streams: readonly CallerStream[]): string[] {
	return streams.map(({versions}) => [...versions].sort().join('+'));
}

// Guards against a stream whose events come from targets of two software versions: the host goes on at any target when
// the first one breaks off.
test('a host continues an interrupted stream at a target of the version that began it', async () => {
	setBehaviour(brokenAfter, (received) => {
		const id = received.headers.get('request-id');
		setTimeout(
			() => {
				for (const {worker, version} of workers) {
					worker.behaviour = sendEvents(version, 6, endWhole);
				}

				received.socket.destroy();
			},
			id === 'within0' ? 50 : 100,
		);
	});
	const streams = await startStreams(hosts[0]!, 'within');
	await waitUntil('the end of all streams', () =>
		streams.every(({isEnded}) => isEnded),
	);
	assert.deepEqual(
		countByVersion(streams).filter((versions) => versions.includes('+')),
		[],
	);
	assert.ok(streams.some(({lastEventId}) => lastEventId === 6));
});

// Guards against a caller that takes a stream up again at another host, after the first one was killed, and gets the rest
// from a target of another software version. The share that goes on must stay near that of new streams.
test('a stream that its caller takes up at another host goes on at a target of the version that began it', async () => {
	setBehaviour(brokenAfter, () => undefined);
	const [first, second, third] = hosts as [
		ForwardingTestHost,
		ForwardingTestHost,
		ForwardingTestHost,
	];
	const streams = await startStreams(first, 'between');
	// Longer than the reports in which hosts tell each other of their streams take.
	await new Promise((resolve) => {
		setTimeout(resolve, 1000);
	});
	first.process.child.kill('SIGKILL');
	await waitUntil('the streams break', () =>
		streams.every(({isEnded}) => isEnded),
	);
	setBehaviour(6, endWhole);
	const resumed = await Promise.all(
		streams.map(async ({id, lastEventId}, index) =>
			follow((index % 2 === 0 ? second : third).ports.callers!, `again${id}`, {
				'last-event-id': String(lastEventId),
				resumes: id,
			}),
		),
	);
	await waitUntil('the answers', () => resumed.every(({isEnded}) => isEnded));
	for (const [index, {versions}] of resumed.entries()) {
		for (const version of versions) {
			streams[index]!.versions.add(version);
		}
	}

	assert.deepEqual(
		countByVersion(streams).filter((versions) => versions.includes('+')),
		[],
	);
	const goneOn = resumed.filter(({lastEventId}) => lastEventId === 6);
	assert.ok(goneOn.length >= streamCount / 2, `${goneOn.length} go on`);
});
