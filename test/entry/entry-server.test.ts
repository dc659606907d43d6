import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, beforeEach, test} from 'node:test';
import {err, errAsync, ok, okAsync, type Result} from 'neverthrow';
import {request} from 'undici';
import {ManualClock} from '../../src/base/common/clock.js';
import {sha256} from '../../src/base/common/digest.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {fleetDocumentSchema} from '../../src/contracts/fleet-document.js';
import {type RequestId} from '../../src/contracts/ids.js';
import {RequestProblem} from '../../src/contracts/request-problem.js';
import {EntryServer} from '../../src/services/entry/entry-server.js';
import {HostAdmissionGate} from '../../src/services/entry/host-admission-gate.js';
import {
	ModelGateway,
	type ResponsePart,
	type ModelRequest,
} from '../../src/services/entry/model-gateway.js';
import {
	ServiceGateway,
	type ServiceCall,
} from '../../src/services/entry/service-gateway.js';
import {waitUntil} from '../agreement/harness.js';

const key = 'key-of-workshop-7';
/** Internal names of the fleet that must not be disclosed to callers. */
const internalNames = [
	'secret-base',
	'secret-adapter',
	'secret-pool',
	'secret-target',
	'secret-host',
	'127.0.0.1',
];
const document = fleetDocumentSchema.parse({
	schema: 1,
	pools: [
		{
			name: 'secret-pool',
			kind: 'engine',
			targets: [
				{
					id: 'secret-target',
					address: 'http://127.0.0.1:1',
					failureDomain: 'north',
					memoryBytes: 100,
				},
			],
		},
		{
			name: 'plain',
			kind: 'service',
			targets: [
				{
					id: 'plain-1',
					address: 'http://127.0.0.1:2',
					failureDomain: 'north',
				},
			],
		},
	],
	models: [{id: 'secret-base', pool: 'secret-pool', bytes: 10}],
	adapters: [{id: 'secret-adapter', model: 'secret-base', bytes: 1}],
	offerings: [
		{name: 'measure', model: 'secret-base'},
		{name: 'private', model: 'secret-base', adapter: 'secret-adapter'},
	],
	services: [
		{
			name: 'orders',
			pool: 'plain',
			routes: [
				{method: 'GET', pathPrefix: '/status', idempotent: true},
				{method: 'POST', pathPrefix: '/confirmations', idempotent: false},
			],
		},
		{
			name: 'fabric',
			pool: 'plain',
			routes: [{method: 'POST', pathPrefix: '/', idempotent: false}],
		},
	],
	callerClasses: [{name: 'standard', urgency: 'standard'}],
	callers: [
		{
			id: 'workshop-7',
			class: 'standard',
			keyDigests: [sha256(key)],
			offerings: ['measure'],
			services: ['orders'],
		},
	],
	weightStore: {
		loadsPerSecond: 1,
		concurrentLoads: 1,
		concurrentAdapterLoads: 1,
	},
});

const internalCause = new Error('secret-host lost secret-target at 127.0.0.1');

/** Responds with the configured parts, and counts the requests that reach it. */
class FakeModels extends ModelGateway {
	parts: Array<Result<ResponsePart, RequestProblem>> = [];
	/** If true, the stream does not end until the caller disconnects. */
	isEndless = false;
	failure: Error | undefined;
	runs = 0;
	aborted = 0;

	async *run(
		_request: ModelRequest,
		signal: AbortSignal,
	): AsyncGenerator<Result<ResponsePart, RequestProblem>> {
		this.runs += 1;
		if (this.failure) {
			throw this.failure;
		}

		yield* this.parts;
		if (this.isEndless) {
			await new Promise<void>((resolve) => {
				signal.addEventListener('abort', () => {
					this.aborted += 1;
					resolve();
				});
			});
		}
	}
}

/** Retains the body of each key to detect conflicts, as claims do. */
class FakeServices extends ServiceGateway {
	readonly bodies = new Map<string, string>();
	calls = 0;

