import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	fitLine,
	isExtrapolated,
	valueAt,
} from '../../src/measure/capacity/slope.js';

// A wrong slope would lead to wrong extrapolated figures on the capacity page.
test('a fit returns the line on which the points lie', () => {
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

// A cost that grows with the square of the size must not pass for a linear one.
test('the deviation is large if the points do not lie on a line', () => {
	const line = fitLine([
		{size: 0, value: 0},
		{size: 10, value: 100},
		{size: 20, value: 400},
	]);
	assert.ok(Math.abs(line.slope - 20) < 1e-9);
	assert.ok(line.deviation > 0.1);
});

// The variance of the sizes, by which the fit divides, is zero if only one size was measured.
test('a fit to a single size has slope zero', () => {
	assert.deepEqual(
		fitLine([
			{size: 8, value: 3},
			{size: 8, value: 5},
		]),
		{base: 4, slope: 0, deviation: 0.2},
	);
	assert.equal(fitLine([]).slope, 0);
});

// An extrapolated figure must not be presented as measured.
test('a size larger than all measured sizes is extrapolated', () => {
	const points = [
		{size: 8, value: 1},
		{size: 32, value: 2},
	];
	assert.equal(isExtrapolated(points, 370), true);
	assert.equal(isExtrapolated(points, 32), false);
});
