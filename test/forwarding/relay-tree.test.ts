import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {type FailureDomain, type HostId} from '../../src/contracts/ids.js';
import {DemandCollector} from '../../src/core/placement/demand-collector.js';
import {type HostDemand} from '../../src/core/placement/host-demand.js';
import {
	maximumHostsOfRelay,
	RelayAssignment,
} from '../../src/core/membership/relay-assignment.js';
import {ReportRoute} from '../../src/core/membership/report-route.js';

const intervalMilliseconds = 250;
const domainCount = 5;

/** A host of the simulated fleet: the decisions of the product, without sockets. */
class SimulatedHost {
	readonly route: ReportRoute;
	readonly relayed: DemandCollector;
	readonly relays: RelayAssignment;
	isRunning = true;
	isReachable = true;
	heardAt = Number.NEGATIVE_INFINITY;

	constructor(
		readonly name: HostId,
		readonly domain: FailureDomain,
		readonly capacity: number,
		clock: ManualClock,
	) {
		this.route = new ReportRoute({clock});
		this.relayed = new DemandCollector({clock});
		this.relays = new RelayAssignment({clock, owner: name});
	}

	demand(): HostDemand {
		return this.relayed.mergeWith({
			host: this.name,
			members: [this.name],
			observedMilliseconds: 0,
			models: [],
			adapters: [],
		});
	}
}

/** A fleet that reports to its first running host, the owner. */
class SimulatedFleet {
	readonly clock = new ManualClock();
	readonly hosts: SimulatedHost[];
	reportsOfTick = new Map<SimulatedHost, number>();

	constructor(size: number) {
		this.hosts = Array.from(
			{length: size},
			(_, index) =>
				new SimulatedHost(
					`h${index}` as HostId,
					`z${index % domainCount}` as FailureDomain,
					index < domainCount * 3 ? 0.675 : 0.324,
					this.clock,
				),
		);
	}

	get owner(): SimulatedHost {
		return this.hosts.find(({isRunning}) => isRunning)!;
	}

	advance(ticks: number): void {
		for (let tick = 0; tick < ticks; tick++) {
			this.clock.advance(intervalMilliseconds);
			this.reportsOfTick = new Map();
			for (const host of this.hosts) {
				if (host.isRunning && host !== this.owner) {
					this.report(host);
				}
			}
		}
	}

	/** Hosts on the way of a report to the owner, without the sender. Undefined when it does not arrive. */
	path(host: SimulatedHost): SimulatedHost[] | undefined {
		const destination = host.route.destination(this.owner.name)!;
		const receiver = this.byName(destination.address);
		if (!receiver.isRunning || !receiver.isReachable) {
			return undefined;
		}

		if (receiver === this.owner) {
			return [receiver];
		}

		const rest = receiver.route.relay === '' ? this.path(receiver) : undefined;
		return rest && [receiver, ...rest];
	}

	private byName(name: string): SimulatedHost {
		return this.hosts.find((host) => host.name === name)!;
	}

	private report(host: SimulatedHost): void {
		const destination = host.route.destination(this.owner.name)!;
		const receiver = this.byName(destination.address);
		this.reportsOfTick.set(
			receiver,
			(this.reportsOfTick.get(receiver) ?? 0) + 1,
		);
		if (!receiver.isRunning || !receiver.isReachable || !host.isReachable) {
			host.route.recordFailure(destination);
			return;
		}

		const demand = host.demand();
		if (receiver === this.owner) {
			receiver.relays.apply({
				host: host.name,
				failureDomain: host.domain,
				peerAddress: host.name,
				capacity: host.capacity,
				memberCount: demand.members.length,
			});
			receiver.relayed.apply(demand);
			host.heardAt = this.clock.monotonic();
			host.route.applyAssignment(
				receiver.relays.relayOf(host.name, host.route.failedRelay)
					?.peerAddress ?? '',
			);
			return;
		}

		const isServing =
			receiver.route.relay === '' &&
			this.clock.monotonic() - receiver.heardAt < 900 &&
			receiver.relayed.hasRoomFor(host.name, maximumHostsOfRelay - 1);
		if (!isServing) {
			host.route.recordFailure(destination);
			return;
		}

		receiver.relayed.apply(demand);
		host.heardAt = receiver.heardAt;
	}
}

