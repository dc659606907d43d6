/** A stand-in consumer on a plain socket: it sees how an answer ended, not only what it held. */
import {connect} from 'node:net';

/** Splits chunked bytes. Returns the data and whether the last chunk arrived. */
function decodeChunks(bytes) {
	const parts = [];
	let index = 0;
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', index);
		if (lineEnd === -1) {
			return {data: Buffer.concat(parts), isWhole: false};
		}

		const size = Number.parseInt(
			bytes.subarray(index, lineEnd).toString('latin1'),
			16,
		);
		const start = lineEnd + 2;
		if (size === 0) {
			return {data: Buffer.concat(parts), isWhole: true};
		}

		parts.push(bytes.subarray(start, start + size));
		if (bytes.length < start + size + 2) {
			return {data: Buffer.concat(parts), isWhole: false};
		}

		index = start + size + 2;
	}
}

/** Interprets the bytes of one answer and the way in which its channel ended. */
function interpret(bytes, ending) {
	const headEnd = bytes.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return {
			status: undefined,
			headers: {},
			body: '',
			ending,
			isComplete: false,
		};
	}

	const [first, ...lines] = bytes
		.subarray(0, headEnd)
		.toString('latin1')
		.split('\r\n');
	const headers = Object.fromEntries(
		lines.map((line) => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
		}),
	);
	const raw = bytes.subarray(headEnd + 4);
	let body = raw;
	// Without a length and without chunks, an orderly end of the channel ends the answer.
	let isComplete = ending === 'closed';
	let framing = 'none';
	if (headers['transfer-encoding'] === 'chunked') {
		framing = 'chunks';
		const {data, isWhole} = decodeChunks(raw);
		body = data;
		isComplete = isWhole;
	} else if (headers['content-length'] !== undefined) {
		framing = 'length';
		isComplete = raw.length >= Number(headers['content-length']);
	}

	return {
		status: Number(first.split(' ')[1]),
		headers,
		framing,
		body: body.toString('latin1'),
		bodyBytes: body.length,
		ending,
		isComplete,
	};
}

/** Returns the ids of the events of a stream, and whether it ends between two events. */
export function eventsOf(body) {
	return {
		ids: [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1])),
		endsBetweenEvents: body === '' || body.endsWith('\n\n'),
	};
}

/** Sends one request on a new channel and resolves when the answer is complete or the channel has ended. */
export async function send(
	{address = '127.0.0.1', port},
	{method = 'POST', path, id, host, headers = {}, body = '', deadline = 15_000},
	{onData, onSocket} = {},
) {
	return new Promise((resolve) => {
		const startedAt = performance.now();
		const chunks = [];
		const socket = connect({host: address, port});
		onSocket?.(socket);
		const finish = (ending) => {
			clearTimeout(timer);
			socket.destroy();
			resolve({
				...interpret(Buffer.concat(chunks), ending),
				milliseconds: Math.round(performance.now() - startedAt),
			});
		};

		const timer = setTimeout(() => {
			finish('timeout');
		}, deadline + 2000);
		socket.setNoDelay(true);
		socket.on('data', (chunk) => {
			chunks.push(chunk);
			onData?.(chunk);
			const bytes = Buffer.concat(chunks);
			const {framing, isComplete} = interpret(bytes, 'open');
			if (isComplete && framing !== 'none') {
				finish('open');
			}
		});
		socket.on('end', () => {
			finish('closed');
		});
		socket.on('error', (error) => {
			finish(error.code ?? 'error');
		});
		const lines = Object.entries({
			Host: host,
			'Request-Id': id,
			'Deadline-Ms': String(deadline),
			...headers,
			...(method === 'GET' ? {} : {'Content-Length': String(body.length)}),
		}).map(([name, value]) => `${name}: ${value}\r\n`);
		socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
	});
}
