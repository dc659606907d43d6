import {type Clock} from '../base/common/clock.js';
import {type Objectives} from '../contracts/fleet-document.js';
import {type CallerClassName} from '../contracts/ids.js';

/** How a request counts against the objectives of its caller class. */
export type Judgement = 'good' | 'bad' | 'excluded';

/** What is known of a finished request. */
export type RequestOutcome = {
	/** Code of the refusal, when the request was refused or failed. */
	readonly refusal?: string;
	/** False when the answer ended early for any reason but the caller's own cancellation. */
	readonly completed: boolean;
	/** True when the caller closed the connection. */
	readonly cancelledByCaller?: boolean;
	readonly firstTokenMilliseconds?: number;
	/** Mean time between tokens. */
	readonly betweenTokensMilliseconds?: number;
	readonly serviceCallMilliseconds?: number;
};

/** Refusals that the caller brought about. They say nothing of the system's service. */
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

/** Judges a request by the objectives of its class. */
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

/** Requests by judgement. */
export type JudgementCounts = Readonly<Record<Judgement, number>>;

/** A period over which the burn rate is computed. */
export type BurnWindow = {
	readonly label: string;
	readonly seconds: number;
};

/** The windows of the report. A short and a long window together tell a spike from a trend. */
export const burnWindows: readonly BurnWindow[] = [
	{label: '5m', seconds: 300},
	{label: '1h', seconds: 3600},
	{label: '6h', seconds: 21_600},
	{label: '3d', seconds: 259_200},
];

/**
 * Speed at which the error budget is spent. At 1 it lasts exactly for the period of the objective.
 * Without judged requests nothing is spent.
 */
export function burnRate(counts: JudgementCounts, attainment: number): number {
	const total = counts.good + counts.bad;
	return total === 0 ? 0 : counts.bad / total / (1 - attainment);
}

/** Share of the error budget that is left. Negative when more than the budget is spent. */
export function remainingErrorBudget(
	periodCounts: JudgementCounts,
	attainment: number,
): number {
	return 1 - burnRate(periodCounts, attainment);
}

/** Counts of one caller class on one host, or on several once merged. */
export type ClassCounts = {
	readonly callerClass: CallerClassName;
	/** Counts by label of the window. */
	readonly windows: Readonly<Record<string, JudgementCounts>>;
	/** Counts over the period of the objective, as far as they are retained. */
	readonly period: JudgementCounts;
	/** Counts of the last six hours in steps of five minutes, the newest last. */
	readonly series: ReadonlyArray<JudgementCounts & {readonly time: number}>;
	/** Wall-clock time of the first request counted. */
	readonly since: number;
};

type Counter = {good: number; bad: number; excluded: number};

type Slot = Counter & {bucket: number};

/** Counts in a ring of time buckets. */
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
		// After a step back of the wall clock the slot may hold a later bucket, which stays.
		if (slot.bucket > bucket) {
			return;
		}

		if (slot.bucket < bucket) {
			Object.assign(slot, {bucket, good: 0, bad: 0, excluded: 0});
		}

		slot[judgement] += 1;
	}

	/** Sum of the buckets that end within the window. */
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

	/** Counts of a bucket, counted back from the current one. */
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

const seriesStepCount = 72;

type ClassRings = {
	readonly short: CountRing;
	readonly medium: CountRing;
	readonly long: CountRing;
	readonly since: number;
};

/** Counts finished requests by caller class. Old counts fall out of rings of fixed size. */
export class BurnRateTracker {
	private readonly classes = new Map<CallerClassName, ClassRings>();

	constructor(private readonly clock: Clock) {}

	/** Counts a request. */
	record(callerClass: CallerClassName, judgement: Judgement): void {
		const now = this.clock.wall();
		let rings = this.classes.get(callerClass);
		if (!rings) {
			rings = {
				// 10 s over 1 h, 5 min over 3 d, and 1 h over 32 d: coarser where the window is longer.
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

	/** Counts of all classes seen. `periodDays` gives the period of each class, 30 days by default. */
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

/** Adds up the counts of several hosts. */
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
	// Hosts can be one bucket apart, so the series are joined by time.
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
