import {type Command} from 'commander';
import {err} from 'neverthrow';
import {z} from 'zod';
import {forwardingEvents} from '../contracts/events/forwarding-events.js';
import {type RouteName} from '../contracts/ids.js';
import {
	ResponseBurnTracker,
	formatResponseBurn,
} from '../core/burn/response-burn.js';
import {writeResult, type CommandResult} from './command-context.js';
import {CommandFailure} from './command-failure.js';
import {readLogLines} from './log-lines.js';

const responseEventSchema = z.object({
	event: z.literal(forwardingEvents.requestAnswered.number),
	timestamp: z.iso.datetime(),
	fields: z.object({
		route: z.string(),
		outcome: z.string(),
		milliseconds: z.number(),
		largestGapMilliseconds: z.number(),
	}),
});

type LogBurnOptions = {
	readonly attainment: string;
	readonly late: string;
	readonly pause: string;
	readonly step: string;
	readonly json?: boolean;
};

async function report(
	files: readonly string[],
	options: LogBurnOptions,
): Promise<CommandResult> {
	const attainment = Number(options.attainment);
	const numbers = [options.late, options.pause, options.step].map(Number);
	if (
		!(attainment > 0 && attainment < 1) ||
		!numbers.every((value) => value > 0)
	) {
		return err(
			new CommandFailure(
				'usage',
				'--attainment must be between 0 and 1, and --late, --pause and --step above 0',
			),
		);
	}

	const [lateMilliseconds, pauseMilliseconds, stepSeconds] = numbers as [
		number,
		number,
		number,
	];
	const tracker = new ResponseBurnTracker(
		{
			attainment,
			maximumMilliseconds: lateMilliseconds,
			maximumGapMilliseconds: pauseMilliseconds,
		},
		stepSeconds * 1000,
	);
	const read = await readLogLines(
		files,
		responseEventSchema,
		({timestamp, fields}) => {
			tracker.add({
				...fields,
				route: fields.route as RouteName,
				time: Date.parse(timestamp),
			});
		},
	);
	return read.map(() => {
		const routes = tracker.report();
		return options.json === true
			? JSON.stringify({routes}, undefined, '\t')
			: formatResponseBurn(routes);
	});
}

/** Adds the command that reports the burn rates of forwarding hosts. It reads the logs that the platform collects, because the counters of a host are lost when its process ends. */
export function addLogBurnCommand(program: Command): void {
	program
		.command('forward-burn')
		.description('Show the burn rate by route from logs of forwarding hosts.')
		.argument('<logs...>', 'log files of all hosts')
		.option('--attainment <share>', 'objective: share of good requests', '0.9')
		.option(
			'--late <milliseconds>',
			'maximum duration of a response that is not streamed',
			'400',
		)
		.option(
			'--pause <milliseconds>',
			'maximum pause in a streamed response',
			'150',
		)
		.option('--step <seconds>', 'interval of the series', '300')
		.option('--json', 'write the report as JSON')
		.action(async (files: string[], options: LogBurnOptions) => {
			writeResult(await report(files, options));
		});
}
