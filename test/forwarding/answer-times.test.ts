import assert from 'node:assert/strict';
import {test} from 'node:test';
import {AnswerTimes} from '../../src/core/burn/answer-times.js';

// Guards against an estimate that is made up before there is an answer, or that does not follow a slowdown.
test('the usual time follows the answers of its key', () => {
	const times = new AnswerTimes();
	assert.equal(times.usualMilliseconds('a', 4), undefined);
	for (let index = 0; index < 50; index++) {
		times.record('a', 100);
	}

	assert.equal(times.usualMilliseconds('b', 4), undefined);
	const before = times.usualMilliseconds('a', 4)!;
	assert.ok(before >= 100 && before < 110, String(before));
	for (let index = 0; index < 5; index++) {
		times.record('a', 1000);
	}

	assert.ok(times.usualMilliseconds('a', 4)! > 1000);
	assert.ok(
		times.usualMilliseconds('a', 2)! < times.usualMilliseconds('a', 4)!,
	);
});
