/* eslint-disable camelcase -- the names are those of the platform */
import {createServer} from 'node:http';

/** Interval at which a worker writes its entry. */
const beatMilliseconds = 1200;

/** A stand-in for a worker of a service without an engine. It lists itself in the store and keeps a list of what it ran. */
export class Worker {
	/** Requests that began to run here. */
	runs = [];
	#writes = 0;
	#timer;
	#born = Date.now();
	#server = createServer((request, response) => {
		const chunks = [];
		request.on('data', (chunk) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			this.#serve(request, response);
		});
	});

	constructor({id, service, store, log, version = 'v1', slots = 64}) {
		Object.assign(this, {id, service, store, log, version, slots});
		this.#server.keepAliveTimeout = 20_000;
	}

	async start(host) {
		await new Promise((resolve) => {
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
		this.#write();
		this.#timer = setInterval(() => {
			this.#write();
		}, beatMilliseconds);
	}

	stop() {
		clearInterval(this.#timer);
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Reports that the worker is removed after a time. It serves on until then. */
	leave(remainingMilliseconds) {
		this.notice = {state: 'draining', remaining_ms: remainingMilliseconds};
		this.#write();
	}

	/** Answers a request that has begun to run. Replaced by cases. */
	behaviour(request, response) {
		this.answer(request, response, 'done');
	}

	/** Answers with the proof of the worker. */
	answer(request, response, body) {
		response
			.writeHead(200, {
				'Request-Id': request.headers['request-id'],
				'Response-Sig': `sig.${this.id}`,
				'Content-Length': Buffer.byteLength(body),
			})
			.end(body);
	}

	/** Begins the answer with a stream. */
	beginStream(request, response) {
		response.writeHead(200, {
			'Request-Id': request.headers['request-id'],
			'Response-Sig': `sig.${this.id}`,
			'Content-Type': 'text/event-stream',
		});
	}

	#serve(request, response) {
		const {headers, method, url} = request;
		if (headers['expect-instance'] !== this.id) {
			response.writeHead(421, {'Instance-Id': this.id, 'Content-Length': 0});
			response.end();
			return;
		}

		const run = {
			worker: this.id,
			version: this.version,
			request: headers['request-id'],
			method,
			path: url,
			tenant: headers.tenant,
			lastEventId: headers['last-event-id'],
		};
		this.runs.push(run);
		this.log('run', run);
		this.behaviour(request, response);
	}

	#write() {
		// A worker cannot write while the store is away.
		if (this.store.isAway) {
			return;
		}

		this.#writes++;
		this.store.put('keyed.servers', this.id, {
			service: this.service,
			addr: this.address,
			zone: 'zone-a',
			version: this.version,
			slots: this.slots,
			state: 'ready',
			cold_left_ms: 0,
			seq: this.#writes,
			born: this.#born,
			...this.notice,
		});
	}
}
