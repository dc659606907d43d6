import process from 'node:process';
import {LoopbackProxy} from '../loopback-proxy.js';
import {StandInStore, type StoreCopy} from '../platform/stand-in-store.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from '../process/forwarding-host.js';
import {waitUntil} from '../process/processes.js';
import {DelayedPath, type PathQuality} from '../delayed-path.js';
import {AnswerAccount} from './answer-account.js';
import {RequestLedger} from './request-ledger.js';
import {type SoakRecord} from './soak-record.js';
import {WorkerProcess} from './worker-process.js';

/** Name of the pool that serves streams and models, and of the one that serves plain requests. */
export const pools = {streams: 's', plain: 't'} as const;
/** Models of the pool of streams. */
export const models = ['m0', 'm1', 'm2', 'm3'] as const;

const slots = 16;
/** Connections that a worker accepts. The configuration names the same number, of which each host uses its share. */
const maximumConnections = 400;
const maximumModels = 2;
const modelMegabytes = 400;
const workerMegabytes = 1000;
/** Failure domains of the hosts and the workers. */
const failureDomains = ['z1', 'z2', 'z3'] as const;
/** Paths between callers that are far away and hosts, in turn. */
const farPaths: readonly PathQuality[] = [
	{delayMilliseconds: 0},
	{delayMilliseconds: 30},
	{delayMilliseconds: 80},
	{delayMilliseconds: 150},
	{delayMilliseconds: 300},
	{
		delayMilliseconds: 20,
		bytesPerSecond: 875_000,
		maximumBytesUnderWay: 16_384,
	},
];
const streamWorkers = 3;
const plainWorkers = 2;
/** Time from SIGTERM until the platform kills a host. */
const graceMilliseconds = 8000;
/** Key that every version of the configuration has. */
export const steadyKey = 'steady-key';
/** Time from which a key runs nowhere after the version that takes it away was stored. */
export const revokeMilliseconds = 3000;
/** Interval at which workers write their entries, and the time after which the entry of a silent one is removed. */
const beatMilliseconds = 1000;
const missedBeatsMilliseconds = 3000;
/** Time from the thaw of a host in which its orders are excused. */
const thawMilliseconds = 3000;
/** Length of the whole schedule of copies of the store. */
const copyIntervalMilliseconds = 1000;
const maximumCopies = 5;

/** One process of a host, and what the soak did to it. */
export type HostLife = {
	readonly name: string;
	readonly host: ForwardingTestHost;
	/** Port at which callers that are far away reach the host. */
	readonly farPort: number;
	/** The paths of these callers, which end with the process. */
	readonly path: DelayedPath;
	/** Program that the process runs, undefined for the usual one. */
	readonly program: string | undefined;
	/** Time of the SIGTERM, undefined before. */
	stoppedAt: number | undefined;
	/** Time at which the process was ready. */
	readyAt: number;
	isKilled: boolean;
	isFrozen: boolean;
	thawedAt: number;
	/** Newest version of the document whose effect was seen. */
	seenVersion: number;
};

/** The store, the hosts and the workers of a soak, in processes of their own except for the store. */
export class SoakFleet {
	readonly store = new StandInStore();
	/** The running process of each host, undefined while it is replaced. */
	readonly hosts = new Map<string, HostLife>();
	/** All processes of hosts, for their logs. */
	readonly lives: HostLife[] = [];
	/** Program of the next process of each host, for those that don't run the usual one. */
	readonly programs = new Map<string, string>();
	/** The process to which each request of a caller was sent. */
	readonly receivers = new Map<string, HostLife>();
	/** Streams that were whole after a new try: the process at which each began, and the one at which it ended. */
	readonly takenUp: Array<{
		readonly from: HostLife | undefined;
		readonly to: HostLife;
	}> = [];

	/** Time at which each key was taken away. */
	readonly revokedAt = new Map<string, number>();
	workers: WorkerProcess[] = [];
	readonly ledger: RequestLedger;
	readonly answers: AnswerAccount;
	configurationVersion = 0;
	/** Version and number of the newest software of the workers. */
	softwareVersion = 1;
	/** True once the soak ends. */
	isStopping = false;
	storeProxy: LoopbackProxy | undefined;
	private storeAddress = '';
	private workerCount = 0;
	private pathCount = 0;
	private readonly paths: DelayedPath[] = [];
	private readonly copies: StoreCopy[] = [];
	private readonly timers: NodeJS.Timeout[] = [];

	constructor(
		readonly record: SoakRecord,
		private readonly secondProgram?: string,
	) {
		this.ledger = new RequestLedger(record);
		this.answers = new AnswerAccount(record);
	}

