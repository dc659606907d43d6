import {type Clock} from '../base/common/clock.js';
import {type TargetId} from '../contracts/ids.js';

/** Settings of the outlier detection. */
export type OutlierDetectorOptions = {
	readonly clock: Clock;
	/** Ratio to the median of the peers above which a target is ejected. */
	readonly ejectionRatio?: number;
	/** Ratio below which a probe counts as good. Lower than the ejection ratio, so that a target at the limit does not switch back and forth. */
	readonly recoveryRatio?: number;
	/** Measurements needed before a target can be ejected. */
	readonly minimumSamples?: number;
	/** Largest share of the pool that is ejected at a time. */
	readonly maximumEjectedShare?: number;
	readonly probeIntervalMilliseconds?: number;
	/** Weight of a target after its first good probe. Each further good one doubles it. */
	readonly recoveryWeight?: number;
	/** Age at which a measurement counts half. */
	readonly halfLifeMilliseconds?: number;
	/** Age up to which the median of the pool is reused, as it costs a sort. */
	readonly medianCacheMilliseconds?: number;
};

/** How a target compares with its peers. */
export type TargetHealth = {
	/** Share of its normal work, in [0, 1]. */
	readonly weight: number;
	/** Speed relative to the peers, in (0, 1]. */
	readonly speed: number;
	readonly isProbeDue: boolean;
};

/** Which of the two times a measurement is of. */
export type LatencyKind = 'first-token' | 'between-tokens';

/** Decayed mean of the logarithm: a few very long times do not decide it. */
class DecayedMean {
	private sum = 0;
	private mass = 0;
	private time = 0;

	add(value: number, now: number, halfLife: number): void {
		const keep = 0.5 ** ((now - this.time) / halfLife);
		this.sum = this.sum * keep + Math.log(Math.max(value, 0.01));
		this.mass = this.mass * keep + 1;
		this.time = now;
	}

	samples(now: number, halfLife: number): number {
		return this.mass * 0.5 ** ((now - this.time) / halfLife);
	}

	mean(): number {
		return this.mass === 0 ? 0 : this.sum / this.mass;
	}
}

type Entry = {
	readonly means: Record<LatencyKind, DecayedMean>;
	weight: number;
	probeAt: number;
};

const kinds: readonly LatencyKind[] = ['first-token', 'between-tokens'];

/** Compares the times of each target with those of its peers and ejects slow targets in part. */
export class OutlierDetector {
	private readonly options: Required<OutlierDetectorOptions>;
	private readonly entries = new Map<TargetId, Entry>();
	/** Targets with a weight below 1. */
	private readonly reduced = new Set<TargetId>();
	private readonly medians: Partial<
		Record<
			LatencyKind,
			{readonly time: number; readonly value: number | undefined}
		>
	> = {};

	constructor(options: OutlierDetectorOptions) {
		this.options = {
			ejectionRatio: 2,
			recoveryRatio: 1.5,
			minimumSamples: 5,
			maximumEjectedShare: 0.34,
			probeIntervalMilliseconds: 250,
			recoveryWeight: 0.25,
			halfLifeMilliseconds: 1000,
			medianCacheMilliseconds: 20,
			...options,
		};
	}

	/** Number of targets that get probes only. */
	get ejectedCount(): number {
		return [...this.entries.values()].filter(({weight}) => weight === 0).length;
	}

	/** Targets that are ejected or recover. */
	reducedTargets(): readonly TargetId[] {
		return [...this.reduced];
	}

	/** Starts to compare a target. */
	addTarget(target: TargetId): void {
		if (!this.entries.has(target)) {
			this.entries.set(target, {
				means: {
					'first-token': new DecayedMean(),
					'between-tokens': new DecayedMean(),
				},
				weight: 1,
				probeAt: 0,
			});
		}
	}

	/** Stops comparing a target. */
	removeTarget(target: TargetId): void {
		this.entries.delete(target);
		this.reduced.delete(target);
	}

