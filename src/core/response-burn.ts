import {type RouteName} from '../contracts/ids.js';
import {burnRate, type Judgement, type JudgementCounts} from './burn-rate.js';
import {formatTable} from './text-table.js';

/** What the log says of one answered request. */
export type LoggedResponse = {
	readonly route: RouteName;
	/** Wall-clock milliseconds at which the answer ended. */
	readonly time: number;
	readonly outcome: string;
	readonly milliseconds: number;
	/** Longest pause between two events of a stream. */
	readonly largestGapMilliseconds: number;
};

/** What answers are judged by. */
export type ResponseObjectives = {
	/** Share of the requests that must be good, below 1. */
	readonly attainment: number;
	/** Longest good time of an answer that is no stream. */
	readonly maximumMilliseconds: number;
	/** Longest good pause of a stream. */
	readonly maximumGapMilliseconds: number;
};

/** Burn of one route. */
export type RouteBurn = {
	readonly route: RouteName;
	readonly counts: JudgementCounts;
	readonly burnRate: number;
	/** Burn rate of each step, the oldest first. Steps without judged requests burn nothing. */
	readonly series: ReadonlyArray<{
		readonly time: number;
		readonly burnRate: number;
	}>;
};

/** Judges an answer. What callers broke off or asked for wrongly says nothing of the service. */
export function judgeResponse(
	{outcome, milliseconds, largestGapMilliseconds}: LoggedResponse,
	{
		maximumMilliseconds: lateMilliseconds,
		maximumGapMilliseconds: pauseMilliseconds,
	}: ResponseObjectives,
): Judgement {
	if (outcome === 'caller left') {
		return 'excluded';
	}

	if (outcome === 'complete') {
		return largestGapMilliseconds <= pauseMilliseconds ? 'good' : 'bad';
	}

	const status = Number(/^status (\d{3})$/.exec(outcome)?.[1]);
	if (status >= 400 && status < 500) {
		return 'excluded';
	}

	return status < 400 && milliseconds <= lateMilliseconds ? 'good' : 'bad';
}

type Counter = Record<Judgement, number>;

/** Sums the answers in the logs of all hosts by route and by step of time. */
export class ResponseBurnTracker {
	private readonly countersByRoute = new Map<RouteName, Map<number, Counter>>();
	private firstStep = Number.POSITIVE_INFINITY;
	private lastStep = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly objectives: ResponseObjectives,
		private readonly stepMilliseconds: number,
	) {}

	/** Takes in one answer. Logs of several hosts may come in any order. */
	add(response: LoggedResponse): void {
		const step = Math.floor(response.time / this.stepMilliseconds);
		this.firstStep = Math.min(this.firstStep, step);
		this.lastStep = Math.max(this.lastStep, step);
		const steps =
			this.countersByRoute.get(response.route) ?? new Map<number, Counter>();
		this.countersByRoute.set(response.route, steps);
		const counter = steps.get(step) ?? {good: 0, bad: 0, excluded: 0};
		steps.set(step, counter);
		counter[judgeResponse(response, this.objectives)]++;
	}

	/** The routes, the one that burns most first. */
	report(): RouteBurn[] {
		const {attainment} = this.objectives;
		return [...this.countersByRoute]
			.map(([route, steps]) => {
				const counts: Counter = {good: 0, bad: 0, excluded: 0};
				for (const counter of steps.values()) {
					counts.good += counter.good;
					counts.bad += counter.bad;
					counts.excluded += counter.excluded;
				}

				const series = [];
				for (let step = this.firstStep; step <= this.lastStep; step++) {
					const counter = steps.get(step);
					series.push({
						time: step * this.stepMilliseconds,
						burnRate: counter ? burnRate(counter, attainment) : 0,
					});
				}

				return {route, counts, burnRate: burnRate(counts, attainment), series};
			})
			.sort((left, right) => right.burnRate - left.burnRate);
	}
}

const barCharacters = ' ▁▂▃▄▅▆▇█';

/** The report as a text table with a bar for each step, full at the highest burn rate of all routes. */
export function formatResponseBurn(report: readonly RouteBurn[]): string {
	const highest = Math.max(
		1,
		...report.flatMap(({series}) => series.map((step) => step.burnRate)),
	);
	return formatTable([
		['route', 'good', 'bad', 'excluded', 'burn', 'highest', 'over time'],
		...report.map(({route, counts, burnRate: rate, series}) => [
			route,
			String(counts.good),
			String(counts.bad),
			String(counts.excluded),
			rate.toFixed(2),
			Math.max(0, ...series.map((step) => step.burnRate)).toFixed(2),
			`|${series
				.map(
					(step) =>
						barCharacters[
							Math.ceil((step.burnRate / highest) * (barCharacters.length - 1))
						],
				)
				.join('')}|`,
		]),
	]);
}
