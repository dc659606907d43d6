import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ModelId} from '../../src/contracts/ids.js';
import {
	DormancyPolicy,
	canEvictLastReplica,
} from '../../src/core/placement/dormancy-policy.js';

const requested = 'requested' as ModelId;
const unrequested = 'unrequested' as ModelId;

// An owner that treated every model as busy until it had observed it for the idle time would leave idle models in
// memory for seconds while busy models lack replicas.
test('a new placement owner finds idle models from the times that the hosts report', () => {
	const policy = new DormancyPolicy({idleMilliseconds: 2500});
	policy.observe(new Map([[requested, 100]]), 10_000, 50_000);
	assert.ok(!policy.isDormant(requested, 50_000));
	assert.ok(policy.isDormant(unrequested, 50_000));
	policy.observe(new Map([[requested, 2600]]), 12_500, 52_500);
	assert.ok(policy.isDormant(requested, 52_500));
});

// Otherwise models would lose their replicas after a start, before any request could arrive.
test('no model is dormant before the first request', () => {
	const policy = new DormancyPolicy({idleMilliseconds: 2500});
	policy.observe(new Map(), 0, 1_000_000);
	assert.ok(!policy.isDormant(unrequested, 2_000_000));
	policy.observe(new Map([[requested, 0]]), 1, 1_000_000);
	assert.ok(!policy.isDormant(unrequested, 1_002_000));
});

// Otherwise rarely used models would fill all targets while the busiest model waits for a second replica.
test('a rarely used model loses its only replica to a busy model after its minimum residency', () => {
	const rarelyUsed = {requests: 1.5, residentMilliseconds: 3000};
	assert.ok(canEvictLastReplica(rarelyUsed, 20));
	assert.ok(!canEvictLastReplica(rarelyUsed, 10));
	assert.ok(
		!canEvictLastReplica({...rarelyUsed, residentMilliseconds: 1000}, 20),
	);
	assert.ok(!canEvictLastReplica({...rarelyUsed, requests: 0}, 7));
});
