import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {HttpHostList} from '../../src/adapters/node/http-host-list.js';
import {HttpLogService} from '../../src/adapters/node/http-log-service.js';
import {HttpWeightStore} from '../../src/adapters/node/http-weight-store.js';
import {type LogOffset, type RecordId} from '../../src/contracts/ids.js';
import {type LogRecord} from '../../src/contracts/log-service.js';
import {HostListServer} from '../../src/stand-ins/host-list-server.js';
import {LogServer} from '../../src/stand-ins/log-server.js';
import {LogStore} from '../../src/stand-ins/log-store.js';
import {WeightStoreServer} from '../../src/stand-ins/weight-store-server.js';

const at = (offset: number) => offset as LogOffset;
const range = {limit: 10, waitMilliseconds: 0};

function record(id: string): LogRecord {
	return {id: id as RecordId, body: {id}};
}

async function withLog(
	work: (log: HttpLogService, server: LogServer) => Promise<void>,
	server = new LogServer(),
	responseTimeoutMilliseconds = 10_000,
): Promise<void> {
	const {address} = await server.start();
	const log = new HttpLogService({address, responseTimeoutMilliseconds});
	try {
		await work(log, server);
	} finally {
		await log.dispose();
		await server.dispose();
	}
}

// Records must not be lost, reordered or read at another offset.
test('log adapter: appends, reads and bounds agree', async () => {
	await withLog(async (log) => {
		const first = await log.append('control', [record('a'), record('b')]);
		assert.equal(first._unsafeUnwrap(), 0);
		const second = await log.append('control', [record('c')]);
		assert.equal(second._unsafeUnwrap(), 2);
		const batch = await log.read('control', at(1), range);
		assert.deepEqual(batch._unsafeUnwrap(), {
			records: [
				{...record('b'), offset: 1},
				{...record('c'), offset: 2},
			],
			next: 3,
		});
		const bounds = await log.readBounds('control');
		assert.deepEqual(bounds._unsafeUnwrap(), {earliest: 0, next: 3});
		const empty = await log.readBounds('claims');
		assert.deepEqual(empty._unsafeUnwrap(), {earliest: 0, next: 0});
	});
});

test('log adapter: a long poll returns with the next record of its stream and not before', async () => {
	await withLog(async (log, server) => {
		const poll = log.read('control', at(0), {
			limit: 10,
			waitMilliseconds: 5000,
		});
		await log.append('claims', [record('other')]);
		assert.equal(server.reads, 0);
		await log.append('control', [record('a')]);
		const batch = await poll;
		assert.equal(batch._unsafeUnwrap().records.length, 1);
	});
});

type LogFaults = Parameters<LogServer['setFaults']>[0];
type LogArrangement = (server: LogServer) => void | Promise<void>;

const withFaults =
	(faults: LogFaults): LogArrangement =>
	(server) => {
		server.setFaults(faults);
	};

const responseFault = (kind: 'answer-lost' | 'answer-late' | 'request-lost') =>
	withFaults({answers: [{kind, delayMilliseconds: 60_000}]});
const silenceConnections: LogArrangement = (server) => {
	server.silenceConnections();
};

const stop: LogArrangement = async (server) => server.dispose();

// An append without a response may have taken effect, so it must be reported as unavailable rather than as failed.
// `stored` is the number of stored records with the appended id.
const appendCases: Array<
	[name: string, arrange: LogArrangement, stored: number]
> = [
	['response lost', responseFault('answer-lost'), 1],
	['response late', responseFault('answer-late'), 1],
	['request lost', responseFault('request-lost'), 0],
	['outage with error responses', withFaults({outage: 'unavailable'}), 0],
	['outage without responses', stop, 0],
	['unresponsive connection', silenceConnections, 0],
];

for (const [name, arrange, stored] of appendCases) {
	test(`log adapter: an append with ${name} is unavailable`, async () => {
		await withLog(
			async (log, server) => {
				await log.append('control', [record('before')]);
				await setImmediate();
				await arrange(server);
				const result = await log.append('control', [record('a')]);
				assert.equal(result._unsafeUnwrapErr().name, 'LogUnavailableError');
				const id = 'a' as RecordId;
				assert.equal(server.store.occurrences('control', id), stored);
				if (name.startsWith('outage')) {
					return;
				}

				const repeated = await log.append('control', [record('a')]);
				assert.ok(repeated.isOk());
				assert.equal(server.store.occurrences('control', id), stored + 1);
			},
			new LogServer(),
			name.startsWith('outage') ? 10_000 : 500,
		);
	});
}

