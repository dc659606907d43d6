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
	/** Tokens of the continuation and those that were yielded. */
	readonly tokens: readonly string[];
	readonly isComplete: boolean;
	readonly error: GenerationFailedError | undefined;
	readonly resumes: number;
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

type Arrangement = {
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
	work: (arrangement: Arrangement) => Promise<void>,
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
	const run: Arrangement['run'] = async (choice = {}) => {
		const logger = new RecordingLogger();
		const generation = choice.request ?? request();
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
		const signal = choice.signal ?? new AbortController().signal;
		for await (const progress of session.run(signal)) {
			assert.ok(!isComplete && !error, 'nothing follows the last item');
			if (progress.isErr()) {
				error = progress.error;
			} else if (progress.value.kind === 'token') {
				assert.equal(progress.value.sequence, tokens.length);
				tokens.push(progress.value.text);
				choice.tokenReceived?.(tokens.length);
			} else {
				isComplete = true;
				assert.deepEqual(progress.value.tokens, tokens);
			}
		}

		const {resumeCount: resumes} = session;
		return {tokens, isComplete, error, resumes, events: logger.names};
	};

	try {
		await work({engine, server, run});
	} finally {
		await engine.dispose();
		await server.dispose();
	}
}

const {tokens: answer} = expectedAnswer(request());

type StreamCase = {
	readonly kind: NonNullable<
		Parameters<EngineServer['setFaults']>[0]['streams']
	>[number]['kind'];
	readonly resumes: number;
	readonly event: string;
};

// Guards against an answer that is cut, repeated or mixed with another one.
const streamCases: StreamCase[] = [
	{kind: 'truncated', resumes: 1, event: 'stream-resumed'},
	{kind: 'broken', resumes: 1, event: 'stream-resumed'},
	{kind: 'stalled', resumes: 1, event: 'connection-silent'},
	{kind: 'crossed', resumes: 0, event: 'foreign-event-dropped'},
	{kind: 'duplicate', resumes: 0, event: 'duplicate-event-dropped'},
	{kind: 'missing', resumes: 1, event: 'stream-resumed'},
	{kind: 'garbled', resumes: 1, event: 'stream-resumed'},
];

for (const {kind, resumes, event} of streamCases) {
	for (const afterEvents of [0, 5, 12]) {
		test(`session: ${kind} stream after ${afterEvents} events`, async () => {
			await withSession(async ({server, run}) => {
				server.setFaults({streams: [{kind, afterEvents}]});
				const outcome = await run();
				assert.equal(outcome.error, undefined);
				assert.ok(outcome.isComplete);
				assert.deepEqual(outcome.tokens, answer);
				// The end marker is neither repeated nor skipped by the stand-in.
				const isFaultless =
					afterEvents === 12 && (kind === 'duplicate' || kind === 'missing');
				assert.equal(outcome.resumes, isFaultless ? 0 : resumes);
				assert.equal(outcome.events.includes(event), !isFaultless);
				assert.equal(server.generations, 1);
			});
		});
	}
}

// Guards against an end marker whose count does not fit and is presented as complete.
test('session: a wrong count is fetched again, then accepted', async () => {
	await withSession(async ({server, run}) => {
		server.setFaults({streams: [{kind: 'wrong-count', afterEvents: 12}]});
		const outcome = await run();
		assert.deepEqual(outcome.tokens, answer);
		assert.ok(outcome.isComplete);
		assert.equal(outcome.resumes, 1);
	});
});

// Guards against an endless series of resumes on a target that does not go on.
test('session: a target without progress is given up with the tokens so far', async () => {
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
		assert.deepEqual(error.tokens, answer.slice(0, 4));
		assert.deepEqual(tokens, answer.slice(0, 4));
	});
});

// Guards against a healthy target that is given up because its connections went silent.
for (const silentAt of [1, 6, 11]) {
	test(`session: silent connections after ${silentAt} tokens`, async () => {
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
			assert.deepEqual(outcome.tokens, answer);
			assert.equal(outcome.resumes, 1);
			assert.ok(outcome.events.includes('connection-silent'));
			assert.equal(server.generations, 1);
			assert.ok(server.acceptedConnections >= 3);
		});
	});
}

// Guards against an idle connection that was silent before the request was sent.
test('session: silent before the request is a loss without a start', async () => {
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
		assert.deepEqual(second.tokens, answer);
	});
});

// Guards against a dead target that stays in use, and a continuation that repeats or skips tokens.
test('session: after a crash the answer continues on another target', async () => {
	await withSession(async (first) => {
		const lost = await first.run({
			tokenReceived(count) {
				if (count === 5) {
					first.server.crash();
				}
			},
		});
		assert.equal(lost.error?.reason, 'target-unreachable');
		assert.ok(lost.error.isTargetSuspect);
		assert.equal(lost.error.execution, 'unknown');
		await withSession(async (second) => {
			const rest = await second.run({
				request: request({continuation: [...lost.error!.tokens]}),
			});
			assert.ok(rest.isComplete);
			assert.deepEqual(rest.tokens, answer);
		});
	});
});

// Guards against a restarted target whose new incarnation is asked for an old stream for good.
test('session: a restarted target does not know the generation', async () => {
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
		assert.deepEqual(error!.tokens, answer.slice(0, error!.tokens.length));
	});
});

// Guards against a refusal that counts as run, and a slot that an abandoned generation keeps.
test('session: refusals did not run, an abort frees the slot', async () => {
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

// Guards against a slow target that is taken for a lost one, and a slow reader for a slow target.
test('session: slow targets and slow readers are no loss', async () => {
	await withSession(async ({server, run}) => {
		server.setFaults({slowFactor: 20});
		const outcome = await run();
		assert.ok(outcome.isComplete);
		assert.equal(outcome.resumes, 0);
		server.clearFaults();
		const slowReader = await run({
			request: request({requestId: 'r2' as RequestId}),
			tokenReceived(count) {
				if (count === 2) {
					Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 700);
				}
			},
		});
		assert.ok(slowReader.isComplete);
		assert.equal(slowReader.resumes, 0);
	});
});
