import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {SeededRandomSource} from '../base/common/random-source.js';
import {
	type Adapter,
	type Model,
	type WeightStoreLimits,
} from '../contracts/fleet-document.js';
import {
	type AdapterId,
	type ArtifactKey,
	type FailureDomain,
	type ModelId,
	type PoolName,
	type TargetId,
} from '../contracts/ids.js';
import {DemandEstimator} from '../core/placement/demand-estimator.js';
import {
	GreedyPlacementPolicy,
	PlacementPlanner,
	StaticPlacementPolicy,
} from '../core/placement/placement-planner.js';
import {
	type HeldArtifact,
	type Placement,
	type PlacementPolicy,
	type PlacementTarget,
} from '../core/placement/placement-policy.js';

// Compares placement policies on simulated deployments and prints a Markdown table.

/** Size and load of a measured deployment. */
type Deployment = {
	readonly name: string;
	readonly workers: number;
	readonly accelerators: number;
	readonly models: number;
	readonly adapters: number;
	readonly failureDomains: number;
	readonly limits: WeightStoreLimits;
	/** Mean number of running requests, as a share of all slots. */
	readonly meanLoad: number;
	/** Memory of all workers divided by the memory of one replica of each model and adapter. */
	readonly memoryRatio: number;
	readonly seconds: number;
	readonly passSeconds: number;
	readonly swingSeconds: number;
};

type Worker = Omit<PlacementTarget, 'held' | 'planned'> & {
	readonly held: Map<ArtifactKey, HeldArtifact>;
	readonly planned: Set<ArtifactKey>;
};

type Load = {
	readonly worker: Worker;
	readonly key: ArtifactKey;
	readonly bytes: number;
};

type Outcome = {
	attainment: number;
	perAccelerator: number;
	modelLoads: number;
	unreachableModelSamples: number;
	unreachableAdapterSamples: number;
	passMilliseconds: number[];
	heapMegabytes: number;
};

const seed = 20_261_204;
const slotsPerAccelerator = 8;
const gigabyte = 1_000_000_000;
const warmUpSeconds = 120;
const sampleSeconds = 5;
// Passes between readings of the heap size, since a reading takes longer than a small pass.
const heapSampleInterval = 20;

const deployments: readonly Deployment[] = [
	{
		name: 'Agenzia, sarto-lm',
		workers: 6,
		accelerators: 6,
		models: 13,
		adapters: 55,
		failureDomains: 3,
		limits: {
			loadsPerSecond: 1.5,
			concurrentLoads: 5,
			concurrentAdapterLoads: 40,
		},
		meanLoad: 0.5,
		memoryRatio: 3,
		seconds: 3600,
		passSeconds: 1,
		swingSeconds: 3600,
	},
	{
		name: 'Cooperativa, talk-models',
		workers: 6,
		accelerators: 6,
		models: 17,
		adapters: 60,
		failureDomains: 4,
		limits: {
			loadsPerSecond: 2,
			concurrentLoads: 2,
			concurrentAdapterLoads: 16,
		},
		meanLoad: 0.5,
		memoryRatio: 3,
		seconds: 3600,
		passSeconds: 1,
		swingSeconds: 3600,
	},
	{
		name: 'design scale',
		workers: 1000,
		accelerators: 8100,
		models: 260,
		adapters: 1000,
		failureDomains: 10,
		limits: {
			loadsPerSecond: 40,
			concurrentLoads: 120,
			concurrentAdapterLoads: 400,
		},
		meanLoad: 0.5,
		memoryRatio: 20,
		seconds: 900,
		passSeconds: 15,
		swingSeconds: 3600,
	},
];

/** A deployment with its demand over time, which is the same for each policy. */
class Scenario {
	readonly models: Model[] = [];
	readonly adapters: Adapter[] = [];
	readonly workers: Worker[] = [];
	private readonly bases: number[] = [];
	private readonly phases: number[] = [];
	private readonly bursts: Array<{model: number; from: number; to: number}> =
		[];

