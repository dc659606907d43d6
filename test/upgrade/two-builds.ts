import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {parseOwnerRecord} from '../../src/contracts/owner-record.js';
import {waitUntil} from '../process/processes.js';
import {SoakCallers} from '../soak/soak-callers.js';
import {SoakFleet, pools, type HostLife} from '../soak/soak-fleet.js';
import {SoakRecord, type Violation} from '../soak/soak-record.js';
import {LeaseChecker} from './lease-checker.js';

/** Disturbances at each step of an upgrade. */
export const disturbances = [
	'none',
	'configuration',
	'owner-killed',
	'store-down',
	'two-versions',
	'workers-killed',
] as const;
/** A disturbance at each step of an upgrade. */
export type Disturbance = (typeof disturbances)[number];

/** Options of a run of two builds. */
export type TwoBuildsOptions = {
	readonly seed: number;
	readonly hosts: number;
	readonly callers: number;
	/** Program of the earlier build. */
	readonly earlier: string;
	/** Program of the later build. Default: the usual program of the tests. */
	readonly later?: string | undefined;
	/** Whether hosts are replaced one after the other, or all at once. */
	readonly manner: 'rolling' | 'complete';
	readonly disturbance: Disturbance;
	/** Time for which the fleet stays as it is after each replacement. */
	readonly settleMilliseconds: number;
};

/** What a run of two builds found. */
export type TwoBuildsResult = {
	/** Violations in which a host of the later build took part, or that no single build is the cause of. */
	readonly violations: readonly Violation[];
	/** Violations of hosts of the earlier build alone, which that build has without the other one too. */
	readonly earlierOnly: readonly Violation[];
	readonly outcomes: Readonly<Record<string, number>>;
	readonly actions: readonly string[];
	/** Changes of the owner, oldest first, each with the build of the host that claimed the lease. */
	readonly claims: ReadonlyArray<'earlier' | 'later'>;
	/** Texts for the violations, with the lines of logs that name their requests. */
	readonly reports: readonly string[];
	/** Lines of all logs that report an unexpected error. */
	readonly unexpectedErrors: readonly string[];
	/** All lines of the hosts' logs, by the name and number of each process. */
	readonly logs: ReadonlyMap<string, readonly string[]>;
	/** Time until each host was replaced, or until all were. */
	readonly replacementMilliseconds: readonly number[];
	/** Streams that began at hosts of one build and were whole after they were taken up at the other: on the way forth, and back. */
	readonly handedOver: {readonly forth: number; readonly back: number};
	/** Records of streams in the store before the way forth, before the way back, and at the end. */
	readonly streamRecords: readonly number[];
};

const storeDownMilliseconds = 3000;
const workerDownMilliseconds = 1000;
/** Time in which a configuration takes effect everywhere (docs/design.md, section 1.8). */
const configurationMilliseconds = 11_000;
const ownerTopic = 'daisylever.owner';
const streamTopic = 'daisylever.streams';
const reportedLines = 20;
/** Checks that concern only the last try of a stream. The others concern all hosts that brought a part of it. */
const checksOfLastTry = new Set([
	'complete before its last event',
	'cut by a stop',
]);

/** Replaces all hosts of the earlier build by those of the later one and back, under load, and checks what callers, workers and the store see. */
export class TwoBuilds {
	private readonly record = new SoakRecord();
	private readonly fleet: SoakFleet;
	private readonly callers: SoakCallers;
	private readonly replacementMilliseconds: number[] = [];
	private readonly streamRecords: number[] = [];
	private readonly lease = new LeaseChecker((check, detail) => {
		this.record.report({check, subject: ownerTopic, detail, requests: []});
	});

	constructor(private readonly options: TwoBuildsOptions) {
		this.fleet = new SoakFleet(this.record);
		this.callers = new SoakCallers(
			this.fleet,
			new SeededRandomSource(options.seed),
		);
	}

	async run(): Promise<TwoBuildsResult> {
		const {fleet, callers, record} = this;
		const {
			earlier,
			later,
			hosts,
			callers: callerCount,
			disturbance,
		} = this.options;
		const names = Array.from({length: hosts}, (_, index) => `h${index + 1}`);
		try {
			for (const name of names) {
				fleet.programs.set(name, earlier);
			}

			fleet.store.onAppend = (topic, body) => {
				if (topic === ownerTopic) {
					this.lease.record(body, record.now());
				}
			};

			await fleet.start(hosts);
			const running = callers.run(callerCount);
			if (disturbance === 'two-versions' || disturbance === 'workers-killed') {
				this.addSecondVersion();
			}

			await this.settle();
			for (const program of [later, earlier]) {
				await this.countStreamRecords();
				record.act(program === earlier ? 'back' : 'forth');
				await (this.options.manner === 'rolling'
					? this.replaceOneByOne(names, program)
					: this.replaceAll(names, program));
			}

			await this.countStreamRecords();
			await this.waitForConfiguration();
			callers.end();
			await running;
		} finally {
			await fleet.stop();
		}

		return this.result();
	}

