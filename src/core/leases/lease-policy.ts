import {rendezvousOrder} from '../../base/common/rendezvous-hash.js';
import {type FleetDocument} from '../../contracts/fleet-document.js';
import {
	type FencingToken,
	type HostId,
	type IncarnationId,
	type LeaseName,
	type LogOffset,
} from '../../contracts/ids.js';
import {type HostRecord, type LeaseState} from '../documents/control-state.js';
import {
	claimsLeaseName,
	groupLeaseName,
	planLeaseName,
	snapshotLeaseName,
} from './lease-names.js';

/** Durations and intervals of leases. */
export type LeaseTiming = {
	/** A lease that is not renewed for this long may be claimed by another host. */
	readonly durationMilliseconds: number;
	/** Interval at which the holder renews its leases. */
	readonly renewalIntervalMilliseconds: number;
	/** Additional delay before each further host in rendezvous order claims a lease that the hosts before it have not claimed. */
	readonly claimStaggerMilliseconds: number;
	/** How long the same other host must be preferred without interruption before the holder releases the lease to it. */
	readonly handoverDelayMilliseconds: number;
};

/** Default timing for the current fleet size. With 370 hosts, a duration of 12 s and a renewal interval of 4 s limit the rate of appends. */
export const defaultLeaseTiming: LeaseTiming = {
	durationMilliseconds: 6000,
	renewalIntervalMilliseconds: 2000,
	claimStaggerMilliseconds: 1000,
	// Longer than a short pause or network partition, so that a host that is briefly unreachable causes no handover.
	handoverDelayMilliseconds: 10_000,
};

/** Input of a lease decision: the state of the leases and hosts as this host currently knows it. */
export type LeasePolicyInput = {
	/** Monotonic time in milliseconds. */
	readonly now: number;
	/** Monotonic time since which the log has responded to reads without interruption, or undefined during an outage. */
	readonly logReachableSince: number | undefined;
	/** Leases that some host must hold. */
	readonly wantedLeases: readonly LeaseName[];
	readonly leases: ReadonlyMap<LeaseName, LeaseState>;
	readonly hosts: ReadonlyMap<HostId, HostRecord>;
	/** Hosts that may hold leases, including this one unless it is leaving. */
	readonly liveHosts: readonly HostId[];
	/** Monotonic time at which the last confirmed claim or renewal was submitted, for each lease that this host holds. */
	readonly renewedAt: ReadonlyMap<LeaseName, number>;
};

/** A claim to submit. */
export type LeaseClaim = {
	readonly lease: LeaseName;
	/** Offset of the last record of the lease, or null if the lease was never claimed. */
	readonly expectedOffset: LogOffset | null;
	readonly reason: string;
};

/** A lease that this host holds, with its token. */
export type HeldLease = {
	readonly lease: LeaseName;
	readonly token: FencingToken;
};

/** The claims, renewals and releases to submit. */
export type LeaseDecision = {
	readonly claims: readonly LeaseClaim[];
	readonly renewals: readonly HeldLease[];
	readonly releases: readonly HeldLease[];
};

/** The last record of a lease and the monotonic time at which this host first saw it. */
type Observation = {readonly offset: LogOffset; readonly at: number};
/** The preferred holder of a lease and the monotonic time since which it has been preferred. */
type Preference = {readonly host: HostId | undefined; readonly since: number};

/** Returns the names of the leases that a document requires: the target groups and plans of its engine pools, the carrying of claims and the snapshot writer. */
export function leaseNamesOfDocument(
	document: FleetDocument | undefined,
): LeaseName[] {
	const names = new Set<LeaseName>([snapshotLeaseName, claimsLeaseName]);
	for (const pool of document?.pools ?? []) {
		if (pool.kind !== 'engine') {
			continue;
		}

		names.add(planLeaseName(pool.name));
		for (const target of pool.targets) {
			names.add(groupLeaseName(pool.name, target.failureDomain));
		}
	}

	return [...names];
}

/** Decides which leases this host claims, renews and releases. */
export class LeasePolicy {
	private readonly observations = new Map<LeaseName, Observation>();
	private readonly claimableSince = new Map<LeaseName, number>();
	private readonly preferences = new Map<LeaseName, Preference>();

