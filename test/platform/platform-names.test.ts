import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {headerNames, paths, topics} from '../../src/platform/wire.js';

/** Names of web standards, and one that this system's own engine protocol had before. */
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

// Guards against the platform's names spreading through the product.
test('only src/platform knows the names of the platform', async () => {
	const names = [
		...Object.values(headerNames),
		...Object.values(paths),
		...Object.values(topics),
		'allow_resume',
		'lora_slots',
		'weights_mb',
		'cold_left_ms',
	].filter(
		// One word, such as a path or header that says the same anywhere, names nothing of the platform.
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
				`${file} knows ${name}`,
			);
		}
	}
});

// Guards against an adapter that grows decisions of its own.
test('the adapter stays small and imports no decisions', async () => {
	let lines = 0;
	for (const file of await sourceFiles(path.join('src', 'platform'))) {
		const text = await readFile(file, 'utf8');
		lines += text.split('\n').length;
		assert.doesNotMatch(text, /from '\.\.\/(?:core|services|program)\//, file);
	}

	assert.ok(lines < 1500, `${lines} lines`);
});
