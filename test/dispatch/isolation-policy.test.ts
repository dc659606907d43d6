import assert from 'node:assert/strict';
import {test} from 'node:test';
import {IsolationPolicy} from '../../src/core/routing/isolation-policy.js';
import {type RequestId, type TargetId} from '../../src/contracts/ids.js';
import {type TargetLoad} from '../../src/core/routing/target-load-tracker.js';

const first = 'first' as RequestId;
const second = 'second' as RequestId;
const target = 'target' as TargetId;

function load(localOutstanding: number): TargetLoad {
	return {
		target,
		slots: 4,
		leaving: false,
		localOutstanding,
		localLong: 0,
		remoteOutstanding: 0,
	};
}

// Guards against a deadlock of a suspect at the head of the queue and one behind it that holds the reservation: the
// queue never offers the one behind.
test('a suspect takes over the reservation of another one that is still waiting', () => {
	const policy = new IsolationPolicy();
	assert.equal(policy.reserveTarget(first, [load(1)]), undefined);
	assert.equal(policy.reservedTarget, target);
	assert.equal(policy.reserveTarget(second, [load(0)]), target);
	policy.release(first);
	assert.ok(
		!policy.isAvailable(target),
		'the second suspect runs alone on the target',
	);
	policy.release(second);
	assert.ok(policy.isAvailable(target));
});

// Guards against two suspects on one target, where a crash would also quarantine the harmless one.
test('a suspect waits while another one is running', () => {
	const policy = new IsolationPolicy();
	assert.equal(policy.reserveTarget(first, [load(0)]), target);
	assert.equal(policy.reserveTarget(second, [load(0)]), undefined);
	policy.release(first);
	assert.equal(policy.reserveTarget(second, [load(0)]), target);
});

// Guards against a reservation that outlives the last suspect in the queue.
test('a target becomes available again when the suspect waiting for it leaves the queue', () => {
	const policy = new IsolationPolicy();
	assert.equal(policy.reserveTarget(first, [load(1)]), undefined);
	assert.equal(policy.reserveTarget(second, [load(1)]), undefined);
	policy.release(second);
	policy.release(first);
	assert.ok(policy.isAvailable(target));
});
