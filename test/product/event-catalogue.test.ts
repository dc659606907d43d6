import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {
	findCatalogueErrors,
	loadEventFiles,
	renderCatalogue,
} from '../../src/program/event-catalogue.js';

const files = await loadEventFiles(
	'src/contracts/events',
	new URL('../../src/contracts/events/', import.meta.url),
);

test('event numbers and names are unique, and numbers are in the range of their file', () => {
	assert.deepEqual(findCatalogueErrors(files), []);
});

// Each event that operators see in the log must be in the catalogue.
test('docs/events.md equals the catalogue rendered from the event definitions', () => {
	assert.equal(
		readFileSync('docs/events.md', 'utf8'),
		renderCatalogue(files),
		'run "npm run events"',
	);
});

test('a number out of range, a duplicate number and a file without a range are reported', () => {
	const event = {
		number: 1001,
		name: 'lease-lost',
		level: 'info',
		description: 'A lease was lost.',
	} as const;
	assert.deepEqual(
		findCatalogueErrors([
			{name: 'agreement-events', events: [event]},
			{name: 'target-events', events: [{...event, name: 'target-lost'}]},
			{name: 'other-events', events: []},
		]),
		[
			'1001 target-lost of target-events is not between 2000 and 2999',
			'1001 is both lease-lost and target-lost',
			'other-events has no range in src/program/event-catalogue.ts',
		],
	);
});
