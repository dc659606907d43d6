/** Labels of a metric, such as the pool or the code of a refusal. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms of one process. Names follow the text exposition format. */
export abstract class MetricRegistry {
	/** Adds to a counter. */
	abstract count(name: string, labels?: MetricLabels, amount?: number): void;

	/** Sets a gauge. */
	abstract gauge(name: string, value: number, labels?: MetricLabels): void;

	/** Records a duration in milliseconds in a histogram. */
	abstract observe(
		name: string,
		milliseconds: number,
		labels?: MetricLabels,
	): void;
}

/** Keeps nothing. */
export class NullMetricRegistry extends MetricRegistry {
	count(): void {
		// Nothing to keep.
	}

	gauge(): void {
		// Nothing to keep.
	}

	observe(): void {
		// Nothing to keep.
	}
}
