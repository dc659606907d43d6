import {type ModelId} from '../../contracts/ids.js';
import {DecayingRegression} from './decaying-regression.js';
import {LengthDistribution} from './length-distribution.js';
import {
	WorkEstimator,
	type UsualWork,
	type WorkEstimate,
	type WorkFeatures,
	type WorkObservation,
} from './work-estimator.js';

/** Settings of the estimator. */
export type LearnedWorkEstimatorOptions = {
	/** Largest number of keys with a history of lengths. The one that was updated longest ago is dropped. */
	readonly maximumKeys?: number;
	/** Tokens expected before any request has ended. */
	readonly defaultTokens?: number;
	/** Time for one token before any request has ended. */
	readonly defaultMillisecondsPerToken?: number;
	/** Time for one token of the prompt before any request has ended. */
	readonly defaultMillisecondsPerPromptToken?: number;
};

/** History of the logarithm of the lengths of one key. */
type LengthHistory = {
	readonly model: ModelId | undefined;
	count: number;
	logMean: number;
	logVariance: number;
};

type Mean = {count: number; value: number};

/** Lower bound of the weight of a new length: a change shows within some fifty requests. */
const minimumStep = 0.02;
/** Requests at which the history of a key weighs as much as that of the more general keys. */
const priorCount = 4;
/** Standard deviation of the logarithm of the lengths before any request has ended. */
const defaultLogSpread = 1;
/** Smallest and largest standard deviation of the logarithm. The smallest leaves room for the rounding to events. */
const logSpreadBounds = [0.1, 1.6] as const;
/** Deviation of a length from the mean, in standard deviations, beyond which it counts as at this deviation. */
const maximumDeviation = 3;
/** Ended requests with a hint from which hints are corrected by what was learned. Before, they are ignored. */
const minimumHints = 20;
/** Half of the range of lengths, in standard deviations, within which a hint may move an estimate: from the 5% to the 95% quantile. */
const hintRange = 1.645;
/** Ratio of a hint to the declared maximum above which it counts as this ratio. Hints that are always ten times too long stay apart. */
const maximumHintRatio = 16;
/** Largest hint that counts as such for a request without a declared maximum. */
const largestHint = 100_000;
/** Largest ratio of the time for a token to the mean that counts in full, because a slowed target says nothing of the request. */
const maximumPaceRatio = 3;
/** Ended requests at which the pace of a model weighs as much as that of all models. */
const pacePriorCount = 5;
/** Times until the first event from which the time for the prompt is derived by regression. */
const minimumStarts = 20;
/** Largest time for one token of the prompt. */
const maximumMillisecondsPerPromptToken = 2;

/**
 * Learns the work of requests from those that have ended. Lengths are learned by route, model, adapter and size class,
 * where keys with little history lean on more general ones. The load conditions that it handles are demand that shifts
 * to models without history, and hints that are wrong on purpose: whatever a hint says, the estimate stays between the 5%
 * and the 95% quantile of the lengths without it, and below the declared maximum.
 */
export class LearnedWorkEstimator extends WorkEstimator {
	private readonly options: Required<LearnedWorkEstimatorOptions>;
	private readonly lengths = new Map<string, LengthHistory>();
	/** Regression of the deviation of a length from its estimate on that of the hint, by route. */
	private readonly hints = new Map<string, DecayingRegression>();
	/** Time for one token by model, and of all models under undefined. */
	private readonly paces = new Map<ModelId | undefined, Mean>();
	/** Regression of the time until the first event on the prompt tokens, by model, and of all models under undefined. */
	private readonly starts = new Map<ModelId | undefined, DecayingRegression>();
	/** Moving averages of the time in a slot and of its square. */
	private usualMean = 0;
	private usualSquare = 0;
	private observations = 0;

	constructor(options: LearnedWorkEstimatorOptions = {}) {
		super();
		this.options = {
			maximumKeys: 8192,
			defaultTokens: 64,
			defaultMillisecondsPerToken: 8,
			defaultMillisecondsPerPromptToken: 0.03,
			...options,
		};
	}

