import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {type ResultAsync} from 'neverthrow';
import {HttpEngine} from '../../src/adapters/node/http-engine.js';
import {HttpPlainService} from '../../src/adapters/node/http-plain-service.js';
import {
	engineOrderSchema,
	type EngineOrder,
	type GenerationRequest,
	type GenerationStream,
} from '../../src/contracts/engine.js';
import {type FencingToken, type RequestId} from '../../src/contracts/ids.js';
import {type ServiceRequest} from '../../src/contracts/plain-service.js';
import {
	TargetLostError,
	TargetProtocolError,
	TargetRefusedError,
	TargetUnreachableError,
	type TargetError,
} from '../../src/contracts/target-error.js';
import {expectedAnswer} from '../../src/stand-ins/answer-generator.js';
import {EngineServer} from '../../src/stand-ins/engine-server.js';
import {ServiceServer} from '../../src/stand-ins/service-server.js';
import {startFullListener} from './silent-listener.js';

let requests = 0;

function generation(content = 'tokens=6', model = 'm'): GenerationRequest {
	return {
		requestId: `r${requests++}` as RequestId,
		model: model as GenerationRequest['model'],
		messages: [{role: 'user', content}],
		maximumTokens: 100,
		priority: 0,
		continuation: [],
	};
}

function order(changes: Record<string, unknown>): EngineOrder {
	return engineOrderSchema.parse({
		action: 'load',
		orderId: 'o1',
		token: 5,
		artifact: 'adapter/a@1',
		bytes: 10,
		...changes,
	});
}

async function collect(stream: GenerationStream) {
	const tokens: string[] = [];
	for await (const event of stream) {
		if (event.isErr()) {
			return {tokens, error: event.error};
		}

		if (event.value.kind === 'token') {
			tokens.push(event.value.text);
		}
	}

	return {tokens, error: undefined};
}

async function firstError(
	result: ResultAsync<unknown, TargetError>,
): Promise<TargetError | undefined> {
	const settled = await result;
	return settled.isErr() ? settled.error : undefined;
}

/** Describes an error by its class and the field that tells its kind. */
function describeError(error: TargetError | undefined): string {
	if (error instanceof TargetLostError) {
		return `lost ${error.loss}`;
	}

	if (error instanceof TargetRefusedError) {
		return `refused ${error.reason}`;
	}

	if (error instanceof TargetUnreachableError) {
		return 'unreachable';
	}

	return error instanceof TargetProtocolError ? 'protocol' : 'none';
}

async function withEngine(
	work: (server: EngineServer, engine: HttpEngine) => Promise<void>,
): Promise<void> {
	const server = new EngineServer({
		artifacts: [{key: 'model/m@1', bytes: 100}],
		memoryBytes: 200,
	});
	const {address} = await server.start();
	const engine = new HttpEngine({address, answerTimeoutMilliseconds: 250});
	try {
		await work(server, engine);
	} finally {
		await engine.dispose();
		await server.dispose();
	}
}

type EngineCase = {
	readonly name: string;
	readonly faults?: Record<string, unknown>;
	readonly act: (engine: HttpEngine) => Promise<TargetError | undefined>;
	readonly expected: string;
};

const generate = async (engine: HttpEngine, request = generation()) => {
	const {error} = await collect(
		engine.generate(request, new AbortController().signal),
	);
	return error;
};

const give = (changes: Record<string, unknown>) => async (engine: HttpEngine) =>
	firstError(engine.order(order(changes)));

