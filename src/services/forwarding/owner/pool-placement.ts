import {type Clock} from '../../../base/common/clock.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {modelArtifact} from '../../../contracts/artifact.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {
	type Model,
	type WeightStoreLimits,
} from '../../../contracts/fleet-document.js';
import {type EnginePool} from '../../../contracts/forwarding-document.js';
import {
	type ArtifactKey,
	type ModelId,
	type PoolName,
	type TargetId,
	type SoftwareVersion,
} from '../../../contracts/ids.js';
import {
	adapterKey,
	AdapterSlotPolicy,
	type AdapterReference,
	type AdapterTarget,
} from '../../../core/placement/adapter-slot-policy.js';
import {DemandEstimator} from '../../../core/placement/demand-estimator.js';
import {LoadPacer} from '../../../core/placement/load-pacer.js';
import {OverdueLoads} from '../../../core/placement/overdue-loads.js';
import {
	DormancyPolicy,
	canEvictLastReplica,
} from '../../../core/placement/dormancy-policy.js';
import {
	defaultPlannerOptions,
	PlacementPlanner,
} from '../../../core/placement/placement-planner.js';
import {SlotSharing} from '../../../core/placement/slot-sharing.js';
import {
	type HeldArtifact,
	type PlacementPolicy,
	type PlacementTarget,
} from '../../../core/placement/placement-policy.js';
import {type TargetOrderTask} from '../targets/target-order-task.js';
import {versionOf} from '../targets/target-registry.js';
import {UnservedObserver} from '../targets/unserved-observer.js';

/** Demand of all hosts for the models and adapters of one pool. */
export type PoolDemand = {
	/** Requests that are queued or in flight, by model. */
	readonly models: ReadonlyMap<ModelId, number>;
	/** Time since the last request for each recently requested model. */
	readonly idleMilliseconds: ReadonlyMap<ModelId, number>;
	/** Time since the first request, 0 before it. */
	readonly observedMilliseconds: number;
	/** Requests that are queued or in flight, by adapter key. */
	readonly adapters: ReadonlyMap<string, number>;
	/** Adapters for which requests wait, the one with the most waiting requests first. */
	readonly awaitedAdapters: readonly AwaitedAdapter[];
};

/** An adapter for which requests wait. */
export type AwaitedAdapter = AdapterReference & {
	/** Software version of the targets at which they may run. Any if undefined. */
	readonly softwareVersion: SoftwareVersion | undefined;
};

/** Options of the placement of one pool. */
export type PoolPlacementOptions = {
	readonly pool: PoolName;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Returns the order tasks of the current targets of the pool. */
	readonly tasks: () => readonly TargetOrderTask[];
	/** Returns the milliseconds since the last new target was listed. */
	readonly sinceLastNewTarget: () => number;
	/** Pools whose targets run at most this many requests at once are scheduled by work. 0 for none. */
	readonly workAwareSlots?: number | undefined;
};

