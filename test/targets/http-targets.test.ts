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
	TargetResponseLostError,
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

/** Describes an error by its class and its reason. */
function describeError(error: TargetError | undefined): string {
	if (error instanceof TargetResponseLostError) {
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
	responseTimeoutMilliseconds = 10_000,
): Promise<void> {
	const server = new EngineServer({
		artifacts: [{key: 'model/m@1', bytes: 100}],
		memoryBytes: 200,
	});
	const {address} = await server.start();
	const engine = new HttpEngine({address, responseTimeoutMilliseconds});
	try {
		await work(server, engine);
	} finally {
		await engine.dispose();
		await server.dispose();
	}
}

const generate = async (engine: HttpEngine, request = generation()) => {
	const {error} = await collect(
		engine.generate(request, new AbortController().signal),
	);
	return error;
};

const sendOrder =
	(changes: Record<string, unknown>) => async (engine: HttpEngine) =>
		firstError(engine.sendOrder(order(changes)));

const resumeUnknown = async (engine: HttpEngine) => {
	const {signal} = new AbortController();
	const {error} = await collect(engine.resume('x' as RequestId, 0, signal));
	return error;
};

const sendOrderWithStaleToken = async (engine: HttpEngine) => {
	await engine.sendOrder(order({action: 'fence'}));
	return firstError(engine.sendOrder(order({token: 4})));
};

const abortBeforeSending = async (engine: HttpEngine) => {
	const stream = engine.generate(generation(), AbortSignal.abort());
	const {error} = await collect(stream);
	return error;
};

const generateWith =
	(content: string, model?: string) => async (engine: HttpEngine) =>
		generate(engine, generation(content, model));

type EngineFaults = Parameters<EngineServer['setFaults']>[0];
type EngineCase = [
	name: string,
	faults: EngineFaults,
	act: (engine: HttpEngine) => Promise<TargetError | undefined>,
	expected: string,
];

const responseLost = {kind: 'answer-lost', pathPrefix: '/orders'} as const;
const responseLate = {kind: 'answer-late', delayMilliseconds: 60_000} as const;
const orderLost: EngineFaults = {orders: [{kind: 'lost'}]};

// An error must claim `not-run` only if the request was not executed, and a refusal must not be reported as a lost response.
const engineCases: EngineCase[] = [
	['no fault', {}, generate, 'none'],
	['leaving', {leaving: true}, generate, 'refused leaving'],
	['busy', {busy: true}, generate, 'refused busy'],
	['other model', {}, generateWith('', 'other'), 'refused not-resident'],
	['unknown request', {}, resumeUnknown, 'refused unknown-request'],
	['stale token', {}, sendOrderWithStaleToken, 'refused stale-token'],
	['full memory', {}, sendOrder({bytes: 101}), 'refused insufficient-memory'],
	['order lost', orderLost, sendOrder({}), 'lost closed'],
	[
		'response to order lost',
		{answers: [responseLost]},
		sendOrder({}),
		'lost closed',
	],
	[
		'response to order late',
		{answers: [responseLate]},
		sendOrder({}),
		'lost timeout',
	],
	['no refusal header', {outage: 'unavailable'}, generate, 'protocol'],
	['closed on request', {outage: 'closed'}, generate, 'lost closed'],
	['truncated', {streams: [{kind: 'truncated'}]}, generate, 'lost closed'],
	['broken', {streams: [{kind: 'broken'}]}, generate, 'lost closed'],
	['garbled', {streams: [{kind: 'garbled'}]}, generate, 'protocol'],
	['crash', {crashOnText: 'poison'}, generateWith('poison'), 'lost closed'],
	// An aborted request that was never sent was not executed.
	['abort before sending', {}, abortBeforeSending, 'unreachable'],
];

for (const [name, faults, act, expected] of engineCases) {
	test(`engine adapter: ${name} is ${expected}`, async () => {
		await withEngine(
			async (server, engine) => {
				server.setFaults(faults);
				const error = await act(engine);
				assert.equal(describeError(error), expected);
				const execution = /unreachable|refused/.test(expected)
					? 'not-run'
					: 'unknown';
				assert.equal(error?.execution ?? execution, execution);
			},
			expected === 'lost timeout' ? 300 : undefined,
		);
	});
}

// A new connection for each stream would add a round trip to each request.
test('engine adapter: complete streams reuse their connection', async () => {
	await withEngine(async (server, engine) => {
		for (let count = 0; count < 5; count++) {
			const request = generation(`tokens=${count * 7} é`);
			const {tokens, error} = await collect(
				engine.generate(request, new AbortController().signal),
			);
			assert.equal(error, undefined);
			assert.deepEqual(tokens, expectedAnswer(request).tokens);
			// The end of the response follows its last line in a separate packet.
			await engine.fetchReport();
		}

		assert.ok(server.acceptedConnections <= 2);
	});
});

// Treating the order as not executed would overcommit the memory of the engine.
test('engine adapter: a delayed order takes effect after its response was lost', async () => {
	await withEngine(async (server, engine) => {
		server.setFaults({orders: [{kind: 'delayed', delayMilliseconds: 50}]});
		const error = await firstError(engine.sendOrder(order({})));
		assert.equal(describeError(error), 'lost closed');
		for (;;) {
			const report = await engine.fetchReport();
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

// Otherwise a target would stay unusable as long as the pool holds such connections.
test('engine adapter: calls succeed again after idle connections became unresponsive', async () => {
	await withEngine(async (server, engine) => {
		await Promise.all([
			engine.fetchReport(),
			engine.fetchReport(),
			engine.fetchReport(),
		]);
		server.silenceConnections();
		assert.equal(
			describeError(await firstError(engine.fetchReport())),
			'lost timeout',
		);
		assert.equal(await firstError(engine.fetchReport()), undefined);
		const ping = await engine.ping(5000);
		assert.equal(ping._unsafeUnwrap().incarnation, server.incarnation);
	}, 1000);
});

test('engine adapter: exported cache content can be imported into another engine', async () => {
	await withEngine(async (_server, first) => {
		const request = generation();
		await generate(first, request);
		const content = await first.exportCache(request.requestId);
		await withEngine(async (_second, second) => {
			const {requestId} = request;
			await second.importCache(requestId, content._unsafeUnwrap());
			const events = await second.fetchCacheEvents(0);
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
	timeoutMilliseconds: 10_000,
};

type ServiceFaults = Parameters<ServiceServer['setFaults']>[0];
type ServiceCase = {
	readonly faults?: ServiceFaults;
	/** Runs after a first call, which leaves an idle connection in the pool. */
	readonly arrange?: (server: ServiceServer) => void | Promise<void>;
	readonly newConnection?: boolean;
	readonly address?: () => string;
};

const silenceConnections = (server: ServiceServer) => {
	server.silenceConnections();
};

const stop = async (server: ServiceServer) => server.dispose();
const address = () => fullListener.address;
const serviceFault = (kind: 'answer-lost' | 'request-lost'): ServiceCase => ({
	faults: {answers: [{kind, pathPrefix: '/bookings'}]},
});

// A call must be executed at most once, and an executed call must not be reported as not executed.
const serviceCases: Array<
	[name: string, row: ServiceCase, expected: string, executions: number]
> = [
	['no fault', {}, 'none', 1],
	['response lost', serviceFault('answer-lost'), 'lost closed', 1],
	['request lost', serviceFault('request-lost'), 'lost closed', 0],
	['response late', {faults: {answers: [responseLate]}}, 'lost timeout', 1],
	['leaving', {faults: {leaving: true}}, 'refused leaving', 0],
	['outage', {arrange: stop}, 'unreachable', 0],
	['unresponsive', {arrange: silenceConnections}, 'lost timeout', 0],
	[
		'unresponsive, then a new connection',
		{arrange: silenceConnections, newConnection: true},
		'none',
		1,
	],
	['connect timeout', {address}, 'unreachable', 0],
	[
		'connect timeout of a new connection',
		{address, newConnection: true},
		'unreachable',
		0,
	],
];

for (const [name, row, expected, executions] of serviceCases) {
	test(`service adapter: ${name} is ${expected}`, async (t) => {
		const server = new ServiceServer();
		const started = await server.start();
		const service = new HttpPlainService({
			address: row.address?.() ?? started.address,
			connectTimeoutMilliseconds: row.address ? 200 : 5000,
		});
		t.after(async () => {
			await service.dispose();
			await server.dispose();
		});
		const {signal} = new AbortController();
		if (!row.address) {
			await service.call(
				{...booking, method: 'GET', path: '/lots/4', body: new Uint8Array()},
				signal,
			);
			assert.equal(server.statusReads, 1);
			// undici returns a connection to the pool only after it has reported the end of the response.
			await setImmediate();
		}

		server.setFaults(row.faults ?? {});
		await row.arrange?.(server);
		const timeoutMilliseconds = expected === 'lost timeout' ? 400 : 10_000;
		const result = await service.call(
			{
				...booking,
				newConnection: row.newConnection,
				timeoutMilliseconds,
			},
			signal,
		);
		const error = result.isErr() ? result.error : undefined;
		assert.equal(describeError(error), expected);
		assert.equal(server.executions.get('crate-7') ?? 0, executions);
		if (result.isOk()) {
			assert.equal(result.value.status, 201);
		}
	});
}
