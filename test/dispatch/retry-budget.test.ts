import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {RetryBudget} from '../../src/core/limits/retry-budget.js';

const step = fc.oneof(
	fc.constant({kind: 'first'} as const),
	fc.constant({kind: 'take'} as const),
	fc.record({kind: fc.constant('wait' as const), milliseconds: fc.nat(3000)}),
);

// Guards against retries that amplify an overload: extra attempts must not exceed the initial balance plus what the
// ratio and the minimum rate add.
test('extra attempts stay within the budget and are refused only when it is exhausted', () => {
	fc.assert(
		fc.property(fc.array(step, {maxLength: 200}), (steps) => {
			const clock = new ManualClock();
			const budget = new RetryBudget({clock, capacity: 5});
			let balance = 1;
			for (const each of steps) {
				if (each.kind === 'wait') {
					clock.advance(each.milliseconds);
					balance = Math.min(5, balance + each.milliseconds / 1000);
				} else if (each.kind === 'first') {
					budget.recordFirstAttempt();
					balance = Math.min(5, balance + 0.1);
				} else {
					const taken = budget.tryAcquire();
					// The budget adds in another order, so rounding may change the result, but only near a balance of 1.
					if (Math.abs(balance - 1) > 1e-6) {
						assert.equal(taken, balance >= 1);
					}

					balance -= taken ? 1 : 0;
				}
			}
		}),
		{seed: 20, numRuns: 500},
	);
});

// Guards against a fleet whose hosts each keep the retries of a small fleet: the sum over all hosts would exceed the
// budget that they share.
test('lower limits apply to what was saved before', () => {
	const clock = new ManualClock();
	const budget = new RetryBudget({clock, capacity: 20, minimumPerSecond: 10});
	clock.advance(5000);
	assert.equal(budget.available, 20);
	budget.setLimits({ratio: 0.1, minimumPerSecond: 1, capacity: 3});
	assert.equal(budget.available, 3);
	clock.advance(60_000);
	assert.equal(budget.available, 3);
});
