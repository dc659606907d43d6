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
import {TargetListManager} from '../../src/services/forwarding/target-list-manager.js';
import {TargetRegistry} from '../../src/services/forwarding/target-registry.js';

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

const gone: TargetListChange = {kind: 'unlisted', target: 'a' as TargetId};

function make() {
	const clock = new ManualClock();
	const registry = new TargetRegistry({
		clock,
		events: new NullEventLogger(),
	});
	const keeper = new TargetListManager(clock, registry);
	const read = (
		changes: readonly TargetListChange[],
		options: {readonly isNewest?: boolean; readonly gap?: number} = {},
	) => {
		keeper.apply({
			changes,
			isSnapshot: options.isNewest ?? false,
			gapMilliseconds: options.gap ?? 100,
		});
	};

	const names = () => registry.candidates(pool, undefined, undefined);
	read([listed('a'), listed('b')], {isNewest: true});
	return {clock, keeper, read, names};
}

// Guards against new work for a target that left while the store was well.
test('a target that is unlisted goes at once', () => {
	const {read, names} = make();
	read([gone]);
	assert.deepEqual(names(), ['b']);
	read([listed('b')], {isNewest: true});
	assert.deepEqual(names(), ['b']);
});

// Guards against an outage of the store that takes all targets out of use.
test('a target that lapsed in an outage stays until it had time to come back', () => {
	const {clock, keeper, read, names} = make();
	read([gone], {gap: 5000});
	assert.deepEqual(names(), ['a', 'b']);
	clock.advance(2000);
	keeper.removeExpired();
	read([listed('a')]);
	clock.advance(2000);
	keeper.removeExpired();
	assert.deepEqual(names(), ['a', 'b']);
});

// Guards against a dead target that is used for ever after an outage.
test('a target that does not come back after an outage is gone', () => {
	const {clock, keeper, read, names} = make();
	read([listed('b')], {isNewest: true, gap: 5000});
	assert.deepEqual(names(), ['a', 'b']);
	clock.advance(2400);
	keeper.removeExpired();
	assert.deepEqual(names(), ['b']);
});
