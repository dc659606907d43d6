import {type RandomSource} from '../base/common/random-source.js';
import {
	type CallerId,
	type ModelId,
	type OfferingName,
} from '../contracts/ids.js';
import {type Urgency} from '../core/fairness/dispatch-queue.js';

/** A simulated request. Its arrival is in milliseconds of the virtual clock. */
export type WorkloadRequest = {
	readonly arrival: number;
	readonly caller: CallerId;
	readonly offering: OfferingName;
	readonly urgency: Urgency;
	readonly promptCharacters: number;
	readonly tokens: number;
	readonly firstTokenMilliseconds: number;
	readonly betweenTokensMilliseconds: number;
	readonly deadlineMilliseconds: number;
	/** Time within which the first token meets the objective. None if absent. */
	readonly startObjectiveMilliseconds?: number;
	/** Time for which the caller waits for the first token. Until the deadline if absent. */
	readonly startTimeoutMilliseconds?: number;
	/** Label by which latencies are grouped. */
	readonly label: string;
	/** Index of the entry host that receives the request. */
	readonly host: number;
	/** What a workload of streams declares in addition. */
	readonly stream?: StreamFeatures;
};

/** Features of a request for a stream. Its tokens count events. */
export type StreamFeatures = {
	readonly model: ModelId;
	readonly promptTokens: number;
	readonly maximumTokens: number;
	readonly hintedTokens: number | undefined;
	/** Keys of the prompt's prefixes, the longest first. */
	readonly prefixes: readonly string[];
	/** Part of the time to the first event in which the target reads the prompt. */
	readonly promptMilliseconds: number;
	readonly objectiveMilliseconds: number;
	readonly startTimeoutMilliseconds: number;
};

/** Draws a value from the log-normal distribution with a median and a standard deviation of the logarithm. */
export function logNormal(
	random: RandomSource,
	median: number,
	sigma: number,
): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
	return (
		median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * random.next()))
	);
}

/**
 * Returns the arrival times of a Poisson process with a rate per millisecond that changes over time. `peak` is an
 * upper bound of the rate.
 */
export function arrivals(
	random: RandomSource,
	until: number,
	rateAt: (time: number) => number,
	peak: number,
): number[] {
	const times: number[] = [];
	let time = 0;
	while (time < until) {
		time -= Math.log(1 - random.next()) / peak;
		if (random.next() * peak < rateAt(time)) {
			times.push(time);
		}
	}

	return times;
}

/** Returns how long a request occupies a slot at normal speed, in milliseconds. */
export function serviceTime(request: WorkloadRequest): number {
	return (
		request.firstTokenMilliseconds +
		(request.tokens - 1) * request.betweenTokensMilliseconds
	);
}

/** Draws a short question with a heavy tail of response lengths: a few are many times longer than the rest. */
export function question(
	random: RandomSource,
	arrival: number,
	hosts: number,
): WorkloadRequest {
	const tokens = Math.min(120, Math.max(1, logNormal(random, 8, 0.9)));
	return {
		arrival,
		caller: `caller-${random.integer(20)}` as CallerId,
		offering: 'row-question' as OfferingName,
		urgency: 'standard',
		promptCharacters: 100,
		tokens: Math.round(tokens),
		firstTokenMilliseconds: logNormal(random, 12, 0.3),
		betweenTokensMilliseconds: logNormal(random, 4, 0.15),
		deadlineMilliseconds: 10_000,
		label: 'question',
		host: random.integer(hosts),
	};
}

/** Draws a request for a long summary. */
export function summary(
	random: RandomSource,
	arrival: number,
	hosts: number,
): WorkloadRequest {
	return {
		...question(random, arrival, hosts),
		offering: 'harvest-summary' as OfferingName,
		caller: `foreman-${random.integer(4)}` as CallerId,
		promptCharacters: 4000,
		tokens: Math.round(Math.min(1000, logNormal(random, 400, 0.4))),
		firstTokenMilliseconds: logNormal(random, 40, 0.3),
		deadlineMilliseconds: 120_000,
		label: 'summary',
	};
}
