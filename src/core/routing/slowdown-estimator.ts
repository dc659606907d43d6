import {type Clock} from '../../base/common/clock.js';
import {type ModelId, type TargetId} from '../../contracts/ids.js';

/** Collaborators and settings of the estimator. */
export type SlowdownEstimatorOptions = {
	readonly clock: Clock;
	/** Half-life of a gap between two events. Short, because noisy neighbours slow a machine down for only about half a second. */
	readonly halfLifeMilliseconds?: number;
	/** Number of gaps over which the baseline gap of a model is averaged. */
	readonly baselineSamples?: number;
};

type RecentGaps = {
	/** Decayed sum of the logarithms of the gaps relative to the baseline. */
	sum: number;
	/** Decayed number of gaps. */
	weight: number;
	/** Monotonic time of the last decay. */
	updatedAt: number;
};

/** Gaps above this multiple of the baseline count as this multiple, so that a single long prompt cannot exclude a target. */
const maximumRatio = 8;
/** Weight of a prior without slowdown, in gaps, so that a few gaps change the estimate little. */
const priorWeight = 2;

/**
 * Estimates the current slowdown of each target from the gaps between the events of the streams running there. Meant
 * for slowdowns of less than a second, caused by noisy neighbours of the machine or by prompts of other hosts that
 * the target processes: target reports arrive too late to show them, but the streams of this host show them within
 * two events.
 */
export class SlowdownEstimator {
	private readonly clock: Clock;
	private readonly halfLifeMilliseconds: number;
	private readonly baselineSamples: number;
	private readonly baselines = new Map<ModelId, number>();
	private readonly recentGaps = new Map<TargetId, RecentGaps>();

	constructor(options: SlowdownEstimatorOptions) {
		this.clock = options.clock;
		this.halfLifeMilliseconds = options.halfLifeMilliseconds ?? 60;
		this.baselineSamples = options.baselineSamples ?? 400;
	}

	/** Records the gap in milliseconds between two events of a stream of a model on a target. */
	observe(target: TargetId, model: ModelId, milliseconds: number): void {
		const baseline = this.baselines.get(model);
		if (baseline === undefined) {
			this.baselines.set(model, milliseconds);
			return;
		}

		const ratio = Math.min(maximumRatio, milliseconds / Math.max(1, baseline));
		this.baselines.set(
			model,
			baseline +
				(Math.min(milliseconds, baseline * 3) - baseline) /
					this.baselineSamples,
		);
		const recent = this.decayed(target);
		// The mean of logarithms keeps one long gap from outweighing several normal ones.
		recent.sum += Math.log(Math.max(0.2, ratio));
		recent.weight += 1;
	}

	/** Time that work currently takes on a target, relative to the baseline. Close to 1 while there are few recent gaps. */
	slowdown(target: TargetId): number {
		const {sum, weight} = this.decayed(target);
		return Math.exp(sum / (weight + priorWeight));
	}

	/** Returns the slowdown without bringing the stored sums up to date, which rounds them. */
	previewSlowdown(target: TargetId): number {
		const recent = this.recentGaps.get(target);
		const before = recent && {...recent};
		const slowdown = this.slowdown(target);
		if (before) {
			this.recentGaps.set(target, before);
		} else {
			this.recentGaps.delete(target);
		}

		return slowdown;
	}

	/** Removes the samples of a target. */
	removeTarget(target: TargetId): void {
		this.recentGaps.delete(target);
	}

	private decayed(target: TargetId): RecentGaps {
		const now = this.clock.monotonic();
		const recent = this.recentGaps.get(target) ?? {
			sum: 0,
			weight: 0,
			updatedAt: now,
		};
		const decay = 0.5 ** ((now - recent.updatedAt) / this.halfLifeMilliseconds);
		recent.sum *= decay;
		recent.weight *= decay;
		recent.updatedAt = now;
		this.recentGaps.set(target, recent);
		return recent;
	}
}
