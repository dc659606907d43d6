import {type Clock} from '../../base/common/clock.js';
import {type TargetId} from '../../contracts/ids.js';

/** Collaborators and settings of the outlier detection. */
export type OutlierDetectorOptions = {
	readonly clock: Clock;
	/** Ratio of the latency of a target to the median of the pool from which the target is ejected. */
	readonly ejectionRatio?: number;
	/** Ratio up to which a probe counts as successful. Below the ejection ratio, so that a target near the limit does not alternate between states. */
	readonly recoveryRatio?: number;
	/** Decayed number of samples below which a target is not ejected. */
	readonly minimumSamples?: number;
	/** Largest share of the targets that may be ejected or recovering at a time. */
	readonly maximumEjectedShare?: number;
	/** Time between probes of an ejected target. */
	readonly probeIntervalMilliseconds?: number;
	/** Weight of a target after its first successful probe. Each further success doubles it. */
	readonly recoveryWeight?: number;
	/** Half-life of a sample. */
	readonly halfLifeMilliseconds?: number;
	/** Time for which the median of the pool is cached, because computing it takes a sort. */
	readonly medianCacheMilliseconds?: number;
};

/** Health of a target relative to the pool. */
export type TargetHealth = {
	/** Share of its normal work that the target receives, in [0, 1]: 0 while ejected, below 1 while recovering. */
	readonly weight: number;
	/** Speed relative to the other targets, in (0, 1]. */
	readonly speed: number;
	/** True when an ejected target is due for a probe request. */
	readonly isProbeDue: boolean;
};

/** Kind of latency that a sample measures. */
export type LatencyKind = 'first-token' | 'between-tokens';

/** Exponentially decayed mean of logarithms, on which a few very long times have little effect. */
class DecayedLogMean {
	private sum = 0;
	private sampleWeight = 0;
	private updatedAt = 0;

	add(value: number, now: number, halfLifeMilliseconds: number): void {
		const decay = 0.5 ** ((now - this.updatedAt) / halfLifeMilliseconds);
		this.sum = this.sum * decay + Math.log(Math.max(value, 0.01));
		this.sampleWeight = this.sampleWeight * decay + 1;
		this.updatedAt = now;
	}

	samples(now: number, halfLifeMilliseconds: number): number {
		return (
			this.sampleWeight * 0.5 ** ((now - this.updatedAt) / halfLifeMilliseconds)
		);
	}

	mean(): number {
		return this.sampleWeight === 0 ? 0 : this.sum / this.sampleWeight;
	}
}

type TargetState = {
	readonly means: Record<LatencyKind, DecayedLogMean>;
	weight: number;
	nextProbeAt: number;
};

const latencyKinds: readonly LatencyKind[] = ['first-token', 'between-tokens'];

/** Compares the latencies of each target with the median of the pool, ejects slow targets, and restores them gradually after successful probes. */
export class OutlierDetector {
	private readonly options: Required<OutlierDetectorOptions>;
	private readonly states = new Map<TargetId, TargetState>();
	/** Targets with a weight below 1. */
	private readonly reducedWeightTargets = new Set<TargetId>();
	private medians: Partial<
		Record<
			LatencyKind,
			{readonly computedAt: number; readonly value: number | undefined}
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

	/** Number of ejected targets, which receive only probes. */
	get ejectedCount(): number {
		return [...this.states.values()].filter(({weight}) => weight === 0).length;
	}

	/** Targets that are ejected or recovering. */
	reducedTargets(): readonly TargetId[] {
		return [...this.reducedWeightTargets];
	}

	/** Adds a target to the comparison. */
	addTarget(target: TargetId): void {
		if (!this.states.has(target)) {
			this.states.set(target, {
				means: {
					'first-token': new DecayedLogMean(),
					'between-tokens': new DecayedLogMean(),
				},
				weight: 1,
				nextProbeAt: 0,
			});
		}
	}

	/** Removes a target from the comparison. */
	removeTarget(target: TargetId): void {
		this.states.delete(target);
		this.reducedWeightTargets.delete(target);
	}

	/** Forgets all samples and restores all targets, because the latencies measured so far were not those of the targets. */
	reset(): void {
		const targets = [...this.states.keys()];
		this.states.clear();
		this.reducedWeightTargets.clear();
		for (const target of targets) {
			this.addTarget(target);
		}
	}

