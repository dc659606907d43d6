import {
	type CallerClass,
	type Objectives,
} from '../../contracts/fleet-document.js';
import {type CallerClassName} from '../../contracts/ids.js';
import {formatTable} from './text-table.js';
import {
	burnRate,
	burnWindows,
	remainingErrorBudget,
	type ClassCounts,
	type JudgementCounts,
} from './burn-rate.js';

/** `fast` requires attention immediately, `slow` within days. */
export type BurnAlert = 'none' | 'slow' | 'fast';

/** Error budget burn of one caller class. */
export type ClassBurn = {
	readonly callerClass: CallerClassName;
	readonly objectives: Objectives;
	readonly windows: ReadonlyArray<
		JudgementCounts & {readonly label: string; readonly burnRate: number}
	>;
	/** Share of the error budget of the period that remains. Negative when it is overspent. */
	readonly budgetLeft: number;
	readonly alert: BurnAlert;
	/** Wall-clock time in milliseconds of the first counted request, or null if there is none. Counts are lost when a host stops. */
	readonly since: number | null;
	readonly series: ReadonlyArray<{
		readonly time: number;
		readonly burnRate: number;
	}>;
};

/** Error budget burn of all caller classes at a point in time. */
export type BurnReport = {
	readonly time: number;
	readonly classes: readonly ClassBurn[];
};

/** At this rate, 2% of a 30-day budget is spent within one hour. */
const fastBurnRate = 14.4;

const zeroCounts: JudgementCounts = {good: 0, bad: 0, excluded: 0};

function selectAlert(rates: Readonly<Record<string, number>>): BurnAlert {
	// Requiring the short window as well ends the alert soon after the fault ends.
	if (rates['1h']! >= fastBurnRate && rates['5m']! >= fastBurnRate) {
		return 'fast';
	}

	return rates['3d']! >= 1 && rates['6h']! >= 1 ? 'slow' : 'none';
}

function createClassBurn(
	{name, objectives}: CallerClass,
	counts: ClassCounts | undefined,
): ClassBurn {
	const {attainment} = objectives;
	const windows = burnWindows.map(({label}) => {
		const sums = counts?.windows[label] ?? zeroCounts;
		return {
			label,
			good: sums.good,
			bad: sums.bad,
			excluded: sums.excluded,
			burnRate: burnRate(sums, attainment),
		};
	});
	return {
		callerClass: name,
		objectives,
		windows,
		budgetLeft: remainingErrorBudget(counts?.period ?? zeroCounts, attainment),
		alert: selectAlert(
			Object.fromEntries(
				windows.map(({label, burnRate: rate}) => [label, rate]),
			),
		),
		since: counts?.since ?? null,
		series: (counts?.series ?? []).map((step) => ({
			time: step.time,
			burnRate: burnRate(step, attainment),
		})),
	};
}

/** Creates the report for all given caller classes, including classes without requests. */
export function createBurnReport(
	classes: readonly CallerClass[],
	counts: readonly ClassCounts[],
	time: number,
): BurnReport {
	return {
		time,
		classes: classes.map((callerClass) =>
			createClassBurn(
				callerClass,
				counts.find((entry) => entry.callerClass === callerClass.name),
			),
		),
	};
}

function formatPercent(share: number, digits = 1): string {
	return `${(share * 100).toFixed(digits)}%`;
}

/** Formats the report as a text table. */
export function formatBurnTable(report: BurnReport): string {
	const header = [
		'class',
		'objective',
		...burnWindows.map(({label}) => `burn ${label}`),
		'requests 3d',
		'excluded 3d',
		'budget left',
		'alert',
	];
	const rows = report.classes.map((classBurn) => {
		const last = classBurn.windows.at(-1)!;
		return [
			classBurn.callerClass,
			formatPercent(classBurn.objectives.attainment, 2),
			...classBurn.windows.map(({burnRate: rate}) => rate.toFixed(2)),
			String(last.good + last.bad),
			String(last.excluded),
			formatPercent(classBurn.budgetLeft),
			classBurn.alert,
		];
	});
	return formatTable([header, ...rows]);
}

const colours = [
	'#1f77b4',
	'#d62728',
	'#2ca02c',
	'#9467bd',
	'#ff7f0e',
	'#17becf',
];
const plotArea = {left: 60, top: 30, width: 640, height: 260};

function escapeXml(text: string): string {
	return text
		.replaceAll('&', '&amp;')
		.replaceAll('<', '&lt;')
		.replaceAll('>', '&gt;')
		.replaceAll('"', '&quot;');
}

/** Plots the burn rates of the last six hours as SVG, one line per caller class. */
export function formatBurnPlot(report: BurnReport): string {
	const points = report.classes.flatMap(({series}) => series);
	const first = Math.min(
		report.time - 21_600_000,
		...points.map(({time}) => time),
	);
	const span = Math.max(1, report.time - first);
	const highest = Math.max(2, ...points.map((point) => point.burnRate));
	const x = (time: number): string =>
		(plotArea.left + ((time - first) / span) * plotArea.width).toFixed(1);
	const y = (rate: number): string =>
		(plotArea.top + plotArea.height * (1 - rate / highest)).toFixed(1);
	const right = plotArea.left + plotArea.width;
	const bottom = plotArea.top + plotArea.height;
	const steps = [0, 0.25, 0.5, 0.75, 1].map((share) => share * highest);
	const hours = Array.from({length: 7}, (_, index) => index);
	const height = bottom + 40 + report.classes.length * 18;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${right + 30}" height="${height}" font-family="sans-serif" font-size="12">`,
		'<rect width="100%" height="100%" fill="white"/>',
		`<text x="${plotArea.left}" y="18">Burn rate of the error budget, last 6 hours</text>`,
		...steps.map(
			(rate) =>
				`<line x1="${plotArea.left}" x2="${right}" y1="${y(rate)}" y2="${y(rate)}" stroke="#ddd"/><text x="${plotArea.left - 8}" y="${y(rate)}" text-anchor="end" dy="4">${rate.toFixed(1)}</text>`,
		),
		...hours.map(
			(hour) =>
				`<text x="${x(report.time - hour * 3_600_000)}" y="${bottom + 16}" text-anchor="middle">${hour === 0 ? 'now' : `-${hour} h`}</text>`,
		),
		`<line x1="${plotArea.left}" x2="${right}" y1="${y(1)}" y2="${y(1)}" stroke="#888" stroke-dasharray="4 3"/>`,
		...report.classes.flatMap((classBurn, index) => {
			const colour = colours[index % colours.length]!;
			const line = classBurn.series
				.map((point) => `${x(point.time)},${y(point.burnRate)}`)
				.join(' ');
			const legend = bottom + 38 + index * 18;
			return [
				`<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${line}"/>`,
				`<rect x="${plotArea.left}" y="${legend - 10}" width="12" height="12" fill="${colour}"/><text x="${plotArea.left + 18}" y="${legend}">${escapeXml(classBurn.callerClass)}: budget left ${formatPercent(classBurn.budgetLeft)}</text>`,
			];
		}),
		'</svg>',
		'',
	].join('\n');
}
