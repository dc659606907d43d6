import {type Clock} from '../../base/common/clock.js';
import {type TargetId} from '../../contracts/ids.js';
import {type TargetListChange} from '../../contracts/listed-target.js';
import {type StateChanges} from './state-follower.js';
import {type TargetRegistry} from './target-registry.js';

/** Gap between reads from which the store counts as having been unavailable. Entries may then have expired although their targets are alive. */
const outageMilliseconds = 2500;
/** Time within which targets list themselves again after an outage of the store. */
const relistMilliseconds = 2300;

/** Applies changes of the target list to the registry, and delays removals that an outage or a restore of the store may have caused. */
export class TargetListManager {
	private readonly delayedRemovals = new Map<TargetId, number>();
	private hasReadList = false;
	/** Monotonic time until which a missing target may still list itself again. */
	private relistUntil = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly clock: Clock,
		private readonly registry: TargetRegistry,
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
	}: StateChanges<TargetListChange>): void {
		const now = this.clock.monotonic();
		if (
			this.hasReadList &&
			(isRestored || gapMilliseconds > outageMilliseconds)
		) {
			this.relistUntil = now + relistMilliseconds;
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
