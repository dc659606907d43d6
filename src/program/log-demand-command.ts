import {type Command} from 'commander';
import {err} from 'neverthrow';
import {z} from 'zod';
import {forwardingEvents} from '../contracts/events/forwarding-events.js';
import {type AdapterId, type ModelId} from '../contracts/ids.js';
import {
	formatServedDemand,
	ServedDemandCounter,
} from '../core/placement/served-demand.js';
import {writeResult, type CommandResult} from './command-context.js';
import {CommandFailure} from './command-failure.js';
import {readLogLines} from './log-lines.js';

const modelRequestSchema = z.object({
	event: z.literal(forwardingEvents.requestAnswered.number),
	timestamp: z.iso.datetime(),
	fields: z.object({
		model: z.string(),
		adapter: z.string().optional(),
		missing: z.string().optional(),
		outcome: z.string(),
		milliseconds: z.number(),
		forwardedBy: z.string().optional(),
	}),
});

type LogDemandOptions = {
	readonly requests: string;
	readonly seconds: string;
	readonly json?: boolean;
};

async function report(
	files: readonly string[],
	options: LogDemandOptions,
): Promise<CommandResult> {
	const minimumRequests = Number(options.requests);
	const minimumSeconds = Number(options.seconds);
	if (!(minimumRequests >= 1) || !(minimumSeconds >= 0)) {
		return err(
			new CommandFailure(
				'usage',
				'--requests must be 1 or more, and --seconds 0 or more',
			),
		);
	}

	const counter = new ServedDemandCounter();
	const read = await readLogLines(
		files,
		modelRequestSchema,
		({timestamp, fields}) => {
			// The host that forwarded a request logs it as well.
			if (fields.forwardedBy === undefined) {
				counter.add({
					...fields,
					model: fields.model as ModelId,
					adapter: fields.adapter as AdapterId | undefined,
					time: Date.parse(timestamp),
				});
			}
		},
	);
	return read.map(() => {
		const artifacts = counter.report(minimumRequests, minimumSeconds * 1000);
		return options.json === true
			? JSON.stringify({artifacts}, undefined, '\t')
			: formatServedDemand(artifacts);
	});
}

/** Adds the command that shows which models and adapters were requested and never served. */
export function addLogDemandCommand(program: Command): void {
	program
		.command('forward-demand')
		.description(
			'Show how often each model and adapter was requested and served, from logs of forwarding hosts.',
		)
		.argument('<logs...>', 'log files of all hosts')
		.option(
			'--requests <number>',
			'leave out models and adapters with fewer requests',
			'4',
		)
		.option(
			'--seconds <seconds>',
			'leave out models and adapters that were requested for a shorter time',
			'8',
		)
		.option('--json', 'write the report as JSON')
		.action(async (files: string[], options: LogDemandOptions) => {
			writeResult(await report(files, options));
		});
}
