import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import fc from 'fast-check';
import {type HostId} from '../../src/contracts/ids.js';
import {
	HistoryTruncatedError,
	StoreRestoredError,
	type OwnerRecord,
	type SharedStoreError,
} from '../../src/contracts/shared-store.js';
import {PlatformOwnerLog} from '../../src/platform/owner-log.js';
import {StoreClient} from '../../src/platform/store-client.js';
import {
	generationOf,
	offsetOf,
	toPosition,
} from '../../src/contracts/store-position.js';
import {StandInStore} from './stand-in-store.js';

const topic = 'keyed.op';
let store: StandInStore;
let client: StoreClient;

beforeEach(async () => {
	store = new StandInStore();
	store.generation = 1;
	client = new StoreClient({
		address: await store.start(),
		timeoutMilliseconds: 400,
	});
});

afterEach(async () => {
	await client.dispose();
	store.stop();
});

const record: OwnerRecord = {
	kind: 'renewed',
	host: 'h1' as HostId,
	incarnation: 'h1-1',
	peerAddress: '127.0.0.1:1',
};

async function endOf(name: string): Promise<number> {
	return (await client.read(name, undefined, 0))._unsafeUnwrap().next;
}

async function readError(from: number): Promise<SharedStoreError> {
	return (await client.read(topic, from, 0))._unsafeUnwrapErr();
}

test('positions of a later generation of the store are greater than all of an earlier one', () => {
	const part = fc.nat({max: 30_000});
	const offset = fc.nat({max: 2 ** 31 - 1});
	fc.assert(
		fc.property(part, part, offset, offset, (first, second, left, right) => {
			fc.pre(first !== second);
			assert.equal(
				toPosition(first, left) < toPosition(second, right),
				first < second,
			);
			assert.equal(generationOf(toPosition(first, left)), first);
			assert.equal(offsetOf(toPosition(first, left)), left);
		}),
	);
});

// Guards against a reader that goes on at a position of the lost log: it would miss the records before it, or read
// those at it as if they followed what it knows.
test('a position from before the store was restored is not read from, whatever the restored log holds there', async () => {
	const copy = store.copy();
	store.put(topic, 'config', 1);
	store.put(topic, 'config', 2);
	const before = await endOf(topic);
	store.restore(copy);
	assert.ok((await readError(before)) instanceof StoreRestoredError);
	store.put(topic, 'config', 3);
	store.put(topic, 'config', 4);
	assert.ok((await readError(before)) instanceof StoreRestoredError);
	store.put(topic, 'config', 5);
	assert.ok((await readError(before)) instanceof StoreRestoredError);
	const {records, next} = (
		await client.read(topic, undefined, 0)
	)._unsafeUnwrap();
	assert.equal(records.length, 3);
	assert.ok(next > before && records[0]!.position > before);
});

test('a long poll that spans the restore fails, and the position is from before it', async () => {
	const copy = store.copy();
	store.put(topic, 'config', 1);
	const before = await endOf(topic);
	const poll = client.read(topic, before, 5000);
	await new Promise((resolve) => {
		setTimeout(resolve, 50);
	});
	store.restore(copy);
	assert.ok((await poll).isErr());
	assert.ok((await readError(before)) instanceof StoreRestoredError);
});

test('each of two restores makes the positions before it unreadable', async () => {
	const copy = store.copy();
	store.put(topic, 'config', 1);
	const first = await endOf(topic);
	store.restore(copy);
	const second = await endOf(topic);
	store.restore(copy);
	store.restore(copy);
	const third = await endOf(topic);
	assert.ok(first < second && second < third);
	for (const position of [first, second]) {
		assert.ok((await readError(position)) instanceof StoreRestoredError);
	}

	assert.deepEqual((await client.read(topic, third, 0))._unsafeUnwrap(), {
		records: [],
		next: third,
	});
});

// Guards against positions that change their generation with a single response, for example of a proxy.
test('a response without a generation counts as one of the generation that is known', async () => {
	store.put(topic, 'config', 1);
	const before = await endOf(topic);
	const {generation} = store;
	store.generation = undefined;
	assert.equal(
		(await client.read(topic, before, 0))._unsafeUnwrap().next,
		before,
	);
	store.generation = generation;
	assert.equal(await endOf(topic), before);
});

// Guards against a lost log that shows by nothing but its shorter length.
test('a position past the end of a store that names no generation is not read from', async () => {
	store.generation = undefined;
	const copy = store.copy();
	store.put(topic, 'config', 1);
	const before = await endOf(topic);
	store.restore(copy);
	store.generation = undefined;
	assert.ok((await readError(before)) instanceof HistoryTruncatedError);
});

// Guards against a record that is taken for the next one of a log that was lost: the restored log ends at the expected
// offset by chance.
test('an append that was meant for the log before the restore does not succeed', async () => {
	const log = new PlatformOwnerLog(client);
	const {next: empty} = (await log.read(undefined))._unsafeUnwrap();
	const copy = store.copy();
	await log.append(record, empty);
	const {next: before} = (await log.read(undefined))._unsafeUnwrap();
	store.restore(copy);
	const restored = (await log.append(record, before))._unsafeUnwrap();
	assert.equal(restored.kind, 'conflict');
	const {next: after} = (await log.read(before))._unsafeUnwrap();
	await log.append(record, after);
	const byChance = (await log.append(record, before))._unsafeUnwrap();
	assert.equal(byChance.kind, 'conflict');
	assert.equal(store.end('daisylever.owner'), 2);
});

// Guards against fencing tokens that are given out twice: the token of a claim is derived from its position.
test('the records of the lease have greater positions after the restore than any before', async () => {
	const log = new PlatformOwnerLog(client);
	const {next: empty} = (await log.read(undefined))._unsafeUnwrap();
	const copy = store.copy();
	const first = (await log.append(record, empty))._unsafeUnwrap();
	store.restore(copy);
	const {next} = (await log.read(empty))._unsafeUnwrap();
	const second = (await log.append(record, next))._unsafeUnwrap();
	assert.ok(first.kind === 'appended' && second.kind === 'appended');
	assert.ok(second.position > first.position);
});
