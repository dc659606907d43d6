import {build, type Histogram} from 'hdr-histogram-js';
import {
	MetricRegistry,
	type MetricLabels,
} from '../base/common/metric-registry.js';

const quantiles = [0.5, 0.9, 0.95, 0.99, 0.999];

type Kind = 'counter' | 'gauge' | 'summary';

type Series = {
	readonly labels: MetricLabels;
	value: number;
	readonly histogram: Histogram | undefined;
};

type Family = {
	readonly kind: Kind;
	readonly series: Map<string, Series>;
};

/** Options of a histogram metric registry. */
export type HistogramMetricRegistryOptions = {
	/** Help text by metric name. Default: the name with underscores replaced by spaces. */
	readonly help?: Readonly<Record<string, string>>;
	/** Maximum number of label combinations of one metric, so that a label with many values cannot exhaust memory. Default: 1000. */
	readonly maximumSeries?: number;
};

/** In-memory metric registry. Durations are recorded in HDR histograms with a resolution of one microsecond. */
export class HistogramMetricRegistry extends MetricRegistry {
	private readonly families = new Map<string, Family>();
	private readonly help: Readonly<Record<string, string>>;
	private readonly maximumSeries: number;

	constructor(options: HistogramMetricRegistryOptions = {}) {
		super();
		this.help = options.help ?? {};
		this.maximumSeries = options.maximumSeries ?? 1000;
	}

	count(name: string, labels: MetricLabels = {}, amount = 1): void {
		const series = this.series(name, 'counter', labels);
		if (series) {
			series.value += amount;
		}
	}

	gauge(name: string, value: number, labels: MetricLabels = {}): void {
		const series = this.series(name, 'gauge', labels);
		if (series) {
			series.value = value;
		}
	}

	observe(name: string, milliseconds: number, labels: MetricLabels = {}): void {
		const series = this.series(name, 'summary', labels);
		if (!series?.histogram) {
			return;
		}

		series.value += milliseconds;
		series.histogram.recordValue(Math.max(0, Math.round(milliseconds * 1000)));
	}

	/** Returns a quantile (0 to 1) of a duration in milliseconds, or undefined if nothing was observed. */
	quantile(
		name: string,
		quantile: number,
		labels: MetricLabels = {},
	): number | undefined {
		const histogram = this.families
			.get(name)
			?.series.get(formatLabels(labels))?.histogram;
		return histogram && histogram.totalCount > 0
			? histogram.getValueAtPercentile(quantile * 100) / 1000
			: undefined;
	}

	/** Returns all metrics in the Prometheus text exposition format. */
	exposition(): string {
		const lines: string[] = [];
		const names = [...this.families.keys()].sort();
		for (const name of names) {
			const {kind, series} = this.families.get(name)!;
			const help = this.help[name] ?? name.replaceAll('_', ' ');
			lines.push(
				`# HELP ${name} ${help.replaceAll('\\', '\\\\').replaceAll('\n', String.raw`\n`)}`,
				`# TYPE ${name} ${kind}`,
			);
			for (const entry of series.values()) {
				lines.push(...formatSeries(name, entry));
			}
		}

		return `${lines.join('\n')}\n`;
	}

	private series(
		name: string,
		kind: Kind,
		labels: MetricLabels,
	): Series | undefined {
		let family = this.families.get(name);
		if (!family) {
			family = {kind, series: new Map()};
			this.families.set(name, family);
		}

		// Recording one name with two kinds would make the exposition invalid.
		if (family.kind !== kind) {
			return undefined;
		}

		const key = formatLabels(labels);
		const existing = family.series.get(key);
		if (existing !== undefined) {
			return existing;
		}

		if (family.series.size >= this.maximumSeries) {
			return undefined;
		}

		const created: Series = {
			labels,
			value: 0,
			histogram:
				kind === 'summary'
					? build({
							bitBucketSize: 32,
							autoResize: true,
							lowestDiscernibleValue: 1,
							highestTrackableValue: 3_600_000_000,
							// Two significant digits limit a series to less than 20 KB, with an error of at most 1%.
							numberOfSignificantValueDigits: 2,
						})
					: undefined,
		};
		family.series.set(key, created);
		return created;
	}
}

function formatSeries(name: string, series: Series): string[] {
	const labels = formatLabels(series.labels);
	const {histogram} = series;
	if (!histogram) {
		return [`${name}${labels} ${series.value}`];
	}

	return [
		...quantiles.map(
			(quantile) =>
				`${name}${formatLabels({...series.labels, quantile: String(quantile)})} ${histogram.getValueAtPercentile(quantile * 100) / 1000}`,
		),
		`${name}_sum${labels} ${series.value}`,
		`${name}_count${labels} ${histogram.totalCount}`,
	];
}

function formatLabels(labels: MetricLabels): string {
	const pairs = Object.entries(labels)
		.sort(([left], [right]) => (left < right ? -1 : 1))
		.map(([name, value]) => {
			const escaped = value
				.replaceAll('\\', '\\\\')
				.replaceAll('"', String.raw`\"`)
				.replaceAll('\n', String.raw`\n`);
			return `${name}="${escaped}"`;
		});
	return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}
