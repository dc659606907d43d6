/** Streams that consumers take up again: what workers of a software version send, and what consumers do when a channel breaks. */
import {eventsOf, send} from './consumer.js';
import {sleep} from './processes.js';
import {hostName} from './setup.js';
import {event, head} from './worker.js';

/** Returns the behaviour of a worker that sends the rest of a stream after the event that the request names. */
export function streamBehaviour(record, {eventCount, eventMilliseconds}) {
	return async (worker, {headers, socket}) => {
		const id = headers['request-id'];
		const {version} = worker.entry;
		const from = Number(headers['last-event-id'] ?? 0);
		record.add(
			`worker ${worker.id} (${version}) runs ${id} from event ${from + 1}`,
		);
		socket.write(
			head('200 OK', id, {
				'Content-Type': 'text/event-stream',
				'Transfer-Encoding': 'chunked',
			}),
		);
		for (let sent = from + 1; sent <= eventCount; sent++) {
			await sleep(eventMilliseconds);
			if (socket.destroyed) {
				return;
			}

			const text = event(sent, version);
			socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
		}

		socket.write('0\r\n\r\n');
	};
}

/**
 * Asks for a stream, and takes it up again after its last event when the channel breaks. `hostFor` returns the host to
 * which the platform forwards a try.
 */
export async function consumeStream(
	record,
	{name, deadline, maximumTries, hostFor, path},
) {
	const startedAt = performance.now();
	const versions = new Set();
	const tries = [];
	let last = 0;
	let firstId;
	for (let attempt = 1; attempt <= maximumTries; attempt++) {
		const id = `${name}-${attempt}`;
		const remaining = Math.floor(deadline - (performance.now() - startedAt));
		if (remaining < 500) {
			break;
		}

		const host = hostFor(attempt);
		const sentAt = performance.now();
		const isTakenUp = last > 0;
		const answer = await send(
			{port: host.ports.front},
			{
				path,
				id,
				host: hostName,
				deadline: remaining,
				headers: isTakenUp
					? {'Last-Event-Id': String(last), Resumes: firstId}
					: {},
			},
		);
		const {ids} = eventsOf(answer.body);
		const goesOn = answer.status === 200 && ids.length > 0;
		tries.push({host, sentAt, isTakenUp, goesOn, status: answer.status});
		if (goesOn) {
			firstId ??= id;
			last = ids.at(-1);
			for (const [, version] of answer.body.matchAll(/^data: (\S+)/gm)) {
				versions.add(version);
			}
		}

		record.add(
			`answer ${id} at ${host.name}: status ${answer.status ?? 'none'}, events ${ids[0] ?? '-'} to ${ids.at(-1) ?? '-'}, channel ${answer.ending}`,
		);
		if (answer.status === 200 && answer.isComplete) {
			break;
		}

		// A consumer waits as long as it was told, and longer after each try.
		const told = Number(answer.headers['retry-after'] ?? 0) * 1000;
		await sleep(Math.max(told, 500 * 2 ** (attempt - 1)));
	}

	return {name, versions: [...versions], last, tries};
}