/** Interval between two plans. */
const planIntervalMilliseconds = 400;
/** Interval between two plans while requests wait for a model without a replica. */
const urgentPlanIntervalMilliseconds = 100;
/** Largest share of the time that planning may take. */
const maximumPlanShare = 0.1;
/** Time without a request after which the last replica of a model may be replaced by a busy model. */
const modelIdleMilliseconds = 2500;
/** Active requests per replica from which free memory is used for a further replica. The rest of the memory keeps second replicas of models that may be requested next. */
const minimumRequestsPerReplica = 6;
/** Active requests per replica from which a replica of another model is replaced. This is an eighth of the slots of a target. Below it, a replacement costs more than it gains. */
const replacementRequestsPerReplica = 8;
/** Factor by which the requests of a busy replica must exceed those of a model without a replica for the busy replica to stay. A replacement occupies a target for about a second, and rarely requested models can take turns on the same target. */
const firstReplicaFactor = 4;
/** Time without a new target after which the first plan is made, provided that the state of all targets is known. Two heartbeat intervals of targets. */
const settlingMilliseconds = 2500;
/** Time without a new target after which the first plan is made without the targets that have not reported their state. */
const firstPlanTimeoutMilliseconds = 4000;
/** Time after which all hosts know of a new replica, so that it may replace another one. */
const announcementMilliseconds = 700;
/** Time constant for rising demand. Demand rises within a second, because a load takes one to four seconds. */
const riseTimeConstantMilliseconds = 600;
/** Half-life of falling demand. Demand falls within seconds, so that replicas follow the models that are busy now. */
const decayHalfLifeMilliseconds = 1500;
/** Active requests assumed for each replica of a model with several replicas until requests arrive. */
const expectedRequestsPerReplica = 8;
/** Time without a request after which an adapter may be unloaded. Loading it again takes milliseconds. With a longer time, adapters of a busy model get no slot while the others are requested occasionally. */
const adapterIdleMilliseconds = 100;
/** Time after which a planned model that its target does not load is planned elsewhere. Most answers end within it, for which an unload on the target may have to wait. */
const loadTimeoutMilliseconds = 5000;
/** Time for which the target is then not considered for the model. */
const loadAvoidanceMilliseconds = 10_000;
/** Requests for one adapter from which a second replica gets a slot. */
const secondReplicaRequests = 12;

/** Share of the load limits: the owner is the only host that sends loads. */
const fullShare = {index: 0, count: 1};
/** The platform offers one version of each model at a time, which a load fetches. */
const onlyVersion = '1';

/** Plans which models and adapters the targets of one engine pool hold, and sends the orders that are currently possible. */
export class PoolPlacement {
	private planner: PlacementPolicy;

	private readonly dormancy = new DormancyPolicy({
		idleMilliseconds: modelIdleMilliseconds,
	});

	private readonly demand = new DemandEstimator<ModelId>({
		riseTimeConstantMilliseconds,
		decayHalfLifeMilliseconds,
		minimumEstimate: 0.001,
	});

	private readonly adapterSlotPolicy = new AdapterSlotPolicy({
		idleMilliseconds: adapterIdleMilliseconds,
		secondReplicaRequests,
	});

	private readonly overdueLoads = new OverdueLoads({
		timeoutMilliseconds: loadTimeoutMilliseconds,
		avoidanceMilliseconds: loadAvoidanceMilliseconds,
	});

	private readonly unserved: UnservedObserver;
	private readonly pacer: LoadPacer;
	private readonly desired = new Map<TargetId, ReadonlySet<ArtifactKey>>();
	private readonly pacedLoads = new Map<
		string,
		{task: TargetOrderTask; model: ModelId}
	>();

	/** Monotonic time since which requests wait for a model without a replica. */
	private readonly unservedSince = new Map<ModelId, number>();
	private plannedAt = Number.NEGATIVE_INFINITY;
	/** Time that the last plan took. */
	private planMilliseconds = 0;
	private hasInitialDemand = false;
	/** Demand derived from the resident replicas, used until the first request. */
	private initialDemand: ReadonlyMap<ModelId, number> = new Map();
	private lastPlan = '';

	constructor(
		private engine: EnginePool,
		private readonly options: PoolPlacementOptions,
	) {
		this.planner = createPlanner(engine, options);
		this.pacer = new LoadPacer(
			weightStoreLimitsOf(engine),
			fullShare,
			options.clock.monotonic(),
		);
		this.unserved = new UnservedObserver(engine, {
			pool: options.pool,
			clock: options.clock,
			events: options.events,
			tasks: () => options.tasks().filter(({listed}) => !listed.isLeaving),
			isPlanned: (target, model) =>
				this.desired.get(target)?.has(artifactKeyOf(model)) ?? false,
			modelBytes: () => this.modelBytes(),
		});
	}

	/** Number of models and adapters that have been requested for more than a second while no target offers them. */
	get unservedCount(): number {
		return this.unserved.overdueCount;
	}

