import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type AdapterId,
	type ModelId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {
	adapterKey,
	AdapterSlotPolicy,
	type AdapterReference,
	type AdapterTarget,
} from '../../src/core/placement/adapter-slot-policy.js';

const model = 'm' as ModelId;

function adapterReference(adapter: string): AdapterReference {
	return {model, adapter: adapter as AdapterId};
}

function target(id: string, held: readonly string[]): AdapterTarget {
	return {
		id: id as TargetId,
		adapterSlots: 2,
		models: new Set([model]),
		chargedAdapters: held.map((adapter) => adapterReference(adapter)),
		load: 0,
	};
}

function createPolicy(): AdapterSlotPolicy {
	return new AdapterSlotPolicy({
		idleMilliseconds: 100,
		secondReplicaRequests: 12,
	});
}

function requests(
	...adapters: ReadonlyArray<readonly [string, number]>
): Map<string, number> {
	return new Map(
		adapters.map(([adapter, count]) => [
			adapterKey(adapterReference(adapter)),
			count,
		]),
	);
}

test('an adapter is loaded into a free slot and never on a target whose slots are taken', () => {
	const policy = createPolicy();
	policy.observe(requests(['a', 1], ['b', 1], ['c', 1]), 0);
	assert.deepEqual(
		policy.nextStep(
			adapterReference('c'),
			[target('x', ['a', 'b']), target('y', [])],
			0,
		),
		{action: 'load', target: 'y', adapter: adapterReference('c')},
	);
	assert.equal(
		policy.nextStep(adapterReference('c'), [target('x', ['a', 'b'])], 50),
		undefined,
	);
});

// Without eviction after a short idle time, occasional requests for the loaded adapters would keep all slots taken, and
// the other adapters of a busy model would never be loaded.
test('the adapter that was idle longest is evicted when all slots are taken', () => {
	const policy = createPolicy();
	policy.observe(requests(['a', 1], ['b', 1]), 0);
	policy.observe(requests(['b', 1], ['c', 1]), 100);
	const step = policy.nextStep(
		adapterReference('c'),
		[target('x', ['a', 'b'])],
		150,
	);
	assert.deepEqual(step, {
		action: 'unload',
		target: 'x',
		adapter: adapterReference('a'),
	});
});

test('a second replica needs many requests, and an adapter never goes to a target without its model', () => {
	const policy = createPolicy();
	policy.observe(requests(['a', 3]), 0);
	const targets = [target('x', ['a']), target('y', [])];
	assert.equal(policy.nextStep(adapterReference('a'), targets, 0), undefined);
	policy.observe(requests(['a', 12]), 0);
	assert.equal(policy.nextStep(adapterReference('a'), targets, 0)?.target, 'y');
	const other = {...target('z', []), models: new Set<ModelId>()};
	assert.equal(policy.nextStep(adapterReference('b'), [other], 0), undefined);
});

// Guards against an adapter that nobody can use: its target has lost the model, and the load order may still arrive.
test('a target without the model does not count as one that holds its adapter', () => {
	const policy = createPolicy();
	policy.observe(new Map([[adapterKey(adapterReference('a')), 1]]), 0);
	const former = {...target('x', ['a']), models: new Set<ModelId>()};
	assert.deepEqual(
		policy.nextStep(adapterReference('a'), [former, target('y', [])], 0),
		{action: 'load', target: 'y', adapter: adapterReference('a')},
	);
});