// Guards against a wrong claim of "not run" and against a loss that hides a refusal.
const engineCases: EngineCase[] = [
	{name: 'no fault', act: generate, expected: 'none'},
	{
		name: 'leaving',
		faults: {leaving: true},
		act: generate,
		expected: 'refused leaving',
	},
	{
		name: 'busy',
		faults: {busy: true},
		act: generate,
		expected: 'refused busy',
	},
	{
		name: 'model not resident',
		act: async (engine) => generate(engine, generation('x', 'other')),
		expected: 'refused not-resident',
	},
	{
		name: 'resume of an unknown request',
		async act(engine) {
			const {signal} = new AbortController();
			const stream = engine.resume('none' as RequestId, 0, signal);
			const {error} = await collect(stream);
			return error;
		},
		expected: 'refused unknown-request',
	},
	{
		name: 'stale token',
		async act(engine) {
			await engine.order(order({action: 'fence'}));
			return firstError(engine.order(order({token: 4})));
		},
		expected: 'refused stale-token',
	},
	{
		name: 'load beyond memory',
		act: give({bytes: 101}),
		expected: 'refused insufficient-memory',
	},
	{
		name: 'order lost',
		faults: {orders: [{kind: 'lost'}]},
		act: give({}),
		expected: 'lost closed',
	},
	{
		name: 'answer to an order lost',
		faults: {answers: [{kind: 'answer-lost', pathPrefix: '/orders'}]},
		act: give({}),
		expected: 'lost closed',
	},
	{
		name: 'answer to an order late',
		faults: {
			answers: [{kind: 'answer-late', delayMilliseconds: 60_000}],
		},
		act: give({}),
		expected: 'lost timeout',
	},
	{
		name: 'answer without the refusal header',
		faults: {outage: 'unavailable'},
		act: generate,
		expected: 'protocol',
	},
	{
		name: 'connections closed on the request',
		faults: {outage: 'closed'},
		act: generate,
		expected: 'lost closed',
	},
	{
		name: 'stream truncated',
		faults: {streams: [{kind: 'truncated'}]},
		act: generate,
		expected: 'lost closed',
	},
	{
		name: 'stream broken',
		faults: {streams: [{kind: 'broken'}]},
		act: generate,
		expected: 'lost closed',
	},
	{
		name: 'stream garbled',
		faults: {streams: [{kind: 'garbled'}]},
		act: generate,
		expected: 'protocol',
	},
	{
		name: 'crash on a marked text',
		faults: {crashOnText: 'poison'},
		act: async (engine) => generate(engine, generation('poison')),
		expected: 'lost closed',
	},
	{
		name: 'abort before the request is sent',
		async act(engine) {
			const {error} = await collect(
				engine.generate(generation(), AbortSignal.abort()),
			);
			return error;
		},
		// An aborted request that was never sent did not run.
		expected: 'unreachable',
	},
];

for (const {name, faults, act, expected} of engineCases) {
	test(`engine adapter: ${name} is ${expected}`, async () => {
		await withEngine(async (server, engine) => {
			server.setFaults(faults ?? {});
			const error = await act(engine);
			assert.equal(describeError(error), expected);
			const execution = /unreachable|refused/.test(expected)
				? 'not-run'
				: 'unknown';
			assert.equal(error?.execution ?? execution, execution);
		});
	});
}

// Guards against a new connection per stream, which would add a round trip to each request.
test('engine adapter: streams whole answers over one connection', async () => {
	await withEngine(async (server, engine) => {
		for (let count = 0; count < 5; count++) {
			const request = generation(`tokens=${count * 7} é`);
			const {tokens, error} = await collect(
				engine.generate(request, new AbortController().signal),
			);
			assert.equal(error, undefined);
			assert.deepEqual(tokens, expectedAnswer(request).tokens);
			// The end of the answer follows its last line in a separate packet.
			await engine.report();
		}

		assert.ok(server.acceptedConnections <= 2);
	});
});

// Guards against a delayed order that is taken for lost, which would overcommit memory.
test('engine adapter: a delayed order takes effect after its loss', async () => {
	await withEngine(async (server, engine) => {
		server.setFaults({orders: [{kind: 'delayed', delayMilliseconds: 50}]});
		const error = await firstError(engine.order(order({})));
		assert.equal(describeError(error), 'lost closed');
		for (;;) {
			const report = await engine.report();
			const {appliedOrders, highestToken} = report._unsafeUnwrap();
			if (appliedOrders.length > 0) {
				assert.equal(highestToken, 5 as FencingToken);
				break;
			}
		}

		assert.equal(server.memory.highestBytes, 110);
		assert.equal(server.memory.overcommits, 0);
	});
});

// Guards against a target that stays unusable because its idle connections went silent.
test('engine adapter: calls work again after connections went silent', async () => {
	await withEngine(async (server, engine) => {
		await Promise.all([engine.report(), engine.report(), engine.report()]);
		server.silenceConnections();
		assert.equal(
			describeError(await firstError(engine.report())),
			'lost timeout',
		);
		assert.equal(await firstError(engine.report()), undefined);
		const ping = await engine.ping(500);
		assert.equal(ping._unsafeUnwrap().incarnation, server.incarnation);
	});
});

