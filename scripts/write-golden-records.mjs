// Writes the golden records of an earlier build, which the tests of the present build read. The records are made by the
// earlier build's own code. Run from the repository root, with a folder that holds the earlier build's sources and its
// node_modules: node --import tsx scripts/write-golden-records.mjs FOLDER OUTPUT
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';

const [folder, output] = process.argv
	.slice(2)
	.map((each) => path.resolve(each));
const load = async (file) =>
	import(pathToFileURL(path.join(folder, file)).href);
const library = async (name) =>
	import(
		pathToFileURL(
			path.join(folder, 'node_modules', '@bufbuild/protobuf/dist/esm', name),
		).href
	);

mkdirSync(output, {recursive: true});

function save(name, content) {
	writeFileSync(
		path.join(output, `${name}.json`),
		`${JSON.stringify(content, undefined, '\t')}\n`,
	);
}

await writeOwnerRecords();
await writeStreamRecords();
await writeControlRecords();
await writeClaimRecords();
await writeMessages();

async function writeOwnerRecords() {
	const {PlatformOwnerLog} = await load('src/platform/owner-log.ts');
	const written = [];
	const log = new PlatformOwnerLog({
		append(topic, body, expectedEnd) {
			written.push({topic, text: body.toString('utf8'), expectedEnd});
		},
	});
	const writer = {
		host: 'host-a',
		incarnation: 'run-a',
		peerAddress: '10.0.0.1:7000',
	};
	const suspicion = {
		fingerprint: 'print-1',
		deaths: [{key: 'worker-1/17', ageMilliseconds: 40}],
		trials: 0,
	};
	const records = [
		{kind: 'claimed', ...writer},
		{
			kind: 'claimed',
			...writer,
			versionReport: {
				versions: [{pool: 'talk', version: 'v1', ageMilliseconds: 10}],
				reachMilliseconds: 5000,
			},
		},
		{
			kind: 'renewed',
			...writer,
			suspicions: [
				suspicion,
				{
					...suspicion,
					fingerprint: 'print-2',
					answeredMillisecondsAgo: 100,
					trials: 2,
					triedMillisecondsAgo: 30,
				},
			],
			versionReport: {versions: [], reachMilliseconds: 0},
		},
		// A reach without end is stored as null, because JSON has no infinite numbers.
		{
			kind: 'renewed',
			...writer,
			versionReport: {
				versions: [],
				reachMilliseconds: Number.POSITIVE_INFINITY,
			},
		},
		{kind: 'released', ...writer, sinceLastOrderMilliseconds: 1234},
	];
	for (const [index, record] of records.entries()) {
		log.append(record, index);
	}

	const {parseOwnerRecord} = await load('src/contracts/owner-record.ts');
	save(
		'owner-records',
		written.map(({topic, text, expectedEnd}) => ({
			topic,
			text,
			expectedEnd,
			read: parseOwnerRecord(Buffer.from(text)),
		})),
	);
}

async function writeStreamRecords() {
	const {encodeStreamRecords, decodeStreamRecord} = await load(
		'src/contracts/stream-origin.ts',
	);
	const records = encodeStreamRecords([
		{stream: 'request-1', version: 'v1'},
		{stream: 'request-2', version: 'v2'},
		{stream: 'request-3', version: 'v1'},
		{stream: 'anfrage-ü', version: 'v2'},
	]);
	save(
		'stream-records',
		records.map((text) => ({
			text,
			read: decodeStreamRecord(Buffer.from(text)),
		})),
	);
}

async function writeControlRecords() {
	const {controlRecordSchema} = await load('src/contracts/control-record.ts');
	const {ControlState} = await load('src/core/control-state.ts');
	const {SchemaOnlyDocumentValidator} = await load(
		'src/core/document-validator.ts',
	);
	const group = 'group/engines/north';
	const plan = 'plan/engines';
	const artifact = 'model/base@1';
	const loadOrder = (orderId) => ({
		orderId,
		target: 'engine-1',
		action: 'load',
		artifact,
		bytes: 10,
	});
	const host = {
		host: 'host-a',
		incarnation: 'run-a',
		failureDomain: 'north',
		peerAddress: '10.0.0.1:7000',
	};
	const claim = (lease) => ({
		kind: 'lease-claimed',
		lease,
		holder: 'host-a',
		incarnation: 'run-a',
		expectedOffset: null,
		reason: 'free',
		time: 2,
	});
	const bodies = [
		{kind: 'host-started', ...host, time: 1},
		{
			kind: 'document-submitted',
			expectedRevision: 0,
			operator: 'anna',
			summary: 'first',
			time: 2,
			document: {
				schema: 1,
				pools: [
					{
						name: 'engines',
						kind: 'engine',
						targets: [
							{
								id: 'engine-1',
								address: 'http://10.0.0.9:1',
								failureDomain: 'north',
								memoryBytes: 100,
							},
						],
					},
				],
				models: [{id: 'base', pool: 'engines', bytes: 10}],
				callerClasses: [{name: 'standard', urgency: 'standard'}],
				weightStore: {
					loadsPerSecond: 1,
					concurrentLoads: 1,
					concurrentAdapterLoads: 1,
				},
			},
		},
		claim(group),
		claim(plan),
		{
			kind: 'leases-renewed',
			incarnation: 'run-a',
			leases: [
				{lease: group, token: 2},
				{lease: plan, token: 3},
			],
		},
		{
			kind: 'plan-made',
			pool: 'engines',
			token: 3,
			changes: [
				{target: 'engine-1', artifact, desired: true, reason: 'demand'},
			],
			time: 5,
		},
		{
			kind: 'orders-intended',
			lease: group,
			token: 2,
			orders: [loadOrder('order-1'), loadOrder('order-2')],
		},
		{
			kind: 'orders-settled',
			orders: [{orderId: 'order-1', outcome: 'applied'}],
			by: 'run-a',
		},
		{
			kind: 'target-died',
			target: 'engine-1',
			targetIncarnation: 'engine-run-1',
			host: 'host-a',
			fingerprints: ['print-1', 'print-2'],
			time: 8,
		},
		{kind: 'lease-released', lease: plan, token: 3, time: 9},
		{kind: 'host-stopped', host: 'host-a', incarnation: 'run-a', time: 10},
	];
	const state = new ControlState(new SchemaOnlyDocumentValidator());
	const records = bodies.map((body, offset) => {
		const record = {
			id: `record-${offset}`,
			offset,
			body: controlRecordSchema.parse(body),
		};
		const outcome = state.apply(record);
		if (!outcome.accepted) {
			throw new Error(`${body.kind}: ${outcome.reason}`);
		}

		return record;
	});
	save('control-records', {records, snapshot: state.snapshot()});
}

