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
import {TargetRegistry} from '../../src/services/forwarding/target-registry.js';

const pool = 'p' as PoolName;
const target = 'a' as TargetId;
const model = 'm' as ModelId;
const adapters = ['x', 'y', 'z'] as AdapterId[];

function make() {
	const clock = new ManualClock();
	const registry = new TargetRegistry({
		clock,
		events: new NullEventLogger(),
	});
	const list = (incarnation: string) => {
		registry.applyChange({
			kind: 'listed',
			target: {
				id: target,
				pool,
				address: '127.0.0.1:1',
				failureDomain: 'z' as FailureDomain,
				slots: 1,
				isLeaving: false,
				residency: {
					incarnation: incarnation as TargetIncarnation,
					models: [{model, adapters}],
				},
				localWeights: {inMemory: [], onDisk: []},
			},
		});
	};

	const ownerTells = () => {
		registry.applyContents([
			{
				target,
				incarnation: 'a@1' as TargetIncarnation,
				models: [{model, adapters, isRetiring: false}],
			},
		]);
	};

	list('a@1');
	ownerTells();
	return {clock, registry, list, ownerTells};
}

// Guards against requests that spend all sends on a target that came back empty, as the owner goes on telling what it held.
test('a refused model counts as missing whatever the owner says', () => {
	const {clock, registry, ownerTells} = make();
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
	registry.recordMissing(target, model, undefined);
	ownerTells();
	assert.deepEqual(registry.candidates(pool, model, undefined), []);
	assert.deepEqual(registry.candidates(pool, model, adapters[0]), []);
	clock.advance(1000);
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
});

// Guards against adapters that come and go within milliseconds and take a target out of use for all others.
test('a refused adapter is missing for a short time and alone', () => {
	const {clock, registry} = make();
	registry.recordMissing(target, model, adapters[0]);
	registry.recordMissing(target, model, adapters[1]);
	assert.deepEqual(registry.candidates(pool, model, adapters[0]), []);
	assert.deepEqual(registry.candidates(pool, model, adapters[2]), [target]);
	clock.advance(150);
	assert.deepEqual(registry.candidates(pool, model, adapters[0]), [target]);
});

// Guards against a restarted target that waits for an old refusal to expire.
test('a new incarnation of a target lacks nothing', () => {
	const {registry, list} = make();
	registry.recordMissing(target, model, undefined);
	list('a@2');
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
});

// Guards against a burst of refusals from a target that crashed and came back empty at its old address.
test('a target whose process ended holds no model until it is listed anew', () => {
	const {clock, registry, list, ownerTells} = make();
	registry.recordUnreachable(target, false);
	clock.advance(500);
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
	registry.recordUnreachable(target, true);
	clock.advance(500);
	ownerTells();
	assert.deepEqual(registry.candidates(pool, model, undefined), []);
	assert.deepEqual(registry.candidates(pool, undefined, undefined), [target]);
	list('a@2');
	assert.deepEqual(registry.candidates(pool, model, undefined), [target]);
});
