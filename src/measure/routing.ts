import {SeededRandomSource} from '../base/common/random-source.js';
import {
	LeastOutstandingPolicy,
	RoundRobinPolicy,
	TwoChoicesPolicy,
} from '../core/routing/routing-policy.js';
import {formatTable, quantiles} from './result-table.js';
import {
	capacity,
	runFleet,
	type FleetShape,
	type Strategy,
} from './serving-model.js';
import {type Slowdown} from './target-model.js';
import {arrivals, question} from './workload.js';

// Compares the latencies of routing strategies with temporarily slow targets and with varying load. Prints Markdown
// tables; the optional argument is the seed.

const seed = Number(process.argv[2] ?? 1);
const until = 120_000;
const slowFactor = 5;
const base: Omit<FleetShape, 'slowdowns'> = {
	hosts: 8,
	targets: 6,
	slots: 8,
	until: until + 60_000,
	seed,
	reportIntervalMilliseconds: 250,
	reportDelayMilliseconds: [250, 1000],
};

const strategies: Strategy[] = [
	{name: 'round robin', routing: (random) => new RoundRobinPolicy({random})},
	{
		name: 'least outstanding',
		routing: (random) => new LeastOutstandingPolicy({random}),
	},
	{
		name: 'two random choices',
		routing: (random) => new TwoChoicesPolicy({random}),
	},
	{name: 'ours, no hedging', dispatcher: () => ({hedging: false})},
	{name: 'ours', dispatcher: () => ({})},
];

/**
 * Draws slowdowns of three to eight seconds with pauses of two to six seconds for the first targets. Both are so
 * short that a slowdown is detected late.
 */
function slowdowns(count: number): Map<number, Slowdown[]> {
	const random = new SeededRandomSource(seed + 100);
	const result = new Map<number, Slowdown[]>();
	for (let index = 0; index < count; index++) {
		const episodes: Slowdown[] = [];
		let time = 2000 + random.next() * 4000;
		while (time < until) {
			const to = time + 3000 + random.next() * 5000;
			episodes.push({from: time, to, factor: slowFactor});
			time = to + 2000 + random.next() * 4000;
		}

		result.set(index, episodes);
	}

	return result;
}

const sampleRandom = new SeededRandomSource(seed + 2);
const fullRate = capacity(
	base,
	Array.from({length: 20_000}, () => question(sampleRandom, 0, 1)),
);

type Scenario = {
	readonly name: string;
	readonly slow: number;
	readonly rateAt: (time: number) => number;
	readonly peak: number;
	readonly isCounted: (arrival: number) => boolean;
};

const swingPeriod = 30_000;
const swing = (time: number) =>
	0.095 + 0.855 * (0.5 - 0.5 * Math.cos((2 * Math.PI * time) / swingPeriod));
const scenarios: Scenario[] = [0, 1, 2].map((slow) => ({
	name: `${slow} of 6 targets slowed ${slowFactor} times now and then, load 0.6`,
	slow,
	rateAt: () => 0.6,
	peak: 0.6,
	isCounted: () => true,
}));
scenarios.push({
	name: 'crest of a tenfold swing (load 0.095 to 0.95 in 15 s), requests arriving above load 0.85',
	slow: 0,
	rateAt: swing,
	peak: 0.95,
	isCounted: (arrival) => swing(arrival) > 0.85,
});

console.log(
	`Seed ${seed}, ${base.hosts} hosts, ${base.targets} targets of ${base.slots} slots, ${(fullRate * 1000).toFixed(0)} requests/s at load 1, ${until / 1000} s.`,
);
for (const scenario of scenarios) {
	const random = new SeededRandomSource(seed);
	const workload = arrivals(
		random,
		until,
		(time) => scenario.rateAt(time) * fullRate,
		scenario.peak * fullRate,
	).map((arrival) => question(random, arrival, base.hosts));
	const shape = {...base, slowdowns: slowdowns(scenario.slow)};
	const rows = strategies.map((strategy) => {
		const result = runFleet(shape, workload, strategy);
		const completed = result.outcomes.filter(
			({outcome}) => outcome === 'completed',
		);
		const counted = completed.filter(({request}) =>
			scenario.isCounted(request.arrival),
		);
		return [
			strategy.name,
			...quantiles(counted, [0.5, 0.99, 0.999]),
			`${result.outcomes.length - completed.length}`,
			`${((100 * result.hedges) / workload.length).toFixed(1)}%`,
		];
	});
	console.log(`\n${scenario.name}, ${workload.length} requests:\n`);
	console.log(
		formatTable(
			['strategy', 'p50 ms', 'p99 ms', 'p99.9 ms', 'refused', 'hedged'],
			rows,
		),
	);
}
