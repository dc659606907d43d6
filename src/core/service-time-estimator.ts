// About the last twenty answers decide, so that a change of the targets shows within seconds.
const step = 0.05;

/** Estimates the time that work takes in a slot from its expected tokens. */
export class ServiceTimeEstimator {
	private firstToken: number;
	private betweenTokens: number;

	constructor(
		options: {
			readonly firstTokenMilliseconds?: number;
			readonly betweenTokensMilliseconds?: number;
		} = {},
	) {
		this.firstToken = options.firstTokenMilliseconds ?? 50;
		this.betweenTokens = options.betweenTokensMilliseconds ?? 20;
	}

	/** Expected milliseconds for an answer of this many tokens. */
	estimate(tokens: number): number {
		return this.firstToken + Math.max(0, tokens - 1) * this.betweenTokens;
	}

	/** Learns from the time until the first token. */
	observeFirstToken(milliseconds: number): void {
		this.firstToken += step * (milliseconds - this.firstToken);
	}

	/** Learns from the time between two tokens. */
	observeBetweenTokens(milliseconds: number): void {
		this.betweenTokens += step * (milliseconds - this.betweenTokens);
	}
}