	constructor(readonly deployment: Deployment) {
		const random = new SeededRandomSource(seed);
		const {workers, accelerators, models, adapters} = deployment;
		let bytes = 0;
		for (let index = 0; index < models; index++) {
			const model = {
				id: `m${index}` as ModelId,
				pool: 'p' as PoolName,
				version: '1',
				bytes: (8 + random.integer(25)) * gigabyte,
				minimumReplicas: 1,
			};
			this.models.push(model);
			bytes += model.bytes;
			this.bases.push(1 / (random.integer(models) + 1));
			this.phases.push(random.next());
		}

		for (let index = 0; index < adapters; index++) {
			const adapterBytes = (1 + random.integer(3)) * gigabyte * 0.1;
			bytes += adapterBytes;
			this.adapters.push({
				id: `a${index}` as AdapterId,
				model: `m${random.integer(models)}` as ModelId,
				version: '1',
				bytes: adapterBytes,
			});
		}

		for (let index = 0; index < workers; index++) {
			const workerAccelerators =
				Math.floor((accelerators * (index + 1)) / workers) -
				Math.floor((accelerators * index) / workers);
			this.workers.push({
				id: `t${index}` as TargetId,
				failureDomain: `d${index % deployment.failureDomains}` as FailureDomain,
				memoryBytes: Math.floor(
					(bytes * deployment.memoryRatio * workerAccelerators) / accelerators,
				),
				slots: workerAccelerators * slotsPerAccelerator,
				state: 'live',
				reservedBytes: 0,
				held: new Map(),
				planned: new Set(),
			});
		}

		const burstCount = Math.ceil((deployment.seconds * models) / 3600);
		for (let burst = 0; burst < burstCount; burst++) {
			const from = random.integer(deployment.seconds);
			this.bursts.push({
				model: random.integer(models),
				from,
				to: from + 30 + random.integer(180),
			});
		}

		const total = this.bases.reduce((sum, base) => sum + base, 0);
		// The mean of the swing in `demand` is about 1.8 times the base.
		const scale =
			(deployment.meanLoad * accelerators * slotsPerAccelerator) / total / 1.8;
		for (const [index, base] of this.bases.entries()) {
			this.bases[index] = base * scale;
		}
	}

	/**
	 * Returns the running requests that each model would have with unlimited slots. They vary tenfold within
	 * `swingSeconds`, with additional tenfold bursts.
	 */
	demand(second: number): Map<ModelId, number> {
		const demand = new Map<ModelId, number>();
		for (const [index, model] of this.models.entries()) {
			const angle =
				2 *
				Math.PI *
				(second / this.deployment.swingSeconds + this.phases[index]!);
			const swing = 10 ** (0.5 + 0.5 * Math.sin(angle)) / 2.2;
			demand.set(model.id, this.bases[index]! * swing);
		}

		for (const {model, from, to} of this.bursts) {
			if (second >= from && second < to) {
				const {id} = this.models[model]!;
				demand.set(id, demand.get(id)! * 10);
			}
		}

		return demand;
	}
}

/** Applies the plans of a policy within the limits of the weight store and counts the requests served. */
class Run {
	private readonly scenario: Scenario;
	private readonly estimator = new DemandEstimator<ModelId>();
	private readonly waiting: Load[] = [];
	private running: Array<Load & {readonly end: number}> = [];
	private tokens = 1;
	private offered = 0;
	private served = 0;
	private samples = 0;
	private readonly outcome: Outcome = {
		attainment: 0,
		perAccelerator: 0,
		modelLoads: 0,
		unreachableModelSamples: 0,
		unreachableAdapterSamples: 0,
		passMilliseconds: [],
		heapMegabytes: 0,
	};

	constructor(
		private readonly deployment: Deployment,
		private readonly policy: PlacementPolicy,
		private readonly isEstimating: boolean,
	) {
		this.scenario = new Scenario(deployment);
	}

	run(): Outcome {
		const {seconds, passSeconds, accelerators} = this.deployment;
		for (let second = 0; second < seconds; second++) {
			const demand = this.scenario.demand(second);
			this.estimator.observe(demand, second * 1000);
			if (second % passSeconds === 0) {
				this.pass(this.isEstimating ? this.estimator.estimate() : demand);
			}

			this.load(second);
			if (second >= warmUpSeconds && second % sampleSeconds === 0) {
				this.serve(demand);
			}
		}

		this.outcome.attainment = this.served / this.offered;
		this.outcome.perAccelerator = this.served / this.samples / accelerators;
		return this.outcome;
	}

	private pass(demand: ReadonlyMap<ModelId, number>): void {
		const {models, adapters, workers} = this.scenario;
		const isSampled =
			this.outcome.passMilliseconds.length % heapSampleInterval === 0;
		const heapBefore = isSampled ? process.memoryUsage().heapUsed : 0;
		const start = performance.now();
		const placement = this.policy.plan({
			models,
			adapters,
			targets: workers,
			demand,
			limits: this.deployment.limits,
		});
		this.outcome.passMilliseconds.push(performance.now() - start);
		if (isSampled) {
			this.outcome.heapMegabytes = Math.max(
				this.outcome.heapMegabytes,
				(process.memoryUsage().heapUsed - heapBefore) / 1_000_000,
			);
		}

		this.applyMoves(placement);
	}

	private applyMoves({moves}: Placement): void {
		const byId = new Map(this.scenario.workers.map((item) => [item.id, item]));
		const {limits, passSeconds} = this.deployment;
		let budget =
			Math.max(
				limits.concurrentLoads,
				Math.ceil(limits.loadsPerSecond * Math.max(10, passSeconds)),
			) -
			this.waiting.length -
			this.running.length;
		for (const {action, target, artifact, isImmediate} of moves) {
			const worker = byId.get(target)!;
			const isModel = artifact.kind === 'model';
			if (!isImmediate || (action === 'load' && isModel && budget <= 0)) {
				continue;
			}

			if (action === 'unload') {
				worker.planned.delete(artifact.key);
				worker.held.delete(artifact.key);
				continue;
			}

			worker.planned.add(artifact.key);
			if (worker.held.has(artifact.key)) {
				continue;
			}

			const {bytes} = artifact;
			worker.held.set(artifact.key, {
				bytes,
				state: isModel ? 'loading' : 'resident',
			});
			if (isModel) {
				budget -= 1;
				this.outcome.modelLoads += 1;
				this.waiting.push({worker, key: artifact.key, bytes});
			}
		}
	}

