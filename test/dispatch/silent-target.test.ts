import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {errAsync} from 'neverthrow';
import {HttpTargetConnector} from '../../src/adapters/node/http-target-connector.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {SystemClock} from '../../src/base/node/system-clock.js';
import {ControlLog} from '../../src/contracts/control-log.js';
import {fleetDocumentSchema} from '../../src/contracts/fleet-document.js';
import {
	type Fingerprint,
	type HostId,
	type PoolName,
	type RequestId,
} from '../../src/contracts/ids.js';
import {LogUnavailableError} from '../../src/contracts/log-service.js';
import {CallerLimiter} from '../../src/core/admission/caller-limiter.js';
import {DispatchRegistry} from '../../src/services/dispatch/dispatch-registry.js';
import {type EnginePoolDispatch} from '../../src/services/dispatch/engine-pool-dispatch.js';
import {GenerationRun} from '../../src/services/dispatch/generation-run.js';
import {CallerDirectory} from '../../src/services/entry/caller-directory.js';
import {QuarantineManager} from '../../src/services/entry/quarantine-manager.js';
import {ReportPoller} from '../../src/services/targets/report-poller.js';
import {TargetDirectory} from '../../src/services/targets/target-directory.js';
import {EngineServer} from '../../src/stand-ins/engine-server.js';
import {expectedResponse} from '../../src/stand-ins/response-generator.js';
import {LoopbackProxy} from '../loopback-proxy.js';
import {waitUntil} from '../process/processes.js';

const timeouts = {
	firstTokenMilliseconds: 5000,
	betweenTokensMilliseconds: 400,
	pingMilliseconds: 200,
};
/** Longer than the timeout between tokens and the ping together. */
const silenceMilliseconds = 1500;
const deadlineSeconds = 20;

class UnavailableLog extends ControlLog {
	submit() {
		return errAsync(new LogUnavailableError('the tests use no log'));
	}
}

/** One engine with one slot, behind a proxy. */
class ProxiedEngine {
	readonly server: EngineServer;
	proxy: LoopbackProxy | undefined;

	constructor(readonly id: string) {
		this.server = new EngineServer({
			target: id,
			slots: 1,
			betweenTokensMilliseconds: 40,
			artifacts: [{key: 'model/m@1', bytes: 10}],
		});
	}

	async start(): Promise<string> {
		const {address} = await this.server.start();
		this.proxy = new LoopbackProxy(new URL(address).host);
		return `http://${await this.proxy.start()}`;
	}

	async stop(): Promise<void> {
		this.proxy?.stop();
		await this.server.dispose();
	}
}

type Pool = {
	readonly dispatch: EnginePoolDispatch;
	readonly createRun: (tokens: number) => GenerationRun;
};

async function withPool(
	engines: readonly ProxiedEngine[],
	work: (pool: Pool) => Promise<void>,
): Promise<void> {
	const clock = new SystemClock();
	const events = new NullEventLogger();
	const metrics = new NullMetricRegistry();
	const targets = new TargetDirectory(new HttpTargetConnector(1000), clock);
	const addresses = await Promise.all(
		engines.map(async (engine) => engine.start()),
	);
	const document = fleetDocumentSchema.parse({
		schema: 1,
		pools: [
			{
				name: 'p',
				kind: 'engine',
				targets: engines.map(({id}, index) => ({
					id,
					address: addresses[index],
					failureDomain: 'z',
					memoryBytes: 1000,
					slots: 1,
				})),
			},
		],
		models: [{id: 'm', pool: 'p', bytes: 10}],
		offerings: [{name: 'o', model: 'm'}],
		callerClasses: [{name: 'c', urgency: 'standard', deadlineSeconds}],
		callers: [
			{
				id: 'caller',
				class: 'c',
				keyDigests: ['0'.repeat(64)],
				offerings: ['o'],
			},
		],
		weightStore: {
			loadsPerSecond: 1,
			concurrentLoads: 1,
			concurrentAdapterLoads: 1,
		},
	});
	const registry = new DispatchRegistry({
		host: 'h1' as HostId,
		targets,
		document: () => document,
		quarantine: new QuarantineManager({
			host: 'h1' as HostId,
			control: new UnavailableLog(),
			clock,
			events,
			metrics,
			notifyPeers: async () => undefined,
		}),
		limiter: new CallerLimiter({clock}),
		clock,
		random: new SeededRandomSource(7),
		events,
		metrics,
		reserveTarget: async () => true,
		timeouts,
	});
	targets.applyDocument(document);
	registry.applyDocument(document);
	const poller = new ReportPoller(targets, 250, () => true);
	poller.start();
	const callers = new CallerDirectory(document);
	const caller = document.callers[0]!;
	const authenticated = {caller, callerClass: document.callerClasses[0]!};
	let count = 0;
	const createRun = (tokens: number) => {
		count++;
		const now = clock.monotonic();
		return new GenerationRun(
			{
				requestId: `r${count}` as RequestId,
				authenticated,
				offering: callers.findOffering(authenticated, 'o')._unsafeUnwrap(),
				messages: [{role: 'user', content: `tokens=${tokens} of r${count}`}],
				maximumTokens: 1000,
			},
			{request: `f${count}` as Fingerprint, parts: []},
			now,
			now + deadlineSeconds * 1000,
		);
	};

	try {
		while (targets.all().some(({report}) => !report)) {
			await delay(10);
		}

		await work({
			dispatch: registry.engineDispatchOf('p' as PoolName)!,
			createRun,
		});
	} finally {
		poller.dispose();
		registry.dispose();
		targets.dispose();
		await Promise.all(engines.map(async (engine) => engine.stop()));
	}
}