function assertConnected(fleet: SimulatedFleet): void {
	for (const host of fleet.hosts) {
		if (host.isRunning && host !== fleet.owner) {
			const path = fleet.path(host);
			assert.ok(path, `${host.name} reports to ${host.route.relay}`);
			assert.ok(path.length <= 2, `${host.name} is ${path.length} hops away`);
		}
	}
}

// Guards against an owner that every host of a large fleet calls several times a second: the calls it receives must
// depend on the number of relays, and no relay may get a multiple of its share.
test('200 hosts that start together report through relays, and the owner counts all of them', () => {
	const fleet = new SimulatedFleet(200);
	fleet.advance(40);
	assertConnected(fleet);
	assert.equal(
		fleet.owner.relayed.sum().members.length,
		199,
		'the owner reports its own demand itself',
	);
	const direct = fleet.reportsOfTick.get(fleet.owner) ?? 0;
	assert.ok(direct <= 30, `${direct} hosts call the owner`);
	for (const [host, count] of fleet.reportsOfTick) {
		assert.ok(
			host === fleet.owner || count < maximumHostsOfRelay,
			`${count} hosts call ${host.name}`,
		);
	}
});

// Guards against relays in a fleet that is too small to need them: each hop makes the state of a host older.
test('8 hosts report to the owner directly', () => {
	const fleet = new SimulatedFleet(8);
	fleet.advance(20);
	assert.equal(fleet.reportsOfTick.get(fleet.owner), 7);
});

// Guards against hosts that stay without a way to the owner, or without one of at most two hops, after relays and
// owners were killed, paused, cut off and came back in any order.
test('after any faults every running host reaches the owner again within twelve seconds', () => {
	fc.assert(
		fc.property(
			fc.integer({min: 13, max: 80}),
			fc.array(
				fc.record({
					host: fc.nat({max: 79}),
					kind: fc.constantFrom('stop', 'continue', 'cut', 'heal'),
					ticks: fc.nat({max: 8}),
				}),
				{maxLength: 20},
			),
			(size, faults) => {
				const fleet = new SimulatedFleet(size);
				fleet.advance(12);
				for (const {host, kind, ticks} of faults) {
					const affected = fleet.hosts[host % size]!;
					const isLast =
						fleet.hosts.filter(({isRunning}) => isRunning).length === 1;
					affected.isRunning =
						(affected.isRunning && (kind !== 'stop' || isLast)) ||
						kind === 'continue';
					affected.isReachable =
						(affected.isReachable && kind !== 'cut') || kind === 'heal';
					fleet.advance(ticks);
				}

				for (const host of fleet.hosts) {
					host.isReachable = true;
				}

				fleet.owner.route.reset();
				fleet.advance(48);
				assertConnected(fleet);
			},
		),
		{seed: 17, numRuns: 150},
	);
});

// Guards against an owner that is cut off and goes on issuing permits for the hosts that cannot reach it, which keep
// their shares for themselves.
test('hosts that have not reported lately do not count for the permits that the owner issues', () => {
	const clock = new ManualClock();
	const relays = new RelayAssignment({clock, owner: 'h0' as HostId});
	const report = (name: string, memberCount: number) => {
		relays.apply({
			host: name as HostId,
			failureDomain: 'z' as FailureDomain,
			peerAddress: name,
			capacity: 1,
			memberCount,
		});
	};

	report('h1', 1);
	report('h2', 1);
	report('relay', 16);
	assert.equal(relays.countSingleHosts(700), 2);
	clock.advance(500);
	report('h2', 1);
	clock.advance(500);
	assert.equal(relays.countSingleHosts(700), 1);
});
