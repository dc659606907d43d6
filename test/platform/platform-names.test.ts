import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {headerNames, paths, topics} from '../../src/platform/wire.js';

/** Names of web standards, and `Not-Run`, which the engine protocol of this program used before the platform did. */
const sharedNames = new Set<string>([
	'Retry-After',
	'Last-Event-Id',
	'Not-Run',
]);

async function sourceFiles(directory: string): Promise<string[]> {
	const entries = await readdir(directory, {
		recursive: true,
		withFileTypes: true,
	});
	return entries
		.filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
		.map((entry) => path.join(entry.parentPath, entry.name));
}

test('names of the platform occur only in src/platform', async () => {
	const names = [
		...Object.values(headerNames),
		...Object.values(paths),
		...Object.values(topics),
		'allow_resume',
		'lora_slots',
		'weights_mb',
		'cold_left_ms',
	].filter(
		// A single word, such as `/order` or `Model`, is not specific to the platform.
		(name) => /[-_.]/.test(name) && !sharedNames.has(name),
	);
	for (const file of await sourceFiles('src')) {
		if (file.startsWith(path.join('src', 'platform') + path.sep)) {
			continue;
		}

		const text = await readFile(file, 'utf8');
		for (const name of names) {
			assert.ok(
				!text.toLowerCase().includes(`'${name.toLowerCase()}'`),
				`${file} contains the platform name ${name}`,
			);
		}
	}
});

// The adapter converts formats only; decisions belong to the core and the services.
test('the platform adapter stays small and imports no decision logic', async () => {
	let lines = 0;
	for (const file of await sourceFiles(path.join('src', 'platform'))) {
		const text = await readFile(file, 'utf8');
		lines += text.split('\n').length;
		assert.doesNotMatch(text, /from '\.\.\/(?:core|services|program)\//, file);
	}

	assert.ok(lines < 1500, `src/platform has ${lines} lines`);
});
