import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	clone,
	create,
	equals,
	fromBinary,
	toBinary,
	toJson,
	type DescMessage,
	type Message,
	type UnknownField,
} from '@bufbuild/protobuf';
import fc from 'fast-check';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {file_daisylever_forwarding_v1_forwarding as forwardingFile} from '../../src/generated/daisylever/forwarding/v1/forwarding_pb.js';
import {
	file_daisylever_owner_v1_owner as ownerFile,
	ReportRequestSchema,
	TargetListUpdateSchema,
	SuspicionSchema,
	LeaseStateSchema,
	TargetContentSchema,
	TargetRateSchema,
	BrittleTargetSchema,
	SeenVersionSchema,
} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {file_daisylever_peer_v1_peer as peerFile} from '../../src/generated/daisylever/peer/v1/peer_pb.js';
import {
	fromBrittleTarget,
	fromLeaseState,
	fromLeavingTargets,
	fromRateChange,
	fromReportRequest,
	fromSeenVersion,
	fromSuspicion,
	fromTargetContent,
	fromTargetListUpdate,
	fromVersionedStreams,
} from '../../src/services/forwarding/reports/report-messages.js';
import {goldenBuilds, readGolden} from './golden-records.js';

const seed = 20_261_205;
const schemas = new Map<string, DescMessage>(
	[forwardingFile, ownerFile, peerFile].flatMap((file) =>
		file.messages.map((schema) => [schema.typeName, schema] as const),
	),
);

type MessageGolden = {
	readonly type: string;
	readonly bytes: string;
	readonly read: unknown;
};

/** Adds fields that no build knows to a message and all messages in it. */
function addUnknownFields(
	schema: DescMessage,
	message: Message,
	random: SeededRandomSource,
): void {
	message.$unknown = Array.from(
		{length: 1 + random.integer(3)},
		(): UnknownField => unknownField(random),
	);
	for (const field of schema.fields) {
		if (!field.message) {
			continue;
		}

		const record = message as unknown as Record<string, unknown>;
		const value = field.oneof
			? oneofValue(record[field.oneof.localName], field.localName)
			: record[field.localName];
		for (const child of Array.isArray(value) ? value : [value]) {
			if (child !== undefined) {
				addUnknownFields(field.message, child as Message, random);
			}
		}
	}
}

function oneofValue(oneof: unknown, name: string): unknown {
	const {case: present, value} = oneof as {case?: string; value?: unknown};
	return present === name ? value : undefined;
}

/** Returns a field of a high number with a value of any wire type other than groups, which proto3 lacks. */
function unknownField(random: SeededRandomSource): UnknownField {
	const no = 1000 + random.integer(5000);
	const byte = random.integer(128);
	const forms: ReadonlyArray<Pick<UnknownField, 'wireType' | 'data'>> = [
		{wireType: 0, data: Uint8Array.of(byte)},
		{wireType: 1, data: new Uint8Array(8).fill(byte)},
		{wireType: 2, data: Uint8Array.of(3, byte, 255, 0)},
		{wireType: 5, data: new Uint8Array(4).fill(byte)},
	];
	return {no, ...forms[random.integer(forms.length)]!};
}

/** Returns a random message. All its fields are set to small values, or left out. */
function randomMessage(
	schema: DescMessage,
	random: SeededRandomSource,
	depth = 0,
): Message {
	const message = create(schema);
	const record = message as unknown as Record<string, unknown>;
	for (const field of schema.fields) {
		if (random.integer(4) === 0 || depth > 4) {
			continue;
		}

		const value = () =>
			field.message
				? randomMessage(field.message, random, depth + 1)
				: scalarValue(
						'scalar' in field ? (field.scalar as number) : -1,
						random,
						field.name,
					);
		if (field.oneof) {
			record[field.oneof.localName] = {case: field.localName, value: value()};
		} else {
			record[field.localName] =
				field.fieldKind === 'list'
					? Array.from({length: random.integer(3)}, value)
					: value();
		}
	}

	return message;
}

