import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {okAsync} from 'neverthrow';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type HostId} from '../../src/contracts/ids.js';
import {type StoredRecord} from '../../src/contracts/log-service.js';
import {parseOwnerRecord} from '../../src/contracts/owner-record.js';
import {decodeStreamRecord} from '../../src/contracts/stream-origin.js';
import {
	ClaimIndex,
	type ClaimEntry,
} from '../../src/core/claims/claim-index.js';
import {
	ControlState,
	type ControlSnapshot,
} from '../../src/core/documents/control-state.js';
import {SchemaOnlyDocumentValidator} from '../../src/core/documents/document-validator.js';
import {OwnerLease} from '../../src/core/leases/owner-lease.js';
import {decodeDocument} from '../../src/platform/document-state.js';
import {PlatformOwnerLog} from '../../src/platform/owner-log.js';
import {type StoreClient} from '../../src/platform/store-client.js';
import {decodeEntry} from '../../src/platform/target-list-state.js';
import {goldenBuilds, readGolden} from './golden-records.js';
import {productionCommit} from './production.js';
import {withUnknownFields} from './unknown-fields.js';

const seed = 20_261_205;
const validator = new SchemaOnlyDocumentValidator();

type OwnerGolden = {readonly text: string; readonly read: unknown};
type ControlGolden = {
	readonly records: readonly StoredRecord[];
	readonly snapshot: ControlSnapshot;
};
type ClaimGolden = {
	readonly records: readonly StoredRecord[];
	readonly entries: readonly ClaimEntry[];
};

const bytesOf = (value: unknown) => Buffer.from(JSON.stringify(value));

function applyControl(records: readonly StoredRecord[]): ControlState {
	const state = new ControlState(validator);
	for (const record of records) {
		const outcome = state.apply(record);
		assert.ok(outcome.accepted, JSON.stringify({record, outcome}));
	}

	return state;
}

function applyClaims(records: readonly StoredRecord[]): readonly ClaimEntry[] {
	const index = new ClaimIndex();
	for (const record of records) {
		index.apply(record);
	}

	return index.entriesBefore(Number.MAX_SAFE_INTEGER as never, 100);
}

/** Returns copies of records whose bodies have unknown fields. */
function extend(
	records: readonly StoredRecord[],
	random: SeededRandomSource,
): StoredRecord[] {
	return records.map((record) => ({
		...record,
		body: withUnknownFields(record.body, random),
	}));
}

function forAllRandom(check: (random: SeededRandomSource) => void): void {
	fc.assert(
		fc.property(fc.integer({min: 1, max: 2 ** 31}), (randomSeed) => {
			check(new SeededRandomSource(randomSeed));
		}),
		{seed, numRuns: 100},
	);
}

// Guards against a landing whose build in production has no golden records, so that the tests below check an older one.
test('there are golden records of the build in production', () => {
	assert.ok(goldenBuilds().includes(productionCommit().slice(0, 7)));
});

