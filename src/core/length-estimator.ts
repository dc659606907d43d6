import {type CallerId, type OfferingName} from '../contracts/ids.js';

/** What is known of a request before it runs. */
export type LengthFeatures = {
	readonly caller: CallerId;
	readonly offering: OfferingName;
	readonly promptCharacters: number;
	readonly maximumTokens: number;
};

/** Expected length of an answer. */
export type LengthEstimate = {
	readonly tokens: number;
	readonly isLong: boolean;
};

/** Settings of the estimator. */
export type LengthEstimatorOptions = {
	/** Answers of at least this many tokens are long. */
	readonly longThresholdTokens?: number;
	/** Share of long answers from which a request is treated as long. Below one half, as a long answer in a short slot blocks others. */
	readonly longShareThreshold?: number;
	/** Keys remembered; the one unused for the longest time is dropped. */
	readonly maximumKeys?: number;
	/** Tokens expected while nothing is known. */
	readonly defaultTokens?: number;
};

type History = {count: number; logTokens: number; longShare: number};

// Enough weight for a change of a caller's habits to show within about ten answers.
const smallestStep = 0.1;
// Number of answers at which a key counts as much as the more general one.
const priorCount = 2;

/** Learns answer lengths per caller, offering and prompt size, and falls back to more general keys. */
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

	/** Number of tokens from which running work counts as long. */
	get longThresholdTokens(): number {
		return this.options.longThresholdTokens;
	}

	/** Estimates the length of an answer. */
	estimate(question: LengthFeatures): LengthEstimate {
		let logTokens = Math.log(this.options.defaultTokens);
		let longShare = 0;
		for (const key of keysOf(question)) {
			const history = this.histories.get(key);
			if (history) {
				const trust = history.count / (history.count + priorCount);
				logTokens += trust * (history.logTokens - logTokens);
				longShare += trust * (history.longShare - longShare);
			}
		}

		return {
			tokens: Math.min(question.maximumTokens, Math.exp(logTokens)),
			isLong:
				question.maximumTokens >= this.options.longThresholdTokens &&
				longShare >= this.options.longShareThreshold,
		};
	}

	/** Learns from a complete answer. Cancelled answers say nothing of the length and are left out. */
	observe(question: LengthFeatures, tokens: number): void {
		for (const key of keysOf(question)) {
			const history = this.histories.get(key) ?? {
				count: 0,
				logTokens: 0,
				longShare: 0,
			};
			history.count++;
			const step = Math.max(smallestStep, 1 / history.count);
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

/** Keys from the most general to the most specific. */
function keysOf(question: LengthFeatures): string[] {
	const {caller, offering, promptCharacters, maximumTokens} = question;
	const size = `${magnitude(promptCharacters)}|${magnitude(maximumTokens)}`;
	return [
		`o|${offering}`,
		`os|${offering}|${size}`,
		`c|${offering}|${caller}`,
		`cs|${offering}|${size}|${caller}`,
	];
}

function magnitude(count: number): number {
	return Math.floor(Math.log2(Math.max(1, count)));
}
