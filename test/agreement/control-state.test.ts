import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type LogOffset, type RecordId} from '../../src/contracts/ids.js';
import {ControlState} from '../../src/core/control-state.js';
import {SchemaOnlyDocumentValidator} from '../../src/core/document-validator.js';
import {Membership} from '../../src/core/membership.js';
import {groupLease, planLease, sampleDocument} from './harness.js';

const submit = (document: unknown, expectedRevision = 0) => ({
	kind: 'document-submitted',
	expectedRevision,
	operator: 'anna',
	summary: 'edit',
	time: 0,
	document,
});
const claim = (lease: string, expectedOffset: number | null = null) => ({
	kind: 'lease-claimed',
	lease,
	holder: 'host-a',
	incarnation: 'run-a',
	expectedOffset,
	reason: 'test',
	time: 0,
});
const intend = (
	orderId: string,
	token: number,
	lease: string = groupLease,
) => ({
	kind: 'orders-intended',
	lease,
	token,
	orders: [
		{
			orderId,
			target: 'engine-1',
			action: 'load',
			artifact: 'model/base@1',
			bytes: 1,
		},
	],
});
const settle = (orderId: string, outcome: string, by: string) => ({
	kind: 'orders-settled',
	orders: [{orderId, outcome}],
	by,
});
const base = [submit(sampleDocument()), claim(groupLease)];

// Each case guards one rule of the fold: the outcome of its last record.
const cases: Array<[name: string, records: unknown[], expected: string]> = [
	['an unknown kind is ignored', [{kind: 'unknown'}], 'malformed'],
	['a document without pools is ignored', [submit({})], 'invalid-document'],
	[
		'the second of two edits of one revision loses',
		[base[0], base[0]],
		'conflict',
	],
	[
		'a claim on an older record loses',
		[...base, claim(groupLease)],
		'stale-claim',
	],
	[
		'a claim on the last record wins',
		[...base, claim(groupLease, 1)],
		'accepted',
	],
	[
		'a renewal defeats a claim on the record before',
		[
			...base,
			{
				kind: 'leases-renewed',
				incarnation: 'run-a',
				leases: [{lease: groupLease, token: 1}],
			},
			claim(groupLease, 1),
		],
		'stale-claim',
	],
	[
		'a released token is not current',
		[
			...base,
			{kind: 'lease-released', lease: groupLease, token: 1, time: 0},
			intend('one', 1),
		],
		'stale-token',
	],
	[
		'an intent under a current token counts',
		[...base, intend('one', 1)],
		'accepted',
	],
	[
		'an intent under a replaced token is ignored',
		[...base, claim(groupLease, 1), intend('one', 1)],
		'stale-token',
	],
	[
		'an intent under the lease of another group is ignored',
		[...base, claim(planLease), intend('one', 2, planLease)],
		'wrong-group',
	],
	[
		'only the sender settles an order as not sent',
		[...base, intend('one', 1), settle('one', 'not-sent', 'run-b')],
		'unknown-order',
	],
	[
		'a report settles the order of a dead sender',
		[...base, intend('one', 1), settle('one', 'applied', 'run-b')],
		'accepted',
	],
	[
		'a host that stopped claims nothing',
		[
			{
				kind: 'host-started',
				host: 'host-a',
				incarnation: 'run-a',
				failureDomain: 'north',
				peerAddress: '',
				time: 0,
			},
			{kind: 'host-stopped', host: 'host-a', incarnation: 'run-a', time: 0},
			claim(groupLease),
		],
		'stopped-host',
	],
];

for (const [name, records, expected] of cases) {
	test(`fold: ${name}`, () => {
		const validator = new SchemaOnlyDocumentValidator();
		let state = new ControlState(validator);
		let outcome = '';
		for (const [offset, body] of records.entries()) {
			// Every record is folded by a state that went through a snapshot.
			const stored = JSON.stringify(state.snapshot());
			const data: unknown = JSON.parse(stored);
			state = ControlState.restore(data, validator)._unsafeUnwrap();
			const result = state.apply({
				id: `record-${offset}` as RecordId,
				offset: offset as LogOffset,
				body,
			});
			outcome = result.accepted ? 'accepted' : result.code;
			const again = state.apply({
				id: `record-${offset}` as RecordId,
				offset: offset as LogOffset,
				body,
			});
			assert.ok(!again.accepted, 'one offset was folded twice');
		}

		assert.equal(outcome, expected);
	});
}

// Guards against a lost answer whose repetition is folded on the far side of a snapshot.
test('fold: a repeated record is ignored after a restore', () => {
	const validator = new SchemaOnlyDocumentValidator();
	const state = new ControlState(validator);
	const body = {
		kind: 'host-started',
		host: 'host-a',
		incarnation: 'run-a',
		failureDomain: 'north',
		peerAddress: '',
		time: 0,
	};
	state.apply({id: 'one' as RecordId, offset: 0 as LogOffset, body});
	const restored = ControlState.restore(state.snapshot(), validator);
	const outcome = restored
		._unsafeUnwrap()
		.apply({id: 'one' as RecordId, offset: 1 as LogOffset, body});
	assert.equal(outcome.accepted ? '' : outcome.code, 'duplicate');
});

// Guards against a restarted host that stays gone, and against an earlier run that comes back.
test('membership: the later run of a host counts', () => {
	const membership = new Membership('self' as never, 0);
	const run = (
		incarnation: string,
		startedOffset: number,
		stopped = false,
	) => ({
		host: 'host-a' as never,
		incarnation: incarnation as never,
		failureDomain: 'north' as never,
		peerAddress: '',
		startedAt: 0,
		startedOffset: startedOffset as LogOffset,
		stopped,
		leaving: false,
	});
	membership.observeRecords([run('run-1', 0)], 0);
	assert.deepEqual(membership.liveHosts(0), ['host-a']);
	assert.deepEqual(membership.liveHosts(4000), []);
	membership.observeHeartbeat(run('run-2', 5), 4000);
	membership.observeRecords([run('run-1', 0, true)], 4000);
	assert.deepEqual(membership.liveHosts(4000), ['host-a']);
	membership.observeRecords([run('run-2', 5)], 4000);
	assert.equal(membership.observeHeartbeat(run('run-1', 0), 4100), false);
	membership.observeRecords([run('run-2', 5, true)], 4200);
	assert.equal(membership.members(4200)[0]?.status, 'gone');
	assert.ok(!membership.isIsolated(14_000));
	assert.ok(membership.isIsolated(14_001));
});