	/** Applies a changed document. */
	configure(engine: EnginePool): void {
		this.engine = engine;
		this.planner = createPlanner(engine, this.options);
		this.unserved.configure(engine);
		this.pacer.configure(weightStoreLimitsOf(engine), fullShare);
	}

	/** Plans for the current demand and sends orders. */
	step({
		models,
		idleMilliseconds,
		observedMilliseconds,
		adapters,
		awaitedAdapters,
	}: PoolDemand): void {
		const {clock, tasks} = this.options;
		const now = clock.monotonic();
		const all = tasks().filter(({listed}) => !listed.isLeaving);
		this.demand.observe(
			observedMilliseconds === 0 ? this.initialDemand : models,
			now,
		);
		this.adapterSlotPolicy.observe(adapters, now);
		this.dormancy.observe(idleMilliseconds, observedMilliseconds, now);
		this.trackUnservedModels(models, now);
		this.unserved.observe(models, awaitedAdapters);
		this.finishPacedLoads();
		if (this.isSettled() && now - this.plannedAt >= this.planInterval(models)) {
			this.deriveInitialDemand(now);
			this.plannedAt = now;
			this.plan();
			this.planMilliseconds = clock.monotonic() - now;
		}

		for (const {softwareVersion, ...adapter} of awaitedAdapters) {
			const usable =
				softwareVersion === undefined
					? all
					: all.filter(({listed}) => versionOf(listed) === softwareVersion);
			this.placeAdapter(adapter, usable, now);
		}

		for (const task of all) {
			this.orderModels(task);
		}
	}

	/** True when the document lists the model in this pool. */
	hasModel(model: ModelId): boolean {
		return this.engine.models.some(({id}) => id === model);
	}

	private trackUnservedModels(
		demand: ReadonlyMap<ModelId, number>,
		now: number,
	): void {
		const held = new Set(
			this.options.tasks().flatMap((task) => [...task.retainedModels()]),
		);
		for (const [model, requests] of demand) {
			if (requests === 0 || held.has(model)) {
				this.unservedSince.delete(model);
			} else if (!this.unservedSince.has(model)) {
				this.unservedSince.set(model, now);
			}
		}

		for (const model of this.unservedSince.keys()) {
			if (!demand.has(model)) {
				this.unservedSince.delete(model);
			}
		}
	}

	/** Time between two plans. On a weak machine with many models a plan may take so long that a fixed interval would leave no time for requests. */
	private planInterval(demand: ReadonlyMap<ModelId, number>): number {
		return Math.max(
			this.hasUnplannedModel(demand)
				? urgentPlanIntervalMilliseconds
				: planIntervalMilliseconds,
			this.planMilliseconds / maximumPlanShare,
		);
	}

	/** True when requests wait for a model that is not planned on any target. */
	private hasUnplannedModel(demand: ReadonlyMap<ModelId, number>): boolean {
		const planned = new Set<ArtifactKey>();
		for (const {id} of this.options.tasks()) {
			for (const key of this.desired.get(id) ?? []) {
				planned.add(key);
			}
		}

		return [...demand].some(
			([model, requests]) => requests > 0 && !planned.has(artifactKeyOf(model)),
		);
	}

	/** True when a plan can be made. After a start, targets list themselves one after the other, and a first plan for only some of them would load everything there. */
	private isSettled(): boolean {
		if (this.hasInitialDemand) {
			return true;
		}

		const all = this.options.tasks();
		const since = this.options.sinceLastNewTarget();
		return (
			all.length > 0 &&
			(since >= firstPlanTimeoutMilliseconds ||
				(since >= settlingMilliseconds &&
					all.every(({hasCurrentState}) => hasCurrentState)))
		);
	}