	private load(second: number): void {
		const {loadsPerSecond, concurrentLoads} = this.deployment.limits;
		for (const {worker, key, bytes, end} of this.running) {
			if (end <= second && worker.held.has(key)) {
				worker.held.set(key, {bytes, state: 'resident'});
			}
		}

		this.running = this.running.filter(({end}) => end > second);
		this.tokens = Math.min(
			Math.max(1, loadsPerSecond),
			this.tokens + loadsPerSecond,
		);
		while (
			this.tokens >= 1 &&
			this.running.length < concurrentLoads &&
			this.waiting.length > 0
		) {
			this.tokens -= 1;
			const load = this.waiting.shift()!;
			const duration = Math.max(1, concurrentLoads / loadsPerSecond);
			this.running.push({...load, end: second + duration});
		}
	}

	/** Distributes the requests of each model over the free slots of the workers on which it is resident. */
	private serve(demand: ReadonlyMap<ModelId, number>): void {
		const {workers, models, adapters} = this.scenario;
		this.samples += 1;
		const free = new Map(workers.map((worker) => [worker, worker.slots]));
		const holders = new Map<ArtifactKey, Worker[]>();
		for (const worker of workers) {
			for (const [key, {state}] of worker.held) {
				if (state === 'resident') {
					const workersOfKey = holders.get(key) ?? [];
					workersOfKey.push(worker);
					holders.set(key, workersOfKey);
				}
			}
		}

		const open = models.map(({id}) => ({
			holdingWorkers: holders.get(`model/${id}@1` as ArtifactKey) ?? [],
			remaining: demand.get(id) ?? 0,
		}));
		for (const {holdingWorkers, remaining} of open) {
			this.offered += remaining;
			this.served += remaining;
			this.outcome.unreachableModelSamples +=
				holdingWorkers.length === 0 ? 1 : 0;
		}

		for (const {id, model} of adapters) {
			const holdingWorkers =
				holders.get(`adapter/${id}@1` as ArtifactKey) ?? [];
			const modelKey = `model/${model}@1` as ArtifactKey;
			const isServed = holdingWorkers.some(
				({held}) => held.get(modelKey)?.state === 'resident',
			);
			this.outcome.unreachableAdapterSamples += isServed ? 0 : 1;
		}

		// Models with few replicas are served first, in small portions, so that shared workers fill evenly.
		open.sort(
			(left, right) => left.holdingWorkers.length - right.holdingWorkers.length,
		);
		for (let round = 8; round > 0; round--) {
			for (const item of open) {
				let available = 0;
				for (const holdingWorker of item.holdingWorkers) {
					available += free.get(holdingWorker)!;
				}

				const portion = Math.min(available, item.remaining / round);
				if (portion <= 0) {
					continue;
				}

				for (const holdingWorker of item.holdingWorkers) {
					const left = free.get(holdingWorker)!;
					free.set(holdingWorker, left - (portion * left) / available);
				}

				item.remaining -= portion;
			}
		}

		for (const {remaining} of open) {
			this.served -= remaining;
		}
	}
}

function percentile(values: readonly number[], share: number): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[
		Math.min(sorted.length - 1, Math.floor(sorted.length * share))
	]!;
}

const lines = [
	`Date ${new Date().toISOString().slice(0, 10)}, seed ${seed}, Node.js ${process.version}, virtual clock.`,
	'',
	'| deployment | policy | attainment | served requests an accelerator | model loads an hour | unreachable model samples | unreachable adapter samples | pass p50 ms | pass max ms | heap growth of a pass MB |',
	'| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
];
for (const deployment of deployments) {
	for (const [name, policy, isEstimating] of [
		['static', new StaticPlacementPolicy(), false],
		['greedy', new GreedyPlacementPolicy(), false],
		['planner', new PlacementPlanner(), true],
	] as const) {
		const outcome = new Run(deployment, policy, isEstimating).run();
		const cells = [
			deployment.name,
			name,
			outcome.attainment.toFixed(4),
			outcome.perAccelerator.toFixed(3),
			Math.round((outcome.modelLoads * 3600) / deployment.seconds),
			outcome.unreachableModelSamples,
			outcome.unreachableAdapterSamples,
			percentile(outcome.passMilliseconds, 0.5).toFixed(2),
			Math.max(...outcome.passMilliseconds).toFixed(1),
			outcome.heapMegabytes.toFixed(1),
		];
		lines.push(`| ${cells.join(' | ')} |`);
	}
}

process.stdout.write(`${lines.join('\n')}\n`);
