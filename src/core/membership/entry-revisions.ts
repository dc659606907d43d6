import {type Clock} from '../../base/common/clock.js';
import {type TargetId} from '../../contracts/ids.js';
import {type EntryRevision} from '../../contracts/listed-target.js';

type KnownEntry = {
	readonly revision: EntryRevision | undefined;
	/** Monotonic time at which the entry was removed, undefined while it is listed. */
	readonly removedAt: number | undefined;
};

/** Time for which a removed entry is remembered. Far longer than a copy from which the store is restored is old. */
const removedLifetimeMilliseconds = 120_000;

/** Remembers the newest entry seen of each target, so that an older one that the store returns after it was restored is recognised. */
export class EntryRevisions {
	private readonly entries = new Map<TargetId, KnownEntry>();

	constructor(private readonly clock: Clock) {}

	/** Returns the newest known revision of a target's entry. */
	get(target: TargetId): EntryRevision | undefined {
		return this.entries.get(target)?.revision;
	}

	/** Records an entry. Returns false for one that is older than the newest one seen, or that was removed already. */
	accept(target: TargetId, revision: EntryRevision | undefined): boolean {
		const known = this.current(target);
		if (revision && known?.revision) {
			const order = compareRevisions(revision, known.revision);
			if (order < 0 || (order === 0 && known.removedAt !== undefined)) {
				return false;
			}
		}

		this.entries.set(target, {revision, removedAt: undefined});
		return true;
	}

	/** Records that the target has written its entry again without a change of its content. */
	renew(target: TargetId, revision: EntryRevision): void {
		const known = this.current(target);
		if (
			known?.revision &&
			known.removedAt === undefined &&
			compareRevisions(revision, known.revision) > 0
		) {
			this.entries.set(target, {revision, removedAt: undefined});
		}
	}

	/** Records that an entry was removed. The sender of the removal may have seen a newer revision of it. */
	remove(target: TargetId, revision?: EntryRevision): void {
		const known = this.current(target)?.revision;
		const newest =
			revision && (!known || compareRevisions(revision, known) > 0)
				? revision
				: known;
		this.entries.set(target, {
			revision: newest,
			removedAt: this.clock.monotonic(),
		});
		this.forgetRemoved();
	}

	private current(target: TargetId): KnownEntry | undefined {
		const known = this.entries.get(target);
		return known && this.isExpired(known) ? undefined : known;
	}

	private isExpired({removedAt}: KnownEntry): boolean {
		return (
			removedAt !== undefined &&
			this.clock.monotonic() - removedAt > removedLifetimeMilliseconds
		);
	}

	private forgetRemoved(): void {
		for (const [target, known] of this.entries) {
			if (this.isExpired(known)) {
				this.entries.delete(target);
			}
		}
	}
}

/** Negative when the first revision is older than the second, positive when it is newer. */
function compareRevisions(first: EntryRevision, second: EntryRevision): number {
	return first.startedAt - second.startedAt || first.writes - second.writes;
}
