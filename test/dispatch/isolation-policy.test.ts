import assert from 'node:assert/strict';
import {test} from 'node:test';
import {IsolationPolicy} from '../../src/core/isolation-policy.js';
import {type RequestId, type TargetId} from '../../src/contracts/ids.js';
import {type TargetLoad} from '../../src/core/target-load-tracker.js';

const first = 'first' as RequestId;
const second = 'second' as RequestId;
const target = 'target' as TargetId;

function load(ownOutstanding: number): TargetLoad {
	return {
		target,
		slots: 4,
		leaving: false,
		localOutstanding: ownOutstanding,
		localLong: 0,
		remoteOutstanding: 0,
	};
}

// Guards against a suspect at the head of the queue that waits for another one behind it, which is never asked about.
test('a suspect takes over the target that another one only waits for', () => {
	const policy = new IsolationPolicy();
	assert.equal(policy.reserveTarget(first, [load(1)]), undefined);
	assert.equal(policy.reservedTarget, target);
	assert.equal(policy.reserveTarget(second, [load(0)]), target);
	policy.release(first);
	assert.ok(!policy.isAvailable(target), 'the second one runs there alone');
	policy.release(second);
	assert.ok(policy.isAvailable(target));
});

// Guards against two suspects on one target, of which the harmless one would be quarantined too.
test('a suspect waits while another one runs', () => {
	const policy = new IsolationPolicy();
	assert.equal(policy.reserveTarget(first, [load(0)]), target);
	assert.equal(policy.reserveTarget(second, [load(0)]), undefined);
	policy.release(first);
	assert.equal(policy.reserveTarget(second, [load(0)]), target);
});

// Guards against a target that stays closed after the last suspect left the queue.
test('a target opens again when the suspect that waits for it leaves', () => {
	const policy = new IsolationPolicy();
	assert.equal(policy.reserveTarget(first, [load(1)]), undefined);
	assert.equal(policy.reserveTarget(second, [load(1)]), undefined);
	policy.release(second);
	policy.release(first);
	assert.ok(policy.isAvailable(target));
});