	estimate(features: WorkFeatures): WorkEstimate {
		const maximum =
			features.maximumTokens > 0 ? features.maximumTokens : Infinity;
		const {logMean, logSpread} = this.withHint(
			features,
			this.lengthOf(features),
		);
		const lengths = new LengthDistribution(logMean, logSpread, maximum);
		const {baseMilliseconds, millisecondsPerPromptToken} = this.startOf(
			features.model,
		);
		const promptMilliseconds =
			features.promptTokens * millisecondsPerPromptToken;
		const millisecondsPerToken = this.paceOf(features.model);
		const startMilliseconds = baseMilliseconds + promptMilliseconds;
		const tokens = lengths.mean;
		const upperTokens = lengths.upper;
		return {
			milliseconds: startMilliseconds + tokens * millisecondsPerToken,
			upperMilliseconds: startMilliseconds + upperTokens * millisecondsPerToken,
			promptMilliseconds,
			baseMilliseconds,
			millisecondsPerToken,
			tokens,
			upperTokens,
			lengths,
		};
	}

	observe(features: WorkFeatures, observation: WorkObservation): void {
		const {tokens, millisecondsPerToken, startMilliseconds, promptTokensRead} =
			observation;
		this.observeLength(features, Math.log(Math.max(1, tokens)));
		for (const model of new Set([undefined, features.model])) {
			if (millisecondsPerToken !== undefined && millisecondsPerToken > 0) {
				this.observePace(model, millisecondsPerToken);
			}

			if (startMilliseconds !== undefined) {
				this.startRegression(model).add(promptTokensRead, startMilliseconds);
			}
		}

		const {baseMilliseconds, millisecondsPerPromptToken} = this.startOf(
			features.model,
		);
		const total =
			baseMilliseconds +
			promptTokensRead * millisecondsPerPromptToken +
			tokens * this.paceOf(features.model);
		this.observations++;
		// Weighs many more requests than a single key does, because a few long ones decide the mean square.
		const step = Math.max(minimumStep / 10, 1 / this.observations);
		this.usualMean += step * (total - this.usualMean);
		this.usualSquare += step * (total * total - this.usualSquare);
	}

	usual(): UsualWork {
		if (this.observations === 0) {
			const milliseconds =
				this.options.defaultTokens * this.options.defaultMillisecondsPerToken;
			return {
				meanMilliseconds: milliseconds,
				remainingMilliseconds: milliseconds,
			};
		}

		return {
			meanMilliseconds: this.usualMean,
			remainingMilliseconds: this.usualSquare / (2 * this.usualMean),
		};
	}

	resetModel(model: ModelId): void {
		this.paces.delete(model);
		this.starts.delete(model);
		for (const [key, history] of this.lengths) {
			if (history.model === model) {
				this.lengths.delete(key);
			}
		}
	}

	private lengthOf(features: WorkFeatures): {
		readonly logMean: number;
		readonly logSpread: number;
	} {
		let logMean = Math.log(this.options.defaultTokens);
		let logVariance = defaultLogSpread ** 2;
		for (const {key} of lengthKeys(features)) {
			const history = this.lengths.get(key);
			if (history) {
				const confidence = history.count / (history.count + priorCount);
				logMean += confidence * (history.logMean - logMean);
				logVariance += confidence * (history.logVariance - logVariance);
			}
		}

		return {logMean, logSpread: boundedSpread(logVariance)};
	}

	/** Moves an estimate by the hint as far as hints of the route have been right, within the stated range. */
	private withHint(
		{offering, maximumTokens, hintedTokens}: WorkFeatures,
		length: {readonly logMean: number; readonly logSpread: number},
	): {readonly logMean: number; readonly logSpread: number} {
		const regression = this.hints.get(offering);
		if (
			hintedTokens === undefined ||
			!regression ||
			regression.count < minimumHints
		) {
			return length;
		}

		const {logMean, logSpread} = length;
		const range = hintRange * logSpread;
		const shift = regression.valueAt(
			logOfHint(hintedTokens, maximumTokens) - logMean,
		);
		return {
			logMean: logMean + Math.min(range, Math.max(-range, shift)),
			logSpread: Math.min(
				logSpread,
				boundedSpread(regression.residualVariance),
			),
		};
	}