	/** Records a measured latency. Returns `ejected` or `restored` if it changes the state of the target so. */
	observe(
		target: TargetId,
		kind: LatencyKind,
		milliseconds: number,
	): 'ejected' | 'restored' | undefined {
		const state = this.states.get(target);
		if (!state) {
			return undefined;
		}

		const now = this.options.clock.monotonic();
		state.means[kind].add(milliseconds, now, this.options.halfLifeMilliseconds);
		if (state.weight === 1) {
			return this.ejectIfSlow(target, state);
		}

		return this.recoverIfFast(target, state, kind, milliseconds);
	}

	/** Records that a probe was sent to the target; the next one is due after the probe interval. */
	recordProbe(target: TargetId): void {
		const state = this.states.get(target);
		if (state) {
			state.nextProbeAt =
				this.options.clock.monotonic() + this.options.probeIntervalMilliseconds;
		}
	}

	/** Returns the health of a target. An unknown target counts as healthy. */
	health(target: TargetId): TargetHealth {
		const state = this.states.get(target);
		if (!state) {
			return {weight: 1, speed: 1, isProbeDue: false};
		}

		const ratio = this.ratio(state);
		return {
			weight: state.weight,
			// Below this ratio the difference is mostly noise, which would distort the comparison of loads.
			speed: ratio < this.options.recoveryRatio ? 1 : Math.max(0.1, 1 / ratio),
			isProbeDue:
				state.weight === 0 &&
				this.options.clock.monotonic() >= state.nextProbeAt,
		};
	}

	/** Returns the health of a target without renewing the cached medians, on which later decisions depend. */
	previewHealth(target: TargetId): TargetHealth {
		const {medians} = this;
		this.medians = {...medians};
		const health = this.health(target);
		this.medians = medians;
		return health;
	}

	private ejectIfSlow(
		target: TargetId,
		state: TargetState,
	): 'ejected' | undefined {
		if (this.ratio(state) < this.options.ejectionRatio) {
			return undefined;
		}

		const limit = Math.floor(
			this.states.size * this.options.maximumEjectedShare,
		);
		if (this.reducedWeightTargets.size >= limit) {
			return undefined;
		}

		state.weight = 0;
		this.reducedWeightTargets.add(target);
		this.recordProbe(target);
		return 'ejected';
	}

	private recoverIfFast(
		target: TargetId,
		state: TargetState,
		kind: LatencyKind,
		milliseconds: number,
	): 'restored' | undefined {
		const median = this.median(kind);
		if (median === undefined) {
			return undefined;
		}

		if (milliseconds > Math.exp(median) * this.options.recoveryRatio) {
			state.weight = 0;
			this.recordProbe(target);
			return undefined;
		}

		state.weight =
			state.weight === 0
				? this.options.recoveryWeight
				: Math.min(1, state.weight * 2);
		if (state.weight < 1) {
			return undefined;
		}

		this.reducedWeightTargets.delete(target);
		// The samples from before the ejection would eject the target again at once.
		for (const each of latencyKinds) {
			state.means[each] = new DecayedLogMean();
		}

		return 'restored';
	}

	/** The larger of the ratios of the two latencies to the medians of the pool, and at least 1. */
	private ratio(state: TargetState): number {
		const now = this.options.clock.monotonic();
		let largest = 1;
		for (const kind of latencyKinds) {
			const mean = state.means[kind];
			const samples = mean.samples(now, this.options.halfLifeMilliseconds);
			const median = this.median(kind);
			if (median !== undefined && samples >= this.options.minimumSamples) {
				largest = Math.max(largest, Math.exp(mean.mean() - median));
			}
		}

		return largest;
	}

	/** The median over the pool of the mean logarithms of a latency, or undefined without samples. */
	private median(kind: LatencyKind): number | undefined {
		const now = this.options.clock.monotonic();
		const cached = this.medians[kind];
		if (
			cached &&
			now - cached.computedAt < this.options.medianCacheMilliseconds
		) {
			return cached.value;
		}

		const means: number[] = [];
		for (const {means: each} of this.states.values()) {
			if (each[kind].samples(now, this.options.halfLifeMilliseconds) >= 1) {
				means.push(each[kind].mean());
			}
		}

		means.sort((left, right) => left - right);
		// The lower median, so that in a small pool one slow target does not mask another.
		const value = means[Math.floor((means.length - 1) / 2)];
		this.medians[kind] = {computedAt: now, value};
		return value;
	}
}
