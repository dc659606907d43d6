import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type CustomerName, type TargetId} from '../../src/contracts/ids.js';
import {sha256} from '../../src/base/common/digest.js';
import {decodeDocument} from '../../src/platform/document-state.js';
import {
	decodeAvailability,
	PlatformRequestCodec,
} from '../../src/platform/request-codec.js';
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

test('each field of an entry is decoded into the matching field of the listed target', () => {
	const change = decodeEntry('i-1', bytes(entry));
	assert.deepEqual(change, {
		kind: 'listed',
		target: {
			id: 'i-1',
			revision: {startedAt: 1_770_000_000_000, writes: 4},
			pool: 'huvo11a',
			softwareVersion: 'v1',
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

// Other writers may write to the topic, and requests must not be sent to the addresses in their entries.
test('malformed entries list no target', () => {
	const cases: ReadonlyArray<readonly [string, Buffer]> = [
		['not JSON', Buffer.from('{"service":')],
		['bytes that are not UTF-8 text', Buffer.from([0xff, 0xfe, 0x00])],
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
		['start time that is not a number', bytes({...entry, born: 'today'})],
	];
	for (const [name, value] of cases) {
		assert.equal(decodeEntry('i-1', value).kind, 'malformed', name);
	}
});

test('a deleted key unlists the target instead of counting as malformed', () => {
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

test('the kinds, limits and pools of the configuration are decoded into the document', () => {
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

test('a configuration that is only partly valid is unreadable as a whole', () => {
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

test('tenants become customers with the digests of their keys, and routes without keys are marked', () => {
	const change = decodeDocument(
		bytes({
			...configuration,
			routes: [
				configuration.routes[0],
				{...configuration.routes[1], no_auth: true},
			],
			tenants: [
				{
					name: 'north',
					api_keys: ['secret-1'],
					priority: 2,
					unit: 'tokens',
					plain_tokens: 200,
					per_s: 10,
					burst: 20,
				},
				{name: 'south', api_keys: []},
			],
		}),
	);
	assert.equal(change.kind, 'document');
	const {customers, routes} = change.document;
	assert.deepEqual(customers, [
		{
			name: 'north',
			keyDigests: [sha256('secret-1')],
			priority: 2,
			quota: {unit: 'tokens', perSecond: 10, burst: 20, plainUnits: 200},
		},
		{name: 'south', keyDigests: [], priority: undefined, quota: undefined},
	]);
	assert.deepEqual(
		routes.map(({isKeyless}) => isKeyless),
		[false, true],
	);
	assert.doesNotMatch(JSON.stringify(change.document), /secret/);
	const plain = decodeDocument(bytes(configuration));
	assert.ok(plain.kind === 'document');
	assert.deepEqual(plain.document.customers, []);
});

test('tenants that share a name, have an odd name or too long a key make a configuration unreadable, and the reason names no key', () => {
	const secret = `secret-${'x'.repeat(2000)}`;
	const cases = [
		[{name: 'a'}, {name: 'a', api_keys: ['secret']}],
		[{name: 'a\r\nX: 1'}],
		[{name: ''}],
		[{name: 'a', api_keys: [secret]}],
		[{name: 'a', api_keys: ['']}],
		[{name: 'a', priority: 'high'}],
	];
	for (const tenants of cases) {
		const change = decodeDocument(bytes({...configuration, tenants}));
		assert.ok(change.kind === 'unreadable');
		assert.match(change.reason, /tenants/);
		assert.doesNotMatch(change.reason, /secret/);
	}
});

test('a quota that is no limit makes a configuration unreadable, and the reason names path, value and limit', () => {
	const cases: Array<[Record<string, unknown>, RegExp]> = [
		[{per_s: -5}, /at least 0, received -5[\s\S]*tenants\[0]\.per_s/],
		[{burst: 'all'}, /at least 0, received "all"[\s\S]*tenants\[0]\.burst/],
		[{plain_tokens: {}}, /received object[\s\S]*tenants\[0]\.plain_tokens/],
		[{unit: 'bytes'}, /"tokens", received "bytes"[\s\S]*tenants\[0]\.unit/],
	];
	for (const [quota, reason] of cases) {
		const change = decodeDocument(
			bytes({...configuration, tenants: [{name: 'a', per_s: 1, ...quota}]}),
		);
		assert.ok(change.kind === 'unreadable');
		assert.match(change.reason, reason);
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

test('every header with which the caller describes a request is decoded', () => {
	const metadata = codec.decodeRequest(requestHeaders)._unsafeUnwrap();
	assert.equal(metadata.id, '9c41d07be2a35f68');
	assert.equal(metadata.model, 'm0');
	assert.equal(metadata.adapter, 'a3');
	assert.equal(metadata.promptTokens, 1460);
	assert.equal(metadata.maximumTokens, 80);
	assert.equal(metadata.expectedTokens, 70);
	assert.equal(metadata.remainingMilliseconds, 12_000);
	assert.equal(metadata.lastEventId, 12);
	assert.deepEqual(metadata.prefixKeys, [
		'm0/a3|5c1e|91bd|e440',
		'm0/a3|5c1e|91bd',
		'm0/a3|5c1e',
	]);
});

// Reserved headers are those that only this program may set.
test('reserved and connection headers of callers are not forwarded', () => {
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
	const metadata = codec
		.decodeRequest([...requestHeaders, ...reserved.flat(), 'X-Other', 'kept'])
		._unsafeUnwrap();
	const names = metadata.forwardedHeaders.filter((_, index) => index % 2 === 0);
	assert.deepEqual(names, [
		'Host',
		'Request-Id',
		'Model',
		'Token-Count',
		'Prompt-Prefix',
		'Length-Hint',
		'X-Other',
	]);
	const sent = codec.encodeAttempt(metadata, {
		target: 'i-1' as TargetId,
		remainingMilliseconds: 99.7,
		lastEventId: 14,
		priority: 30,
		customer: undefined,
	});
	assert.deepEqual(sent.slice(metadata.forwardedHeaders.length), [
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

test('the headers for another host have the customer in place of the key and of what the caller claims', () => {
	const headers = ['Host', 'a', 'API-KEY', 'secret', 'X', '1', 'tenant', 'b'];
	assert.deepEqual(codec.encodeForPeer(headers, 'c' as CustomerName), [
		'Host',
		'a',
		'X',
		'1',
		'Tenant',
		'c',
	]);
	assert.deepEqual(codec.encodeForPeer(headers, undefined), [
		'Host',
		'a',
		'X',
		'1',
	]);
});

// Such requests could not be distinguished from others.
test('a request without an id or with two ids is refused', () => {
	assert.ok(codec.decodeRequest(['Host', 'a']).isErr());
	assert.ok(codec.decodeRequest(['Request-Id', '']).isErr());
	assert.ok(
		codec.decodeRequest(['Request-Id', 'a', 'request-id', 'b']).isErr(),
	);
});

test('a response counts as not run only if it declares so, and internal headers do not reach the caller', () => {
	const response = codec.decodeResponse(200, {
		'request-id': 'r1',
		'response-sig': 's',
		'server-load': '3,1,8,250',
		'instance-id': 'i-1',
		'keep-alive': 'timeout=4',
		connection: 'keep-alive',
		'content-length': '3',
		'content-type': 'text/plain',
	});
	assert.equal(response.isSigned, true);
	assert.equal(response.isNotRun, false);
	assert.deepEqual(response.load, {
		running: 3,
		queued: 1,
		slots: 8,
		slowdown: 2.5,
	});
	assert.deepEqual(response.forwardedHeaders, [
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

// Guards against a rate that is misread, which either floods a target or starves it.
test('the rate that a response names is a decimal number, the lowest of several, and does not reach the caller', () => {
	const rate = (value: string | string[]) =>
		codec.decodeResponse(200, {'server-limit': value}).requestsPerSecond;
	assert.equal(rate('11.6'), 11.6);
	assert.equal(rate('0'), 0);
	assert.equal(rate(['9', '3.5']), 3.5);
	assert.equal(rate('9, 3.5'), 3.5);
	for (const malformed of ['', '-3', '1e3', 'many', '9999999999999']) {
		assert.equal(rate(malformed), undefined, malformed);
	}

	const {forwardedHeaders} = codec.decodeResponse(200, {'server-limit': '3'});
	assert.deepEqual(forwardedHeaders, []);
});

// Guards against a header that is misread, after which hosts flood a brittle target or send it nothing, and against
// callers that learn about it.
test('a response that says that its target is brittle names a decimal number, the lowest of several', () => {
	const decode = (value: string | string[]) =>
		codec.decodeResponse(200, {'server-brittle': value});
	const number = fc
		.tuple(fc.nat(999_999), fc.nat(999))
		.map(([whole, fraction]) => `${whole}.${fraction}`);
	fc.assert(
		fc.property(fc.array(number, {minLength: 1, maxLength: 4}), (values) => {
			const lowest = Math.min(...values.map(Number));
			assert.equal(decode(values).refusalsPerSecond, lowest);
			assert.equal(decode(values.join(' , ')).refusalsPerSecond, lowest);
			assert.deepEqual(decode(values).forwardedHeaders, []);
		}),
	);
	fc.assert(
		fc.property(fc.string(), (text) => {
			const {refusalsPerSecond} = decode(text);
			assert.ok(
				refusalsPerSecond === undefined ||
					(Number.isFinite(refusalsPerSecond) && refusalsPerSecond >= 0),
			);
			assert.equal(decode([`x${text}`, '7']).refusalsPerSecond! <= 7, true);
		}),
	);
	for (const malformed of ['', '-3', '1e3', 'many', '9999999999999']) {
		assert.equal(decode(malformed).refusalsPerSecond, undefined, malformed);
		assert.equal(decode([malformed, '4']).refusalsPerSecond, 4, malformed);
	}

	assert.equal(codec.decodeResponse(503, {}).refusalsPerSecond, undefined);
	assert.equal(
		decodeAvailability(202, {'server-brittle': '0'}).refusalsPerSecond,
		0,
	);
});
