import assert from 'node:assert/strict';
import {test} from 'node:test';
import {formatSoakEvent, type SoakEvent} from './soak-messages.js';
import {StreamChecker} from './stream-checker.js';

const event: SoakEvent = {
	stream: 's',
	execution: 'w.1',
	version: 'v1',
	after: 0,
	index: 1,
	total: 3,
};

function check(
	isResumable: boolean,
	tries: ReadonlyArray<{
		readonly events: ReadonlyArray<Partial<SoakEvent>>;
		readonly rest?: string;
		readonly isComplete: boolean;
	}>,
): string[] {
	const found: string[] = [];
	const checker = new StreamChecker(
		{name: 's', total: 3, isResumable},
		(name) => {
			found.push(name);
		},
	);
	for (const {events, rest, isComplete} of tries) {
		checker.beginTry();
		for (const change of events) {
			checker.push(formatSoakEvent({...event, ...change}));
		}

		checker.push(rest ?? '');
		if (isComplete) {
			checker.complete();
		}
	}

	return found;
}

const one = {index: 1};
const two = {index: 2};
const three = {index: 3};
const other = {execution: 'w.2', after: 2};

// Guards against a soak that passes because its checker sees nothing.
for (const [name, isResumable, tries, expected] of [
	['whole', false, [{events: [one, two, three], isComplete: true}], []],
	['broken', false, [{events: [one, two], isComplete: false}], []],
	[
		'continued in one answer',
		true,
		[{events: [one, two, {...three, ...other}], isComplete: true}],
		[],
	],
	[
		'taken up after a torn event',
		true,
		[
			{events: [one, two], rest: 'id: 3', isComplete: false},
			{events: [{...three, ...other}], isComplete: true},
		],
		[],
	],
	[
		'ended early',
		false,
		[{events: [one, two], isComplete: true}],
		['complete before its last event'],
	],
	[
		'ended within an event',
		false,
		[{events: [one, two, three], rest: 'id', isComplete: true}],
		['complete before its last event'],
	],
	['gap', true, [{events: [one, three], isComplete: false}], ['event missing']],
	[
		'repeated',
		true,
		[{events: [one, two, two], isComplete: false}],
		['event twice'],
	],
	[
		'joined where nothing may be resumed',
		false,
		[{events: [one, two, {...three, ...other}], isComplete: true}],
		['two executions joined'],
	],
	[
		'joined without a resume',
		true,
		[{events: [one, two, {...three, execution: 'w.2'}], isComplete: true}],
		['two executions joined'],
	],
	[
		'two versions',
		true,
		[
			{
				events: [one, two, {...three, ...other, version: 'v2'}],
				isComplete: true,
			},
		],
		['two software versions'],
	],
	[
		'foreign event',
		true,
		[{events: [{stream: 'other'}], isComplete: false}],
		['event of another stream'],
	],
	[
		'unreadable event',
		true,
		[{events: [], rest: 'id: 1\ndata: ?\n\n', isComplete: false}],
		['unreadable event'],
	],
] as const) {
	test(`the checker judges a stream: ${name}`, () => {
		assert.deepEqual(check(isResumable, tries), expected);
	});
}
