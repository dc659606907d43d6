import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdirSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {after, test} from 'node:test';
import {fileOfCommit, productionCommit} from './production.js';

mkdirSync('build', {recursive: true});
const workspace = mkdtempSync(path.resolve('build/settings-form-'));
after(() => {
	rmSync(workspace, {recursive: true, force: true});
});

/** Fills in the fields of the settings file as the platform does. */
function render(template: string): string {
	return template.replaceAll(/{{([\w.]+)}}/g, (_field, name: string) => {
		if (name === 'ip') {
			return '127.0.0.1';
		}

		if (name === 'port_range.0') {
			return '7000';
		}

		if (name === 'node_name' || name === 'zone') {
			return 'name';
		}

		return name.startsWith('listen.') || name === 'platform.addr'
			? '127.0.0.1:80'
			: '1';
	});
}

// Guards against hosts that do not start after an upgrade, because the settings file stayed as it was.
test('the settings file in production is valid for the present build', () => {
	const file = path.join(workspace, 'settings.yaml');
	writeFileSync(
		file,
		render(fileOfCommit(productionCommit(), 'deploy/settings.yaml')),
	);
	const {status, stdout, stderr} = spawnSync(
		process.execPath,
		['build/src/program/main.js', 'forward', '--check', '--settings', file],
		{encoding: 'utf8'},
	);
	assert.equal(status, 0, stdout + stderr);
});
