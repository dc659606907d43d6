import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ByteBudget} from '../../src/core/limits/byte-budget.js';
import {forwardingSettingsSchema} from '../../src/program/forwarding-settings.js';

const seed = 20_261_205;
const limit = 1000;

// Guards against bytes that are counted twice or never released, after which every answer is refused.
test(`a budget refuses exactly what exceeds it, and is empty when all is released (seed ${seed})`, () => {
	fc.assert(
		fc.property(
			fc.array(fc.record({bytes: fc.nat(400), releases: fc.boolean()})),
			(steps) => {
				const budget = new ByteBudget(limit);
				const held: number[] = [];
				const sum = () => held.reduce((total, bytes) => total + bytes, 0);
				for (const {bytes, releases} of steps) {
					const isAllowed = sum() + bytes <= limit;
					assert.equal(budget.tryTake(bytes), isAllowed);
					if (isAllowed) {
						held.push(bytes);
					}

					if (releases) {
						budget.release(held.pop() ?? 0);
					}

					assert.equal(budget.heldBytes, sum());
				}

				for (const bytes of held) {
					budget.release(bytes);
				}

				assert.equal(budget.heldBytes, 0);
			},
		),
		{seed},
	);
});

// Guards against a host that does not start on a machine whose platform names no memory.
test('the memory of the machine may be absent, empty or zero', () => {
	const listen = '127.0.0.1:80';
	const settings = {
		host: 'h',
		failureDomain: 'z',
		listen: {
			callers: listen,
			readiness: listen,
			peers: listen,
			metrics: listen,
		},
		store: 'a:1',
		retries: {ratio: 0.2, slack: 1, windowSeconds: 1},
		lease: {handoverMilliseconds: 1},
		stopSeconds: 1,
	};
	for (const memoryMegabytes of [undefined, null, 0, 350]) {
		assert.ok(
			forwardingSettingsSchema.safeParse({
				...settings,
				machine: {memoryMegabytes},
			}).success,
		);
	}
});