	private async replaceOneByOne(
		names: readonly string[],
		program: string | undefined,
	): Promise<void> {
		for (const name of names) {
			await this.disturb();
			const startedAt = this.record.now();
			const before = await this.running(name);
			this.setProgram(name, program);
			this.record.act(`SIGTERM ${name}`);
			this.fleet.stopHost(before);
			await waitUntil(`${name} is replaced`, () => {
				const life = this.fleet.hosts.get(name);
				return life !== undefined && life !== before;
			});
			this.replacementMilliseconds.push(
				Math.round(this.record.now() - startedAt),
			);
			if (name === names[0]) {
				this.exchangeWorker();
			}

			await this.settle();
		}
	}

	private async replaceAll(
		names: readonly string[],
		program: string | undefined,
	): Promise<void> {
		await this.disturb();
		const lives = await Promise.all(
			names.map(async (name) => this.running(name)),
		);
		const startedAt = this.record.now();
		this.record.act('SIGKILL all');
		for (const life of lives) {
			this.setProgram(life.name, program);
			this.fleet.killHost(life);
		}

		await waitUntil('all hosts are replaced', () =>
			names.every((name) => {
				const life = this.fleet.hosts.get(name);
				return life !== undefined && !lives.includes(life);
			}),
		);
		this.replacementMilliseconds.push(
			Math.round(this.record.now() - startedAt),
		);
		this.exchangeWorker();
		await this.settle();
	}

	/** Waits until a host runs, because it may have been killed by a disturbance. */
	private async running(name: string): Promise<HostLife> {
		return waitUntil(`${name} runs`, () => {
			const life = this.fleet.hosts.get(name);
			return life?.isKilled ? undefined : life;
		});
	}

	private setProgram(name: string, program: string | undefined): void {
		if (program === undefined) {
			this.fleet.programs.delete(name);
		} else {
			this.fleet.programs.set(name, program);
		}
	}

	private async disturb(): Promise<void> {
		const {fleet, record} = this;
		switch (this.options.disturbance) {
			case 'none':
			case 'two-versions': {
				break;
			}

			case 'workers-killed': {
				this.killWorker();
				break;
			}

			case 'configuration': {
				record.act('configuration');
				fleet.putConfiguration();
				break;
			}

			case 'owner-killed': {
				const owner = this.owner();
				if (owner) {
					record.act(`SIGKILL owner ${owner.name}`);
					record.disturb(storeDownMilliseconds);
					fleet.killHost(owner);
				}

				break;
			}

			case 'store-down': {
				record.act('store away');
				record.disturb(storeDownMilliseconds);
				fleet.store.isAway = true;
				setTimeout(() => {
					fleet.store.isAway = false;
				}, storeDownMilliseconds);
				break;
			}
		}
	}

	/** Kills a worker that has requests, and starts it again under its id and address. */
	private killWorker(): void {
		const {fleet, record} = this;
		const worker = fleet.workers
			.filter(
				({pool, isServing, isLeaving}) =>
					pool === pools.streams && isServing && !isLeaving,
			)
			.sort((left, right) => right.running - left.running)[0];
		if (!worker) {
			return;
		}

		record.act(`SIGKILL worker ${worker.id}`);
		record.disturb(workerDownMilliseconds + 2000);
		const port = Number(worker.address.split(':')[1]);
		fleet.killWorker(worker);
		setTimeout(() => {
			if (!fleet.isStopping) {
				fleet.addWorker(worker.pool, worker.settings.version, {
					id: worker.id,
					port,
				});
			}
		}, workerDownMilliseconds);
	}

	/** Adds workers of a second software version beside the first ones. */
	private addSecondVersion(): void {
		this.fleet.softwareVersion++;
		const version = `v${this.fleet.softwareVersion}`;
		this.record.act(`workers of ${version}`);
		for (let index = 0; index < 2; index++) {
			this.fleet.addWorker(pools.streams, version);
		}
	}

	/** Lets one worker leave, so that the owner has to load its models on an empty one. */
	private exchangeWorker(): void {
		const worker = this.fleet.workers.find(
			({pool, isLeaving}) => pool === pools.streams && !isLeaving,
		);
		if (worker) {
			this.record.act(`worker ${worker.id} leaves`);
			this.fleet.addWorker(pools.streams, worker.settings.version);
			worker.isLeaving = true;
			worker.writeEntry();
		}
	}

