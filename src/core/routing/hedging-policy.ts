import {type Clock} from '../../base/common/clock.js';
import {type RetryBudget} from '../limits/retry-budget.js';
import {WindowedQuantile} from '../burn/windowed-quantile.js';

/** Collaborators and settings of hedging. */
export type HedgingPolicyOptions = {
	readonly clock: Clock;
	/** Budget that each hedge is taken from. Shared with the retries. */
	readonly budget: RetryBudget;
	/** Quantile of the first-token times, in [0, 1], after which a second attempt is sent. */
	readonly quantile?: number;
	readonly minimumDelayMilliseconds?: number;
	/** Number of first-token times in the window below which no hedges are sent. */
	readonly minimumSamples?: number;
};

/** A request that has no first token yet. */
export type HedgeCandidate = {
	readonly idempotent: boolean;
	/** True when the request may have crashed a target, so that a second attempt could crash another one. */
	readonly suspect: boolean;
	readonly alreadyHedged: boolean;
	/** Time since the request was sent to its target. */
	readonly waitedMilliseconds: number;
};

/** Decides when a request without a first token is also sent to a second target. */
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

	/** Records the time from sending an attempt to its first token. */
	recordFirstToken(milliseconds: number): void {
		this.firstTokenTimes.record(milliseconds);
	}

	/** Returns the milliseconds to wait for a first token before hedging, or undefined while there are too few samples. */
	delay(): number | undefined {
		if (this.firstTokenTimes.count < this.options.minimumSamples) {
			return undefined;
		}

		return Math.max(
			this.options.minimumDelayMilliseconds,
			this.firstTokenTimes.quantile(this.options.quantile) ?? 0,
		);
	}

	/** Returns true, after taking one attempt from the budget, if the request is to be hedged now. */
	tryHedge(candidate: HedgeCandidate): boolean {
		const delay = this.delay();
		if (
			!candidate.idempotent ||
			candidate.suspect ||
			candidate.alreadyHedged ||
			delay === undefined ||
			candidate.waitedMilliseconds < delay
		) {
			return false;
		}

		return this.options.budget.tryAcquire();
	}
}
