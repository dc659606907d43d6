import {type Clock} from '../../base/common/clock.js';
import {type TargetId} from '../../contracts/ids.js';

/** Collaborators and settings. */
export type TargetSlowdownsOptions = {
	readonly clock: Clock;
	/** Time after which what was seen of a target counts for a third. Noisy neighbours slow a machine down for about 600 ms. */
	readonly relaxationMilliseconds?: number;
};

type SeenSlowdown = {readonly value: number; readonly measuredAt: number};

/** Largest slowdown that counts as such. */
const maximumSlowdown = 4;
/** Weight of the time between two events. It also contains the prompts that the target reads meanwhile. */
const gapWeight = 0.4;
/** Weight of what was seen in the mean of the pool. */
const meanStep = 0.005;

/**
 * Current duration of work at each target relative to the usual one, from the load that targets report and from the
 * times between the events of streams there. What was seen moves to the mean of the pool as it ages, so that a target
 * known to be fast is preferred to one of which nothing is known.
 */
export class TargetSlowdowns {
	private readonly relaxationMilliseconds: number;
	private readonly seen = new Map<TargetId, SeenSlowdown>();
	private mean = 1;

	constructor(private readonly options: TargetSlowdownsOptions) {
		this.relaxationMilliseconds = options.relaxationMilliseconds ?? 400;
	}

	/** Records the slowdown that a target has reported. */
	recordReport(target: TargetId, value: number, ageMilliseconds: number): void {
		const measuredAt = this.options.clock.monotonic() - ageMilliseconds;
		this.mean += meanStep * (bounded(value) - this.mean);
		if (measuredAt >= (this.seen.get(target)?.measuredAt ?? -Infinity)) {
			this.seen.set(target, {value: bounded(value), measuredAt});
		}
	}

	/** Records the time between two events of a stream relative to the usual one. */
	recordGap(target: TargetId, ratio: number): void {
		const before = this.slowdown(target);
		this.seen.set(target, {
			value: before + gapWeight * (bounded(ratio) - before),
			measuredAt: this.options.clock.monotonic(),
		});
	}

	/** Forgets a target that has ended. */
	removeTarget(target: TargetId): void {
		this.seen.delete(target);
	}

	/** Expected duration of work at a target relative to the usual one. */
	slowdown(target: TargetId): number {
		const seen = this.seen.get(target);
		if (!seen) {
			return this.mean;
		}

		const age = this.options.clock.monotonic() - seen.measuredAt;
		return (
			this.mean +
			(seen.value - this.mean) * Math.exp(-age / this.relaxationMilliseconds)
		);
	}
}

function bounded(value: number): number {
	return Math.min(maximumSlowdown, Math.max(1, value));
}
