import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {stringify} from 'yaml';
import {type OperatorServer} from '../../src/services/operator-server.js';
import {
	FakeOperatorBackend,
	operatorToken,
	smallDocument,
	startFakeOperatorServer,
} from './fake-operator-backend.js';

const main = fileURLToPath(
	new URL('../../src/program/main.js', import.meta.url),
);
const directory = mkdtempSync(path.join(tmpdir(), 'daisylever-'));
const backend = new FakeOperatorBackend();
let server: OperatorServer;
let url: string;

before(async () => {
	({server, url} = await startFakeOperatorServer(backend));
});
after(async () => {
	await server.dispose();
	rmSync(directory, {recursive: true});
});

function writeTestFile(name: string, text: string): string {
	const file = path.join(directory, name);
	writeFileSync(file, text);
	return file;
}

type Outcome = {
	readonly code: number | null;
	readonly stdout: string;
	readonly stderr: string;
};

async function runProgram(
	commandLine: readonly string[],
	environment?: Readonly<Record<string, string>>,
): Promise<Outcome> {
	const child = spawn(process.execPath, [main, ...commandLine], {
		env: {
			PATH: process.env.PATH,
			DAISYLEVER_URL: url,
			...(environment ?? {DAISYLEVER_TOKEN: operatorToken}),
		},
	});
	let stdout = '';
	let stderr = '';
	child.stdout.on('data', (data) => {
		stdout += String(data);
	});
	child.stderr.on('data', (data) => {
		stderr += String(data);
	});
	return new Promise((resolve) => {
		child.on('close', (code) => {
			resolve({code, stdout, stderr});
		});
	});
}

const validDocumentFile = writeTestFile('good.yaml', stringify(smallDocument));
const invalidDocumentFile = writeTestFile(
	'bad.yaml',
	stringify({...smallDocument, offerings: [{name: 'drafts', model: 'm2'}]}),
);