	/** Starts everything and waits until all hosts are ready. */
	async start(hostCount: number): Promise<void> {
		process.once('exit', this.killHosts);
		this.store.generation = 1;
		this.storeProxy = new LoopbackProxy(await this.store.start());
		this.storeAddress = await this.storeProxy.start();
		this.putConfiguration();
		for (let index = 0; index < streamWorkers; index++) {
			this.addWorker(pools.streams, 'v1');
		}

		for (let index = 0; index < plainWorkers; index++) {
			this.addWorker(pools.plain, 'v1');
		}

		await waitUntil('the workers listen', () =>
			this.workers.every(({isServing}) => isServing),
		);
		this.timers.push(
			setInterval(() => {
				for (const worker of this.workers) {
					worker.writeEntry();
				}
			}, beatMilliseconds),
			setInterval(() => {
				this.copies.push(this.store.copy());
				this.copies.splice(0, this.copies.length - maximumCopies);
			}, copyIntervalMilliseconds),
		);
		await Promise.all(
			Array.from({length: hostCount}, async (_, index) =>
				this.startHost(`h${index + 1}`),
			),
		);
	}

	/** Hosts that take new requests: neither stopping for long nor gone. */
	hostsInRotation(): HostLife[] {
		return [...this.hosts.values()].filter(
			({stoppedAt, isKilled}) => stoppedAt === undefined && !isKilled,
		);
	}

	/** Starts a host in the place of the one with its name and waits until it is ready. */
	async startHost(name: string): Promise<void> {
		const isSecond = Number(name.slice(1)) % 2 === 0;
		const program =
			this.programs.get(name) ?? (isSecond ? this.secondProgram : undefined);
		const host = await startForwardingHost(
			name,
			{
				store: this.storeAddress,
				targets: {drainMilliseconds: 2000},
				failureDomain: failureDomainOf(Number(name.slice(1))),
				// Another build may not know the setting.
				...(program === undefined
					? {keys: {isRevocationStrict: true, revokeMilliseconds}}
					: {}),
			},
			program,
		);
		const path = new DelayedPath(host.ports.callers!, () => {
			this.pathCount++;
			return farPaths[this.pathCount % farPaths.length]!;
		});
		this.paths.push(path);
		const life: HostLife = {
			name,
			host,
			farPort: await path.start(),
			path,
			program,
			stoppedAt: undefined,
			readyAt: Number.POSITIVE_INFINITY,
			isKilled: false,
			isFrozen: false,
			thawedAt: Number.NEGATIVE_INFINITY,
			seenVersion: 0,
		};
		this.lives.push(life);
		if (this.isStopping) {
			path.stop();
			host.process.signal('SIGKILL');
			return;
		}

		host.process.child.once('exit', (code, signal) => {
			this.handleHostExit(life, code, signal);
		});
		await waitUntil(
			`${name} is ready`,
			() =>
				host.process.exitCode !== undefined ||
				host.process.lines.some((line) => line.includes('"forwarding-ready"')),
		);
		if (host.process.exitCode === undefined) {
			life.readyAt = this.record.now();
			this.hosts.set(name, life);
		}
	}

	/** Stops a host as the platform does, and replaces it. */
	stopHost(life: HostLife): void {
		life.stoppedAt = this.record.now();
		life.host.process.signal('SIGTERM');
		setTimeout(() => {
			if (life.host.process.exitCode === undefined) {
				life.isKilled = true;
				life.host.process.signal('SIGKILL');
			}
		}, graceMilliseconds);
	}

	/** Kills a host. It is replaced. */
	killHost(life: HostLife): void {
		life.isKilled = true;
		life.host.process.signal('SIGKILL');
	}

	/** Pauses a host for a time. */
	freezeHost(life: HostLife, milliseconds: number): void {
		life.isFrozen = true;
		life.host.process.signal('SIGSTOP');
		setTimeout(() => {
			life.isFrozen = false;
			life.thawedAt = this.record.now();
			life.host.process.signal('SIGCONT');
		}, milliseconds);
	}

	/** Starts a worker. It lists itself once it listens. */
	addWorker(
		pool: string,
		version: string,
		previous?: {readonly id: string; readonly port: number},
	): void {
		this.workerCount++;
		const index = this.workerCount;
		// Workers that start later hold nothing, so that placement has to give orders.
		const held =
			pool === pools.streams && this.lives.length === 0
				? [0, 1].map((offset) => models[(index + offset) % models.length]!)
				: [];
		const worker = new WorkerProcess({
			settings: {
				id: previous?.id ?? `${pool}-${index}`,
				born: Date.now(),
				version,
				port: previous?.port ?? 0,
				failureDomain: failureDomainOf(index),
				slots,
				maximumConnections,
				models: held,
				maximumModels,
			},
			pool,
			store: this.store,
			onRun: (request) => {
				this.ledger.recordRun(request);
			},
			onRunEnded: (request, end) => {
				this.ledger.recordRunEnd(request, end);
			},
			onOrder: (order) => {
				this.record.count('orders');
				const at = this.record.now();
				const isExcused = this.lives.some(
					({name, isFrozen, thawedAt}) =>
						name === order.holder &&
						(isFrozen || at - thawedAt < thawMilliseconds),
				);
				return {at, isExcused};
			},
			onViolation: (check, detail) => {
				this.record.report({
					check,
					subject: worker.id,
					detail,
					requests: [],
				});
			},
			onCrash: (crashed) => {
				this.record.disturb(missedBeatsMilliseconds);
				this.record.report({
					check: 'worker crashed by its orders',
					subject: crashed.id,
					detail: 'the process ended by itself',
					requests: [],
				});
			},
		});
		this.workers.push(worker);
	}