async function writeClaimRecords() {
	const {claimRecordSchema} = await load('src/contracts/claim-record.ts');
	const {ClaimIndex} = await load('src/core/claim-index.ts');
	const key = (name) => ({caller: 'shed-1', key: `key-${name}`});
	const claim = (name) => ({
		kind: 'key-claimed',
		...key(name),
		bodyDigest: `digest-${name}`,
		requestId: `request-${name}`,
		host: 'host-a',
		incarnation: 'run-a',
		time: 1,
		expiresAt: 10_000,
	});
	const bodies = [
		claim('settled'),
		{
			kind: 'key-settled',
			...key('settled'),
			requestId: 'request-settled',
			incarnation: 'run-a',
			outcome: {status: 201, contentType: 'text/plain', body: 'b2s='},
		},
		claim('released'),
		{
			kind: 'key-released',
			...key('released'),
			requestId: 'request-released',
			incarnation: 'run-a',
		},
		claim('open'),
		{
			kind: 'claims-carried',
			time: 5,
			asOf: 5,
			entries: [
				{
					...key('carried'),
					bodyDigest: 'digest-carried',
					requestId: 'request-carried',
					incarnation: 'run-0',
					time: 0,
					expiresAt: 9000,
					claimOffset: 0,
					state: 'settled',
					outcome: null,
				},
			],
		},
	];
	const index = new ClaimIndex();
	const records = bodies.map((body, offset) => {
		const record = {
			id: `record-${offset}`,
			offset,
			body: claimRecordSchema.parse(body),
		};
		index.apply(record);
		return record;
	});
	save('claim-records', {records, entries: index.entriesBefore(100, 100)});
}

async function writeMessages() {
	const {create, toBinary, toJson} = await library('index.js');
	const messages = [];
	for (const name of ['forwarding', 'owner', 'peer']) {
		const generated = await load(
			`src/generated/daisylever/${name}/v1/${name}_pb.ts`,
		);
		const file = generated[`file_daisylever_${name}_v1_${name}`];
		for (const schema of file.messages) {
			// Fields of a oneof exclude each other, so each of them has a message of its own.
			const oneofFields = schema.oneofs.flatMap(({fields}) => fields);
			const variants = oneofFields.length === 0 ? [undefined] : oneofFields;
			for (const variant of variants) {
				const message = fill(schema, create, 0, variant);
				messages.push({
					type: schema.typeName,
					bytes: Buffer.from(toBinary(schema, message)).toString('base64'),
					read: toJson(schema, message),
				});
			}
		}
	}

	save('messages', messages);
}

/** Returns a message with a value in each field, that of a oneof being given. */
function fill(schema, create, depth, variant) {
	const message = create(schema);
	for (const field of schema.fields) {
		if (field.oneof) {
			if (field === (variant ?? field.oneof.fields[0])) {
				message[field.oneof.localName] = {
					case: field.localName,
					value: single(field, create, depth),
				};
			}

			continue;
		}

		message[field.localName] =
			field.fieldKind === 'list'
				? [single(field, create, depth), single(field, create, depth)]
				: single(field, create, depth);
	}

	return message;
}

function single(field, create, depth) {
	if (field.message) {
		return fill(field.message, create, depth + 1);
	}

	const values = {
		1: field.number + 0.5,
		4: BigInt(field.number) * 1_000_000_007n,
		7: field.number + 100,
		8: true,
		9: `text-${field.number}`,
		12: Uint8Array.of(field.number, 0, 255),
		13: field.number + 200,
	};
	const value = values[field.scalar];
	if (value === undefined) {
		throw new Error(`No value for type ${field.scalar} of ${field.name}.`);
	}

	return value;
}
