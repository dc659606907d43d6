import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {send, TestFleet, waitUntil, type TestHost} from './processes.js';
import {
	askOperator,
	callerKey,
	hostSettings,
	operatorToken,
	startPlatform,
	submitDocument,
	testDocument,
	type TestPlatform,
} from './test-deployment.js';

// "Within seconds" of the requirements, with room for a busy machine.
const inForceMilliseconds = 5000;
// A host counts as isolated after 10 s without the log and without peers.
const isolationMilliseconds = 25_000;

const fleet = new TestFleet();
after(async () => fleet.dispose());

let platform: TestPlatform;
let hosts: TestHost[];
let revision = 0;
let started = 0;

async function startHost(seedPeers: readonly string[] = []): Promise<TestHost> {
	started += 1;
	const name = `entry-${started}`;
	return fleet.host(name, {
		...hostSettings(platform, name, 'palermo'),
		seedPeers,
	});
}

/** A document whose only offering tells documents apart. */
function documentWith(offering: string) {
	const document = testDocument({
		engines: [
			{
				id: 'sarto-1',
				address: 'http://127.0.0.1:9',
				failureDomain: 'palermo',
			},
		],
		services: [
			{
				id: 'ordini-1',
				address: 'http://127.0.0.1:10',
				failureDomain: 'palermo',
			},
		],
	});
	return {
		...document,
		offerings: [{name: offering, model: 'hem-base'}],
		callers: document.callers.map((caller) => ({
			...caller,
			offerings: [offering],
		})),
	};
}

/** The offerings that a caller sees through a host: what is in force there. */
async function offeringsOf(host: TestHost): Promise<string | undefined> {
	const answer = await send('GET', `${host.callers}/v1/models`, {
		key: callerKey,
	}).catch(() => undefined);
	const data = (answer?.json?.data ?? []) as Array<{id: string}>;
	return answer?.status === 200 ? data.map(({id}) => id).join(',') : undefined;
}

async function inForceEverywhere(
	offering: string,
	among: readonly TestHost[],
	limit = inForceMilliseconds,
): Promise<void> {
	await waitUntil(
		`${offering} is in force on all hosts`,
		async () => {
			const seen = await Promise.all(
				among.map(async (host) => offeringsOf(host)),
			);
			return seen.every((offerings) => offerings === offering);
		},
		limit,
	);
}

async function submit(host: TestHost, offering: string): Promise<void> {
	const answer = await submitDocument(host, documentWith(offering), revision);
	assert.equal(answer.status, 200, answer.text);
	revision += 1;
	assert.equal(answer.json.revision, revision);
}

async function setOutage(outage: 'none' | 'closed'): Promise<void> {
	await send('PUT', `${platform.log.address}/stand-in/faults`, {
		body: {outage},
	});
}

before(async () => {
	platform = await startPlatform(fleet);
	hosts = await Promise.all([startHost(), startHost(), startHost()]);
	await submit(hosts[0]!, 'first');
	await inForceEverywhere('first', hosts, 15_000);
});

// Guards against two accepted edits of one revision, and against a loser that is not told who won.
test('of conflicting edits through different hosts one wins, and the others are told who won', async () => {
	const names = ['edit-a', 'edit-b', 'edit-c'];
	const answers = await Promise.all(
		hosts.map(async (host, index) =>
			send('PUT', `${host.operators}/operator/v1/document`, {
				key: operatorToken,
				body: {
					expectedRevision: revision,
					summary: names[index],
					document: documentWith(names[index]!),
				},
			}),
		),
	);
	const winners = answers.flatMap((answer, index) =>
		answer.status === 200 ? [names[index]!] : [],
	);
	assert.equal(winners.length, 1, answers.map(({text}) => text).join('\n'));
	revision += 1;
	for (const answer of answers.filter(({status}) => status !== 200)) {
		assert.equal(answer.status, 409, answer.text);
		assert.match(answer.text, /tester/);
	}

	await inForceEverywhere(winners[0]!, hosts);
});

// Guards against a host that serves an older document after a kill or a freeze.
test('an accepted document is in force within seconds and never reverts across a kill and a freeze', async () => {
	const [first, second, third] = hosts as [TestHost, TestHost, TestHost];
	second.process.signal('SIGSTOP');
	await third.process.kill();
	await submit(first, 'second');
	await inForceEverywhere('second', [first]);
	second.process.signal('SIGCONT');
	const replacement = await startHost();
	hosts = [first, second, replacement];
	await inForceEverywhere('second', hosts, 15_000);
	await submit(replacement, 'third');
	await inForceEverywhere('third', hosts);
	const deadline = performance.now() + 3000;
	await waitUntil('no host reverted for 3 s', async () => {
		for (const host of hosts) {
			assert.equal(await offeringsOf(host), 'third');
		}

		return performance.now() > deadline;
	});
});

// Guards against a fleet that stops or forgets its document in a log outage, and against a new host that cannot start in one.
test('a log outage keeps the document, refuses edits, and an empty host starts from its peers', async () => {
	await setOutage('closed');
	const empty = await startHost(hosts.map(({peers}) => peers));
	await inForceEverywhere('third', [...hosts, empty], 20_000);
	const refused = await send(
		'PUT',
		`${hosts[0]!.operators}/operator/v1/document`,
		{
			key: operatorToken,
			body: {
				expectedRevision: revision,
				summary: 'in the outage',
				document: documentWith('outage'),
			},
		},
	);
	assert.equal(refused.status, 503, refused.text);
	await inForceEverywhere('third', [...hosts, empty]);
	await setOutage('none');
	hosts = [...hosts, empty];
	// The refused edit may still take effect, as its answer says; a later edit must not.
	const inForce = await waitUntil('the log answers again', async () => {
		const answer = await askOperator(hosts[0]!, 'document');
		const status = await askOperator(hosts[0]!, 'status');
		return status.json.logReachable === true ? answer : undefined;
	});
	revision = Number(inForce.json.revision);
	await submit(hosts[1]!, 'fourth');
	await inForceEverywhere('fourth', hosts);
});

// Guards against a fleet without a memory: the log alone must be enough.
test('all hosts replaced at once serve the last accepted document', async () => {
	await Promise.all(hosts.map(async (host) => host.process.kill()));
	hosts = await Promise.all([startHost(), startHost()]);
	await inForceEverywhere('fourth', hosts, 15_000);
	await submit(hosts[0]!, 'fifth');
	await inForceEverywhere('fifth', hosts);
});

// Guards against a host that serves an old document because nobody can tell it of a newer one.
test('a host that hears neither the log nor a peer goes unready and refuses work as not run', async () => {
	const [first, second] = hosts as [TestHost, TestHost];
	await second.process.kill();
	await setOutage('closed');
	const refused = await waitUntil(
		'the host refuses work',
		async () => {
			const answer = await send('GET', `${first.callers}/v1/models`, {
				key: callerKey,
			});
			return answer.status === 503 ? answer : undefined;
		},
		isolationMilliseconds,
	);
	assert.equal(refused.json.code, 'stale-configuration');
	assert.equal(refused.json.execution, 'not-run');
	const ready = await send('GET', `${first.operators}/readyz`);
	assert.equal(ready.status, 503);
	await setOutage('none');
	await inForceEverywhere('fifth', [first], 15_000);
});