function scalarValue(
	scalar: number,
	random: SeededRandomSource,
	name: string,
): unknown {
	const number = random.integer(1_000_000);
	const values: Readonly<Record<number, unknown>> = {
		1: number / 7,
		4: BigInt(number) * 1_000_000_007n,
		7: number,
		8: number % 2 === 0,
		9: `text-${number}`,
		12: Uint8Array.of(number % 256),
		13: number,
		17: number - 500_000,
	};
	assert.ok(scalar in values, `${name} has the unexpected type ${scalar}`);
	return values[scalar];
}

for (const build of goldenBuilds()) {
	// Guards against fields that hosts of two builds understand differently, with the same number or in the same place.
	test(`messages of build ${build} are read as that build wrote them`, () => {
		const golden = readGolden<MessageGolden[]>(build, 'messages');
		assert.ok(golden.length > 30);
		for (const {type, bytes, read} of golden) {
			const schema = schemas.get(type);
			assert.ok(schema, `${type} is gone`);
			const message = fromBinary(schema, Buffer.from(bytes, 'base64'));
			assert.deepEqual(toJson(schema, message), read, type);
			assert.equal(message.$unknown, undefined, type);
		}
	});
}

for (const [type, schema] of schemas) {
	// Guards against a message that counts as malformed, or is read as another, because a later build tells more in it.
	test(`${type} may have unknown fields`, () => {
		fc.assert(
			fc.property(fc.integer({min: 1, max: 2 ** 31}), (randomSeed) => {
				const random = new SeededRandomSource(randomSeed);
				const message = randomMessage(schema, random);
				const extended = clone(schema, message);
				addUnknownFields(schema, extended, random);
				const read = fromBinary(schema, toBinary(schema, extended), {
					readUnknownFields: false,
				});
				assert.ok(equals(schema, read, message));
			}),
			{seed, numRuns: 50},
		);
	});
}

const readers: ReadonlyArray<
	readonly [DescMessage, (message: never) => unknown]
> = [
	[ReportRequestSchema, fromReportRequest],
	[TargetListUpdateSchema, fromTargetListUpdate],
	[SuspicionSchema, fromSuspicion],
	[LeaseStateSchema, fromLeaseState],
	[TargetContentSchema, fromTargetContent],
	[TargetRateSchema, fromRateChange],
	[BrittleTargetSchema, fromBrittleTarget],
	[SeenVersionSchema, fromSeenVersion],
];

for (const [schema, read] of readers) {
	// Guards against unknown fields that reach the state of a host, from which they could be passed on or compared.
	test(`the host reads ${schema.name} as if it had no unknown fields`, () => {
		fc.assert(
			fc.property(fc.integer({min: 1, max: 2 ** 31}), (randomSeed) => {
				const random = new SeededRandomSource(randomSeed);
				const message = randomMessage(schema, random);
				const extended = clone(schema, message);
				addUnknownFields(schema, extended, random);
				const received = fromBinary(schema, toBinary(schema, extended));
				assert.deepEqual(read(received as never), read(message as never));
			}),
			{seed, numRuns: 50},
		);
	});

	// Guards against a host that fails on a message of an earlier build, in which fields that were added later are absent.
	test(`the host reads ${schema.name} without any field`, () => {
		assert.doesNotThrow(() => read(create(schema) as never));
	});
}

// Guards against parts of a report that are read elsewhere than in `fromReportRequest`.
test('the lists of a report may have unknown fields', () => {
	fc.assert(
		fc.property(fc.integer({min: 1, max: 2 ** 31}), (randomSeed) => {
			const random = new SeededRandomSource(randomSeed);
			const message = randomMessage(ReportRequestSchema, random) as never;
			const extended = clone(ReportRequestSchema, message);
			addUnknownFields(ReportRequestSchema, extended, random);
			const {leaving, streams} = message as typeof extended;
			assert.deepEqual(
				fromLeavingTargets(extended.leaving),
				fromLeavingTargets(leaving),
			);
			assert.deepEqual(
				fromVersionedStreams(extended.streams),
				fromVersionedStreams(streams),
			);
		}),
		{seed, numRuns: 50},
	);
});
