import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {
	send,
	TestFleet,
	waitUntil,
	type TestHost,
	type TestStandIn,
} from '../process/processes.js';
import {
	askOperator,
	callerKey,
	hostSettings,
	startPlatform,
	submitDocument,
	testDocument,
	type TestPlatform,
} from '../process/test-deployment.js';
import {buildProgramOf} from './production-build.js';
import {productionCommit} from './production.js';

const earlier = buildProgramOf(productionCommit());
const fleet = new TestFleet();
after(async () => fleet.dispose());

type Booking = {readonly status: number; readonly text: string};

let platform: TestPlatform;
let service: TestStandIn;
const hosts = new Map<string, TestHost>();
/** The answer to the first booking under each key. */
const booked = new Map<string, Booking>();

/** Starts a host of the earlier build, or of the present one, and waits until it serves. */
async function startHost(
	name: string,
	build: 'earlier' | 'present',
): Promise<TestHost> {
	const host = await fleet.host(
		name,
		hostSettings(platform, name, 'palermo'),
		build === 'earlier' ? earlier : undefined,
	);
	hosts.set(name, host);
	return host;
}

async function waitUntilServing(): Promise<void> {
	for (const host of hosts.values()) {
		await waitUntil(`${host.name} serves`, async () => {
			const {status} = await book(host, `serving-${booked.size}`).catch(() => ({
				status: 0,
			}));
			return status === 201;
		});
	}
}

async function book(host: TestHost, key: string): Promise<Booking> {
	const {status, text} = await send(
		'POST',
		`${host.callers}/services/orders/confirmations`,
		{
			key: callerKey,
			body: {order: `marker=${key}`},
			headers: {'idempotency-key': `booking-${key}`},
		},
	);
	return {status, text};
}

async function executions(): Promise<Record<string, number>> {
	const {json} = await send('GET', `${service.address}/stand-in/statistics`);
	return (json as {executions: Record<string, number>}).executions;
}

/** Books under a new key through each host, and repeats all keys so far through every host. */
async function bookEverywhere(step: string): Promise<void> {
	for (const host of hosts.values()) {
		const key = `${step}-${host.name}`;
		const answer = await book(host, key);
		assert.equal(answer.status, 201, answer.text);
		booked.set(key, answer);
	}

	for (const host of hosts.values()) {
		for (const [key, first] of booked) {
			assert.deepEqual(await book(host, key), first, `${host.name}, ${key}`);
		}
	}

	const counts = await executions();
	for (const key of booked.keys()) {
		assert.equal(counts[key], 1, `${step}: ${key}`);
	}
}

async function assertRevision(revision: number): Promise<void> {
	for (const host of hosts.values()) {
		await waitUntil(`${host.name} has revision ${revision}`, async () => {
			const {json} = await askOperator(host, 'document');
			return (json as {revision?: number}).revision === revision;
		});
	}
}

/** Returns a document without models, which needs no engines. */
function serviceDocument() {
	const document = testDocument({
		engines: [],
		services: [
			{id: 'ordini-1', address: service.address, failureDomain: 'palermo'},
		],
	});
	return {
		...document,
		pools: document.pools.filter((pool) => pool.kind === 'service'),
		models: [],
		adapters: [],
		offerings: [],
		callers: document.callers.map((caller) => ({...caller, offerings: []})),
	};
}

// Guards against a booking that runs again, or a document that goes back, because a host of another build reads claims,
// outcomes and documents of the log differently or not at all.
test('bookings run once and documents stay while hosts of `run` are replaced by those of the other build', async () => {
	platform = await startPlatform(fleet);
	service = await fleet.standIn('service');
	const names = ['entry-1', 'entry-2'];
	for (const name of names) {
		await startHost(name, 'earlier');
	}

	const submitted = await submitDocument(
		hosts.get('entry-1')!,
		serviceDocument(),
		0,
	);
	assert.equal(submitted.status, 200, submitted.text);
	await assertRevision(1);
	await waitUntilServing();
	await bookEverywhere('earlier');

	let revision = 1;
	for (const build of ['present', 'earlier'] as const) {
		for (const name of names) {
			const before = hosts.get(name)!;
			before.process.signal('SIGTERM');
			assert.equal(await before.process.waitForExit(), 0);
			const host = await startHost(name, build);
			await assertRevision(revision);
			await waitUntilServing();
			await bookEverywhere(`${build}-${name}`);
			const next = await submitDocument(host, serviceDocument(), revision);
			assert.equal(next.status, 200, next.text);
			revision++;
			await assertRevision(revision);
		}
	}

	for (const build of ['present', 'earlier'] as const) {
		for (const name of names) {
			await hosts.get(name)!.process.kill();
		}

		for (const name of names) {
			await startHost(name, build);
		}

		await assertRevision(revision);
		await waitUntilServing();
		await bookEverywhere(`all-${build}`);
	}
});
