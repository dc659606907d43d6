import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {HttpEngine} from '../../src/adapters/node/http-engine.js';
import {
	type LogEventDefinition,
	EventLogger,
} from '../../src/base/common/event-logger.js';
import {type GenerationRequest} from '../../src/contracts/engine.js';
import {type RequestId} from '../../src/contracts/ids.js';
import {
	GenerationSession,
	type GenerationFailedError,
} from '../../src/services/generation-session.js';
import {expectedAnswer} from '../../src/stand-ins/answer-generator.js';
import {
	EngineServer,
	type EngineServerOptions,
} from '../../src/stand-ins/engine-server.js';

class RecordingLogger extends EventLogger {
	readonly names: string[] = [];

	record(event: LogEventDefinition): void {
		this.names.push(event.name);
	}
}

type Outcome = {
	/** Tokens of the continuation, followed by those that the session yielded. */
	readonly tokens: readonly string[];
	readonly isComplete: boolean;
	readonly error: GenerationFailedError | undefined;
	readonly resumeCount: number;
	readonly events: readonly string[];
};

function request(changes: Partial<GenerationRequest> = {}): GenerationRequest {
	return {
		requestId: 'r1' as RequestId,
		model: 'm' as GenerationRequest['model'],
		messages: [{role: 'user', content: 'next row? tokens=12'}],
		maximumTokens: 100,
		priority: 0,
		continuation: [],
		...changes,
	};
}

type SessionContext = {
	readonly engine: HttpEngine;
	readonly server: EngineServer;
	readonly run: (options?: {
		readonly request?: GenerationRequest;
		readonly signal?: AbortSignal;
		/** Called after each token. */
		readonly tokenReceived?: (count: number) => void;
	}) => Promise<Outcome>;
};

async function withSession(
	work: (context: SessionContext) => Promise<void>,
	options: EngineServerOptions = {},
): Promise<void> {
	const server = new EngineServer({
		artifacts: [{key: 'model/m@1', bytes: 10}],
		betweenTokensMilliseconds: 2,
		...options,
	});
	const {address} = await server.start();
	const engine = new HttpEngine({
		address,
	});
	const run: SessionContext['run'] = async (runOptions = {}) => {
		const logger = new RecordingLogger();
		const generation = runOptions.request ?? request();
		const session = new GenerationSession({
			engine,
			request: generation,
			firstTokenMilliseconds: 1000,
			betweenTokensMilliseconds: 600,
			pingMilliseconds: 5000,
			logger,
		});
		const tokens = [...generation.continuation];
		let isComplete = false;
		let error: GenerationFailedError | undefined;
		const signal = runOptions.signal ?? new AbortController().signal;
		for await (const progress of session.run(signal)) {
			assert.ok(!isComplete && !error, 'an item followed the last one');
			if (progress.isErr()) {
				error = progress.error;
			} else if (progress.value.kind === 'token') {
				assert.equal(progress.value.sequence, tokens.length);
				tokens.push(progress.value.text);
				runOptions.tokenReceived?.(tokens.length);
			} else {
				isComplete = true;
				assert.deepEqual(progress.value.tokens, tokens);
			}
		}

		const {resumeCount} = session;
		return {tokens, isComplete, error, resumeCount, events: logger.names};
	};

	try {
		await work({engine, server, run});
	} finally {
		await engine.dispose();
		await server.dispose();
	}
}

const {tokens: expectedTokens} = expectedAnswer(request());

type StreamCase = {
	readonly kind: NonNullable<
		Parameters<EngineServer['setFaults']>[0]['streams']
	>[number]['kind'];
	readonly resumeCount: number;
	readonly event: string;
};

// Guards against a response that is truncated, has repeated tokens or contains events of another one.
const streamCases: StreamCase[] = [
	{kind: 'truncated', resumeCount: 1, event: 'stream-resumed'},
	{kind: 'broken', resumeCount: 1, event: 'stream-resumed'},
	{kind: 'stalled', resumeCount: 1, event: 'connection-silent'},
	{kind: 'crossed', resumeCount: 0, event: 'foreign-event-dropped'},
	{kind: 'duplicate', resumeCount: 0, event: 'duplicate-event-dropped'},
	{kind: 'missing', resumeCount: 1, event: 'stream-resumed'},
	{kind: 'garbled', resumeCount: 1, event: 'stream-resumed'},
];

for (const {kind, resumeCount, event} of streamCases) {
	for (const afterEvents of [0, 5, 12]) {
		test(`session: the response is complete despite a ${kind} stream after ${afterEvents} events`, async () => {
			await withSession(async ({server, run}) => {
				server.setFaults({streams: [{kind, afterEvents}]});
				const outcome = await run();
				assert.equal(outcome.error, undefined);
				assert.ok(outcome.isComplete);
				assert.deepEqual(outcome.tokens, expectedTokens);
				// After 12 events only the end marker is left, which the stand-in neither repeats nor skips.
				const isFaultless =
					afterEvents === 12 && (kind === 'duplicate' || kind === 'missing');
				assert.equal(outcome.resumeCount, isFaultless ? 0 : resumeCount);
				assert.equal(outcome.events.includes(event), !isFaultless);
				assert.equal(server.generations, 1);
			});
		});
	}
}

