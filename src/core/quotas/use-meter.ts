/** Exponentially weighted rate of units. */
export class UseMeter {
	private value = 0;

	constructor(
		private at: number,
		private timeConstantMilliseconds: number,
	) {}

	/** Sets the time over which the rate is averaged from now on. */
	setTimeConstant(milliseconds: number, now: number): void {
		this.value = this.perSecond(now);
		this.at = now;
		this.timeConstantMilliseconds = milliseconds;
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