	/** Kills a worker. Its entry goes after some beats, unless it is started again under its id. */
	killWorker(worker: WorkerProcess): void {
		worker.kill();
		this.workers = this.workers.filter((each) => each !== worker);
		setTimeout(() => {
			if (!this.isStopping && this.workers.every(({id}) => id !== worker.id)) {
				this.store.put('keyed.servers', worker.id, undefined);
			}
		}, missedBeatsMilliseconds);
	}

	/** Writes the next version of the configuration, which adds a route of its own. */
	putConfiguration(): void {
		this.configurationVersion++;
		this.writeConfiguration();
		this.revokedAt.set(
			keyOfVersion(this.configurationVersion - 1),
			this.record.now(),
		);
	}

	/** Restores the store from the oldest copy. The operator and the workers write again what they wrote. */
	restoreStore(): void {
		const copy = this.copies[0];
		if (!copy) {
			return;
		}

		this.store.restore(copy);
		this.copies.splice(0);
		this.writeConfiguration();
		for (const worker of this.workers) {
			worker.writeEntry();
		}
	}

	async stop(): Promise<void> {
		this.isStopping = true;
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		this.killHosts();
		for (const worker of this.workers) {
			worker.kill();
		}

		await waitUntil('all processes have ended', () =>
			this.lives.every(({host}) => host.process.exitCode !== undefined),
		);
		process.off('exit', this.killHosts);
		for (const path of this.paths) {
			path.stop();
		}

		this.storeProxy?.stop();
		this.store.stop();
	}

	/** Workers end by themselves with the process of the soak, hosts do not. */
	private readonly killHosts = (): void => {
		for (const {host} of this.lives) {
			host.process.signal('SIGKILL');
		}
	};

	private writeConfiguration(): void {
		const version = this.configurationVersion;
		const route = (
			name: string,
			service: string,
			rest: Readonly<Record<string, unknown>>,
		) => ({
			name,
			host: 'a.example',
			prefix: `/${name}/`,
			timeout_ms: 12_000,
			goal_ms: 1000,
			service,
			...rest,
		});
		this.store.put('keyed.op', 'config', {
			version,
			tenants: [{name: 'n', api_keys: [steadyKey, keyOfVersion(version)]}],
			routes: [
				route('stream-resumable', pools.streams, {
					kind: 'stream',
					attempts: 2,
					allow_resume: true,
				}),
				route('stream-once', pools.streams, {kind: 'stream', attempts: 1}),
				route('stream-short', pools.streams, {
					kind: 'stream',
					attempts: 2,
					allow_resume: true,
					priority: 1,
				}),
				route('once', pools.plain, {kind: 'non_idempotent', attempts: 1}),
				route('again', pools.plain, {kind: 'idempotent', attempts: 2}),
				...Array.from({length: version}, (_, index) =>
					route(`version-${index + 1}`, pools.plain, {
						kind: 'idempotent',
						attempts: 2,
					}),
				),
			],
			services: [
				{
					name: pools.streams,
					max_conns: maximumConnections,
					engine: {
						weights_mb: workerMegabytes,
						loads_per_s: 2,
						models: models.map((name) => ({
							name,
							weights_mb: modelMegabytes,
							load_s: 0.3,
						})),
					},
				},
				{name: pools.plain, max_conns: maximumConnections},
			],
			limits: {
				header_bytes: 16_384,
				max_body_bytes: 100_000,
				header_ms: 3000,
				idle_ms: 15_000,
			},
		});
	}

	private handleHostExit(
		life: HostLife,
		code: number | null,
		signal: string | null,
	): void {
		if (this.hosts.get(life.name) === life) {
			this.hosts.delete(life.name);
		}

		life.path.cut();
		if (this.isStopping) {
			return;
		}

		const isExpected =
			life.isKilled || (life.stoppedAt !== undefined && code === 0);
		if (!isExpected) {
			this.record.report({
				check: 'host ended by itself',
				subject: life.name,
				detail: `code ${code}, signal ${signal}: ${life.host.process.lines.slice(-5).join('\n')}`,
				requests: [],
			});
		}

		this.startHost(life.name).catch((error: unknown) => {
			if (!this.isStopping) {
				this.record.act(`${life.name} does not start: ${String(error)}`);
			}
		});
	}
}

function failureDomainOf(index: number): string {
	return failureDomains[index % failureDomains.length]!;
}

/** The key that only one version of the configuration has. */
export function keyOfVersion(version: number): string {
	return `key-${version}`;
}