// Otherwise a reader would skip the records that retention removed.
test('log adapter: a read of removed records fails with the earliest retained offset', async () => {
	const server = new LogServer({store: new LogStore(2)});
	await withLog(async (log) => {
		await log.append('control', ['a', 'b', 'c'].map(record));
		const result = await log.read('control', at(0), range);
		const error = result._unsafeUnwrapErr();
		assert.equal(error.name, 'LogTruncatedError');
		assert.equal('earliest' in error && error.earliest, 1);
	}, server);
});

// Guards against a host that goes on at offsets of the lost log, and against a claim that is granted anew because its
// record is lost: to a process that knows the log of before, the restored one is unavailable.
test('log adapter: a process does not use a log that was restored from a copy while it ran', async (t) => {
	const server = new LogServer();
	const {address} = await server.start();
	const [log, later] = [
		new HttpLogService({address}),
		new HttpLogService({address}),
	];
	t.after(async () => {
		await log.dispose();
		await later.dispose();
		await server.dispose();
	});
	await log.append('claims', ['a', 'b', 'c'].map(record));
	server.restore({claims: 1});
	for (const result of [
		await log.read('claims', at(3), range),
		await log.read('claims', at(0), range),
		await log.readBounds('claims'),
		await log.append('claims', [record('d')]),
	]) {
		assert.equal(result._unsafeUnwrapErr().name, 'LogRestoredError');
	}

	assert.equal(server.store.occurrences('claims', 'd' as RecordId), 0);
	const {records} = (await later.read('claims', at(0), range))._unsafeUnwrap();
	assert.deepEqual(
		records.map(({id}) => id),
		['a'],
	);
});

// A failed read must not look like an empty list.
test('host list adapter: the list follows changes after its lag, and an outage is an error', async (t) => {
	const server = new HostListServer({
		entries: [{name: 'h1', state: 'live'}],
		lagMilliseconds: 30,
	});
	const {address} = await server.start();
	const hosts = new HttpHostList({address});
	t.after(async () => {
		await hosts.dispose();
		await server.dispose();
	});
	const readState = async () => {
		const list = await hosts.list();
		return list._unsafeUnwrap()[0]?.state;
	};

	assert.equal(await readState(), 'live');
	server.publish([{name: 'h1', state: 'leaving'}]);
	assert.equal(server.published[0]?.state, 'live');
	while ((await readState()) !== 'leaving') {
		// The change appears in the list when the lag has passed.
	}

	for (const outage of ['unavailable', 'closed'] as const) {
		server.setFaults({outage});
		const list = await hosts.list();
		assert.equal(list._unsafeUnwrapErr().name, 'HostListError');
	}
});

// The rate of load orders is limited by the number of loads in flight.
test('weight store adapter: the status counts the loads in flight, and an outage is an error', async (t) => {
	const server = new WeightStoreServer({modelMilliseconds: 60_000});
	const {address} = await server.start();
	const store = new HttpWeightStore({address});
	t.after(async () => {
		await store.dispose();
		await server.dispose();
	});
	const idle = await store.fetchStatus();
	assert.deepEqual(idle._unsafeUnwrap(), {inFlight: 0, available: true});
	const stop = new AbortController();
	const load = fetch(`${address}/fetch`, {
		method: 'POST',
		body: JSON.stringify({artifact: 'model/m@1', kind: 'model'}),
		signal: stop.signal,
	}).catch(() => undefined);
	for (;;) {
		const busy = await store.fetchStatus();
		if (busy._unsafeUnwrap().inFlight === 1) {
			break;
		}
	}

	stop.abort();
	await load;
	server.setFaults({outage: 'closed'});
	const down = await store.fetchStatus();
	assert.equal(down._unsafeUnwrapErr().name, 'WeightStoreError');
});