	call(call: ServiceCall) {
		this.calls += 1;
		const body = new TextDecoder().decode(call.body);
		const earlier = call.key && this.bodies.get(call.key);
		if (earlier !== undefined && earlier !== body) {
			return errAsync(
				new RequestProblem(
					'key-conflict',
					'The key was used for a different call. Use a new key for each call.',
					'not-run',
					undefined,
					{cause: internalCause},
				),
			);
		}

		if (call.key) {
			this.bodies.set(call.key, body);
		}

		return okAsync({
			status: 201,
			contentType: 'application/json',
			body: new TextEncoder().encode('{"accepted":true}'),
		});
	}
}

const gate = new HostAdmissionGate(() => false);
let models = new FakeModels();
let services = new FakeServices();
let requests = 0;
const server = new EntryServer({
	gate,
	models: new (class extends ModelGateway {
		run(incoming: ModelRequest, signal: AbortSignal) {
			return models.run(incoming, signal);
		}
	})(),
	services: new (class extends ServiceGateway {
		call(call: ServiceCall) {
			return services.call(call);
		}
	})(),
	limits: {
		bodyBytes: 2000,
		headerBytes: 16_384,
		connections: 100,
		requestTimeoutMilliseconds: 10_000,
	},
	clock: new ManualClock(1),
	events: new NullEventLogger(),
	metrics: new NullMetricRegistry(),
	generateRequestId() {
		requests += 1;
		return `request-${requests}` as RequestId;
	},
});
let port = 0;

before(async () => {
	gate.applyDocument(document);
	const listening = await server.listen(0, '127.0.0.1');
	port = listening._unsafeUnwrap();
});
beforeEach(() => {
	models = new FakeModels();
	services = new FakeServices();
});
after(async () => server.dispose());

const text = (content: string) =>
	ok<ResponsePart, RequestProblem>({kind: 'text', text: content});
const end = ok<ResponsePart, RequestProblem>({
	kind: 'end',
	tokens: 1,
	reason: 'stop',
});
const chat = '/v1/chat/completions';
const orders = '/services/orders/confirmations';
const question = {
	model: 'measure',
	messages: [{role: 'user', content: 'How wide?'}],
};

type SentRequest = {
	readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
	readonly headers?: Record<string, string>;
	readonly authorization?: string;
};

async function send(sent: SentRequest) {
	const response = await request(`http://127.0.0.1:${port}${sent.path}`, {
		method: sent.method ?? 'POST',
		headers: {
			authorization: sent.authorization ?? `Bearer ${key}`,
			...(sent.body === undefined ? {} : {'content-type': 'application/json'}),
			...sent.headers,
		},
		body:
			sent.body === undefined || typeof sent.body === 'string'
				? (sent.body ?? null)
				: JSON.stringify(sent.body),
	});
	const body = await response.body.text();
	const visible = `${JSON.stringify(response.headers)}\n${body}`;
	for (const name of internalNames) {
		assert.ok(
			!visible.includes(name),
			`the response discloses the internal name ${name}: ${visible}`,
		);
	}

	return {status: response.statusCode, headers: response.headers, body};
}

async function waitUntilIdle(): Promise<void> {
	await waitUntil(() => gate.inFlight === 0, 'all requests to end');
}

type BadInput = SentRequest & {
	readonly failure: string;
	readonly status: number;
	readonly code: string;
	readonly execution: 'not-run' | 'unknown';
	readonly prepare?: () => void;
	/** True if the request may reach a gateway. */
	readonly reachesGateway?: boolean;
};

