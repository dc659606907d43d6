import {type Dispatcher} from 'undici';
import {sha256} from '../../src/base/common/digest.js';
import {
	send,
	waitUntil,
	type TestFleet,
	type TestHost,
	type TestStandIn,
} from './processes.js';

/** Bearer token of the operator in the settings of each host. */
export const operatorToken = 'operator-token-of-the-test';

/** Key of the caller in the test document. */
export const callerKey = 'key-of-workshop-7';

/** The stand-ins of the platform services that each host uses. */
export type TestPlatform = {
	readonly log: TestStandIn;
	readonly hostList: TestStandIn;
	readonly weightStore: TestStandIn;
};

/** Starts the stand-ins of the platform services. */
export async function startPlatform(fleet: TestFleet): Promise<TestPlatform> {
	const [log, hostList, weightStore] = await Promise.all([
		fleet.standIn('log'),
		fleet.standIn('host-list'),
		fleet.standIn('weight-store'),
	]);
	return {log, hostList, weightStore};
}

/** Returns the settings of a host that listens on ports assigned by the operating system. */
export function hostSettings(
	platform: TestPlatform,
	name: string,
	failureDomain: string,
) {
	return {
		host: name,
		failureDomain,
		listen: {
			callers: '127.0.0.1:0',
			operators: '127.0.0.1:0',
			peers: '127.0.0.1:0',
		},
		platform: {
			logService: platform.log.address,
			hostList: platform.hostList.address,
			weightStore: platform.weightStore.address,
		},
		peerSecret: 'peer-secret-of-the-test',
		operators: [{name: 'tester', tokenDigest: sha256(operatorToken)}],
	};
}

/** Targets of the test document by kind. */
export type TestTargets = {
	readonly engines: ReadonlyArray<{
		readonly id: string;
		readonly address: string;
		readonly failureDomain: string;
	}>;
	readonly services: ReadonlyArray<{
		readonly id: string;
		readonly address: string;
		readonly failureDomain: string;
	}>;
};

/** Returns a document with one model, one adapter, one plain service and one caller. `changes` replaces top-level fields. */
export function testDocument(
	targets: TestTargets,
	changes: Record<string, unknown> = {},
) {
	return {
		schema: 1,
		pools: [
			{
				name: 'sarto-lm',
				kind: 'engine',
				honoursFencing: true,
				targets: targets.engines.map((target) => ({
					...target,
					memoryBytes: 1_000_000,
					slots: 8,
				})),
			},
			{
				name: 'ordini',
				kind: 'service',
				targets: targets.services.map((target) => ({...target, slots: 16})),
			},
		],
		models: [{id: 'hem-base', pool: 'sarto-lm', bytes: 400_000}],
		adapters: [{id: 'ward-linen', model: 'hem-base', bytes: 10_000}],
		offerings: [
			{name: 'measure', model: 'hem-base'},
			{name: 'draft', model: 'hem-base', adapter: 'ward-linen'},
		],
		services: [
			{
				name: 'orders',
				pool: 'ordini',
				routes: [
					{method: 'GET', pathPrefix: '/', idempotent: true},
					{method: 'POST', pathPrefix: '/', idempotent: false},
				],
			},
		],
		callerClasses: [{name: 'workshop', urgency: 'urgent', deadlineSeconds: 30}],
		callers: [
			{
				id: 'workshop-7',
				class: 'workshop',
				keyDigests: [sha256(callerKey)],
				offerings: ['measure', 'draft'],
				services: ['orders'],
			},
		],
		weightStore: {
			loadsPerSecond: 20,
			concurrentLoads: 5,
			concurrentAdapterLoads: 40,
		},
		...changes,
	};
}

/** Submits a document through a host, and again as long as the host responds with status 503. Returns the first other response. */
export async function submitDocument(
	host: TestHost,
	document: unknown,
	expectedRevision: number,
	dispatcher?: Dispatcher,
) {
	return waitUntil('the host accepts submissions', async () => {
		const response = await send(
			'PUT',
			`${host.operators}/operator/v1/document`,
			{
				key: operatorToken,
				body: {expectedRevision, summary: 'test', document},
				dispatcher,
			},
		);
		return response.status === 503 ? undefined : response;
	});
}

/** Sends a GET request to the operator interface of a host. */
export async function askOperator(host: TestHost, path: string) {
	return send('GET', `${host.operators}/operator/v1/${path}`, {
		key: operatorToken,
	});
}

/** Settles open orders through the operator interface of a host. */
export async function settleOrders(host: TestHost, orders: readonly string[]) {
	return send('POST', `${host.operators}/operator/v1/orders/settle`, {
		key: operatorToken,
		body: {orders},
	});
}

/** Replaces the given faults of a stand-in and keeps the others. The response contains all faults. */
export async function setFaults(
	standIn: TestStandIn,
	faults: Record<string, unknown>,
) {
	return send('PUT', `${standIn.address}/stand-in/faults`, {body: faults});
}

/** Reads the statistics of a stand-in. */
export async function statisticsOf(standIn: TestStandIn) {
	const response = await send('GET', `${standIn.address}/stand-in/statistics`);
	return response.json as Record<string, any>;
}
