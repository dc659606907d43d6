import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
	type HostId,
	type RequestId,
	type SoftwareVersion,
} from '../../src/contracts/ids.js';
import {HistoryTruncatedError} from '../../src/contracts/shared-store.js';
import {PlatformDocumentState} from '../../src/platform/document-state.js';
import {PlatformOwnerLog} from '../../src/platform/owner-log.js';
import {PlatformStreamLog} from '../../src/platform/stream-log.js';
import {StoreClient} from '../../src/platform/store-client.js';
import {PlatformTargetListState} from '../../src/platform/target-list-state.js';
import {StandInStore} from './stand-in-store.js';

const store = new StandInStore();
let client: StoreClient;

before(async () => {
	client = new StoreClient({
		address: await store.start(),
		timeoutMilliseconds: 400,
	});
});

after(async () => {
	await client.dispose();
	store.stop();
});

const entry = {
	service: 's',
	addr: '127.0.0.1:1',
	zone: 'z',
	slots: 4,
	state: 'ready',
};

test('no change of the target list is lost between the newest state and the records after it', async () => {
	const state = new PlatformTargetListState(client);
	store.put('keyed.servers', 'i-1', entry);
	store.put('keyed.servers', 'i-1', {...entry, state: 'draining'});
	const newest = (await state.readNewest())._unsafeUnwrap();
	assert.equal(newest.changes.length, 1);
	store.put('keyed.servers', 'i-1', undefined);
	store.put('keyed.servers', 'i-2', Buffer.from('torn'));
	const later = (await state.readSince(newest.next, 0))._unsafeUnwrap();
	assert.deepEqual(
		later.changes.map(({kind}) => kind),
		['unlisted', 'malformed'],
	);
	const unchanged = (await state.readSince(later.next, 0))._unsafeUnwrap();
	assert.deepEqual(unchanged, {changes: [], next: later.next});
});

// Guards against hosts that spend most of their processor time on entries in which only the count of writes changes.
test('an entry in which only its count of writes has changed is no change', async () => {
	const state = new PlatformTargetListState(client);
	store.put('keyed.servers', 'i-4', {...entry, seq: 1});
	const newest = (await state.readNewest())._unsafeUnwrap();
	store.put('keyed.servers', 'i-4', {...entry, seq: 2});
	const counted = (await state.readSince(newest.next, 0))._unsafeUnwrap();
	assert.deepEqual(counted.changes, []);
	store.put('keyed.servers', 'i-4', {...entry, state: 'draining', seq: 3});
	const changed = (await state.readSince(counted.next, 0))._unsafeUnwrap();
	assert.equal(changed.changes.length, 1);
	// Another host may have sent the entries in between, so the last entry read here is not the last one known.
	store.put('keyed.servers', 'i-4', {...entry, seq: 4});
	store.put('keyed.servers', 'i-4', {...entry, state: 'draining', seq: 5});
	const skipped = (
		await state.readSince(store.end('keyed.servers') - 1, 0)
	)._unsafeUnwrap();
	assert.equal(skipped.changes.length, 1);
	// An entry that was removed and comes back is a change.
	store.put('keyed.servers', 'i-4', undefined);
	store.put('keyed.servers', 'i-4', {...entry, state: 'draining', seq: 6});
	const back = (await state.readSince(skipped.next, 0))._unsafeUnwrap();
	assert.deepEqual(
		back.changes.map(({kind}) => kind),
		['unlisted', 'listed'],
	);
});

// Otherwise a reader would wait forever at a position that no longer exists.
test('a read of deleted records fails differently from a read during an outage', async () => {
	const state = new PlatformTargetListState(client);
	store.put('keyed.servers', 'i-3', entry);
	store.truncate('keyed.servers');
	const error = (await state.readSince(0, 0))._unsafeUnwrapErr();
	assert.ok(error instanceof HistoryTruncatedError);
	assert.equal(error.earliest, store.end('keyed.servers'));
	store.faults.push('busy');
	const busy = (await state.readSince(0, 0))._unsafeUnwrapErr();
	assert.ok(!(busy instanceof HistoryTruncatedError));
	assert.equal(busy.outcome, 'not-done');
	store.faults.push('reset');
	const reset = (await state.readSince(0, 0))._unsafeUnwrapErr();
	assert.equal(reset.outcome, 'unknown');
});