// Guards against a response that is reported as complete although its end marker has another token count.
test('session: an end marker with a wrong token count is fetched again', async () => {
	await withSession(async ({server, run}) => {
		server.setFaults({streams: [{kind: 'wrong-count', afterEvents: 12}]});
		const outcome = await run();
		assert.deepEqual(outcome.tokens, expectedTokens);
		assert.ok(outcome.isComplete);
		assert.equal(outcome.resumeCount, 1);
	});
});

// Guards against endless resumes on a target that makes no progress.
test('session: a generation without progress fails with the tokens received so far', async () => {
	await withSession(async ({server, run}) => {
		server.setFaults({
			streams: [
				{kind: 'truncated', afterEvents: 4},
				{kind: 'truncated', afterEvents: 0, remaining: 100},
			],
		});
		const {error, tokens, isComplete} = await run();
		assert.ok(!isComplete);
		assert.equal(error?.reason, 'no-progress');
		assert.ok(!error.isTargetSuspect);
		assert.deepEqual(error.tokens, expectedTokens.slice(0, 4));
		assert.deepEqual(tokens, expectedTokens.slice(0, 4));
	});
});

// Guards against abandoning a healthy target because its connections became silent.
for (const silentAt of [1, 6, 11]) {
	test(`session: the stream resumes over a new connection after silence at token ${silentAt}`, async () => {
		await withSession(async ({server, run}) => {
			const outcome = await run({
				tokenReceived(count) {
					if (count === silentAt) {
						server.silenceConnections();
					}
				},
			});
			assert.equal(outcome.error, undefined);
			assert.ok(outcome.isComplete);
			assert.deepEqual(outcome.tokens, expectedTokens);
			assert.equal(outcome.resumeCount, 1);
			assert.ok(outcome.events.includes('connection-silent'));
			assert.equal(server.generations, 1);
			assert.ok(server.acceptedConnections >= 3);
		});
	});
}

// Guards against a request that is sent on an idle connection which is already silent: the target never
// receives it, so it refuses the resume. It must not become suspect, and the next request must succeed.
test('session: a connection that is silent before the request does not make the target suspect', async () => {
	await withSession(async ({server, engine, run}) => {
		await engine.fetchReport();
		await setImmediate();
		server.silenceConnections();
		const {error} = await run();
		assert.equal(error?.reason, 'resume-refused');
		assert.ok(!error.isTargetSuspect);
		assert.deepEqual(error.tokens, []);
		assert.equal(server.generations, 0);
		const second = await run({
			request: request({requestId: 'r2' as RequestId}),
		});
		assert.deepEqual(second.tokens, expectedTokens);
	});
});

// Guards against a crashed target that stays in use, and a continuation that repeats or skips tokens.
test('session: after a crash the response continues on another target', async () => {
	await withSession(async (first) => {
		const failed = await first.run({
			tokenReceived(count) {
				if (count === 5) {
					first.server.crash();
				}
			},
		});
		assert.equal(failed.error?.reason, 'target-unreachable');
		assert.ok(failed.error.isTargetSuspect);
		assert.equal(failed.error.execution, 'unknown');
		await withSession(async (second) => {
			const continued = await second.run({
				request: request({continuation: [...failed.error!.tokens]}),
			});
			assert.ok(continued.isComplete);
			assert.deepEqual(continued.tokens, expectedTokens);
		});
	});
});

// Guards against endless attempts to resume a stream that the new incarnation of its target does not have.
test('session: a generation fails after its target has restarted', async () => {
	await withSession(async ({server, run}) => {
		server.setFaults({restartMilliseconds: 0});
		const {error} = await run({
			tokenReceived(count) {
				if (count === 5) {
					server.crash();
				}
			},
		});
		assert.match(error!.reason, /resume-refused|target-unreachable/);
		assert.deepEqual(
			error!.tokens,
			expectedTokens.slice(0, error!.tokens.length),
		);
	});
});

// Guards against a refused request that counts as executed, and an aborted generation that keeps its slot.
test('session: a refusal counts as not executed and an abort frees the slot', async () => {
	await withSession(
		async ({server, run}) => {
			server.setFaults({leaving: true});
			const refused = await run();
			assert.equal(refused.error?.reason, 'not-started');
			assert.equal(refused.error.execution, 'not-run');
			server.setFaults({leaving: false});
			const controller = new AbortController();
			const aborted = await run({
				signal: controller.signal,
				tokenReceived(count) {
					if (count === 3) {
						controller.abort();
					}
				},
			});
			assert.equal(aborted.error?.reason, 'aborted');
			assert.ok(!aborted.isComplete);
			while (server.snapshot().running > 0) {
				await setImmediate();
			}
		},
		{betweenTokensMilliseconds: 40},
	);
});

// Guards against mistaking a slow target for a failed one, or a slow consumer for a slow target.
test('session: slow targets and slow consumers do not interrupt the stream', async () => {
	await withSession(async ({server, run}) => {
		server.setFaults({slowFactor: 20});
		const outcome = await run();
		assert.ok(outcome.isComplete);
		assert.equal(outcome.resumeCount, 0);
		server.clearFaults();
		const slowConsumer = await run({
			request: request({requestId: 'r2' as RequestId}),
			tokenReceived(count) {
				if (count === 2) {
					Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 700);
				}
			},
		});
		assert.ok(slowConsumer.isComplete);
		assert.equal(slowConsumer.resumeCount, 0);
	});
});
