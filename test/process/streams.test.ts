import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {TestFleet, waitUntil} from './processes.js';
import {
	requestModel,
	busiestEngine,
	controlRecords,
	controlStandIn,
	expectedText,
	setFaults,
	startModelFleet,
	statistics,
	type ModelResponse,
	type ModelFleet,
} from './model-fleet.js';

const fleet = new TestFleet();
after(async () => fleet.dispose());

let started: ModelFleet;
before(async () => {
	started = await startModelFleet(fleet, {
		engines: 3,
		hosts: 1,
		engineOptions: {firstTokenMilliseconds: 20, betweenTokensMilliseconds: 20},
	});
});

async function requestAll(
	prompts: readonly string[],
): Promise<ModelResponse[]> {
	return Promise.all(
		prompts.map(async (prompt) => requestModel(started.hosts[0]!, prompt)),
	);
}

/** Fails when a partial response is presented as complete, or when its text is not a prefix of the expected text. */
function assertPartOfExpected(prompt: string, response: ModelResponse): void {
	const expected = expectedText(prompt);
	if (response.kind === 'whole') {
		assert.equal(response.text, expected);
		return;
	}

	assert.ok(
		expected.startsWith(response.text),
		`${prompt}: ${response.text} is not a prefix of ${expected}`,
	);
	assert.ok(
		response.code,
		`${prompt}: the response ended without an error code`,
	);
}

// A damaged stream must not reach the caller as a complete response or with text of another request.
test('a truncated, crossed, duplicate or gapped stream gives exactly the expected response', async () => {
	const kinds = [
		'truncated',
		'broken',
		'crossed',
		'duplicate',
		'missing',
		'garbled',
		'wrong-count',
	];
	for (const kind of kinds) {
		await Promise.all(
			started.engines.map(async (engine) =>
				setFaults(engine, {streams: [{kind, afterEvents: 3, remaining: 2}]}),
			),
		);
		const prompts = Array.from(
			{length: 6},
			(_, index) => `${kind} ${index} tokens=${12 + index}`,
		);
		const responses = await requestAll(prompts);
		for (const [index, response] of responses.entries()) {
			assertPartOfExpected(prompts[index]!, response);
			// A wrong count cannot be distinguished from a lost token, so an error is correct.
			if (kind !== 'wrong-count') {
				assert.equal(
					response.kind,
					'whole',
					`${kind}: ${JSON.stringify(response)}`,
				);
			}
		}
	}

	await Promise.all(
		started.engines.map(async (engine) => setFaults(engine, {streams: []})),
	);
});

test('a late response is neither abandoned nor mixed with another one', async () => {
	await Promise.all(
		started.engines.map(async (engine) =>
			setFaults(engine, {
				answers: [
					{
						kind: 'answer-late',
						method: 'POST',
						pathPrefix: '/generate',
						remaining: 2,
						delayMilliseconds: 1500,
					},
				],
			}),
		),
	);
	const prompts = Array.from(
		{length: 9},
		(_, index) => `late ${index} tokens=${20 + index}`,
	);
	const responses = await requestAll(prompts);
	for (const [index, response] of responses.entries()) {
		assert.equal(response.kind, 'whole', JSON.stringify(response));
		assertPartOfExpected(prompts[index]!, response);
	}
});

test('streams do not hang on silent connections, whose target does not count as failed', async () => {
	const prompts = Array.from(
		{length: 9},
		(_, index) => `silent ${index} tokens=${80 + index}`,
	);
	let streaming = 0;
	const running = prompts.map(async (prompt) =>
		requestModel(started.hosts[0]!, prompt, {
			onToken(count) {
				streaming += count === 1 ? 1 : 0;
			},
		}),
	);
	await waitUntil(
		'all responses have begun',
		() => streaming === prompts.length,
	);
	const silentEngine = await waitUntil(
		'an engine runs some of them',
		async () => busiestEngine(started.engines),
	);
	await controlStandIn(silentEngine, 'POST', 'silence');
	const responses = await Promise.all(running);
	for (const [index, response] of responses.entries()) {
		assert.equal(response.kind, 'whole', JSON.stringify(response));
		assertPartOfExpected(prompts[index]!, response);
	}

	await started.hosts[0]!.process.json(
		'a silent connection was detected',
		({message}) => message === 'connection-silent',
	);
	const {generations: before} = await statistics(silentEngine);
	await waitUntil('the engine gets further work', async () => {
		await Promise.all(
			Array.from({length: 6}, async (_, index) =>
				requestModel(started.hosts[0]!, `after silence ${index} tokens=4`),
			),
		);
		const {generations} = await statistics(silentEngine);
		return generations > before ? true : undefined;
	});
	const records = await controlRecords(started.platform);
	assert.deepEqual(
		records.filter((record) => record.kind === 'target-died'),
		[],
	);
});

// This test is the last one because the engine is not restarted.
test('no caller receives a partial or mixed response after an engine is killed during the response', async () => {
	const prompts = Array.from(
		{length: 9},
		(_, index) => `killed ${index} tokens=${80 + index}`,
	);
	let streaming = 0;
	const running = prompts.map(async (prompt) =>
		requestModel(started.hosts[0]!, prompt, {
			onToken(count) {
				streaming += count === 1 ? 1 : 0;
			},
		}),
	);
	await waitUntil(
		'all responses have begun',
		() => streaming === prompts.length,
	);
	const killedEngine = await waitUntil(
		'an engine runs some of them',
		async () => busiestEngine(started.engines),
	);
	await killedEngine.process.kill();
	const responses = await Promise.all(running);
	for (const [index, response] of responses.entries()) {
		assert.equal(response.kind, 'whole', JSON.stringify(response));
		assertPartOfExpected(prompts[index]!, response);
	}
});