// Guards against caches that no other engine can take over.
test('engine adapter: cache content moves to another engine', async () => {
	await withEngine(async (_server, first) => {
		const request = generation();
		await generate(first, request);
		const content = await first.exportCache(request.requestId);
		await withEngine(async (_second, second) => {
			const {requestId} = request;
			await second.importCache(requestId, content._unsafeUnwrap());
			const events = await second.cacheEvents(0);
			assert.deepEqual(
				events._unsafeUnwrap().map(({kind}) => kind),
				['stored'],
			);
		});
	});
});

let fullListener: Awaited<ReturnType<typeof startFullListener>>;
before(async () => {
	fullListener = await startFullListener();
});
after(async () => {
	await fullListener.stop();
});

const booking: ServiceRequest = {
	requestId: 'b1' as RequestId,
	method: 'POST',
	path: '/bookings?day=2',
	contentType: 'application/json',
	body: Buffer.from('{"note":"marker=crate-7"}'),
	timeoutMilliseconds: 400,
};

type ServiceCase = {
	readonly name: string;
	readonly faults?: Record<string, unknown>;
	/** Runs after a first call that leaves an idle connection behind. */
	readonly arrange?: (server: ServiceServer) => void | Promise<void>;
	readonly request?: Partial<ServiceRequest>;
	readonly address?: () => string;
	readonly expected: string;
	readonly executions: number;
};

// Guards against a second execution and against "not run" after an execution.
const serviceCases: ServiceCase[] = [
	{name: 'no fault', expected: 'none', executions: 1},
	{
		name: 'answer lost',
		faults: {answers: [{kind: 'answer-lost', pathPrefix: '/bookings'}]},
		expected: 'lost closed',
		executions: 1,
	},
	{
		name: 'request lost',
		faults: {answers: [{kind: 'request-lost', pathPrefix: '/bookings'}]},
		expected: 'lost closed',
		executions: 0,
	},
	{
		name: 'answer late',
		faults: {answers: [{kind: 'answer-late', delayMilliseconds: 60_000}]},
		expected: 'lost timeout',
		executions: 1,
	},
	{
		name: 'leaving',
		faults: {leaving: true},
		expected: 'refused leaving',
		executions: 0,
	},
	{
		name: 'outage',
		arrange: async (server) => server.dispose(),
		expected: 'unreachable',
		executions: 0,
	},
	{
		name: 'silent connection',
		arrange(server) {
			server.silenceConnections();
		},
		expected: 'lost timeout',
		executions: 0,
	},
	{
		name: 'silent connection and a new one',
		arrange(server) {
			server.silenceConnections();
		},
		request: {newConnection: true},
		expected: 'none',
		executions: 1,
	},
	{
		name: 'connect timeout',
		address: () => fullListener.address,
		expected: 'unreachable',
		executions: 0,
	},
	{
		name: 'connect timeout of a new connection',
		address: () => fullListener.address,
		request: {newConnection: true},
		expected: 'unreachable',
		executions: 0,
	},
];

for (const row of serviceCases) {
	test(`service adapter: ${row.name} is ${row.expected}`, async () => {
		const server = new ServiceServer();
		const {address} = await server.start();
		const service = new HttpPlainService({
			address: row.address?.() ?? address,
			connectTimeoutMilliseconds: 200,
		});
		const {signal} = new AbortController();
		if (!row.address) {
			await service.call(
				{...booking, method: 'GET', path: '/lots/4', body: new Uint8Array()},
				signal,
			);
			assert.equal(server.statusReads, 1);
			// undici takes a connection back after it has announced the end of the answer.
			await setImmediate();
		}

		server.setFaults(row.faults ?? {});
		await row.arrange?.(server);
		const result = await service.call({...booking, ...row.request}, signal);
		const error = result.isErr() ? result.error : undefined;
		assert.equal(describeError(error), row.expected);
		assert.equal(server.executions.get('crate-7') ?? 0, row.executions);
		if (result.isOk()) {
			assert.equal(result.value.status, 201);
		}

		await service.dispose();
		await server.dispose();
	});
}
