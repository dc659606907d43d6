/** A model or adapter that is requested while no target offers it. */
export type UnservedItem<Key> = {
	readonly key: Key;
	/** Time since the first request that found no target. */
	readonly waitedMilliseconds: number;
};

type Wait = {
	readonly since: number;
	requestedAt: number;
	/** Wait from which the item is reported next. */
	reportFromMilliseconds: number;
};

/** Options of an {@link UnservedDemand}. */
export type UnservedDemandOptions = {
	/**
	 * Time without a request after which a wait is forgotten. Must exceed the time after which refused requests come
	 * back, so that a wait does not begin anew with each of them.
	 */
	readonly lifetimeMilliseconds: number;
	/** Wait from which an item is reported. It is reported again each time its wait has doubled. */
	readonly reportFromMilliseconds: number;
};

/** Tracks for how long models or adapters have been requested without a target that offers them. */
export class UnservedDemand<Key> {
	private readonly waits = new Map<Key, Wait>();

	constructor(private readonly options: UnservedDemandOptions) {}

	/** Applies the keys that are requested now. Returns the items that have a target since the last call. */
	observe(
		requested: Iterable<Key>,
		isOffered: (key: Key) => boolean,
		now: number,
	): Array<UnservedItem<Key>> {
		const {lifetimeMilliseconds, reportFromMilliseconds} = this.options;
		for (const key of requested) {
			const wait = this.waits.get(key);
			if (wait) {
				wait.requestedAt = now;
			} else if (!isOffered(key)) {
				this.waits.set(key, {
					since: now,
					requestedAt: now,
					reportFromMilliseconds,
				});
			}
		}

		const served: Array<UnservedItem<Key>> = [];
		for (const [key, {since, requestedAt}] of this.waits) {
			if (isOffered(key)) {
				served.push({key, waitedMilliseconds: now - since});
				this.waits.delete(key);
			} else if (now - requestedAt >= lifetimeMilliseconds) {
				this.waits.delete(key);
			}
		}

		return served;
	}

	/** True while an item is requested without a target, or was until shortly before. */
	isWaiting(key: Key): boolean {
		return this.waits.has(key);
	}

	/** Returns the time for which an item has been requested without a target, 0 for any other. */
	waitedMilliseconds(key: Key, now: number): number {
		const wait = this.waits.get(key);
		return wait ? now - wait.since : 0;
	}

	/** Returns the items whose wait has reached the next time at which it is reported. */
	takeOverdue(now: number): Array<UnservedItem<Key>> {
		const overdue: Array<UnservedItem<Key>> = [];
		for (const [key, wait] of this.waits) {
			const waitedMilliseconds = now - wait.since;
			if (waitedMilliseconds >= wait.reportFromMilliseconds) {
				wait.reportFromMilliseconds = waitedMilliseconds * 2;
				overdue.push({key, waitedMilliseconds});
			}
		}

		return overdue;
	}

	/** Number of items that have waited for longer than the time from which they are reported. */
	countOverdue(now: number): number {
		const {reportFromMilliseconds} = this.options;
		return [...this.waits.values()].filter(
			({since}) => now - since >= reportFromMilliseconds,
		).length;
	}
}
