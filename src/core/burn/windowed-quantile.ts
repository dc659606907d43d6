import {build, type Histogram} from 'hdr-histogram-js';
import {type Clock} from '../../base/common/clock.js';

/** Approximate quantiles over the last one to two periods, from two histograms used in rotation. */
export class WindowedQuantile {
	private current = newHistogram();
	private previous = newHistogram();
	private periodStartedAt: number;

	constructor(
		private readonly clock: Clock,
		private readonly periodMilliseconds: number,
	) {
		this.periodStartedAt = clock.monotonic();
	}

	/** Number of values in the window. */
	get count(): number {
		return this.current.totalCount + this.previous.totalCount;
	}

	/** Records a time in milliseconds. Times are clamped to the range from one microsecond to one hour. */
	record(milliseconds: number): void {
		const now = this.clock.monotonic();
		if (now - this.periodStartedAt >= this.periodMilliseconds) {
			[this.current, this.previous] = [this.previous, this.current];
			this.current.reset();
			this.periodStartedAt = now;
		}

		// The histogram stores integers, so times are recorded in microseconds.
		this.current.recordValue(
			Math.min(3.6e9, Math.max(1, Math.round(milliseconds * 1000))),
		);
	}

	/** Returns the quantile for a probability in [0, 1], in milliseconds, as the larger of those of the two histograms; undefined without values. */
	quantile(probability: number): number | undefined {
		if (this.count === 0) {
			return undefined;
		}

		return (
			Math.max(
				this.current.getValueAtPercentile(probability * 100),
				this.previous.getValueAtPercentile(probability * 100),
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
