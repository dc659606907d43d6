import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ModelId} from '../../src/contracts/ids.js';
import {
	DormancyPolicy,
	canEvictLastReplica,
} from '../../src/core/dormancy-policy.js';

const asked = 'asked' as ModelId;
const unasked = 'unasked' as ModelId;

// Guards against a new owner of placement that holds all models for busy until it has watched them itself: idle
// models then keep their places for seconds while the busy ones lack copies.
test('a new owner knows idle models from what the hosts tell', () => {
	const policy = new DormancyPolicy({idleMilliseconds: 2500});
	policy.observe(new Map([[asked, 100]]), 10_000, 50_000);
	assert.ok(!policy.isDormant(asked, 50_000));
	assert.ok(policy.isDormant(unasked, 50_000));
	policy.observe(new Map([[asked, 2600]]), 12_500, 52_500);
	assert.ok(policy.isDormant(asked, 52_500));
});

// Guards against models that lose their copies after a start, before anybody could ask for them.
test('no model is dormant before the first request', () => {
	const policy = new DormancyPolicy({idleMilliseconds: 2500});
	policy.observe(new Map(), 0, 1_000_000);
	assert.ok(!policy.isDormant(unasked, 2_000_000));
	policy.observe(new Map([[asked, 0]]), 1, 1_000_000);
	assert.ok(!policy.isDormant(unasked, 1_002_000));
});

// Guards against rare models that fill all places while the busiest model waits for a second copy.
test('a rare model gives its only copy to one that outweighs it, after its time', () => {
	const rare = {requests: 1.5, residentMilliseconds: 3000};
	assert.ok(canEvictLastReplica(rare, 20));
	assert.ok(!canEvictLastReplica(rare, 10));
	assert.ok(!canEvictLastReplica({...rare, residentMilliseconds: 1000}, 20));
	assert.ok(!canEvictLastReplica({...rare, requests: 0}, 7));
});
