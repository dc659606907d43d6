/** Times from the arrival of requests to the ends of their answers. */
type Observed = {mean: number; deviation: number};

/** Weight of a time in the moving average. */
const meanWeight = 1 / 8;
/** Weight of a difference from the average in the moving deviation. */
const deviationWeight = 1 / 4;
/** Estimates the usual time of an answer from the moving average and deviation of former ones, as the retransmission timer of TCP does (RFC 6298). */
export class AnswerTimes {
	private readonly observed = new Map<string, Observed>();

	/** Records the time of a complete answer. */
	record(key: string, milliseconds: number): void {
		const known = this.observed.get(key);
		if (!known) {
			this.observed.set(key, {
				mean: milliseconds,
				deviation: milliseconds / 2,
			});
			return;
		}

		const difference = milliseconds - known.mean;
		known.deviation +=
			deviationWeight * (Math.abs(difference) - known.deviation);
		known.mean += meanWeight * difference;
	}

	/** Time that lies a number of deviations above the average, undefined before the first answer. */
	usualMilliseconds(key: string, deviations: number): number | undefined {
		const known = this.observed.get(key);
		return known && known.mean + deviations * known.deviation;
	}
}
