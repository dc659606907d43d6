import {type Clock} from '../../base/common/clock.js';

/** Collaborators and settings of the sums. */
export type ReportedSumsOptions = {
	readonly clock: Clock;
	/** Time after which the values of a host expire unless it reports again. */
	readonly lifetimeMilliseconds: number;
};

type Report<Key> = {
	readonly values: ReadonlyMap<Key, number>;
	readonly expiresAt: number;
};

/** Time for which the order of the sums is kept. A quarter of the time between two reports of a host. */
const rankingLifetimeMilliseconds = 100;

/**
 * Adds up, by key, the current values that hosts report. A report replaces the one before it, so that a lost or repeated
 * one changes nothing for longer than until the next. The values are integers, so that the sums do not drift.
 */
export class ReportedSums<Key> {
	private readonly reports = new Map<string, Report<Key>>();
	private readonly sums = new Map<Key, number>();
	private ranking: readonly Key[] = [];
	private rankedAt = Number.NEGATIVE_INFINITY;
	private changes = 0;
	/** No report expires before this time. */
	private nextExpiry = Number.POSITIVE_INFINITY;

	constructor(private readonly options: ReportedSumsOptions) {}

	/** Changes whenever a sum may have changed. */
	get version(): number {
		return this.changes;
	}

	/** Number of hosts whose values have not expired. */
	get reporterCount(): number {
		this.expire();
		return this.reports.size;
	}

	/** Replaces the values of a host, which were up to date some time ago. */
	apply(
		reporter: string,
		values: ReadonlyMap<Key, number>,
		ageMilliseconds = 0,
	): void {
		this.forget(reporter);
		const {clock, lifetimeMilliseconds} = this.options;
		const expiresAt =
			clock.monotonic() + lifetimeMilliseconds - ageMilliseconds;
		this.reports.set(reporter, {values, expiresAt});
		this.nextExpiry = Math.min(this.nextExpiry, expiresAt);
		for (const [key, value] of values) {
			this.add(key, value);
		}
	}

	/** Removes the values of a host. */
	forget(reporter: string): void {
		const report = this.reports.get(reporter);
		if (!report) {
			return;
		}

		this.reports.delete(reporter);
		for (const [key, value] of report.values) {
			this.add(key, -value);
		}
	}

	/** The sum for a key. */
	get(key: Key): number {
		this.expire();
		return this.sums.get(key) ?? 0;
	}

	/** The sum for a key without the value of one host. */
	without(reporter: string, key: Key): number {
		return this.get(key) - (this.reports.get(reporter)?.values.get(key) ?? 0);
	}

	/** All sums. */
	entries(): ReadonlyMap<Key, number> {
		this.expire();
		return this.sums;
	}

	/** The sums without the values of one host, with those of this one. */
	sumWithout(
		reporter: string,
		own: ReadonlyMap<Key, number>,
	): Map<Key, number> {
		this.expire();
		const left = this.reports.get(reporter)?.values;
		const result = new Map(own);
		for (const [key, sum] of this.sums) {
			const rest = sum - (left?.get(key) ?? 0);
			if (rest > 0) {
				result.set(key, (result.get(key) ?? 0) + rest);
			}
		}

		return result;
	}

	/**
	 * The largest sums without the values of one host, with those of this one. Which ones are the largest is found
	 * once for several hosts.
	 */
	largestWithout(
		reporter: string,
		own: ReadonlyMap<Key, number>,
		count: number,
	): Map<Key, number> {
		this.expire();
		const now = this.options.clock.monotonic();
		const total = (key: Key) => (own.get(key) ?? 0) + (this.sums.get(key) ?? 0);
		if (now - this.rankedAt >= rankingLifetimeMilliseconds) {
			this.rankedAt = now;
			this.ranking = [...new Set([...own.keys(), ...this.sums.keys()])]
				.map((key) => ({key, sum: total(key)}))
				.sort((left, right) => right.sum - left.sum)
				.slice(0, count)
				.map(({key}) => key);
		}

		const left = this.reports.get(reporter)?.values;
		const result = new Map<Key, number>();
		for (const key of this.ranking) {
			const rest = total(key) - (left?.get(key) ?? 0);
			if (rest > 0) {
				result.set(key, rest);
			}
		}

		return result;
	}

	private add(key: Key, value: number): void {
		this.changes++;
		const sum = (this.sums.get(key) ?? 0) + value;
		if (sum > 0) {
			this.sums.set(key, sum);
		} else {
			this.sums.delete(key);
		}
	}

	private expire(): void {
		const now = this.options.clock.monotonic();
		if (now < this.nextExpiry) {
			return;
		}

		this.nextExpiry = Number.POSITIVE_INFINITY;
		for (const [reporter, {expiresAt}] of this.reports) {
			if (expiresAt <= now) {
				this.forget(reporter);
			} else {
				this.nextExpiry = Math.min(this.nextExpiry, expiresAt);
			}
		}
	}
}
