import {type Clock} from '../base/common/clock.js';
import {type CacheEvent} from '../contracts/engine.js';
import {type AdapterId, type TargetId} from '../contracts/ids.js';

/** Settings of the affinity. */
export type PrefixAffinityOptions = {
	readonly clock: Clock;
	/** Prefixes remembered per target. */
	readonly maximumPrefixes?: number;
	/** Age from which a prefix no longer counts. Lost eviction events are made good by it. */
	readonly timeToLiveMilliseconds?: number;
	/** Part of the affinity that the adapter makes up. */
	readonly adapterShare?: number;
};

type Prefix = {readonly epoch: number; readonly storedAt: number};

type Entry = {
	/** Oldest first, so that the first one is dropped. */
	readonly prefixes: Map<string, Prefix>;
	readonly adapters: Set<AdapterId>;
	nextSequence: number;
	/** Number of gaps seen in the cache events. */
	epoch: number;
};

/** What the caches of the targets probably hold, from own dispatches and from late cache events with gaps. */
export class PrefixAffinity {
	private readonly options: Required<PrefixAffinityOptions>;
	private readonly entries = new Map<TargetId, Entry>();
	/** Targets by prefix, so that a request finds the holders of its prefixes without a look at each target. */
	private readonly holders = new Map<string, Set<TargetId>>();

	constructor(options: PrefixAffinityOptions) {
		this.options = {
			maximumPrefixes: 1024,
			timeToLiveMilliseconds: 60_000,
			adapterShare: 0.5,
			...options,
		};
	}

	/** Sequence number from which cache events of the target are to be fetched. */
	nextSequence(target: TargetId): number {
		return this.entries.get(target)?.nextSequence ?? 0;
	}

	/** Forgets a target, for example after its restart. */
	removeTarget(target: TargetId): void {
		const entry = this.entries.get(target);
		if (entry) {
			this.clear(target, entry);
			this.entries.delete(target);
		}
	}

	/** Returns at most `count` targets that may hold the longest known one of the prefixes, which are given longest first. */
	holdersOf(prefixes: readonly string[], count: number): TargetId[] {
		const found: TargetId[] = [];
		for (const prefix of prefixes) {
			for (const target of this.holders.get(prefix) ?? []) {
				if (found.length >= count) {
					return found;
				}

				found.push(target);
			}

			if (found.length > 0) {
				return found;
			}
		}

		return found;
	}

	/** Takes the adapters that the target reports as resident. */
	setAdapters(target: TargetId, adapters: Iterable<AdapterId>): void {
		const entry = this.entryOf(target);
		entry.adapters.clear();
		for (const adapter of adapters) {
			entry.adapters.add(adapter);
		}
	}

	/** Assumes that a target stores the prefixes of work sent to it. */
	recordDispatch(target: TargetId, prefixes: readonly string[]): void {
		const entry = this.entryOf(target);
		for (const prefix of prefixes) {
			this.store(target, entry, prefix);
		}
	}

	/** Takes in cache events. After a gap, prefixes from before it count half, as their eviction may have been lost. */
	applyCacheEvents(target: TargetId, events: readonly CacheEvent[]): void {
		const entry = this.entryOf(target);
		const ordered = [...events].sort(
			(left, right) => left.sequence - right.sequence,
		);
		for (const event of ordered) {
			if (event.sequence < entry.nextSequence) {
				continue;
			}

			if (event.sequence > entry.nextSequence) {
				entry.epoch++;
			}

			entry.nextSequence = event.sequence + 1;
			if (event.kind === 'stored') {
				this.store(target, entry, event.prefix);
			} else if (event.kind === 'evicted') {
				this.drop(target, entry, event.prefix);
			} else {
				this.clear(target, entry);
			}
		}
	}

	/** Returns the affinity in [0, 1] of a target for a request. Prefixes are given longest first. */
	affinity(
		target: TargetId,
		prefixes: readonly string[],
		adapter?: AdapterId,
	): number {
		const entry = this.entries.get(target);
		if (!entry) {
			return 0;
		}

		const adapterPart =
			adapter !== undefined && entry.adapters.has(adapter)
				? this.options.adapterShare
				: 0;
		return (
			adapterPart +
			(1 - this.options.adapterShare) * this.prefixShare(entry, prefixes)
		);
	}

	private prefixShare(entry: Entry, prefixes: readonly string[]): number {
		const now = this.options.clock.monotonic();
		for (const [index, prefix] of prefixes.entries()) {
			const known = entry.prefixes.get(prefix);
			if (known && now - known.storedAt < this.options.timeToLiveMilliseconds) {
				const length = (prefixes.length - index) / prefixes.length;
				return known.epoch === entry.epoch ? length : length / 2;
			}
		}

		return 0;
	}

	private store(target: TargetId, entry: Entry, prefix: string): void {
		const holders = this.holders.get(prefix) ?? new Set();
		holders.add(target);
		this.holders.set(prefix, holders);
		entry.prefixes.delete(prefix);
		entry.prefixes.set(prefix, {
			epoch: entry.epoch,
			storedAt: this.options.clock.monotonic(),
		});
		if (entry.prefixes.size > this.options.maximumPrefixes) {
			const [oldest] = entry.prefixes.keys();
			this.drop(target, entry, oldest!);
		}
	}

	private drop(target: TargetId, entry: Entry, prefix: string): void {
		entry.prefixes.delete(prefix);
		const holders = this.holders.get(prefix);
		if (holders?.delete(target) && holders.size === 0) {
			this.holders.delete(prefix);
		}
	}

	private clear(target: TargetId, entry: Entry): void {
		for (const prefix of entry.prefixes.keys()) {
			this.drop(target, entry, prefix);
		}
	}

	private entryOf(target: TargetId): Entry {
		let entry = this.entries.get(target);
		if (!entry) {
			entry = {
				prefixes: new Map(),
				adapters: new Set(),
				nextSequence: 0,
				epoch: 0,
			};
			this.entries.set(target, entry);
		}

		return entry;
	}
}
