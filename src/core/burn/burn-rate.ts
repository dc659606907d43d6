import {type Clock} from '../../base/common/clock.js';
import {type Objectives} from '../../contracts/fleet-document.js';
import {type CallerClassName} from '../../contracts/ids.js';

/** How a request counts against the objectives of its caller class. */
export type Judgement = 'good' | 'bad' | 'excluded';

/** Outcome and measured latencies of a finished request. */
export type RequestOutcome = {
	/** Refusal code, if the request was refused or failed. */
	readonly refusal?: string;
	/** False when the response ended early for any reason other than cancellation by the caller. */
	readonly completed: boolean;
	/** True when the caller closed the connection. */
	readonly cancelledByCaller?: boolean;
	readonly firstTokenMilliseconds?: number;
	/** Mean time between tokens. */
	readonly betweenTokensMilliseconds?: number;
	readonly serviceCallMilliseconds?: number;
};

/** Refusals caused by the caller. They are excluded because they do not reflect the quality of the service. */
const callerRefusals: ReadonlySet<string> = new Set([
	'caller-limit',
	'unknown-offering',
	'unknown-service',
	'unauthenticated',
	'forbidden',
	'bad-request',
	'body-too-large',
	'key-required',
	'key-conflict',
	'key-expired',
	'key-in-progress',
]);

function isWithin(value: number | undefined, limit: number): boolean {
	return value === undefined || value <= limit;
}

/** Classifies a request by the objectives of its caller class. A latency that was not measured meets its objective. */
export function judgeRequest(
	outcome: RequestOutcome,
	objectives: Objectives,
): Judgement {
	if (
		outcome.cancelledByCaller === true ||
		(outcome.refusal !== undefined && callerRefusals.has(outcome.refusal))
	) {
		return 'excluded';
	}

	const good =
		outcome.refusal === undefined &&
		outcome.completed &&
		isWithin(
			outcome.firstTokenMilliseconds,
			objectives.firstTokenMilliseconds,
		) &&
		isWithin(
			outcome.betweenTokensMilliseconds,
			objectives.betweenTokensMilliseconds,
		) &&
		isWithin(
			outcome.serviceCallMilliseconds,
			objectives.serviceCallMilliseconds,
		);
	return good ? 'good' : 'bad';
}

/** Number of requests by judgement. */
export type JudgementCounts = Readonly<Record<Judgement, number>>;

/** A period over which the burn rate is computed. */
export type BurnWindow = {
	readonly label: string;
	readonly seconds: number;
};

/** The windows of the burn report. Comparing a short window with a long one distinguishes a spike from a trend. */
export const burnWindows: readonly BurnWindow[] = [
	{label: '5m', seconds: 300},
	{label: '1h', seconds: 3600},
	{label: '6h', seconds: 21_600},
	{label: '3d', seconds: 259_200},
];

/**
 * Rate at which the error budget is spent. At a rate of 1 it lasts exactly for the period of the objective.
 * The rate is 0 when there are no good or bad requests. `attainment` is the required share of good requests.
 */
export function burnRate(counts: JudgementCounts, attainment: number): number {
	const total = counts.good + counts.bad;
	return total === 0 ? 0 : counts.bad / total / (1 - attainment);
}

/** Share of the error budget that remains. Negative when the budget is overspent. */
export function remainingErrorBudget(
	periodCounts: JudgementCounts,
	attainment: number,
): number {
	return 1 - burnRate(periodCounts, attainment);
}

/** Counts of one caller class, on one host or summed over several. */
export type ClassCounts = {
	readonly callerClass: CallerClassName;
	/** Counts by window label. */
	readonly windows: Readonly<Record<string, JudgementCounts>>;
	/** Counts over the period of the objective, limited to the retention of 32 days. */
	readonly period: JudgementCounts;
	/** Counts of the last six hours in steps of five minutes, oldest first. */
	readonly series: ReadonlyArray<JudgementCounts & {readonly time: number}>;
	/** Wall-clock time in milliseconds of the first counted request. */
	readonly since: number;
};

type Counter = {good: number; bad: number; excluded: number};

type Slot = Counter & {bucket: number};

/** Ring buffer of counts by time bucket. */
class CountRing {
	private readonly slots: Slot[];

	constructor(
		readonly bucketMilliseconds: number,
		size: number,
	) {
		this.slots = Array.from({length: size}, () => ({
			bucket: -1,
			good: 0,
			bad: 0,
			excluded: 0,
		}));
	}

	add(time: number, judgement: Judgement): void {
		const bucket = Math.floor(time / this.bucketMilliseconds);
		const slot = this.slots[bucket % this.slots.length]!;
		// After the wall clock is set back, the slot may hold a later bucket, which is kept.
		if (slot.bucket > bucket) {
			return;
		}

		if (slot.bucket < bucket) {
			Object.assign(slot, {bucket, good: 0, bad: 0, excluded: 0});
		}

		slot[judgement] += 1;
	}

