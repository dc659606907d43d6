import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {type ModelId, type TargetId} from '../../src/contracts/ids.js';
import {SlowdownEstimator} from '../../src/core/routing/slowdown-estimator.js';

const fast = 'fast-model' as ModelId;
const slow = 'slow-model' as ModelId;
const [a, b] = ['a', 'b'] as TargetId[];

/** Records gaps of constant length for each model, which become its baseline. */
function observeBaseline(
	estimator: SlowdownEstimator,
	clock: ManualClock,
): void {
	for (let event = 0; event < 200; event++) {
		clock.advance(10);
		estimator.observe(a!, fast, 20);
		estimator.observe(b!, slow, 60);
	}
}

// Guards against mistaking a target that runs a slow model for a slow target.
test('a target is compared with the baseline of its models', () => {
	const clock = new ManualClock();
	const estimator = new SlowdownEstimator({clock});
	observeBaseline(estimator, clock);
	assert.ok(Math.abs(estimator.slowdown(a!) - 1) < 0.1);
	assert.ok(Math.abs(estimator.slowdown(b!) - 1) < 0.1);
});

// Guards against sending requests to a machine that noisy neighbours slow down for half a second.
test('a slowdown is detected within a few events and decays within a few more', () => {
	const clock = new ManualClock();
	const estimator = new SlowdownEstimator({clock});
	observeBaseline(estimator, clock);
	for (let event = 0; event < 8; event++) {
		clock.advance(10);
		estimator.observe(a!, fast, 50);
	}

	assert.ok(estimator.slowdown(a!) > 1.4, String(estimator.slowdown(a!)));
	assert.ok(estimator.slowdown(b!) < 1.1);
	for (let event = 0; event < 40; event++) {
		clock.advance(10);
		estimator.observe(a!, fast, 20);
	}

	assert.ok(estimator.slowdown(a!) < 1.1, String(estimator.slowdown(a!)));
});

// Guards against a single long prompt that excludes a target.
test('one long gap among normal ones has little effect', () => {
	const clock = new ManualClock();
	const estimator = new SlowdownEstimator({clock});
	observeBaseline(estimator, clock);
	estimator.observe(a!, fast, 5000);
	assert.ok(estimator.slowdown(a!) < 1.4, String(estimator.slowdown(a!)));
	assert.equal(estimator.slowdown('unknown' as TargetId), 1);
});
