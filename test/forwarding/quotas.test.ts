import assert from 'node:assert/strict';
import {afterEach, beforeEach, mock, test} from 'node:test';
import {sha256} from '../../src/base/common/digest.js';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type CustomerQuota} from '../../src/contracts/forwarding-document.js';
import {type CustomerName, type KeyDigest} from '../../src/contracts/ids.js';
import {QuotaBook} from '../../src/core/quota-book.js';
import {QuotaIssuer, type QuotaDemand} from '../../src/core/quota-issuer.js';
import {QuotaClient} from '../../src/services/forwarding/quota-client.js';
import {respondWith, StandInWorker} from '../platform/stand-in-worker.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

const customer = 'c' as CustomerName;
const stepMilliseconds = 10;
const windowMilliseconds = 8000;
/** Excess that the users allow over what the quota gives in a window. */
const allowedExcess = 0.1;
const tokensOfRequest = 1000;
/** Tokens of a window that the users allow beside that. */
const allowedSlack = 7500;
const quota: CustomerQuota = {
	rate: 300_000,
	burst: 300_000,
	unit: 'token',
	plainTokens: 200,
};

/** How the requests of the customer spread over the hosts at a time. Returns the host of the next request. */
type Spread = (random: SeededRandomSource, milliseconds: number) => number;

type Trouble = {
	/** True while a host reaches no other one. */
	readonly isCut?: (host: number, milliseconds: number) => boolean;
	/** True when a host ends and starts anew. */
	readonly isRestarted?: (host: number, milliseconds: number) => boolean;
	/** Longest time of a message between hosts. */
	readonly messageMilliseconds?: number;
};

type Outcome = {
	/** Largest sum of admitted tokens in a window as a share of what the users allow. */
	readonly worstWindow: number;
	/** Share of the tokens that were asked for, up to the quota, that was admitted. */
	readonly admittedShare: number;
};

/** Plays hosts that share one issuer, whose customer asks for a multiple of the quota. */
async function play({
	seed,
	hosts: hostCount,
	demand,
	spread,
	trouble = {},
}: {
	readonly seed: number;
	readonly hosts: number;
	readonly demand: number;
	readonly spread: Spread;
	readonly trouble?: Trouble;
}): Promise<Outcome> {
	const clock = new ManualClock();
	const random = new SeededRandomSource(seed);
	const quotaOf = () => quota;
	const issuer = new QuotaIssuer({clock, quotaOf});
	const {isCut, isRestarted, messageMilliseconds = 20} = trouble;
	const now = () => clock.monotonic();
	const wait = async (milliseconds: number) =>
		new Promise((resolve) => {
			setTimeout(resolve, milliseconds);
		});
	const reachable = () =>
		Array.from({length: hostCount}, (_, host) => host).filter(
			(host) => !isCut?.(host, now()),
		).length;
	const createClient = (host: number) =>
		new QuotaClient({
			book: new QuotaBook(clock),
			metrics: new NullMetricRegistry(),
			issuer,
			groupShare: () => (host === 0 ? reachable() / hostCount : undefined),
			async ask(demands: readonly QuotaDemand[]) {
				if (isCut?.(host, now())) {
					await wait(150);
					return undefined;
				}

				await wait(random.integer(messageMilliseconds) + 1);
				const grants = demands.map((each) =>
					issuer.issue(each, reachable() / hostCount),
				);
				await wait(random.integer(messageMilliseconds) + 1);
				return grants;
			},
			fallbackIssuer: new QuotaIssuer({clock, quotaOf}),
			hostCount: () => hostCount,
		});
	const clients = Array.from({length: hostCount}, (_, host) =>
		createClient(host),
	);
	const admitted: number[] = [];
	const seconds = 40;
	let requested = 0;
	let due = 0;
	for (let time = 0; time < seconds * 1000; time += stepMilliseconds) {
		clock.advance(stepMilliseconds);
		mock.timers.tick(stepMilliseconds);
		for (let host = 0; host < hostCount; host++) {
			if (isRestarted?.(host, now())) {
				clients[host]!.dispose();
				clients[host] = createClient(host);
			}
		}

		due += (quota.rate * demand * stepMilliseconds) / 1000 / tokensOfRequest;
		for (; due >= 1; due--) {
			requested++;
			clients[spread(random, now())]!.admit(
				customer,
				tokensOfRequest,
				({isWithin}) => {
					if (isWithin) {
						admitted.push(now());
					}
				},
			);
		}

		await new Promise((resolve) => {
			setImmediate(resolve);
		});
	}

	let first = 0;
	let worst = 0;
	for (const [index, at] of admitted.entries()) {
		while (at - admitted[first]! > windowMilliseconds) {
			first++;
		}

		worst = Math.max(worst, (index - first + 1) * tokensOfRequest);
	}

	const allowed =
		((quota.rate * windowMilliseconds) / 1000 + quota.burst) *
			(1 + allowedExcess) +
		allowedSlack;
	return {
		worstWindow: worst / allowed,
		admittedShare:
			(admitted.length * tokensOfRequest) /
			Math.min(requested * tokensOfRequest, quota.rate * seconds + quota.burst),
	};
}

