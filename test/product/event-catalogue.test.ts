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

test('event numbers are unique and in the range of their file', () => {
	assert.deepEqual(findCatalogueErrors(files), []);
});

// Guards against an event that operators see in the log but not in the catalogue.
test('docs/events.md lists the events as they are', () => {
	assert.equal(
		readFileSync('docs/events.md', 'utf8'),
		renderCatalogue(files),
		'run "npm run events"',
	);
});

test('faults of the numbering are found', () => {
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
