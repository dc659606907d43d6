import {type Clock} from '../../base/common/clock.js';
import {type TargetId} from '../../contracts/ids.js';
import {type TargetListChange} from '../../contracts/listed-target.js';
import {type StateChanges} from './state-follower.js';
import {type TargetRegistry} from './target-registry.js';

/** Gap between reads from which the store counts as having been away. Entries may then have lapsed although their targets live. */
const outageMilliseconds = 2500;
/** Time in which targets list themselves again after an outage of the store. */
const relistMilliseconds = 2300;

/** Applies the changes of the list of targets to the registry, and holds back removals that an outage of the store caused. */
export class TargetListManager {
	private readonly heldRemovals = new Map<TargetId, number>();
	private hasList = false;

	constructor(
		private readonly clock: Clock,
		private readonly registry: TargetRegistry,
	) {}

	/** True once the list was read. */
	get isLoaded(): boolean {
		return this.hasList;
	}

	/** Takes in the changes of one read. */
	apply({
		changes,
		isSnapshot: isNewest,
		gapMilliseconds,
	}: StateChanges<TargetListChange>): void {
		const isAfterOutage = gapMilliseconds > outageMilliseconds && this.hasList;
		this.hasList = true;
		const named = new Set<TargetId>();
		for (const change of changes) {
			const id = change.kind === 'listed' ? change.target.id : change.target;
			named.add(id);
			this.heldRemovals.delete(id);
			if (change.kind === 'unlisted' && isAfterOutage) {
				this.hold(id);
				continue;
			}

			this.registry.applyChange(change);
		}

		if (!isNewest) {
			return;
		}

		for (const {listed} of this.registry.all()) {
			if (!named.has(listed.id)) {
				this.removeMissing(listed.id, isAfterOutage);
			}
		}
	}

	/** Removes the targets that did not list themselves again in time. Called periodically. */
	removeExpired(): void {
		const now = this.clock.monotonic();
		for (const [target, until] of this.heldRemovals) {
			if (now >= until) {
				this.heldRemovals.delete(target);
				this.registry.applyChange({kind: 'unlisted', target});
			}
		}
	}

	private removeMissing(target: TargetId, isAfterOutage: boolean): void {
		if (isAfterOutage) {
			this.hold(target);
			return;
		}

		this.registry.applyChange({kind: 'unlisted', target});
	}

	private hold(target: TargetId): void {
		this.heldRemovals.set(target, this.clock.monotonic() + relistMilliseconds);
	}
}