const refused = {execution: 'not-run'} as const;
const badRequest = {...refused, status: 400, code: 'bad-request'};
const keyRequired = {...refused, status: 400, code: 'key-required'};
const unknownOffering = {...refused, status: 404, code: 'unknown-offering'};
const interrupted = {
	status: 502,
	code: 'interrupted',
	execution: 'unknown',
	reachesGateway: true,
} as const;
const inputs: readonly BadInput[] = [
	{failure: 'malformed JSON', path: chat, body: '{"model":', ...badRequest},
	{failure: 'an empty body', path: chat, ...badRequest},
	{failure: 'JSON of another type', path: chat, body: '[]', ...badRequest},
	{
		failure: 'a model that is a number',
		path: chat,
		body: {...question, model: 5},
		...badRequest,
	},
	{
		failure: 'messages that are a string',
		path: chat,
		body: {...question, messages: 'How wide?'},
		...badRequest,
	},
	{
		failure: 'an empty list of messages',
		path: chat,
		body: {...question, messages: []},
		...badRequest,
	},
	{
		failure: 'content that is null',
		path: chat,
		body: {...question, messages: [{role: 'user', content: null}]},
		...badRequest,
	},
	{
		failure: 'a negative number of tokens',
		path: chat,
		body: {...question, max_tokens: -1},
		...badRequest,
	},
	{
		failure: 'several choices at once',
		path: chat,
		body: {...question, n: 2},
		...badRequest,
	},
	{
		failure: 'an oversized body',
		path: chat,
		body: {...question, padding: 'x'.repeat(3000)},
		...refused,
		status: 413,
		code: 'body-too-large',
	},
	{
		failure: 'an oversized body of a service call',
		path: orders,
		headers: {'idempotency-key': 'booking-0001'},
		body: 'x'.repeat(3000),
		...refused,
		status: 413,
		code: 'body-too-large',
	},
	{
		failure: 'an unknown offering',
		path: chat,
		body: {...question, model: 'no-such'},
		...unknownOffering,
	},
	{
		failure: 'an offering of another caller',
		path: chat,
		body: {...question, model: 'private'},
		...unknownOffering,
	},
	{
		failure: 'no caller key',
		path: chat,
		body: question,
		authorization: '',
		...refused,
		status: 401,
		code: 'unauthenticated',
	},
	{
		failure: 'an unknown caller key',
		path: orders,
		body: {},
		authorization: 'Bearer no-such-key',
		...refused,
		status: 401,
		code: 'unauthenticated',
	},
	{
		failure: 'a missing Idempotency-Key',
		path: orders,
		body: {},
		...keyRequired,
	},
	{
		failure: 'a short Idempotency-Key',
		path: orders,
		body: {},
		headers: {'idempotency-key': 'short'},
		...keyRequired,
	},
	{
		failure: 'a long Idempotency-Key',
		path: orders,
		body: {},
		headers: {'idempotency-key': 'x'.repeat(256)},
		...keyRequired,
	},
	{
		failure: 'a repeated Idempotency-Key with another body',
		path: orders,
		body: {hem: 2},
		headers: {'idempotency-key': 'booking-0001'},
		prepare() {
			services.bodies.set('booking-0001', '{"hem":1}');
		},
		...refused,
		status: 422,
		code: 'key-conflict',
		reachesGateway: true,
	},
	{
		failure: 'a service of another caller',
		path: '/services/fabric/charges',
		body: {},
		...refused,
		status: 404,
		code: 'unknown-service',
	},
	{
		failure: 'a path that shares only the start of a segment with a route',
		path: '/services/orders/confirmationsets',
		body: {},
		headers: {'idempotency-key': 'booking-0001'},
		...badRequest,
	},
	{failure: 'an unknown path', path: '/v2/chat', body: {}, ...badRequest},
	{
		failure: 'a method that the path does not support',
		method: 'GET',
		path: chat,
		...badRequest,
	},
	{
		failure: 'a method that the route does not support',
		method: 'DELETE',
		path: orders,
		...badRequest,
	},
	{
		failure: 'a gateway stream without any part',
		path: chat,
		body: question,
		...interrupted,
	},
	{
		failure: 'a gateway stream without an end',
		path: chat,
		body: question,
		prepare() {
			models.parts = [text('ninety')];
		},
		...interrupted,
	},
	{
		failure: 'a problem at the start of the stream',
		path: chat,
		body: {...question, stream: true},
		prepare() {
			models.parts = [
				err(
					new RequestProblem('no-target', 'Send it again.', 'not-run', 1, {
						cause: internalCause,
					}),
				),
			];
		},
		...refused,
		status: 503,
		code: 'no-target',
		reachesGateway: true,
	},
	{
		failure: 'a gateway that throws',
		path: chat,
		body: question,
		prepare() {
			models.failure = internalCause;
		},
		...interrupted,
	},
];

