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

// The requirement is a few seconds. The timeout leaves room for a machine under load.
const inForceTimeoutMilliseconds = 5000;
// A host considers itself isolated after 10 s without the log and peers.
const isolationTimeoutMilliseconds = 25_000;

const fleet = new TestFleet();
after(async () => fleet.dispose());

let platform: TestPlatform;
let hosts: TestHost[];
let revision = 0;
let startedHosts = 0;

async function startHost(seedPeers: readonly string[] = []): Promise<TestHost> {
	startedHosts += 1;
	const name = `entry-${startedHosts}`;
	return fleet.host(name, {
		...hostSettings(platform, name, 'palermo'),
		seedPeers,
	});
}

/** Returns a document that is identified by the name of its only offering. */
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

/** Returns the offerings in force on a host as a caller sees them, or undefined when the host does not serve them. */
async function offeringsOf(host: TestHost): Promise<string | undefined> {
	const response = await send('GET', `${host.callers}/v1/models`, {
		key: callerKey,
	}).catch(() => undefined);
	const data = (response?.json?.data ?? []) as Array<{id: string}>;
	return response?.status === 200
		? data.map(({id}) => id).join(',')
		: undefined;
}

async function waitUntilInForce(
	offering: string,
	hostsToCheck: readonly TestHost[],
	timeoutMilliseconds = inForceTimeoutMilliseconds,
): Promise<void> {
	await waitUntil(
		`${offering} is in force on all hosts`,
		async () => {
			const offeringsByHost = await Promise.all(
				hostsToCheck.map(async (host) => offeringsOf(host)),
			);
			return offeringsByHost.every((offerings) => offerings === offering);
		},
		timeoutMilliseconds,
	);
}

async function submit(host: TestHost, offering: string): Promise<void> {
	const response = await submitDocument(host, documentWith(offering), revision);
	assert.equal(response.status, 200, response.text);
	revision += 1;
	assert.equal(response.json.revision, revision);
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
	await waitUntilInForce('first', hosts, 15_000);
});

// The refusals of the other edits must name the author of the accepted one.
test('only one of several conflicting edits is accepted, and the others name its author', async () => {
	const names = ['edit-a', 'edit-b', 'edit-c'];
	const responses = await Promise.all(
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
	const acceptedEdits = responses.flatMap((response, index) =>
		response.status === 200 ? [names[index]!] : [],
	);
	assert.equal(
		acceptedEdits.length,
		1,
		responses.map(({text}) => text).join('\n'),
	);
	revision += 1;
	for (const response of responses.filter(({status}) => status !== 200)) {
		assert.equal(response.status, 409, response.text);
		assert.match(response.text, /tester/);
	}

	await waitUntilInForce(acceptedEdits[0]!, hosts);
});

test('no host serves an older document after another host was killed or itself was suspended', async () => {
	const [first, second, third] = hosts as [TestHost, TestHost, TestHost];
	second.process.signal('SIGSTOP');
	await third.process.kill();
	await submit(first, 'second');
	await waitUntilInForce('second', [first]);
	second.process.signal('SIGCONT');
	const replacement = await startHost();
	hosts = [first, second, replacement];
	await waitUntilInForce('second', hosts, 15_000);
	await submit(replacement, 'third');
	await waitUntilInForce('third', hosts);
	const deadline = performance.now() + 3000;
	await waitUntil('all hosts have served the document for 3 s', async () => {
		for (const host of hosts) {
			assert.equal(await offeringsOf(host), 'third');
		}

		return performance.now() > deadline;
	});
});

test('a log outage neither loses the document nor prevents a new host from starting from its peers, and edits are refused', async () => {
	await setOutage('closed');
	const newHost = await startHost(hosts.map(({peers}) => peers));
	await waitUntilInForce('third', [...hosts, newHost], 20_000);
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
	await waitUntilInForce('third', [...hosts, newHost]);
	await setOutage('none');
	hosts = [...hosts, newHost];
	// The refused edit may still take effect, as its response states, so the revision in force is read again.
	const inForce = await waitUntil('the log is reachable again', async () => {
		const response = await askOperator(hosts[0]!, 'document');
		const status = await askOperator(hosts[0]!, 'status');
		return status.json.logReachable === true ? response : undefined;
	});
	revision = Number(inForce.json.revision);
	await submit(hosts[1]!, 'fourth');
	await waitUntilInForce('fourth', hosts);
});

// The log must be sufficient to restore the document.
test('the last accepted document is not lost when all hosts are replaced at once', async () => {
	await Promise.all(hosts.map(async (host) => host.process.kill()));
	hosts = await Promise.all([startHost(), startHost()]);
	await waitUntilInForce('fourth', hosts, 15_000);
	await submit(hosts[0]!, 'fifth');
	await waitUntilInForce('fifth', hosts);
});

// Such a host cannot learn of a newer document.
test('a host that reaches neither the log nor a peer does not serve its stale document', async () => {
	const [first, second] = hosts as [TestHost, TestHost];
	await second.process.kill();
	await setOutage('closed');
	const refused = await waitUntil(
		'the host refuses work',
		async () => {
			const response = await send('GET', `${first.callers}/v1/models`, {
				key: callerKey,
			});
			return response.status === 503 ? response : undefined;
		},
		isolationTimeoutMilliseconds,
	);
	assert.equal(refused.json.code, 'stale-configuration');
	assert.equal(refused.json.execution, 'not-run');
	const ready = await send('GET', `${first.operators}/readyz`);
	assert.equal(ready.status, 503);
	await setOutage('none');
	await waitUntilInForce('fifth', [first], 15_000);
});
