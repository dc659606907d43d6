import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type TargetId} from '../../src/contracts/ids.js';
import {decodeDocument} from '../../src/platform/document-state.js';
import {PlatformRequestCodec} from '../../src/platform/request-codec.js';
import {decodeEntry} from '../../src/platform/target-list-state.js';

const entry = {
	service: 'huvo11a',
	addr: '10.128.0.9:8080',
	zone: 'palermo',
	version: 'v1',
	slots: 64,
	state: 'ready',
	cold_left_ms: 0,
	phase: 'mixed',
	models: [{name: 'm0', version: 1, adapters: ['a1']}],
	seq: 4,
	born: 1_770_000_000_000,
	at_hand: {in_memory: ['m0'], on_disk: ['m0', 'm1']},
};

const bytes = (value: unknown) => Buffer.from(JSON.stringify(value));

// Guards against fields of an entry that end up in the wrong place.
test('an entry becomes a listed target', () => {
	const change = decodeEntry('i-1', bytes(entry));
	assert.deepEqual(change, {
		kind: 'listed',
		target: {
			id: 'i-1',
			pool: 'huvo11a',
			address: '10.128.0.9:8080',
			failureDomain: 'palermo',
			slots: 64,
			isLeaving: false,
			residency: {
				incarnation: 'i-1@1770000000000',
				models: [{model: 'm0', adapters: ['a1']}],
			},
			localWeights: {inMemory: ['m0'], onDisk: ['m0', 'm1']},
		},
	});
});

// Guards against entries of other writers that name a target to use.
test('malformed entries name no target', () => {
	const cases: ReadonlyArray<readonly [string, Buffer]> = [
		['not JSON', Buffer.from('{"service":')],
		['bytes that are no text', Buffer.from([0xff, 0xfe, 0x00])],
		['not an object', bytes([1])],
		['null', bytes(null)],
		['no service', bytes({...entry, service: undefined})],
		['service of another type', bytes({...entry, service: 4})],
		['no address', bytes({...entry, addr: undefined})],
		['address without port', bytes({...entry, addr: '10.0.0.1'})],
		['address of another type', bytes({...entry, addr: 80})],
		['unknown state', bytes({...entry, state: 'sleeping'})],
		['slots as text', bytes({...entry, slots: '64'})],
		['no slots', bytes({...entry, slots: 0})],
		['models of another type', bytes({...entry, models: 'm0'})],
		['a birth that is no number', bytes({...entry, born: 'today'})],
	];
	for (const [name, value] of cases) {
		assert.equal(decodeEntry('i-1', value).kind, 'malformed', name);
	}
});

// Guards against a dropped key that is taken for a malformed entry.
test('an entry without a value is unlisted', () => {
	assert.equal(decodeEntry('i-1', undefined).kind, 'unlisted');
});

const configuration = {
	version: 7,
	routes: [
		{
			name: 'r-1',
			host: 'a.example',
			prefix: '/x/',
			kind: 'non_idempotent',
			timeout_ms: 2000,
			goal_ms: 300,
			priority: 2,
			service: 's1',
			attempts: 1,
		},
		{
			name: 'r-2',
			host: 'a.example',
			prefix: '/y/',
			kind: 'stream',
			timeout_ms: 15_000,
			goal_ms: 300,
			priority: 1,
			split: [
				{service: 's1', weight: 90},
				{service: 's2', weight: 10},
			],
			attempts: 2,
			allow_resume: true,
			gap_aim_ms: 150,
		},
	],
	services: [
		{
			name: 's1',
			max_conns: 370,
			engine: {
				weights_mb: 200_000,
				lora_slots: 8,
				loads_per_s: 1.6,
				models: [
					{
						name: 'm0',
						weights_mb: 34_300,
						load_s: 2,
						adapters: 32,
						adapter_mb: 40,
					},
				],
			},
		},
		{name: 's2', max_conns: 110},
	],
	limits: {
		header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_ms: 3000,
		idle_ms: 15_000,
	},
};

// Guards against routes whose kind or bounds change on the way.
test('the configuration becomes a document', () => {
	const change = decodeDocument(bytes(configuration));
	assert.equal(change.kind, 'document');
	const {document} = change;
	const [single, split] = document.routes;
	assert.equal(single!.kind, 'non-idempotent');
	assert.equal(single!.isResumable, false);
	assert.deepEqual(single!.pools, [{pool: 's1', weight: 1}]);
	assert.equal(split!.isResumable, true);
	assert.equal(split!.maximumExecutions, 2);
	assert.deepEqual(
		split!.pools.map(({weight}) => weight),
		[90, 10],
	);
	assert.equal(document.pools[0]!.engine!.models[0]!.bytes, 34_300_000_000);
	assert.equal(document.pools[1]!.engine, undefined);
	assert.equal(document.limits.idleTimeoutMilliseconds, 15_000);
});

