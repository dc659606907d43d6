import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';

/** Fault of one call. The store refuses it with status 503 (`busy`), carries out an append without a response (`lost-answer`) or closes the connection (`reset`). */
export type StoreFault = 'busy' | 'lost-answer' | 'reset' | 'forgotten';

type Topic = {
	records: Buffer[];
	/** Position of the first retained record. */
	first: number;
	newest: Map<string, {value: Buffer; offset: number}>;
};

/** A copy of the content of a store. */
export type StoreCopy = ReadonlyMap<string, Topic>;

/** A stand-in for the platform's store, with topics of one partition each, conditional appends and injected faults. */
export class StandInStore {
	/** Method and path of each call received. */
	readonly calls: string[] = [];
	/** Faults of the next calls, in order. */
	readonly faults: StoreFault[] = [];
	/** Number in the responses that rises each time the store is restored from a copy. Undefined to leave it out. */
	generation: number | undefined;
	/** Called with each record that is appended. */
	onAppend: ((topic: string, body: Buffer) => void) | undefined;
	/** True while the store closes all connections without a response. */
	isAway = false;
	private topics = new Map<string, Topic>();
	private readonly server: Server;
	private readonly pendingReads = new Map<() => void, ServerResponse>();

	constructor() {
		this.server = createServer((request, response) => {
			const parts: Buffer[] = [];
			request.on('data', (chunk: Buffer) => {
				parts.push(chunk);
			});
			request.on('end', () => {
				this.respond(request, response, Buffer.concat(parts));
			});
		});
	}

	/** Starts the store and returns its address as `host:port`. */
	async start(): Promise<string> {
		await new Promise<void>((resolve) => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	stop(): void {
		this.server.closeAllConnections();
		this.server.close();
	}

	/** Writes a record with a key, as the operator and workers do. Without a value the key is deleted. */
	put(topic: string, key: string, value: unknown): void {
		const bytes =
			value === undefined
				? Buffer.alloc(0)
				: Buffer.isBuffer(value)
					? value
					: Buffer.from(JSON.stringify(value));
		const name = Buffer.from(key);
		this.append(
			topic,
			Buffer.concat([Buffer.from([name.length]), name, bytes]),
		);
		const {newest, records} = this.topic(topic);
		if (value === undefined) {
			newest.delete(key);
		} else {
			newest.set(key, {value: bytes, offset: records.length - 1});
		}
	}

	/** Deletes all records of a topic except the newest of each key, as retention does. */
	truncate(topic: string): void {
		const content = this.topic(topic);
		content.first = content.records.length;
	}

	/** Returns a copy of all topics. */
	copy(): StoreCopy {
		return cloneTopics(this.topics);
	}

	/** Replaces all topics by a copy, as a restored store does. Records written since are lost, and their positions are given out again. */
	restore(copy: StoreCopy): void {
		this.topics = cloneTopics(copy);
		this.generation = (this.generation ?? 0) + 1;
		for (const [resume, response] of this.pendingReads) {
			this.pendingReads.delete(resume);
			response.destroy();
		}
	}

	/** Returns the position after the last record of a topic. */
	end(topic: string): number {
		return this.topic(topic).records.length;
	}

	private topic(name: string): Topic {
		const topic = this.topics.get(name) ?? {
			records: [],
			first: 0,
			newest: new Map(),
		};
		this.topics.set(name, topic);
		return topic;
	}

	private append(topic: string, body: Buffer): void {
		this.topic(topic).records.push(body);
		this.onAppend?.(topic, body);
		for (const resume of this.pendingReads.keys()) {
			resume();
		}
	}

	private respond(
		request: IncomingMessage,
		response: ServerResponse,
		body: Buffer,
	): void {
		const url = new URL(request.url ?? '/', 'http://store');
		this.calls.push(`${request.method} ${url.pathname}`);
		if (this.isAway) {
			request.socket.destroy();
			return;
		}

		if (this.generation !== undefined) {
			response.setHeader('Store-Era', String(this.generation));
		}

		const fault = this.faults.shift();
		if (fault === 'busy') {
			response.writeHead(503).end();
			return;
		}

		if (fault === 'reset') {
			request.socket.destroy();
			return;
		}

		const topic = url.searchParams.get('topic') ?? '';
		if (url.pathname === '/log-append') {
			this.respondToAppend(response, topic, url, body, fault);
			return;
		}

		if (url.pathname === '/log-newest') {
			const {newest, records} = this.topic(topic);
			sendJson(response, 200, {
				items: [...newest].map(([key, {value, offset}]) => ({
					key,
					value: value.toString('base64'),
					offset,
				})),
				more: false,
				end: records.length,
			});
			return;
		}

		this.respondToRead(response, topic, url);
	}

	private respondToAppend(
		response: ServerResponse,
		topic: string,
		url: URL,
		body: Buffer,
		fault: StoreFault | undefined,
	): void {
		const end = this.end(topic);
		const expected = url.searchParams.get('as_of');
		if (expected !== null && Number(expected) !== end) {
			sendJson(response, 412, {end});
			return;
		}

		for (let index = 0; index < body.length;) {
			const start = index + 4;
			index = start + body.readUInt32BE(index);
			this.append(topic, body.subarray(start, index));
		}

		if (fault !== 'lost-answer') {
			sendJson(response, 200, {offset: end, end: this.end(topic)});
		}
	}

	private respondToRead(
		response: ServerResponse,
		topic: string,
		url: URL,
	): void {
		const from = Number(url.searchParams.get('from'));
		const content = this.topic(topic);
		if (from < content.first || from > content.records.length) {
			sendJson(response, 410, {first: content.first});
			return;
		}

		const wait = Number(url.searchParams.get('wait_ms') ?? 0);
		if (content.records.length > from || wait === 0) {
			this.sendRecords(response, content, from);
			return;
		}

		const end = () => {
			clearTimeout(timer);
			this.pendingReads.delete(resume);
			this.sendRecords(response, content, from);
		};

		const resume = () => {
			if (content.records.length > from) {
				end();
			}
		};

		const timer = setTimeout(end, wait);
		this.pendingReads.set(resume, response);
	}

	private sendRecords(
		response: ServerResponse,
		topic: Topic,
		from: number,
	): void {
		const head = Buffer.alloc(16);
		head.writeBigUInt64BE(BigInt(topic.records.length), 0);
		head.writeBigUInt64BE(BigInt(topic.first), 8);
		const parts: Buffer[] = [head];
		for (const record of topic.records.slice(from)) {
			const length = Buffer.alloc(4);
			length.writeUInt32BE(record.length);
			parts.push(length, record);
		}

		response.writeHead(200).end(Buffer.concat(parts));
	}
}

function cloneTopics(topics: StoreCopy): Map<string, Topic> {
	return new Map(
		[...topics].map(([name, {records, first, newest}]) => [
			name,
			{records: [...records], first, newest: new Map(newest)},
		]),
	);
}

function sendJson(
	response: ServerResponse,
	status: number,
	body: unknown,
): void {
	response
		.writeHead(status, {'Content-Type': 'application/json'})
		.end(JSON.stringify(body));
}
