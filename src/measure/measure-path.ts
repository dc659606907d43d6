import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {loadavg, tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Command} from 'commander';
import {stringify} from 'yaml';
import {HttpLogService} from '../adapters/node/http-log-service.js';
import {
	generateLoad,
	type LoadOptions,
	type LoadRequest,
	type LoadResult,
} from '../adapters/node/load-generator.js';
import {sha256} from '../base/common/digest.js';
import {type RecordId} from '../contracts/ids.js';
import {MeasuredProcess} from './child-process.js';
import {formatTable} from './result-table.js';

// Measures what one host adds: the same load goes straight to a stand-in and through the host,
// one after the other, in one run. It leaves out the network and tokens that take time. Other work
// on the machine raises all times; the processor time of the host for each request depends on it least.

const callerKey = 'key-of-the-measurement';
const engineBytes = 1000;
const slots = 256;
const answerTokens = 4;
// The largest first: a host that has just started runs its code unoptimized, and one connection alone would measure that.
const connectionCounts = [64, 16, 1];
const bookingRates = [20, 100, 300];
const fleetSize = 8;
const clockTicksPerSecond = 100;

const programs = path.resolve('build/src');
const processes: MeasuredProcess[] = [];

async function startStandIn(kind: string, options: object): Promise<string> {
	const child = MeasuredProcess.start(
		path.join(programs, 'stand-ins/stand-in-main.js'),
		['--kind', kind, '--options', JSON.stringify(options)],
	);
	processes.push(child);
	const line = await child.jsonLine((value) => 'address' in value);
	return String(line.address);
}

type MeasuredHost = {readonly address: string; readonly processId: number};

async function startHost(
	platform: {
		log: string;
		hostList: string;
		weightStore: string;
	},
	name: string,
): Promise<MeasuredHost> {
	const folder = await mkdtemp(path.join(tmpdir(), 'daisylever-measure-'));
	const file = path.join(folder, 'settings.yaml');
	const listen = '127.0.0.1:0';
	await writeFile(
		file,
		stringify({
			host: name,
			failureDomain: 'palermo',
			listen: {callers: listen, operators: listen, peers: listen},
			platform: {
				logService: platform.log,
				hostList: platform.hostList,
				weightStore: platform.weightStore,
			},
			peerSecret: 'secret-of-the-measurement',
			operators: [{name: 'operator', tokenDigest: sha256('token')}],
		}),
	);
	const child = MeasuredProcess.start(path.join(programs, 'program/main.js'), [
		'run',
		'--settings',
		file,
	]);
	processes.push(child);
	const line = await child.jsonLine(
		(value) => value.message === 'host-started',
	);
	const fields = line.fields as {callers: number};
	return {
		address: `http://127.0.0.1:${fields.callers}`,
		processId: child.processId!,
	};
}

async function submitDocument(
	log: string,
	engine: string,
	service: string,
): Promise<void> {
	const logService = new HttpLogService({address: log});
	const appended = await logService.append('control', [
		{
			id: 'document-1' as RecordId,
			body: {
				kind: 'document-submitted',
				expectedRevision: 0,
				operator: 'operator',
				summary: 'measurement',
				time: 0,
				document: {
					schema: 1,
					pools: [
						{
							name: 'pool',
							kind: 'engine',
							honoursFencing: true,
							targets: [
								{
									id: 'engine-1',
									address: engine,
									failureDomain: 'palermo',
									memoryBytes: engineBytes,
									slots,
								},
							],
						},
						{
							name: 'bookings',
							kind: 'service',
							targets: [
								{
									id: 'service-1',
									address: service,
									failureDomain: 'palermo',
									slots,
								},
							],
						},
					],
					services: [
						{
							name: 'crates',
							pool: 'bookings',
							routes: [{method: 'POST', pathPrefix: '/', idempotent: false}],
						},
					],
					models: [{id: 'model', pool: 'pool', bytes: engineBytes}],
					offerings: [
						{name: 'short', model: 'model', maximumTokens: answerTokens},
					],
					callerClasses: [{name: 'callers', urgency: 'standard'}],
					callers: [
						{
							id: 'caller',
							class: 'callers',
							keyDigests: [sha256(callerKey)],
							offerings: ['short'],
							services: ['crates'],
						},
					],
					weightStore: {
						loadsPerSecond: 10,
						concurrentLoads: 5,
						concurrentAdapterLoads: 40,
					},
				},
			},
		},
	]);
	await logService.dispose();
	if (appended.isErr()) {
		throw appended.error;
	}
}

