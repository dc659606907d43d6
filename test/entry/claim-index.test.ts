import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	type ClaimRecord,
	type RecordedOutcome,
} from '../../src/contracts/claim-record.js';
import {
	type CallerId,
	type HostId,
	type IdempotencyKey,
	type IncarnationId,
	type LogOffset,
	type RecordId,
	type RequestId,
} from '../../src/contracts/ids.js';
import {ClaimIndex} from '../../src/core/claims/claim-index.js';

const caller = 'workshop-7' as CallerId;
const claimWindowMilliseconds = 1000;

function claim(
	key: string,
	requestId: string,
	time: number,
): ClaimRecord & {kind: 'key-claimed'} {
	return {
		kind: 'key-claimed',
		caller,
		key: key as IdempotencyKey,
		bodyDigest: 'digest',
		requestId: requestId as RequestId,
		host: 'host-1' as HostId,
		incarnation: 'run-1' as IncarnationId,
		time,
		expiresAt: time + claimWindowMilliseconds,
	};
}

const outcome: RecordedOutcome = {status: 200};

function release(
	record: ClaimRecord & {kind: 'key-claimed'},
): ClaimRecord & {kind: 'key-released'} {
	return {
		kind: 'key-released',
		caller: record.caller,
		key: record.key,
		requestId: record.requestId,
		incarnation: record.incarnation,
	};
}

function applyAll(records: readonly ClaimRecord[]): ClaimIndex {
	const index = new ClaimIndex();
	for (const [offset, body] of records.entries()) {
		index.apply({
			offset: offset as LogOffset,
			id: `record-${offset}` as RecordId,
			body,
		});
	}

	return index;
}

const cases: ReadonlyArray<{
	readonly failure: string;
	readonly records: readonly ClaimRecord[];
	readonly holder: string | undefined;
}> = [
	{
		failure: 'a later claim replaces the first one',
		records: [claim('key-0001', 'a', 0), claim('key-0001', 'b', 1)],
		holder: 'a',
	},
	{
		failure: 'a released key cannot be claimed again',
		records: [
			claim('key-0001', 'a', 0),
			release(claim('key-0001', 'a', 0)),
			claim('key-0001', 'b', 1),
		],
		holder: 'b',
	},
	{
		failure: 'a repeated append of a released claim restores it',
		records: [
			claim('key-0001', 'a', 0),
			release(claim('key-0001', 'a', 0)),
			claim('key-0001', 'a', 0),
		],
		holder: undefined,
	},
	{
		failure: 'another request releases a claim that it does not hold',
		records: [claim('key-0001', 'a', 0), release(claim('key-0001', 'b', 0))],
		holder: 'a',
	},
	{
		failure: 'an expired key blocks a new claim',
		records: [
			claim('key-0001', 'a', 0),
			claim('key-0001', 'b', claimWindowMilliseconds + 1),
		],
		holder: 'b',
	},
	{
		failure: 'a key can be claimed again at the exact end of its window',
		records: [
			claim('key-0001', 'a', 0),
			claim('key-0001', 'b', claimWindowMilliseconds),
		],
		holder: 'a',
	},
];

for (const {failure, records, holder} of cases) {
	test(`claim index: guards against the failure that ${failure}`, () => {
		const entry = applyAll(records).getEntry(
			caller,
			'key-0001' as IdempotencyKey,
		);
		assert.equal(entry?.requestId, holder);
	});
}

function settle(
	record: ClaimRecord & {kind: 'key-claimed'},
): ClaimRecord & {kind: 'key-settled'} {
	return {...release(record), kind: 'key-settled', outcome};
}

/** Creates the record that carries forward all entries of a reader that has applied the given records. */
function carry(
	records: readonly ClaimRecord[],
): ClaimRecord & {kind: 'claims-carried'} {
	return {
		kind: 'claims-carried',
		time: 0,
		asOf: records.length as LogOffset,
		entries: applyAll(records)
			.entriesBefore(records.length as LogOffset, 100)
			.map(({offset, ...entry}) => entry),
	};
}