	/** Derives the initial demand from the resident replicas, which show which models were busy before. */
	private deriveInitialDemand(now: number): void {
		if (this.hasInitialDemand) {
			return;
		}

		this.hasInitialDemand = true;
		const expected = new Map<ModelId, number>();
		for (const {ledger} of this.options.tasks()) {
			for (const model of ledger.residentModels().keys()) {
				expected.set(
					model,
					(expected.get(model) ?? 0) + expectedRequestsPerReplica,
				);
			}
		}

		for (const [model, requests] of expected) {
			if (requests <= expectedRequestsPerReplica) {
				expected.delete(model);
			}
		}

		this.initialDemand = expected;
		this.demand.observe(expected, now);
	}

	private plan(): void {
		// Targets whose state is not known yet are left out.
		const tasks = this.options
			.tasks()
			.filter(({hasCurrentState}) => hasCurrentState);
		this.overdueLoads.retain(new Set(tasks.map(({id}) => id)));
		const demand = this.demand.estimate();
		const largestGain = this.largestGain(demand);
		const placement = this.planner.plan({
			models: this.engine.models.map(({id, bytes}) => ({
				id,
				pool: this.options.pool,
				version: onlyVersion,
				bytes,
				minimumReplicas: this.canHaveNoReplica(
					id,
					demand.get(id) ?? 0,
					largestGain,
				)
					? 0
					: 1,
			})),
			adapters: [],
			targets: tasks.map((task) => this.placementTarget(task)),
			demand,
			unservedMilliseconds: new Map(
				[...this.unservedSince].map(([model, since]) => [
					model,
					this.options.clock.monotonic() - since,
				]),
			),
			limits: weightStoreLimitsOf(this.engine),
		});
		for (const task of tasks) {
			const desired = placement.desired.get(task.id) ?? new Set();
			this.desired.set(task.id, desired);
			if (!task.listed.isLeaving) {
				task.setDesiredModels(
					new Set(
						this.engine.models
							.map(({id}) => id)
							.filter((id) => desired.has(artifactKeyOf(id))),
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
				held.set(artifactKeyOf(id), {bytes, state: 'unloading'});
			} else if (resident.has(id)) {
				held.set(artifactKeyOf(id), {
					bytes,
					state: 'resident',
					isAnnounced:
						task.residentMilliseconds(id) >= announcementMilliseconds,
				});
			} else if (ledger.loadingModels.has(id)) {
				held.set(artifactKeyOf(id), {bytes, state: 'loading'});
			}
		}

		let reservedBytes = 0;
		for (const model of ledger.chargedModels()) {
			reservedBytes += held.has(artifactKeyOf(model)) ? 0 : this.bytesOf(model);
		}

		// The models that a target holds when it is first seen are kept until their memory is needed.
		const planned = this.desired.get(task.id) ?? new Set(held.keys());
		return {
			id: task.id,
			failureDomain: listed.failureDomain,
			memoryBytes: this.modelBytes(),
			slots: listed.slots,
			state: listed.isLeaving ? 'leaving' : 'live',
			held,
			reservedBytes,
			planned,
			avoidedArtifacts: this.overdueLoads.observe(
				task.id,
				[...planned].filter((key) => !held.has(key)),
				this.options.clock.monotonic(),
			),
			cachedModels: new Set(
				[...listed.localWeights.inMemory, ...listed.localWeights.onDisk].map(
					(id) => artifactKeyOf(id),
				),
			),
		};
	}

	/** Memory of a target in bytes without the memory reserved for adapters. */
	private modelBytes(): number {
		const adapterBytes = Math.max(
			0,
			...this.engine.models.map((model) => model.adapterBytes),
		);
		return this.engine.memoryBytes - this.engine.adapterSlots * adapterBytes;
	}

	private placeAdapter(
		adapter: AdapterReference,
		tasks: readonly TargetOrderTask[],
		now: number,
	): void {
		if (!this.hasModel(adapter.model)) {
			return;
		}

		const available = tasks.filter(({canSendOrder}) => canSendOrder);
		const unconfirmed = available.find(
			(task) =>
				task.ledger.isLoadUnconfirmed(adapter.model, adapter.adapter) &&
				task.retainedModels().has(adapter.model),
		);
		if (unconfirmed) {
			void unconfirmed.sendOrder(
				{action: 'load', ...adapter},
				'the last order to load the adapter has no response',
			);
			return;
		}

		const holders = tasks.filter((task) =>
			task.ledger
				.chargedAdapters()
				.some((held) => adapterKey(held) === adapterKey(adapter)),
		);
		// A busy target that holds the adapter counts as a holder, although it accepts no orders.
		const targets = [...new Set([...available, ...holders])].map((task) =>
			this.adapterTarget(task),
		);
		const step = this.adapterSlotPolicy.nextStep(adapter, targets, now);
		const task = available.find(({id}) => id === step?.target);
		if (!step || !task) {
			return;
		}

		void task.sendOrder(
			{action: step.action, ...step.adapter},
			step.action === 'load'
				? 'requests wait for the adapter'
				: `room is needed for ${adapterKey(adapter)}`,
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
		if (!task.canSendOrder) {
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
				'the model is not planned on this target',
			);
			return;
		}

		const charged = task.ledger.chargedModels();
		let used = 0;
		for (const model of charged) {
			used += this.bytesOf(model);
		}

		for (const {id, bytes} of this.engine.models) {
			// An order that expects the same sequence number replaces one without a response.
			const isCharged = charged.has(id);
			if (
				!desired.has(artifactKeyOf(id)) ||
				(isCharged && !task.ledger.isLoadUnconfirmed(id))
			) {
				continue;
			}

			const neededBytes = isCharged ? 0 : bytes;
			if (
				used + neededBytes > this.modelBytes() ||
				!this.canStartLoad(task, id)
			) {
				continue;
			}

			void task.sendOrder(
				{action: 'load', model: id, adapter: undefined},
				'the model is planned on this target',
			);
			return;
		}
	}

	/** True when a load may start now. Weights on the machine of the target are loaded without the weight store and are not limited. */
	private canStartLoad(task: TargetOrderTask, model: ModelId): boolean {
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

	/** Largest number of active requests that one more replica of a model would take over. */
	private largestGain(demand: ReadonlyMap<ModelId, number>): number {
		let largest = 0;
		for (const [model, requests] of demand) {
			let replicas = 0;
			for (const task of this.options.tasks()) {
				replicas +=
					!task.listed.isLeaving && this.hasReplica(task, model) ? 1 : 0;
			}

			largest = Math.max(
				largest,
				requests / ((replicas + 1) * Math.max(1, replicas)),
			);
		}

		return largest;
	}

	/** True when the model is planned on the target, or resident there before the first plan. */
	private hasReplica({id, ledger}: TargetOrderTask, model: ModelId): boolean {
		return (
			this.desired.get(id)?.has(artifactKeyOf(model)) ??
			ledger.residentModels().has(model)
		);
	}

	/** True when the model may have no replica. */
	private canHaveNoReplica(
		id: ModelId,
		requests: number,
		largestGain: number,
	): boolean {
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

function createPlanner(
	{slots}: EnginePool,
	{workAwareSlots = 0}: PoolPlacementOptions,
): PlacementPolicy {
	const options = {
		...defaultPlannerOptions,
		// Loads take about a second and memory is scarce, so a replica of a model that is no longer busy is worth less
		// than one of a busy model.
		retainedReplicas: 1,
		minimumRequestsPerReplica,
		replacementRequestsPerReplica,
		isDemandFirst: true,
		firstReplicaFactor,
	};
	return new PlacementPlanner(
		slots !== undefined && slots <= workAwareSlots
			? {...options, slotSharing: new SlotSharing()}
			: options,
	);
}

function artifactKeyOf(id: ModelId): ArtifactKey {
	return modelArtifact({id, version: onlyVersion} as Model).key;
}

/** Limits of the weight store. Its concurrency is not documented, but loads of the usual duration at the permitted rate do not slow each other down. */
function weightStoreLimitsOf(engine: EnginePool): WeightStoreLimits {
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
