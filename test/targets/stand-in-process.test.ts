import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {test, type TestContext} from 'node:test';
import {fileURLToPath} from 'node:url';
import {HttpEngine} from '../../src/adapters/node/http-engine.js';
import {type GenerationRequest} from '../../src/contracts/engine.js';
import {GenerationSession} from '../../src/services/generation-session.js';

const program = fileURLToPath(
	new URL('../../src/stand-ins/stand-in-main.js', import.meta.url),
);

async function startEngine(t: TestContext, betweenTokensMilliseconds: number) {
	const options = {
		artifacts: [{key: 'model/m@1', bytes: 10}],
		betweenTokensMilliseconds,
	};
	const child = spawn(
		process.execPath,
		[program, '--kind', 'engine', '--options', JSON.stringify(options)],
		{stdio: ['ignore', 'pipe', 'inherit']},
	);
	const exited = once(child, 'exit');
	const [line] = (await once(createInterface(child.stdout), 'line')) as [
		string,
	];
	const {address} = JSON.parse(line) as {readonly address: string};
	const engine = new HttpEngine({address});
	t.after(async () => {
		await engine.dispose();
		child.kill();
		await exited;
	});
	return {address, engine, exited};
}

function session(engine: HttpEngine, content: string) {
	const request: GenerationRequest = {
		requestId: 'r1' as GenerationRequest['requestId'],
		model: 'm' as GenerationRequest['model'],
		messages: [{role: 'user', content}],
		maximumTokens: 100,
		priority: 0,
		continuation: [],
	};
	return new GenerationSession({
		engine,
		request,
		firstTokenMilliseconds: 5000,
		betweenTokensMilliseconds: 400,
		pingMilliseconds: 1000,
	});
}

function pause(milliseconds: number): void {
	const cell = new Int32Array(new SharedArrayBuffer(4));
	Atomics.wait(cell, 0, 0, milliseconds);
}

// Guards against a stand-in whose process survives a request that should crash it.
test('stand-in process: a marked request ends the process', async (t) => {
	const {address, engine, exited} = await startEngine(t, 1);
	await fetch(`${address}/stand-in/faults`, {
		method: 'PUT',
		body: JSON.stringify({crashOnText: 'poison'}),
	});
	const {signal} = new AbortController();
	for await (const progress of session(engine, 'poison').run(signal)) {
		const error = progress._unsafeUnwrapErr();
		assert.equal(error.reason, 'target-unreachable');
		assert.deepEqual(error.tokens, []);
	}

	assert.deepEqual(await exited, [1, null]);
});

// Guards against healthy connections that count as silent after this process was paused.
test('stand-in process: a pause of the reader is no silence', async (t) => {
	const {engine} = await startEngine(t, 60);
	const reader = session(engine, 'tokens=14');
	const {signal} = new AbortController();
	let received = 0;
	for await (const progress of reader.run(signal)) {
		assert.ok(progress.isOk());
		received++;
		if (received === 3) {
			// After a pause in this phase of the event loop, timers run before sockets are read.
			setTimeout(() => {
				setImmediate(pause, 600);
			}, 10);
		}
	}

	assert.equal(received, 15);
	assert.equal(reader.resumeCount, 0);
});
