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

// A dead host counts as gone after 30 s of silence, and its claims are open until then.
const decisionMilliseconds = 120_000;

const fleet = new TestFleet();
after(async () => fleet.dispose());

/** What a caller saw of one try. A broken connection says nothing about the execution. */
type Answer = {
	readonly status: number;
	readonly execution: 'ran' | 'not-run' | 'unknown';
	readonly code: string | undefined;
	readonly text: string;
};

let platform: TestPlatform;
let service: TestStandIn;
let hosts: TestHost[];
let started = 0;
let markers = 0;

async function startHost(): Promise<TestHost> {
	started++;
	const name = `entry-${started}`;
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
	await Promise.all(hosts.map(async (host) => ready(host)));
});

async function ready(host: TestHost): Promise<void> {
	await waitUntil(`${host.name} has the document`, async () => {
		const answer = await askOperator(host, 'document').catch(() => undefined);
		return answer?.status === 200 ? answer : undefined;
	});
	await waitUntil(`${host.name} takes calls`, async () => {
		const answer = await attempt(host, newMarker());
		return answer.status === 201 ? answer : undefined;
	});
}

/** Replaces a host that a test killed. */
async function replace(host: TestHost): Promise<void> {
	const created = await startHost();
	await ready(created);
	hosts = hosts.map((other) => (other === host ? created : other));
}

function newMarker(): string {
	markers++;
	return `hem-${markers}`;
}

/** Books once through a host, with the marker as the key. */
async function attempt(host: TestHost, marker: string): Promise<Answer> {
	try {
		const answer = await send(
			'POST',
			`${host.callers}/services/orders/confirmations`,
			{
				key: callerKey,
				body: {order: `marker=${marker}`},
				headers: {'idempotency-key': `booking-${marker}`},
			},
		);
		const problem = answer.json as {execution?: 'not-run'; code?: string};
		return {
			status: answer.status,
			execution: answer.status < 300 ? 'ran' : (problem.execution ?? 'unknown'),
			code: problem.code,
			text: answer.text,
		};
	} catch {
		return {status: 0, execution: 'unknown', code: undefined, text: ''};
	}
}

