import {type Clock} from '../../base/common/clock.js';
import {rendezvousOrder} from '../../base/common/rendezvous-hash.js';
import {type FailureDomain, type HostId} from '../../contracts/ids.js';

/** A host that reports to the owner itself, as a candidate for a relay. */
export type RelayCandidate = {
	readonly host: HostId;
	readonly failureDomain: FailureDomain;
	/** `host:port` at which other hosts can report to it. */
	readonly peerAddress: string;
	/** Processor share of its machine. Relays are chosen among the strongest machines. */
	readonly capacity: number;
	/** Number of hosts in its report, including itself. */
	readonly memberCount: number;
};

/** Collaborators of the assignment. */
export type RelayAssignmentOptions = {
	readonly clock: Clock;
	/** The owner, which needs no relay. */
	readonly owner: HostId;
};

/** Largest fleet whose hosts all report to the owner. */
export const maximumDirectHosts = 12;
/** Hosts for each relay, including the relay. */
const hostsPerRelay = 16;
/** Hosts that a relay serves at most, including itself. Above `hostsPerRelay`, because hosts move between relays before their counts are known. */
export const maximumHostsOfRelay = 24;
/** Time after its last report for which a host counts as present. Longer than a few intervals of reports on a slow machine. */
const candidateLifetimeMilliseconds = 3000;
/** Minimum time between the reports of a host in a fleet with relays, in which targets change all the time. */
const relayedIntervalMilliseconds = 500;
/** Processor time that a report costs its receiver, on a whole core. */
const reportCostMilliseconds = 2;
/** Largest share of its processor that a host spends on reports. */
const maximumReportShare = 0.25;
/** Longest time between reports, so that the state of every host stays current. */
const maximumIntervalMilliseconds = 1500;

/** Returns the minimum time between the reports of a host, for a receiver with this processor share and this number of hosts that report to it. */
export function reportInterval(
	hostCount: number,
	reporterCount: number,
	processorShare: number,
): number {
	if (hostCount <= maximumDirectHosts) {
		return 0;
	}

	const affordable =
		(reporterCount * reportCostMilliseconds) /
		(processorShare * maximumReportShare);
	return Math.min(
		maximumIntervalMilliseconds,
		Math.max(relayedIntervalMilliseconds, affordable),
	);
}

/**
 * Decides to whom the hosts of a large fleet report: the strongest machines of each failure domain report to the owner
 * and relay for the others of their domain. A small fleet has no relays. The decision depends only on the hosts that
 * currently report to the owner, so a new owner needs no state of its predecessor.
 */
export class RelayAssignment {
	private readonly candidates = new Map<
		HostId,
		RelayCandidate & {readonly reportedAt: number}
	>();

	constructor(private readonly options: RelayAssignmentOptions) {}

	/** Records a host that reported to the owner. */
	apply(candidate: RelayCandidate): void {
		this.candidates.set(candidate.host, {
			...candidate,
			reportedAt: this.options.clock.monotonic(),
		});
	}

	/** Number of hosts that report to the owner. */
	get reporterCount(): number {
		return this.current().length;
	}

	/** Number of hosts that reported to the owner within the given time and relay for no other one. */
	countSingleHosts(maximumAgeMilliseconds: number): number {
		const now = this.options.clock.monotonic();
		return this.current().filter(
			({memberCount, reportedAt}) =>
				memberCount === 1 && now - reportedAt < maximumAgeMilliseconds,
		).length;
	}

	/** Addresses of hosts that report to the owner, at most as many as in a fleet without relays. */
	peerAddresses(): string[] {
		return this.current()
			.map(({peerAddress}) => peerAddress)
			.sort()
			.slice(0, maximumDirectHosts);
	}

	/** Returns the relay to which a host should report from now on, or undefined for the owner. The host could not reach the relay at the address `failedAddress`. */
	relayOf(host: HostId, failedAddress: string): RelayCandidate | undefined {
		const current = this.current();
		const self = current.find((candidate) => candidate.host === host);
		const hostCount = countMembers(current);
		if (
			!self ||
			host === this.options.owner ||
			hostCount <= maximumDirectHosts
		) {
			return undefined;
		}

		const domain = current.filter(
			({failureDomain}) => failureDomain === self.failureDomain,
		);
		const relays = [...domain]
			.sort(
				(left, right) =>
					right.capacity - left.capacity || (left.host < right.host ? -1 : 1),
			)
			.slice(0, Math.ceil(countMembers(domain) / hostsPerRelay));
		if (relays.some((relay) => relay.host === host)) {
			return undefined;
		}

		const usable = relays.filter(
			({peerAddress}) => peerAddress !== failedAddress,
		);
		const [chosen] = rendezvousOrder(
			host,
			usable.map((relay) => relay.host),
		);
		return usable.find((relay) => relay.host === chosen);
	}

	private current(): Array<RelayCandidate & {readonly reportedAt: number}> {
		const now = this.options.clock.monotonic();
		for (const [host, {reportedAt}] of this.candidates) {
			if (now - reportedAt >= candidateLifetimeMilliseconds) {
				this.candidates.delete(host);
			}
		}

		return [...this.candidates.values()];
	}
}

function countMembers(candidates: readonly RelayCandidate[]): number {
	let count = 0;
	for (const {memberCount} of candidates) {
		count += memberCount;
	}

	return count;
}
