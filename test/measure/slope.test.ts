import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	fitLine,
	isExtrapolated,
	valueAt,
} from '../../src/measure/capacity/slope.js';

// Guards against a capacity page that multiplies by a wrong slope.
test('a fit finds the line that the points lie on', () => {
	fc.assert(
		fc.property(
			fc.integer({min: -1000, max: 1000}),
			fc.integer({min: -1000, max: 1000}),
			fc.uniqueArray(fc.integer({min: 0, max: 1000}), {
				minLength: 2,
				maxLength: 8,
			}),
			(base, slope, sizes) => {
				const line = fitLine(
					sizes.map((size) => ({size, value: base + slope * size})),
				);
				assert.ok(Math.abs(line.slope - slope) < 1e-6);
				assert.ok(Math.abs(valueAt(line, 370) - base - slope * 370) < 1e-3);
				assert.ok(line.deviation < 1e-6);
			},
		),
		{seed: 1},
	);
});

// Guards against a straight line being read into a cost that grows with the square of the size.
test('the deviation shows that points do not lie on a line', () => {
	const line = fitLine([
		{size: 0, value: 0},
		{size: 10, value: 100},
		{size: 20, value: 400},
	]);
	assert.ok(Math.abs(line.slope - 20) < 1e-9);
	assert.ok(line.deviation > 0.1);
});

// Guards against a division by zero when only one size could be measured.
test('a single size has no slope', () => {
	assert.deepEqual(
		fitLine([
			{size: 8, value: 3},
			{size: 8, value: 5},
		]),
		{base: 4, slope: 0, deviation: 0.2},
	);
	assert.equal(fitLine([]).slope, 0);
});

// Guards against an extrapolated figure that is presented as measured.
test('a size beyond all points is extrapolated', () => {
	const points = [
		{size: 8, value: 1},
		{size: 32, value: 2},
	];
	assert.equal(isExtrapolated(points, 370), true);
	assert.equal(isExtrapolated(points, 32), false);
});
