import process from 'node:process';
import {SeededRandomSource} from '../base/common/random-source.js';
import {formatTable, quantiles} from './result-table.js';
import {runFleet, type Outcome, type RunResult} from './serving-model.js';
import {
	deployments,
	drawSlowdowns,
	drawWorkload,
	placeModels,
	type Deployment,
} from './work-scenario.js';
import {workStrategies} from './work-strategies.js';

// Compares routing and queueing by the number of requests, by hints alone, by learned work, and by an oracle that knows
// the lengths of requests and the state of the targets, on the engine pools of section 1.1 of docs/design/hard-load.md.
// Prints Markdown tables; the optional arguments are the seed, the simulated seconds,
// and one deployment and scenario such as A2.

const seed = Number(process.argv[2] ?? 1);
const until = Number(process.argv[3] ?? 40) * 1000;
/** Requests that arrive before are not counted, because the estimates are being learned. */
const warmUpMilliseconds = Math.min(10_000, until / 4);
const latePauseMilliseconds = 200;
const burstPeriodMilliseconds = 12_000;
const burstMilliseconds = 2500;

type Scenario = {
	readonly name: string;
	readonly peak: number;
	readonly rateFactor: (time: number) => number;
	/** Delay of the reports in milliseconds. */
	readonly delays: readonly [number, number];
	readonly lostShare: number;
};

const burst = (factor: number) => (time: number) =>
	time % burstPeriodMilliseconds > burstPeriodMilliseconds - burstMilliseconds
		? factor
		: 1;
const scenarios: readonly Scenario[] = [
	{
		name: 'usual rates, reports in time',
		peak: 1,
		rateFactor: () => 1,
		delays: [1, 5],
		lostShare: 0,
	},
	{
		name: 'usual rates, reports 50 to 500 ms late, a third lost',
		peak: 1,
		rateFactor: () => 1,
		delays: [50, 500],
		lostShare: 1 / 3,
	},
	{
		name: `bursts of 1.6 times for ${burstMilliseconds / 1000} s, reports 50 to 500 ms late, a third lost`,
		peak: 1.6,
		rateFactor: burst(1.6),
		delays: [50, 500],
		lostShare: 1 / 3,
	},
];

const only = process.argv[4];
for (const deployment of deployments) {
	for (const [index, scenario] of scenarios.entries()) {
		if (only === undefined || only === `${deployment.name}${index + 1}`) {
			measure(deployment, scenario);
		}
	}
}

function measure(deployment: Deployment, scenario: Scenario): void {
	const random = new SeededRandomSource(seed);
	const placement = placeModels(random, deployment);
	const workload = drawWorkload(
		random,
		deployment,
		until,
		scenario.rateFactor,
		scenario.peak,
	);
	const slowdowns = drawSlowdowns(random, deployment.targets, until + 30_000);
	const results = workStrategies(workload).map((strategy) => ({
		name: strategy.name,
		result: runFleet(
			{
				hosts: deployment.hosts,
				targets: deployment.targets,
				slots: deployment.slots,
				slowdowns,
				until: until + 20_000,
				seed,
				reportIntervalMilliseconds: Infinity,
				reportDelayMilliseconds: scenario.delays,
				lostResponseReports: scenario.lostShare,
				targetOptions: {hasPriorities: true, reportsEachToken: true},
				targetsOf: (model) => placement.get(model) ?? [],
			},
			workload,
			strategy,
		),
	}));
	const figures = results.map(({result}) => figuresOf(deployment, result));
	const count = figures[0]!;
	const workOracle = figures.at(-2)!;
	const oracle = figures.at(-1)!;
	const rows = results.map(({name}, index) => {
		const each = figures[index]!;
		return [
			name,
			...each.kinds.flatMap(({p50, p99, unserved}) => [
				p50,
				p99,
				percent(unserved),
			]),
			percent(each.pausedShare),
			`${each.preemptions}`,
			each.busiest.toFixed(2),
			percent(each.lateShare),
			each.meanFirst,
			gain(count.lateShare, each.lateShare, workOracle.lateShare),
			gain(count.meanFirst, each.meanFirst, workOracle.meanFirst),
			gain(count.lateShare, each.lateShare, oracle.lateShare),
			gain(count.meanFirst, each.meanFirst, oracle.meanFirst),
		];
	});
	console.log(
		`\nDeployment ${deployment.name} (${deployment.hosts} hosts, ${deployment.targets} targets of ${deployment.slots} slots), ${scenario.name}; seed ${seed}, ${until / 1000} s, ${workload.length} requests:\n`,
	);
	console.log(
		formatTable(
			[
				'strategy',
				...deployment.kinds.flatMap(({name}) => [
					`${name} p50 ms`,
					'p99 ms',
					'not served',
				]),
				'pause > 200 ms',
				'preempted',
				'busiest / mean',
				'late',
				'mean first ms',
				'of gain of work oracle: late',
				'mean first',
				'of oracle with slowdowns: late',
				'mean first',
			],
			rows,
		),
	);
}

function figuresOf(
	{kinds}: Deployment,
	{outcomes, used, preemptions}: RunResult,
) {
	const counted = outcomes.filter(
		({request}) => request.arrival >= warmUpMilliseconds,
	);
	const served = counted.filter(
		({firstMilliseconds}) => firstMilliseconds !== undefined,
	);
	const paused = served.filter(
		({pauseMilliseconds = 0}) => pauseMilliseconds > latePauseMilliseconds,
	);
	const mean = used.reduce((sum, each) => sum + each, 0) / used.length;
	return {
		kinds: kinds.map(({name}) => {
			const ofKind = counted.filter(({request}) => request.label === name);
			const started = ofKind.filter(
				({firstMilliseconds}) => firstMilliseconds !== undefined,
			);
			const [p50, p99] = quantiles(
				started.map((each) => ({...each, latency: each.firstMilliseconds!})),
				[0.5, 0.99],
			);
			return {
				p50: p50!,
				p99: p99!,
				unserved: 1 - started.length / ofKind.length,
			};
		}),
		pausedShare: paused.length / served.length,
		preemptions,
		busiest: Math.max(...used) / mean,
		lateShare: counted.filter((each) => isLate(each)).length / counted.length,
		meanFirst:
			served.reduce((sum, each) => sum + each.firstMilliseconds!, 0) /
			served.length,
	};
}

/** True for a request that is not served, starts after its objective or pauses for too long. */
function isLate({
	request,
	firstMilliseconds,
	pauseMilliseconds = 0,
}: Outcome): boolean {
	return (
		firstMilliseconds === undefined ||
		firstMilliseconds > request.stream!.objectiveMilliseconds ||
		pauseMilliseconds > latePauseMilliseconds
	);
}

/** Share of the improvement by the oracle over the count. */
function gain(count: number, value: number, oracle: number): string {
	return count === oracle
		? '–'
		: ((count - value) / (count - oracle)).toFixed(2);
}

function percent(share: number): string {
	return `${(100 * share).toFixed(2)}%`;
}
