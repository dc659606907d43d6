import {type Clock} from '../../../base/common/clock.js';
import {type TargetId} from '../../../contracts/ids.js';
import {type TargetListChange} from '../../../contracts/listed-target.js';
import {type StateChanges} from '../state/state-follower.js';
import {type TargetRegistry} from './target-registry.js';

/** Gap between reads from which the store counts as having been unavailable. Entries may then have expired although their targets are alive. */
const outageMilliseconds = 2500;
/** Time within which targets list themselves again after an outage of the store. */
const relistMilliseconds = 2300;
/** Time between the removal of a target and the last request that was being sent to it. */
const removalMarginMilliseconds = 500;

/** Applies changes of the target list to the registry, and delays removals that an outage or a restore of the store may have caused. */
export class TargetListManager {
	private readonly delayedRemovals = new Map<TargetId, number>();
	private hasReadList = false;
	/** Monotonic time until which a missing target may still list itself again. */
	private relistUntil = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly clock: Clock,
		private readonly registry: TargetRegistry,
		/** Time within which new requests to a target that is gone must end. */
		private readonly drainMilliseconds: number,
	) {}

	/** True once the list has been read. */
	get isLoaded(): boolean {
		return this.hasReadList;
	}

	/** Applies the changes of one read. */
	apply({
		changes,
		isSnapshot,
		isRestored,
		gapMilliseconds,
		hasFailed,
	}: StateChanges<TargetListChange>): void {
		const now = this.clock.monotonic();
		if (
			this.hasReadList &&
			(isRestored || gapMilliseconds > outageMilliseconds)
		) {
			// Without a failed read nothing shows that the store was away, so that the bound holds for a target that is gone.
			const delay =
				isRestored || hasFailed
					? relistMilliseconds
					: this.drainMilliseconds -
						gapMilliseconds -
						removalMarginMilliseconds;
			this.relistUntil = Math.max(
				this.relistUntil,
				now + Math.min(relistMilliseconds, delay),
			);
		}

		const isAfterOutage = now < this.relistUntil;
		this.hasReadList = true;
		const mentioned = new Set<TargetId>();
		for (const change of changes) {
			const id = change.kind === 'listed' ? change.target.id : change.target;
			mentioned.add(id);
			this.delayedRemovals.delete(id);
			if (change.kind === 'unlisted' && isAfterOutage) {
				this.delayRemoval(id);
				continue;
			}

			this.registry.applyChange(change);
		}

		if (!isSnapshot) {
			return;
		}

		for (const {listed} of this.registry.all()) {
			if (!mentioned.has(listed.id)) {
				this.removeMissing(listed.id, isAfterOutage);
			}
		}
	}

	/** Removes the targets that have not listed themselves again in time. Must be called periodically. */
	removeExpired(): void {
		const now = this.clock.monotonic();
		for (const [target, until] of this.delayedRemovals) {
			if (now >= until) {
				this.delayedRemovals.delete(target);
				this.registry.applyChange({kind: 'unlisted', target});
			}
		}
	}

	private removeMissing(target: TargetId, isAfterOutage: boolean): void {
		if (isAfterOutage) {
			this.delayRemoval(target);
			return;
		}

		this.registry.applyChange({kind: 'unlisted', target});
	}

	private delayRemoval(target: TargetId): void {
		this.delayedRemovals.set(target, this.relistUntil);
	}
}
