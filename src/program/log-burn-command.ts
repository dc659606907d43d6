import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {type Command} from 'commander';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {forwardingEvents} from '../contracts/events/forwarding-events.js';
import {type RouteName} from '../contracts/ids.js';
import {
	ResponseBurnTracker,
	formatResponseBurn,
	type LoggedResponse,
} from '../core/response-burn.js';
import {writeResult, type CommandResult} from './command-context.js';
import {CommandFailure} from './command-failure.js';

const answerSchema = z.object({
	event: z.literal(forwardingEvents.requestAnswered.number),
	timestamp: z.iso.datetime(),
	fields: z.object({
		route: z.string(),
		outcome: z.string(),
		milliseconds: z.number(),
		largestGapMilliseconds: z.number(),
	}),
});

type Options = {
	readonly attainment: string;
	readonly late: string;
	readonly pause: string;
	readonly step: string;
	readonly json?: boolean;
};

/** Reads a line of a log. The platform may have put something before the JSON. */
function answerOf(line: string): LoggedResponse | undefined {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let value: unknown;
	try {
		value = JSON.parse(line.slice(start));
	} catch {
		return undefined;
	}

	const {success, data} = answerSchema.safeParse(value);
	return success
		? {
				...data.fields,
				route: data.fields.route as RouteName,
				time: Date.parse(data.timestamp),
			}
		: undefined;
}

async function report(
	files: readonly string[],
	options: Options,
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
	const burn = new ResponseBurnTracker(
		{
			attainment,
			maximumMilliseconds: lateMilliseconds,
			maximumGapMilliseconds: pauseMilliseconds,
		},
		stepSeconds * 1000,
	);
	for (const file of files) {
		try {
			for await (const line of createInterface({
				input: createReadStream(file),
			})) {
				const answer = answerOf(line);
				if (answer) {
					burn.add(answer);
				}
			}
		} catch (error) {
			return err(
				new CommandFailure(
					'invalid',
					`the log cannot be read: ${error instanceof Error ? error.message : String(error)}`,
				),
			);
		}
	}

	const routes = burn.report();
	return ok(
		options.json === true
			? JSON.stringify({routes}, undefined, '\t')
			: formatResponseBurn(routes),
	);
}

/** Adds the report on service-level burn of forwarding hosts. Their counts end with them, so it is made from the logs that the platform collects. */
export function addLogBurnCommand(program: Command): void {
	program
		.command('forward-burn')
		.description('Show the burn rate by route from logs of forwarding hosts.')
		.argument('<logs...>', 'log files of all hosts')
		.option('--attainment <share>', 'share of good requests', '0.9')
		.option('--late <milliseconds>', 'bound of an answer in one piece', '400')
		.option('--pause <milliseconds>', 'bound of a pause in a stream', '150')
		.option('--step <seconds>', 'step of the series', '300')
		.option('--json', 'output for programs')
		.action(async (files: string[], options: Options) => {
			writeResult(await report(files, options));
		});
}
