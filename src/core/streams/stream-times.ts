import {AnswerTimes} from '../burn/answer-times.js';

/** One complete stream of events. */
export type CompleteStream = {
	/** Time from the arrival of the request to its first event. */
	readonly startMilliseconds: number;
	/** Time from the first event to the last. */
	readonly eventsMilliseconds: number;
	readonly events: number;
	/** Tokens that the request allowed. */
	readonly maximumTokens: number;
};

/** What open streams show that complete ones do not show yet. */
export type PresentStreams = {
	/** Longest time that an open request has waited for its first event. */
	readonly startMilliseconds: number;
	/** Longest average time between two events of an open stream. */
	readonly gapMilliseconds: number;
};

/** Deviations above the average start and pace that most streams stay below. */
const usualDeviations = 2;
/** Number of latest streams from which the events for each allowed token are known. */
const rememberedStreams = 32;
/** Streams below which each allowed token may be an event of its own. */
const minimumStreams = 8;

/** Estimates how long the largest stream takes that a request allows, from the pace of its kind and the events that an allowed token has brought at most. */
export class StreamTimes {
	private readonly starts = new AnswerTimes();
	private readonly gaps = new AnswerTimes();
	private readonly eventsPerToken = new Map<string, number[]>();

	/** Records a complete stream. */
	record(key: string, stream: CompleteStream): void {
		const {startMilliseconds, eventsMilliseconds, events, maximumTokens} =
			stream;
		this.starts.record(key, startMilliseconds);
		if (events > 1) {
			this.gaps.record(key, eventsMilliseconds / (events - 1));
		}

		if (maximumTokens > 0) {
			const known = this.eventsPerToken.get(key) ?? [];
			this.eventsPerToken.set(
				key,
				[...known, events / maximumTokens].slice(-rememberedStreams),
			);
		}
	}

	/** Time of the largest stream with so many tokens. Undefined before the pace is known. */
	largestMilliseconds(
		key: string,
		maximumTokens: number,
		present: PresentStreams,
	): number | undefined {
		const start = this.starts.usualMilliseconds(key, usualDeviations);
		const gap = this.gaps.usualMilliseconds(key, usualDeviations);
		if (start === undefined || gap === undefined) {
			return undefined;
		}

		const known = this.eventsPerToken.get(key) ?? [];
		const share = known.length < minimumStreams ? 1 : Math.max(...known);
		return (
			Math.max(start, present.startMilliseconds) +
			Math.max(gap, present.gapMilliseconds) * maximumTokens * share
		);
	}
}
