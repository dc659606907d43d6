import assert from 'node:assert/strict';
import {test} from 'node:test';
import {receivedAge} from '../../src/core/membership/received-age.js';

// Guards against a target list that a host takes for younger than it is (DRAIN): its message was under way for long.
test('the age of received state includes the time that its message may have been under way', () => {
	assert.equal(
		receivedAge({
			ageMilliseconds: 400,
			roundTripMilliseconds: 1250,
			heldMilliseconds: 250,
		}),
		1400,
	);
});

// Guards against the same beside hosts of earlier builds, whose responses do not name the time for which they were held.
test('a response that does not tell for how long it was held counts as written when it was asked for', () => {
	assert.equal(
		receivedAge({
			ageMilliseconds: 400,
			roundTripMilliseconds: 260,
			heldMilliseconds: 0,
		}),
		660,
	);
});

// Guards against ages that shrink by a held time that another clock measured.
test('state is never younger than its sender says', () => {
	assert.equal(
		receivedAge({
			ageMilliseconds: 400,
			roundTripMilliseconds: 249,
			heldMilliseconds: 250,
		}),
		400,
	);
});
