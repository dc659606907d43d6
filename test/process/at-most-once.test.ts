import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
	send,
	TestFleet,
	waitUntil,
	type TestHost,
	type TestStandIn,
} from './processes.js';
import {
	askOperator,
	callerKey,
	hostSettings,
	startPlatform,
	submitDocument,
	testDocument,
	type TestPlatform,
} from './test-deployment.js';

// Claims of a dead host stay open until it counts as failed, after 30 s without heartbeats.
const finalResponseTimeoutMilliseconds = 120_000;

const fleet = new TestFleet();
after(async () => fleet.dispose());

/** The response to one attempt. After a broken connection, the status is 0 and the execution is unknown. */
type BookingResponse = {
	readonly status: number;
	readonly execution: 'ran' | 'not-run' | 'unknown';
	readonly code: string | undefined;
	readonly text: string;
};

let platform: TestPlatform;
let service: TestStandIn;
let hosts: TestHost[];
let startedHosts = 0;
let createdMarkers = 0;

async function startHost(): Promise<TestHost> {
	startedHosts++;
	const name = `entry-${startedHosts}`;
	return fleet.host(name, hostSettings(platform, name, 'palermo'));
}

before(async () => {
	platform = await startPlatform(fleet);
	service = await fleet.standIn('service');
	hosts = await Promise.all([startHost(), startHost(), startHost()]);
	const document = testDocument({
		engines: [],
		services: [
			{id: 'ordini-1', address: service.address, failureDomain: 'palermo'},
		],
	});
	// Without models the document needs no engines.
	const submitted = await submitDocument(
		hosts[0]!,
		{
			...document,
			pools: document.pools.filter((pool) => pool.kind === 'service'),
			models: [],
			adapters: [],
			offerings: [],
			callers: document.callers.map((caller) => ({...caller, offerings: []})),
		},
		0,
	);
	assert.equal(submitted.status, 200, submitted.text);
	await Promise.all(hosts.map(async (host) => waitUntilReady(host)));
});

async function waitUntilReady(host: TestHost): Promise<void> {
	await waitUntil(`${host.name} has the document`, async () => {
		const response = await askOperator(host, 'document').catch(() => undefined);
		return response?.status === 200 ? response : undefined;
	});
	await waitUntil(`${host.name} accepts calls`, async () => {
		const response = await attempt(host, newMarker());
		return response.status === 201 ? response : undefined;
	});
}

/** Starts a host in place of one that a test killed. */
async function replaceHost(host: TestHost): Promise<void> {
	const created = await startHost();
	await waitUntilReady(created);
	hosts = hosts.map((other) => (other === host ? created : other));
}

function newMarker(): string {
	createdMarkers++;
	return `hem-${createdMarkers}`;
}

/** Sends one booking through a host, with the marker in the idempotency key. */
async function attempt(
	host: TestHost,
	marker: string,
): Promise<BookingResponse> {
	try {
		const response = await send(
			'POST',
			`${host.callers}/services/orders/confirmations`,
			{
				key: callerKey,
				body: {order: `marker=${marker}`},
				headers: {'idempotency-key': `booking-${marker}`},
			},
		);
		const problem = response.json as {execution?: 'not-run'; code?: string};
		return {
			status: response.status,
			execution:
				response.status < 300 ? 'ran' : (problem.execution ?? 'unknown'),
			code: problem.code,
			text: response.text,
		};
	} catch {
		return {status: 0, execution: 'unknown', code: undefined, text: ''};
	}
}

async function statistics() {
	const response = await send('GET', `${service.address}/stand-in/statistics`);
	return response.json as {
		executions: Record<string, number>;
		inFlight: number;
	};
}

async function executions(marker: string): Promise<number> {
	const {executions: counts} = await statistics();
	return counts[marker] ?? 0;
}

async function setFaults(
	standIn: TestStandIn,
	faults: Record<string, unknown>,
): Promise<void> {
	const response = await send('PUT', `${standIn.address}/stand-in/faults`, {
		body: faults,
	});
	assert.equal(response.status, 200, response.text);
}

