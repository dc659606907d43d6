import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {
	type AdapterId,
	type FailureDomain,
	type ModelId,
	type PoolName,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {TargetRegistry} from '../../src/services/forwarding/targets/target-registry.js';

const pool = 'p' as PoolName;
const target = 'a' as TargetId;
const other = 'b' as TargetId;
const model = 'm' as ModelId;
const adapters = ['x', 'y', 'z'] as AdapterId[];

function createRegistry() {
	const clock = new ManualClock();
	const registry = new TargetRegistry({
		clock,
		events: new NullEventLogger(),
	});
	const list = (incarnation: string, id = target, isEmpty = false) => {
		registry.applyChange({
			kind: 'listed',
			target: {
				id,
				pool,
				address: '127.0.0.1:1',
				failureDomain: 'z' as FailureDomain,
				slots: 1,
				isLeaving: false,
				residency: {
					incarnation: incarnation as TargetIncarnation,
					models: isEmpty ? [] : [{model, adapters}],
				},
				localWeights: {inMemory: [], onDisk: []},
			},
		});
	};

	const applyOwnerContents = () => {
		registry.applyContents(
			[
				{
					target,
					incarnation: 'a@1' as TargetIncarnation,
					models: [{model, adapters, isRetiring: false}],
				},
			],
			0,
		);
	};

	list('a@1');
	applyOwnerContents();
	return {clock, registry, list, applyOwnerContents};
}

// Guards against requests that spend all attempts on a target that restarted empty, while the owner still reports its
// former content.
test('a refused model counts as missing although the owner reports it as resident', () => {
	const {clock, registry, applyOwnerContents} = createRegistry();
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
	registry.recordMissing(target, model, undefined);
	applyOwnerContents();
	assert.deepEqual(registry.candidates(pool, model, undefined), []);
	assert.deepEqual(registry.candidates(pool, model, adapters[0]), []);
	clock.advance(1000);
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
});

// Guards against adapters that are loaded and unloaded within milliseconds and make a target unavailable for
// all others.
test('a refused adapter counts as missing only briefly and affects no other adapter', () => {
	const {clock, registry} = createRegistry();
	registry.recordMissing(target, model, adapters[0]);
	registry.recordMissing(target, model, adapters[1]);
	assert.deepEqual(registry.candidates(pool, model, adapters[0]), []);
	assert.deepEqual(registry.candidates(pool, model, adapters[2]), [target]);
	clock.advance(150);
	assert.deepEqual(registry.candidates(pool, model, adapters[0]), [target]);
});

// Guards against a restarted target that gets no work until an earlier refusal expires.
test('the refusals of a target are cleared when a new incarnation is listed', () => {
	const {registry, list} = createRegistry();
	registry.recordMissing(target, model, undefined);
	list('a@2');
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
});

// Guards against a burst of refusals from a target that crashed and restarted empty at its old address.
test('a target whose process has ended counts as empty until a new incarnation is listed', () => {
	const {clock, registry, list, applyOwnerContents} = createRegistry();
	list('b@1', other, true);
	registry.recordUnreachable(target, false);
	clock.advance(500);
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
	registry.recordUnreachable(target, true);
	registry.reachability.recordConnection(other);
	clock.advance(500);
	applyOwnerContents();
	assert.deepEqual(registry.candidates(pool, model, undefined), []);
	assert.deepEqual(registry.candidates(pool, undefined, undefined), [
		target,
		other,
	]);
	list('a@2');
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
});

// Guards against targets that count as empty or unreachable for a while after the paths to them have returned.
test('a target that refuses connections like all others does not count as empty', () => {
	for (const others of [[], [other]]) {
		const {clock, registry, list, applyOwnerContents} = createRegistry();
		for (const each of others) {
			list('b@1', each, true);
		}

		clock.advance(400);
		for (const each of [target, ...others]) {
			registry.recordUnreachable(each, true);
		}

		assert.equal(registry.reachability.isCutOff(pool), true);
		clock.advance(10);
		assert.deepEqual(registry.candidates(pool, model, undefined), []);
		registry.reachability.recordConnection(target);
		applyOwnerContents();
		assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
	}
});
