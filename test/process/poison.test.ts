import assert from 'node:assert/strict';
import {after, afterEach, before, test} from 'node:test';
import {TestFleet, waitUntil} from './processes.js';
import {
	requestModel,
	controlRecords,
	expectedText,
	setFaults,
	startModelFleet,
	statistics,
	type ModelFleet,
} from './model-fleet.js';

const fleet = new TestFleet();
after(async () => fleet.dispose());

const poison = 'poisoned-prompt';

let started: ModelFleet;
before(async () => {
	started = await startModelFleet(fleet, {
		engines: 3,
		hosts: 2,
		engineOptions: {firstTokenMilliseconds: 20, betweenTokensMilliseconds: 20},
		// Two engines crash, and no host can send load orders without the log, so the other requests need the
		// replica on the third engine.
		documentChanges: {
			models: [
				{
					id: 'hem-base',
					pool: 'sarto-lm',
					bytes: 400_000,
					minimumReplicas: 3,
				},
			],
		},
	});
	await Promise.all(
		started.engines.map(async (engine) =>
			setFaults(engine, {crashOnText: poison, restartMilliseconds: 300}),
		),
	);
});

afterEach(async () => {
	await setFaults(started.platform.log, {outage: 'none'});
});

async function countCrashes(): Promise<number> {
	let crashes = 0;
	for (const engine of started.engines) {
		const counted = await waitUntil('the engine responds', async () => {
			try {
				return (await statistics(engine)) as {crashes: number};
			} catch {
				return undefined;
			}
		});
		crashes += counted.crashes;
	}

	return crashes;
}

/** Waits until each engine responds and holds the model. */
async function waitUntilFleetServes(): Promise<void> {
	await waitUntil('the engines hold the model again', async () => {
		try {
			const reports = await Promise.all(
				started.engines.map(async (engine) => statistics(engine)),
			);
			const holding = reports.filter(({report}) =>
				report.artifacts.some(
					({state}: {state: string}) => state === 'resident',
				),
			);
			return holding.length === started.engines.length;
		} catch {
			return false;
		}
	});
}

/** Sends a request that crashes engines while other requests run, and sends it again through the other host. */
async function assertPoisonIsQuarantined(name: string): Promise<void> {
	const [first, second] = started.hosts as [
		(typeof started.hosts)[0],
		(typeof started.hosts)[0],
	];
	await waitUntilFleetServes();
	const crashesBefore = await countCrashes();
	const unaffectedPrompts = Array.from(
		{length: 8},
		(_, index) => `bystander ${name} ${index} tokens=${30 + index}`,
	);
	let running = 0;
	const responses = unaffectedPrompts.map(async (prompt, index) =>
		requestModel(index % 2 === 0 ? first : second, prompt, {
			onToken(count) {
				running += count === 1 ? 1 : 0;
			},
		}),
	);
	await waitUntil(
		'the unaffected requests run',
		() => running >= unaffectedPrompts.length,
	);
	const poisonedPrompt = `${poison} ${name} tokens=20`;
	const refused = await requestModel(first, poisonedPrompt);
	assert.equal(refused.kind, 'refused', JSON.stringify(refused));
	assert.equal(refused.code, 'quarantined', JSON.stringify(refused));
	// The engines executed the request, so "not-run" would be wrong.
	assert.equal(refused.execution, 'unknown');
	const repeated = await requestModel(second, poisonedPrompt);
	assert.equal(repeated.code, 'quarantined', JSON.stringify(repeated));
	assert.equal(repeated.execution, 'not-run');
	const answered = await Promise.all(responses);
	for (const [index, response] of answered.entries()) {
		assert.equal(response.kind, 'whole', JSON.stringify(response));
		assert.equal(response.text, expectedText(unaffectedPrompts[index]!));
	}

	const crashesAfter = await countCrashes();
	const crashes = crashesAfter - crashesBefore;
	assert.ok(
		crashes >= 1 && crashes <= 2,
		`${crashes} engines crashed, 1 or 2 were expected`,
	);
}

// Requests that ran on the same engines must not be affected.
test('a request that crashes engines is quarantined in the whole fleet after two crashes', async () => {
	await assertPoisonIsQuarantined('with-log');
	const records = await controlRecords(started.platform);
	const deaths = records.filter((record) => record.kind === 'target-died');
	assert.ok(deaths.length > 0);
});

// Hosts must not depend on the log to learn of crashes.
test('a quarantine reaches the other hosts during a log outage', async () => {
	await setFaults(started.platform.log, {outage: 'closed'});
	await assertPoisonIsQuarantined('without-log');
});

test('other requests are not quarantined when several requests crash engines through both hosts at once', async () => {
	await waitUntilFleetServes();
	const crashesBefore = await countCrashes();
	const unaffectedPrompts = Array.from(
		{length: 6},
		(_, index) => `bystander of several ${index} tokens=${20 + index}`,
	);
	const responses = unaffectedPrompts.map(async (prompt, index) =>
		requestModel(started.hosts[index % 2]!, prompt),
	);
	const refused = await Promise.all(
		started.hosts.map(async (host, index) =>
			requestModel(host, `${poison} several ${index}`),
		),
	);
	for (const response of refused) {
		assert.equal(response.code, 'quarantined', JSON.stringify(response));
	}

	const answered = await Promise.all(responses);
	for (const [index, response] of answered.entries()) {
		assert.equal(response.kind, 'whole', JSON.stringify(response));
		assert.equal(response.text, expectedText(unaffectedPrompts[index]!));
	}

	const crashesAfter = await countCrashes();
	const crashes = crashesAfter - crashesBefore;
	assert.ok(
		crashes <= 4,
		`${crashes} engines crashed, at most 2 for each request were expected`,
	);
});

// Guards against a quarantine that knows whole requests only: a message that many requests contain crashes the engines
// under each of them, and no two requests are alike.
test('a message that crashes engines in different requests is quarantined, and other messages are not', async () => {
	await waitUntilFleetServes();
	const crashesBefore = await countCrashes();
	const system = `${poison} shared message`;
	for (let index = 0; index < 6; index++) {
		const refused = await requestModel(
			started.hosts[index % 2]!,
			`different question ${index}`,
			{system},
		);
		assert.equal(refused.code, 'quarantined', JSON.stringify(refused));
	}

	const crashes = (await countCrashes()) - crashesBefore;
	assert.ok(
		crashes >= 1 && crashes <= 2,
		`${crashes} engines crashed, 1 or 2 were expected`,
	);
	await waitUntilFleetServes();
	for (const host of started.hosts) {
		const answered = await requestModel(host, 'sound question tokens=5', {
			system: 'harmless shared message',
		});
		assert.equal(answered.kind, 'whole', JSON.stringify(answered));
	}
});
