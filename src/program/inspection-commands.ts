import {type Command} from 'commander';
import {ok} from 'neverthrow';
import {formatTable} from '../core/burn/text-table.js';
import {type JournalEntry} from '../services/decision-journal.js';
import {
	type FleetStatus,
	type OpenOrder,
	type PoolStatus,
} from '../services/operator-backend.js';
import {
	addHostOptions,
	createOperatorClient,
	writeResult,
	formatJson,
	writeOutput,
	type CommandResult,
	type HostOptions,
} from './command-context.js';
import {addExplainRouteCommand} from './explain-route-command.js';

function formatGigabytes(bytes: number): string {
	return (bytes / 1e9).toFixed(1);
}

function formatSeconds(milliseconds: number): string {
	return `${(milliseconds / 1000).toFixed(1)}s`;
}

function formatPool({pool, kind, targets}: PoolStatus): string {
	return [
		`pool ${pool} (${kind})`,
		formatTable([
			[
				'target',
				'domain',
				'state',
				'running',
				'queued',
				'memory GB',
				'reported GB',
				'charged GB',
				'report age',
				'artifacts',
			],
			...targets.map((target) => [
				target.target,
				target.failureDomain,
				target.state,
				String(target.running),
				String(target.queued),
				formatGigabytes(target.memoryBytes),
				formatGigabytes(target.reportedBytes),
				formatGigabytes(target.chargedBytes),
				target.reportAgeMilliseconds === null
					? 'none'
					: formatSeconds(target.reportAgeMilliseconds),
				target.artifacts
					.map(({artifact, state}) =>
						state === 'resident' ? artifact : `${artifact} (${state})`,
					)
					.join(', '),
			]),
		]),
	].join('\n');
}

function formatStatus(status: FleetStatus): string {
	return [
		`host ${status.host}, revision ${status.revision}, log service ${status.logReachable ? 'reachable' : 'not reachable'}`,
		formatTable([
			['host', 'domain', 'state', 'ready', 'revision', 'offset', 'age'],
			...status.members.map((member) => [
				member.host,
				member.failureDomain,
				member.state,
				member.ready ? 'yes' : 'no',
				String(member.revision),
				String(member.controlOffset),
				formatSeconds(member.ageMilliseconds),
			]),
		]),
		formatTable([
			['lease', 'holder', 'token', 'age', 'reason'],
			...status.leases.map((lease) => [
				lease.lease,
				lease.holder ?? 'none',
				String(lease.token),
				formatSeconds(lease.ageMilliseconds),
				lease.reason,
			]),
		]),
		...status.pools.map((pool) => formatPool(pool)),
	].join('\n\n');
}

function formatDecision(entry: JournalEntry): string {
	const subjects = Object.entries(entry.subjects)
		.map(([name, value]) => `${name} ${String(value)}`)
		.join(', ');
	const details = entry.details ? `\n    ${JSON.stringify(entry.details)}` : '';
	return `${new Date(entry.time).toISOString()} ${entry.host} ${entry.kind}: ${entry.reason} [${subjects}]${details}`;
}

async function status(options: HostOptions): Promise<CommandResult> {
	return createOperatorClient(options)
		.asyncAndThen((client) => client.json<FleetStatus>('GET', '/status'))
		.map((response) =>
			options.json === true ? formatJson(response) : formatStatus(response),
		);
}

const subjectNames = [
	'caller',
	'offering',
	'pool',
	'target',
	'artifact',
	'lease',
	'fingerprint',
] as const;

type ExplainOptions = HostOptions & {
	readonly kind?: string;
	readonly limit: string;
} & Readonly<Partial<Record<(typeof subjectNames)[number], string>>>;

async function explain(
	request: string | undefined,
	options: ExplainOptions,
): Promise<CommandResult> {
	const query = new URLSearchParams({limit: options.limit});
	for (const [name, value] of [
		['request', request] as const,
		['kind', options.kind] as const,
		...subjectNames.map((name) => [name, options[name]] as const),
	]) {
		if (value !== undefined) {
			query.set(name, value);
		}
	}

	return createOperatorClient(options)
		.asyncAndThen((client) =>
			client.json<{decisions: readonly JournalEntry[]}>(
				'GET',
				`/explain?${query.toString()}`,
			),
		)
		.map((response) => {
			if (options.json === true) {
				return formatJson(response);
			}

			return response.decisions.length === 0
				? 'no decision is on record; a host keeps only the newest ones'
				: response.decisions.map((entry) => formatDecision(entry)).join('\n');
		});
}

