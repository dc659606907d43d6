import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {createServer, type Server} from 'node:http';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {getRequestListener} from '@hono/node-server';
import {Hono} from 'hono';
import {err, ok} from 'neverthrow';
import {listenOn} from '../../src/base/node/listen.js';
import {
	type PoolName,
	type RouteName,
	type TargetId,
} from '../../src/contracts/ids.js';
import {addExplainRoute} from '../../src/services/forwarding/explain-router.js';
import {
	type RouteExplanation,
	type RouteQuestion,
} from '../../src/services/forwarding/route-explanation.js';

const main = fileURLToPath(
	new URL('../../src/program/main.js', import.meta.url),
);
const explanation: RouteExplanation = {
	host: 'h1',
	documentVersion: 4,
	route: {
		name: 'chat' as RouteName,
		hostName: 'a.example',
		pathPrefix: '/chat/',
		kind: 'stream',
		priority: 1,
		timeoutMilliseconds: 3000,
		latencyObjectiveMilliseconds: 300,
	},
	pools: [
		{
			pool: 'large' as PoolName,
			share: 0.75,
			outcome: 'refuse',
			reason: 'overload: too much waits',
			retryAfterMilliseconds: 1500,
			excludedTargets: [{target: 't2' as TargetId, exclusion: 'model-missing'}],
			dispatch: {
				outcome: 'refuse',
				reason: 'overload: too much waits',
				expectedMilliseconds: 120,
				waitingRequests: 7,
				costUnit: 'milliseconds',
				candidates: [
					{
						target: 't1' as TargetId,
						exclusion: 'no-free-slot',
						cost: 321.4,
						remainingMilliseconds: 812,
						slots: 4,
						ownRequests: 1,
						otherRequests: 2.5,
						weight: 1,
						affinity: 0.5,
					},
				],
			},
		},
	],
};
const questions: RouteQuestion[] = [];
let server: Server;
let url: string;

before(async () => {
	const app = new Hono();
	addExplainRoute(app, (question) => {
		questions.push(question);
		return question.path.startsWith('/chat/')
			? ok(explanation)
			: err({code: 'unknown-route', detail: 'no route matches'});
	});
	const listener = getRequestListener(app.fetch, {
		overrideGlobalObjects: false,
	});
	server = createServer((message, response) => {
		void listener(message, response);
	});
	const port = await listenOn(server, 0, '127.0.0.1');
	url = `http://127.0.0.1:${port._unsafeUnwrap()}`;
});
after(() => {
	server.close();
	server.closeAllConnections();
});

async function explain(commandLine: readonly string[], address = url) {
	const child = spawn(
		process.execPath,
		[main, 'explain', 'route', ...commandLine, '--url', address],
		{env: {PATH: process.env.PATH}},
	);
	let stdout = '';
	let stderr = '';
	child.stdout.on('data', (data) => {
		stdout += String(data);
	});
	child.stderr.on('data', (data) => {
		stderr += String(data);
	});
	return new Promise<{code: number | null; stdout: string; stderr: string}>(
		(resolve) => {
			child.on('close', (code) => {
				resolve({code, stdout, stderr});
			});
		},
	);
}

// Guards against an option that does not reach the host, or a reason that the table leaves out.
test('the command sends the question and prints the answer as a table or as JSON', async () => {
	const arguments_ = [
		'a.example',
		'/chat/x',
		'--model=m/a',
		'--prompt-tokens=10',
		'--maximum-tokens=20',
		'--length-hint=5',
		'--customer=c',
	];
	const table = await explain([...arguments_, '--prefix', 'p1', 'p2']);
	assert.equal(table.code, 0, table.stderr);
	assert.deepEqual(questions.at(-1), {
		hostName: 'a.example',
		path: '/chat/x',
		model: 'm',
		adapter: 'a',
		promptTokens: 10,
		maximumTokens: 20,
		lengthHint: 5,
		customer: 'c',
		promptParts: ['p1', 'p2'],
	});
	for (const part of [
		"pool large (75.0% of the route's requests): refuse, overload: too much waits, Retry-After 1.500 s",
		/t1 +no-free-slot +321 +812 +4 +1 +2\.5 +1\.00 +50\.0%/,
		/t2 +model-missing/,
	]) {
		assert.ok(
			typeof part === 'string'
				? table.stdout.includes(part)
				: part.test(table.stdout),
			table.stdout,
		);
	}

	const json = await explain([...arguments_, '--json']);
	assert.deepEqual(JSON.parse(json.stdout), explanation);
});

// Scripts must be able to distinguish an unknown route from a wrong option and from a host that is down.
test('an unknown route, a wrong option and a host that is down have their own exit codes', async () => {
	const unknown = await explain(['a.example', '/nowhere']);
	assert.deepEqual([unknown.code, unknown.stdout], [8, '']);
	assert.match(unknown.stderr, /no route matches/);
	const wrong = await explain(['a.example', '/chat/', '--prompt-tokens=x']);
	assert.equal(wrong.code, 2);
	assert.match(wrong.stderr, /promptTokens/);
	const down = await explain(['a.example', '/chat/'], 'http://127.0.0.1:1');
	assert.equal(down.code, 6);
});
