import {type RetryBudgetLimits} from './retry-budget.js';

/** Limits on retries that apply to all hosts together. */
export type RetryLimits = {
	/** Retries allowed per request. */
	readonly ratio: number;
	/** Retries allowed in each window in addition to those of the ratio, for all hosts together. */
	readonly slack: number;
	/** Length of the window to which the limits apply. */
	readonly windowMilliseconds: number;
	/** Number of hosts that share the slack. */
	readonly hosts: number;
};

/** Retries that a host may have saved up although its share of the slack is smaller. */
const minimumRetryCapacity = 2;
/** Share of the slack that may be spent at once, when a target fails with many requests in flight. */
const burstSlackShare = 0.7;
/** Share of the ratio that is used, so that a window that contains only a part of a burst stays below the limit. */
const usedRatioShare = 0.7;

/** A window that begins with a full bucket allows the capacity and the refill, which together are this host's share of the slack. */
export function retryBudgetLimits(retries: RetryLimits): RetryBudgetLimits {
	const slack = retries.slack / retries.hosts;
	return {
		ratio: retries.ratio * usedRatioShare,
		minimumPerSecond:
			(slack * (1 - burstSlackShare)) / (retries.windowMilliseconds / 1000),
		capacity: Math.max(
			minimumRetryCapacity,
			Math.floor(slack * burstSlackShare),
		),
	};
}
