import process from 'node:process';
import {type Command} from 'commander';
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {formatTable} from '../core/burn/text-table.js';
import {
	type ExplanationFailure,
	type PoolExplanation,
	type RouteExplanation,
} from '../services/forwarding/route-explanation.js';
import {
	formatJson,
	writeResult,
	type CommandResult,
} from './command-context.js';
import {CommandFailure} from './command-failure.js';

type ExplainRouteOptions = {
	readonly url: string;
	readonly timeout: string;
	readonly model?: string;
	readonly promptTokens?: string;
	readonly maximumTokens?: string;
	readonly lengthHint?: string;
	readonly prefix?: readonly string[];
	readonly customer?: string;
	readonly json?: boolean;
};

function formatMilliseconds(milliseconds: number): string {
	return `${Math.round(milliseconds)} ms`;
}

function formatShare(share: number): string {
	return `${(share * 100).toFixed(1)}%`;
}

function formatRetry(retryAfterMilliseconds: number | undefined): string {
	return retryAfterMilliseconds === undefined
		? ''
		: `, Retry-After ${(retryAfterMilliseconds / 1000).toFixed(3)} s`;
}

function formatTargets({dispatch, excludedTargets}: PoolExplanation): string[] {
	const candidates = dispatch?.candidates ?? [];
	if (candidates.length + excludedTargets.length === 0) {
		return ['  the pool has no targets'];
	}

	return [
		formatTable([
			[
				'target',
				'excluded by',
				'cost',
				'remaining ms',
				'slots',
				'own',
				'others',
				'weight',
				'holds',
			],
			...candidates.map((each) => [
				each.target,
				each.exclusion ?? '-',
				each.cost.toFixed(dispatch?.costUnit === 'milliseconds' ? 0 : 2),
				each.remainingMilliseconds === undefined
					? '-'
					: each.remainingMilliseconds.toFixed(0),
				String(each.slots),
				String(each.ownRequests),
				each.otherRequests.toFixed(1),
				each.weight.toFixed(2),
				formatShare(each.affinity),
			]),
			...excludedTargets.map(({target, exclusion}) => [
				target,
				exclusion,
				...Array.from({length: 7}, () => '-'),
			]),
		]),
	];
}

function formatPool(pool: PoolExplanation): string {
	const {dispatch, callerWork} = pool;
	return [
		`pool ${pool.pool} (${formatShare(pool.share)} of the route's requests): ${pool.outcome}, ${pool.reason}${formatRetry(pool.retryAfterMilliseconds)}`,
		...(dispatch
			? [
					`  expected work ${formatMilliseconds(dispatch.expectedMilliseconds)}, ${dispatch.waitingRequests} requests wait, cost in ${dispatch.costUnit}`,
				]
			: []),
		...(callerWork
			? [
					`  work of the caller ${formatMilliseconds(callerWork.recentMilliseconds)}, ${formatShare(callerWork.share)} of the pool's recent work`,
				]
			: []),
		...formatTargets(pool),
	].join('\n');
}

function formatExplanation({
	host,
	documentVersion,
	route,
	customer,
	refusal,
	quota,
	pools,
}: RouteExplanation): string {
	const lines = [
		`host ${host}, document ${documentVersion}`,
		`route ${route.name} (${route.kind}, ${route.hostName}${route.pathPrefix}, priority ${route.priority})`,
		...(customer === undefined ? [] : [`customer ${customer}`]),
		...(quota
			? [
					`quota ${quota.quota.perSecond} ${quota.quota.unit} per second, mode ${quota.mode}: the request takes ${quota.units}, ${formatShare(quota.admittedShare)} of the demand is admitted, ${formatShare(quota.usedShare)} of the quota is used`,
				]
			: []),
		...(refusal
			? [
					`refused with ${refusal.status}: ${refusal.reason}${formatRetry(refusal.retryAfterMilliseconds)}`,
				]
			: []),
	];
	return [lines.join('\n'), ...pools.map((pool) => formatPool(pool))].join(
		'\n\n',
	);
}

function toQuery(
	hostName: string,
	path: string,
	options: ExplainRouteOptions,
): URLSearchParams {
	const query = new URLSearchParams({host: hostName, path});
	for (const name of [
		'model',
		'promptTokens',
		'maximumTokens',
		'lengthHint',
		'customer',
	] as const) {
		const value = options[name];
		if (value !== undefined) {
			query.set(name, value);
		}
	}

	for (const part of options.prefix ?? []) {
		query.append('prefix', part);
	}

	return query;
}

