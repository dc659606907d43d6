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
import {DemandEstimator} from '../../core/demand-estimator.js';
import {
	type Placement,
	type PlacementInput,
	type PlacementPolicy,
} from '../../core/placement-policy.js';

/** The plan lease of a pool, as its holder sees it. */
export abstract class PlanLease {
	/** The token under which this host may plan now. */
	abstract token(): FencingToken | undefined;
}

/** What the folded control state and the reports say about a pool. */
export abstract class PoolView {
	/** Models, adapters, targets and limits, or undefined while no document or too few reports are there. */
	abstract placementInput(): Omit<PlacementInput, 'demand'> | undefined;

	/** Requests that run or wait now, summed over all hosts, for each model. Refused callers do not count. */
	abstract demand(): ReadonlyMap<ModelId, number>;
}

/** Options of the task that plans a pool. */
export type PlacementTaskOptions = {
	readonly pool: PoolName;
	readonly lease: PlanLease;
	readonly view: PoolView;
	readonly log: ControlLog;
	readonly policy: PlacementPolicy;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly estimator?: DemandEstimator<ModelId>;
	readonly intervalMilliseconds?: number;
	/** Planned loads that are not resident yet, in seconds of the store's rate. */
	readonly pendingLoadSeconds?: number;
};

/** Plans a pool while this host holds its plan lease. */
export class PlacementTask {
	private readonly estimator: DemandEstimator<ModelId>;
	private latestPlacement: Placement | undefined;
	private isSubmitting = false;
	private timer: NodeJS.Timeout | undefined;
	private readonly reportedUnplaced = new Set<string>();

	constructor(private readonly options: PlacementTaskOptions) {
		this.estimator = options.estimator ?? new DemandEstimator<ModelId>();
	}

	/** The result of the last pass, for explanations. */
	get lastPlacement(): Placement | undefined {
		return this.latestPlacement;
	}

	/** Starts to plan regularly. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.runPass();
		}, this.options.intervalMilliseconds ?? 1000);
	}

	dispose(): void {
		clearInterval(this.timer);
		this.timer = undefined;
	}

	/** One pass. Every host observes demand, so that a new holder starts with an estimate. */
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
		const refusal = outcome.match(
			(value) => (value.accepted ? undefined : value.reason),
			(error) => error.message,
		);
		if (refusal === undefined) {
			events.record(placementEvents.planMade, {pool, changes});
		} else {
			events.record(placementEvents.planIgnored, {pool, reason: refusal});
		}
	}

	/**
	 * The moves that can be carried out now. Loads of models wait while as many are pending as the
	 * store delivers in `pendingSeconds`, so that a later pass can still change its mind.
	 */
	private selectChanges(
		placement: Placement,
		pool: Omit<PlacementInput, 'demand'>,
	): PlanChange[] {
		const {limits} = pool;
		let budget = Math.max(
			limits.concurrentLoads,
			Math.ceil(
				limits.loadsPerSecond * (this.options.pendingLoadSeconds ?? 10),
			),
		);
		for (const target of pool.targets) {
			for (const key of target.state === 'live' ? target.planned : []) {
				const isPending = target.held.get(key)?.state !== 'resident';
				budget -= isPending && key.startsWith('model/') ? 1 : 0;
			}
		}

		const changes: PlanChange[] = [];
		for (const move of placement.moves) {
			if (!move.isImmediate) {
				continue;
			}

			const isModelLoad =
				move.action === 'load' && move.artifact.kind === 'model';
			if (isModelLoad && budget <= 0) {
				continue;
			}

			budget -= isModelLoad ? 1 : 0;
			changes.push({
				target: move.target,
				artifact: move.artifact.key,
				desired: move.action === 'load',
				reason: move.reason,
			});
		}

		return changes;
	}

	private reportUnplaced({unplaced}: Placement): void {
		const current = new Set<string>();
		for (const {artifact, reason} of unplaced) {
			current.add(artifact.key);
			if (!this.reportedUnplaced.has(artifact.key)) {
				this.options.events.record(placementEvents.artifactUnplaced, {
					pool: this.options.pool,
					artifact: artifact.key,
					reason,
				});
			}
		}

		this.reportedUnplaced.clear();
		for (const key of current) {
			this.reportedUnplaced.add(key);
		}
	}
}
