import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EventStreamSplitter} from '../../src/core/streams/event-stream-splitter.js';

const events = [
	'id: 1\ndata: a\n\n',
	'id: 2\r\ndata: b\r\n\r\n',
	'versions: 3\nid: 3\ndata: c\n\n',
	'data: without a number\n\n',
	'id: 40\ndata: d\n\n',
];

// Guards against events that are split or merged at the boundaries of network reads.
test('the events do not depend on how the bytes are split into chunks', () => {
	const bytes = Buffer.from(events.join(''));
	fc.assert(
		fc.property(
			fc.array(fc.integer({min: 0, max: bytes.length}), {maxLength: 20}),
			(cuts) => {
				const positions = [0, ...cuts.sort((a, b) => a - b), bytes.length];
				const splitter = new EventStreamSplitter();
				const found = positions
					.slice(1)
					.flatMap((end, index) =>
						splitter.push(bytes.subarray(positions[index], end)),
					);
				assert.deepEqual(
					found.map((event) => event.bytes.toString()),
					events,
				);
				assert.deepEqual(
					found.map(({id}) => id),
					[1, 2, 3, undefined, 40],
				);
				assert.equal(splitter.remainder.length, 0);
			},
		),
		{seed: 1, numRuns: 300},
	);
});

// Guards against forwarding the beginning of an event, which a resumed stream would repeat.
test('an incomplete event is held back', () => {
	const splitter = new EventStreamSplitter();
	const found = splitter.push(Buffer.from(`${events[0]}id: 2\nda`));
	assert.equal(found.length, 1);
	assert.equal(splitter.remainder.toString(), 'id: 2\nda');
});
