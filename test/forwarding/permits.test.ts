import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type TargetId} from '../../src/contracts/ids.js';
import {NamedRateLimits} from '../../src/core/limits/named-rate-limits.js';
import {PermitBook} from '../../src/core/limits/permit-book.js';
import {PermitIssuer} from '../../src/core/limits/permit-issuer.js';
import {PermitClient} from '../../src/services/forwarding/limits/permit-client.js';
import {waitUntil} from '../process/processes.js';

const target = 't' as TargetId;
const stepMilliseconds = 10;
const windowMilliseconds = 4000;
/** Longest interval of the reports in a large fleet. */
const reportMilliseconds = 1500;

/** What the users' rule allows a target that names a rate to get in a window. */
function allowedInWindow(requestsPerSecond: number): number {
	return 1.5 * requestsPerSecond * (windowMilliseconds / 1000) + 5;
}

type SimulatedHost = {
	readonly limits: NamedRateLimits;
	readonly book: PermitBook;
	/** Issues the permits of the group. Replaced by an own one when the group has none. */
	issuer: PermitIssuer;
	groupShare: number;
	/** Share of this host in the requests, relative to the others. */
	readonly weight: number;
	/** Times at which waiting requests came. */
	waiting: number[];
};

/** Hosts that ask the first host of their group for permits, and a target that names a rate in each answer. */
class SimulatedFleet {
	readonly clock = new ManualClock();
	readonly random = new SeededRandomSource(8);
	readonly hosts: SimulatedHost[] = [];
	readonly arrivals: number[] = [];
	limit: number | undefined;
	private readonly totalWeight: number;

	constructor(groups: readonly number[], weightOf: (host: number) => number) {
		const size = groups.reduce((sum, group) => sum + group, 0);
		for (const group of groups) {
			const issuerLimits = new NamedRateLimits({clock: this.clock});
			const issuer = new PermitIssuer({
				clock: this.clock,
				limits: issuerLimits,
			});
			for (let index = 0; index < group; index++) {
				const limits =
					index === 0 ? issuerLimits : new NamedRateLimits({clock: this.clock});
				this.hosts.push({
					limits,
					book: new PermitBook({clock: this.clock, limits}),
					issuer,
					groupShare: group / size,
					weight: weightOf(this.hosts.length),
					waiting: [],
				});
			}
		}

		this.totalWeight = this.hosts.reduce((sum, {weight}) => sum + weight, 0);
	}

	run(milliseconds: number, requestsPerSecond: number): void {
		for (let time = 0; time < milliseconds; time += stepMilliseconds) {
			this.clock.advance(stepMilliseconds);
			this.report();
			for (const host of this.hosts) {
				const rate = (requestsPerSecond * host.weight) / this.totalWeight;
				if (this.random.next() < (rate * stepMilliseconds) / 1000) {
					host.waiting.push(this.clock.monotonic());
				}

				this.sendWaiting(host);
				this.askForPermits(host);
				this.sendWaiting(host);
			}
		}
	}

	/** Largest number of arrivals in a window that begins later than the given time. */
	largestWindow(from: number): number {
		const counted = this.arrivals.filter((at) => at >= from);
		let largest = 0;
		let first = 0;
		for (const [index, at] of counted.entries()) {
			while (counted[first]! <= at - windowMilliseconds) {
				first++;
			}

			largest = Math.max(largest, index - first + 1);
		}

		return largest;
	}

	arrivalsSince(from: number): number {
		return this.arrivals.filter((at) => at >= from).length;
	}

	private sendWaiting(host: SimulatedHost): void {
		const now = this.clock.monotonic();
		host.waiting = host.waiting.filter((at) => now - at < 1000);
		while (host.waiting.length > 0 && host.book.hasPermit(target)) {
			host.waiting.shift();
			host.book.recordSent(target);
			this.arrivals.push(now);
			host.limits.apply(target, this.limit);
		}
	}

	private askForPermits(host: SimulatedHost): void {
		for (const {count} of host.book.pendingDemands()) {
			const issuerLimits = this.issuerLimitsOf(host);
			pass(host.limits, issuerLimits);
			host.book.applyGrant(host.issuer.issue(target, count, host.groupShare));
			pass(issuerLimits, host.limits);
		}
	}

	/** Each host reports to the first one of its group, and that one to the first host, once in the interval. */
	private report(): void {
		const [first] = this.hosts;
		for (const [index, host] of this.hosts.entries()) {
			const phase = (this.clock.monotonic() + index * 37) % reportMilliseconds;
			if (phase < stepMilliseconds) {
				const issuerLimits = this.issuerLimitsOf(host);
				for (const [from, to] of [
					[host.limits, issuerLimits],
					[issuerLimits, first!.limits],
					[first!.limits, issuerLimits],
					[issuerLimits, host.limits],
				] as const) {
					pass(from, to);
				}
			}
		}
	}

	private issuerLimitsOf(host: SimulatedHost): NamedRateLimits {
		return this.hosts.find(({issuer}) => issuer === host.issuer)!.limits;
	}
}

function pass(from: NamedRateLimits, to: NamedRateLimits): void {
	const known = from.describe(target);
	if (known) {
		to.merge(known);
	}
}

