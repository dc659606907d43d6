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
	type AdapterRequests,
	type AdapterTarget,
} from '../../src/core/adapter-slot-policy.js';

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
		retiringAdapters: new Set(),
		heldMilliseconds: () => 0,
		load: 0,
	};
}

function createPolicy(): AdapterSlotPolicy {
	return new AdapterSlotPolicy({
		idleMilliseconds: 100,
		secondReplicaRequests: 12,
		minimumTenureMilliseconds: 1000,
		retirementWaitMilliseconds: 300,
		maximumWaitMilliseconds: 4000,
	});
}

function requests(
	...adapters: ReadonlyArray<readonly [string, number]>
): Map<string, AdapterRequests> {
	return new Map(
		adapters.map(([adapter, total]) => [
			adapterKey(adapterReference(adapter)),
			{total, waiting: 0},
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
			0,
		),
		{action: 'load', target: 'y', adapter: adapterReference('c')},
	);
	assert.equal(
		policy.nextStep(adapterReference('c'), [target('x', ['a', 'b'])], 50, 0),
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
		0,
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
	assert.equal(
		policy.nextStep(adapterReference('a'), targets, 0, 0),
		undefined,
	);
	policy.observe(requests(['a', 12]), 0);
	assert.equal(
		policy.nextStep(adapterReference('a'), targets, 0, 0)?.target,
		'y',
	);
	const other = {...target('z', []), models: new Set<ModelId>()};
	assert.equal(
		policy.nextStep(adapterReference('b'), [other], 0, 0),
		undefined,
	);
});

// Guards against a slot that its adapter keeps for as long as requests for it go on, while another one is never loaded.
test('an adapter in use is retired for one that has waited, the longest held first', () => {
	const policy = createPolicy();
	policy.observe(requests(['a', 1], ['b', 1], ['c', 1]), 0);
	const full: AdapterTarget = {
		...target('x', ['a', 'b']),
		heldMilliseconds: ({adapter}) => (adapter === 'a' ? 2000 : 3000),
	};
	const next = (waitedMilliseconds: number, changed: AdapterTarget = full) =>
		policy.nextStep(adapterReference('c'), [changed], 0, waitedMilliseconds);
	assert.equal(next(299), undefined);
	assert.deepEqual(next(300), {
		action: 'retire',
		target: 'x',
		adapter: adapterReference('b'),
	});
	const key = adapterKey(adapterReference('b'));
	const retiring = {...full, retiringAdapters: new Set([key])};
	assert.equal(next(4000, retiring), undefined, 'one makes room already');
});

test('an adapter keeps its slot for its tenure, and longer against one with fewer requests', () => {
	const policy = createPolicy();
	policy.observe(requests(['a', 10], ['b', 10], ['c', 1]), 0);
	const next = (heldMilliseconds: number, waitedMilliseconds: number) =>
		policy.nextStep(
			adapterReference('c'),
			[
				{
					...target('x', ['a', 'b']),
					heldMilliseconds: () => heldMilliseconds,
				},
			],
			0,
			waitedMilliseconds,
		)?.action;
	assert.equal(next(999, 10_000), undefined);
	assert.equal(next(1000, 2999), undefined);
	assert.equal(next(1000, 3000), 'retire');
	const popular = createPolicy();
	popular.observe(requests(['a', 1000], ['b', 1000], ['c', 1]), 0);
	assert.equal(
		popular.nextStep(
			adapterReference('c'),
			[{...target('x', ['a', 'b']), heldMilliseconds: () => 1000}],
			0,
			4000,
		)?.action,
		'retire',
	);
});
