import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {
	formatEvent,
	respondWith,
	StandInWorker,
	streamEvents,
} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from '../process/forwarding-host.js';
import {waitUntil} from '../process/processes.js';
import {buildProgramOf} from './production-build.js';
import {productionCommit} from './production.js';

const earlier = buildProgramOf(productionCommit());
/** Connections of the serving host that stay open while no new one can be made. */
const keptConnections = 4;
const eventCount = 20;
const largeBody = 'x'.repeat(300_000);

type Answer = {readonly status: number; readonly body: string};

/** A worker and two hosts, of which one loses its connections to the worker. */
class CutOffFleet {
	private readonly store = new StandInStore();
	private readonly worker = new StandInWorker('i-1');
	private readonly sockets = new Map<string, Set<Socket>>();
	private readonly hosts: ForwardingTestHost[] = [];
	private requestCount = 0;

	/** Starts the hosts and cuts the first one off. */
	async start(
		cutOffProgram: string | undefined,
		servingProgram: string | undefined,
	): Promise<void> {
		const store = await this.store.start();
		const route = (name: string, kind: string) => ({
			name,
			host: 'a.example',
			prefix: `/${name}/`,
			kind,
			timeout_ms: 20_000,
			goal_ms: 300,
			service: 's',
			attempts: 2,
			allow_resume: kind === 'stream',
		});
		this.store.put('keyed.op', 'config', {
			version: 1,
			routes: [route('plain', 'idempotent'), route('stream', 'stream')],
			services: [{name: 's', max_conns: 100}],
			limits: {
				header_bytes: 16_384,
				max_body_bytes: 1000,
				header_ms: 3000,
				idle_ms: 15_000,
			},
		});
		this.worker.behaviour = (received) => {
			const [, route, host] = received.path.split('/');
			const used = this.sockets.get(host!) ?? new Set();
			used.add(received.socket);
			this.sockets.set(host!, used);
			if (route === 'stream') {
				streamEvents(1, eventCount, 'whole')(received);
				return;
			}

			// Answers that overlap keep several connections of a host open.
			setTimeout(() => {
				respondWith(largeBody)(received);
			}, 200);
		};

		this.store.put('keyed.servers', this.worker.id, {
			service: 's',
			addr: await this.worker.start(),
			zone: 'z',
			slots: 16,
			state: 'ready',
			born: 1,
			seq: 1,
		});
		for (const program of [cutOffProgram, servingProgram]) {
			const name = `h${this.hosts.length + 1}`;
			const host = await startForwardingHost(
				name,
				{store, targets: {drainMilliseconds: 2000}},
				program,
			);
			this.hosts.push(host);
			await this.waitForLine(0, 'ownership-gained');
			await waitUntil(`${name} is ready`, () =>
				this.hasLine(host, 'forwarding-ready'),
			);
		}

		await waitUntil('the hosts know each other', async () => {
			const {body} = await request(
				`http://127.0.0.1:${this.hosts[0]!.ports.metrics}/metrics`,
			);
			return (await body.text()).includes('daisylever_hosts 2');
		});
		await this.cutOff();
	}

	/** Sends a request through the host that is cut off. */
	async call(route: 'plain' | 'stream'): Promise<Answer> {
		return this.callHost(0, route);
	}

	/** Waits until a host has logged an event. */
	async waitForLine(index: number, event: string): Promise<void> {
		await waitUntil(event, () => this.hasLine(this.hosts[index]!, event));
	}

	/** Kills the hosts and ends the stand-ins. */
	stop(): void {
		for (const {process} of this.hosts) {
			process.signal('SIGKILL');
		}

		this.store.stop();
		this.worker.stop();
	}

	private async cutOff(): Promise<void> {
		await Promise.all(
			Array.from({length: keptConnections}, async () =>
				this.callHost(1, 'plain'),
			),
		);
		await this.callHost(0, 'plain');
		this.worker.stopListening();
		const kept = this.sockets.get('h2')!;
		for (const socket of this.sockets.get('h1')!) {
			assert.ok(!kept.has(socket));
			socket.destroy();
		}

		await waitUntil('the first host notices', async () => {
			await this.callHost(0, 'plain');
			return this.hasLine(this.hosts[0]!, 'pool-unreachable');
		});
	}

	private async callHost(
		index: number,
		route: 'plain' | 'stream',
	): Promise<Answer> {
		this.requestCount++;
		const {statusCode, body} = await request(
			`http://127.0.0.1:${this.hosts[index]!.ports.callers}/${route}/h${index + 1}`,
			{
				headers: {
					host: 'a.example',
					'request-id': `r${this.requestCount}`,
					'deadline-ms': '10000',
				},
			},
		);
		return {status: statusCode, body: await body.text()};
	}

	private hasLine({process}: ForwardingTestHost, event: string): boolean {
		return process.lines.some((line) => line.includes(`"${event}"`));
	}
}

const pairs = [
	['the build in production', earlier, 'the present build', undefined],
	['the present build', undefined, 'the build in production', earlier],
] as const;

for (const [cutOff, cutOffProgram, serving, servingProgram] of pairs) {
	// Guards against answers that are cut, refused or never end when a request passes through hosts of two builds.
	test(`${serving} serves what ${cutOff} forwards when it reaches no target`, async () => {
		const fleet = new CutOffFleet();
		try {
			await fleet.start(cutOffProgram, servingProgram);
			const plain = await fleet.call('plain');
			assert.equal(plain.status, 200, plain.body);
			assert.equal(plain.body, largeBody);
			const stream = await fleet.call('stream');
			assert.equal(stream.status, 200, stream.body);
			const events = Array.from({length: eventCount}, (_, index) =>
				formatEvent(index + 1),
			);
			assert.equal(stream.body, events.join(''));
			await fleet.waitForLine(0, 'request-sent-to-peer');
			await fleet.waitForLine(1, 'request-taken-from-peer');
		} finally {
			fleet.stop();
		}
	});
}
