import {type Clock} from '../../base/common/clock.js';

type Sum = {value: number; updatedAt: number};

/** Value below which a key is forgotten. */
const minimumValue = 1;
/** Number of keys from which forgotten ones are looked for. */
const evictionSize = 1024;

/** Sums by key of which past additions count less and less. */
export class DecayingSums<Key> {
	private readonly sums = new Map<Key, Sum>();

	constructor(
		private readonly clock: Clock,
		/** Time after which an addition counts half. */
		readonly halfLifeMilliseconds: number,
	) {}

	/** Adds to the sum of a key. */
	add(key: Key, value: number): void {
		const updatedAt = this.clock.monotonic();
		this.sums.set(key, {value: this.get(key) + value, updatedAt});
		if (this.sums.size > evictionSize) {
			this.evict();
		}
	}

	/** The sum of a key now. */
	get(key: Key): number {
		const sum = this.sums.get(key);
		const elapsed = this.clock.monotonic() - (sum?.updatedAt ?? 0);
		return sum ? sum.value * 0.5 ** (elapsed / this.halfLifeMilliseconds) : 0;
	}

	/** The sums of at least one, rounded. */
	rounded(): Map<Key, number> {
		const result = new Map<Key, number>();
		for (const key of this.sums.keys()) {
			const value = Math.round(this.get(key));
			if (value >= minimumValue) {
				result.set(key, value);
			}
		}

		return result;
	}

	private evict(): void {
		for (const key of this.sums.keys()) {
			if (this.get(key) < minimumValue) {
				this.sums.delete(key);
			}
		}
	}
}
