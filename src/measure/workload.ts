import {type RandomSource} from '../base/common/random-source.js';
import {type CallerId, type OfferingName} from '../contracts/ids.js';
import {type Urgency} from '../core/dispatch-queue.js';

/** A request of a measurement. */
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
	/** Label under which the latency is counted. */
	readonly label: string;
	/** Entry host at which it arrives. */
	readonly host: number;
};

/** A number from the logarithmic normal distribution with a median. */
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

/** Arrival times of a Poisson process with a rate per millisecond that changes over time. */
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

/** Slot time at normal speed. */
export function serviceTime(request: WorkloadRequest): number {
	return (
		request.firstTokenMilliseconds +
		(request.tokens - 1) * request.betweenTokensMilliseconds
	);
}

/** A short question with a heavy tail of answer lengths: a few are many times longer than the rest. */
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

/** A long summary. */
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