	constructor(
		private readonly host: HostId,
		private readonly incarnation: IncarnationId,
		private readonly timing: LeaseTiming = defaultLeaseTiming,
	) {}

	/**
	 * Decides what to submit now. Must be called regularly, because the time at which a record is first seen
	 * starts the expiry of its lease.
	 */
	decide(input: LeasePolicyInput): LeaseDecision {
		const claims: LeaseClaim[] = [];
		const releases: HeldLease[] = [];
		const held: HeldLease[] = [];
		let renewalDue = false;
		const wanted = new Set(input.wantedLeases);
		for (const name of new Set([...wanted, ...input.leases.keys()])) {
			const lease = input.leases.get(name);
			this.observe(name, lease, input.now);
			if (lease && this.isHeldByThisHost(lease)) {
				if (!wanted.has(name) || this.isHandoverDue(name, input)) {
					releases.push({lease: name, token: lease.token});
					continue;
				}

				held.push({lease: name, token: lease.token});
				const renewedAt = input.renewedAt.get(name);
				renewalDue ||=
					renewedAt === undefined ||
					input.now - renewedAt >= this.timing.renewalIntervalMilliseconds;
				continue;
			}

			if (wanted.has(name)) {
				const claim = this.createClaim(name, lease, input);
				if (claim) {
					claims.push(claim);
				}
			}
		}

		return {claims, renewals: renewalDue ? held : [], releases};
	}

	private isHeldByThisHost(lease: LeaseState): boolean {
		return lease.incarnation === this.incarnation && !lease.released;
	}

	private observe(
		name: LeaseName,
		lease: LeaseState | undefined,
		now: number,
	): void {
		if (lease && this.observations.get(name)?.offset !== lease.lastOffset) {
			this.observations.set(name, {offset: lease.lastOffset, at: now});
			this.claimableSince.delete(name);
		}
	}

	private createClaim(
		name: LeaseName,
		lease: LeaseState | undefined,
		input: LeasePolicyInput,
	): LeaseClaim | undefined {
		const {now, logReachableSince} = input;
		const reason = this.findClaimReason(name, lease, input);
		if (logReachableSince === undefined || reason === undefined) {
			this.claimableSince.delete(name);
			return undefined;
		}

		const position = rendezvousOrder(name, input.liveHosts).indexOf(this.host);
		if (position === -1) {
			return undefined;
		}

		const since = this.claimableSince.get(name) ?? now;
		this.claimableSince.set(name, since);
		return now - since >= position * this.timing.claimStaggerMilliseconds
			? {lease: name, expectedOffset: lease?.lastOffset ?? null, reason}
			: undefined;
	}

	/** Returns why the lease may be claimed, or undefined while it is held and not expired. */
	private findClaimReason(
		name: LeaseName,
		lease: LeaseState | undefined,
		input: LeasePolicyInput,
	): string | undefined {
		if (!lease) {
			return 'never claimed';
		}

		if (lease.released) {
			return `released by ${lease.holder}`;
		}

		const holder = input.hosts.get(lease.holder);
		if (holder?.incarnation === lease.incarnation && holder.stopped) {
			return `${lease.holder} stopped`;
		}

		// Holders cannot renew during a log outage, so only the time with a reachable log counts towards expiry.
		const observedAt = this.observations.get(name)?.at ?? input.now;
		const unrenewedSince = Math.max(observedAt, input.logReachableSince ?? 0);
		return input.now - unrenewedSince >= this.timing.durationMilliseconds
			? `not renewed by ${lease.holder}`
			: undefined;
	}

	private isHandoverDue(name: LeaseName, input: LeasePolicyInput): boolean {
		const [preferred] = rendezvousOrder(name, input.liveHosts);
		const preference = this.preferences.get(name);
		if (!preference || preference.host !== preferred) {
			this.preferences.set(name, {host: preferred, since: input.now});
			return false;
		}

		return (
			preferred !== undefined &&
			preferred !== this.host &&
			input.now - preference.since >= this.timing.handoverDelayMilliseconds
		);
	}
}
