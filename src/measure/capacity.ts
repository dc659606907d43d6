import process from 'node:process';
import {measureClaims, measurePlanning} from './capacity/duty-states.js';
import {
	measureBare,
	measureShape,
	totalBytes,
	type NodeUsage,
} from './capacity/fleet-run.js';
import {type FleetShape} from './capacity/fleet-shape.js';
import {
	measurePropagation,
	type PropagationResult,
} from './capacity/propagation.js';
import {fitLine, type Point} from './capacity/slope.js';
import {formatTable} from './result-table.js';

// Measures the resource usage of one node by fleet size, the propagation time of document edits, the claim index and
// placement planning. Prints Markdown tables.

const seed = 20_261_204;
// A run at the design scale uses about two cores, and an overloaded simulated fleet responds late.
const parallelFullRuns = 2;
const parallelSmallRuns = 5;
const smallFleet: FleetShape = {
	members: 8,
	targets: 10,
	models: 17,
	role: 'entry',
	extraRecords: 0,
};
const designScaleFleet: FleetShape = {
	...smallFleet,
	members: 370,
	targets: 1000,
	models: 260,
};

type Measured = {readonly shape: FleetShape; readonly use: NodeUsage};

const shapes: readonly FleetShape[] = [
	designScaleFleet,
	{...designScaleFleet, role: 'owner'},
	{...designScaleFleet, role: 'planner'},
	{...smallFleet, members: 1},
	smallFleet,
	{...smallFleet, members: 32},
	{...smallFleet, members: 96},
	{...smallFleet, members: 370},
	{...smallFleet, targets: 100},
	{...smallFleet, targets: 1000},
	{...smallFleet, targets: 100, models: 260},
	{...smallFleet, extraRecords: 25},
	{...smallFleet, extraRecords: 100},
];

async function measureAll(): Promise<Measured[]> {
	const isFull = ({targets, members}: FleetShape) =>
		targets * members >= designScaleFleet.targets * designScaleFleet.members;
	return [
		...(await measureTogether(shapes.filter(isFull), parallelFullRuns)),
		...(await measureTogether(
			shapes.filter((shape) => !isFull(shape)),
			parallelSmallRuns,
		)),
	];
}

async function measureTogether(
	group: readonly FleetShape[],
	parallelRuns: number,
): Promise<Measured[]> {
	const pendingShapes = [...group];
	const measured: Measured[] = [];
	const runPending = async () => {
		for (;;) {
			const shape = pendingShapes.shift();
			if (!shape) {
				return;
			}

			measured.push({shape, use: await measureShape(shape)});
		}
	};

	await Promise.all(Array.from({length: parallelRuns}, runPending));
	return measured.sort(
		(left, right) => shapes.indexOf(left.shape) - shapes.indexOf(right.shape),
	);
}

function nodeTable(measured: readonly Measured[], bare: NodeUsage): string {
	const kilobytes = (bytes: number) => (bytes / 1000).toFixed(2);
	const megabytes = (bytes: number) => bytes / 1_000_000;
	return formatTable(
		[
			'role',
			'members',
			'targets',
			'models',
			'extra records/s',
			'core %',
			'RSS over bare MB',
			'of it loaded code MB',
			'heap after collection MB',
			'sent KB/s',
			'received KB/s',
			'largest flows KB/s (sent/received)',
		],
		measured.map(({shape, use}) => {
			const total = totalBytes(use);
			const flows = Object.entries(use.bytes)
				.filter(([, {sent, received}]) => sent + received > 500)
				.sort(
					([, left], [, right]) =>
						right.sent + right.received - left.sent - left.received,
				)
				.map(
					([purpose, {sent, received}]) =>
						`${purpose} ${kilobytes(sent)}/${kilobytes(received)}`,
				);
			return [
				shape.role,
				String(shape.members),
				String(shape.targets),
				String(shape.models),
				String(shape.extraRecords),
				use.coreShare * 100,
				megabytes(use.rss - bare.rss),
				megabytes(use.loaded - bare.rss),
				megabytes(use.heapUsed - bare.heapUsed),
				total.sent / 1000,
				total.received / 1000,
				flows.join(', '),
			];
		}),
	);
}

