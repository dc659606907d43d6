import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {send, TestFleet, waitUntil} from './processes.js';
import {
	requestModel,
	busiestEngine,
	expectedText,
	setFaults,
	startModelFleet,
	statistics,
	type ModelFleet,
	type TestEngine,
} from './model-fleet.js';

const fleet = new TestFleet();
after(async () => fleet.dispose());

// The bound of the design for a leaving target.
const noticeMilliseconds = 3000;

let started: ModelFleet;
const left = new Set<TestEngine>();
before(async () => {
	started = await startModelFleet(fleet, {
		engines: 4,
		hosts: 2,
		engineOptions: {firstTokenMilliseconds: 20, betweenTokensMilliseconds: 20},
	});
});

/** Runs a steady load while an engine leaves, and returns how often it was asked after the notice. */
async function leave(
	begin: (engine: TestEngine) => Promise<void>,
	countRequests: (engine: TestEngine) => Promise<number>,
): Promise<number> {
	const staying = started.engines.filter((engine) => !left.has(engine));
	const load = new AbortController();
	const running = Array.from({length: 12}, async (_, sender) => {
		for (let index = 0; !load.signal.aborted; index++) {
			const prompt = `leaving ${left.size} ${sender} ${index} tokens=${20 + sender * 15}`;
			const answer = await requestModel(
				started.hosts[sender % started.hosts.length]!,
				prompt,
			);
			assert.equal(answer.kind, 'whole', JSON.stringify(answer));
			assert.equal(answer.text, expectedText(prompt));
		}
	});
	const ended = Promise.all(running);
	try {
		const engine = await Promise.race([
			ended.then(() => undefined),
			waitUntil('an engine runs streams', async () => busiestEngine(staying)),
		]);
		assert.ok(engine);
		left.add(engine);
		await begin(engine);
		const begunAt = performance.now();
		await waitUntil(
			'the notice has passed',
			() => performance.now() - begunAt > noticeMilliseconds,
		);
		const noticed = await countRequests(engine);
		// The load goes on for several rounds of its longest answer.
		await waitUntil(
			'the load has gone on',
			() => performance.now() - begunAt > 3 * noticeMilliseconds,
		);
		const later = await countRequests(engine);
		load.abort();
		await ended;
		return later - noticed;
	} finally {
		load.abort();
	}
}

async function countGenerations(engine: TestEngine): Promise<number> {
	const {generations} = await statistics(engine);
	return generations as number;
}

function countRefusals(engine: TestEngine): number {
	return started.hosts
		.flatMap(({process}) => process.lines)
		.filter(
			(line) =>
				line.includes('"target-refused"') && line.includes(`"${engine.id}"`),
		).length;
}

// Guards against work for a machine that only the host list knows to be leaving.
test('a target that the host list shows as leaving gets no new work and finishes its streams', async () => {
	const asked = await leave(
		async (engine) => {
			await send('PUT', `${started.platform.hostList.address}/hosts`, {
				body: {hosts: [{name: engine.id, state: 'leaving'}]},
			});
		},
		async (engine) => countGenerations(engine),
	);
	assert.equal(asked, 0);
});

// Guards against hosts that do not pass on that a report says "leaving".
test('a target whose report says that it leaves gets no new work and finishes its streams', async () => {
	const asked = await leave(
		async (engine) => setFaults(engine, {reportOverrides: {leaving: true}}),
		async (engine) => countGenerations(engine),
	);
	assert.equal(asked, 0);
});

// Guards against work for a target that refuses it, when neither its report nor the host list says so.
test('a target that refuses work because it leaves is not asked again', async () => {
	const asked = await leave(
		async (engine) =>
			setFaults(engine, {leaving: true, reportOverrides: {leaving: false}}),
		async (engine) => {
			const refusals = countRefusals(engine);
			assert.ok(refusals > 0, 'the engine was not asked at all');
			return refusals;
		},
	);
	assert.equal(asked, 0);
});