for (const build of goldenBuilds()) {
	// Guards against a lease that changes hands, or quarantined requests and software versions that are forgotten, when a
	// host of another build reads the records of the lease.
	test(`records of the owner lease of build ${build} are read as that build reads them`, () => {
		for (const {text, read} of readGolden<OwnerGolden[]>(
			build,
			'owner-records',
		)) {
			assert.deepEqual(parseOwnerRecord(Buffer.from(text)), read, text);
		}
	});

	test(`records of the owner lease of build ${build} may have unknown fields`, () => {
		forAllRandom((random) => {
			for (const {text, read} of readGolden<OwnerGolden[]>(
				build,
				'owner-records',
			)) {
				const extended = bytesOf(withUnknownFields(JSON.parse(text), random));
				assert.deepEqual(parseOwnerRecord(extended), read);
			}
		});
	});

	// Guards against streams that go on at targets of another software version after a change of builds.
	test(`stream records of build ${build} are read as that build reads them`, () => {
		for (const {text, read} of readGolden<OwnerGolden[]>(
			build,
			'stream-records',
		)) {
			assert.deepEqual(decodeStreamRecord(Buffer.from(text)), read);
		}
	});

	// Guards against leases, documents, plans and open orders that differ between hosts of two builds.
	test(`control records and snapshots of build ${build} lead to the same state`, () => {
		const {records, snapshot} = readGolden<ControlGolden>(
			build,
			'control-records',
		);
		assert.deepEqual(toJson(applyControl(records).snapshot()), snapshot);
		const restored = ControlState.restore(snapshot, validator)._unsafeUnwrap();
		assert.deepEqual(toJson(restored.snapshot()), snapshot);
	});

	test(`control records of build ${build} may have unknown fields`, () => {
		const {records, snapshot} = readGolden<ControlGolden>(
			build,
			'control-records',
		);
		forAllRandom((random) => {
			// The document of operators has a schema that refuses unknown fields on purpose.
			const extended = extend(records, random).map((record, index) => {
				const {document} = records[index]!.body as {document?: unknown};
				return document === undefined
					? record
					: {...record, body: {...(record.body as object), document}};
			});
			assert.deepEqual(toJson(applyControl(extended).snapshot()), snapshot);
		});
	});

	test(`snapshots of build ${build} may have unknown fields`, () => {
		const {snapshot} = readGolden<ControlGolden>(build, 'control-records');
		forAllRandom((random) => {
			const extended = {
				...(withUnknownFields(snapshot, random) as ControlSnapshot),
				document: snapshot.document,
			};
			const restored = ControlState.restore(extended, validator);
			assert.ok(restored.isOk());
			assert.equal(restored.value.nextOffset, snapshot.next);
			assert.equal(restored.value.revision, snapshot.revision);
			assert.equal(restored.value.leases.size, snapshot.leases.length);
			assert.equal(
				[...restored.value.openIntents.values()].flat().length,
				snapshot.intents.length,
			);
		});
	});

	// Guards against a key that runs twice, because a host of another build doesn't see that it was claimed.
	test(`claim records of build ${build} are read as that build reads them`, () => {
		const {records, entries} = readGolden<ClaimGolden>(build, 'claim-records');
		assert.deepEqual(toJson(applyClaims(records)), entries);
		forAllRandom((random) => {
			assert.deepEqual(toJson(applyClaims(extend(records, random))), entries);
		});
	});
}

// Guards against a lease record that counts as none because of a part that doesn't decide on the lease.
test('an unreadable version report does not hide a record of the lease', () => {
	const record = {
		kind: 'renewed',
		host: 'host-a',
		incarnation: 'run-a',
		peerAddress: '10.0.0.1:7000',
	};
	fc.assert(
		fc.property(fc.jsonValue(), (versionReport) => {
			const read = parseOwnerRecord(bytesOf({...record, versionReport}));
			assert.equal(read?.kind, 'renewed');
			assert.equal(read?.incarnation, 'run-a');
		}),
		{seed},
	);
});

// As above. The fingerprints of later builds can have another form.
test('unreadable suspicions do not hide a record of the lease', () => {
	const record = {
		kind: 'renewed',
		host: 'host-a',
		incarnation: 'run-a',
		peerAddress: '10.0.0.1:7000',
	};
	const suspicions = [{fingerprint: 'print-1', deaths: {later: 'form'}}];
	const read = parseOwnerRecord(bytesOf({...record, suspicions}));
	assert.equal(read?.kind, 'renewed');
});

