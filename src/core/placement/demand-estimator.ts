/** Response of the estimates to the samples. */
export type DemandEstimatorOptions = {
	/** Time constant with which an estimate rises. Short, because loading a model takes long and demand can change tenfold. */
	readonly riseTimeConstantMilliseconds: number;
	/** Half-life with which an estimate decays. Long, so that replicas are kept for the next burst. */
	readonly decayHalfLifeMilliseconds: number;
	/** Estimates below this value are removed, so that models no longer in the document take no memory. */
	readonly minimumEstimate: number;
};

/** Production settings. */
export const defaultDemandEstimatorOptions: DemandEstimatorOptions = {
	riseTimeConstantMilliseconds: 2000,
	decayHalfLifeMilliseconds: 300_000,
	minimumEstimate: 0.001,
};

type Estimate = {
	/** Exponentially smoothed samples. */
	recent: number;
	/** The estimate: the larger of `recent` and the decayed previous value. */
	value: number;
	/** Monotonic time of the last update. */
	updatedAt: number;
};

/** Estimates the demand of each key: estimates rise within seconds and decay over minutes. */
export class DemandEstimator<Key extends string> {
	private readonly estimates = new Map<Key, Estimate>();

	constructor(
		private readonly options: DemandEstimatorOptions = defaultDemandEstimatorOptions,
	) {}

	/** Updates the estimates with the demand measured at a monotonic time. Keys without a sample count as having no demand. */
	observe(samples: ReadonlyMap<Key, number>, now: number): void {
		for (const key of new Set([...samples.keys(), ...this.estimates.keys()])) {
			this.update(key, samples.get(key) ?? 0, now);
		}
	}

	/** Returns the estimates as of the last observation. */
	estimate(): ReadonlyMap<Key, number> {
		return new Map(
			[...this.estimates].map(([key, estimates]) => [key, estimates.value]),
		);
	}

	private update(key: Key, sample: number, now: number): void {
		const last = this.estimates.get(key);
		if (!last) {
			this.estimates.set(key, {recent: sample, value: sample, updatedAt: now});
			return;
		}

		const elapsed = Math.max(0, now - last.updatedAt);
		const {
			riseTimeConstantMilliseconds,
			decayHalfLifeMilliseconds,
			minimumEstimate,
		} = this.options;
		const weight = 1 - Math.exp(-elapsed / riseTimeConstantMilliseconds);
		const recent = last.recent + (sample - last.recent) * weight;
		const decayed = last.value * 0.5 ** (elapsed / decayHalfLifeMilliseconds);
		const value = Math.max(recent, decayed);
		if (value < minimumEstimate && sample === 0) {
			this.estimates.delete(key);
			return;
		}

		this.estimates.set(key, {recent, value, updatedAt: now});
	}
}
