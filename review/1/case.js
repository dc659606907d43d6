/* eslint-disable camelcase -- these are the names of the platform. */
/** A worker crashes while streams without a length and without chunks run on it. */
import {eventsOf, send} from '../common/consumer.js';
import {sleep} from '../common/processes.js';
import {hasTrouble, hostName, route, runCase} from '../common/setup.js';
import {event, head} from '../common/worker.js';

const workerCount = 6;
const streamCount = 36;
const eventCount = 30;
const eventMilliseconds = 50;

/** Every third stream comes without a length and without chunks, the others in chunks. */
const isUnframed = (id) => Number(id.split('-')[1]) % 3 === 0;

const unframedStreams = ({requests}) =>
	requests.filter(
		({headers, socket}) =>
			isUnframed(headers['request-id']) && !socket.destroyed,
	).length;

/** Sends a stream event by event, each in two writes, so that a crash can fall inside an event. */
async function stream(_worker, {headers, socket}) {
	const id = headers['request-id'];
	const frame = (text) =>
		isUnframed(id) ? text : `${text.length.toString(16)}\r\n${text}\r\n`;
	socket.write(
		head('200 OK', id, {
			'Content-Type': 'text/event-stream',
			...(isUnframed(id)
				? {Connection: 'close'}
				: {'Transfer-Encoding': 'chunked'}),
		}),
	);
	for (let sent = 1; sent <= eventCount; sent++) {
		const text = event(sent);
		for (const part of [text.slice(0, 8), text.slice(8)]) {
			await sleep(eventMilliseconds / 2);
			if (socket.destroyed) {
				return;
			}

			socket.write(frame(part));
		}
	}

	if (isUnframed(id)) {
		socket.end();
	} else {
		socket.write('0\r\n\r\n');
	}
}

await runCase('review/1/record.txt', async (setup, record) => {
	setup.configure(
		[
			route('plan', {
				kind: 'stream',
				service: 'lm',
				gap_aim_ms: 150,
				timeout_ms: 20_000,
				goal_ms: 3000,
			}),
		],
		[{name: 'lm', max_conns: 370}],
	);
	for (let index = 1; index <= workerCount; index++) {
		await setup.addWorker(`i-${index}`, {service: 'lm', slots: 64}, stream);
	}

	const host = await setup.startHost('front-palermo-1');
	if (!(await setup.deployment.waitReady(host))) {
		return undefined;
	}

	const answers = [];
	const requests = Array.from({length: streamCount}, async (_, index) => {
		await sleep(index * 20);
		const id = `r-${index}`;
		record.add(`request ${id} is sent`);
		const answer = await send(
			{port: host.ports.front},
			{path: '/plan/x', id, host: hostName, deadline: 20_000},
		);
		answers.push({id, ...answer});
	});
	await sleep(1310);
	if (hasTrouble) {
		const [crashing] = [...setup.workers.values()].sort(
			(left, right) => unframedStreams(right) - unframedStreams(left),
		);
		record.add(
			`worker ${crashing.id} crashes: ${crashing.sockets.size} channels are reset, ${unframedStreams(crashing)} of them with an unframed stream`,
		);
		for (const socket of crashing.sockets) {
			socket.resetAndDestroy();
		}

		crashing.server.close();
		setup.unlist(crashing.id);
	}

	await Promise.all(requests);
	for (const worker of setup.workers.values()) {
		for (const {headers} of worker.requests) {
			record.add(`worker ${worker.id} ran ${headers['request-id']}`);
		}
	}

	let isBroken = false;
	for (const {id, status, framing, body, ending, isComplete} of answers) {
		const {ids, endsBetweenEvents} = eventsOf(body);
		const looksComplete =
			status === 200 && isComplete && (framing !== 'none' || endsBetweenEvents);
		const isWhole = ids.length === eventCount && ids.at(-1) === eventCount;
		record.add(
			`answer ${id}: status ${status}, framing ${framing}, ${ids.length} of ${eventCount} events, channel ${ending}, ${looksComplete ? 'looks complete' : 'is seen as cut'}${looksComplete && !isWhole ? ' BUT IS NOT' : ''}`,
		);
		isBroken ||= looksComplete && !isWhole;
	}

	return isBroken;
});