	private observeLength(features: WorkFeatures, logTokens: number): void {
		const {offering, maximumTokens, hintedTokens} = features;
		if (hintedTokens !== undefined) {
			const {logMean} = this.lengthOf(features);
			let regression = this.hints.get(offering);
			if (!regression) {
				regression = new DecayingRegression({slopeBounds: [0, 1]});
				this.hints.set(offering, regression);
				evictOldest(this.hints, this.options.maximumKeys);
			}

			regression.add(
				logOfHint(hintedTokens, maximumTokens) - logMean,
				logTokens - logMean,
			);
		}

		for (const {key, model} of lengthKeys(features)) {
			const history = this.lengths.get(key) ?? {
				model,
				count: 0,
				logMean: logTokens,
				logVariance: defaultLogSpread ** 2,
			};
			history.count++;
			const step = Math.max(minimumStep, 1 / history.count);
			const limit = maximumDeviation * Math.sqrt(history.logVariance);
			const deviation = Math.min(
				limit,
				Math.max(-limit, logTokens - history.logMean),
			);
			history.logMean += step * deviation;
			// The first length says nothing of the spread.
			const varianceStep = Math.max(minimumStep, 1 / (history.count + 1));
			history.logVariance +=
				history.count === 1
					? 0
					: varianceStep * (deviation ** 2 - history.logVariance);
			this.lengths.delete(key);
			this.lengths.set(key, history);
		}

		evictOldest(this.lengths, this.options.maximumKeys);
	}

	private observePace(model: ModelId | undefined, milliseconds: number): void {
		const mean = this.paces.get(model) ?? {count: 0, value: milliseconds};
		mean.count++;
		const step = Math.max(minimumStep, 1 / mean.count);
		const limited = Math.min(milliseconds, mean.value * maximumPaceRatio);
		mean.value += step * (limited - mean.value);
		this.paces.delete(model);
		this.paces.set(model, mean);
		evictOldest(this.paces, this.options.maximumKeys);
	}

	private paceOf(model: ModelId | undefined): number {
		const all = this.paces.get(undefined);
		const own = this.paces.get(model);
		const general = all?.value ?? this.options.defaultMillisecondsPerToken;
		return own
			? general +
					(own.count / (own.count + pacePriorCount)) * (own.value - general)
			: general;
	}

	private startRegression(model: ModelId | undefined): DecayingRegression {
		const regression =
			this.starts.get(model) ??
			new DecayingRegression({
				slopeBounds: [0, maximumMillisecondsPerPromptToken],
			});
		this.starts.delete(model);
		this.starts.set(model, regression);
		evictOldest(this.starts, this.options.maximumKeys);
		return regression;
	}

	private startOf(model: ModelId | undefined): {
		readonly baseMilliseconds: number;
		readonly millisecondsPerPromptToken: number;
	} {
		const own = this.starts.get(model);
		const regression =
			own && own.count >= minimumStarts ? own : this.starts.get(undefined);
		return regression && regression.count >= minimumStarts
			? {
					baseMilliseconds: Math.max(0, regression.valueAt(0)),
					millisecondsPerPromptToken: regression.slope,
				}
			: {
					baseMilliseconds: 0,
					millisecondsPerPromptToken:
						this.options.defaultMillisecondsPerPromptToken,
				};
	}
}

/** Returns the keys of a request, from the most general to the most specific. */
function lengthKeys({
	offering,
	model,
	adapter,
	promptTokens,
	maximumTokens,
}: WorkFeatures): Array<{
	readonly key: string;
	readonly model: ModelId | undefined;
}> {
	const size = `${binaryMagnitude(promptTokens)}|${binaryMagnitude(maximumTokens)}`;
	const route = `r|${offering}`;
	const keys: Array<{
		readonly key: string;
		readonly model: ModelId | undefined;
	}> = [
		{key: '', model: undefined},
		{key: route, model: undefined},
		{key: `${route}|${size}`, model: undefined},
	];
	if (model !== undefined) {
		keys.push({key: `${route}|m|${model}`, model});
		if (adapter !== undefined) {
			keys.push({key: `${route}|m|${model}|${adapter}`, model});
		}

		keys.push({key: `${route}|m|${model}|${adapter ?? ''}|${size}`, model});
	}

	return keys;
}

/** Logarithm of a hint. Limits how far one absurd hint moves what is learned of hints. */
function logOfHint(hintedTokens: number, maximumTokens: number): number {
	const limit =
		maximumTokens > 0 ? maximumTokens * maximumHintRatio : largestHint;
	return Math.log(Math.min(limit, Math.max(1, hintedTokens)));
}

function boundedSpread(variance: number): number {
	const [smallest, largest] = logSpreadBounds;
	return Math.min(largest, Math.max(smallest, Math.sqrt(variance)));
}

/** Size class of a count: the integer part of its binary logarithm. */
function binaryMagnitude(count: number): number {
	return Math.floor(Math.log2(Math.max(1, count)));
}

function evictOldest<Key>(
	entries: Map<Key, unknown>,
	maximumKeys: number,
): void {
	while (entries.size > maximumKeys) {
		const [oldest] = entries.keys();
		entries.delete(oldest!);
	}
}
