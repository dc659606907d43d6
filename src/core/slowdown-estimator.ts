import {type Clock} from '../base/common/clock.js';
import {type ModelId, type TargetId} from '../contracts/ids.js';

/** Settings of the pace. */
export type SlowdownEstimatorOptions = {
	readonly clock: Clock;
	/** Age at which a pause between two events counts half. Neighbours slow a machine for about half a second. */
	readonly halfLifeMilliseconds?: number;
	/** Number of pauses that the usual pause of a model is averaged over. */
	readonly baselineSamples?: number;
};

type Recent = {sum: number; mass: number; at: number};

/** Pauses longer than this multiple of the usual one count as this much. A single long prompt must not exclude a target. */
const largestRatio = 8;
/** Weight of pauses that counts as one usual pause beside the measured ones, so that few pauses decide little. */
const priorMass = 2;

/**
 * How slow each target is at this moment, from the pauses between the events of the streams that run there. Answers
 * the pattern of machines that neighbours slow down for parts of a second: reports are too late for it, but the
 * streams of this host show it within two events, and so do prompts of other hosts that the target reads.
 */
export class SlowdownEstimator {
	private readonly clock: Clock;
	private readonly halfLife: number;
	private readonly usualCount: number;
	private readonly usual = new Map<ModelId, number>();
	private readonly recent = new Map<TargetId, Recent>();

	constructor(options: SlowdownEstimatorOptions) {
		this.clock = options.clock;
		this.halfLife = options.halfLifeMilliseconds ?? 60;
		this.usualCount = options.baselineSamples ?? 400;
	}

	/** Takes in a pause between two events of a stream. */
	observe(target: TargetId, model: ModelId, milliseconds: number): void {
		const usual = this.usual.get(model);
		if (usual === undefined) {
			this.usual.set(model, milliseconds);
			return;
		}

		const ratio = Math.min(largestRatio, milliseconds / Math.max(1, usual));
		this.usual.set(
			model,
			usual + (Math.min(milliseconds, usual * 3) - usual) / this.usualCount,
		);
		const recent = this.decayed(target);
		// The logarithm keeps one long pause from outweighing several usual ones.
		recent.sum += Math.log(Math.max(0.2, ratio));
		recent.mass += 1;
	}

	/** Time that work takes at a target now, relative to the usual time. About 1 when little is known. */
	slowdown(target: TargetId): number {
		const {sum, mass} = this.decayed(target);
		return Math.exp(sum / (mass + priorMass));
	}

	/** Forgets a target. */
	removeTarget(target: TargetId): void {
		this.recent.delete(target);
	}

	private decayed(target: TargetId): Recent {
		const now = this.clock.monotonic();
		const recent = this.recent.get(target) ?? {sum: 0, mass: 0, at: now};
		const keep = 0.5 ** ((now - recent.at) / this.halfLife);
		recent.sum *= keep;
		recent.mass *= keep;
		recent.at = now;
		this.recent.set(target, recent);
		return recent;
	}
}
