import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {sha256} from '../../src/base/common/digest.js';
import {SystemClock} from '../../src/base/node/system-clock.js';
import {type CustomerName, type KeyDigest} from '../../src/contracts/ids.js';
import {QuotaExchange} from '../../src/core/quotas/quota-exchange.js';
import {QuotaEnforcement} from '../../src/services/forwarding/limits/quota-enforcement.js';
import {
	forwardingDocument,
	ForwardingHarness,
} from '../forwarding/forwarding-harness.js';
import {
	respondNotRun,
	respondWith,
	StandInWorker,
} from '../platform/stand-in-worker.js';
import {tolerance} from './quota-fleet.js';

const name = 'north' as CustomerName;
const document = {
	...forwardingDocument,
	customers: [
		{
			name,
			keyDigests: [sha256('key') as KeyDigest],
			priority: undefined,
			quota: {
				unit: 'tokens',
				perSecond: 100,
				burst: 100,
				plainUnits: 60,
			} as const,
		},
	],
};
const clock = new SystemClock();
let exchange: QuotaExchange;
let quotas: QuotaEnforcement;
let host: ForwardingHarness;
let worker: StandInWorker;

/** The owner of a fleet of one host, which decides at once. */
beforeEach(async () => {
	exchange = new QuotaExchange({
		clock: {
			monotonic: () => clock.monotonic() + (hasListened ? 1000 : 0),
			wall: () => clock.wall(),
		},
		random: new SeededRandomSource(1),
		tolerance: {...tolerance, excessShare: 0, slackUnits: 0},
		process: 1,
		hostCount: () => 1,
		isOwner: () => true,
		onWordWanted() {
			exchange.runAsOwner();
		},
	});
	hasListened = false;
	quotas = new QuotaEnforcement({
		exchange,
		clock,
		events: new NullEventLogger(),
		metrics: new NullMetricRegistry(),
	});
	worker = new StandInWorker('i-1');
	worker.behaviour = respondWith('served');
});

let hasListened = false;

async function start(options: {readonly quotas?: QuotaEnforcement}) {
	host = new ForwardingHarness(undefined, options);
	const address = await worker.start();
	await host.start(document);
	host.list(worker.id, address);
	exchange.runAsOwner();
	hasListened = true;
	exchange.runAsOwner();
}

afterEach(async () => {
	quotas.dispose();
	await host.stop();
	worker.stop();
});

async function call(path = '/idempotent/x') {
	return host.call(path, {headers: {'Api-Key': 'key'}});
}

function takenUnits(): number {
	return exchange.account(name)!.takenUnits;
}

test('a request beyond the quota gets 429 with a delay, does not reach a target and takes no units', async () => {
	await start({quotas});
	const statuses = [];
	let last: Awaited<ReturnType<typeof call>> | undefined;
	for (let count = 0; count < 8; count++) {
		last = await call();
		statuses.push(last.status);
	}

	assert.ok(statuses.includes(200), statuses.join(' '));
	assert.equal(last?.status, 429);
	assert.ok(Number(last?.headers['retry-after']) > 0);
	const served = statuses.filter((status) => status === 200).length;
	assert.equal(worker.requests.length, served);
	assert.equal(takenUnits(), served * 60);
});

test('without quotas in the settings a customer with a quota is served as before', async () => {
	await start({});
	for (let count = 0; count < 8; count++) {
		const {status} = await call();
		assert.equal(status, 200);
	}
});

test('a request that the target says it has not run takes no units', async () => {
	worker.behaviour = respondNotRun();
	await start({quotas});
	const {status} = await call('/once/x');
	assert.equal(status, 503);
	assert.equal(takenUnits(), 0);
});
