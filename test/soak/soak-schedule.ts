import {type RandomSource} from '../../src/base/common/random-source.js';
import {pools, type HostLife, type SoakFleet} from './soak-fleet.js';
import {type WorkerProcess} from './worker-process.js';

/** Hosts that must stay in rotation when one is stopped, killed or paused. */
const minimumHosts = 2;
/** Time for which an entry of a worker stays on the list as leaving, and after which it ends at the latest. */
const drainMilliseconds = {shortest: 3500, longest: 9000} as const;
/** Shortest pause between two actions, and the span from which more is drawn. */
const pauseMilliseconds = {shortest: 700, span: 1800} as const;

/** Draws actions from a seed and carries them out on a fleet. */
export class SoakSchedule {
	private isEnding = false;
	private readonly actions: ReadonlyArray<readonly [number, () => void]>;

	constructor(
		private readonly fleet: SoakFleet,
		private readonly random: RandomSource,
	) {
		this.actions = [
			[
				4,
				() => {
					this.roll();
				},
			],
			[
				2,
				() => {
					this.killHost();
				},
			],
			[
				2,
				() => {
					this.freezeHost();
				},
			],
			[
				5,
				() => {
					this.killWorker();
				},
			],
			[
				2,
				() => {
					this.release();
				},
			],
			[
				4,
				() => {
					this.disturbWorker();
				},
			],
			[
				4,
				() => {
					this.disturbStore();
				},
			],
			[
				3,
				() => {
					this.configure();
				},
			],
		];
	}

	/** Acts until `end` is called. Spans with planned work only take turns with spans of all actions. */
	async run(): Promise<void> {
		const total = this.actions.reduce((sum, [weight]) => sum + weight, 0);
		while (!this.isEnding) {
			await this.pause(
				pauseMilliseconds.shortest +
					this.random.integer(pauseMilliseconds.span),
			);
			const isCalm = Math.floor(this.fleet.record.now() / 20_000) % 3 === 2;
			if (isCalm) {
				if (this.random.integer(2) === 0) {
					this.roll();
				} else {
					this.configure();
				}

				continue;
			}

			let draw = this.random.integer(total);
			for (const [weight, action] of this.actions) {
				if (draw < weight) {
					action();
					break;
				}

				draw -= weight;
			}
		}
	}

	end(): void {
		this.isEnding = true;
	}

	private roll(): void {
		const life = this.pickHost();
		if (!life) {
			return;
		}

		this.fleet.record.act(`SIGTERM ${life.name}`);
		this.fleet.stopHost(life);
		if (this.random.integer(2) === 0) {
			setTimeout(() => {
				const next = this.pickHost();
				if (next && !this.isEnding) {
					this.fleet.record.act(`SIGTERM ${next.name}`);
					this.fleet.stopHost(next);
				}
			}, this.random.integer(3000));
		}
	}

	private killHost(): void {
		const life = this.pickHost();
		if (life) {
			this.act(`SIGKILL ${life.name}`, 2000);
			this.fleet.killHost(life);
		}
	}

	private freezeHost(): void {
		const life = this.pickHost();
		const milliseconds = 200 + this.random.integer(4000);
		if (life) {
			this.act(`SIGSTOP ${life.name} for ${milliseconds}`, milliseconds);
			this.fleet.freezeHost(life, milliseconds);
		}
	}

	private killWorker(): void {
		const worker = this.pickWorker(
			this.random.integer(3) === 0 ? pools.plain : pools.streams,
		);
		if (!worker) {
			return;
		}

		const delay = 20 + this.random.integer(2000);
		const isSame = this.random.integer(2) === 0;
		this.act(
			`SIGKILL worker ${worker.id}, back after ${delay} as ${isSame ? 'itself' : 'a new one'}`,
			delay + 2000,
		);
		this.fleet.killWorker(worker);
		const port = Number(worker.address.split(':')[1]);
		setTimeout(() => {
			if (!this.fleet.isStopping) {
				this.fleet.addWorker(
					worker.pool,
					worker.settings.version,
					isSame ? {id: worker.id, port} : undefined,
				);
			}
		}, delay);
	}

