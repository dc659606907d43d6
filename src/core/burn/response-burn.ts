import {type RouteName} from '../../contracts/ids.js';
import {burnRate, type Judgement, type JudgementCounts} from './burn-rate.js';
import {formatTable} from './text-table.js';

/** A response of a forwarding host as its log records it. */
export type LoggedResponse = {
	readonly route: RouteName;
	/** Wall-clock time in milliseconds at which the response ended. */
	readonly time: number;
	/** `complete`, `caller left`, `status NNN` or a text that describes a failure. */
	readonly outcome: string;
	/** Duration of the response. */
	readonly milliseconds: number;
	/** Longest time between two events of a stream. */
	readonly largestGapMilliseconds: number;
};

/** Objectives that decide whether a response is good. */
export type ResponseObjectives = {
	/** Share of the requests that must be good, between 0 and 1 exclusive. */
	readonly attainment: number;
	/** Maximum duration of a response that is not a stream. */
	readonly maximumMilliseconds: number;
	/** Maximum time between two events of a stream. */
	readonly maximumGapMilliseconds: number;
};

/** Error budget burn of one route. */
export type RouteBurn = {
	readonly route: RouteName;
	readonly counts: JudgementCounts;
	readonly burnRate: number;
	/** Burn rate of each time step, oldest first. It is 0 for steps without good or bad requests. */
	readonly series: ReadonlyArray<{
		readonly time: number;
		readonly burnRate: number;
	}>;
};

/** Classifies a response. Requests that the caller cancelled or that failed with a 4xx status are excluded. */
export function judgeResponse(
	{outcome, milliseconds, largestGapMilliseconds}: LoggedResponse,
	{maximumMilliseconds, maximumGapMilliseconds}: ResponseObjectives,
): Judgement {
	if (outcome === 'caller left') {
		return 'excluded';
	}

	if (outcome === 'complete') {
		return largestGapMilliseconds <= maximumGapMilliseconds ? 'good' : 'bad';
	}

	const status = Number(/^status (\d{3})$/.exec(outcome)?.[1]);
	if (status >= 400 && status < 500) {
		return 'excluded';
	}

	return status < 400 && milliseconds <= maximumMilliseconds ? 'good' : 'bad';
}

type Counter = Record<Judgement, number>;

/** Counts the responses in the logs of all hosts by route and time step. */
export class ResponseBurnTracker {
	private readonly countersByRoute = new Map<RouteName, Map<number, Counter>>();
	private firstStep = Number.POSITIVE_INFINITY;
	private lastStep = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly objectives: ResponseObjectives,
		private readonly stepMilliseconds: number,
	) {}

	/** Counts a response. Responses may be added in any order. */
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

	/** Returns the burn of each route, highest burn rate first. */
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

/** Formats the report as a text table with one bar for each time step. A full bar is the highest burn rate of all routes. */
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
