import {type Clock} from '../../base/common/clock.js';

/** Options of a log limiter. */
export type LogLimiterOptions = {
	readonly clock: Clock;
	/** Time after a line in which no other line with the same key is logged. */
	readonly intervalMilliseconds: number;
	/** Lines in this time with all keys together. */
	readonly maximumLines: number;
};

/** Limits the log lines about input of others: one for each key in an interval, and a number of lines with all keys together. */
export class LogLimiter {
	/** Monotonic time of the last line of each key, in the order of the lines. */
	private readonly loggedAt = new Map<string, number>();
	private omittedLines = 0;

	constructor(private readonly options: LogLimiterOptions) {}

	/** Returns the number of lines omitted since the last one that was logged, or undefined when this line must be omitted. */
	admit(key: string): number | undefined {
		const now = this.options.clock.monotonic();
		for (const [known, loggedAt] of this.loggedAt) {
			if (now - loggedAt < this.options.intervalMilliseconds) {
				break;
			}

			this.loggedAt.delete(known);
		}

		if (
			this.loggedAt.has(key) ||
			this.loggedAt.size >= this.options.maximumLines
		) {
			this.omittedLines++;
			return undefined;
		}

		this.loggedAt.set(key, now);
		const omitted = this.omittedLines;
		this.omittedLines = 0;
		return omitted;
	}
}
