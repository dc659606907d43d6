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
import {RevisionedMap} from '../../src/core/membership/revisioned-map.js';
import {FleetView} from '../../src/services/forwarding/reports/fleet-view.js';
import {TargetRegistry} from '../../src/services/forwarding/targets/target-registry.js';

const model = 'm' as ModelId;

function createView() {
	const clock = new ManualClock();
	const registry = new TargetRegistry({clock, events: new NullEventLogger()});
	const view = new FleetView({name: 'p1', registry});
	const list = (name: string, isLeaving = false) => {
		registry.applyChange({
			kind: 'listed',
			target: {
				id: name as TargetId,
				pool: 'pool' as PoolName,
				address: '127.0.0.1:1',
				failureDomain: 'z' as FailureDomain,
				slots: 1,
				isLeaving,
				residency: {
					incarnation: `${name}@1` as TargetIncarnation,
					models: [{model, adapters: []}],
				},
				localWeights: {inMemory: [], onDisk: []},
			},
		});
	};

	const place = (name: string, adapter: string) => {
		registry.applyContents(
			[
				{
					target: name as TargetId,
					incarnation: `${name}@1` as TargetIncarnation,
					models: [
						{model, adapters: [adapter as AdapterId], isRetiring: false},
					],
				},
			],
			0,
		);
	};

	return {clock, registry, view, list, place};
}

// Guards against an exchange that sends every target to every host with each change, which grows with the square of
// the fleet.
test('a host receives only what has changed since its revision', () => {
	const {registry, view, list, place} = createView();
	list('a');
	list('b');
	const first = view.changesSince('', 0);
	assert.equal(first.isComplete, true);
	assert.equal(first.listed.length, 2);
	place('b', 'x');
	const second = view.changesSince('p1', first.revision);
	assert.equal(second.isComplete, false);
	assert.deepEqual(second.listed, []);
	assert.deepEqual(
		second.contents.map(({target}) => target),
		['b'],
	);
	place('b', 'x');
	assert.equal(
		view.revision,
		second.revision,
		'a content that was sent before is no change',
	);
	registry.applyChange({kind: 'unlisted', target: 'a' as TargetId});
	assert.deepEqual(view.changesSince('p1', second.revision).unlisted, [
		{target: 'a', revision: undefined},
	]);
	assert.equal(view.changesSince('p0', second.revision).isComplete, true);
});

// Guards against a host that counts on a model forever because its owner was lost right after it said so.
test('contents of an owner that is silent give way to the target list', () => {
	const {clock, registry, list, place} = createView();
	list('a');
	place('a', 'x');
	registry.revertExpiredContents();
	assert.equal(registry.get('a' as TargetId)?.isContentFromOwner, true);
	clock.advance(2500);
	registry.revertExpiredContents();
	assert.equal(registry.get('a' as TargetId)?.isContentFromOwner, false);
	assert.equal(registry.get('a' as TargetId)?.content.get(model)?.size, 0);
});

// Guards against a reader that never learns of a removal, because removed keys are forgotten to bound the memory.
test('a reader that is behind the remembered removals receives everything', () => {
	const map = new RevisionedMap<number, string>();
	for (let revision = 1; revision <= 3000; revision++) {
		map.set(revision, 'x', revision);
	}

	for (let revision = 3001; revision <= 6000; revision++) {
		map.set(revision - 3000, undefined, revision);
	}

	assert.equal(map.isCompleteSince(3500), false);
	assert.equal(map.isCompleteSince(5500), true);
	assert.equal(map.changesSince(5500).length, 500);
});
