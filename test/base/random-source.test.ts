import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../src/base/common/random-source.js';

test('two random sources with the same seed yield the same numbers', () => {
	const first = new SeededRandomSource(7);
	const second = new SeededRandomSource(7);
	const numbers = Array.from({length: 100}, () => first.next());
	assert.deepEqual(
		numbers,
		numbers.map(() => second.next()),
	);
	assert.ok(numbers.every((number) => number >= 0 && number < 1));
	assert.ok(new Set(numbers).size > 90);
});
