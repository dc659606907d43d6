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

/** A stream as its caller knows it, over all its tries. */
export type CallerStream = {
	readonly id: string;
	/** Id of the last event received. */
	lastEventId: number;
	/** Software versions of the workers that sent the events. */
	readonly versions: Set<string>;
	isOpen: boolean;
};

/** Events that a worker sends at once when a stream begins, and those with which it ends one that is taken up again. */
const eventCount = 3;
/** Interval at which the events of a stream follow that has begun, so that its host does not take its worker for silent. */
const eventMilliseconds = 300;
/** Tries of a caller that takes a stream up again, and the delay before the second, which doubles with each try. */
const maximumTries = 5;
const retryMilliseconds = 250;

/** Hosts, and workers of several software versions, with callers that take their streams up again. */
export class VersionFleet {
	readonly store = new StandInStore();
	readonly hosts: ForwardingTestHost[] = [];
	private readonly workers = new Map<string, StandInWorker>();
	private storeAddress = '';

	/** Starts the store, two workers of each version and the hosts, and waits until all are ready. */
	async start(versions: readonly string[], hostCount: number): Promise<void> {
		this.storeAddress = await this.store.start();
		this.store.put('keyed.op', 'config', {
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
		for (const version of versions) {
			await this.addWorkers(version);
		}

		await this.startHosts(
			Array.from({length: hostCount}, (_, index) => `h${index + 1}`),
		);
		await waitUntil('every host knows the size of the fleet', async () => {
			const texts = await Promise.all(
				this.hosts.map(async ({ports}) => {
					const response = await request(
						`http://127.0.0.1:${ports.metrics}/metrics`,
					);
					return response.body.text();
				}),
			);
			return texts.every((text) =>
				text.includes(`daisylever_hosts ${hostCount}\n`),
			);
		});
	}

	/** Starts and lists two workers of a version. */
	async addWorkers(version: string): Promise<void> {
		for (const name of [`${version}-1`, `${version}-2`]) {
			const worker = new StandInWorker(name);
			worker.behaviour = (received) => {
				sendEvents(version, received);
			};

			const address = await worker.start();
			this.workers.set(name, worker);

			this.store.put('keyed.servers', name, {
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
	}

	/** Removes the entries of the workers of a version, which serve on. */
	unlistWorkers(version: string): void {
		for (const name of [`${version}-1`, `${version}-2`]) {
			this.store.put('keyed.servers', name, undefined);
		}
	}

	/** Starts hosts with these names, in the place of those that had them. */
	async startHosts(names: readonly string[]): Promise<void> {
		await Promise.all(
			names.map(async (name) => {
				this.hosts[Number(name.slice(1)) - 1] = await startForwardingHost(
					name,
					{store: this.storeAddress},
				);
			}),
		);
		await Promise.all(
			this.hosts.map(async ({process}) =>
				process.json(
					'readiness',
					({message}) => message === 'forwarding-ready',
				),
			),
		);
	}

	/** Index of the host that holds the owner lease. */
	async ownerIndex(): Promise<number> {
		return waitUntil('a host holds the lease', () => {
			const index = this.hosts.findIndex(({process}) =>
				process.lines.some((line) => line.includes('"ownership-gained"')),
			);
			return index === -1 ? undefined : index;
		});
	}

	/** Kills hosts at the same moment. */
	async kill(indices: readonly number[]): Promise<void> {
		const processes = indices.map((index) => this.hosts[index]!.process);
		for (const {child} of processes) {
			child.kill('SIGKILL');
		}

		await waitUntil('the hosts have ended', () =>
			processes.every(({exitCode}) => exitCode !== undefined),
		);
	}

	/** Begins streams at a host and waits until each has its first events. */
	async beginStreams(
		host: number,
		prefix: string,
		count: number,
	): Promise<CallerStream[]> {
		const streams = Array.from({length: count}, (_, index) => ({
			id: `${prefix}${index}`,
			lastEventId: 0,
			versions: new Set<string>(),
			isOpen: true,
		}));
		for (const stream of streams) {
			void this.read(host, stream, stream.id, {});
		}

		await waitUntil('the first events of all streams', () =>
			streams.every(({lastEventId}) => lastEventId >= eventCount),
		);
		return streams;
	}

	/** Lets the callers take their broken streams up again at these hosts in turn. Returns the number of streams that go on. */
	async takeUp(
		streams: readonly CallerStream[],
		hosts: readonly number[],
	): Promise<number> {
		const goesOn = await Promise.all(
			streams.map(async (stream, index) => {
				const before = stream.lastEventId;
				for (let attempt = 0; attempt < maximumTries; attempt++) {
					await this.read(
						hosts[(index + attempt) % hosts.length]!,
						stream,
						`${stream.id}-${attempt}`,
						{
							'last-event-id': String(stream.lastEventId),
							resumes: stream.id,
						},
					);
					if (stream.lastEventId > before) {
						return true;
					}

					await new Promise((resolve) => {
						setTimeout(resolve, retryMilliseconds * 2 ** attempt);
					});
				}

				return false;
			}),
		);
		return goesOn.filter(Boolean).length;
	}

	stop(): void {
		for (const {process} of this.hosts) {
			process.child.kill('SIGKILL');
		}

		this.store.stop();
		for (const worker of this.workers.values()) {
			worker.stop();
		}
	}

	private async read(
		host: number,
		stream: CallerStream,
		id: string,
		headers: Readonly<Record<string, string>>,
	): Promise<void> {
		stream.isOpen = true;
		try {
			const response = await request(
				`http://127.0.0.1:${this.hosts[host]!.ports.callers}/x/y`,
				{headers: {host: 'a.example', 'request-id': id, ...headers}},
			);
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

		stream.isOpen = false;
	}
}

/** Streams that hold events of more than one software version. */
export function mixedStreams(streams: readonly CallerStream[]): string[] {
	return streams.filter(({versions}) => versions.size > 1).map(({id}) => id);
}

/** A stream that begins goes on until its connection is closed. One that is taken up again ends after a few events. */
function sendEvents(version: string, {headers, socket}: WorkerRequest): void {
	const last = headers.get('last-event-id');
	let id = Number(last ?? 0);
	const sendEvent = () => {
		id++;
		const text = formatEvent(id).replace('piece', version);
		socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
	};

	socket.write(
		responseHead('200 OK', {
			'Request-Id': headers.get('request-id') ?? '',
			'Response-Sig': 'signed',
			'Content-Type': 'text/event-stream',
			'Transfer-Encoding': 'chunked',
		}),
	);
	for (let count = 0; count < eventCount; count++) {
		sendEvent();
	}

	if (last !== undefined) {
		socket.write('0\r\n\r\n');
		return;
	}

	const timer = setInterval(sendEvent, eventMilliseconds);
	socket.once('close', () => {
		clearInterval(timer);
	});
}
