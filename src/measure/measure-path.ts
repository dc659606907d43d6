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

// Measures the latency and processor time that one host adds: the same load is sent directly to a stand-in and then
// through the host, in one run. Network latency and the generation time of tokens are excluded. Other work on the
// machine raises all times; the processor time of the host per request is affected least.

const callerKey = 'key-of-the-measurement';
const engineBytes = 1000;
const slots = 256;
const responseTokens = 4;
// Largest first, since a freshly started host runs unoptimized code, which a first load on one connection would measure.
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
						{name: 'short', model: 'model', maximumTokens: responseTokens},
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

// Makes keys and prompts unique, so that no load receives the recorded responses of another.
let uniqueNumber = 0;

function hostRequest(isStreamed: boolean): LoadRequest {
	uniqueNumber += 1;
	return {
		method: 'POST',
		path: '/v1/chat/completions',
		headers: callerHeaders,
		body: JSON.stringify({
			model: 'short',
			messages: [{role: 'user', content: `Which row follows ${uniqueNumber}?`}],
			max_tokens: responseTokens,
			stream: isStreamed,
		}),
		...(isStreamed ? {stream: 'server-sent-events'} : {}),
	};
}

function directRequest(isStreamed: boolean): LoadRequest {
	uniqueNumber += 1;
	return {
		method: 'POST',
		path: '/generate',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			requestId: `straight-${uniqueNumber}`,
			model: 'model',
			messages: [{role: 'user', content: `Which row follows ${uniqueNumber}?`}],
			maximumTokens: responseTokens,
			priority: 0,
		}),
		...(isStreamed ? {stream: 'json-lines'} : {}),
	};
}

function bookingRequest(pathPrefix: string): LoadRequest {
	uniqueNumber += 1;
	return {
		method: 'POST',
		path: `${pathPrefix}/crates/${uniqueNumber}`,
		headers: {...callerHeaders, 'idempotency-key': `booking-${uniqueNumber}`},
		body: '{"crates":1}',
	};
}

// The engine starts empty and the host has to load the model first, so the first requests are refused. Throws if
// requests still fail after 100 attempts.
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

	throw new Error(
		`The host at ${host} refused or failed requests in 100 attempts.`,
	);
}

/** Returns the processor time that a process has used so far, in milliseconds. Needs Linux. */
async function processorTime(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	return (
		((Number(fields[11]) + Number(fields[12])) * 1000) / clockTicksPerSecond
	);
}

type LoadShape = Pick<
	LoadOptions,
	| 'connections'
	| 'requestsPerSecond'
	| 'durationMilliseconds'
	| 'warmUpMilliseconds'
>;

type Comparison = {
	readonly direct: LoadResult;
	readonly hosted: LoadResult;
	/** Processor time of the host per request in milliseconds, including warm-up. */
	readonly processor: number;
	readonly machineLoad: number;
};

async function compare(
	shape: LoadShape,
	target: {readonly address: string; readonly request: () => LoadRequest},
	host: MeasuredHost,
	request: () => LoadRequest,
): Promise<Comparison> {
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
		process.stdout.write(`First failure: ${failure}\n`);
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
	{direct, hosted, processor, machineLoad}: Comparison,
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
	const isSelected = (part: string) =>
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
	await waitUntilServed(host.address, () => hostRequest(false));
	await waitUntilServed(host.address, () => bookingRequest('/services/crates'));
	const rows: string[][] = [];
	const compareShort = async (label: string, connections: number) => {
		const shape = {...times, connections};
		const compared = await compare(
			shape,
			{address: engine, request: () => directRequest(false)},
			host,
			() => hostRequest(false),
		);
		rows.push(row(`${label}, ${connections} connections`, compared));
	};

	if (isSelected('short')) {
		for (const connections of connectionCounts) {
			await compareShort('short', connections);
		}
	}

	if (isSelected('streamed')) {
		for (const connections of connectionCounts) {
			const compared = await compare(
				{...times, connections},
				{address: engine, request: () => directRequest(true)},
				host,
				() => hostRequest(true),
			);
			rows.push(
				row(`first token, ${connections} connections`, compared, 'firstToken'),
			);
		}
	}

	if (isSelected('bookings')) {
		for (const requestsPerSecond of bookingRates) {
			const compared = await compare(
				{...times, connections: 64, requestsPerSecond},
				{address: service, request: () => bookingRequest('')},
				host,
				() => bookingRequest('/services/crates'),
			);
			rows.push(row(`bookings, ${requestsPerSecond}/s`, compared));
		}
	}

	if (isSelected('fleet')) {
		await Promise.all(
			Array.from({length: fleetSize - 1}, async (_, index) =>
				startHost(platform, `entry-${index + 2}`),
			),
		);
		// Waits for two heartbeats and for leases to move to the new hosts.
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
	.description(
		'Measures the latency and processor time that a host adds to requests.',
	)
	.option(
		'--seconds <number>',
		'measured duration of each load in seconds',
		'2',
	)
	.option(
		'--only <part>',
		'run only one part: short, streamed, bookings or fleet',
	)
	.action(async (options: {seconds: string; only?: string}) => {
		try {
			await main(options);
		} finally {
			await Promise.all(processes.map(async (child) => child.stop()));
		}
	});

await command.parseAsync(process.argv);
