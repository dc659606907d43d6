import assert from 'node:assert/strict';
import {execFileSync, spawnSync} from 'node:child_process';
import {
	cpSync,
	mkdirSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import path from 'node:path';
import {after, test} from 'node:test';
import {productionCommit} from './production.js';

const buf = path.resolve('node_modules/.bin/buf');
const reportFile = 'daisylever/owner/v1/owner.proto';

mkdirSync('build', {recursive: true});
const workspace = mkdtempSync(path.resolve('build/protocol-form-'));
after(() => {
	rmSync(workspace, {recursive: true, force: true});
});

/** Returns a copy of the message definitions, changed in one file. */
function changedDefinitions(
	name: string,
	change: (text: string) => string,
): string {
	const folder = path.join(workspace, name);
	cpSync('proto', path.join(folder, 'proto'), {recursive: true});
	cpSync('buf.yaml', path.join(folder, 'buf.yaml'));
	const file = path.join(folder, 'proto', reportFile);
	const before = readFileSync(file, 'utf8');
	const text = change(before);
	assert.notEqual(text, before, 'the change must apply');
	writeFileSync(file, text);
	return folder;
}

/** Compares message definitions with those in production. */
function compare(folder: string): {
	readonly status: number | null;
	readonly output: string;
} {
	const repository = execFileSync(
		'git',
		['rev-parse', '--path-format=absolute', '--git-common-dir'],
		{encoding: 'utf8'},
	).trim();
	const {status, stdout, stderr} = spawnSync(
		buf,
		[
			'breaking',
			folder,
			'--against',
			`${repository}#ref=${productionCommit()}`,
		],
		{encoding: 'utf8'},
	);
	return {status, output: stdout + stderr};
}

// Guards against messages that a host of the build in production reads as something else.
test('the messages between hosts break none of the build in production', () => {
	const {status, output} = compare('.');
	assert.equal(status, 0, output);
});

const breakingChanges: ReadonlyArray<
	readonly [name: string, change: (text: string) => string, finding: RegExp]
> = [
	[
		'a field number with another type',
		(text) => text.replace('string host = 1;', 'uint64 host = 1;'),
		/changed type from "string" to "uint64"/,
	],
	[
		'a field that is taken away',
		(text) => text.replace('  repeated string members = 9;\n', ''),
		/field "9".*was deleted/,
	],
	[
		'a number that was reserved',
		(text) => text.replace('  reserved 2;\n', '  string reused = 2;\n'),
		/reserved/,
	],
	[
		'a call that is taken away',
		(text) =>
			text.replace(
				'  rpc FindStream(FindStreamRequest) returns (FindStreamResponse);\n',
				'',
			),
		/RPC "FindStream".*was deleted/,
	],
];

// Guards against a comparison that passes whatever is changed, such as one with the same files.
for (const [name, change, finding] of breakingChanges) {
	test(`the comparison with the build in production finds ${name}`, () => {
		const {status, output} = compare(
			changedDefinitions(name.replaceAll(' ', '-'), change),
		);
		assert.notEqual(status, 0);
		assert.match(output, finding);
	});
}

// Guards against a comparison that would refuse what is allowed.
test('the comparison with the build in production allows a new field', () => {
	const {status, output} = compare(
		changedDefinitions('a-new-field', (text) =>
			text.replace(
				'bool wants_version_report = 30;',
				'bool wants_version_report = 30;\n  string added = 1000;',
			),
		),
	);
	assert.equal(status, 0, output);
});

// Guards against a clone without the history, in which the comparison would be left out or fail for no stated reason.
test('a production commit that the clone lacks is named in the error', () => {
	const commit = '0123456789abcdef0123456789abcdef01234567';
	const file = path.join(workspace, 'PRODUCTION');
	writeFileSync(file, `${commit}\n`);
	assert.throws(
		() => productionCommit(file),
		new RegExp(`${commit}.*is missing in this clone`),
	);
	writeFileSync(file, 'main\n');
	assert.throws(() => productionCommit(file), /must contain the full id/);
});