function toFailure(status: number, text: string): CommandFailure {
	let failure: Partial<Record<keyof ExplanationFailure, string>> = {};
	try {
		failure = JSON.parse(text) as typeof failure;
	} catch {
		// A listener of another kind answers with text.
	}

	const detail =
		failure.detail ?? `the host responded with status ${String(status)}`;
	// A listener of another kind names no code.
	switch (failure.code ?? '') {
		case 'unknown-route':
		case 'unknown-model':
		case 'unknown-customer': {
			return new CommandFailure(
				'unknownSubject',
				detail,
				'Compare with the document in force on the host.',
			);
		}

		case 'no-document': {
			return new CommandFailure('unavailable', detail, 'Ask another host.');
		}

		case 'invalid-question': {
			return new CommandFailure('usage', detail);
		}

		default: {
			return new CommandFailure(
				'failure',
				detail,
				'Check that --url is the metrics listener of a forwarding host.',
			);
		}
	}
}

async function ask(
	url: string,
	query: URLSearchParams,
	timeoutMilliseconds: number,
): Promise<Result<string, CommandFailure>> {
	try {
		const response = await request(
			new URL(`/explain?${query.toString()}`, url),
			{signal: AbortSignal.timeout(timeoutMilliseconds)},
		);
		const text = await response.body.text();
		return response.statusCode === 200
			? ok(text)
			: err(toFailure(response.statusCode, text));
	} catch (error) {
		return err(
			new CommandFailure(
				'unavailable',
				`the host at ${url} did not respond within ${timeoutMilliseconds} ms: ${error instanceof Error ? error.message : String(error)}`,
				'Check --url, the metrics listener of a forwarding host.',
				{cause: error},
			),
		);
	}
}

async function explainRoute(
	hostName: string,
	path: string,
	options: ExplainRouteOptions,
): Promise<CommandResult> {
	const timeoutMilliseconds = Number(options.timeout);
	if (!Number.isInteger(timeoutMilliseconds) || timeoutMilliseconds <= 0) {
		return err(
			new CommandFailure(
				'usage',
				`--timeout is "${options.timeout}", but must be a number of milliseconds`,
			),
		);
	}

	if (!URL.canParse(options.url)) {
		return err(
			new CommandFailure(
				'usage',
				`--url is "${options.url}", but must be a URL such as http://10.0.0.5:9464`,
			),
		);
	}

	const answer = await ask(
		options.url,
		toQuery(hostName, path, options),
		timeoutMilliseconds,
	);
	return answer.andThen((text) => {
		try {
			const explanation = JSON.parse(text) as RouteExplanation;
			return ok(
				options.json === true
					? formatJson(explanation)
					: formatExplanation(explanation),
			);
		} catch (error) {
			return err(
				new CommandFailure(
					'failure',
					'the response of the host is not an explanation',
					'Check that --url is the metrics listener of a forwarding host.',
					{cause: error},
				),
			);
		}
	});
}

/** Adds the command that asks a forwarding host where a request would go, to the command that shows decisions. */
export function addExplainRouteCommand(explainCommand: Command): void {
	// Both commands have options of the same names, such as --url.
	explainCommand.enablePositionalOptions();
	explainCommand
		.command('route <host-name> <path>')
		.description(
			'Show where a forwarding host would send a request now, and why, without sending it.',
		)
		.option(
			'--url <url>',
			'metrics listener of the forwarding host (environment: DAISYLEVER_FORWARD_URL)',
			process.env.DAISYLEVER_FORWARD_URL ?? 'http://127.0.0.1:9464',
		)
		.option('--timeout <milliseconds>', 'time limit of the call', '10000')
		.option('--model <model>', 'model, or model/adapter')
		.option('--prompt-tokens <number>', 'tokens of the prompt')
		.option('--maximum-tokens <number>', 'largest number of response tokens')
		.option('--length-hint <number>', 'response tokens that the caller expects')
		.option('--prefix <parts...>', 'ids of the parts of the prompt, in order')
		.option('--customer <name>', 'customer whose key the request carries')
		.option('--json', 'write the explanation as JSON')
		.action(
			async (hostName: string, path: string, options: ExplainRouteOptions) => {
				writeResult(await explainRoute(hostName, path, options));
			},
		);
}