async function checkBadInput(input: BadInput): Promise<void> {
	input.prepare?.();
	const response = await send(input);
	assert.equal(response.status, input.status, response.body);
	assert.equal(response.headers['content-type'], 'application/problem+json');
	const problem = JSON.parse(response.body) as Record<string, unknown>;
	assert.equal(problem.code, input.code);
	assert.equal(problem.execution, input.execution);
	assert.equal(problem.status, input.status);
	assert.ok(response.headers['x-request-id']);
	if (!input.reachesGateway) {
		assert.equal(models.runs + services.calls, 0);
	}

	await waitUntilIdle();
}

for (const input of inputs) {
	// Also checks that the request reaches no gateway, that no internal name is disclosed, and that the request does not
	// stay counted as running.
	test(`bad input gets the right status, code and execution: ${input.failure}`, async () =>
		checkBadInput(input));
}

test('a truncated stream does not look complete: it ends with a problem and without the end marker', async () => {
	models.parts = [text('ninety')];
	const response = await send({path: chat, body: {...question, stream: true}});
	assert.equal(response.status, 200);
	assert.ok(!response.body.includes('[DONE]'), response.body);
	const last = response.body.trim().split('\n\n').at(-1);
	const problem = JSON.parse(last!.slice('data: '.length)) as {
		code: string;
		execution: string;
	};
	assert.equal(problem.code, 'interrupted');
	assert.equal(problem.execution, 'unknown');
	await waitUntilIdle();
});

test('successful responses disclose no internal names', async () => {
	models.parts = [text('ninety'), end];
	const collected = await send({path: chat, body: question});
	assert.equal(collected.status, 200, collected.body);
	const streamed = await send({path: chat, body: {...question, stream: true}});
	assert.ok(streamed.body.endsWith('data: [DONE]\n\n'), streamed.body);
	const list = await send({method: 'GET', path: '/v1/models'});
	assert.match(list.body, /"measure"/);
	assert.doesNotMatch(list.body, /private/);
	const booked = await send({
		path: orders,
		body: {hem: 1},
		headers: {'idempotency-key': 'booking-0002'},
	});
	assert.equal(booked.status, 201);
	await waitUntilIdle();
});

test('a request does not keep running after its caller disconnects', async () => {
	models.parts = [text('ninety')];
	models.isEndless = true;
	const socket = connect(port, '127.0.0.1');
	const body = JSON.stringify({...question, stream: true});
	socket.write(
		`POST ${chat} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${key}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
	);
	await new Promise((resolve) => {
		socket.once('data', resolve);
	});
	assert.equal(gate.inFlight, 1);
	socket.destroy();
	await waitUntilIdle();
	assert.equal(models.aborted, 1);
});

// Otherwise a planned stop would wait for this request.
test('a request is not counted as running after its caller disconnects while sending the body', async () => {
	const socket = connect(port, '127.0.0.1');
	socket.write(
		`POST ${orders} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${key}\r\nidempotency-key: booking-0003\r\ncontent-length: 500\r\n\r\n{`,
	);
	await waitUntil(() => gate.inFlight > 0, 'the request to arrive');
	socket.destroy();
	await waitUntilIdle();
	assert.equal(services.calls, 0);
});
