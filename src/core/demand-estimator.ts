/** How fast an estimate follows the samples. */
export type DemandEstimatorOptions = {
	/** Time constant of a rise. Short, because a load takes long and demand swings tenfold. */
	readonly riseTimeConstantMilliseconds: number;
	/** Half-life of a fall. Long, so that copies stay for the next burst. */
	readonly decayHalfLifeMilliseconds: number;
	/** Estimates below this are dropped, so that models that left the document take no memory. */
	readonly minimumEstimate: number;
};

/** Settings in the product. */
export const defaultDemandEstimatorOptions: DemandEstimatorOptions = {
	riseTimeConstantMilliseconds: 2000,
	decayHalfLifeMilliseconds: 300_000,
	minimumEstimate: 0.001,
};

type Estimate = {recent: number; value: number; at: number};

/** Estimates demand by key: it rises within seconds and decays over minutes. */
export class DemandEstimator<Key extends string> {
	private readonly estimates = new Map<Key, Estimate>();

	constructor(
		private readonly options: DemandEstimatorOptions = defaultDemandEstimatorOptions,
	) {}

	/** Takes in the demand measured at a monotonic time. Keys without a sample have none. */
	observe(samples: ReadonlyMap<Key, number>, now: number): void {
		for (const key of new Set([...samples.keys(), ...this.estimates.keys()])) {
			this.update(key, samples.get(key) ?? 0, now);
		}
	}

	/** The estimates as of the last observation. */
	estimate(): ReadonlyMap<Key, number> {
		return new Map(
			[...this.estimates].map(([key, estimates]) => [key, estimates.value]),
		);
	}

	private update(key: Key, sample: number, now: number): void {
		const last = this.estimates.get(key);
		if (!last) {
			this.estimates.set(key, {recent: sample, value: sample, at: now});
			return;
		}

		const elapsed = Math.max(0, now - last.at);
		const {
			riseTimeConstantMilliseconds: riseMilliseconds,
			decayHalfLifeMilliseconds: halfLifeMilliseconds,
			minimumEstimate: forgetBelow,
		} = this.options;
		const weight = 1 - Math.exp(-elapsed / riseMilliseconds);
		const recent = last.recent + (sample - last.recent) * weight;
		const decayed = last.value * 0.5 ** (elapsed / halfLifeMilliseconds);
		const value = Math.max(recent, decayed);
		if (value < forgetBelow && sample === 0) {
			this.estimates.delete(key);
			return;
		}

		this.estimates.set(key, {recent, value, at: now});
	}
}
