import {type TargetLoad} from './target-load-tracker.js';

/** Settings of {@link SlotReservation}. */
export type SlotReservationOptions = {
	/**
	 * Requests at a target, per slot, up to which a request of each level may be sent there, the most urgent level first.
	 * Lower levels take the last value.
	 */
	readonly loadPerSlot?: readonly number[];
};

/**
 * Keeps slots of targets free for more urgent requests (trunk reservation). Targets start the more urgent requests
 * first and preempt others for them, whose streams then pause for longer than their objective allows. This happens
 * when deferred or long requests fill the slots of a target while urgent ones keep coming.
 */
export class SlotReservation {
	private readonly loadPerSlot: readonly number[];

	constructor({loadPerSlot = [1.25, 1, 0.8]}: SlotReservationOptions = {}) {
		this.loadPerSlot = loadPerSlot;
	}

	/**
	 * True when a target may receive a request of a level. A host without a request there counts the requests of other
	 * hosts at the lower end of its estimate: hosts that are there see a slot become free first, and would keep a busy
	 * target to themselves.
	 */
	hasCapacity(load: TargetLoad, level: number): boolean {
		if (load.leaving) {
			return false;
		}

		const limit =
			load.slots *
			this.loadPerSlot[Math.min(level, this.loadPerSlot.length - 1)]!;
		const remote =
			load.localOutstanding === 0
				? Math.max(0, load.remoteOutstanding - remoteSpread(load))
				: load.remoteOutstanding;
		return load.localOutstanding + remote + 1 <= limit;
	}
}

/** Standard deviation of the number of requests of other hosts: those that have come since the report vary as arrivals do. */
export function remoteSpread({
	remoteOutstanding,
	remoteConfidence = 1,
}: TargetLoad): number {
	return Math.sqrt(
		Math.max(0, remoteOutstanding * (1 - remoteConfidence ** 2)),
	);
}
