import assert from 'node:assert/strict';
import {test} from 'node:test';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {
	targetReportSchema,
	type TargetReport,
} from '../../src/contracts/engine.js';
import {
	TargetObservationSchema,
	type TargetObservation,
} from '../../src/generated/daisylever/peer/v1/peer_pb.js';
import {
	ObservationDecoder,
	ObservationEncoder,
} from '../../src/services/observation-codec.js';

function reportOf(changes: Record<string, unknown> = {}): TargetReport {
	return targetReportSchema.parse({
		target: 'engine-1',
		incarnation: 'run-1',
		sequence: 1,
		leaving: false,
		role: 'mixed',
		memoryBytes: 100,
		artifacts: [{key: 'model/base@1', bytes: 10, state: 'resident'}],
		highestToken: 3,
		running: 1,
		queued: 0,
		slots: 8,
		appliedOrders: [],
		...changes,
	});
}

function encodeAndTransfer(
	encoder: ObservationEncoder,
	report: TargetReport,
	now: number,
	includeReport = false,
): TargetObservation {
	const message = create(
		TargetObservationSchema,
		encoder.encode(report, {ageMilliseconds: 5, now, includeReport}),
	);
	return fromBinary(
		TargetObservationSchema,
		toBinary(TargetObservationSchema, message),
	);
}

// Guards against routing by an outdated load because the short form omits a field.
test('a load updates every load field of the last received report', () => {
	const encoder = new ObservationEncoder();
	const decoder = new ObservationDecoder();
	const first = decoder.decode(
		encodeAndTransfer(encoder, reportOf(), 0),
		undefined,
		0,
	);
	assert.deepEqual(first, reportOf());
	const next = reportOf({
		sequence: 2,
		running: 7,
		queued: 4,
		highestToken: 9,
		leaving: true,
	});
	const message = encodeAndTransfer(encoder, next, 5000);
	assert.equal(message.report.length, 0);
	assert.deepEqual(decoder.decode(message, first, 5000), next);
	assert.equal(decoder.wantsReports(5000), false);
});

// Guards against routing to a target that no longer has a model, after the heartbeats with the change were lost.
for (const [name, change] of Object.entries({
	artifacts: {artifacts: []},
	incarnation: {incarnation: 'run-2'},
	role: {role: 'decode'},
	memory: {memoryBytes: 50},
	slots: {slots: 4},
})) {
	test(`a load is not combined with a report that has a different value of ${name}`, () => {
		const encoder = new ObservationEncoder();
		const decoder = new ObservationDecoder();
		const changed = reportOf({sequence: 2, ...change});
		assert.notEqual(encodeAndTransfer(encoder, changed, 0).report.length, 0);
		const message = encodeAndTransfer(encoder, changed, 5000);
		assert.equal(decoder.decode(message, reportOf(), 5000), undefined);
		assert.equal(decoder.wantsReports(5000), true);
		const complete = encodeAndTransfer(encoder, changed, 6000, true);
		assert.deepEqual(decoder.decode(complete, reportOf(), 6000), changed);
		assert.equal(decoder.wantsReports(6000), false);
	});
}

// Guards against a change that only the first of many peers receives.
test('a change is sent in full for longer than two heartbeat intervals', () => {
	const encoder = new ObservationEncoder();
	encodeAndTransfer(encoder, reportOf(), 0);
	const changed = reportOf({sequence: 2, artifacts: []});
	for (const now of [10_000, 11_000, 12_000]) {
		assert.notEqual(encodeAndTransfer(encoder, changed, now).report.length, 0);
	}

	assert.equal(encodeAndTransfer(encoder, changed, 13_000).report.length, 0);
});

// Guards against a host that requests complete reports forever after a target was removed.
test('a host stops requesting a report that no peer sends any more', () => {
	const decoder = new ObservationDecoder();
	const encoder = new ObservationEncoder();
	encodeAndTransfer(encoder, reportOf(), 0);
	decoder.decode(encodeAndTransfer(encoder, reportOf(), 5000), undefined, 5000);
	assert.equal(decoder.wantsReports(6000), true);
	assert.equal(decoder.wantsReports(9000), false);
});

// Guards against a malformed heartbeat that terminates the process.
test('a malformed report is ignored', () => {
	const message = create(TargetObservationSchema, {
		target: 'engine-1',
		report: new Uint8Array([123]),
	});
	assert.equal(
		new ObservationDecoder().decode(message, undefined, 0),
		undefined,
	);
});
