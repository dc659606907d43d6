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

async function askAll(prompts: readonly string[]): Promise<ModelResponse[]> {
	return Promise.all(
		prompts.map(async (prompt) => requestModel(started.hosts[0]!, prompt)),
	);
}

/** Fails for a part presented as the whole, and for any text that is not of this answer. */
function assertTrue(prompt: string, answer: ModelResponse): void {
	const expected = expectedText(prompt);
	if (answer.kind === 'whole') {
		assert.equal(answer.text, expected);
		return;
	}

	assert.ok(
		expected.startsWith(answer.text),
		`${prompt}: ${answer.text} is no part of ${expected}`,
	);
	assert.ok(answer.code, `${prompt}: ended without a reason`);
}

// Guards against a damaged stream that reaches the caller as a whole answer or with another's text.
test('a truncated, crossed, duplicate or gapped stream gives exactly the expected answer', async () => {
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
		const answers = await askAll(prompts);
		for (const [index, answer] of answers.entries()) {
			assertTrue(prompts[index]!, answer);
			// A falsified count can't be told from a lost token, so an error is right there.
			if (kind !== 'wrong-count') {
				assert.equal(
					answer.kind,
					'whole',
					`${kind}: ${JSON.stringify(answer)}`,
				);
			}
		}
	}

	await Promise.all(
		started.engines.map(async (engine) => setFaults(engine, {streams: []})),
	);
});

// Guards against an answer that is given up or mixed with another one because it is late.
test('an answer that arrives late is the expected one', async () => {
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
	const answers = await askAll(prompts);
	for (const [index, answer] of answers.entries()) {
		assert.equal(answer.kind, 'whole', JSON.stringify(answer));
		assertTrue(prompts[index]!, answer);
	}
});

// Guards against streams that hang on a silent connection, and against taking its target for dead.
test('streams survive connections that go silent for good, and the target is kept', async () => {
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
	await waitUntil('all answers have begun', () => streaming === prompts.length);
	const silent = await waitUntil('an engine runs some of them', async () =>
		busiestEngine(started.engines),
	);
	await controlStandIn(silent, 'POST', 'silence');
	const answers = await Promise.all(running);
	for (const [index, answer] of answers.entries()) {
		assert.equal(answer.kind, 'whole', JSON.stringify(answer));
		assertTrue(prompts[index]!, answer);
	}

	await started.hosts[0]!.process.json(
		'a silent connection was noticed',
		({message}) => message === 'connection-silent',
	);
	const {generations: before} = await statistics(silent);
	await waitUntil('the engine gets further work', async () => {
		await Promise.all(
			Array.from({length: 6}, async (_, index) =>
				requestModel(started.hosts[0]!, `after silence ${index} tokens=4`),
			),
		);
		const {generations} = await statistics(silent);
		return generations > before ? true : undefined;
	});
	const records = await controlRecords(started.platform);
	assert.deepEqual(
		records.filter((record) => record.kind === 'target-died'),
		[],
	);
});

// Guards against a part of an answer, or parts of two, after the process of an engine ended. Last, because the engine stays dead.
test('an engine killed in mid-answer costs no caller its answer', async () => {
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
	await waitUntil('all answers have begun', () => streaming === prompts.length);
	const victim = await waitUntil('an engine runs some of them', async () =>
		busiestEngine(started.engines),
	);
	await victim.process.kill();
	const answers = await Promise.all(running);
	for (const [index, answer] of answers.entries()) {
		assert.equal(answer.kind, 'whole', JSON.stringify(answer));
		assertTrue(prompts[index]!, answer);
	}
});