	/** Takes in a measured time. Returns `ejected` or `restored` when the state of the target changes. */
	observe(
		target: TargetId,
		kind: LatencyKind,
		milliseconds: number,
	): 'ejected' | 'restored' | undefined {
		const entry = this.entries.get(target);
		if (!entry) {
			return undefined;
		}

		const now = this.options.clock.monotonic();
		entry.means[kind].add(milliseconds, now, this.options.halfLifeMilliseconds);
		if (entry.weight === 1) {
			return this.ejectIfSlow(target, entry);
		}

		return this.recoverIfFast(target, entry, kind, milliseconds);
	}

	/** Says that a probe was sent to the target, so that the next one waits for its interval. */
	recordProbe(target: TargetId): void {
		const entry = this.entries.get(target);
		if (entry) {
			entry.probeAt =
				this.options.clock.monotonic() + this.options.probeIntervalMilliseconds;
		}
	}

	/** Returns how the target compares with its peers. */
	health(target: TargetId): TargetHealth {
		const entry = this.entries.get(target);
		if (!entry) {
			return {weight: 1, speed: 1, isProbeDue: false};
		}

		const ratio = this.ratio(entry);
		return {
			weight: entry.weight,
			// Between equal targets the ratio is noise that would disturb the comparison of loads.
			speed: ratio < this.options.recoveryRatio ? 1 : Math.max(0.1, 1 / ratio),
			isProbeDue:
				entry.weight === 0 && this.options.clock.monotonic() >= entry.probeAt,
		};
	}

	private ejectIfSlow(target: TargetId, entry: Entry): 'ejected' | undefined {
		if (this.ratio(entry) < this.options.ejectionRatio) {
			return undefined;
		}

		const limit = Math.floor(
			this.entries.size * this.options.maximumEjectedShare,
		);
		if (this.reduced.size >= limit) {
			return undefined;
		}

		entry.weight = 0;
		this.reduced.add(target);
		this.recordProbe(target);
		return 'ejected';
	}

	private recoverIfFast(
		target: TargetId,
		entry: Entry,
		kind: LatencyKind,
		milliseconds: number,
	): 'restored' | undefined {
		const median = this.median(kind);
		if (median === undefined) {
			return undefined;
		}

		if (milliseconds > Math.exp(median) * this.options.recoveryRatio) {
			entry.weight = 0;
			this.recordProbe(target);
			return undefined;
		}

		entry.weight =
			entry.weight === 0
				? this.options.recoveryWeight
				: Math.min(1, entry.weight * 2);
		if (entry.weight < 1) {
			return undefined;
		}

		this.reduced.delete(target);
		// The times from before the ejection would eject it again at once.
		for (const each of kinds) {
			entry.means[each] = new DecayedMean();
		}

		return 'restored';
	}

	/** The larger of the two ratios to the median of the pool. */
	private ratio(entry: Entry): number {
		const now = this.options.clock.monotonic();
		let largest = 1;
		for (const kind of kinds) {
			const mean = entry.means[kind];
			const samples = mean.samples(now, this.options.halfLifeMilliseconds);
			const median = this.median(kind);
			if (median !== undefined && samples >= this.options.minimumSamples) {
				largest = Math.max(largest, Math.exp(mean.mean() - median));
			}
		}

		return largest;
	}

	/** The median over the pool of the mean logarithms. */
	private median(kind: LatencyKind): number | undefined {
		const now = this.options.clock.monotonic();
		const cached = this.medians[kind];
		if (cached && now - cached.time < this.options.medianCacheMilliseconds) {
			return cached.value;
		}

		const means: number[] = [];
		for (const {means: each} of this.entries.values()) {
			if (each[kind].samples(now, this.options.halfLifeMilliseconds) >= 1) {
				means.push(each[kind].mean());
			}
		}

		means.sort((left, right) => left - right);
		// The lower median, so that with few targets one slow target does not hide another.
		const value = means[Math.floor((means.length - 1) / 2)];
		this.medians[kind] = {time: now, value};
		return value;
	}
}
