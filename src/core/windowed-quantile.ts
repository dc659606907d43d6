import {build, type Histogram} from 'hdr-histogram-js';
import {type Clock} from '../base/common/clock.js';

/** Quantiles over the last one to two periods, from two histograms in turn. */
export class WindowedQuantile {
	private current = newHistogram();
	private previous = newHistogram();
	private startedAt: number;

	constructor(
		private readonly clock: Clock,
		private readonly periodMilliseconds: number,
	) {
		this.startedAt = clock.monotonic();
	}

	/** Number of values in the window. */
	get count(): number {
		return this.current.totalCount + this.previous.totalCount;
	}

	/** Adds a time in milliseconds. */
	record(milliseconds: number): void {
		const now = this.clock.monotonic();
		if (now - this.startedAt >= this.periodMilliseconds) {
			[this.current, this.previous] = [this.previous, this.current];
			this.current.reset();
			this.startedAt = now;
		}

		// Microseconds, as the histogram keeps integers.
		this.current.recordValue(
			Math.min(3.6e9, Math.max(1, Math.round(milliseconds * 1000))),
		);
	}

	/** Returns the quantile in milliseconds, the larger of the two histograms, or undefined without values. */
	quantile(share: number): number | undefined {
		if (this.count === 0) {
			return undefined;
		}

		return (
			Math.max(
				this.current.getValueAtPercentile(share * 100),
				this.previous.getValueAtPercentile(share * 100),
			) / 1000
		);
	}
}

function newHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 3_600_000_000,
		numberOfSignificantValueDigits: 2,
		bitBucketSize: 32,
	});
}