// Guards against the loss of an outcome: the settlement would be truncated while the only newer record of the
// key is a claims-carried record without its outcome.
test('a settled entry is not replaced by a claims-carried record created before its settlement', () => {
	const first = claim('key-0001', 'a', 0);
	const index = applyAll([first, settle(first), carry([first])]);
	const [stale] = index.entriesBefore(2 as LogOffset, 10);
	assert.equal(stale?.state, 'settled');
});

// Guards against a reader that started between a claim and its settlement and permanently treats the call as running.
test('a settlement is applied to its claim that is carried forward later', () => {
	const first = claim('key-0001', 'a', 0);
	const lateReader = applyAll([settle(first), carry([first])]);
	assert.deepEqual(lateReader.getEntry(caller, first.key)?.outcome, outcome);
	assert.equal(lateReader.entriesBefore(1 as LogOffset, 10).length, 1);
});

// Guards against a reader that started after a claim was truncated and permanently keeps a rejected later claim.
test('a carried claim replaces a rejected claim that its appender had applied', () => {
	const first = claim('key-0001', 'a', 0);
	const rejected = claim('key-0001', 'b', 10);
	const lateReader = applyAll([rejected, carry([first, rejected])]);
	const entry = lateReader.getEntry(caller, first.key);
	assert.equal(entry?.requestId, 'a');
	assert.equal(entry?.expiresAt, rejected.expiresAt);
});

// Guards against a late claims-carried record that restores a released claim and replaces the new one.
test('a carried claim does not replace a later claim that its appender had not applied', () => {
	const first = claim('key-0001', 'a', 0);
	const second = claim('key-0001', 'b', 10);
	const stale = carry([first]);
	const lateReader = applyAll([
		{...second},
		{...stale, asOf: 0 as LogOffset},
		settle(second),
	]);
	const entry = lateReader.getEntry(caller, first.key);
	assert.equal(entry?.requestId, 'b');
	assert.deepEqual(entry?.outcome, outcome);
});

// Guards against a reader with a fast clock that removes an entry while it is still valid on other hosts.
test('an expired entry is kept for the clock tolerance', () => {
	const index = applyAll([claim('key-0001', 'a', 0)]);
	index.removeExpired(claimWindowMilliseconds + 1000);
	assert.equal(index.size, 1);
	index.removeExpired(claimWindowMilliseconds + 3_600_001);
	assert.equal(index.size, 0);
});

// Guards against claims that are lost when the log is truncated, and against carried claims that replace a newer state.
test('a reader that starts at a claims-carried record has every key that a reader of all records has', () => {
	const command = fc.record({
		kind: fc.constantFrom('claim', 'release', 'settle'),
		key: fc.integer({min: 0, max: 4}),
		request: fc.integer({min: 0, max: 9}),
	});
	fc.assert(
		fc.property(
			fc.array(command, {maxLength: 40}),
			fc.array(command, {maxLength: 20}),
			(before, after) => {
				const toRecord = ({
					kind,
					key,
					request,
				}: {
					kind: string;
					key: number;
					request: number;
				}): ClaimRecord => {
					const claimed = claim(`key-000${key}`, `request-${request}`, 0);
					if (kind === 'claim') {
						return claimed;
					}

					return kind === 'release'
						? release(claimed)
						: {
								...release(claimed),
								kind: 'key-settled',
								outcome: {status: 200},
							};
				};

				const first = before.map((item) => toRecord(item));
				const carried: ClaimRecord = {
					kind: 'claims-carried',
					time: 0,
					asOf: first.length as LogOffset,
					entries: applyAll(first)
						.entriesBefore(first.length as LogOffset, 100)
						.map(({offset, ...entry}) => entry),
				};
				const retained = [carried, ...after.map((item) => toRecord(item))];
				const complete = applyAll([...first, ...retained]);
				const lateReader = applyAll(retained);
				for (let key = 0; key <= 4; key += 1) {
					const name = `key-000${key}` as IdempotencyKey;
					const expected = complete.getEntry(caller, name);
					if (expected) {
						// A late reader may have another claim of the key only if the first one was released, so that no call runs twice.
						assert.ok(
							lateReader.getEntry(caller, name),
							`The late reader has no entry for ${name}.`,
						);
					}
				}
			},
		),
		{seed: 4711, numRuns: 500},
	);
});
