import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout} from 'node:timers/promises';
import {okAsync, ResultAsync} from 'neverthrow';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {SystemClock} from '../../src/base/node/system-clock.js';
import {
	SharedState,
	type SharedStoreError,
	type StoreChanges,
} from '../../src/contracts/shared-store.js';
import {StateFollower} from '../../src/services/forwarding/state/state-follower.js';
import {waitUntil} from '../process/processes.js';

/** A state whose position a test sets. */
class CountedState extends SharedState<string> {
	reads = 0;
	position = 10;
	lastWaitMilliseconds = -1;
	/** Reads that get no answer before the others do. */
	lostReads = 0;
	/** Records that one read returns at most. */
	recordsOfRead = Number.POSITIVE_INFINITY;
	/** Time that each read takes. */
	readMilliseconds = 0;

	readNewest(): ResultAsync<StoreChanges<string>, SharedStoreError> {
		this.reads++;
		return okAsync({changes: ['newest'], next: this.position});
	}

	readSince(
		position: number,
		waitMilliseconds: number,
	): ResultAsync<StoreChanges<string>, SharedStoreError> {
		this.reads++;
		this.lastWaitMilliseconds = waitMilliseconds;
		if (this.lostReads > 0) {
			this.lostReads--;
			return ResultAsync.fromSafePromise(
				Promise.race<StoreChanges<string>>([]),
			);
		}

		const next = Math.min(this.position, position + this.recordsOfRead);
		const result: StoreChanges<string> = {
			changes: position < next ? [`until ${next}`] : [],
			next,
			...(next < this.position ? {isPartial: true} : {}),
		};
		return ResultAsync.fromSafePromise(
			setTimeout(this.readMilliseconds, result),
		);
	}
}

const maximumReceivedAgeMilliseconds = 300;

async function start(isReader = false, pollTimeoutMilliseconds = 0) {
	const state = new CountedState();
	const seen: string[] = [];
	const follower = new StateFollower({
		name: 'test',
		state,
		clock: new SystemClock(),
		events: new NullEventLogger(),
		pollTimeoutMilliseconds,
		readDelayMilliseconds: () => 50,
		maximumReceivedAgeMilliseconds,
		repeatMilliseconds: 60,
		isReader: () => isReader,
	});
	follower.changed.subscribe(({changes}) => {
		seen.push(...changes);
	});
	void follower.run();
	await waitUntil('the first read', () => state.reads > 0);
	const receive = (position: number, ageMilliseconds: number) =>
		follower.receive({
			changes: [`received ${position}`],
			isSnapshot: false,
			position,
			ageMilliseconds,
		});
	return {state, follower, seen, receive};
}

// Guards against a fleet in which every host reads the store although one host sends the changes to the others.
test('a host that receives the state in time does not read the store', async () => {
	const {state, follower, receive} = await start();
	receive(10, 0);
	const before = state.reads;
	for (let round = 0; round < 15; round++) {
		receive(10, 0);
		await setTimeout(40);
	}

	assert.ok(state.reads - before <= 1, `${state.reads - before} reads`);
	follower.dispose();
});

// Guards against a host that never reads what a host of an older build has left out of the state.
test('a state that lacks a part is read from the store at once, although another host sends it', async () => {
	const {state, follower, receive} = await start();
	receive(10, 0);
	const before = state.reads;
	follower.readAgain();
	await waitUntil('a read', () => state.reads > before);
	receive(10, 0);
	await setTimeout(100);
	assert.ok(state.reads - before <= 2, `${state.reads - before} reads`);
	assert.ok(follower.currentPosition > 0);
	follower.dispose();
});

// Guards against a relay that keeps sending what it has known for long, because it is cut off from the store.
test('a host that receives an old state reads the store itself', async () => {
	const {state, follower, receive} = await start();
	const before = state.reads;
	for (let round = 0; round < 10; round++) {
		receive(10, maximumReceivedAgeMilliseconds + round);
		await setTimeout(40);
	}

	assert.ok(state.reads > before);
	follower.dispose();
});

// Guards against a relay that resumes after a pause: what it last knew must not replace a newer state.
test('a state that is older than the one of this host is ignored', async () => {
	const {follower, seen, receive} = await start();
	assert.equal(receive(20, 0), true);
	assert.equal(receive(15, 0), false);
	assert.equal(follower.currentPosition, 20);
	assert.ok(!seen.includes('received 15'));
	follower.dispose();
});

// Guards against a configuration that waits for the next regular read, although another host reports that it exists.
test('a newer position of another host triggers a read', async () => {
	const {state, follower, seen, receive} = await start();
	receive(10, 0);
	state.position = 12;
	follower.receivePosition(12, 0);
	await waitUntil('the read', () => seen.includes('until 12'));
	follower.dispose();
});

// Guards against an owner that relies on what others send: the others receive the state from it.
test('the reader of the fleet reads on while it receives the state', async () => {
	const {state, follower, receive} = await start(true);
	const before = state.reads;
	for (let round = 0; round < 10; round++) {
		receive(10, 0);
		await setTimeout(40);
	}

	assert.ok(state.reads - before >= 3);
	follower.dispose();
});

// Guards against a state that grows old while a lost answer is waited for: the next read would come after the timeout.
test('a read without an answer is sent again beside the first one', async () => {
	const {state, follower, seen} = await start(true);
	state.lostReads = 1;
	state.position = 12;
	await waitUntil('the second read', () => seen.includes('until 12'));
	follower.dispose();
});

// Guards against a part of the newest records that counts as all of them.
test('a read that returns a part of the records does not make the state current, and the next one follows at once', async () => {
	const {state, follower, seen} = await start(true);
	state.recordsOfRead = 1;
	state.readMilliseconds = 40;
	state.position = 20;
	await waitUntil('a part of the records', () => seen.includes('until 13'));
	assert.ok(follower.ageMilliseconds >= 2 * state.readMilliseconds);
	state.readMilliseconds = 0;
	await waitUntil('the last record', () => seen.includes('until 20'));
	for (const position of [11, 12, 13, 19]) {
		assert.ok(seen.includes(`until ${position}`));
	}

	assert.ok(follower.ageMilliseconds < 50);
	follower.dispose();
});

// Guards against a configuration that is applied seconds late (CONFIG), because the answer to the long poll that was to
// read it is lost: the timeout of a long poll includes its wait.
test('a change that another host has seen is read without a long poll, and again when the answer is lost', async () => {
	const {state, follower, seen, receive} = await start(false, 5000);
	receive(10, 0);
	state.lostReads = 1;
	state.position = 12;
	follower.receivePosition(12, 0);
	await waitUntil('the read', () => seen.includes('until 12'));
	assert.equal(state.lastWaitMilliseconds, 0);
	follower.dispose();
});
