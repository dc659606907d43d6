import {
	type AdapterId,
	type ModelId,
	type OfferingName,
} from '../../contracts/ids.js';
import {type LengthDistribution} from './length-distribution.js';

/** What is known of a request before it runs. */
export type WorkFeatures = {
	readonly offering: OfferingName;
	/** Undefined for calls to a plain service. */
	readonly model: ModelId | undefined;
	readonly adapter: AdapterId | undefined;
	readonly promptTokens: number;
	/** Largest number of tokens that the response may have, 0 if not declared. */
	readonly maximumTokens: number;
	/** The caller's estimate of the tokens of the response. It is often far off. */
	readonly hintedTokens: number | undefined;
};

/** Expected work of a request. The unit is the time that it occupies a slot on a target of usual speed. */
export type WorkEstimate = {
	/** Expected time in a slot, the prompt included. */
	readonly milliseconds: number;
	/** Time in a slot that one request in ten exceeds. */
	readonly upperMilliseconds: number;
	/** Part of the expected time for a prompt of which the target holds nothing. */
	readonly promptMilliseconds: number;
	/** Part of the expected time until the first event that does not depend on the prompt. */
	readonly baseMilliseconds: number;
	/** Time for one token of the response. */
	readonly millisecondsPerToken: number;
	/** Expected tokens of the response. */
	readonly tokens: number;
	/** Tokens that one response in ten exceeds. */
	readonly upperTokens: number;
	/** Distribution of the length of the response, from which the rest of a running response is derived. */
	readonly lengths: LengthDistribution;
};

/** What was seen of a request that has ended completely. */
export type WorkObservation = {
	/** Tokens of the response. */
	readonly tokens: number;
	/** Time from the send to the first event, undefined if it may contain a wait at the target. */
	readonly startMilliseconds: number | undefined;
	/** Time between two tokens of the response, undefined for one event only. */
	readonly millisecondsPerToken: number | undefined;
	/** Prompt tokens that the target had to read. */
	readonly promptTokensRead: number;
};

/** How long requests of all kinds occupy a slot. */
export type UsualWork = {
	readonly meanMilliseconds: number;
	/** Mean of the rest of the requests that run at a given time. Above half of the mean, because long requests are more likely to run. */
	readonly remainingMilliseconds: number;
};

/** Estimates the work of requests from their features. */
export abstract class WorkEstimator {
	/** Returns the expected work of a request. */
	abstract estimate(features: WorkFeatures): WorkEstimate;

	/** Learns from a request that has ended completely. Cancelled ones must be left out, as their length says nothing about the full length. */
	abstract observe(features: WorkFeatures, observation: WorkObservation): void;

	/** Returns how long requests of all kinds occupy a slot. */
	abstract usual(): UsualWork;

	/** Drops what was learned of a model, because its weights have changed. */
	abstract resetModel(model: ModelId): void;
}

/** Expected further time in a slot of a request that has produced a number of tokens. The prompt counts until the first one. */
export function remainingMilliseconds(
	estimate: WorkEstimate,
	producedTokens: number,
	promptMilliseconds = estimate.promptMilliseconds,
): number {
	const start =
		producedTokens > 0 ? 0 : estimate.baseMilliseconds + promptMilliseconds;
	return (
		start +
		estimate.millisecondsPerToken *
			estimate.lengths.meanRemaining(producedTokens)
	);
}
