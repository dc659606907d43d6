import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {type PoolName, type TargetId} from '../../src/contracts/ids.js';
import {PlatformTargetListState} from '../../src/platform/target-list-state.js';
import {StoreClient} from '../../src/platform/store-client.js';
import {StateFollower} from '../../src/services/forwarding/state/state-follower.js';
import {TargetListManager} from '../../src/services/forwarding/targets/target-list-manager.js';
import {TargetRegistry} from '../../src/services/forwarding/targets/target-registry.js';
import {StandInStore} from '../platform/stand-in-store.js';
import {waitUntil} from '../process/processes.js';

const pool = 's' as PoolName;
const topic = 'keyed.servers';
const relistMilliseconds = 2300;
let store: StandInStore;
let client: StoreClient;
let clock: ManualClock;
let registry: TargetRegistry;
let manager: TargetListManager;
let follower: StateFollower<never>;

function write(
	id: string,
	seq: number,
	entry: Readonly<Record<string, unknown>> = {},
): void {
	store.put(topic, id, {
		service: 's',
		addr: '127.0.0.1:1',
		zone: 'z',
		slots: 4,
		state: 'ready',
		born: 1000,
		seq,
		...entry,
	});
}

/** Waits until the follower has read all records of the store. */
async function synchronize(): Promise<void> {
	const calls = store.calls.length;
	await waitUntil('two reads', () => store.calls.length >= calls + 3);
}

const candidates = () =>
	[...registry.candidates(pool, undefined, undefined)].sort();

beforeEach(async () => {
	store = new StandInStore();
	store.generation = 1;
	client = new StoreClient({
		address: await store.start(),
		timeoutMilliseconds: 400,
	});
	clock = new ManualClock();
	registry = new TargetRegistry({clock, events: new NullEventLogger()});
	manager = new TargetListManager(clock, registry, 2000);
	write('i-1', 1);
	write('i-2', 1);
	write('i-3', 1);
	const targets = new StateFollower({
		name: 'targets',
		state: new PlatformTargetListState(client),
		clock,
		events: new NullEventLogger(),
		pollTimeoutMilliseconds: 0,
		readDelayMilliseconds: () => 0,
		maximumReceivedAgeMilliseconds: 1000,
		isReader: () => true,
	});
	targets.changed.subscribe((changes) => {
		manager.apply(changes);
	});
	follower = targets as unknown as StateFollower<never>;
	void targets.run();
	await waitUntil('the list', () => manager.isLoaded);
});

afterEach(async () => {
	follower.dispose();
	await registry.dispose();
	await client.dispose();
	store.stop();
});

// Guards against new work for targets that have left: the copy from which the store was restored lists them as ready.
test('targets that had left stay away although the restored store lists them, until they write their entries again', async () => {
	write('i-1', 2);
	write('i-2', 2);
	await synchronize();
	const copy = store.copy();
	write('i-1', 3, {state: 'draining'});
	store.put(topic, 'i-2', undefined);
	await synchronize();
	assert.deepEqual(candidates(), ['i-3']);
	store.restore(copy);
	await synchronize();
	assert.deepEqual(candidates(), ['i-3']);
	write('i-2', 3);
	await synchronize();
	assert.deepEqual(candidates(), ['i-2', 'i-3']);
	assert.equal(registry.get('i-1' as TargetId)?.listed.isLeaving, true);
});

test('an earlier incarnation in the restored store does not replace the later one', async () => {
	const copy = store.copy();
	write('i-1', 1, {born: 2000, addr: '127.0.0.1:2'});
	await synchronize();
	store.restore(copy);
	await synchronize();
	const {listed} = registry.get('i-1' as TargetId)!;
	assert.equal(listed.address, '127.0.0.1:2');
	write('i-1', 1, {born: 3000, addr: '127.0.0.1:3'});
	await synchronize();
	assert.equal(registry.get('i-1' as TargetId)?.listed.address, '127.0.0.1:3');
});

// Guards against sound targets that are taken out at once: those that joined after the copy are missing in the restored
// store until they write their entries again.
test('targets that are missing in the restored store are kept until they had time to list themselves again', async () => {
	const copy = store.copy();
	write('i-4', 1);
	write('i-5', 1);
	await synchronize();
	store.restore(copy);
	await synchronize();
	assert.deepEqual(candidates(), ['i-1', 'i-2', 'i-3', 'i-4', 'i-5']);
	write('i-4', 2);
	await synchronize();
	clock.advance(relistMilliseconds + 100);
	manager.removeExpired();
	assert.deepEqual(candidates(), ['i-1', 'i-2', 'i-3', 'i-4']);
});

// Guards against entries that lapse in the restored store right after the read that noticed the restore.
test('a removal shortly after the restore waits as long as a missing entry', async () => {
	store.restore(store.copy());
	await synchronize();
	store.put(topic, 'i-1', undefined);
	await synchronize();
	assert.deepEqual(candidates(), ['i-1', 'i-2', 'i-3']);
	clock.advance(relistMilliseconds + 100);
	manager.removeExpired();
	assert.deepEqual(candidates(), ['i-2', 'i-3']);
	store.put(topic, 'i-2', undefined);
	await synchronize();
	assert.deepEqual(candidates(), ['i-3']);
});