/** Reads a run to its end. `tokenReceived` is called with the number of tokens so far. */
async function read(
	run: GenerationRun,
	tokenReceived?: (count: number) => void,
): Promise<string> {
	const tokens: string[] = [];
	for (;;) {
		const part = await run.nextPart();
		if (part === undefined) {
			return 'the run ended without an end part';
		}

		if (part.isErr()) {
			return `${part.error.code} after ${tokens.length} tokens`;
		}

		if (part.value.kind === 'end') {
			const {messages, maximumTokens, offering} = run.request;
			const expected = expectedResponse({
				model: offering.model.id,
				messages: [...messages],
				maximumTokens,
			});
			assert.deepEqual(tokens, expected.tokens);
			return 'complete';
		}

		tokens.push(part.value.text);
		tokenReceived?.(tokens.length);
	}
}

/** Submits the runs and silences an engine after some tokens of the run that it serves. Returns how each run ends. */
async function readOverSilence(
	{dispatch}: Pool,
	runs: readonly GenerationRun[],
	{
		engine,
		milliseconds,
		silenced,
	}: {
		readonly engine: ProxiedEngine;
		/** Duration of the silence, undefined for one that does not end. */
		readonly milliseconds?: number;
		readonly silenced?: () => void;
	},
): Promise<string[]> {
	let isSilenced = false;
	const outcomes = runs.map(async (run) =>
		read(run, (count) => {
			if (count < 5 || isSilenced || executions(run, [engine]) === 0) {
				return;
			}

			isSilenced = true;
			engine.proxy!.silence();
			silenced?.();
			if (milliseconds !== undefined) {
				setTimeout(() => {
					engine.proxy!.resume();
				}, milliseconds);
			}
		}),
	);
	for (const run of runs) {
		dispatch.submit(run);
	}

	return Promise.all(outcomes);
}

/** Returns how often the engines have started a run. */
function executions(
	{request: {requestId}}: GenerationRun,
	engines: readonly ProxiedEngine[],
): number {
	return engines
		.flatMap(({server}) => [...server.starts.keys()])
		.filter((id) => id.startsWith(`${requestId}.`)).length;
}

// Guards against a stream that is generated again because its only target is silent for longer than the progress
// timeout and the ping, although it goes on.
test('a stream goes on after a silence of the only target of its pool', async () => {
	const engine = new ProxiedEngine('e1');
	await withPool([engine], async (pool) => {
		const run = pool.createRun(40);
		const outcomes = await readOverSilence(pool, [run], {
			engine,
			milliseconds: silenceMilliseconds,
		});
		assert.deepEqual(outcomes, ['complete']);
		assert.equal(executions(run, [engine]), 1);
	});
});

// Guards against a stream that is given up, and then refused like new work, while its target is silent, no other target
// has room and work waits.
test('a stream goes on after a silence of its target while no other target has room', async () => {
	const engines = [new ProxiedEngine('e1'), new ProxiedEngine('e2')];
	await withPool(engines, async (pool) => {
		const {dispatch, createRun} = pool;
		const runs = [createRun(100), createRun(100)];
		const waiting: GenerationRun[] = [];
		const outcomes = await readOverSilence(pool, runs, {
			engine: engines[0]!,
			milliseconds: silenceMilliseconds,
			silenced() {
				for (let index = 0; index < 40; index++) {
					const other = createRun(100);
					waiting.push(other);
					dispatch.submit(other);
				}
			},
		});
		for (const run of waiting) {
			dispatch.abandon(run);
		}

		assert.deepEqual(outcomes, ['complete', 'complete']);
		assert.deepEqual(
			runs.map((run) => executions(run, engines)),
			[1, 1],
		);
	});
});

// Guards against a stream that waits for a silent target although another one can continue it.
test('a stream continues on another target as soon as that one has room, if its own stays silent', async () => {
	const engines = [new ProxiedEngine('e1'), new ProxiedEngine('e2')];
	await withPool(engines, async (pool) => {
		const runs = [pool.createRun(60), pool.createRun(60)];
		const outcomes = await readOverSilence(pool, runs, {engine: engines[0]!});
		assert.deepEqual(outcomes, ['complete', 'complete']);
		assert.equal(
			runs.reduce((sum, run) => sum + executions(run, engines), 0),
			3,
		);
	});
});

// Guards against work that stays in the queue after its caller has left while its target was silent.
test('a stream whose caller leaves during a silence of its target leaves nothing in the queue', async () => {
	const engine = new ProxiedEngine('e1');
	await withPool([engine], async (pool) => {
		const {dispatch} = pool;
		const run = pool.createRun(60);
		const outcomes = readOverSilence(pool, [run], {engine});
		await waitUntil(
			'the rest of the stream is queued',
			() => dispatch.dispatcher.queueLength === 1,
		);
		dispatch.abandon(run);
		await waitUntil(
			'nothing is queued or running',
			() =>
				dispatch.dispatcher.queueLength === 0 &&
				dispatch.dispatcher.runningAttempts === 0,
		);
		engine.proxy!.resume();
		assert.deepEqual(await outcomes, ['the run ended without an end part']);
		assert.equal(executions(run, [engine]), 1);
	});
});
