import {build} from 'hdr-histogram-js';
import {type Outcome} from './serving-model.js';

/** Returns the quantiles of the latencies of requests, in milliseconds, for shares from 0 to 1. */
export function quantiles(
	outcomes: readonly Outcome[],
	shares: readonly number[],
): number[] {
	const histogram = build({
		highestTrackableValue: 3_600_000_000,
		numberOfSignificantValueDigits: 3,
	});
	for (const {latency} of outcomes) {
		histogram.recordValue(Math.max(1, Math.round(latency * 1000)));
	}

	return shares.map(
		(share) => histogram.getValueAtPercentile(share * 100) / 1000,
	);
}

/** Formats rows as a Markdown table. Numbers below 100 get one decimal place, others none. */
export function formatTable(
	header: readonly string[],
	rows: ReadonlyArray<ReadonlyArray<string | number>>,
): string {
	const lines = [
		header,
		header.map((_, index) => (index === 0 ? '---' : '--:')),
		...rows.map((row) =>
			row.map((cell) => (typeof cell === 'number' ? formatNumber(cell) : cell)),
		),
	];
	return lines.map((line) => `| ${line.join(' | ')} |`).join('\n');
}

function formatNumber(value: number): string {
	return value >= 100 ? value.toFixed(0) : value.toFixed(1);
}
