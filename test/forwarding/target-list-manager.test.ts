import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {
	type FailureDomain,
	type PoolName,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {type TargetListChange} from '../../src/contracts/listed-target.js';
import {TargetListManager} from '../../src/services/forwarding/targets/target-list-manager.js';
import {TargetRegistry} from '../../src/services/forwarding/targets/target-registry.js';

const pool = 'p' as PoolName;

function listed(name: string): TargetListChange {
	return {
		kind: 'listed',
		target: {
			id: name as TargetId,
			pool,
			address: '127.0.0.1:1',
			failureDomain: 'z' as FailureDomain,
			slots: 1,
			isLeaving: false,
			residency: {
				incarnation: `${name}@1` as TargetIncarnation,
				models: [],
			},
			localWeights: {inMemory: [], onDisk: []},
		},
	};
}

const unlisted: TargetListChange = {kind: 'unlisted', target: 'a' as TargetId};

const drainMilliseconds = 4000;

function createManager() {
	const clock = new ManualClock();
	const registry = new TargetRegistry({
		clock,
		events: new NullEventLogger(),
	});
	const manager = new TargetListManager(clock, registry, drainMilliseconds);
	const read = (
		changes: readonly TargetListChange[],
		options: {
			readonly isSnapshot?: boolean;
			readonly gap?: number;
			/** An outage unless the gap has another reason. */
			readonly hasFailed?: boolean;
		} = {},
	) => {
		manager.apply({
			changes,
			isSnapshot: options.isSnapshot ?? false,
			isRestored: false,
			mayLackChanges: false,
			gapMilliseconds: options.gap ?? 100,
			hasFailed: options.hasFailed ?? options.gap !== undefined,
		});
	};

	const candidates = () => registry.candidates(pool, undefined, undefined);
	read([listed('a'), listed('b')], {isSnapshot: true});
	return {clock, manager, read, candidates};
}

// Guards against new work for a target that was unlisted while the store was available.
test('an unlisted target is removed immediately', () => {
	const {read, candidates} = createManager();
	read([unlisted]);
	assert.deepEqual(candidates(), ['b']);
	read([listed('b')], {isSnapshot: true});
	assert.deepEqual(candidates(), ['b']);
});

// Guards against an outage of the store that removes all targets, because their entries expire in it.
test('a target whose entry expired in an outage is kept until it had time to list itself again', () => {
	const {clock, manager, read, candidates} = createManager();
	read([unlisted], {gap: 5000});
	assert.deepEqual(candidates(), ['a', 'b']);
	clock.advance(2000);
	manager.removeExpired();
	read([listed('a')]);
	clock.advance(2000);
	manager.removeExpired();
	assert.deepEqual(candidates(), ['a', 'b']);
});

// Guards against a failed target that stays in use indefinitely after an outage.
test('a target that does not list itself again after an outage is removed', () => {
	const {clock, manager, read, candidates} = createManager();
	read([listed('b')], {isSnapshot: true, gap: 5000});
	assert.deepEqual(candidates(), ['a', 'b']);
	clock.advance(2400);
	manager.removeExpired();
	assert.deepEqual(candidates(), ['b']);
});

// Guards against new work for a target that is gone, on a host that had received the list from another one and reads it
// itself for the first time in seconds. The delay for an outage came on top of the gap.
test('a removal after a gap without a failed read is applied within the drain bound', () => {
	const {clock, manager, read, candidates} = createManager();
	const gap = 2600;
	read([unlisted], {gap, hasFailed: false});
	clock.advance(drainMilliseconds - gap - 500);
	manager.removeExpired();
	assert.deepEqual(candidates(), ['b']);
});
