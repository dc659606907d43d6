// Runs two builds side by side by hand, for a table of all disturbances:
// node build/test/upgrade/run-two-builds.js --seed 1 --seeds 2
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {Command, Option} from 'commander';
import {buildProgramOf} from './production-build.js';
import {productionCommit} from './production.js';
import {disturbances, TwoBuilds, type Disturbance} from './two-builds.js';

const command = new Command()
	.option('--seed <number>', 'first seed', Number, 1)
	.option('--seeds <number>', 'number of seeds, one after the other', Number, 1)
	.option('--hosts <number>', 'hosts', Number, 4)
	.option('--callers <number>', 'callers', Number, 24)
	.option(
		'--settle <milliseconds>',
		'time after each replacement',
		Number,
		2000,
	)
	.option('--earlier <file>', 'program of the earlier build')
	.option('--later <file>', 'program of the later build')
	.option('--logs <folder>', 'folder for the logs of the hosts')
	.option('--reports <number>', 'violations to print for each run', Number, 5)
	.addOption(
		new Option('--manner <manner>', 'only this one').choices([
			'rolling',
			'complete',
		]),
	)
	.addOption(
		new Option('--disturbance <kind>', 'only this one').choices(disturbances),
	)
	.parse();
const options = command.opts<{
	seed: number;
	seeds: number;
	hosts: number;
	callers: number;
	settle: number;
	earlier?: string;
	later?: string;
	logs?: string;
	reports: number;
	manner?: 'rolling' | 'complete';
	disturbance?: Disturbance;
}>();

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(1);
	});
}

const earlier = options.earlier ?? buildProgramOf(productionCommit());
const {manner: onlyManner, disturbance: onlyDisturbance} = options;
const manners = onlyManner ? [onlyManner] : (['rolling', 'complete'] as const);
const kinds = onlyDisturbance ? [onlyDisturbance] : disturbances;
const runs = Array.from(
	{length: options.seeds},
	(_, index) => options.seed + index,
).flatMap((seed) =>
	manners.flatMap((manner) =>
		kinds.map((disturbance) => ({seed, manner, disturbance})),
	),
);
for (const run of runs) {
	const {violations, earlierOnly, logs, reports, ...figures} =
		await new TwoBuilds({
			...run,
			hosts: options.hosts,
			callers: options.callers,
			earlier,
			later: options.later,
			settleMilliseconds: options.settle,
		}).run();
	console.log(
		JSON.stringify({
			...run,
			violations: violations.map(({check}) => check),
			earlierOnly: earlierOnly.map(({check}) => check),
			outcomes: figures.outcomes,
			claims: figures.claims.join(' '),
			replacementMilliseconds: figures.replacementMilliseconds,
			streamRecords: figures.streamRecords,
			handedOver: figures.handedOver,
			unexpectedErrors: figures.unexpectedErrors.length,
		}),
	);
	if (reports.length > 0) {
		console.log(reports.slice(0, options.reports).join('\n'));
		process.exitCode = 1;
	}

	if (options.logs !== undefined) {
		await mkdir(options.logs, {recursive: true});
		for (const [name, lines] of logs) {
			const file = `${Object.values(run).join('-')}-${name}.log`;
			await writeFile(path.join(options.logs, file), lines.join('\n'));
		}
	}
}
