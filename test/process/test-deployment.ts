import {type Dispatcher} from 'undici';
import {sha256} from '../../src/base/common/digest.js';
import {
	send,
	waitUntil,
	type TestFleet,
	type TestHost,
	type TestStandIn,
} from './processes.js';

/** Token of the operator in the settings. */
export const operatorToken = 'operator-token-of-the-test';

/** Key of the caller in the test document. */
export const callerKey = 'key-of-workshop-7';

/** The platform's stand-ins. */
export type TestPlatform = {
	readonly log: TestStandIn;
	readonly hostList: TestStandIn;
	readonly weightStore: TestStandIn;
};

/** Starts the platform's stand-ins. */
export async function startPlatform(fleet: TestFleet): Promise<TestPlatform> {
	const [log, hostList, weightStore] = await Promise.all([
		fleet.standIn('log'),
		fleet.standIn('host-list'),
		fleet.standIn('weight-store'),
	]);
	return {log, hostList, weightStore};
}

/** Settings of a host on kernel-chosen ports. */
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

/** Targets of the test document. */
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

/** A document with one model, one adapter, one plain service and one caller. */
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

/** Submits a document through a host and waits until that host has it in force. */
export async function submitDocument(
	host: TestHost,
	document: unknown,
	expectedRevision: number,
	dispatcher?: Dispatcher,
) {
	return waitUntil('the host can submit', async () => {
		const answer = await send('PUT', `${host.operators}/operator/v1/document`, {
			key: operatorToken,
			body: {expectedRevision, summary: 'test', document},
			dispatcher,
		});
		return answer.status === 503 ? undefined : answer;
	});
}

/** Asks a host as the operator. */
export async function askOperator(host: TestHost, path: string) {
	return send('GET', `${host.operators}/operator/v1/${path}`, {
		key: operatorToken,
	});
}

/** Declares open orders as settled, as the operator. */
export async function settleOrders(host: TestHost, orders: readonly string[]) {
	return send('POST', `${host.operators}/operator/v1/orders/settle`, {
		key: operatorToken,
		body: {orders},
	});
}

/** Changes faults of a stand-in. */
export async function setFaults(
	standIn: TestStandIn,
	faults: Record<string, unknown>,
) {
	return send('PUT', `${standIn.address}/stand-in/faults`, {body: faults});
}

/** Reads the statistics of a stand-in. */
export async function statisticsOf(standIn: TestStandIn) {
	const answer = await send('GET', `${standIn.address}/stand-in/statistics`);
	return answer.json as Record<string, any>;
}
