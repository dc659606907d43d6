import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ResultAsync} from 'neverthrow';
import {type LogOffset, type RecordId} from '../../src/contracts/ids.js';
import {
	LogTruncatedError,
	LogUnavailableError,
	type LogError,
	type LogRecord,
} from '../../src/contracts/log-service.js';
import {MemoryLogService} from '../../src/stand-ins/memory-log-service.js';

const record = (id: string): LogRecord => ({id: id as RecordId, body: {id}});
const at = (offset: number) => offset as LogOffset;
const readOptions = {limit: 10, waitMilliseconds: 0};

async function valueOf<T>(result: ResultAsync<T, LogError>): Promise<T> {
	const settled = await result;
	return settled._unsafeUnwrap();
}

async function errorOf<T>(result: ResultAsync<T, LogError>): Promise<LogError> {
	const settled = await result;
	return settled._unsafeUnwrapErr();
}

type Case = {
	readonly name: string;
	readonly run: (log: MemoryLogService) => Promise<void>;
};

// Each case checks a guarantee of the log contract that the log follower or the record appender relies on.
const cases: Case[] = [
	{
		name: 'assigns consecutive offsets in append order',
		async run(log) {
			const first = await log.append('control', [record('a'), record('b')]);
			const second = await log.append('control', [record('c')]);
			assert.deepEqual([first._unsafeUnwrap(), second._unsafeUnwrap()], [0, 2]);
			const batch = await valueOf(log.read('control', at(1), readOptions));
			assert.deepEqual(
				batch.records.map(({id, offset}) => [id, offset]),
				[
					['b', 1],
					['c', 2],
				],
			);
			assert.equal(batch.next, 3);
		},
	},
	{
		name: 'does not return records of another stream',
		async run(log) {
			await log.append('control', [record('a')]);
			const batch = await valueOf(log.read('claims', at(0), readOptions));
			assert.deepEqual(batch, {records: [], next: 0});
		},
	},
	{
		name: 'limits a batch and returns the next offset',
		async run(log) {
			await log.append('control', [record('a'), record('b'), record('c')]);
			const batch = await log.read('control', at(0), {
				...readOptions,
				limit: 2,
			});
			assert.equal(batch._unsafeUnwrap().next, 2);
		},
	},
	{
		name: 'ends a waiting read when a record arrives',
		async run(log) {
			const read = log.read('control', at(0), {
				limit: 10,
				waitMilliseconds: 60_000,
			});
			await log.append('control', [record('a')]);
			const batch = await valueOf(read);
			assert.equal(batch.records.length, 1);
		},
	},
	{
		name: 'ends a waiting read when the reader aborts',
		async run(log) {
			const reader = new AbortController();
			const options = {limit: 10, waitMilliseconds: 60_000};
			const read = log.read('control', at(0), options, reader.signal);
			reader.abort();
			const batch = await valueOf(read);
			assert.equal(batch.records.length, 0);
		},
	},
	{
		name: 'rejects reads before the first retained offset',
		async run(log) {
			await log.append('control', [record('a'), record('b'), record('c')]);
			log.setRetention(1);
			const error = await errorOf(log.read('control', at(0), readOptions));
			assert.ok(error instanceof LogTruncatedError);
			assert.equal(error.earliest, 2);
			const bounds = await log.readBounds('control');
			assert.deepEqual(bounds._unsafeUnwrap(), {earliest: 2, next: 3});
		},
	},
	{
		name: 'fails all calls during an outage without taking effect',
		async run(log) {
			log.setOutage(true);
			for (const result of [
				await log.append('control', [record('a')]),
				await log.read('control', at(0), readOptions),
				await log.readBounds('control'),
			]) {
				assert.ok(result._unsafeUnwrapErr() instanceof LogUnavailableError);
			}

			log.setOutage(false);
			const bounds = await valueOf(log.readBounds('control'));
			assert.equal(bounds.next, 0);
		},
	},
	{
		name: 'fails waiting reads when an outage starts',
		async run(log) {
			const options = {limit: 10, waitMilliseconds: 60_000};
			const read = log.read('control', at(0), options);
			log.setOutage(true);
			assert.ok((await errorOf(read)) instanceof LogUnavailableError);
		},
	},
	{
		name: 'can lose the response to an append that took effect',
		async run(log) {
			log.loseAppendResponses(1);
			await errorOf(log.append('control', [record('a')]));
			await valueOf(log.append('control', [record('a')]));
			const batch = await valueOf(log.read('control', at(0), readOptions));
			assert.deepEqual(
				batch.records.map(({id}) => id),
				['a', 'a'],
			);
		},
	},
	{
		name: 'responds after the configured delay',
		async run(log) {
			log.setDelay(5);
			const append = log.append('control', [record('a')]);
			assert.equal(log.appendedRecords, 0);
			assert.equal(await valueOf(append), 0);
		},
	},
];

for (const {name, run} of cases) {
	test(`log contract: ${name}`, async () => run(new MemoryLogService()));
}
