import {type CacheEvent} from '../contracts/engine.js';

/** Least recently used prompt prefixes of an engine stand-in, with numbered change events. */
export class PrefixCache {
	private readonly prefixes = new Set<string>();
	private readonly events: CacheEvent[] = [];
	private sequence = 0;

	constructor(
		private readonly capacity: number,
		private readonly retainedEvents = 4096,
	) {}

	/** Number of leading prefixes that are cached. */
	countHits(prefixes: readonly string[]): number {
		const miss = prefixes.findIndex((prefix) => !this.prefixes.has(prefix));
		return miss === -1 ? prefixes.length : miss;
	}

	/** Stores prefixes and evicts the least recently used ones. */
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

	/** Drops all prefixes. */
	clear(): void {
		this.prefixes.clear();
		this.record('cleared', '');
	}

	/** Events from a sequence number on. Old ones are no longer kept. */
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
