/** Time constant of the measured rate. Above the interval of the reports, so that it does not follow single requests. */
const defaultTimeConstantMilliseconds = 500;

/** Exponentially weighted rate of units. */
export class UseMeter {
	private value = 0;
	private at: number;

	constructor(
		now: number,
		private readonly timeConstantMilliseconds = defaultTimeConstantMilliseconds,
	) {
		this.at = now;
	}

	/** Counts units. */
	add(units: number, now: number): void {
		this.value =
			this.perSecond(now) + (units * 1000) / this.timeConstantMilliseconds;
		this.at = now;
	}

	/** Units per second. */
	perSecond(now: number): number {
		return (
			this.value * Math.exp((this.at - now) / this.timeConstantMilliseconds)
		);
	}
}
