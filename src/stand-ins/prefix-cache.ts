import {type CacheEvent} from '../contracts/engine.js';

/** Least-recently-used cache of the prompt prefixes of an engine stand-in, which records numbered change events. */
export class PrefixCache {
	private readonly prefixes = new Set<string>();
	private readonly events: CacheEvent[] = [];
	private sequence = 0;

	constructor(
		/** Number of prefixes that the cache holds. */
		private readonly capacity: number,
		/** Number of recent events that can be read. */
		private readonly retainedEvents = 4096,
	) {}

	/** Returns the number of cached prefixes before the first one that is not cached. */
	countHits(prefixes: readonly string[]): number {
		const firstMiss = prefixes.findIndex(
			(prefix) => !this.prefixes.has(prefix),
		);
		return firstMiss === -1 ? prefixes.length : firstMiss;
	}

	/** Stores prefixes as the most recently used ones and evicts the least recently used ones beyond the capacity. */
	store(prefixes: readonly string[]): void {
		for (const prefix of prefixes) {
			if (!this.prefixes.delete(prefix)) {
				this.record('stored', prefix);
			}

			this.prefixes.add(prefix);
		}

		for (const prefix of this.prefixes) {
			if (this.prefixes.size <= this.capacity) {
				return;
			}

			this.prefixes.delete(prefix);
			this.record('evicted', prefix);
		}
	}

	/** Removes all prefixes. */
	clear(): void {
		this.prefixes.clear();
		this.record('cleared', '');
	}

	/** Returns the retained events from a sequence number on. */
	eventsFrom(sequence: number): readonly CacheEvent[] {
		return this.events.filter((event) => event.sequence >= sequence);
	}

	private record(kind: CacheEvent['kind'], prefix: string): void {
		this.events.push({sequence: this.sequence, kind, prefix});
		this.sequence++;
		if (this.events.length > this.retainedEvents) {
			this.events.shift();
		}
	}
}
