import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {type OperatorServer} from '../../src/services/operator-server.js';
import {
	FakeOperatorBackend,
	operatorToken,
	smallDocument,
	startFakeOperatorServer,
} from './fake-operator-backend.js';

const backend = new FakeOperatorBackend();
let server: OperatorServer;
let url: string;

before(async () => {
	({server, url} = await startFakeOperatorServer(backend));
});
after(async () => {
	await server.dispose();
});

type Answer = {
	readonly status: number;
	readonly type: string;
	readonly text: string;
	readonly json: Record<string, unknown>;
};

async function call(
	method: 'GET' | 'PUT' | 'POST',
	path: string,
	options: {readonly body?: unknown; readonly token?: string} = {},
): Promise<Answer> {
	const {body, token = operatorToken} = options;
	const response = await request(`${url}${path}`, {
		method,
		headers: {
			...(token === '' ? {} : {authorization: `Bearer ${token}`}),
			'content-type': 'application/json',
		},
		body: typeof body === 'string' ? body : JSON.stringify(body),
	});
	const text = await response.body.text();
	const type = String(response.headers['content-type']);
	return {
		status: response.statusCode,
		type,
		text,
		json: type.includes('json')
			? (JSON.parse(text) as Record<string, unknown>)
			: {},
	};
}

test('calls without a known token are refused', async () => {
	const paths = ['document', 'status', 'explain', 'burn', 'orders'];
	for (const token of ['', 'wrong', `${operatorToken}x`]) {
		for (const path of paths) {
			const answer = await call('GET', `/operator/v1/${path}`, {token});
			assert.equal(answer.status, 401, `${path} with "${token}"`);
			assert.equal(answer.json.code, 'unauthenticated');
		}
	}
});

test('health and metrics need no token', async () => {
	const health = await call('GET', '/healthz', {token: ''});
	assert.equal(health.status, 200);
	const ready = await call('GET', '/readyz', {token: ''});
	assert.equal(ready.status, 503);
	assert.equal(ready.text, 'not ready: no document is in force\n');
	const metrics = await call('GET', '/metrics', {token: ''});
	assert.match(metrics.text, /# TYPE up gauge/);
	assert.match(metrics.type, /^text\/plain; version=0\.0\.4/);
});

const badRequests: ReadonlyArray<
	readonly [
		method: 'GET' | 'PUT' | 'POST',
		path: string,
		body: unknown,
		status: number,
		code: string,
		detail: RegExp,
	]
> = [
	['PUT', '/document', '{', 400, 'bad-request', /not JSON/],
	[
		'PUT',
		'/document',
		{document: smallDocument},
		400,
		'bad-request',
		/expectedRevision: expected number, but is missing/,
	],
	[
		'PUT',
		'/document',
		{expectedRevision: 0, documents: {}},
		400,
		'bad-request',
		/did you mean "document"/,
	],
	[
		'PUT',
		'/document',
		{expectedRevision: 0, document: {...smallDocument, adapters: [{}]}},
		422,
		'invalid-document',
		/3 errors/,
	],
	['PUT', '/document', 'x'.repeat(100_001), 413, 'body-too-large', /10{5}/],
	['GET', '/explain?limit=0', undefined, 400, 'bad-request', /limit/],
	['GET', '/explain?kind=odd', undefined, 400, 'bad-request', /kind/],
	['GET', '/burn?format=pdf', undefined, 400, 'bad-request', /"pdf"/],
	['POST', '/orders/settle', {orders: []}, 400, 'bad-request', /orders/],
	[
		'POST',
		'/orders/settle',
		{orders: ['order-9']},
		404,
		'unknown-order',
		/order-9/,
	],
	['GET', '/nothing', undefined, 404, 'unknown-path', /\/nothing/],
];

test('bad input is refused with a reason', async () => {
	for (const [method, path, body, status, code, detail] of badRequests) {
		const answer = await call(method, `/operator/v1${path}`, {body});
		assert.equal(answer.status, status, `${method} ${path}: ${answer.text}`);
		assert.equal(answer.json.code, code);
		assert.match(String(answer.json.detail), detail);
		assert.equal(answer.type, 'application/problem+json');
	}
});

// Guards against the loss of one of two concurrent edits.
test('of two submissions with one expected revision the second gets a conflict', async () => {
	const body = {expectedRevision: 0, summary: 'first', document: smallDocument};
	const check = await call('POST', '/operator/v1/document/check', {
		body: smallDocument,
	});
	assert.match(String(check.json.text), /\+ models "m1"/);
	const first = await call('PUT', '/operator/v1/document', {body});
	assert.deepEqual(first.json, {revision: 1});
	const second = await call('PUT', '/operator/v1/document', {
		body,
		token: 'token-of-tullio',
	});
	assert.equal(second.status, 409);
	assert.equal(second.json.winner, 'ornella');
	assert.equal(second.json.currentRevision, 1);
	const {json} = await call('GET', '/operator/v1/document/history');
	assert.equal((json.history as unknown[]).length, 1);
	const ready = await call('GET', '/readyz');
	assert.equal(ready.status, 200);
	backend.logReachable = false;
	const outage = await call('PUT', '/operator/v1/document', {
		body: {...body, expectedRevision: 1},
	});
	backend.logReachable = true;
	assert.equal(outage.status, 503);
	assert.equal(outage.json.code, 'store-outage');
});

// Guards against a journal that grows without bound or lets requests displace takeovers.
test('explain returns decisions of a request and keeps rare ones', async () => {
	backend.journal.record({
		kind: 'takeover',
		reason: 'the holder was silent for 6 s',
		subjects: {lease: 'plan/lm'},
	});
	for (const id of ['r1', 'r2', 'r3', 'r4']) {
		backend.journal.record({
			kind: 'routing',
			reason: 'lowest score of 2 candidates',
			subjects: {request: id, target: 't1'},
			details: {scores: {t1: 1, t2: 3}},
		});
	}

	const explain = async (query: string): Promise<string[]> => {
		const answer = await call('GET', `/operator/v1/explain?${query}`);
		return (
			answer.json.decisions as Array<{
				subjects: {request?: string; lease?: string};
			}>
		).map(({subjects}) => subjects.request ?? subjects.lease ?? '');
	};

	assert.deepEqual(await explain('request=r3'), ['r3']);
	assert.deepEqual(await explain('request=r1'), []);
	assert.deepEqual(await explain(''), ['r4', 'r3', 'r2', 'plan/lm']);
	assert.deepEqual(await explain('kind=takeover'), ['plan/lm']);
	assert.deepEqual(await explain('target=t1&limit=1'), ['r4']);
});

test('burn is served in three formats and orders are settled', async () => {
	const text = await call('GET', '/operator/v1/burn?format=text');
	assert.match(text.text, /^class +objective/);
	const svg = await call('GET', '/operator/v1/burn?format=svg');
	assert.equal(svg.type, 'image/svg+xml');
	const burn = await call('GET', '/operator/v1/burn');
	assert.ok(burn.json.classes);
	const settled = await call('POST', '/operator/v1/orders/settle', {
		body: {orders: ['order-1']},
	});
	assert.equal(settled.status, 200);
	const {json} = await call('GET', '/operator/v1/orders');
	assert.equal((json.orders as unknown[]).length, 1);
});