// Guards against two owners: a host that can't read the records of a holder must not take the lease from it while they
// are written.
test('a host does not claim the lease while records of an unknown kind are written', async () => {
	const renewalMilliseconds = 800;
	const records = [{kind: 'claimed'}].map((record, position) => ({
		position,
		body: recordOfHolder(record.kind),
	}));
	const log = new PlatformOwnerLog({
		readRetained: (_topic: string, from = 0) =>
			okAsync({records: records.slice(from), next: records.length}),
	} as unknown as StoreClient);
	const lease = new OwnerLease(
		{
			host: 'host-b' as HostId,
			incarnation: 'run-b',
			peerAddress: '10.0.0.2:7000',
		},
		{
			renewalMilliseconds,
			validityMilliseconds: 1500,
			takeoverDelayMilliseconds: 1800,
			handoverMilliseconds: 3000,
		},
	);
	for (let now = 0; now < 6000; now += 100) {
		if (now > 0 && now % renewalMilliseconds === 0) {
			records.push({
				position: records.length,
				body: recordOfHolder('later-kind'),
			});
		}

		const step = lease.nextStep(now, false);
		assert.notEqual(
			step.kind,
			'append',
			`claims ${now % renewalMilliseconds} ms after a record of the holder, at ${now} ms`,
		);
		const read = await log.read(lease.readPosition);
		lease.applyRecords(read._unsafeUnwrap(), now);
	}
});

function recordOfHolder(kind: string): Buffer {
	return bytesOf({
		kind,
		host: 'host-a',
		incarnation: 'run-a',
		peerAddress: '10.0.0.1:7000',
	});
}

// Guards against streams that go on at another software version because a later build tells more of them.
test('stream records may have unknown fields beside the versions', () => {
	for (const later of [1, 'text', true, null, {a: 1}]) {
		const read = decodeStreamRecord(
			bytesOf({v1: ['request-1'], v2: ['request-2'], later}),
		);
		assert.deepEqual(
			read,
			[
				{stream: 'request-1', version: 'v1'},
				{stream: 'request-2', version: 'v2'},
			],
			JSON.stringify(later),
		);
	}
});

// Guards against a reader that stops at the first record that it doesn't know.
test('records of any other form are passed over without an error', () => {
	fc.assert(
		fc.property(fc.jsonValue(), fc.nat(10), (body, offset) => {
			parseOwnerRecord(bytesOf(body));
			decodeStreamRecord(bytesOf(body));
			const state = new ControlState(validator);
			const outcome = state.apply({
				id: 'record-x',
				offset,
				body,
			} as StoredRecord);
			assert.ok(!outcome.accepted);
			assert.equal(state.nextOffset, offset + 1);
			const index = new ClaimIndex();
			index.apply({id: 'record-x', offset, body} as StoredRecord);
			assert.equal(index.nextOffset, offset + 1);
		}),
		{seed},
	);
});

// Guards against an upgrade of operators' tools or workers that hosts of this build answer by refusing all.
test('configurations and entries of workers may have unknown fields', () => {
	const configuration = {
		version: 3,
		routes: [
			{
				name: 'r',
				host: 'a.example',
				prefix: '/',
				kind: 'stream',
				timeout_ms: 1000,
				service: 's',
				split: [{service: 's', weight: 1}],
			},
		],
		services: [
			{
				name: 's',
				engine: {weights_mb: 100, models: [{name: 'm', weights_mb: 10}]},
			},
		],
		limits: {
			header_bytes: 1000,
			max_body_bytes: 1000,
			header_ms: 1000,
			idle_ms: 1000,
		},
	};
	const entry = {
		service: 's',
		version: 'v1',
		addr: '127.0.0.1:80',
		zone: 'z',
		slots: 4,
		state: 'ready',
		born: 17,
		seq: 1,
		models: [{name: 'm', version: 1, adapters: ['a']}],
		at_hand: {in_memory: ['m'], on_disk: []},
	};
	const document = decodeDocument(bytesOf(configuration));
	const target = decodeEntry('w-1', bytesOf(entry));
	assert.equal(document.kind, 'document');
	assert.equal(target.kind, 'listed');
	forAllRandom((random) => {
		assert.deepEqual(
			decodeDocument(bytesOf(withUnknownFields(configuration, random))),
			document,
		);
		assert.deepEqual(
			decodeEntry('w-1', bytesOf(withUnknownFields(entry, random))),
			target,
		);
	});
});

/** Returns data as another host receives it, without undefined fields. */
function toJson(value: unknown): unknown {
	const text = JSON.stringify(value);
	return JSON.parse(text);
}