	/** Sums the buckets of the window that ends now, the current bucket included. */
	sum(now: number, windowMilliseconds: number): JudgementCounts {
		const newest = Math.floor(now / this.bucketMilliseconds);
		const count = Math.ceil(windowMilliseconds / this.bucketMilliseconds);
		let total: JudgementCounts = {good: 0, bad: 0, excluded: 0};
		for (const slot of this.slots) {
			if (slot.bucket > newest - count && slot.bucket <= newest) {
				total = addCounts(total, slot);
			}
		}

		return total;
	}

	/** Returns the counts of the bucket that lies `bucketsBack` buckets before the current one. */
	countsAt(now: number, bucketsBack: number): JudgementCounts & {time: number} {
		const bucket = Math.floor(now / this.bucketMilliseconds) - bucketsBack;
		const slot = this.slots[Math.max(bucket, 0) % this.slots.length]!;
		const counts = slot.bucket === bucket ? slot : undefined;
		return {
			time: bucket * this.bucketMilliseconds,
			good: counts?.good ?? 0,
			bad: counts?.bad ?? 0,
			excluded: counts?.excluded ?? 0,
		};
	}
}

function addCounts(
	left: JudgementCounts,
	right: JudgementCounts,
): JudgementCounts {
	return {
		good: left.good + right.good,
		bad: left.bad + right.bad,
		excluded: left.excluded + right.excluded,
	};
}

/** Six hours in steps of five minutes. */
const seriesStepCount = 72;

type ClassRings = {
	readonly short: CountRing;
	readonly medium: CountRing;
	readonly long: CountRing;
	readonly since: number;
};

/** Counts finished requests by caller class. Ring buffers of fixed size bound the memory. */
export class BurnRateTracker {
	private readonly classes = new Map<CallerClassName, ClassRings>();

	constructor(private readonly clock: Clock) {}

	/** Counts a request. */
	record(callerClass: CallerClassName, judgement: Judgement): void {
		const now = this.clock.wall();
		let rings = this.classes.get(callerClass);
		if (!rings) {
			rings = {
				// Longer windows use coarser buckets: 10 s over 1 h, 5 min over 3 d, 1 h over 32 d.
				short: new CountRing(10_000, 360),
				medium: new CountRing(300_000, 864),
				long: new CountRing(3_600_000, 768),
				since: now,
			};
			this.classes.set(callerClass, rings);
		}

		rings.short.add(now, judgement);
		rings.medium.add(now, judgement);
		rings.long.add(now, judgement);
	}

	/** Returns the counts of all classes that had requests. `periodDays` maps a class to its objective period; the default is 30 days. */
	counts(
		periodDays: Readonly<Record<string, number>> = {},
	): readonly ClassCounts[] {
		const now = this.clock.wall();
		return [...this.classes].map(([callerClass, rings]) => ({
			callerClass,
			windows: Object.fromEntries(
				burnWindows.map(({label, seconds}) => [
					label,
					(seconds <= 3600 ? rings.short : rings.medium).sum(
						now,
						seconds * 1000,
					),
				]),
			),
			period: rings.long.sum(now, (periodDays[callerClass] ?? 30) * 86_400_000),
			series: Array.from({length: seriesStepCount}, (_, step) =>
				rings.medium.countsAt(now, seriesStepCount - 1 - step),
			),
			since: rings.since,
		}));
	}
}

/** Sums the counts of several hosts by caller class. */
export function mergeClassCounts(
	hosts: ReadonlyArray<readonly ClassCounts[]>,
): readonly ClassCounts[] {
	const merged = new Map<CallerClassName, ClassCounts>();
	for (const counts of hosts.flat()) {
		const existing = merged.get(counts.callerClass);
		merged.set(
			counts.callerClass,
			existing ? mergeClass(existing, counts) : counts,
		);
	}

	return [...merged.values()];
}

function mergeClass(left: ClassCounts, right: ClassCounts): ClassCounts {
	// Hosts can be one bucket apart, so the series are merged by time.
	const steps = new Map(left.series.map((step) => [step.time, step]));
	for (const step of right.series) {
		const existing = steps.get(step.time);
		steps.set(
			step.time,
			existing ? {...addCounts(existing, step), time: step.time} : step,
		);
	}

	return {
		callerClass: left.callerClass,
		windows: Object.fromEntries(
			burnWindows.map(({label}) => [
				label,
				addCounts(left.windows[label]!, right.windows[label]!),
			]),
		),
		period: addCounts(left.period, right.period),
		series: [...steps.values()]
			.sort((first, second) => first.time - second.time)
			.slice(-seriesStepCount),
		since: Math.min(left.since, right.since),
	};
}
