/** Values of the keys that changed after a revision. The value of a removed key is undefined. */
export type RevisionedChange<Key, Value> = {
	readonly key: Key;
	readonly value: Value | undefined;
};

/** Removed keys that are remembered. A reader that is further behind receives all values. */
const maximumRemovedKeys = 1000;

/** A map that remembers at which revision each key last changed, so that a reader receives only what is new to it. */
export class RevisionedMap<Key, Value> {
	private readonly entries = new Map<
		Key,
		{readonly value: Value | undefined; readonly revision: number}
	>();

	private removedCount = 0;
	private earliestRevision = 0;

	/** Returns the value of a key. */
	get(key: Key): Value | undefined {
		return this.entries.get(key)?.value;
	}

	/** Sets a value, or removes the key when the value is undefined. Revisions never decrease from one call to the next. */
	set(key: Key, value: Value | undefined, revision: number): void {
		const before = this.entries.get(key);
		this.removedCount -= before && before.value === undefined ? 1 : 0;
		// A deleted and inserted key moves to the end, so that the map is in the order of the revisions.
		this.entries.delete(key);
		this.entries.set(key, {value, revision});
		this.removedCount += value === undefined ? 1 : 0;
		if (this.removedCount > maximumRemovedKeys) {
			this.forgetOldestRemoval();
		}
	}

	/** True when `changesSince` of the revision contains all removals that the reader has to know. */
	isCompleteSince(revision: number): boolean {
		return revision >= this.earliestRevision;
	}

	/** Returns the keys that changed after a revision, with their current values. */
	changesSince(revision: number): Array<RevisionedChange<Key, Value>> {
		return [...this.entries]
			.filter(([, entry]) => entry.revision > revision)
			.map(([key, {value}]) => ({key, value}));
	}

	private forgetOldestRemoval(): void {
		for (const [key, {value, revision}] of this.entries) {
			if (value === undefined) {
				this.entries.delete(key);
				this.removedCount--;
				this.earliestRevision = revision;
				return;
			}
		}
	}
}
