import {SeededRandomSource} from '../base/common/random-source.js';
import {type CallerId} from '../contracts/ids.js';
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
import {arrivals, question} from './workload.js';

// Compares the goodput of strategies at loads up to five times the capacity, with one caller sending half of the
// requests. Prints Markdown tables; the optional argument is the seed.

const seed = Number(process.argv[2] ?? 1);
const until = 40_000;
const deadlineMilliseconds = 2000;
const base: FleetShape = {
	hosts: 8,
	targets: 6,
	slots: 8,
	slowdowns: new Map(),
	until: until + 30_000,
	seed,
	reportIntervalMilliseconds: 250,
	reportDelayMilliseconds: [250, 1000],
};
const strategies: Strategy[] = [
	{
		name: 'no admission, round robin',
		routing: (random) => new RoundRobinPolicy({random}),
	},
	{
		name: 'no admission, least outstanding',
		routing: (random) => new LeastOutstandingPolicy({random}),
	},
	{
		name: 'no admission, two random choices',
		routing: (random) => new TwoChoicesPolicy({random}),
	},
	{name: 'ours', dispatcher: () => ({})},
];

const sampleRandom = new SeededRandomSource(seed + 2);
const fullRate = capacity(
	base,
	Array.from({length: 20_000}, () => question(sampleRandom, 0, 1)),
);
console.log(
	`Seed ${seed}, ${base.hosts} hosts, ${base.targets} targets of ${base.slots} slots, ${(fullRate * 1000).toFixed(0)} requests/s at capacity, ${until / 1000} s, deadline ${deadlineMilliseconds / 1000} s. One caller sends half of the requests, 20 share the rest. Goodput counts responses before the deadline per second of arrivals.`,
);
const peaks = new Map<string, number>();
for (const load of [0.8, 0.9, 1, 1.2, 2, 5]) {
	const random = new SeededRandomSource(seed);
	const workload = arrivals(
		random,
		until,
		() => load * fullRate,
		load * fullRate,
	).map((arrival) => {
		const request = {
			...question(random, arrival, base.hosts),
			deadlineMilliseconds,
		};
		return random.next() < 0.5
			? {...request, caller: 'greedy' as CallerId}
			: request;
	});
	const rows = strategies.map((strategy) => {
		const {outcomes} = runFleet(base, workload, strategy);
		const good = outcomes.filter(
			({outcome, latency}) =>
				outcome === 'completed' && latency <= deadlineMilliseconds,
		);
		const refused = outcomes.filter(({outcome}) => outcome === 'refused');
		const goodput = good.length / (until / 1000);
		peaks.set(strategy.name, Math.max(peaks.get(strategy.name) ?? 0, goodput));
		const greedy = good.filter(({request}) => request.caller === 'greedy');
		return [
			strategy.name,
			goodput,
			`${((100 * goodput) / peaks.get(strategy.name)!).toFixed(1)}%`,
			quantiles(good, [0.99])[0]!,
			`${refused.length}`,
			refused.length === 0 ? '' : quantiles(refused, [0.99])[0]!,
			`${((100 * greedy.length) / Math.max(1, good.length)).toFixed(0)}%`,
		];
	});
	console.log(`\nLoad ${load}, ${workload.length} requests:\n`);
	console.log(
		formatTable(
			[
				'strategy',
				'goodput 1/s',
				'of its peak so far',
				'p99 ms of these',
				'refused',
				'p99 ms to refusal',
				"greedy caller's part",
			],
			rows,
		),
	);
}