// Scripts must be able to distinguish a conflict from an outage or an invalid file.
test('each kind of failure has its own exit code and a message with a remedy', async () => {
	const submit = [
		'document',
		'submit',
		validDocumentFile,
		'--expected-revision',
	];
	const cases: ReadonlyArray<
		readonly [
			commandLine: readonly string[],
			code: number,
			output: RegExp,
			environment?: Record<string, string>,
		]
	> = [
		[['version'], 0, /^0\.1\.0\n$/],
		[['--help'], 0, /Exit codes:\n {2}0 {2}success/],
		[['document', '--help'], 0, /Exit codes:/],
		[['stats'], 2, /Did you mean status/],
		[['document', 'submit', validDocumentFile], 2, /--expected-revision/],
		[[...submit, 'x'], 2, /must be a number/],
		[['status', '--url', 'nowhere'], 2, /--url is "nowhere"/],
		[
			['document', 'check', validDocumentFile],
			0,
			/is valid: 1 pools, 1 models/,
		],
		[
			['document', 'check', invalidDocumentFile],
			3,
			/bad\.yaml:\d+:5: offerings\[0]\.model: there is no model "m2"; did you mean "m1"/,
		],
		[['document', 'check', 'no-such.yaml'], 3, /cannot be read/],
		[['document', 'show'], 7, /no document is in force yet/],
		[
			['document', 'diff', validDocumentFile],
			0,
			/^\+ pools "lm".*\n\+ schema: 1\n/s,
		],
		[[...submit, '0', '--summary', 'start'], 0, /revision 1 is in force/],
		[[...submit, '0'], 4, /revision 1 by ornella .*\nRun "daisylever document/],
		[['document', 'diff', validDocumentFile], 0, /^no difference/],
		[['document', 'show'], 0, /^# revision 1\nschema: 1\n/],
		[['document', 'history'], 0, /ornella +start/],
		[['status'], 0, /^host h1, revision 1/],
		[['status'], 5, /no operator token is set\nSet DAISYLEVER_TOKEN/, {}],
		[['status'], 5, /bearer token/, {DAISYLEVER_TOKEN: 'wrong'}],
		[['status', '--url', 'http://127.0.0.1:1'], 6, /Check --url/],
		[['explain', 'r1'], 0, /no decision is on record/],
		[['burn'], 0, /^class +objective/],
		[['orders', 'list'], 0, /order-1 +t1 +load/],
		[['orders', 'settle', 'order-1'], 0, /settled: order-1/],
		[['orders', 'settle', 'order-1'], 7, /not among the open orders: order-1/],
	];
	for (const [commandLine, code, output, environment] of cases) {
		const outcome = await runProgram(commandLine, environment);
		const text = outcome.stdout + outcome.stderr;
		assert.equal(outcome.code, code, `${commandLine.join(' ')}: ${text}`);
		assert.match(text, output, commandLine.join(' '));
		assert.equal(outcome.stderr === '', code === 0, outcome.stderr);
	}
});

test('the option --json makes commands write valid JSON', async () => {
	for (const commandLine of [
		['status'],
		['burn'],
		['explain'],
		['orders', 'list'],
		['document', 'check', validDocumentFile],
		['document', 'check', invalidDocumentFile],
	]) {
		const {stdout} = await runProgram([...commandLine, '--json']);
		assert.equal(typeof JSON.parse(stdout), 'object', commandLine.join(' '));
	}
});

test('settings check reports every error with its line, and run refuses the same file', async () => {
	const settings = writeTestFile(
		'settings.yaml',
		'host: h1\nfailuredomain: a\n',
	);
	const outcome = await runProgram([
		'settings',
		'check',
		'--settings',
		settings,
	]);
	assert.equal(outcome.code, 3);
	assert.match(
		outcome.stderr,
		/settings\.yaml:2:1: failuredomain: unknown key/,
	);
	assert.match(outcome.stderr, /platform: expected object, but is missing/);
	const run = await runProgram(['run', '--settings', settings]);
	assert.equal(run.code, 3);
});

test('burn --svg writes the plot to the file', async () => {
	const plotFile = path.join(directory, 'burn.svg');
	const outcome = await runProgram(['burn', '--svg', plotFile]);
	assert.equal(outcome.code, 0, outcome.stderr);
	assert.match(readFileSync(plotFile, 'utf8'), /^<svg/);
});

// The report must not stop at a line that is not a log event.
test('forward-burn skips lines that are not log events and rejects an invalid option', async () => {
	const line = JSON.stringify({
		event: 7052,
		timestamp: '2026-12-04T08:00:00.000Z',
		fields: {
			route: 'r-1',
			outcome: 'own 503: overload',
			milliseconds: 1300,
			largestGapMilliseconds: 0,
		},
	});
	const logFile = writeTestFile(
		'host.log',
		`started\n 1.2 front-1 ${line}\n{"event":1}\n`,
	);
	const reported = await runProgram(['forward-burn', logFile, '--json']);
	assert.equal(reported.code, 0, reported.stderr);
	const {routes} = JSON.parse(reported.stdout) as {
		routes: Array<{route: string; burnRate: number}>;
	};
	assert.equal(routes[0]?.route, 'r-1');
	assert.ok(Math.abs(routes[0].burnRate - 10) < 1e-9);
	const rejected = await runProgram(['forward-burn', logFile, '--step', '0']);
	assert.equal(rejected.code, 2);
});

// Guards against requests that are counted twice because two hosts have logged them.
test('forward-demand counts a request once when it was forwarded to another host', async () => {
	const lineOf = (fields: Readonly<Record<string, unknown>>) =>
		JSON.stringify({
			event: 7052,
			timestamp: '2026-12-04T08:00:00.000Z',
			fields: {model: 'm', outcome: 'complete', milliseconds: 100, ...fields},
		});
	const logFile = writeTestFile(
		'hosts.log',
		`${lineOf({forwardedTo: 'host-2'})}\n 0.1 front-2 ${lineOf({forwardedBy: 'host-1'})}\n`,
	);
	const options = ['--requests', '1', '--seconds', '0', '--json'];
	const reported = await runProgram(['forward-demand', logFile, ...options]);
	assert.equal(reported.code, 0, reported.stderr);
	const {artifacts} = JSON.parse(reported.stdout) as {
		artifacts: Array<{name: string; requests: number}>;
	};
	assert.deepEqual(
		artifacts.map(({name, requests}) => [name, requests]),
		[['m', 1]],
	);
	const rejected = await runProgram([
		'forward-demand',
		logFile,
		'--requests',
		'0',
	]);
	assert.equal(rejected.code, 2);
});
