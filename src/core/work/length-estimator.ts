import {type CallerId, type OfferingName} from '../../contracts/ids.js';

/** Features of a request that are known before it runs. */
export type LengthFeatures = {
	readonly caller: CallerId;
	readonly offering: OfferingName;
	readonly promptCharacters: number;
	readonly maximumTokens: number;
};

/** Expected length of a response. */
export type LengthEstimate = {
	/** Expected number of tokens. Not an integer in general. */
	readonly tokens: number;
	/** True when the response is likely enough to reach the long threshold. */
	readonly isLong: boolean;
};

/** Settings of the estimator. */
export type LengthEstimatorOptions = {
	/** Responses of at least this many tokens count as long. */
	readonly longThresholdTokens?: number;
	/** Estimated share of long responses from which a request is treated as long. Below one half, because a long response in a short slot blocks other requests. */
	readonly longShareThreshold?: number;
	/** Maximum number of keys with a history. The least recently updated one is evicted. */
	readonly maximumKeys?: number;
	/** Tokens expected when no key of the request has a history. */
	readonly defaultTokens?: number;
};

type History = {
	count: number;
	/** Moving average of the logarithm of the response length. */
	logTokens: number;
	/** Moving average of the share of long responses. */
	longShare: number;
};

/** Lower bound of the weight of a new response, so that a change in the lengths of a caller shows within about ten responses. */
const minimumStep = 0.1;
/** Number of responses at which the history of a key weighs as much as that of the more general keys. */
const priorSamples = 2;

/** Estimates response lengths from past responses by caller, offering and prompt size, falling back to more general keys. */
export class LengthEstimator {
	private readonly options: Required<LengthEstimatorOptions>;
	private readonly histories = new Map<string, History>();

	constructor(options: LengthEstimatorOptions = {}) {
		this.options = {
			longThresholdTokens: 128,
			longShareThreshold: 0.3,
			maximumKeys: 8192,
			defaultTokens: 64,
			...options,
		};
	}

	/** Number of tokens from which a running request counts as long. */
	get longThresholdTokens(): number {
		return this.options.longThresholdTokens;
	}

	/** Estimates the length of the response to a request. */
	estimate(features: LengthFeatures): LengthEstimate {
		let logTokens = Math.log(this.options.defaultTokens);
		let longShare = 0;
		for (const key of historyKeys(features)) {
			const history = this.histories.get(key);
			if (history) {
				const confidence = history.count / (history.count + priorSamples);
				logTokens += confidence * (history.logTokens - logTokens);
				longShare += confidence * (history.longShare - longShare);
			}
		}

		return {
			tokens: Math.min(features.maximumTokens, Math.exp(logTokens)),
			isLong:
				features.maximumTokens >= this.options.longThresholdTokens &&
				longShare >= this.options.longShareThreshold,
		};
	}

	/** Updates the histories with a completed response. Cancelled responses must be left out, as their length says nothing about the full length. */
	observe(features: LengthFeatures, tokens: number): void {
		for (const key of historyKeys(features)) {
			const history = this.histories.get(key) ?? {
				count: 0,
				logTokens: 0,
				longShare: 0,
			};
			history.count++;
			const step = Math.max(minimumStep, 1 / history.count);
			const isLong = tokens >= this.options.longThresholdTokens ? 1 : 0;
			history.logTokens +=
				step * (Math.log(Math.max(1, tokens)) - history.logTokens);
			history.longShare += step * (isLong - history.longShare);
			this.histories.delete(key);
			this.histories.set(key, history);
		}

		while (this.histories.size > this.options.maximumKeys) {
			const [oldest] = this.histories.keys();
			this.histories.delete(oldest!);
		}
	}
}

/** Returns the history keys of a request, from the most general to the most specific. */
function historyKeys(features: LengthFeatures): string[] {
	const {caller, offering, promptCharacters, maximumTokens} = features;
	const size = `${binaryMagnitude(promptCharacters)}|${binaryMagnitude(maximumTokens)}`;
	return [
		`o|${offering}`,
		`os|${offering}|${size}`,
		`c|${offering}|${caller}`,
		`cs|${offering}|${size}|${caller}`,
	];
}

/** Size class of a count: the integer part of its binary logarithm. */
function binaryMagnitude(count: number): number {
	return Math.floor(Math.log2(Math.max(1, count)));
}
