import {loadavg} from 'node:os';
import process from 'node:process';
import {Command} from 'commander';
import {ManualClock} from '../base/common/clock.js';
import {NullEventLogger} from '../base/common/event-logger.js';
import {SeededRandomSource} from '../base/common/random-source.js';
import {
	type CallerId,
	type Fingerprint,
	type HostId,
	type ModelId,
	type OfferingName,
	type RequestId,
	type TargetId,
} from '../contracts/ids.js';
import {
	DispatchPort,
	CandidateDirectory,
	type Binding,
} from '../services/dispatch/dispatch-contracts.js';
import {Dispatcher} from '../services/dispatch/dispatcher.js';
import {formatTable} from './result-table.js';

// Measures the time of the dispatcher per request in pools of several sizes: submission, choice of a
// target, one token and completion, on a manual clock and without sockets.

const seed = 1;
const slots = 8;
const callers = 50;
const rounds = 3;
const warmUpRequests = 1000;

class RecordingPort extends DispatchPort {
	readonly bindings: Binding[] = [];
	refused = 0;

	dispatch(binding: Binding): void {
		this.bindings.push(binding);
	}

	refuse(): void {
		this.refused += 1;
	}

	fail(): void {
		this.refused += 1;
	}

	demote(): void {
		// Not needed: the measurement executes no work.
	}

	cancel(): void {
		// Not needed: the measurement executes no work.
	}
}

class FixedDirectory extends CandidateDirectory {
	constructor(private readonly targets: readonly TargetId[]) {
		super();
	}

	targetsFor(): readonly TargetId[] {
		return this.targets;
	}
}

type DispatchMeasurement = {
	readonly microseconds: number;
	readonly dispatched: number;
	/** Largest number of requests on one target, over the mean. */
	readonly imbalance: number;
	readonly refused: number;
};

function measure(
	size: number,
	load: number,
	requests: number,
): DispatchMeasurement {
	const clock = new ManualClock();
	const port = new RecordingPort();
	const targets = Array.from(
		{length: size},
		(_, index) => `target-${index}` as TargetId,
	);
	const dispatcher = new Dispatcher({
		clock,
		random: new SeededRandomSource(seed),
		host: 'entry-1' as HostId,
		port,
		directory: new FixedDirectory(targets),
		logger: new NullEventLogger(),
		hedging: false,
	});
	for (const target of targets) {
		dispatcher.handle({kind: 'target-set', target, slots});
	}

	const inFlight = Math.floor(size * slots * load);
	const counts = new Map<TargetId, number>();
	let ended = 0;
	let submitted = 0;
	const submit = () => {
		submitted += 1;
		dispatcher.handle({
			kind: 'submitted',
			item: {
				request: `request-${submitted}` as RequestId,
				caller: `caller-${submitted % callers}` as CallerId,
				urgency: 'standard',
				offering: 'row-question' as OfferingName,
				model: 'model' as ModelId,
				promptCharacters: 100,
				maximumTokens: 20,
				prefixes: [`prefix-${submitted % 500}`],
				remainingMilliseconds: 60_000,
				idempotent: true,
				fingerprint: `fingerprint-${submitted}` as Fingerprint,
				suspect: false,
			},
		});
	};

	const step = () => {
		clock.advance(0.1);
		submit();
		const binding = port.bindings[ended];
		if (!binding || submitted - ended <= inFlight) {
			return;
		}

		ended += 1;
		counts.set(binding.target, (counts.get(binding.target) ?? 0) + 1);
		const {request, attempt, target} = binding;
		dispatcher.handle({
			kind: 'progressed',
			request,
			attempt,
			target,
			tokens: 1,
		});
		dispatcher.handle({kind: 'completed', request, attempt, target, tokens: 8});
	};

	for (let index = 0; index < inFlight + warmUpRequests; index += 1) {
		step();
	}

	counts.clear();
	const before = port.bindings.length;
	const started = performance.now();
	for (let index = 0; index < requests; index += 1) {
		step();
	}

	const elapsed = performance.now() - started;
	const dispatched = port.bindings.length - before;
	const mean = [...counts.values()].reduce((sum, each) => sum + each, 0) / size;
	dispatcher.dispose();
	return {
		microseconds: (elapsed * 1000) / Math.max(1, dispatched),
		dispatched,
		imbalance: Math.max(...counts.values()) / mean,
		refused: port.refused,
	};
}

const {sizes, requests, loads} = new Command('measure-dispatch')
	.description('Measures the time that the dispatcher takes per request.')
	.option('--sizes <targets...>', 'numbers of targets in the pool', [
		'6',
		'100',
		'1000',
	])
	.option('--loads <numbers...>', 'requests in flight per slot', ['0.5', '1.5'])
	.option('--requests <number>', 'number of measured requests', '4000')
	.parse()
	.opts<{sizes: string[]; loads: string[]; requests: string}>();

const rows: Array<Array<string | number>> = [];
for (const load of loads) {
	for (const size of sizes) {
		const figures = Array.from({length: rounds}, () =>
			measure(Number(size), Number(load), Number(requests)),
		);
		rows.push([
			size,
			load,
			figures.map(({microseconds}) => microseconds.toFixed(1)).join(', '),
			figures[0]!.dispatched,
			figures[0]!.imbalance.toFixed(2),
			figures[0]!.refused,
		]);
	}
}

process.stdout.write(
	`Seed ${seed}, ${slots} slots a target, machine load ${loadavg()[0]!.toFixed(1)}.\n\n${formatTable(
		[
			'targets',
			'requests in flight per slot',
			'us a dispatch, three runs',
			'dispatches',
			'largest over mean',
			'refused',
		],
		rows,
	)}\n`,
);