function slopeTable(measured: readonly Measured[]): string {
	const rows: Array<Array<string | number>> = [];
	const add = (
		name: string,
		sizeOf: (shape: FleetShape) => number,
		isIncluded: (shape: FleetShape) => boolean,
	) => {
		const points = (valueOf: (use: NodeUsage) => number): Point[] =>
			measured
				.filter(({shape}) => isIncluded(shape))
				.map(({shape, use}) => ({size: sizeOf(shape), value: valueOf(use)}));
		const quantities = [
			['core %', (use: NodeUsage) => use.coreShare * 100],
			['heap KB', (use: NodeUsage) => use.heapUsed / 1000],
			['sent B/s', (use: NodeUsage) => totalBytes(use).sent],
			['received B/s', (use: NodeUsage) => totalBytes(use).received],
		] as const;
		for (const [quantity, valueOf] of quantities) {
			const values = points(valueOf);
			const {base, slope, deviation} = fitLine(values);
			rows.push([
				name,
				quantity,
				slope.toPrecision(3),
				base.toPrecision(3),
				`${(deviation * 100).toFixed(0)} %`,
				values.map(({size}) => size).join(', '),
			]);
		}
	};

	const isSmall = (shape: FleetShape, variedKey: keyof FleetShape) =>
		shape.role === 'entry' &&
		(Object.keys(smallFleet) as Array<keyof FleetShape>).every(
			(key) => key === variedKey || shape[key] === smallFleet[key],
		);
	add(
		'each member',
		({members}) => members,
		(shape) => isSmall(shape, 'members') && shape.members > 1,
	);
	add(
		'each target',
		({targets}) => targets,
		(shape) => isSmall(shape, 'targets'),
	);
	add(
		'each model',
		({models}) => models,
		({members, targets}) => members === 8 && targets === 100,
	);
	add(
		'each record a second',
		({extraRecords}) => extraRecords,
		(shape) => isSmall(shape, 'extraRecords'),
	);
	return formatTable(
		['slope of', 'quantity', 'slope', 'at zero', 'largest deviation', 'points'],
		rows,
	);
}

function propagationTable(results: readonly PropagationResult[]): string {
	const kinds = (counts: PropagationResult['startKinds']) =>
		[...counts]
			.map(([kind, {records, bytes}]) => `${kind} ${records} (${bytes} B)`)
			.join(', ');
	return formatTable(
		[
			'real hosts',
			'document KB',
			'edits',
			'median ms',
			'largest ms',
			'records from start',
			'records in steady state',
		],
		results.map((result) => {
			const sorted = [...result.milliseconds].sort(
				(left, right) => left - right,
			);
			return [
				String(result.hosts),
				result.documentBytes / 1000,
				String(sorted.length),
				sorted[Math.floor(sorted.length / 2)]!,
				sorted.at(-1)!,
				kinds(result.startKinds),
				`${kinds(result.steadyKinds)} in ${result.steadySeconds.toFixed(1)} s`,
			];
		}),
	);
}

const print = (text: string) => {
	process.stdout.write(`${text}\n\n`);
};

print(
	`Date ${new Date().toISOString().slice(0, 10)}, seed ${seed}, Node.js ${process.version}, ${parallelFullRuns} full-size or ${parallelSmallRuns} smaller runs at a time.`,
);
const bare = await measureBare();
print(
	`Bare Node.js process: RSS ${(bare.rss / 1_000_000).toFixed(1)} MB, heap ${(bare.heapUsed / 1_000_000).toFixed(1)} MB.`,
);
const measured = await measureAll();
print(nodeTable(measured, bare));
print(slopeTable(measured));
const medium = {...smallFleet, targets: 100, models: 260};
const propagation: PropagationResult[] = [];
for (const [hosts, shape] of [
	[8, smallFleet],
	[32, smallFleet],
	[16, medium],
] as const) {
	propagation.push(await measurePropagation(hosts, shape, {edits: 5, seed}));
}

print(propagationTable(propagation));
const claims = measureClaims(100_000);
print(
	`Claim index: ${claims.bytesPerKey.toFixed(0)} B a key, ${claims.microsecondsPerRecord.toFixed(1)} µs a record, ${claims.recordBytes.toFixed(0)} B a record.`,
);
const planning = [
	measurePlanning(10, 17),
	measurePlanning(100, 17),
	measurePlanning(100, 260),
	measurePlanning(1000, 260),
];
print(
	formatTable(
		[
			'targets',
			'models',
			'loads from empty',
			'first pass ms',
			'steady pass ms',
			'loads after tenfold move',
			'unloads',
			'pass ms',
		],
		planning.map((cost) => [
			String(cost.targets),
			String(cost.models),
			String(cost.initialLoads),
			cost.initialPassMilliseconds,
			cost.steadyPassMilliseconds,
			String(cost.movedLoads),
			String(cost.movedUnloads),
			cost.movedPassMilliseconds,
		]),
	),
);
