import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type LogOffset, type RecordId} from '../../src/contracts/ids.js';
import {ControlState} from '../../src/core/documents/control-state.js';
import {SchemaOnlyDocumentValidator} from '../../src/core/documents/document-validator.js';
import {Membership} from '../../src/core/membership/membership.js';
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

// Each case applies its records in order and states the expected outcome of the last one.
const cases: Array<[name: string, records: unknown[], expected: string]> = [
	['a record of unknown kind is ignored', [{kind: 'unknown'}], 'malformed'],
	['a document without pools is rejected', [submit({})], 'invalid-document'],
	[
		'the second of two edits of the same revision is a conflict',
		[base[0], base[0]],
		'conflict',
	],
	[
		'a claim that expects an outdated record is rejected',
		[...base, claim(groupLease)],
		'stale-claim',
	],
	[
		'a claim that expects the last record is accepted',
		[...base, claim(groupLease, 1)],
		'accepted',
	],
	[
		'a claim that expects the record before a renewal is rejected',
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
		'an intent under a released token is ignored',
		[
			...base,
			{kind: 'lease-released', lease: groupLease, token: 1, time: 0},
			intend('one', 1),
		],
		'stale-token',
	],
	[
		'an intent under a current token is accepted',
		[...base, intend('one', 1)],
		'accepted',
	],
	[
		'an intent under a superseded token is ignored',
		[...base, claim(groupLease, 1), intend('one', 1)],
		'stale-token',
	],
	[
		'an intent under the lease of another group is ignored',
		[...base, claim(planLease), intend('one', 2, planLease)],
		'wrong-group',
	],
	[
		'a host other than the sender cannot settle an order as not sent',
		[...base, intend('one', 1), settle('one', 'not-sent', 'run-b')],
		'unknown-order',
	],
	[
		'another host can settle an order of a failed sender as applied',
		[...base, intend('one', 1), settle('one', 'applied', 'run-b')],
		'accepted',
	],
	[
		'a claim of a stopped host is rejected',
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
	test(`control state: ${name}`, () => {
		const validator = new SchemaOnlyDocumentValidator();
		let state = new ControlState(validator);
		let outcome = '';
		for (const [offset, body] of records.entries()) {
			// Each record is applied to a state that was restored from a snapshot.
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
			assert.ok(
				!again.accepted,
				'A record was applied twice at the same offset.',
			);
		}

		assert.equal(outcome, expected);
	});
}

// After a lost append response, the repeated record can arrive after a snapshot was restored.
test('control state: a repeated record is ignored after a snapshot is restored', () => {
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

// Guards against a restarted host that stays gone, and against an earlier incarnation that replaces a later one.
test('membership: the latest incarnation of a host determines its status', () => {
	const membership = new Membership('self' as never, 0);
	const createRecord = (
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
	membership.observeRecords([createRecord('run-1', 0)], 0);
	assert.deepEqual(membership.liveHosts(0), ['host-a']);
	assert.deepEqual(membership.liveHosts(4000), []);
	membership.observeHeartbeat(createRecord('run-2', 5), 4000);
	membership.observeRecords([createRecord('run-1', 0, true)], 4000);
	assert.deepEqual(membership.liveHosts(4000), ['host-a']);
	membership.observeRecords([createRecord('run-2', 5)], 4000);
	assert.equal(
		membership.observeHeartbeat(createRecord('run-1', 0), 4100),
		false,
	);
	membership.observeRecords([createRecord('run-2', 5, true)], 4200);
	assert.equal(membership.members(4200)[0]?.status, 'gone');
	assert.ok(!membership.isIsolated(14_000));
	assert.ok(membership.isIsolated(14_001));
});