const callerHeaders = {
	authorization: `Bearer ${callerKey}`,
	'content-type': 'application/json',
};

// Keys and prompts of different runs differ, so that no run gets the recorded answers of another.
let prompts = 0;

function throughHost(isStreamed: boolean): LoadRequest {
	prompts += 1;
	return {
		method: 'POST',
		path: '/v1/chat/completions',
		headers: callerHeaders,
		body: JSON.stringify({
			model: 'short',
			messages: [{role: 'user', content: `Which row follows ${prompts}?`}],
			max_tokens: answerTokens,
			stream: isStreamed,
		}),
		...(isStreamed ? {stream: 'server-sent-events'} : {}),
	};
}

function straight(isStreamed: boolean): LoadRequest {
	prompts += 1;
	return {
		method: 'POST',
		path: '/generate',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			requestId: `straight-${prompts}`,
			model: 'model',
			messages: [{role: 'user', content: `Which row follows ${prompts}?`}],
			maximumTokens: answerTokens,
			priority: 0,
		}),
		...(isStreamed ? {stream: 'json-lines'} : {}),
	};
}

function booking(pathPrefix: string): LoadRequest {
	prompts += 1;
	return {
		method: 'POST',
		path: `${pathPrefix}/crates/${prompts}`,
		headers: {...callerHeaders, 'idempotency-key': `booking-${prompts}`},
		body: '{"crates":1}',
	};
}

// The engine starts empty and the host loads the model, so the first answers are refusals.
async function waitUntilServed(
	host: string,
	request: () => LoadRequest,
): Promise<void> {
	for (let attempt = 0; attempt < 100; attempt += 1) {
		const probe = await generateLoad({
			address: host,
			connections: 1,
			durationMilliseconds: 200,
			warmUpMilliseconds: 0,
			maximumRequests: 5,
			request,
		});
		if (probe.requests > 0 && probe.failures === 0) {
			return;
		}

		await new Promise((resolve) => {
			setTimeout(resolve, 100);
		});
	}

	throw new Error('the host does not serve');
}

/** Processor time that a process used so far, in milliseconds. */
async function processorTime(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (
		((Number(fields[11]) + Number(fields[12])) * 1000) / clockTicksPerSecond
	);
}

type Shape = Pick<
	LoadOptions,
	| 'connections'
	| 'requestsPerSecond'
	| 'durationMilliseconds'
	| 'warmUpMilliseconds'
>;

type Compared = {
	readonly direct: LoadResult;
	readonly hosted: LoadResult;
	/** Processor milliseconds of the host for each request, warm-up included. */
	readonly processor: number;
	readonly machineLoad: number;
};

async function compare(
	shape: Shape,
	target: {readonly address: string; readonly request: () => LoadRequest},
	host: MeasuredHost,
	request: () => LoadRequest,
): Promise<Compared> {
	const direct = await generateLoad({...shape, ...target});
	const before = await processorTime(host.processId);
	let sent = 0;
	const hosted = await generateLoad({
		...shape,
		address: host.address,
		request() {
			sent += 1;
			return request();
		},
	});
	const used = (await processorTime(host.processId)) - before;
	const failure = hosted.firstFailure ?? direct.firstFailure;
	if (failure !== undefined) {
		process.stdout.write(`first failure: ${failure}\n`);
	}

	return {
		direct,
		hosted,
		processor: used / Math.max(1, sent),
		machineLoad: loadavg()[0]!,
	};
}

const compareHeader = [
	'load',
	'straight p50 ms',
	'straight p99 ms',
	'straight requests/s',
	'host p50 ms',
	'host p99 ms',
	'host requests/s',
	'added p50 ms',
	'added p99 ms',
	'host processor ms/request',
	'failures',
	'machine load',
];

