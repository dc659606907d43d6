import {setTimeout as sleep} from 'node:timers/promises';

/** Bytes that are no answer, in the size of one write. */
const lineFeeds = Buffer.alloc(65_536, '\n');
/** Chunks of one byte each. */
const tinyChunks = Buffer.from('1\r\nx\r\n'.repeat(10_000));

/** Sends events from the one after `Last-Event-Id` on, until the channel is closed. */
export async function sendEvents(
	worker,
	request,
	response,
	{events, intervalMilliseconds},
) {
	worker.beginStream(request, response);
	const first = Number(request.headers['last-event-id'] ?? 0) + 1;
	for (let id = first; id <= events && !response.destroyed; id++) {
		response.write(`id: ${id}\ndata: piece ${id} of ${worker.version}\n\n`);
		await sleep(intervalMilliseconds);
	}

	response.end();
}

/** Sends bytes without end, until the channel is closed. */
export function sendWithoutEnd(response) {
	if (response.destroyed) {
		return;
	}

	response.once('drain', () => {
		sendWithoutEnd(response);
	});
	for (let hasRoom = true; hasRoom;) {
		hasRoom = response.write(lineFeeds);
	}
}

/** Sends chunks of one byte without end, until the channel is closed. The answer must have begun in chunks. */
export function sendTinyChunks(socket) {
	if (socket.destroyed) {
		return;
	}

	socket.once('drain', () => {
		sendTinyChunks(socket);
	});
	for (let hasRoom = true; hasRoom;) {
		hasRoom = socket.write(tinyChunks);
	}
}

/** Returns the ids and versions of the complete events in a text. */
export function eventsOf(text) {
	return [...text.matchAll(/^id: (\d+)\ndata: piece \d+ of (\S+)\n\n/gm)].map(
		([, id, version]) => ({id: Number(id), version}),
	);
}
