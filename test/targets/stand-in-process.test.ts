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

const standInPath = fileURLToPath(
	new URL('../../src/stand-ins/stand-in-main.js', import.meta.url),
);

async function startEngine(t: TestContext, betweenTokensMilliseconds: number) {
	const options = {
		artifacts: [{key: 'model/m@1', bytes: 10}],
		betweenTokensMilliseconds,
	};
	const child = spawn(
		process.execPath,
		[standInPath, '--kind', 'engine', '--options', JSON.stringify(options)],
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

function blockEventLoop(milliseconds: number): void {
	const lock = new Int32Array(new SharedArrayBuffer(4));
	Atomics.wait(lock, 0, 0, milliseconds);
}

// The crash handler of the stand-in must end its process when the body contains the crash text.
test('a request with the crash text ends the process of the stand-in', async (t) => {
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

// After a pause of this process, silence timers can fire before buffered data is read.
test('a pause of the reader does not make a healthy connection count as silent', async (t) => {
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
				setImmediate(blockEventLoop, 600);
			}, 10);
		}
	}

	assert.equal(received, 15);
	assert.equal(reader.resumeCount, 0);
});