	/** Counts the records of streams in the store, of which the hosts that run have to write some while there are two versions. */
	private async countStreamRecords(): Promise<void> {
		const {store} = this.fleet;
		const before = this.streamRecords.at(-1) ?? 0;
		if (this.options.disturbance === 'two-versions') {
			await waitUntil(
				'the hosts write the origins of streams to the store',
				() => store.end(streamTopic) > before,
			);
		}

		this.streamRecords.push(store.end(streamTopic));
	}

	/** Waits until the newest configuration is in force at each host. Throws after the time that the requirements allow. */
	private async waitForConfiguration(): Promise<void> {
		const {fleet} = this;
		await waitUntil(
			'the newest configuration is in force at all hosts',
			() =>
				[...fleet.hosts.values()].every(
					({seenVersion}) => seenVersion === fleet.configurationVersion,
				),
			configurationMilliseconds,
		);
	}

	/** The host that the newest record of the lease names. */
	private owner(): HostLife | undefined {
		const record = this.ownerRecords().at(-1);
		return record && record.kind !== 'released'
			? this.fleet.hosts.get(record.host)
			: undefined;
	}

	private ownerRecords() {
		return [...(this.fleet.store.copy().get(ownerTopic)?.records ?? [])].map(
			(body) => {
				const record = parseOwnerRecord(body);
				if (!record) {
					throw new Error(
						`A record of the lease is unreadable: ${body.toString('utf8')}`,
					);
				}

				return record;
			},
		);
	}

	private async settle(): Promise<void> {
		await new Promise((resolve) => {
			setTimeout(resolve, this.options.settleMilliseconds);
		});
	}

	private result(): TwoBuildsResult {
		const {record, fleet} = this;
		const isEarlierOnly = (violation: Violation) => {
			const lives = this.livesOf(violation);
			return (
				lives.length > 0 &&
				lives.every(({program}) => program === this.options.earlier)
			);
		};

		const violations = record.violations.filter(
			(violation) => !isEarlierOnly(violation),
		);
		// A process can get a port that one of another host had before.
		const builds = new Map(
			fleet.lives.map(({name, host, program}) => [
				`${name} 127.0.0.1:${host.ports.peers}`,
				program === this.options.earlier
					? ('earlier' as const)
					: ('later' as const),
			]),
		);
		return {
			violations,
			earlierOnly: record.violations.filter(isEarlierOnly),
			outcomes: Object.fromEntries(
				[...record.outcomes].sort(([left], [right]) =>
					left.localeCompare(right),
				),
			),
			actions: record.actions,
			claims: this.ownerRecords()
				.filter(({kind}) => kind === 'claimed')
				.map(({host, peerAddress}) => builds.get(`${host} ${peerAddress}`)!),
			reports: violations.map((violation) => this.describe(violation)),
			unexpectedErrors: fleet.lives.flatMap(({name, host}) =>
				host.process.lines
					.filter((line) => line.includes('unexpected-error'))
					.map((line) => `${name}: ${line}`),
			),
			replacementMilliseconds: this.replacementMilliseconds,
			streamRecords: this.streamRecords,
			handedOver: {
				forth: this.countHandedOver(true),
				back: this.countHandedOver(false),
			},
			logs: new Map(
				fleet.lives.map(({name, host}, index) => [
					`${name}-${index}`,
					host.process.lines,
				]),
			),
		};
	}

	private countHandedOver(isForth: boolean): number {
		const {earlier} = this.options;
		return this.fleet.takenUp.filter(
			({from, to}) =>
				from !== undefined &&
				(from.program === earlier) === isForth &&
				(to.program === earlier) !== isForth,
		).length;
	}

	/** Hosts that a violation concerns. */
	private livesOf({check, subject, requests}: Violation): HostLife[] {
		if (check === 'host ended by itself') {
			return this.fleet.lives.filter(({name}) => name === subject).slice(-1);
		}

		const ids = checksOfLastTry.has(check) ? requests.slice(-1) : requests;
		return ids.flatMap((id) => this.fleet.receivers.get(id) ?? []);
	}

	private describe(violation: Violation): string {
		const {check, seconds, subject, detail, requests} = violation;
		const lines = this.fleet.lives.flatMap(({name, host, program}) =>
			host.process.lines
				.filter((line) => requests.some((id) => line.includes(`"${id}"`)))
				.map(
					(line) =>
						`  ${name} ${program === this.options.earlier ? 'earlier' : 'later'}: ${line}`,
				),
		);
		return [
			`seed ${this.options.seed}, ${seconds} s: ${check}: ${subject}: ${detail}`,
			...this.record.actions.map((action) => `  action ${action}`),
			...lines.slice(-reportedLines),
		].join('\n');
	}
}