async function clearFaults(): Promise<void> {
	await setFaults(service, {
		answers: [],
		answerDelayMilliseconds: 0,
		outage: 'none',
		busy: false,
	});
	await setFaults(platform.log, {
		answers: [],
		answerDelayMilliseconds: 0,
		outage: 'none',
	});
}

/**
 * Sends the booking again through the hosts in turn until a response is final, and checks each
 * response against the number of executions.
 */
async function retryUntilFinal(
	candidates: readonly TestHost[],
	marker: string,
	isFinal: (response: BookingResponse) => boolean,
): Promise<BookingResponse> {
	let attempts = 0;
	return waitUntil(
		`a final response for ${marker}`,
		async () => {
			const host = candidates[attempts % candidates.length]!;
			attempts++;
			const countBefore = await executions(marker);
			const response = await attempt(host, marker);
			const count = await executions(marker);
			assert.ok(count <= 1, `${marker} was executed ${count} times`);
			if (response.execution === 'not-run') {
				assert.equal(
					count,
					countBefore,
					`${marker} was executed despite the response "not-run"`,
				);
			}

			if (response.execution === 'ran') {
				assert.equal(
					count,
					1,
					`${marker} must be executed once after the response "ran"`,
				);
			}

			return isFinal(response) ? response : undefined;
		},
		finalResponseTimeoutMilliseconds,
	);
}

const isRun = (response: BookingResponse) => response.execution === 'ran';
const isDecided = (response: BookingResponse) =>
	response.execution === 'ran' || response.code === 'outcome-unknown';

// The host dies while its claim is in the log but not yet confirmed.
test('a claim is not granted twice when the entry host is killed before the dispatch', async () => {
	const [first, ...others] = hosts;
	const marker = newMarker();
	await waitUntilNoClaimAppends();
	// The log stores the claim but delays the response, so the host dies before it can dispatch the call.
	await setFaults(platform.log, {
		answers: [
			{
				kind: 'answer-late',
				method: 'POST',
				pathPrefix: '/streams/claims',
				remaining: 1,
				delayMilliseconds: 2500,
			},
		],
	});
	const appends = await countClaimRecords();
	const pending = attempt(first!, marker);
	await waitUntil('the claim is in the log', async () =>
		(await countClaimRecords()) > appends ? true : undefined,
	);
	await first!.process.kill();
	const broken = await pending;
	assert.equal(broken.execution, 'unknown');
	await clearFaults();
	const response = await retryUntilFinal(others, marker, isDecided);
	assert.ok((await executions(marker)) <= 1, response.text);
	await replaceHost(first!);
});

test('a call is not executed twice when the entry host is killed during the dispatch', async () => {
	const [first, ...others] = hosts;
	const marker = newMarker();
	await setFaults(service, {
		answers: [{kind: 'answer-late', method: 'POST', delayMilliseconds: 20_000}],
	});
	const pending = attempt(first!, marker);
	await waitUntil('the service executes the call', async () =>
		(await executions(marker)) === 1 ? true : undefined,
	);
	await first!.process.kill();
	const broken = await pending;
	assert.equal(broken.execution, 'unknown');
	await clearFaults();
	const response = await retryUntilFinal(others, marker, isDecided);
	assert.equal(response.code, 'outcome-unknown', response.text);
	assert.equal(await executions(marker), 1);
	await replaceHost(first!);
});

test('a recorded outcome is not lost when the entry host is killed after the dispatch', async () => {
	const [first, ...others] = hosts;
	const marker = newMarker();
	const booked = await attempt(first!, marker);
	assert.equal(booked.status, 201, booked.text);
	// Another host reads the outcome before the first one dies.
	await retryUntilFinal(others.slice(0, 1), marker, isRun);
	await first!.process.kill();
	const again = await retryUntilFinal(others.slice(1), marker, isRun);
	assert.equal(again.text, booked.text);
	assert.equal(await executions(marker), 1);
	await replaceHost(first!);
});

