import assert from 'node:assert/strict';
import {test} from 'node:test';
import {UnservedDemand} from '../../src/core/placement/unserved-demand.js';

function createDemand(): UnservedDemand<string> {
	return new UnservedDemand({
		lifetimeMilliseconds: 10_000,
		reportFromMilliseconds: 1000,
	});
}

// Guards against a wait that begins anew with each request of callers that come back seconds after a refusal.
test('a wait goes on between requests and ends when a target offers the item', () => {
	const demand = createDemand();
	demand.observe(['a'], () => false, 0);
	demand.observe([], () => false, 4000);
	demand.observe(['a'], () => false, 8000);
	assert.equal(demand.waitedMilliseconds('a', 8000), 8000);
	assert.deepEqual(
		demand.observe([], () => true, 8500),
		[{key: 'a', waitedMilliseconds: 8500}],
	);
	assert.equal(demand.waitedMilliseconds('a', 9000), 0);
});

test('a wait is forgotten when nothing asks for the item any more', () => {
	const demand = createDemand();
	demand.observe(['a'], () => false, 0);
	demand.observe([], () => false, 9999);
	assert.ok(demand.isWaiting('a'));
	demand.observe([], () => false, 10_000);
	assert.ok(!demand.isWaiting('a'));
});

// Guards against a log that grows with the length of a wait.
test('a wait is reported after the first interval and each time it has doubled', () => {
	const demand = createDemand();
	const reportedAt: number[] = [];
	for (let now = 0; now <= 20_000; now += 100) {
		demand.observe(['a'], () => false, now);
		if (demand.takeOverdue(now).length > 0) {
			reportedAt.push(now);
		}
	}

	assert.deepEqual(reportedAt, [1000, 2000, 4000, 8000, 16_000]);
	assert.equal(demand.countOverdue(20_000), 1);
});

test('an item that a target offers already is no wait', () => {
	const demand = createDemand();
	demand.observe(['a'], () => true, 0);
	assert.ok(!demand.isWaiting('a'));
});
