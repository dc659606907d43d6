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

function file(name: string, text: string): string {
	const place = path.join(directory, name);
	writeFileSync(place, text);
	return place;
}

type Outcome = {
	readonly code: number | null;
	readonly stdout: string;
	readonly stderr: string;
};

async function daisylever(
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

const good = file('good.yaml', stringify(smallDocument));
const bad = file(
	'bad.yaml',
	stringify({...smallDocument, offerings: [{name: 'drafts', model: 'm2'}]}),
);

// Guards against scripts that cannot tell a conflict from an outage or a bad file.
test('each kind of failure has its exit code and a message that says what to do', async () => {
	const submit = ['document', 'submit', good, '--expected-revision'];
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
		[['document', 'submit', good], 2, /--expected-revision/],
		[[...submit, 'x'], 2, /must be a number/],
		[['status', '--url', 'nowhere'], 2, /--url is "nowhere"/],
		[['document', 'check', good], 0, /is valid: 1 pools, 1 models/],
		[
			['document', 'check', bad],
			3,
			/bad\.yaml:\d+:5: offerings\[0]\.model: there is no model "m2"; did you mean "m1"/,
		],
		[['document', 'check', 'no-such.yaml'], 3, /cannot be read/],
		[['document', 'show'], 7, /no document is in force yet/],
		[['document', 'diff', good], 0, /^\+ pools "lm".*\n\+ schema: 1\n/s],
		[[...submit, '0', '--summary', 'start'], 0, /revision 1 is in force/],
		[[...submit, '0'], 4, /revision 1 by ornella .*\nRun "daisylever document/],
		[['document', 'diff', good], 0, /^no difference/],
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
		const outcome = await daisylever(commandLine, environment);
		const text = outcome.stdout + outcome.stderr;
		assert.equal(outcome.code, code, `${commandLine.join(' ')}: ${text}`);
		assert.match(text, output, commandLine.join(' '));
		assert.equal(outcome.stderr === '', code === 0, outcome.stderr);
	}
});

test('output for programs is JSON', async () => {
	for (const commandLine of [
		['status'],
		['burn'],
		['explain'],
		['orders', 'list'],
		['document', 'check', good],
		['document', 'check', bad],
	]) {
		const {stdout} = await daisylever([...commandLine, '--json']);
		assert.equal(typeof JSON.parse(stdout), 'object', commandLine.join(' '));
	}
});

test('settings check reports every error with its line', async () => {
	const settings = file('settings.yaml', 'host: h1\nfailuredomain: a\n');
	const outcome = await daisylever([
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
	const run = await daisylever(['run', '--settings', settings]);
	assert.equal(run.code, 3);
});

test('the burn plot is written to a file', async () => {
	const plot = path.join(directory, 'burn.svg');
	const outcome = await daisylever(['burn', '--svg', plot]);
	assert.equal(outcome.code, 0, outcome.stderr);
	assert.match(readFileSync(plot, 'utf8'), /^<svg/);
});

// Guards against a report that stops at a line that is no event, or takes a wrong option for a value.
test('forward-burn reads logs with foreign lines in them', async () => {
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
	const log = file('host.log', `started\n 1.2 front-1 ${line}\n{"event":1}\n`);
	const shown = await daisylever(['forward-burn', log, '--json']);
	assert.equal(shown.code, 0, shown.stderr);
	const {routes} = JSON.parse(shown.stdout) as {
		routes: Array<{route: string; burnRate: number}>;
	};
	assert.equal(routes[0]?.route, 'r-1');
	assert.ok(Math.abs(routes[0].burnRate - 10) < 1e-9);
	const wrong = await daisylever(['forward-burn', log, '--step', '0']);
	assert.equal(wrong.code, 2);
});