// Guards against a half-read configuration coming into force.
test('an unreadable configuration changes nothing', () => {
	const cases: unknown[] = [
		undefined,
		{},
		{...configuration, version: 'seven'},
		{...configuration, routes: [{name: 'r'}]},
		{...configuration, limits: {}},
	];
	for (const value of cases) {
		const body = value === undefined ? Buffer.from('{') : bytes(value);
		assert.equal(decodeDocument(body).kind, 'unreadable');
	}
});

const codec = new PlatformRequestCodec();
const requestHeaders = [
	'Host',
	'a.example',
	'Request-Id',
	'9c41d07be2a35f68',
	'Model',
	'm0/a3',
	'Token-Count',
	'1460,80',
	'Prompt-Prefix',
	'5c1e:800,91bd:410,e440:250',
	'Deadline-Ms',
	'12000',
	'Last-Event-Id',
	'12',
	'Length-Hint',
	'70',
];

// Guards against a declaration of the caller that is lost or misread.
test('the headers of a request are decoded', () => {
	const facts = codec.decodeRequest(requestHeaders)._unsafeUnwrap();
	assert.equal(facts.id, '9c41d07be2a35f68');
	assert.equal(facts.model, 'm0');
	assert.equal(facts.adapter, 'a3');
	assert.equal(facts.promptTokens, 1460);
	assert.equal(facts.maximumTokens, 80);
	assert.equal(facts.expectedTokens, 70);
	assert.equal(facts.remainingMilliseconds, 12_000);
	assert.equal(facts.lastEventId, 12);
	assert.deepEqual(facts.prefixKeys, [
		'm0/a3|5c1e|91bd|e440',
		'm0/a3|5c1e|91bd',
		'm0/a3|5c1e',
	]);
});

// Guards against callers that set what only this system may set, and against connection headers that are passed on.
test('reserved and connection headers of callers are dropped', () => {
	const reserved = [
		['Hold', 'h1'],
		['Pin-Ms', '4000'],
		['Kv-Backup', '10.0.0.1:80'],
		['Kv-From', '10.0.0.1:80/1'],
		['Kv-Fetch', '10.0.0.1:80'],
		['Request-Priority', '0'],
		['Expect-Instance', 'i-9'],
		['Expect-Version', '3'],
		['Connection', 'keep-alive, X-Private'],
		['X-Private', '1'],
		['Transfer-Encoding', 'chunked'],
	];
	const facts = codec
		.decodeRequest([...requestHeaders, ...reserved.flat(), 'X-Other', 'kept'])
		._unsafeUnwrap();
	const names = facts.forwardedHeaders.filter((_, index) => index % 2 === 0);
	assert.deepEqual(names, [
		'Host',
		'Request-Id',
		'Model',
		'Token-Count',
		'Prompt-Prefix',
		'Length-Hint',
		'X-Other',
	]);
	const sent = codec.encodeAttempt(facts, {
		target: 'i-1' as TargetId,
		remainingMilliseconds: 99.7,
		lastEventId: 14,
		priority: 30,
	});
	assert.deepEqual(sent.slice(facts.forwardedHeaders.length), [
		'Deadline-Ms',
		'99',
		'Expect-Instance',
		'i-1',
		'Request-Priority',
		'9',
		'Last-Event-Id',
		'14',
	]);
});

// Guards against requests that cannot be told apart.
test('a request without an id, or with two, is refused', () => {
	assert.ok(codec.decodeRequest(['Host', 'a']).isErr());
	assert.ok(codec.decodeRequest(['Request-Id', '']).isErr());
	assert.ok(
		codec.decodeRequest(['Request-Id', 'a', 'request-id', 'b']).isErr(),
	);
});

// Guards against answers that say more than they do, and against internals that reach the caller.
test('the head of an answer is decoded', () => {
	const answer = codec.decodeResponse(200, {
		'request-id': 'r1',
		'response-sig': 's',
		'server-load': '3,1,8,250',
		'instance-id': 'i-1',
		'keep-alive': 'timeout=4',
		connection: 'keep-alive',
		'content-length': '3',
		'content-type': 'text/plain',
	});
	assert.equal(answer.isSigned, true);
	assert.equal(answer.isNotRun, false);
	assert.deepEqual(answer.load, {
		running: 3,
		queued: 1,
		slots: 8,
		slowdown: 2.5,
	});
	assert.deepEqual(answer.forwardedHeaders, [
		'request-id',
		'r1',
		'response-sig',
		's',
		'content-type',
		'text/plain',
	]);
	assert.equal(codec.decodeResponse(503, {}).isNotRun, false);
	assert.equal(codec.decodeResponse(503, {'not-run': '1'}).isNotRun, true);
	assert.equal(codec.decodeResponse(421, {}).isNotRun, true);
	assert.equal(codec.decodeResponse(200, {'server-load': 'x'}).load, undefined);
});
