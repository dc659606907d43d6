/** Share of the requests below which the remainder is extrapolated instead of derived from the distribution. */
const negligibleShare = 0.001;
/** Tokens that a stream which exceeds all expectations still produces, as a share of those produced. */
const overdueShare = 0.25;
/** Standard normal quantile that one value in ten exceeds. */
const upperQuantile = 1.2816;

/** Distribution of the length of a response in tokens: log-normal, and limited by the declared maximum. */
export class LengthDistribution {
	constructor(
		private readonly logMean: number,
		/** Standard deviation of the logarithm. */
		private readonly logSpread: number,
		/** Largest length, infinite if none is declared. */
		private readonly maximum: number,
	) {}

	/** Mean length. */
	get mean(): number {
		return this.meanUntil(this.maximum);
	}

	/** Length that one response in ten exceeds. */
	get upper(): number {
		return Math.min(
			this.maximum,
			Math.exp(this.logMean + upperQuantile * this.logSpread),
		);
	}

	/** Expected number of further tokens of a response that has produced the given number and has not ended. */
	meanRemaining(produced: number): number {
		if (produced <= 0) {
			return this.mean;
		}

		if (produced >= this.maximum) {
			return 0;
		}

		const share = this.shareAbove(produced);
		const remaining =
			share < negligibleShare
				? produced * overdueShare
				: (this.mean - this.meanUntil(produced)) / share;
		return Math.min(this.maximum - produced, Math.max(1, remaining));
	}

	/** Mean of the lengths, each cut at a limit. */
	private meanUntil(limit: number): number {
		const {logMean, logSpread} = this;
		const variance = logSpread * logSpread;
		const whole = Math.exp(logMean + variance / 2);
		return limit === Infinity
			? whole
			: whole *
					normalShareBelow((Math.log(limit) - logMean - variance) / logSpread) +
					limit * this.shareAbove(limit);
	}

	private shareAbove(length: number): number {
		return (
			1 - normalShareBelow((Math.log(length) - this.logMean) / this.logSpread)
		);
	}
}

/** Share of a standard normal distribution below a value, with an error below 0.0002. */
export function normalShareBelow(value: number): number {
	return 1 / (1 + Math.exp(-1.5976 * value - 0.070_566 * value ** 3));
}