// Guards against a limit that each host keeps for itself, against even shares while most requests come through one
// host, and against shares of less than one request in a large fleet.
for (const {name, groups, weightOf} of [
	{
		name: '7 hosts, one with half of the requests',
		groups: [7],
		weightOf: (host: number) => (host === 0 ? 6 : 1),
	},
	{
		name: '195 hosts behind 13 relays',
		groups: Array.from({length: 13}, () => 15),
		weightOf: () => 1,
	},
]) {
	test(`a target gets the rate that it names and no more, also in a burst: ${name}`, () => {
		const fleet = new SimulatedFleet(groups, weightOf);
		fleet.run(2000, 16);
		fleet.limit = 8;
		fleet.run(5000, 16);
		const from = fleet.clock.monotonic();
		fleet.run(20_000, 16);
		const perSecond = fleet.arrivalsSince(from) / 20;
		fleet.run(10_000, 80);
		assert.ok(
			fleet.largestWindow(from) <= allowedInWindow(8),
			`${fleet.largestWindow(from)} in a window`,
		);
		assert.ok(perSecond >= 8 * 0.7 && perSecond <= 8 * 1.1, `${perSecond}`);
	});
}

// Guards against a limit that is kept after the target has taken it back, or applied late after it has fallen.
test('a limit that falls to a fraction is kept, and one that is taken back is forgotten', () => {
	const fleet = new SimulatedFleet([7], () => 1);
	fleet.limit = 40;
	fleet.run(6000, 60);
	fleet.limit = 4;
	fleet.run(3000, 60);
	const from = fleet.clock.monotonic();
	fleet.run(8000, 60);
	assert.ok(fleet.largestWindow(from) <= allowedInWindow(4));
	fleet.limit = undefined;
	fleet.run(3000, 60);
	const unlimitedFrom = fleet.clock.monotonic();
	fleet.run(2000, 60);
	assert.ok(fleet.arrivalsSince(unlimitedFrom) >= 80);
});

// Guards against hosts that send as they like, or not at all, while no host issues permits.
test('hosts without an issuer keep even shares, and the change to them does not exceed the limit', () => {
	const fleet = new SimulatedFleet([7], () => 1);
	fleet.limit = 8;
	fleet.run(4000, 30);
	const from = fleet.clock.monotonic();
	for (const host of fleet.hosts) {
		host.issuer = new PermitIssuer({clock: fleet.clock, limits: host.limits});
		host.groupShare = 1 / fleet.hosts.length;
	}

	fleet.run(12_000, 30);
	assert.ok(fleet.largestWindow(from) <= allowedInWindow(8));
	assert.ok(fleet.arrivalsSince(from) >= 8 * 12 * 0.7);
});

// Guards against a target that names zero and is never asked again whether it takes more.
test('a target that takes nothing gets a request every few seconds', () => {
	const fleet = new SimulatedFleet([7], () => 1);
	fleet.limit = 0;
	fleet.run(4000, 20);
	const from = fleet.clock.monotonic();
	fleet.run(30_000, 20);
	const arrivals = fleet.arrivalsSince(from);
	assert.ok(arrivals >= 3 && arrivals <= 8, `${arrivals} requests`);
	assert.ok(fleet.largestWindow(from) <= allowedInWindow(0));
});

// Guards against orders and polls of the owner that come on top of the rate.
test('calls that need no permit are charged to the rate', () => {
	const clock = new ManualClock();
	const limits = new NamedRateLimits({clock});
	const issuer = new PermitIssuer({clock, limits});
	limits.apply(target, 10);
	issuer.issue(target, 1, 1);
	let issued = 0;
	for (let step = 0; step < 100; step++) {
		clock.advance(100);
		if (step % 2 === 0) {
			issuer.charge(target);
		}

		issued += issuer.issue(target, 1, 1).count;
	}

	assert.ok(issued >= 45 && issued <= 51, `${issued} issued`);
});

// Guards against an old answer, which another host passes on late, that replaces the newest one.
test('the newest answer decides about the limit of a target', () => {
	const clock = new ManualClock();
	const limits = new NamedRateLimits({clock});
	clock.advance(1000);
	assert.equal(limits.apply(target, undefined), false);
	assert.equal(limits.apply(target, 5), true);
	limits.merge({target, requestsPerSecond: 50, ageMilliseconds: 400});
	assert.equal(limits.get(target), 5);
	limits.forget(target);
	assert.equal(limits.get(target), undefined);
});

class CountingMetrics extends NullMetricRegistry {
	calls = 0;

	override count(): void {
		this.calls++;
	}
}

// Guards against permits that accrue on every host while another one issues them, and are used all at once when it ends.
test('a host that loses the issuer begins without permits of its own', async () => {
	const clock = new ManualClock();
	const limits = new NamedRateLimits({clock});
	const book = new PermitBook({clock, limits});
	const metrics = new CountingMetrics();
	const issuerState = {isPresent: false};
	const client = new PermitClient({
		book,
		metrics,
		issuer: new PermitIssuer({clock, limits}),
		groupShare: () => undefined,
		ask: async (demands) =>
			issuerState.isPresent
				? demands.map((demand) => ({...demand, retryMilliseconds: 0}))
				: undefined,
		fallbackIssuer: new PermitIssuer({clock, limits}),
		hostCount: () => 7,
	});
	limits.apply(target, 7);
	/** Asks for a permit and returns whether there is one afterwards. */
	const askOnce = async () => {
		clock.advance(1000);
		book.hasPermit(target);
		const before = metrics.calls;
		await waitUntil('a grant', () => metrics.calls > before);
		return book.hasPermit(target);
	};

	assert.equal(await askOnce(), false);
	issuerState.isPresent = true;
	assert.equal(await askOnce(), true);
	clock.advance(60_000);
	issuerState.isPresent = false;
	assert.equal(await askOnce(), false);
	assert.equal(await askOnce(), true);
	client.dispose();
});
