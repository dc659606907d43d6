import {type Clock} from '../../../base/common/clock.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {dispatchEvents} from '../../../contracts/events/dispatch-events.js';
import {
	type EnginePool,
	type PoolModel,
} from '../../../contracts/forwarding-document.js';
import {type ModelId, type PoolName} from '../../../contracts/ids.js';
import {type TargetGate} from '../../../core/routing/target-gate.js';
import {type Dispatcher} from '../../dispatch/dispatcher.js';
import {WorkScheduling} from '../../dispatch/work-scheduling.js';

/** Collaborators and settings. */
export type PoolWorkOptions = {
	readonly pool: PoolName;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly dispatcher: Dispatcher;
	/** Pools whose targets have at most this many slots are scheduled by work. None by default. */
	readonly workAwareSlots?: number | undefined;
	readonly gates?: readonly TargetGate[] | undefined;
};

/** Switches the scheduling by work of one pool with the document. */
export class PoolWork {
	private scheduling: WorkScheduling | undefined;
	private models: ReadonlyMap<ModelId, PoolModel> = new Map();
	private memoryTokens = Number.POSITIVE_INFINITY;

	constructor(private readonly options: PoolWorkOptions) {}

	/** Shows how good the estimates are, if the pool is scheduled by work. */
	updateGauges(pool: PoolName, metrics: MetricRegistry): void {
		if (!this.scheduling) {
			return;
		}

		const {meanMilliseconds, lengthRatio, aboveUpperShare} =
			this.scheduling.figures;
		metrics.gauge('daisylever_work_milliseconds', meanMilliseconds, {pool});
		metrics.gauge('daisylever_work_length_ratio', lengthRatio, {pool});
		metrics.gauge('daisylever_work_above_upper_share', aboveUpperShare, {
			pool,
		});
	}

	/**
	 * True when the prompt of a request does not fit into the memory of any target. A target refuses such a request as if
	 * it were full, so it would be sent from target to target until its caller gives up.
	 */
	exceedsMemory(promptTokens: number): boolean {
		return this.scheduling !== undefined && promptTokens > this.memoryTokens;
	}

	/** Applies the fields of the pool in a new version of the document. */
	applyEngine(engine: EnginePool | undefined): void {
		const {clock, events, dispatcher, pool, gates, workAwareSlots} =
			this.options;
		const slots = engine?.slots ?? Infinity;
		const isEnabled = slots <= (workAwareSlots ?? 0);
		if (isEnabled !== (this.scheduling !== undefined)) {
			this.scheduling = isEnabled
				? new WorkScheduling({clock, gates})
				: undefined;
			dispatcher.scheduleByWork(this.scheduling);
			events.record(dispatchEvents.workSchedulingChanged, {
				pool,
				isEnabled,
				slots: engine?.slots,
			});
		}

		this.memoryTokens = engine?.memoryTokens ?? Number.POSITIVE_INFINITY;
		this.scheduling?.setTokensPerEvent(engine?.tokensPerEvent);
		this.resetChangedModels(engine?.models ?? []);
	}

	/** The document does not name the version of the weights. A model whose size changes has other weights. */
	private resetChangedModels(models: readonly PoolModel[]): void {
		for (const {id, bytes} of models) {
			const before = this.models.get(id);
			if (before && before.bytes !== bytes) {
				this.scheduling?.resetModel(id);
			}
		}

		this.models = new Map(models.map((model) => [model.id, model]));
	}
}