	/** Replaces workers by those of another software version, which serve side by side for a while. */
	private release(): void {
		const old = this.fleet.workers.filter(
			({pool, isLeaving}) => pool === pools.streams && !isLeaving,
		);
		if (old.length === 0 || old.length > 4) {
			return;
		}

		this.fleet.softwareVersion++;
		const version = `v${this.fleet.softwareVersion}`;
		const leaving = old.slice(0, 1 + this.random.integer(old.length));
		this.fleet.record.act(
			`release ${version} in the place of ${leaving.map(({id}) => id).join(', ')}`,
		);
		for (const worker of leaving) {
			this.fleet.addWorker(pools.streams, version);
			setTimeout(
				() => {
					this.drain(worker);
				},
				1000 + this.random.integer(3000),
			);
		}
	}

	private drain(worker: WorkerProcess): void {
		if (worker.hasEnded || this.fleet.isStopping) {
			return;
		}

		worker.isLeaving = true;
		worker.writeEntry();
		const {record} = this.fleet;
		const startedAt = record.now();
		const timer = setInterval(() => {
			const age = record.now() - startedAt;
			const isDrained =
				age > drainMilliseconds.shortest && worker.running === 0;
			if (
				isDrained ||
				age > drainMilliseconds.longest ||
				this.fleet.isStopping
			) {
				clearInterval(timer);
				if (!isDrained) {
					record.disturb(1000);
				}

				record.act(`worker ${worker.id} leaves`);
				this.fleet.killWorker(worker);
			}
		}, 100);
	}

	private disturbWorker(): void {
		const worker = this.pickWorker(pools.streams);
		if (!worker) {
			return;
		}

		const milliseconds = 300 + this.random.integer(2500);
		switch (this.random.integer(4)) {
			case 0: {
				this.act(
					`worker ${worker.id} silent for ${milliseconds}`,
					milliseconds,
				);
				worker.tell({kind: 'silent', milliseconds});
				break;
			}

			case 1: {
				this.act(`worker ${worker.id} slow for ${milliseconds}`, milliseconds);
				worker.tell({
					kind: 'slow',
					milliseconds,
					factor: 2 + this.random.integer(20),
				});
				break;
			}

			case 2: {
				this.act(`worker ${worker.id} resets`, 500);
				worker.tell({kind: 'reset'});
				break;
			}

			default: {
				const delayMilliseconds = this.random.integer(3000);
				this.act(`worker ${worker.id} loses orders`, 0);
				worker.tell({kind: 'lose-orders', count: 3, delayMilliseconds});
			}
		}
	}

	private disturbStore(): void {
		const {store, storeProxy} = this.fleet;
		const milliseconds = 200 + this.random.integer(3500);
		switch (this.random.integer(3)) {
			case 0: {
				this.act(`store away for ${milliseconds}`, milliseconds);
				store.isAway = true;
				setTimeout(() => {
					store.isAway = false;
				}, milliseconds);
				break;
			}

			case 1: {
				this.act(`store silent for ${milliseconds}`, milliseconds);
				storeProxy?.silence();
				setTimeout(() => {
					storeProxy?.resume();
				}, milliseconds);
				break;
			}

			default: {
				this.act('store restored from a copy', 2500);
				store.isAway = true;
				setTimeout(
					() => {
						this.fleet.restoreStore();
						store.isAway = false;
					},
					100 + this.random.integer(900),
				);
			}
		}
	}

	private configure(): void {
		const count = 1 + this.random.integer(4);
		this.fleet.record.act(`${count} configurations`);
		for (let index = 0; index < count; index++) {
			setTimeout(
				() => {
					this.fleet.putConfiguration();
				},
				index * (20 + this.random.integer(150)),
			);
		}
	}

	private act(text: string, disturbedMilliseconds: number): void {
		this.fleet.record.act(text);
		this.fleet.record.disturb(disturbedMilliseconds);
	}

	private pickHost(): HostLife | undefined {
		const hosts = this.fleet
			.hostsInRotation()
			.filter(({isFrozen}) => !isFrozen);
		return hosts.length > minimumHosts
			? hosts[this.random.integer(hosts.length)]
			: undefined;
	}

	private pickWorker(pool: string): WorkerProcess | undefined {
		const workers = this.fleet.workers.filter(
			(worker) => worker.pool === pool && worker.isServing && !worker.isLeaving,
		);
		return workers[this.random.integer(workers.length)];
	}

	private async pause(milliseconds: number): Promise<void> {
		await new Promise((resolve) => {
			setTimeout(resolve, milliseconds);
		});
	}
}
