import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {type ModelId, type TargetId} from '../../src/contracts/ids.js';
import {SlowdownEstimator} from '../../src/core/slowdown-estimator.js';

const fast = 'fast-model' as ModelId;
const slow = 'slow-model' as ModelId;
const [a, b] = ['a', 'b'] as TargetId[];

/** Streams with their usual pauses on both targets. */
function usualWork(pace: SlowdownEstimator, clock: ManualClock): void {
	for (let event = 0; event < 200; event++) {
		clock.advance(10);
		pace.observe(a!, fast, 20);
		pace.observe(b!, slow, 60);
	}
}

// Guards against targets of slow models being taken for slow targets.
test('a target is compared with what is usual for its models', () => {
	const clock = new ManualClock();
	const pace = new SlowdownEstimator({clock});
	usualWork(pace, clock);
	assert.ok(Math.abs(pace.slowdown(a!) - 1) < 0.1);
	assert.ok(Math.abs(pace.slowdown(b!) - 1) < 0.1);
});

// Guards against work that is sent to a machine whose neighbours slow it down for half a second.
test('a slow moment shows within a few events and passes as fast', () => {
	const clock = new ManualClock();
	const pace = new SlowdownEstimator({clock});
	usualWork(pace, clock);
	for (let event = 0; event < 8; event++) {
		clock.advance(10);
		pace.observe(a!, fast, 50);
	}

	assert.ok(pace.slowdown(a!) > 1.4, String(pace.slowdown(a!)));
	assert.ok(pace.slowdown(b!) < 1.1);
	for (let event = 0; event < 40; event++) {
		clock.advance(10);
		pace.observe(a!, fast, 20);
	}

	assert.ok(pace.slowdown(a!) < 1.1, String(pace.slowdown(a!)));
});

// Guards against a single long prompt that takes a target out.
test('one long pause among usual ones decides little', () => {
	const clock = new ManualClock();
	const pace = new SlowdownEstimator({clock});
	usualWork(pace, clock);
	pace.observe(a!, fast, 5000);
	assert.ok(pace.slowdown(a!) < 1.4, String(pace.slowdown(a!)));
	assert.equal(pace.slowdown('unknown' as TargetId), 1);
});
