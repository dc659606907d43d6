import {type Clock} from '../../base/common/clock.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {modelArtifact} from '../../contracts/artifact.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {
	type Model,
	type WeightStoreLimits,
} from '../../contracts/fleet-document.js';
import {type EnginePool} from '../../contracts/forwarding-document.js';
import {
	type ArtifactKey,
	type ModelId,
	type PoolName,
	type TargetId,
} from '../../contracts/ids.js';
import {
	adapterKey,
	AdapterSlotPolicy,
	type AdapterReference,
	type AdapterTarget,
} from '../../core/adapter-slot-policy.js';
import {DemandEstimator} from '../../core/demand-estimator.js';
import {LoadPacer} from '../../core/load-pacer.js';
import {
	DormancyPolicy,
	canEvictLastReplica,
} from '../../core/dormancy-policy.js';
import {
	defaultPlannerOptions,
	PlacementPlanner,
} from '../../core/placement-planner.js';
import {
	type HeldArtifact,
	type PlacementPolicy,
	type PlacementTarget,
} from '../../core/placement-policy.js';
import {type TargetOrderTask} from './target-order-task.js';

/** Demand of all hosts for the models and adapters of one pool. */
export type PoolDemand = {
	/** Requests that run or wait, by model. */
	readonly models: ReadonlyMap<ModelId, number>;
	/** Time since the last request for each model that was asked for lately. */
	readonly idleMilliseconds: ReadonlyMap<ModelId, number>;
	/** Time since requests come, 0 before the first one. */
	readonly observedMilliseconds: number;
	/** Requests that run or wait, by adapter key. */
	readonly adapters: ReadonlyMap<string, number>;
	/** Adapters that requests wait for, the most wanted first. */
	readonly awaitedAdapters: readonly AdapterReference[];
};

/** Options of the placement of one pool. */
export type PoolPlacementOptions = {
	readonly pool: PoolName;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Tasks of the targets of the pool at the moment. */
	readonly tasks: () => readonly TargetOrderTask[];
	/** Time since a target came that was not listed before. */
	readonly sinceLastNewTarget: () => number;
};

/** Pause between two passes of the planner. */
const planMilliseconds = 400;
/** The same while requests wait for a model without a copy. */
const urgentPlanMilliseconds = 100;
/** Time without a request after which a model may lose its last copy to a busy one. */
const idleMilliseconds = 2500;
/** Running requests for each copy from which spare memory goes to a further copy. The rest keeps second copies of models that may be asked for next. */
const minimumRequestsPerReplica = 6;
/** Running requests for each copy from which a copy of another model is replaced. An eighth of the slots of a target: below, a change costs more than it brings. */
const replacementRequestsPerReplica = 8;
/** How much more requests a busy copy must serve to stay when a model has none: a change takes a target about a second, and rarely asked models can share places in turn. */
const firstCopyFactor = 4;
/** Time without a new target after which the first plan is made. Two heartbeats of targets. */
const settleMilliseconds = 2500;
/** Time after which targets that do not tell their state are planned without. */
const latestPlanMilliseconds = 4000;
/** A copy replaces another one once all hosts have learned of it. */
const announcedMilliseconds = 700;
/** Demand rises within a second, because a load takes one to four. */
const riseMilliseconds = 600;
/** Demand falls within seconds, so that copies follow the models that are busy now. */
const halfLifeMilliseconds = 1500;
/** Running requests that a copy of a model with several copies stands for until requests arrive. */
const expectedRequestsPerCopy = 8;
/** An adapter without a request for this long may make room. Its next load takes milliseconds, while a longer time leaves adapters of a busy model without a place for as long as the others are asked for now and then. */
const adapterIdleMilliseconds = 100;
/** Requests for one adapter from which a second copy is worth a place. */
const adapterCopyRequests = 12;

const loadShare = {index: 0, count: 1};
/** The platform has one version of each model at a time, which a load fetches. */
const onlyVersion = '1';

/** Decides what the targets of one engine pool hold and gives the orders that the moment permits. */
export class PoolPlacement {
	private readonly planner: PlacementPolicy = new PlacementPlanner({
		...defaultPlannerOptions,
		// Loads take a second here, and the places are few: a copy of a model that is no longer busy is worth less
		// than one of a model that is.
		retainedReplicas: 1,
		minimumRequestsPerReplica,
		replacementRequestsPerReplica,
		isDemandFirst: true,
		firstReplicaFactor: firstCopyFactor,
	});

