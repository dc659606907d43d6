import {type Clock} from '../../base/common/clock.js';
import {type TargetId} from '../../contracts/ids.js';

/** Longest time for which a target is held back by one answer. One that names more is asked again after it, because nothing else tells that it wants requests earlier. */
export const maximumHoldMilliseconds = 60_000;

/** Targets that turned this host away and named the time for which they want nothing from it. */
export class HoldBacks {
	/** Monotonic time until which nothing is sent, by target. */
	private readonly heldUntil = new Map<TargetId, number>();

	constructor(private readonly clock: Clock) {}

	/** Holds a target back from now on. A longer time that another answer named stays. Returns true when the target was not held back. */
	hold(target: TargetId, milliseconds: number): boolean {
		const wasHeld = this.isHeld(target);
		const until =
			this.clock.monotonic() + Math.min(milliseconds, maximumHoldMilliseconds);
		this.heldUntil.set(
			target,
			Math.max(until, this.heldUntil.get(target) ?? until),
		);
		return !wasHeld && this.isHeld(target);
	}

	/** True while nothing is sent to the target. */
	isHeld(target: TargetId): boolean {
		return this.remainingMilliseconds(target) > 0;
	}

	/** Time until the target may be used again, 0 when it may be now. */
	remainingMilliseconds(target: TargetId): number {
		return Math.max(
			0,
			(this.heldUntil.get(target) ?? 0) - this.clock.monotonic(),
		);
	}

	/** Forgets a target that has ended or restarted. */
	forget(target: TargetId): void {
		this.heldUntil.delete(target);
	}
}
