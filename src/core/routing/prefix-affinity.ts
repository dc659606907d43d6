import {type Clock} from '../../base/common/clock.js';
import {type CacheEvent} from '../../contracts/engine.js';
import {type AdapterId, type TargetId} from '../../contracts/ids.js';

/** Collaborators and settings of the affinity. */
export type PrefixAffinityOptions = {
	readonly clock: Clock;
	/** Maximum number of prefixes tracked per target. The one stored longest ago is evicted. */
	readonly maximumPrefixes?: number;
	/** Age from which a prefix no longer counts. Bounds the effect of lost eviction events. */
	readonly timeToLiveMilliseconds?: number;
	/** Share of the affinity contributed by the adapter, in [0, 1]; the prefixes contribute the rest. */
	readonly adapterShare?: number;
};

type Prefix = {
	/** Value of the epoch of the target when the prefix was stored. */
	readonly epoch: number;
	/** Monotonic time. */
	readonly storedAt: number;
};

type TargetCache = {
	/** Ordered from the oldest, which is evicted first. */
	readonly prefixes: Map<string, Prefix>;
	readonly adapters: Set<AdapterId>;
	/** Sequence number of the next cache event expected. */
	nextSequence: number;
	/** Number of gaps seen in the sequence of the cache events. */
	epoch: number;
};

/** Estimates what the caches of the targets hold, from the dispatches of this host and from cache events, which arrive late and with gaps. */
export class PrefixAffinity {
	private readonly options: Required<PrefixAffinityOptions>;
	private readonly caches = new Map<TargetId, TargetCache>();
	/** Index of the targets by prefix, so that finding the holders of a prefix does not scan all targets. */
	private readonly holders = new Map<string, Set<TargetId>>();

	constructor(options: PrefixAffinityOptions) {
		this.options = {
			maximumPrefixes: 1024,
			timeToLiveMilliseconds: 60_000,
			adapterShare: 0.5,
			...options,
		};
	}

	/** Sequence number from which the cache events of the target must be fetched next. */
	nextSequence(target: TargetId): number {
		return this.caches.get(target)?.nextSequence ?? 0;
	}

	/** Removes a target, for example after its restart. */
	removeTarget(target: TargetId): void {
		const cache = this.caches.get(target);
		if (cache) {
			this.clear(target, cache);
			this.caches.delete(target);
		}
	}

	/** Returns at most `count` targets that may hold the longest prefix held by any target. The prefixes are ordered from the longest. */
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

	/** Replaces the adapters of the target with those that it reports as resident. */
	setAdapters(target: TargetId, adapters: Iterable<AdapterId>): void {
		const cache = this.cacheOf(target);
		cache.adapters.clear();
		for (const adapter of adapters) {
			cache.adapters.add(adapter);
		}
	}

	/** Records prefixes of a request sent to a target, assuming that the target caches them. */
	recordDispatch(target: TargetId, prefixes: readonly string[]): void {
		const cache = this.cacheOf(target);
		for (const prefix of prefixes) {
			this.store(target, cache, prefix);
		}
	}

	/** Applies cache events, ignoring repeated ones. After a gap in the sequence, prefixes stored before it count half, because their eviction may have been lost. */
	applyCacheEvents(target: TargetId, events: readonly CacheEvent[]): void {
		const cache = this.cacheOf(target);
		const ordered = [...events].sort(
			(left, right) => left.sequence - right.sequence,
		);
		for (const event of ordered) {
			if (event.sequence < cache.nextSequence) {
				continue;
			}

			if (event.sequence > cache.nextSequence) {
				cache.epoch++;
			}

			cache.nextSequence = event.sequence + 1;
			if (event.kind === 'stored') {
				this.store(target, cache, event.prefix);
			} else if (event.kind === 'evicted') {
				this.removePrefix(target, cache, event.prefix);
			} else {
				this.clear(target, cache);
			}
		}
	}

	/** Returns the affinity of a target for a request, in [0, 1]. The prefixes are ordered from the longest. */
	affinity(
		target: TargetId,
		prefixes: readonly string[],
		adapter?: AdapterId,
	): number {
		const cache = this.caches.get(target);
		if (!cache) {
			return 0;
		}

		const adapterPart =
			adapter !== undefined && cache.adapters.has(adapter)
				? this.options.adapterShare
				: 0;
		return (
			adapterPart +
			(1 - this.options.adapterShare) * this.prefixShare(cache, prefixes)
		);
	}

	/** Returns the share of the prefixes that a target may hold, in [0, 1]. The prefixes are ordered from the longest. */
	heldShare(target: TargetId, prefixes: readonly string[]): number {
		const cache = this.caches.get(target);
		return cache ? this.prefixShare(cache, prefixes) : 0;
	}

	private prefixShare(cache: TargetCache, prefixes: readonly string[]): number {
		const now = this.options.clock.monotonic();
		for (const [index, prefix] of prefixes.entries()) {
			const cached = cache.prefixes.get(prefix);
			if (
				cached &&
				now - cached.storedAt < this.options.timeToLiveMilliseconds
			) {
				const length = (prefixes.length - index) / prefixes.length;
				return cached.epoch === cache.epoch ? length : length / 2;
			}
		}

		return 0;
	}

	private store(target: TargetId, cache: TargetCache, prefix: string): void {
		const holders = this.holders.get(prefix) ?? new Set();
		holders.add(target);
		this.holders.set(prefix, holders);
		cache.prefixes.delete(prefix);
		cache.prefixes.set(prefix, {
			epoch: cache.epoch,
			storedAt: this.options.clock.monotonic(),
		});
		if (cache.prefixes.size > this.options.maximumPrefixes) {
			const [oldest] = cache.prefixes.keys();
			this.removePrefix(target, cache, oldest!);
		}
	}

	private removePrefix(
		target: TargetId,
		cache: TargetCache,
		prefix: string,
	): void {
		cache.prefixes.delete(prefix);
		const holders = this.holders.get(prefix);
		if (holders?.delete(target) && holders.size === 0) {
			this.holders.delete(prefix);
		}
	}

	private clear(target: TargetId, cache: TargetCache): void {
		for (const prefix of cache.prefixes.keys()) {
			this.removePrefix(target, cache, prefix);
		}
	}

	private cacheOf(target: TargetId): TargetCache {
		let cache = this.caches.get(target);
		if (!cache) {
			cache = {
				prefixes: new Map(),
				adapters: new Set(),
				nextSequence: 0,
				epoch: 0,
			};
			this.caches.set(target, cache);
		}

		return cache;
	}
}