	private readonly dormancy = new DormancyPolicy({idleMilliseconds});
	private readonly demand = new DemandEstimator<ModelId>({
		riseTimeConstantMilliseconds: riseMilliseconds,
		decayHalfLifeMilliseconds: halfLifeMilliseconds,
		minimumEstimate: 0.001,
	});

	private readonly places = new AdapterSlotPolicy({
		idleMilliseconds: adapterIdleMilliseconds,
		secondReplicaRequests: adapterCopyRequests,
	});

	private readonly pacer: LoadPacer;
	private readonly desired = new Map<TargetId, ReadonlySet<ArtifactKey>>();
	private readonly pacedLoads = new Map<
		string,
		{task: TargetOrderTask; model: ModelId}
	>();

	/** Since when requests wait for a model without a copy. */
	private readonly lackingSince = new Map<ModelId, number>();
	private plannedAt = Number.NEGATIVE_INFINITY;
	private hasExpected = false;
	/** Demand that the copies stand for until the first request. */
	private expected: ReadonlyMap<ModelId, number> = new Map();
	private lastPlan = '';

	constructor(
		private engine: EnginePool,
		private readonly options: PoolPlacementOptions,
	) {
		this.pacer = new LoadPacer(
			limitsOf(engine),
			loadShare,
			options.clock.monotonic(),
		);
	}

	/** Takes over a changed document. */
	configure(engine: EnginePool): void {
		this.engine = engine;
		this.pacer.configure(limitsOf(engine), loadShare);
	}

	/** Looks at the demand of the moment and gives orders. */
	step({
		models,
		idleMilliseconds: idle,
		observedMilliseconds,
		adapters,
		awaitedAdapters: wanted,
	}: PoolDemand): void {
		const {clock, tasks} = this.options;
		const now = clock.monotonic();
		const all = tasks().filter(({listed}) => !listed.isLeaving);
		this.demand.observe(
			observedMilliseconds === 0 ? this.expected : models,
			now,
		);
		this.places.observe(adapters, now);
		this.dormancy.observe(idle, observedMilliseconds, now);
		this.noteLacking(models, now);
		this.finishPacedLoads();
		if (
			this.isSettled() &&
			now - this.plannedAt >=
				(this.lacksCopy(models) ? urgentPlanMilliseconds : planMilliseconds)
		) {
			this.expectDemand(now);
			this.plannedAt = now;
			this.plan();
		}

		for (const name of wanted) {
			this.serveAdapter(name, all, now);
		}

		for (const task of all) {
			this.orderModels(task);
		}
	}

	/** True when the pool's document names the model and adapter. */
	hasModel(model: ModelId): boolean {
		return this.engine.models.some(({id}) => id === model);
	}

	private noteLacking(demand: ReadonlyMap<ModelId, number>, now: number): void {
		const held = new Set(
			this.options.tasks().flatMap((task) => [...task.retainedModels()]),
		);
		for (const [model, requests] of demand) {
			if (requests === 0 || held.has(model)) {
				this.lackingSince.delete(model);
			} else if (!this.lackingSince.has(model)) {
				this.lackingSince.set(model, now);
			}
		}

		for (const model of this.lackingSince.keys()) {
			if (!demand.has(model)) {
				this.lackingSince.delete(model);
			}
		}
	}

	/** True when requests wait for a model that no target holds or loads. */
	private lacksCopy(demand: ReadonlyMap<ModelId, number>): boolean {
		const planned = new Set<ArtifactKey>();
		for (const {id} of this.options.tasks()) {
			for (const key of this.desired.get(id) ?? []) {
				planned.add(key);
			}
		}

		return [...demand].some(
			([model, requests]) => requests > 0 && !planned.has(keyOf(model)),
		);
	}

	/** True when a plan can be made. After a start targets list themselves one after the other, and a first plan for some of them would load everything there. */
	private isSettled(): boolean {
		if (this.hasExpected) {
			return true;
		}

		const all = this.options.tasks();
		const since = this.options.sinceLastNewTarget();
		return (
			all.length > 0 &&
			(since >= latestPlanMilliseconds ||
				(since >= settleMilliseconds &&
					all.every(({hasCurrentState: isKnown}) => isKnown)))
		);
	}

