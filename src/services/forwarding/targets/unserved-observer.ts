import {type Clock} from '../../../base/common/clock.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type EnginePool} from '../../../contracts/forwarding-document.js';
import {
	type ModelId,
	type PoolName,
	type TargetId,
} from '../../../contracts/ids.js';
import {
	adapterKey,
	type AdapterReference,
} from '../../../core/placement/adapter-slot-policy.js';
import {UnservedDemand} from '../../../core/placement/unserved-demand.js';
import {type TargetOrderTask} from './target-order-task.js';

/** Collaborators of the observer of one pool. */
export type UnservedObserverOptions = {
	readonly pool: PoolName;
	readonly clock: Clock;
	readonly events: EventLogger;
	/** Returns the order tasks of the targets of the pool that do not leave. */
	readonly tasks: () => readonly TargetOrderTask[];
	/** True when the plan has the model on the target. */
	readonly isPlanned: (target: TargetId, model: ModelId) => boolean;
	/** Memory of a target for models. */
	readonly modelBytes: () => number;
};

/** Callers that are refused come back after some seconds, so a wait goes on over a pause of this length. */
const lifetimeMilliseconds = 10_000;
const reportFromMilliseconds = 1000;

/** Tracks which requested models and adapters no target of a pool offers, for how long, and what holds their loads back. */
export class UnservedObserver {
	private readonly models = new UnservedDemand<ModelId>({
		lifetimeMilliseconds,
		reportFromMilliseconds,
	});

	private readonly adapters = new UnservedDemand<string>({
		lifetimeMilliseconds,
		reportFromMilliseconds,
	});

	private readonly references = new Map<string, AdapterReference>();

	constructor(
		private engine: EnginePool,
		private readonly options: UnservedObserverOptions,
	) {}

	/** Applies a changed document. */
	configure(engine: EnginePool): void {
		this.engine = engine;
	}

	/** Applies the models that are requested now, and the adapters for which requests wait. */
	observe(
		models: ReadonlyMap<ModelId, number>,
		awaitedAdapters: readonly AdapterReference[],
	): void {
		const now = this.options.clock.monotonic();
		const tasks = this.options.tasks();
		const retained = new Set(
			tasks.flatMap((task) => [...task.retainedModels()]),
		);
		const offeredAdapters = new Set(
			tasks.flatMap(({ledger}) =>
				ledger.chargedAdapters().map((held) => adapterKey(held)),
			),
		);
		const servedModels = this.models.observe(
			[...models].filter(([, requests]) => requests > 0).map(([id]) => id),
			(id) => retained.has(id),
			now,
		);
		for (const adapter of awaitedAdapters) {
			this.references.set(adapterKey(adapter), adapter);
		}

		const servedAdapters = this.adapters.observe(
			awaitedAdapters.map((adapter) => adapterKey(adapter)),
			(key) => offeredAdapters.has(key),
			now,
		);
		for (const {key, waitedMilliseconds} of servedModels) {
			this.recordServed({model: key}, waitedMilliseconds);
		}

		for (const {key, waitedMilliseconds} of servedAdapters) {
			this.recordServed(this.references.get(key), waitedMilliseconds);
		}

		for (const key of this.references.keys()) {
			if (!this.adapters.isWaiting(key)) {
				this.references.delete(key);
			}
		}

		this.recordOverdue(now);
	}

	/** Time for which a model has been requested while no target offers it. */
	modelWait(model: ModelId): number {
		return this.models.waitedMilliseconds(
			model,
			this.options.clock.monotonic(),
		);
	}

	/** Time for which requests have asked for an adapter while no target offers it. */
	adapterWait(adapter: AdapterReference): number {
		return this.adapters.waitedMilliseconds(
			adapterKey(adapter),
			this.options.clock.monotonic(),
		);
	}

	/** Number of models and adapters that have been requested for more than a second without a target. */
	get overdueCount(): number {
		const now = this.options.clock.monotonic();
		return this.models.countOverdue(now) + this.adapters.countOverdue(now);
	}

	private recordOverdue(now: number): void {
		const {events, pool} = this.options;
		for (const {key, waitedMilliseconds} of this.models.takeOverdue(now)) {
			events.record(forwardingEvents.artifactUnserved, {
				pool,
				model: key,
				milliseconds: Math.round(waitedMilliseconds),
				planned: this.plannedTasks(key).map(({id}) => id),
				obstacle: this.modelObstacle(key),
			});
		}

		for (const {key, waitedMilliseconds} of this.adapters.takeOverdue(now)) {
			const reference = this.references.get(key);
			events.record(forwardingEvents.artifactUnserved, {
				pool,
				...reference,
				milliseconds: Math.round(waitedMilliseconds),
				obstacle: reference && this.adapterObstacle(reference),
			});
		}
	}

	private recordServed(
		reference: Partial<AdapterReference> | undefined,
		waitedMilliseconds: number,
	): void {
		if (waitedMilliseconds >= reportFromMilliseconds) {
			this.options.events.record(forwardingEvents.artifactServed, {
				pool: this.options.pool,
				...reference,
				milliseconds: Math.round(waitedMilliseconds),
			});
		}
	}

	private plannedTasks(model: ModelId): TargetOrderTask[] {
		return this.options
			.tasks()
			.filter(({id}) => this.options.isPlanned(id, model));
	}

	private modelObstacle(model: ModelId): string {
		const [task] = this.plannedTasks(model);
		if (!task) {
			return 'the plan has it on no target';
		}

		if (!task.hasCurrentState) {
			return 'the state of its target is not known';
		}

		if (task.ledger.loadingModels.has(model)) {
			return 'it is being loaded';
		}

		if (!task.canSendOrder) {
			return 'its target carries out another order';
		}

		let usedBytes = 0;
		const charged = task.ledger.chargedModels();
		for (const {id, bytes} of this.engine.models) {
			usedBytes += charged.has(id) || id === model ? bytes : 0;
		}

		return usedBytes > this.options.modelBytes()
			? 'its target has no memory for it'
			: 'the weight store allows no further load';
	}

	private adapterObstacle({model}: AdapterReference): string {
		const holders = this.options
			.tasks()
			.filter((task) => task.retainedModels().has(model));
		if (holders.length === 0) {
			return 'no target holds its model';
		}

		const ready = holders.filter(({canSendOrder}) => canSendOrder);
		if (ready.length === 0) {
			return 'the targets with its model carry out other orders';
		}

		return ready.some(
			({ledger}) => ledger.chargedAdapters().length < this.engine.adapterSlots,
		)
			? 'its load has not been ordered yet'
			: 'all adapter slots are in use';
	}
}
