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

// The design requires that hosts stop sending work to a leaving target within this time.
const noticeTimeoutMilliseconds = 3000;

let started: ModelFleet;
const leftEngines = new Set<TestEngine>();
before(async () => {
	started = await startModelFleet(fleet, {
		engines: 4,
		hosts: 2,
		engineOptions: {firstTokenMilliseconds: 20, betweenTokensMilliseconds: 20},
	});
});

/** Runs a constant load while an engine leaves, and returns how many requests it received after the notice timeout. */
async function countRequestsAfterNotice(
	begin: (engine: TestEngine) => Promise<void>,
	countRequests: (engine: TestEngine) => Promise<number>,
): Promise<number> {
	const staying = started.engines.filter((engine) => !leftEngines.has(engine));
	const load = new AbortController();
	const running = Array.from({length: 12}, async (_, sender) => {
		for (let index = 0; !load.signal.aborted; index++) {
			const prompt = `leaving ${leftEngines.size} ${sender} ${index} tokens=${20 + sender * 15}`;
			const response = await requestModel(
				started.hosts[sender % started.hosts.length]!,
				prompt,
			);
			assert.equal(response.kind, 'whole', JSON.stringify(response));
			assert.equal(response.text, expectedText(prompt));
		}
	});
	const ended = Promise.all(running);
	try {
		const engine = await Promise.race([
			ended.then(() => undefined),
			waitUntil('an engine runs streams', async () => busiestEngine(staying)),
		]);
		assert.ok(engine);
		leftEngines.add(engine);
		await begin(engine);
		const startedAt = performance.now();
		await waitUntil(
			'the notice timeout has passed',
			() => performance.now() - startedAt > noticeTimeoutMilliseconds,
		);
		const countAtNotice = await countRequests(engine);
		// The load continues for several times the duration of its longest response.
		await waitUntil(
			'the load has continued after the notice timeout',
			() => performance.now() - startedAt > 3 * noticeTimeoutMilliseconds,
		);
		const countAtEnd = await countRequests(engine);
		load.abort();
		await ended;
		return countAtEnd - countAtNotice;
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

test('a target that the host list shows as leaving gets no new work and finishes its streams', async () => {
	const requestsAfterNotice = await countRequestsAfterNotice(
		async (engine) => {
			await send('PUT', `${started.platform.hostList.address}/hosts`, {
				body: {hosts: [{name: engine.id, state: 'leaving'}]},
			});
		},
		async (engine) => countGenerations(engine),
	);
	assert.equal(requestsAfterNotice, 0);
});

test('a target whose report shows that it is leaving gets no new work and finishes its streams', async () => {
	const requestsAfterNotice = await countRequestsAfterNotice(
		async (engine) => setFaults(engine, {reportOverrides: {leaving: true}}),
		async (engine) => countGenerations(engine),
	);
	assert.equal(requestsAfterNotice, 0);
});

// Neither the report of the target nor the host list shows that it is leaving.
test('a target that refuses work because it is leaving gets no further work', async () => {
	const requestsAfterNotice = await countRequestsAfterNotice(
		async (engine) =>
			setFaults(engine, {leaving: true, reportOverrides: {leaving: false}}),
		async (engine) => {
			const refusals = countRefusals(engine);
			assert.ok(refusals > 0, 'the engine received no request');
			return refusals;
		},
	);
	assert.equal(requestsAfterNotice, 0);
});