// The suspended host resumes after the other hosts have declared it failed.
test('a call is not executed twice when the entry host is suspended and resumes', async () => {
	const [first, ...others] = hosts;
	const marker = newMarker();
	await waitUntilNoClaimAppends();
	await setFaults(platform.log, {
		answers: [
			{
				kind: 'answer-late',
				method: 'POST',
				pathPrefix: '/streams/claims',
				remaining: 1,
				delayMilliseconds: 2000,
			},
		],
	});
	const appends = await countClaimRecords();
	const pending = attempt(first!, marker);
	await waitUntil('the claim is in the log', async () =>
		(await countClaimRecords()) > appends ? true : undefined,
	);
	first!.process.signal('SIGSTOP');
	await clearFaults();
	const whileSuspended = await retryUntilFinal(others, marker, isDecided);
	first!.process.signal('SIGCONT');
	const response = await pending;
	const count = await executions(marker);
	assert.ok(count <= 1, `${marker} was executed ${count} times`);
	if (response.execution === 'not-run') {
		assert.equal(
			count,
			whileSuspended.execution === 'ran' ? 1 : 0,
			whileSuspended.text,
		);
	}

	await retryUntilFinal(hosts, marker, isDecided);
});

test('a claim is neither acquired twice nor lost when the log response to it is lost', async () => {
	const marker = newMarker();
	await waitUntilNoClaimAppends();
	await setFaults(platform.log, {
		answers: [
			{
				kind: 'answer-lost',
				method: 'POST',
				pathPrefix: '/streams/claims',
				remaining: 2,
			},
		],
	});
	const response = await retryUntilFinal(hosts, marker, isRun);
	assert.equal(response.status, 201, response.text);
	const again = await retryUntilFinal(hosts.slice(1), marker, isRun);
	assert.equal(again.text, response.text);
	await clearFaults();
});

test('a call is not sent again when the response of the service is lost', async () => {
	const marker = newMarker();
	await setFaults(service, {answers: [{kind: 'answer-lost', method: 'POST'}]});
	const [first, ...others] = hosts;
	const lost = await attempt(first!, marker);
	assert.equal(lost.code, 'outcome-unknown', lost.text);
	await clearFaults();
	const again = await retryUntilFinal(others, marker, isDecided);
	assert.equal(again.code, 'outcome-unknown', again.text);
	assert.equal(await executions(marker), 1);
});

// A "not-run" response must be true, and the key must not stay blocked after the outage.
test('a call refused in a log outage is not executed and succeeds when it is sent again', async () => {
	const marker = newMarker();
	await setFaults(platform.log, {outage: 'unavailable'});
	const refused = await attempt(hosts[0]!, marker);
	assert.equal(refused.code, 'store-outage', refused.text);
	assert.equal(refused.execution, 'not-run');
	assert.equal(await executions(marker), 0);
	await clearFaults();
	const booked = await retryUntilFinal(hosts.slice(1), marker, isRun);
	assert.equal(booked.status, 201, booked.text);
	assert.equal(await executions(marker), 1);
});

test('a claim is released when the service refuses the call, so that the caller can send it again', async () => {
	const marker = newMarker();
	await setFaults(service, {busy: true});
	const refused = await attempt(hosts[0]!, marker);
	assert.equal(refused.code, 'no-target', refused.text);
	assert.equal(refused.execution, 'not-run');
	assert.equal(await executions(marker), 0);
	await clearFaults();
	const booked = await retryUntilFinal(hosts.slice(1), marker, isRun);
	assert.equal(booked.status, 201, booked.text);
});

/**
 * Waits until no host appends to the stream of claims any more. Hosts record outcomes after they have
 * responded, so the record of an earlier booking could consume the fault intended for a claim.
 */
async function waitUntilNoClaimAppends(): Promise<void> {
	let lastCount = -1;
	let unchangedPolls = 0;
	await waitUntil('no claims are appended', async () => {
		const count = await countClaimRecords();
		unchangedPolls = count === lastCount ? unchangedPolls + 1 : 0;
		lastCount = count;
		return unchangedPolls >= 25 ? true : undefined;
	});
}

async function countClaimRecords(): Promise<number> {
	const response = await send(
		'GET',
		`${platform.log.address}/stand-in/statistics`,
	);
	const {claimRecords} = response.json as {claimRecords: number};
	return claimRecords;
}
