import {type Clock} from '../base/common/clock.js';
import {type RetryBudget} from './retry-budget.js';
import {WindowedQuantile} from './windowed-quantile.js';

/** Settings of hedging. */
export type HedgingPolicyOptions = {
	readonly clock: Clock;
	readonly budget: RetryBudget;
	/** Quantile of first-token times after which a second attempt starts. */
	readonly quantile?: number;
	readonly minimumDelayMilliseconds?: number;
	/** First-token times needed before hedging starts. */
	readonly minimumSamples?: number;
};

/** A request that waits for its first token. */
export type HedgeCandidate = {
	readonly idempotent: boolean;
	/** The request may have killed a target; a second copy could kill another one. */
	readonly suspect: boolean;
	readonly alreadyHedged: boolean;
	/** Time since the request was sent to its target. */
	readonly waitedMilliseconds: number;
};

/** Decides when a request without a first token is sent to a second target. */
export class HedgingPolicy {
	private readonly options: Required<HedgingPolicyOptions>;
	private readonly firstTokenTimes: WindowedQuantile;

	constructor(options: HedgingPolicyOptions) {
		this.options = {
			quantile: 0.95,
			minimumDelayMilliseconds: 5,
			minimumSamples: 50,
			...options,
		};
		this.firstTokenTimes = new WindowedQuantile(options.clock, 5000);
	}

	/** Takes in the time from sending to the first token. */
	recordFirstToken(milliseconds: number): void {
		this.firstTokenTimes.record(milliseconds);
	}

	/** Returns the time to wait for a first token before a hedge, or undefined while too little is known. */
	delay(): number | undefined {
		if (this.firstTokenTimes.count < this.options.minimumSamples) {
			return undefined;
		}

		return Math.max(
			this.options.minimumDelayMilliseconds,
			this.firstTokenTimes.quantile(this.options.quantile) ?? 0,
		);
	}

	/** Returns true, and takes one attempt from the budget, if the request is to be hedged now. */
	tryHedge(question: HedgeCandidate): boolean {
		const delay = this.delay();
		if (
			!question.idempotent ||
			question.suspect ||
			question.alreadyHedged ||
			delay === undefined ||
			question.waitedMilliseconds < delay
		) {
			return false;
		}

		return this.options.budget.tryAcquire();
	}
}