	/** Before the first request, the copies that targets hold say which models were busy. */
	private expectDemand(now: number): void {
		if (this.hasExpected) {
			return;
		}

		this.hasExpected = true;
		const expected = new Map<ModelId, number>();
		for (const {ledger} of this.options.tasks()) {
			for (const model of ledger.residentModels().keys()) {
				expected.set(
					model,
					(expected.get(model) ?? 0) + expectedRequestsPerCopy,
				);
			}
		}

		for (const [model, requests] of expected) {
			if (requests <= expectedRequestsPerCopy) {
				expected.delete(model);
			}
		}

		this.expected = expected;
		this.demand.observe(expected, now);
	}

	private plan(): void {
		// Of a target that has just come it is not known yet what it holds.
		const tasks = this.options
			.tasks()
			.filter(({hasCurrentState: isKnown}) => isKnown);
		const demand = this.demand.estimate();
		const largestGain = this.largestGain(demand);
		const placement = this.planner.plan({
			models: this.engine.models.map(({id, bytes}) => ({
				id,
				pool: this.options.pool,
				version: onlyVersion,
				bytes,
				minimumReplicas: this.mayGo(id, demand.get(id) ?? 0, largestGain)
					? 0
					: 1,
			})),
			adapters: [],
			targets: tasks.map((task) => this.placementTarget(task)),
			demand,
			unservedMilliseconds: new Map(
				[...this.lackingSince].map(([model, since]) => [
					model,
					this.options.clock.monotonic() - since,
				]),
			),
			limits: limitsOf(this.engine),
		});
		for (const task of tasks) {
			const desired = placement.desired.get(task.id) ?? new Set();
			this.desired.set(task.id, desired);
			if (!task.listed.isLeaving) {
				task.setDesiredModels(
					new Set(
						this.engine.models
							.map(({id}) => id)
							.filter((id) => desired.has(keyOf(id))),
					),
				);
			}
		}

		const moves = placement.moves.map(
			({action, target, artifact, reason}) =>
				`${action} ${artifact.key} on ${target}: ${reason}`,
		);
		const text = moves.join('\n');
		if (text !== this.lastPlan) {
			this.lastPlan = text;
			this.options.events.record(forwardingEvents.modelsPlanned, {
				pool: this.options.pool,
				moves,
				demand: [...this.demand.estimate()].map(
					([model, requests]) => `${model} ${requests.toFixed(1)}`,
				),
				unplaced: placement.unplaced.map(({artifact}) => artifact.key),
			});
		}
	}

	private placementTarget(task: TargetOrderTask): PlacementTarget {
		const {ledger, listed} = task;
		const held = new Map<ArtifactKey, HeldArtifact>();
		const resident = ledger.residentModels();
		for (const {id, bytes} of this.engine.models) {
			if (ledger.unloadingModels.has(id)) {
				held.set(keyOf(id), {bytes, state: 'unloading'});
			} else if (resident.has(id)) {
				held.set(keyOf(id), {
					bytes,
					state: 'resident',
					isAnnounced: task.residentMilliseconds(id) >= announcedMilliseconds,
				});
			} else if (ledger.loadingModels.has(id)) {
				held.set(keyOf(id), {bytes, state: 'loading'});
			}
		}

		let reservedBytes = 0;
		for (const model of ledger.chargedModels()) {
			reservedBytes += held.has(keyOf(model)) ? 0 : this.bytesOf(model);
		}

		return {
			id: task.id,
			failureDomain: listed.failureDomain,
			memoryBytes: this.modelBytes(),
			slots: listed.slots,
			state: listed.isLeaving ? 'leaving' : 'live',
			held,
			reservedBytes,
			// What a target holds when it is first seen is kept as long as nothing else needs its place.
			planned: this.desired.get(task.id) ?? new Set(held.keys()),
			cachedModels: new Set(
				[...listed.localWeights.inMemory, ...listed.localWeights.onDisk].map(
					(id) => keyOf(id),
				),
			),
		};
	}

	/** Memory of a target without what its adapters may take. */
	private modelBytes(): number {
		const adapterBytes = Math.max(
			0,
			...this.engine.models.map((model) => model.adapterBytes),
		);
		return this.engine.memoryBytes - this.engine.adapterSlots * adapterBytes;
	}

