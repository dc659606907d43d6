import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {respondWith, StandInWorker} from '../platform/stand-in-worker.js';

let lastRequest = 0;

/** A store with a document and one listed worker, for hosts in processes of their own. */
export class ServedFleet {
	readonly worker = new StandInWorker('i-1');
	private readonly store = new StandInStore();

	/** Starts the store and the worker. Returns the address of the store. */
	async start(): Promise<string> {
		const address = await this.store.start();
		const workerAddress = await this.worker.start();
		this.worker.behaviour = respondWith('served');
		this.store.put('keyed.servers', 'i-1', {
			service: 's',
			addr: workerAddress,
			zone: 'z',
			slots: 100,
			state: 'ready',
			born: 1,
		});
		this.store.put('keyed.op', 'config', {
			version: 1,
			routes: [
				{
					name: 'r',
					host: 'a.example',
					prefix: '/x/',
					kind: 'idempotent',
					timeout_ms: 5000,
					goal_ms: 300,
					service: 's',
					attempts: 2,
				},
			],
			services: [{name: 's', max_conns: 100}],
			limits: {
				header_bytes: 16_384,
				max_body_bytes: 1000,
				header_ms: 3000,
				idle_ms: 15_000,
			},
		});
		return address;
	}

	stop(): void {
		this.store.stop();
		this.worker.stop();
	}
}

/** Status of a request to the route of the served fleet, undefined when the host does not answer. */
export async function callServed(port: number): Promise<number | undefined> {
	return statusOf(port, '/x/y');
}

/** Status of a request to a listener, undefined when it does not answer. */
export async function statusOf(
	port: number,
	path: string,
): Promise<number | undefined> {
	lastRequest++;
	try {
		const response = await request(`http://127.0.0.1:${port}${path}`, {
			headers: {host: 'a.example', 'request-id': `r${lastRequest}`},
		});
		await response.body.dump();
		return response.statusCode;
	} catch {
		return undefined;
	}
}