// Otherwise a configuration would be read only when the long poll times out.
test('a waiting read returns as soon as a record is written', async () => {
	const state = new PlatformDocumentState(client);
	const newest = (await state.readNewest())._unsafeUnwrap();
	const reading = state.readSince(newest.next, 20_000);
	store.put('keyed.op', 'config', {});
	const {changes} = (await reading)._unsafeUnwrap();
	assert.deepEqual(
		changes.map(({kind}) => kind),
		['unreadable'],
	);
});

test('an append conflicts with records of other writers, and a lost response leaves its outcome unknown', async () => {
	const log = new PlatformOwnerLog(client);
	const record = {
		kind: 'claimed' as const,
		host: 'h1' as HostId,
		incarnation: 'h1-1',
		peerAddress: '127.0.0.1:2',
	};
	assert.deepEqual((await log.append(record, 0))._unsafeUnwrap(), {
		kind: 'appended',
		position: 0,
	});
	assert.deepEqual((await log.append(record, 0))._unsafeUnwrap(), {
		kind: 'conflict',
		next: 1,
		isRestored: false,
	});
	store.faults.push('lost-answer');
	const lost = await log.append({...record, kind: 'renewed'}, 1);
	assert.equal(lost._unsafeUnwrapErr().outcome, 'unknown');
	const read = (await log.read(undefined))._unsafeUnwrap();
	assert.equal(read.isWhole, true);
	assert.deepEqual(
		read.records.map(({kind, position}) => [kind, position]),
		[
			['claimed', 0],
			['renewed', 1],
		],
	);
	store.truncate('daisylever.owner');
	const remaining = (await log.read(0))._unsafeUnwrap();
	assert.deepEqual(remaining, {records: [], next: 2, isRestored: false});
	assert.equal((await log.read(undefined))._unsafeUnwrap().isWhole, false);
});

// Guards against a report of a later build that hides the record that it comes with, and so the holder of the lease.
test('a record of the lease counts although its version report is unreadable', async () => {
	const {next} = (await new PlatformOwnerLog(client).read(0))._unsafeUnwrap();
	(
		await client.append(
			'daisylever.owner',
			Buffer.from(
				JSON.stringify({
					kind: 'claimed',
					host: 'h2',
					incarnation: 'h2-1',
					peerAddress: '127.0.0.1:2',
					versionReport: {versions: 'all', reachMilliseconds: 1},
				}),
			),
			next,
		)
	)._unsafeUnwrap();
	const {records} = (
		await new PlatformOwnerLog(client).read(next)
	)._unsafeUnwrap();
	assert.equal(records[0]?.host, 'h2');
	assert.equal(records[0]?.versionReport, undefined);
});

// Guards against streams that are lost at the limits of a record, and against an unreadable record that hides the others.
test('streams of any number are read as they were written, and unreadable records are passed over', async () => {
	const log = new PlatformStreamLog(client);
	assert.deepEqual((await log.read(undefined))._unsafeUnwrap().origins, []);
	const origins = Array.from({length: 5000}, (_, index) => ({
		stream: `stream-${index}` as RequestId,
		version: `v${index % 2}` as SoftwareVersion,
	}));
	(await log.append(origins))._unsafeUnwrap();
	(
		await client.appendAll('daisylever.streams', ['{', '{"v1": 5}'])
	)._unsafeUnwrap();
	(await log.append([origins[0]!]))._unsafeUnwrap();
	const read = (await log.read(undefined))._unsafeUnwrap();
	assert.equal(read.origins.length, 5001);
	assert.deepEqual(
		new Map(read.origins.map(({stream, version}) => [stream, version])),
		new Map(origins.map(({stream, version}) => [stream, version])),
	);
	assert.deepEqual((await log.read(read.next))._unsafeUnwrap().origins, []);
	// A target may name any version. This one is a property of all objects.
	const odd = {
		stream: 'odd' as RequestId,
		version: 'constructor' as SoftwareVersion,
	};
	(await log.append([odd]))._unsafeUnwrap();
	assert.deepEqual((await log.read(read.next))._unsafeUnwrap().origins, [odd]);
	store.truncate('daisylever.streams');
	(await log.append([origins[1]!]))._unsafeUnwrap();
	assert.deepEqual((await log.read(undefined))._unsafeUnwrap().origins, [
		origins[1],
	]);
});
