import {type Clock} from '../../base/common/clock.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type ControlLog} from '../../contracts/control-log.js';
import {type PlanChange} from '../../contracts/control-record.js';
import {placementEvents} from '../../contracts/events/placement-events.js';
import {
	type FencingToken,
	type ModelId,
	type PoolName,
} from '../../contracts/ids.js';
import {DemandEstimator} from '../../core/placement/demand-estimator.js';
import {
	type Placement,
	type PlacementInput,
	type PlacementPolicy,
} from '../../core/placement/placement-policy.js';

/** Access to the plan lease of a pool. */
export abstract class PlanLease {
	/** The fencing token under which this host may plan now, or undefined if it may not. */
	abstract token(): FencingToken | undefined;
}

/** The state of a pool that a planning pass needs. */
export abstract class PoolView {
	/** The planner input apart from demand, or undefined while there is no document or too few targets have reported. */
	abstract placementInput(): Omit<PlacementInput, 'demand'> | undefined;

	/** Number of running and waiting requests of each model, summed over all hosts. Refused requests do not count. */
	abstract demand(): ReadonlyMap<ModelId, number>;
}

/** Dependencies and settings of the task that plans a pool. */
export type PlacementTaskOptions = {
	readonly pool: PoolName;
	readonly lease: PlanLease;
	readonly view: PoolView;
	readonly log: ControlLog;
	readonly policy: PlacementPolicy;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly estimator?: DemandEstimator<ModelId>;
	/** Time between planning passes, 1000 by default. */
	readonly intervalMilliseconds?: number;
	/** Limit on planned model loads that are not resident yet, in seconds of the weight store's load rate. 10 by default. */
	readonly pendingLoadSeconds?: number;
};

/** Periodically plans the placement of a pool while this host holds its plan lease. */
export class PlacementTask {
	private readonly estimator: DemandEstimator<ModelId>;
	private latestPlacement: Placement | undefined;
	private isSubmitting = false;
	private timer: NodeJS.Timeout | undefined;
	private readonly reportedUnplaced = new Set<string>();

	constructor(private readonly options: PlacementTaskOptions) {
		this.estimator = options.estimator ?? new DemandEstimator<ModelId>();
	}

	/** The result of the last planning pass, or undefined before the first one. */
	get lastPlacement(): Placement | undefined {
		return this.latestPlacement;
	}

	/** Starts periodic planning. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.runPass();
		}, this.options.intervalMilliseconds ?? 1000);
	}

	dispose(): void {
		clearInterval(this.timer);
		this.timer = undefined;
	}

	/**
	 * Runs one planning pass. Demand is observed even without the lease, so that a new lease holder starts
	 * with an estimate. A pass is skipped while the changes of an earlier one are being submitted.
	 */
	async runPass(): Promise<void> {
		const {view, lease, policy, clock} = this.options;
		this.estimator.observe(view.demand(), clock.monotonic());
		const token = lease.token();
		const pool = token === undefined ? undefined : view.placementInput();
		if (token === undefined || !pool || this.isSubmitting) {
			return;
		}

		const placement = policy.plan({
			...pool,
			demand: this.estimator.estimate(),
		});
		this.latestPlacement = placement;
		this.reportUnplaced(placement);
		const changes = this.selectChanges(placement, pool);
		if (changes.length === 0) {
			return;
		}

		this.isSubmitting = true;
		await this.submit(token, changes);
		this.isSubmitting = false;
	}

	private async submit(
		token: FencingToken,
		changes: readonly PlanChange[],
	): Promise<void> {
		const {pool, log, clock, events} = this.options;
		const outcome = await log.submit({
			kind: 'plan-made',
			pool,
			token,
			changes: [...changes],
			time: clock.wall(),
		});
		const refusalReason = outcome.match(
			(value) => (value.accepted ? undefined : value.reason),
			(error) => error.message,
		);
		if (refusalReason === undefined) {
			events.record(placementEvents.planMade, {pool, changes});
		} else {
			events.record(placementEvents.planIgnored, {
				pool,
				reason: refusalReason,
			});
		}
	}

	/**
	 * Selects the moves to record now. Model loads are deferred while as many are pending as the weight store
	 * delivers in `pendingLoadSeconds`, so that a later pass can still decide otherwise. At least
	 * `concurrentLoads` may be pending.
	 */
	private selectChanges(
		placement: Placement,
		pool: Omit<PlacementInput, 'demand'>,
	): PlanChange[] {
		const {limits} = pool;
		let loadBudget = Math.max(
			limits.concurrentLoads,
			Math.ceil(
				limits.loadsPerSecond * (this.options.pendingLoadSeconds ?? 10),
			),
		);
		for (const target of pool.targets) {
			for (const key of target.state === 'live' ? target.planned : []) {
				const isPending = target.held.get(key)?.state !== 'resident';
				loadBudget -= isPending && key.startsWith('model/') ? 1 : 0;
			}
		}

		const changes: PlanChange[] = [];
		for (const move of placement.moves) {
			if (!move.isImmediate) {
				continue;
			}

			const isModelLoad =
				move.action === 'load' && move.artifact.kind === 'model';
			if (isModelLoad && loadBudget <= 0) {
				continue;
			}

			loadBudget -= isModelLoad ? 1 : 0;
			changes.push({
				target: move.target,
				artifact: move.artifact.key,
				desired: move.action === 'load',
				reason: move.reason,
			});
		}

		return changes;
	}

	/** Logs each artifact that cannot be placed, once until it can be placed again. */
	private reportUnplaced({unplaced}: Placement): void {
		const unplacedKeys = new Set<string>();
		for (const {artifact, reason} of unplaced) {
			unplacedKeys.add(artifact.key);
			if (!this.reportedUnplaced.has(artifact.key)) {
				this.options.events.record(placementEvents.artifactUnplaced, {
					pool: this.options.pool,
					artifact: artifact.key,
					reason,
				});
			}
		}

		this.reportedUnplaced.clear();
		for (const key of unplacedKeys) {
			this.reportedUnplaced.add(key);
		}
	}
}
