import {type Urgency} from '../core/fairness/dispatch-queue.js';
import {formatTable} from './result-table.js';
import {
	runSharedFleet,
	type SharedFleetOptions,
	type SharedFleetResult,
} from './shared-fleet.js';

// Measures the shares of customers and the queue of the fleet in virtual time, in fleets with the proportions of
// deployment B. Prints Markdown tables; the optional arguments are the seed and the numbers of hosts.

const seed = Number(process.argv[2] ?? 1);
const sizes =
	process.argv.length > 3 ? process.argv.slice(3).map(Number) : [8, 24, 67];
const everyone = Array.from({length: 16}, (_, index) => index);

function ratio(part: number, whole: number): string {
	return (part / Math.max(1, whole)).toFixed(2);
}

function shareRow(
	name: string,
	options: SharedFleetOptions,
	usual: SharedFleetResult,
): string[] {
	const run = runSharedFleet(options);
	const share = ({served, arrived}: SharedFleetResult, index: number) =>
		served[index]! / Math.max(1, arrived[index]!);
	const relative = (indexes: readonly number[]) =>
		Math.min(
			...indexes
				.filter((index) => !options.bursting.includes(index))
				.map((index) => share(run, index) / share(usual, index)),
		).toFixed(2);
	const total = (values: readonly number[]) =>
		values.reduce((sum, value) => sum + value, 0);
	return [
		name,
		relative(everyone.filter((index) => index % 4 !== 3)),
		relative(everyone.filter((index) => index % 4 === 3)),
		Math.min(...options.bursting.map((index) => share(run, index))).toFixed(2),
		ratio(total(run.served), total(run.arrived)),
		run.utilization.toFixed(2),
	];
}

console.log(
	`Seed ${seed}. Served requests in the burst, relative to the run without one, of the customer that is served least.`,
);
for (const hosts of sizes) {
	const usual = runSharedFleet({hosts, seed, bursting: []});
	const rows = [[0], [0, 1, 2]].flatMap((bursting) =>
		(
			[
				['own work only', {isReporting: false}],
				['work of the fleet', {}],
				['10% lost, 600 ms late', {lostReports: 0.1, reportDelay: 600}],
				['owner stalls in the burst', {ownerStall: [4000, 6500]}],
			] as const
		).map(([name, changes]) =>
			shareRow(
				`${hosts} hosts, ${bursting.length} burst, ${name}`,
				{hosts, seed, bursting, ...changes},
				usual,
			),
		),
	);
	console.log(
		`\n${formatTable(['run', 'on all hosts', 'on one host', 'bursting', 'all', 'slots used'], rows)}`,
	);
}

/** Served share, by host, of the requests of a run. */
function hostShares({outcomes}: SharedFleetResult): number[] {
	const hosts = new Map<number, {served: number; arrived: number}>();
	for (const {request, outcome} of outcomes) {
		const counts = hosts.get(request.host) ?? {served: 0, arrived: 0};
		counts.arrived++;
		counts.served += outcome === 'completed' ? 1 : 0;
		hosts.set(request.host, counts);
	}

	return [...hosts.values()].map(({served, arrived}) => served / arrived);
}

function queueRow(name: string, options: SharedFleetOptions): string[] {
	const run = runSharedFleet(options);
	const served = run.outcomes.filter(({outcome}) => outcome === 'completed');
	const droppedLater = run.outcomes.filter(
		({outcome, latency}) => outcome === 'refused' && latency > 50,
	);
	const ofUrgency = (urgency: Urgency) =>
		ratio(
			served.filter(({request}) => request.urgency === urgency).length,
			run.outcomes.filter(({request}) => request.urgency === urgency).length,
		);
	const shares = hostShares(run);
	return [
		name,
		`${served.length}`,
		ratio(droppedLater.length, droppedLater.length + served.length),
		(['urgent', 'standard', 'deferred'] as const).map(ofUrgency).join(' / '),
		(Math.min(...shares) / Math.max(...shares)).toFixed(2),
	];
}

for (const hosts of sizes.filter((size) => size > 8)) {
	const rows = [1.4, 2, 3.5].flatMap((factor) => {
		const base = {hosts, seed, bursting: everyone, factor, isMixed: true};
		const targets = Math.round(hosts * 0.63);
		return [
			queueRow(`${hosts} hosts × ${factor}, own queues`, {
				...base,
				isReporting: false,
			}),
			queueRow(`${hosts} hosts × ${factor}, queue of the fleet`, {
				...base,
				admitsByFleetQueue: true,
			}),
			queueRow(`one host × ${factor}, own queue`, {...base, hosts: 1, targets}),
			queueRow(`one host × ${factor}, queue of the fleet`, {
				...base,
				hosts: 1,
				targets,
				admitsByFleetQueue: true,
			}),
		];
	});
	console.log(
		`\n${formatTable(['run', 'served', 'accepted and not served', 'served urgent / standard / deferred', 'lowest to highest host'], rows)}`,
	);
}
