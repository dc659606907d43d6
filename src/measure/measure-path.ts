import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {stringify} from 'yaml';
import {HttpLogService} from '../adapters/node/http-log-service.js';
import {sha256} from '../base/common/digest.js';
import {type RecordId} from '../contracts/ids.js';
import {MeasuredProcess} from './child-process.js';
import {
	generateLoad,
	type LoadRequest,
	type LoadResult,
} from './load-generator.js';

// Measures what one host adds to a short request: the same load goes straight to the engine
// stand-in and through the host, one after the other, in one run. It leaves out the network,
// several hosts, and tokens that take time.

const callerKey = 'key-of-the-measurement';
const engineBytes = 1000;
const slots = 256;
const answerTokens = 4;
const durationMilliseconds = 8000;
const warmUpMilliseconds = 2000;
const connectionCounts = [1, 16, 64];

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

async function startHost(platform: {
	log: string;
	hostList: string;
	weightStore: string;
}): Promise<string> {
	const folder = await mkdtemp(path.join(tmpdir(), 'daisylever-measure-'));
	const file = path.join(folder, 'settings.yaml');
	const listen = '127.0.0.1:0';
	await writeFile(
		file,
		stringify({
			host: 'entry-1',
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
	return `http://127.0.0.1:${fields.callers}`;
}

async function submitDocument(log: string, engine: string): Promise<void> {
	const service = new HttpLogService({address: log});
	const appended = await service.append('control', [
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
	await service.dispose();
	if (appended.isErr()) {
		throw appended.error;
	}
}

const messages = [{role: 'user', content: 'Which row is next?'}];

const throughHost: LoadRequest = {
	method: 'POST',
	path: '/v1/chat/completions',
	headers: {
		authorization: `Bearer ${callerKey}`,
		'content-type': 'application/json',
	},
	body: (sequence) =>
		JSON.stringify({
			model: 'short',
			messages: [{role: 'user', content: `Which row follows ${sequence}?`}],
			max_tokens: answerTokens,
		}),
};

const straight: LoadRequest = {
	method: 'POST',
	path: '/generate',
	headers: {'content-type': 'application/json'},
	body: (sequence) =>
		JSON.stringify({
			requestId: `straight-${sequence}-${process.pid}-${Math.random()}`,
			model: 'model',
			messages,
			maximumTokens: answerTokens,
			priority: 0,
		}),
};

async function waitUntilServed(host: string): Promise<void> {
	for (let attempt = 0; attempt < 100; attempt += 1) {
		const probe = await generateLoad({
			address: host,
			connections: 1,
			durationMilliseconds: 100,
			warmUpMilliseconds: 0,
			request: throughHost,
		});
		if (probe.requests > 0 && probe.failures === 0) {
			return;
		}
	}

	throw new Error('the host does not serve');
}

function milliseconds(result: LoadResult, percentile: number): number {
	return result.latency.getValueAtPercentile(percentile) / 1000;
}

function row(
	connections: number,
	direct: LoadResult,
	hosted: LoadResult,
): string {
	const cells = [
		connections,
		milliseconds(direct, 50).toFixed(2),
		milliseconds(direct, 99).toFixed(2),
		direct.requestsPerSecond.toFixed(0),
		milliseconds(hosted, 50).toFixed(2),
		milliseconds(hosted, 99).toFixed(2),
		hosted.requestsPerSecond.toFixed(0),
		(milliseconds(hosted, 50) - milliseconds(direct, 50)).toFixed(2),
		(milliseconds(hosted, 99) - milliseconds(direct, 99)).toFixed(2),
		(hosted.requestsPerSecond / direct.requestsPerSecond).toFixed(2),
		direct.failures + hosted.failures,
	];
	return `| ${cells.join(' | ')} |`;
}

async function main(): Promise<void> {
	const [log, hostList, weightStore, engine] = await Promise.all([
		startStandIn('log', {}),
		startStandIn('host-list', {}),
		startStandIn('weight-store', {}),
		startStandIn('engine', {
			target: 'engine-1',
			memoryBytes: engineBytes,
			slots,
			firstTokenMilliseconds: 0,
			betweenTokensMilliseconds: 0,
			artifacts: [{key: 'model/model@1', bytes: engineBytes}],
		}),
	]);
	const host = await startHost({log, hostList, weightStore});
	await submitDocument(log, engine);
	await waitUntilServed(host);
	process.stdout.write(
		[
			'| connections | straight p50 ms | straight p99 ms | straight requests/s | host p50 ms | host p99 ms | host requests/s | added p50 ms | added p99 ms | throughput ratio | failures |',
			'|---|---|---|---|---|---|---|---|---|---|---|',
			'',
		].join('\n'),
	);
	for (const connections of connectionCounts) {
		const options = {connections, durationMilliseconds, warmUpMilliseconds};
		const direct = await generateLoad({
			...options,
			address: engine,
			request: straight,
		});
		const hosted = await generateLoad({
			...options,
			address: host,
			request: throughHost,
		});
		process.stdout.write(`${row(connections, direct, hosted)}\n`);
		const failure = hosted.firstFailure ?? direct.firstFailure;
		if (failure) {
			process.stdout.write(`first failure: ${failure}\n`);
		}
	}
}

try {
	await main();
} finally {
	await Promise.all(processes.map(async (child) => child.stop()));
}
