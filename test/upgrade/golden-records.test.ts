import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readdirSync, readFileSync, rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {after, test} from 'node:test';
import {readGolden} from './golden-records.js';
import {buildProgramOf} from './production-build.js';
import {productionCommit} from './production.js';

const commit = productionCommit();
const sources = path.dirname(buildProgramOf(commit));
const workspace = mkdtempSync(path.resolve('build/golden-records-'));
after(() => {
	rmSync(workspace, {recursive: true, force: true});
});

// Guards against golden records that were changed by hand or written by another build, so that the tests that read them
// prove nothing of the build in production.
test('the golden records are what the build in production writes', () => {
	execFileSync(
		process.execPath,
		['--import', 'tsx', 'scripts/write-golden-records.mjs', sources, workspace],
		{stdio: 'pipe'},
	);
	const files = readdirSync(workspace);
	assert.equal(files.length, 5);
	for (const file of files) {
		const written: unknown = JSON.parse(
			readFileSync(path.join(workspace, file), 'utf8'),
		);
		assert.deepEqual(
			readGolden(commit.slice(0, 7), path.basename(file, '.json')),
			written,
			file,
		);
	}
});