	private serveAdapter(
		name: AdapterReference,
		tasks: readonly TargetOrderTask[],
		now: number,
	): void {
		if (!this.hasModel(name.model)) {
			return;
		}

		const idle = tasks.filter(({canSendOrder: isIdle}) => isIdle);
		const holders = tasks.filter((task) =>
			task.ledger
				.chargedAdapters()
				.some((held) => adapterKey(held) === adapterKey(name)),
		);
		// A busy target may hold the adapter, which counts, but takes no orders.
		const targets = [...new Set([...idle, ...holders])].map((task) =>
			this.adapterTarget(task),
		);
		const step = this.places.nextStep(name, targets, now);
		const task = idle.find(({id}) => id === step?.target);
		if (!step || !task) {
			return;
		}

		void task.sendOrder(
			{action: step.action, ...step.adapter},
			step.action === 'load'
				? 'requests wait for the adapter'
				: `room for ${adapterKey(name)}`,
		);
	}

	private adapterTarget(task: TargetOrderTask): AdapterTarget {
		return {
			id: task.id,
			adapterSlots: this.engine.adapterSlots,
			models: task.retainedModels(),
			chargedAdapters: task.ledger.chargedAdapters(),
			load: 0,
		};
	}

	private orderModels(task: TargetOrderTask): void {
		if (!task.canSendOrder || task.ledger.hasOpenOrder) {
			return;
		}

		const desired = this.desired.get(task.id);
		if (!desired) {
			return;
		}

		const retired = task.retiredModel();
		if (retired !== undefined) {
			void task.sendOrder(
				{action: 'unload', model: retired, adapter: undefined},
				'the plan does not contain the model here',
			);
			return;
		}

		const charged = task.ledger.chargedModels();
		let used = 0;
		for (const model of charged) {
			used += this.bytesOf(model);
		}

		for (const {id, bytes} of this.engine.models) {
			if (!desired.has(keyOf(id)) || charged.has(id)) {
				continue;
			}

			if (used + bytes > this.modelBytes() || !this.mayLoad(task, id)) {
				continue;
			}

			void task.sendOrder(
				{action: 'load', model: id, adapter: undefined},
				'the plan contains the model here',
			);
			return;
		}
	}

	/** Weights at hand do not use the weight store. */
	private mayLoad(task: TargetOrderTask, model: ModelId): boolean {
		const {inMemory, onDisk} = task.listed.localWeights;
		if (inMemory.includes(model) || onDisk.includes(model)) {
			return true;
		}

		const {clock} = this.options;
		const id = `${task.id}/${model}`;
		const isStarted = this.pacer.tryStart(id, 'model', {
			now: clock.monotonic(),
			wall: clock.wall(),
		});
		if (isStarted) {
			this.pacedLoads.set(id, {task, model});
		}

		return isStarted;
	}

	private finishPacedLoads(): void {
		for (const [id, {task, model}] of this.pacedLoads) {
			if (task.canSendOrder && !task.ledger.loadingModels.has(model)) {
				this.pacedLoads.delete(id);
				this.pacer.finish(id);
			}
		}
	}

	private bytesOf(model: ModelId): number {
		return this.engine.models.find(({id}) => id === model)?.bytes ?? 0;
	}

	/** Running requests that one more copy of the busiest model would take over. */
	private largestGain(demand: ReadonlyMap<ModelId, number>): number {
		let largest = 0;
		for (const [model, requests] of demand) {
			let copies = 0;
			for (const {id, listed} of this.options.tasks()) {
				copies +=
					!listed.isLeaving && this.desired.get(id)?.has(keyOf(model)) ? 1 : 0;
			}

			largest = Math.max(
				largest,
				requests / ((copies + 1) * Math.max(1, copies)),
			);
		}

		return largest;
	}

	/** True when the model may be without a copy. */
	private mayGo(id: ModelId, requests: number, largestGain: number): boolean {
		const residentMilliseconds = Math.max(
			0,
			...this.options.tasks().map((task) => task.residentMilliseconds(id)),
		);
		return (
			this.dormancy.isDormant(id, this.options.clock.monotonic()) ||
			canEvictLastReplica({requests, residentMilliseconds}, largestGain)
		);
	}
}

function keyOf(id: ModelId): ArtifactKey {
	return modelArtifact({id, version: onlyVersion} as Model).key;
}

/** The store's concurrency is not stated; loads that run for their usual time at the permitted rate do not slow each other. */
function limitsOf(engine: EnginePool): WeightStoreLimits {
	const loadSeconds =
		engine.models.reduce((sum, model) => sum + model.loadMilliseconds, 0) /
		1000 /
		Math.max(1, engine.models.length);
	return {
		loadsPerSecond: engine.loadsPerSecond,
		concurrentLoads: Math.max(
			2,
			Math.ceil(engine.loadsPerSecond * loadSeconds),
		),
		concurrentAdapterLoads: 16,
	};
}