function row(
	label: string,
	{direct, hosted, processor, machineLoad}: Compared,
	kind: 'latency' | 'firstToken' = 'latency',
): string[] {
	const at = (result: LoadResult, percentile: number) =>
		result[kind].getValueAtPercentile(percentile) / 1000;
	return [
		label,
		at(direct, 50).toFixed(2),
		at(direct, 99).toFixed(2),
		direct.requestsPerSecond.toFixed(0),
		at(hosted, 50).toFixed(2),
		at(hosted, 99).toFixed(2),
		hosted.requestsPerSecond.toFixed(0),
		(at(hosted, 50) - at(direct, 50)).toFixed(2),
		(at(hosted, 99) - at(direct, 99)).toFixed(2),
		processor.toFixed(2),
		String(direct.failures + hosted.failures),
		machineLoad.toFixed(1),
	];
}

async function main(options: {
	readonly seconds: string;
	readonly only?: string;
}): Promise<void> {
	const isWanted = (part: string) =>
		options.only === undefined || options.only === part;
	const durationMilliseconds = Number(options.seconds) * 1000;
	const times = {durationMilliseconds, warmUpMilliseconds: 2000};
	const [log, hostList, weightStore, engine, service] = await Promise.all([
		startStandIn('log', {}),
		startStandIn('host-list', {}),
		startStandIn('weight-store', {}),
		startStandIn('engine', {
			target: 'engine-1',
			memoryBytes: engineBytes,
			slots,
			firstTokenMilliseconds: 0,
			betweenTokensMilliseconds: 0,
		}),
		startStandIn('service', {}),
	]);
	const platform = {log, hostList, weightStore};
	const host = await startHost(platform, 'entry-1');
	await submitDocument(log, engine, service);
	await waitUntilServed(host.address, () => throughHost(false));
	await waitUntilServed(host.address, () => booking('/services/crates'));
	const rows: string[][] = [];
	const compareShort = async (label: string, connections: number) => {
		const shape = {...times, connections};
		const compared = await compare(
			shape,
			{address: engine, request: () => straight(false)},
			host,
			() => throughHost(false),
		);
		rows.push(row(`${label}, ${connections} connections`, compared));
	};

	if (isWanted('short')) {
		for (const connections of connectionCounts) {
			await compareShort('short', connections);
		}
	}

	if (isWanted('streamed')) {
		for (const connections of connectionCounts) {
			const compared = await compare(
				{...times, connections},
				{address: engine, request: () => straight(true)},
				host,
				() => throughHost(true),
			);
			rows.push(
				row(`first token, ${connections} connections`, compared, 'firstToken'),
			);
		}
	}

	if (isWanted('bookings')) {
		for (const requestsPerSecond of bookingRates) {
			const compared = await compare(
				{...times, connections: 64, requestsPerSecond},
				{address: service, request: () => booking('')},
				host,
				() => booking('/services/crates'),
			);
			rows.push(row(`bookings, ${requestsPerSecond}/s`, compared));
		}
	}

	if (isWanted('fleet')) {
		await Promise.all(
			Array.from({length: fleetSize - 1}, async (_, index) =>
				startHost(platform, `entry-${index + 2}`),
			),
		);
		// Two heartbeats and the leases that move to the new hosts.
		await new Promise((resolve) => {
			setTimeout(resolve, 8000);
		});
		const before = await processorTime(host.processId);
		await new Promise((resolve) => {
			setTimeout(resolve, 5000);
		});
		const used = (await processorTime(host.processId)) - before;
		process.stdout.write(
			`One of ${fleetSize} idle hosts uses ${(used / 50).toFixed(1)}% of a core.\n`,
		);
		await compareShort(`short, one of ${fleetSize} hosts`, 1);
		await compareShort(`short, one of ${fleetSize} hosts`, 64);
	}

	process.stdout.write(`${formatTable(compareHeader, rows)}\n`);
}

const command = new Command('measure-path')
	.description('Measures what a host adds to requests.')
	.option('--seconds <number>', 'measured seconds of each load', '2')
	.option('--only <part>', 'short, streamed, bookings or fleet')
	.action(async (options: {seconds: string; only?: string}) => {
		try {
			await main(options);
		} finally {
			await Promise.all(processes.map(async (child) => child.stop()));
		}
	});

await command.parseAsync(process.argv);