async function statistics() {
	const answer = await send('GET', `${service.address}/stand-in/statistics`);
	return answer.json as {
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
	const answer = await send('PUT', `${standIn.address}/stand-in/faults`, {
		body: faults,
	});
	assert.equal(answer.status, 200, answer.text);
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
 * Sends the key again through the hosts in turn until an answer is final, and checks each answer
 * against the count of executions.
 */
async function repeat(
	through: readonly TestHost[],
	marker: string,
	isFinal: (answer: Answer) => boolean,
): Promise<Answer> {
	let tries = 0;
	return waitUntil(
		`a final answer for ${marker}`,
		async () => {
			const host = through[tries % through.length]!;
			tries++;
			const earlier = await executions(marker);
			const answer = await attempt(host, marker);
			const count = await executions(marker);
			assert.ok(count <= 1, `${marker} ran ${count} times`);
			if (answer.execution === 'not-run') {
				assert.equal(count, earlier, `${marker} ran although "not run"`);
			}

			if (answer.execution === 'ran') {
				assert.equal(count, 1, `${marker} is said to have run`);
			}

			return isFinal(answer) ? answer : undefined;
		},
		decisionMilliseconds,
	);
}

const isRun = (answer: Answer) => answer.execution === 'ran';
const isDecided = (answer: Answer) =>
	answer.execution === 'ran' || answer.code === 'outcome-unknown';

// Guards against a claim that is granted again because its host died before it dispatched the call.
test('the entry host is killed before the dispatch', async () => {
	const [first, ...others] = hosts;
	const marker = newMarker();
	await claimsAreQuiet();
	// The log keeps the claim but is slow to confirm it, so the host dies with the claim undecided.
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
	const appends = await logAppends();
	const pending = attempt(first!, marker);
	await waitUntil('the claim is in the log', async () =>
		(await logAppends()) > appends ? true : undefined,
	);
	await first!.process.kill();
	const broken = await pending;
	assert.equal(broken.execution, 'unknown');
	await clearFaults();
	const answer = await repeat(others, marker, isDecided);
	assert.ok((await executions(marker)) <= 1, answer.text);
	await replace(first!);
});

// Guards against a second execution when the host dies with the call at the service.
test('the entry host is killed during the dispatch', async () => {
	const [first, ...others] = hosts;
	const marker = newMarker();
	await setFaults(service, {
		answers: [{kind: 'answer-late', method: 'POST', delayMilliseconds: 20_000}],
	});
	const pending = attempt(first!, marker);
	await waitUntil('the call runs', async () =>
		(await executions(marker)) === 1 ? true : undefined,
	);
	await first!.process.kill();
	const broken = await pending;
	assert.equal(broken.execution, 'unknown');
	await clearFaults();
	const answer = await repeat(others, marker, isDecided);
	assert.equal(answer.code, 'outcome-unknown', answer.text);
	assert.equal(await executions(marker), 1);
	await replace(first!);
});

// Guards against an outcome that only the host knew which answered the caller.
test('the entry host is killed after the dispatch', async () => {
	const [first, ...others] = hosts;
	const marker = newMarker();
	const booked = await attempt(first!, marker);
	assert.equal(booked.status, 201, booked.text);
	// Another host reads the outcome before the first one dies.
	await repeat(others.slice(0, 1), marker, isRun);
	await first!.process.kill();
	const again = await repeat(others.slice(1), marker, isRun);
	assert.equal(again.text, booked.text);
	assert.equal(await executions(marker), 1);
	await replace(first!);
});

// Guards against a frozen host that goes on after others took it for gone.
test('the entry host is frozen and goes on', async () => {
	const [first, ...others] = hosts;
	const marker = newMarker();
	await claimsAreQuiet();
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
	const appends = await logAppends();
	const pending = attempt(first!, marker);
	await waitUntil('the claim is in the log', async () =>
		(await logAppends()) > appends ? true : undefined,
	);
	first!.process.signal('SIGSTOP');
	await clearFaults();
	const during = await repeat(others, marker, isDecided);
	first!.process.signal('SIGCONT');
	const answer = await pending;
	const count = await executions(marker);
	assert.ok(count <= 1, `${marker} ran ${count} times`);
	if (answer.execution === 'not-run') {
		assert.equal(count, during.execution === 'ran' ? 1 : 0, during.text);
	}

	await repeat(hosts, marker, isDecided);
});

// Guards against a claim that is taken twice, or lost, because the log's answer to it was lost.
test('the answer of the log to a claim is lost', async () => {
	const marker = newMarker();
	await claimsAreQuiet();
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
	const answer = await repeat(hosts, marker, isRun);
	assert.equal(answer.status, 201, answer.text);
	const again = await repeat(hosts.slice(1), marker, isRun);
	assert.equal(again.text, answer.text);
	await clearFaults();
});

// Guards against a call that is sent again because the service's answer was lost.
test('the answer of the service is lost', async () => {
	const marker = newMarker();
	await setFaults(service, {answers: [{kind: 'answer-lost', method: 'POST'}]});
	const [first, ...others] = hosts;
	const lost = await attempt(first!, marker);
	assert.equal(lost.code, 'outcome-unknown', lost.text);
	await clearFaults();
	const again = await repeat(others, marker, isDecided);
	assert.equal(again.code, 'outcome-unknown', again.text);
	assert.equal(await executions(marker), 1);
});

// Guards against an untrue "not run" in a log outage, and against a key that stays blocked after it.
test('the log has an outage; the refused caller sends again and succeeds', async () => {
	const marker = newMarker();
	await setFaults(platform.log, {outage: 'unavailable'});
	const refused = await attempt(hosts[0]!, marker);
	assert.equal(refused.code, 'store-outage', refused.text);
	assert.equal(refused.execution, 'not-run');
	assert.equal(await executions(marker), 0);
	await clearFaults();
	const booked = await repeat(hosts.slice(1), marker, isRun);
	assert.equal(booked.status, 201, booked.text);
	assert.equal(await executions(marker), 1);
});

// Guards against a claim that stays taken after the service refused the call.
test('the service refuses; the caller sends again and succeeds', async () => {
	const marker = newMarker();
	await setFaults(service, {busy: true});
	const refused = await attempt(hosts[0]!, marker);
	assert.equal(refused.code, 'no-target', refused.text);
	assert.equal(refused.execution, 'not-run');
	assert.equal(await executions(marker), 0);
	await clearFaults();
	const booked = await repeat(hosts.slice(1), marker, isRun);
	assert.equal(booked.status, 201, booked.text);
});

/**
 * Waits until no host appends to the stream of claims any more. Outcomes are recorded after their answers, so the
 * record of an earlier booking could take the fault that is meant for a claim.
 */
async function claimsAreQuiet(): Promise<void> {
	let records = -1;
	let unchanged = 0;
	await waitUntil('no claims are appended', async () => {
		const now = await logAppends();
		unchanged = now === records ? unchanged + 1 : 0;
		records = now;
		return unchanged >= 25 ? true : undefined;
	});
}

async function logAppends(): Promise<number> {
	const answer = await send(
		'GET',
		`${platform.log.address}/stand-in/statistics`,
	);
	const {claimRecords} = answer.json as {claimRecords: number};
	return claimRecords;
}
