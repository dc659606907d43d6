import {
	type RandomSource,
	SeededRandomSource,
} from '../base/common/random-source.js';
import {
	LeastOutstandingPolicy,
	TwoChoicesPolicy,
} from '../core/routing/routing-policy.js';
import {formatTable, quantiles} from './result-table.js';
import {
	capacity,
	runFleet,
	type FleetShape,
	type Strategy,
} from './serving-model.js';
import {arrivals, question, summary, type WorkloadRequest} from './workload.js';

// Compares how much long summaries delay short questions under several strategies. Prints Markdown tables; the
// optional argument is the seed.

const seed = Number(process.argv[2] ?? 1);
const until = 120_000;
const warmUp = 20_000;
const questionLoad = 0.4;
const base: FleetShape = {
	hosts: 8,
	targets: 6,
	slots: 8,
	slowdowns: new Map(),
	until,
	seed,
	reportIntervalMilliseconds: 250,
	reportDelayMilliseconds: [250, 1000],
};

type MakeRequest = (
	random: RandomSource,
	arrival: number,
	hosts: number,
) => WorkloadRequest;

/** Draws a question; one in 500 has a long response that nothing in the request indicates. */
const questionWithRareLongResponse: MakeRequest = (random, arrival, hosts) => {
	const request = question(random, arrival, hosts);
	return random.next() < 0.002
		? {...request, tokens: 400, label: 'surprise'}
		: request;
};

function createWorkload(
	load: number,
	make: MakeRequest,
	streamSeed: number,
): WorkloadRequest[] {
	const sampleRandom = new SeededRandomSource(seed + 2);
	const rate =
		load *
		capacity(
			base,
			Array.from({length: 20_000}, () => make(sampleRandom, 0, 1)),
		);
	if (rate === 0) {
		return [];
	}

	const random = new SeededRandomSource(streamSeed);
	return arrivals(random, until, () => rate, rate).map((arrival) =>
		make(random, arrival, base.hosts),
	);
}

const strategies: Strategy[] = [
	{
		name: 'first come, first served, two random choices',
		routing: (random) => new TwoChoicesPolicy({random}),
	},
	{
		name: 'first come, first served, least outstanding',
		routing: (random) => new LeastOutstandingPolicy({random}),
	},
	{name: 'ours', dispatcher: () => ({})},
];

console.log(
	`Seed ${seed}, ${base.hosts} hosts, ${base.targets} targets of ${base.slots} slots, ${until / 1000} s of which the first ${warmUp / 1000} s are not counted, question load ${questionLoad}.`,
);
const questions = createWorkload(
	questionLoad,
	questionWithRareLongResponse,
	seed,
);
const references = new Map<string, number>();
for (const summaryLoad of [0, 0.2, 0.4, 1]) {
	const workload = [
		...questions,
		...createWorkload(summaryLoad, summary, seed + 10),
	].sort((left, right) => left.arrival - right.arrival);
	const rows = strategies.map((strategy) => {
		const result = runFleet(base, workload, strategy);
		const counted = result.outcomes.filter(
			({request, outcome}) =>
				request.arrival >= warmUp && outcome === 'completed',
		);
		const of = (label: string) =>
			counted.filter(({request}) => request.label === label);
		const [median, tail] = quantiles(of('question'), [0.5, 0.99]);
		const reference = references.get(strategy.name) ?? tail!;
		references.set(strategy.name, reference);
		const [summaryMedian] = quantiles(of('summary'), [0.5]);
		const used = result.used.reduce((sum, each) => sum + each, 0);
		const completedShare = (label: string) => {
			const asked = workload.filter(
				(request) => request.arrival >= warmUp && request.label === label,
			).length;
			return `${((100 * of(label).length) / asked).toFixed(1)}%`;
		};

		return [
			strategy.name,
			median!,
			tail!,
			(tail! / reference).toFixed(2),
			completedShare('question'),
			summaryLoad === 0 ? '' : completedShare('summary'),
			summaryLoad === 0 ? '' : (summaryMedian! / 1000).toFixed(1),
			`${((100 * used) / (until * base.targets * base.slots)).toFixed(1)}%`,
		];
	});
	console.log(`\nSummary load ${summaryLoad}, ${workload.length} requests:\n`);
	console.log(
		formatTable(
			[
				'strategy',
				'question p50 ms',
				'question p99 ms',
				'times p99 without summaries',
				'questions completed',
				'summaries completed',
				'summary p50 s',
				'slot time used',
			],
			rows,
		),
	);
}