type BurnOptions = HostOptions & {
	readonly svg?: string;
};

async function burn(options: BurnOptions): Promise<CommandResult> {
	let format = options.json === true ? 'json' : 'text';
	if (options.svg !== undefined) {
		format = 'svg';
	}

	return createOperatorClient(options)
		.asyncAndThen((client) => client.text('GET', `/burn?format=${format}`))
		.andThen((text) => {
			if (options.svg !== undefined) {
				return writeOutput(options.svg, text);
			}

			return ok(format === 'json' ? formatJson(JSON.parse(text)) : text);
		});
}

async function listOrders(options: HostOptions): Promise<CommandResult> {
	return createOperatorClient(options)
		.asyncAndThen((client) =>
			client.json<{orders: readonly OpenOrder[]}>('GET', '/orders'),
		)
		.map((response) => {
			if (options.json === true) {
				return formatJson(response);
			}

			return response.orders.length === 0
				? 'no open orders'
				: formatTable([
						['order', 'target', 'action', 'artifact', 'GB', 'holder', 'live'],
						...response.orders.map((order) => [
							order.orderId,
							order.target,
							order.action,
							order.artifact,
							formatGigabytes(order.bytes),
							order.holder,
							order.holderLive ? 'yes' : 'no',
						]),
					]);
		});
}

async function settleOrders(
	orders: readonly string[],
	options: HostOptions,
): Promise<CommandResult> {
	return createOperatorClient(options)
		.asyncAndThen((client) =>
			client.json<{settled: readonly string[]}>('POST', '/orders/settle', {
				orders,
			}),
		)
		.map((response) =>
			options.json === true
				? formatJson(response)
				: `settled: ${response.settled.join(', ')}`,
		);
}

/** Adds the commands that show the status, decisions, burn rates and open orders of the fleet, and that settle orders. */
export function addInspectionCommands(program: Command): void {
	addHostOptions(
		program
			.command('status')
			.description('Show hosts, leases, targets and their memory.')
			.option('--json', 'write the status as JSON'),
	).action(async (options: HostOptions) => {
		writeResult(await status(options));
	});
	const explainCommand = program
		.command('explain [request]')
		.description('Show the decisions about a request, pool, target or lease.')
		.option('--kind <kind>', 'takeover, move, refusal, quarantine, routing, …')
		.option('--limit <number>', 'largest number of decisions', '100')
		.option('--json', 'write the decisions as JSON');
	for (const name of subjectNames) {
		explainCommand.option(
			`--${name} <${name}>`,
			`decisions about this ${name}`,
		);
	}

	addExplainRouteCommand(explainCommand);
	addHostOptions(explainCommand).action(
		async (request: string | undefined, options: ExplainOptions) => {
			writeResult(await explain(request, options));
		},
	);
	addHostOptions(
		program
			.command('burn')
			.description('Show how fast each caller class spends its error budget.')
			.option('--svg <file>', 'write a plot of the last six hours')
			.option('--json', 'write the report as JSON'),
	).action(async (options: BurnOptions) => {
		writeResult(await burn(options));
	});
	const orders = program
		.command('orders')
		.description('List and settle orders that may still take effect.');
	addHostOptions(
		orders
			.command('list')
			.description('List the open orders.')
			.option('--json', 'write them as JSON'),
	).action(async (options: HostOptions) => {
		writeResult(await listOrders(options));
	});
	addHostOptions(
		orders
			.command('settle <orders...>')
			.description(
				'Declare that orders can no longer take effect, after their sender and target were checked.',
			)
			.option('--json', 'write the settled orders as JSON'),
	).action(async (ids: readonly string[], options: HostOptions) => {
		writeResult(await settleOrders(ids, options));
	});
}
