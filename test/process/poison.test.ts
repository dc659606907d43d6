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
		// Two engines die, and without a log nobody may order a load: the bystanders need the copy on the third.
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
		const counted = await waitUntil('the engine answers', async () => {
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

/** Waits until each engine answers and holds the model. */
async function fleetServes(): Promise<void> {
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

/** Sends a poisoned request among bystanders and its repetition through the other host. */
async function poisonFleet(name: string): Promise<void> {
	const [first, second] = started.hosts as [
		(typeof started.hosts)[0],
		(typeof started.hosts)[0],
	];
	await fleetServes();
	const crashesBefore = await countCrashes();
	const bystanders = Array.from(
		{length: 8},
		(_, index) => `bystander ${name} ${index} tokens=${30 + index}`,
	);
	let running = 0;
	const answers = bystanders.map(async (prompt, index) =>
		requestModel(index % 2 === 0 ? first : second, prompt, {
			onToken(count) {
				running += count === 1 ? 1 : 0;
			},
		}),
	);
	await waitUntil('the bystanders run', () => running >= bystanders.length);
	const marked = `${poison} ${name} tokens=20`;
	const refused = await requestModel(first, marked);
	assert.equal(refused.kind, 'refused', JSON.stringify(refused));
	assert.equal(refused.code, 'quarantined', JSON.stringify(refused));
	// The engines ran it, so a refusal that says "not run" would be untrue.
	assert.equal(refused.execution, 'unknown');
	const repeated = await requestModel(second, marked);
	assert.equal(repeated.code, 'quarantined', JSON.stringify(repeated));
	assert.equal(repeated.execution, 'not-run');
	const answered = await Promise.all(answers);
	for (const [index, answer] of answered.entries()) {
		assert.equal(answer.kind, 'whole', JSON.stringify(answer));
		assert.equal(answer.text, expectedText(bystanders[index]!));
	}

	const crashesAfter = await countCrashes();
	const crashes = crashesAfter - crashesBefore;
	assert.ok(
		crashes >= 1 && crashes <= 2,
		`${crashes} engines ended, at most 2 may`,
	);
}

// Guards against a request that ends one engine after the other, and against bystanders that pay for it.
test('a request that ends engines is quarantined in the whole fleet after two deaths', async () => {
	await poisonFleet('with-log');
	const records = await controlRecords(started.platform);
	const deaths = records.filter((record) => record.kind === 'target-died');
	assert.ok(deaths.length > 0);
});

// Guards against hosts that learn of deaths through the log alone.
test('a quarantine reaches the other hosts during a log outage', async () => {
	await setFaults(started.platform.log, {outage: 'closed'});
	await poisonFleet('without-log');
});

// Guards against bystanders that are quarantined after several poisoned requests in a row.
test('several poisoned requests through both hosts at once leave the bystanders their answers', async () => {
	await fleetServes();
	const crashesBefore = await countCrashes();
	const bystanders = Array.from(
		{length: 6},
		(_, index) => `bystander of several ${index} tokens=${20 + index}`,
	);
	const answers = bystanders.map(async (prompt, index) =>
		requestModel(started.hosts[index % 2]!, prompt),
	);
	const refused = await Promise.all(
		started.hosts.map(async (host, index) =>
			requestModel(host, `${poison} several ${index}`),
		),
	);
	for (const answer of refused) {
		assert.equal(answer.code, 'quarantined', JSON.stringify(answer));
	}

	const answered = await Promise.all(answers);
	for (const [index, answer] of answered.entries()) {
		assert.equal(answer.kind, 'whole', JSON.stringify(answer));
		assert.equal(answer.text, expectedText(bystanders[index]!));
	}

	const crashesAfter = await countCrashes();
	const crashes = crashesAfter - crashesBefore;
	assert.ok(crashes <= 4, `${crashes} engines ended, at most 2 for each may`);
});
