/** Labels of a metric by name, such as the pool or the code of a refusal. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms of one process. Metric names follow the Prometheus text exposition format. */
export abstract class MetricRegistry {
	/** Increments a counter, by one unless an amount is given. */
	abstract count(name: string, labels?: MetricLabels, amount?: number): void;

	/** Sets a gauge. */
	abstract gauge(name: string, value: number, labels?: MetricLabels): void;

	/** Records a duration in a histogram. */
	abstract observe(
		name: string,
		milliseconds: number,
		labels?: MetricLabels,
	): void;
}

/** Discards all metrics. */
export class NullMetricRegistry extends MetricRegistry {
	count(): void {
		// Metrics are discarded.
	}

	gauge(): void {
		// Metrics are discarded.
	}

	observe(): void {
		// Metrics are discarded.
	}
}
