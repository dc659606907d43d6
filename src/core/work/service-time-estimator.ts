/** Weight of a new sample. Averages over about the last twenty responses, so that a change of the targets shows within seconds. */
const smoothingFactor = 0.05;

/** Estimates the time that a request occupies a slot from its expected number of tokens. */
export class ServiceTimeEstimator {
	private firstTokenMilliseconds: number;
	private betweenTokensMilliseconds: number;

	constructor(
		options: {
			readonly firstTokenMilliseconds?: number;
			readonly betweenTokensMilliseconds?: number;
		} = {},
	) {
		this.firstTokenMilliseconds = options.firstTokenMilliseconds ?? 50;
		this.betweenTokensMilliseconds = options.betweenTokensMilliseconds ?? 20;
	}

	/** Expected milliseconds for a response of this many tokens. */
	estimate(tokens: number): number {
		return (
			this.firstTokenMilliseconds +
			Math.max(0, tokens - 1) * this.betweenTokensMilliseconds
		);
	}

	/** Records a measured time to the first token. */
	observeFirstToken(milliseconds: number): void {
		this.firstTokenMilliseconds +=
			smoothingFactor * (milliseconds - this.firstTokenMilliseconds);
	}

	/** Records a measured time between two tokens. */
	observeBetweenTokens(milliseconds: number): void {
		this.betweenTokensMilliseconds +=
			smoothingFactor * (milliseconds - this.betweenTokensMilliseconds);
	}
}
