import {createServer} from 'node:http';

/** Time in which the store answers a call. */
const answerMilliseconds = 4;
const appendMilliseconds = 2;
/** Most records in one page of the newest records. */
const pageLength = 500;
const lengthBytes = 4;

/** @typedef {{records: Buffer[], newest: Map<string, {value: Buffer, offset: number}>}} Topic */

/** A stand-in for the platform's store: topics with one partition, conditional appends, keyed topics and long polls. */
export class Store {
	/** Number that rises by one each time the store comes back from a copy. */
	era = 1;
	/** True while the store answers nothing. */
	isAway = false;
	/** Called with the topic and the body of each record that is appended. */
	onAppend = () => undefined;
	/** @type {Map<string, Topic>} */
	#topics = new Map();
	#waiting = new Set();
	#server = createServer((request, response) => {
		const chunks = [];
		request.on('data', (chunk) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			setTimeout(() => {
				this.#answer(request, response, Buffer.concat(chunks));
			}, answerMilliseconds);
		});
	});

	/** Starts the store and returns its address. */
	async start(host) {
		await new Promise((resolve) => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes a record with a key, as the operator and the workers do. Without a value the key is dropped. */
	put(topic, key, value) {
		const name = Buffer.from(key);
		const bytes =
			value === undefined
				? Buffer.alloc(0)
				: Buffer.from(JSON.stringify(value));
		this.#append(
			topic,
			Buffer.concat([Buffer.from([name.length]), name, bytes]),
		);
	}

	/** Returns a copy of all that the store holds. */
	copy() {
		return new Map(
			[...this.#topics].map(([name, {records, newest}]) => [
				name,
				{records: [...records], newest: new Map(newest)},
			]),
		);
	}

	/** Stops answering. Open connections are closed. */
	leave() {
		this.isAway = true;
		this.#waiting.clear();
		this.#server.closeAllConnections();
	}

	/** Comes back with the content of a copy. */
	restore(copy) {
		this.#topics = copy;
		this.era++;
		this.isAway = false;
	}

	#topic(name) {
		const known = this.#topics.get(name);
		if (known) {
			return known;
		}

		const created = {records: [], newest: new Map()};
		this.#topics.set(name, created);
		return created;
	}

	#append(name, record) {
		const topic = this.#topic(name);
		topic.records.push(record);
		if (name.startsWith('keyed.')) {
			const [length] = record;
			const key = record.subarray(1, 1 + length).toString();
			const value = record.subarray(1 + length);
			if (value.length === 0) {
				topic.newest.delete(key);
			} else {
				topic.newest.set(key, {value, offset: topic.records.length - 1});
			}
		}

		this.onAppend(name, record);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	#answer(request, response, body) {
		if (this.isAway) {
			request.socket.destroy();
			return;
		}

		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const topic = searchParams.get('topic');
		response.setHeader('Store-Era', String(this.era));
		switch (pathname) {
			case '/log-append': {
				setTimeout(() => {
					this.#answerAppend(response, topic, searchParams, body);
				}, appendMilliseconds);
				break;
			}

			case '/log-read': {
				this.#answerRead(response, topic, searchParams);
				break;
			}

			case '/log-newest': {
				this.#answerNewest(response, topic, searchParams);
				break;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	}

	#answerAppend(response, name, parameters, body) {
		if (this.isAway) {
			response.destroy();
			return;
		}

		const topic = this.#topic(name);
		const offset = topic.records.length;
		const expected = parameters.get('as_of');
		if (expected !== null && Number(expected) !== offset) {
			sendJson(response, 412, {end: offset});
			return;
		}

		for (let index = 0; index < body.length;) {
			const start = index + lengthBytes;
			index = start + body.readUInt32BE(index);
			this.#append(name, body.subarray(start, index));
		}

		sendJson(response, 200, {offset, end: topic.records.length});
	}

	#answerRead(response, name, parameters) {
		const from = Number(parameters.get('from'));
		const topic = this.#topic(name);
		if (from > topic.records.length) {
			sendJson(response, 410, {first: 0});
			return;
		}

		const wait = Number(parameters.get('wait_ms') ?? 0);
		if (topic.records.length > from || wait === 0) {
			sendRecords(response, topic, from);
			return;
		}

		const end = () => {
			clearTimeout(timer);
			this.#waiting.delete(wake);
			sendRecords(response, topic, from);
		};

		const wake = () => {
			if (topic.records.length > from) {
				end();
			}
		};

		const timer = setTimeout(end, wait);
		this.#waiting.add(wake);
		response.once('close', () => {
			clearTimeout(timer);
			this.#waiting.delete(wake);
		});
	}

	#answerNewest(response, name, parameters) {
		const {newest, records} = this.#topic(name);
		const after = parameters.get('after') ?? '';
		const rest = [...newest]
			.filter(([key]) => key > after)
			.sort(([left], [right]) => (left < right ? -1 : 1));
		sendJson(response, 200, {
			items: rest.slice(0, pageLength).map(([key, {value, offset}]) => ({
				key,
				value: value.toString('base64'),
				offset,
			})),
			more: rest.length > pageLength,
			end: records.length,
		});
	}
}

function sendRecords(response, {records}, from) {
	const head = Buffer.alloc(16);
	head.writeBigUInt64BE(BigInt(records.length), 0);
	const parts = [head];
	for (const record of records.slice(from)) {
		const length = Buffer.alloc(lengthBytes);
		length.writeUInt32BE(record.length);
		parts.push(length, record);
	}

	response.writeHead(200).end(Buffer.concat(parts));
}

function sendJson(response, status, value) {
	response
		.writeHead(status, {'Content-Type': 'application/json'})
		.end(JSON.stringify(value));
}
