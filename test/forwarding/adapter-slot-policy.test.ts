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
} from '../../src/core/adapter-slot-policy.js';

const model = 'm' as ModelId;

function name(adapter: string): AdapterReference {
	return {model, adapter: adapter as AdapterId};
}

function target(id: string, held: readonly string[]): AdapterTarget {
	return {
		id: id as TargetId,
		adapterSlots: 2,
		models: new Set([model]),
		chargedAdapters: held.map((adapter) => name(adapter)),
		load: 0,
	};
}

function make(): AdapterSlotPolicy {
	return new AdapterSlotPolicy({
		idleMilliseconds: 100,
		secondReplicaRequests: 12,
	});
}

function requests(
	...adapters: ReadonlyArray<readonly [string, number]>
): Map<string, number> {
	return new Map(
		adapters.map(([adapter, count]) => [adapterKey(name(adapter)), count]),
	);
}

// Guards against places that are filled beyond their number.
test('a free place comes first, and a full target gets no load', () => {
	const places = make();
	places.observe(requests(['a', 1], ['b', 1], ['c', 1]), 0);
	assert.deepEqual(
		places.nextStep(name('c'), [target('x', ['a', 'b']), target('y', [])], 0),
		{action: 'load', target: 'y', adapter: name('c')},
	);
	assert.equal(
		places.nextStep(name('c'), [target('x', ['a', 'b'])], 50),
		undefined,
	);
});

// Guards against adapters of a busy model that never get a place because the others are asked for now and then.
test('an adapter without a request makes room, the longest unused first', () => {
	const places = make();
	places.observe(requests(['a', 1], ['b', 1]), 0);
	places.observe(requests(['b', 1], ['c', 1]), 100);
	const step = places.nextStep(name('c'), [target('x', ['a', 'b'])], 150);
	assert.deepEqual(step, {action: 'unload', target: 'x', adapter: name('a')});
});

// Guards against an adapter that is loaded twice, or on a target without its model.
test('one copy is enough until many ask for it', () => {
	const places = make();
	places.observe(requests(['a', 3]), 0);
	const targets = [target('x', ['a']), target('y', [])];
	assert.equal(places.nextStep(name('a'), targets, 0), undefined);
	places.observe(requests(['a', 12]), 0);
	assert.equal(places.nextStep(name('a'), targets, 0)?.target, 'y');
	const other = {...target('z', []), models: new Set<ModelId>()};
	assert.equal(places.nextStep(name('b'), [other], 0), undefined);
});