const even = (hosts: number): Spread => {
	return (random) => random.integer(hosts);
};

/** One host after the other has all requests, for three seconds each. */
const wandering = (hosts: number): Spread => {
	return (_, milliseconds) => Math.floor(milliseconds / 3000) % hosts;
};

const cases: ReadonlyArray<{
	readonly name: string;
	readonly hosts: number;
	readonly demand: number;
	readonly spread: Spread;
	readonly trouble?: Trouble;
	readonly leastShare: number;
}> = [
	{
		name: 'requests within the quota, at all hosts',
		hosts: 8,
		demand: 0.9,
		spread: even(8),
		leastShare: 0.95,
	},
	{
		name: 'requests within the quota, at one host after the other',
		hosts: 8,
		demand: 0.9,
		spread: wandering(8),
		leastShare: 0.95,
	},
	{
		name: 'seven times the quota, at all hosts',
		hosts: 12,
		demand: 7,
		spread: even(12),
		leastShare: 0.95,
	},
	{
		name: 'seven times the quota, at one host after the other',
		hosts: 12,
		demand: 7,
		spread: wandering(12),
		leastShare: 0.95,
	},
	{
		name: 'three times the quota while a third of the hosts is cut off now and then',
		hosts: 12,
		demand: 3,
		spread: even(12),
		trouble: {
			isCut: (host, milliseconds) =>
				host % 3 === 1 && milliseconds % 9000 > 5000,
		},
		leastShare: 0.9,
	},
	{
		name: 'three times the quota while hosts restart in turn and messages are slow',
		hosts: 12,
		demand: 3,
		spread: even(12),
		trouble: {
			isRestarted: (host, milliseconds) =>
				milliseconds % 1000 === 0 && (milliseconds / 1000) % 12 === host,
			messageMilliseconds: 60,
		},
		leastShare: 0.9,
	},
];

beforeEach(() => {
	mock.timers.enable({apis: ['setTimeout']});
});

afterEach(() => {
	mock.timers.reset();
});

// Guards against hosts that admit more than the quota together, and against refusals of what lies within it.
for (const {name, leastShare, ...options} of cases) {
	test(`all hosts together keep a quota: ${name}`, async (context) => {
		let worst = 0;
		let least = 1;
		for (let seed = 1; seed <= 4; seed++) {
			const {worstWindow, admittedShare} = await play({seed, ...options});
			worst = Math.max(worst, worstWindow);
			least = Math.min(least, admittedShare);
			assert.ok(worstWindow <= 1, `seed ${seed}: ${worstWindow} of the limit`);
			assert.ok(admittedShare >= leastShare, `seed ${seed}: ${admittedShare}`);
		}

		context.diagnostic(
			`worst window ${worst.toFixed(3)} of the limit, least share admitted ${least.toFixed(3)}`,
		);
	});
}

test('a request that takes more than the quota of a second is admitted once that has accrued', () => {
	const clock = new ManualClock();
	const issuer = new QuotaIssuer({
		clock,
		quotaOf: () => ({rate: 100, burst: 0, unit: 'token', plainTokens: 1}),
	});
	const book = new QuotaBook(clock);
	const ask = () => {
		book.applyGrant(issuer.issue(book.demandFor(customer, 1000), 1));
	};

	let waited = 0;
	ask();
	while (!book.tryTake(customer, 1000)) {
		const remaining = book.remainingWait(customer);
		assert.ok(remaining > 0);
		clock.advance(remaining);
		waited += remaining;
		assert.ok(waited < 30_000, 'not admitted');
		ask();
	}

	assert.ok(waited >= 9000, `${waited} ms`);
});

test('a request beyond the quota of its customer gets 429 with a time to come back, and others go on', async () => {
	mock.timers.reset();
	const host = new ForwardingHarness();
	const worker = new StandInWorker('i-1');
	worker.behaviour = respondWith('served');
	try {
		const createCustomer = (name: string, rate: number) => ({
			name: name as CustomerName,
			keyDigests: [sha256(name) as KeyDigest],
			priority: undefined,
			quota: {rate, burst: 1000, unit: 'token' as const, plainTokens: 200},
		});
		await host.start({
			...forwardingDocument,
			customers: [createCustomer('small', 400), createCustomer('large', 1e6)],
		});
		host.list(worker.id, await worker.start());
		const call = async (key: string, tokens?: string) =>
			host.call('/idempotent/x', {
				headers: {
					'Api-Key': key,
					...(tokens === undefined ? {} : {'Token-Count': tokens}),
				},
			});
		assert.equal((await call('small', '50,40')).status, 200);
		const refused = await call('small', '500,300');
		assert.equal(refused.status, 429);
		const seconds = Number(refused.headers['retry-after']);
		assert.ok(seconds > 1 && seconds < 10, `${seconds} s`);
		const [{fields}] = host.logged('request-rejected') as [
			ReturnType<typeof host.logged>[number],
		];
		assert.equal(fields.customer, 'small');
		assert.equal((await call('small')).status, 429, 'plain tokens');
		assert.equal((await call('large', '5000,3000')).status, 200);
		assert.equal(worker.requests.length, 2);
	} finally {
		await host.stop();
		worker.stop();
	}
});
