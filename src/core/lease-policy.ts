import {rendezvousOrder} from '../base/common/rendezvous-hash.js';
import {type FleetDocument} from '../contracts/fleet-document.js';
import {
	type FencingToken,
	type HostId,
	type IncarnationId,
	type LeaseName,
	type LogOffset,
} from '../contracts/ids.js';
import {type HostRecord, type LeaseState} from './control-state.js';
import {
	claimsLeaseName,
	groupLeaseName,
	planLeaseName,
	snapshotLeaseName,
} from './lease-names.js';

/** Durations of leases in milliseconds. */
export type LeaseTiming = {
	readonly durationMilliseconds: number;
	readonly renewalIntervalMilliseconds: number;
	/** Wait before the next host in the rendezvous order claims a lease that the one before it leaves free. */
	readonly claimStaggerMilliseconds: number;
	/** How long another host must be preferred without interruption before the holder hands a lease over. */
	readonly handoverDelayMilliseconds: number;
};

/** Times for today's fleet. At 370 hosts a duration of 12 s and a renewal of 4 s bound the appends. */
export const defaultLeaseTiming: LeaseTiming = {
	durationMilliseconds: 6000,
	renewalIntervalMilliseconds: 2000,
	claimStaggerMilliseconds: 1000,
	// Longer than a short pause or partition, so that a host that comes and goes moves no lease.
	handoverDelayMilliseconds: 10_000,
};

/** What a host knows when it decides about leases. */
export type LeasePolicyInput = {
	readonly now: number;
	/** Since when the log has answered reads without interruption, or undefined during an outage. */
	readonly logReachableSince: number | undefined;
	readonly wantedLeases: readonly LeaseName[];
	readonly leases: ReadonlyMap<LeaseName, LeaseState>;
	readonly hosts: ReadonlyMap<HostId, HostRecord>;
	/** Hosts that may hold leases, this one included unless it leaves. */
	readonly liveHosts: readonly HostId[];
	/** Monotonic time up to which this host's renewals are confirmed, for the leases it holds. */
	readonly renewedAt: ReadonlyMap<LeaseName, number>;
};

/** A claim to submit. */
export type LeaseClaim = {
	readonly lease: LeaseName;
	readonly expectedOffset: LogOffset | null;
	readonly reason: string;
};

/** A lease of this host with its token. */
export type HeldLease = {
	readonly lease: LeaseName;
	readonly token: FencingToken;
};

/** What to submit now. */
export type LeaseDecision = {
	readonly claims: readonly LeaseClaim[];
	readonly renewals: readonly HeldLease[];
	readonly releases: readonly HeldLease[];
};

type Observation = {readonly offset: LogOffset; readonly at: number};
type Preference = {readonly host: HostId | undefined; readonly since: number};

/** Returns the leases that a document calls for: groups, plans, the carrying of claims and the snapshot writer. */
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
	private readonly freeSince = new Map<LeaseName, number>();
	private readonly preferences = new Map<LeaseName, Preference>();

	constructor(
		private readonly host: HostId,
		private readonly incarnation: IncarnationId,
		private readonly times: LeaseTiming = defaultLeaseTiming,
	) {}

	/** Decides from the state of the leases. Call it often; it remembers when it saw each record. */
	decide(situation: LeasePolicyInput): LeaseDecision {
		const claims: LeaseClaim[] = [];
		const releases: HeldLease[] = [];
		const held: HeldLease[] = [];
		let renewalDue = false;
		const wanted = new Set(situation.wantedLeases);
		for (const name of new Set([...wanted, ...situation.leases.keys()])) {
			const lease = situation.leases.get(name);
			this.observe(name, lease, situation.now);
			if (lease && this.isOwn(lease)) {
				if (!wanted.has(name) || this.isHandoverDue(name, situation)) {
					releases.push({lease: name, token: lease.token});
					continue;
				}

				held.push({lease: name, token: lease.token});
				const renewedAt = situation.renewedAt.get(name);
				renewalDue ||=
					renewedAt === undefined ||
					situation.now - renewedAt >= this.times.renewalIntervalMilliseconds;
				continue;
			}

			if (wanted.has(name)) {
				const claim = this.claimFor(name, lease, situation);
				if (claim) {
					claims.push(claim);
				}
			}
		}

		return {claims, renewals: renewalDue ? held : [], releases};
	}

	private isOwn(lease: LeaseState): boolean {
		return lease.incarnation === this.incarnation && !lease.released;
	}

	private observe(
		name: LeaseName,
		lease: LeaseState | undefined,
		now: number,
	): void {
		if (lease && this.observations.get(name)?.offset !== lease.lastOffset) {
			this.observations.set(name, {offset: lease.lastOffset, at: now});
			this.freeSince.delete(name);
		}
	}

	private claimFor(
		name: LeaseName,
		lease: LeaseState | undefined,
		situation: LeasePolicyInput,
	): LeaseClaim | undefined {
		const {now, logReachableSince} = situation;
		const reason = this.freeReason(name, lease, situation);
		if (logReachableSince === undefined || reason === undefined) {
			this.freeSince.delete(name);
			return undefined;
		}

		const rank = rendezvousOrder(name, situation.liveHosts).indexOf(this.host);
		if (rank === -1) {
			return undefined;
		}

		const since = this.freeSince.get(name) ?? now;
		this.freeSince.set(name, since);
		return now - since >= rank * this.times.claimStaggerMilliseconds
			? {lease: name, expectedOffset: lease?.lastOffset ?? null, reason}
			: undefined;
	}

	private freeReason(
		name: LeaseName,
		lease: LeaseState | undefined,
		situation: LeasePolicyInput,
	): string | undefined {
		if (!lease) {
			return 'never claimed';
		}

		if (lease.released) {
			return `released by ${lease.holder}`;
		}

		const holder = situation.hosts.get(lease.holder);
		if (holder?.incarnation === lease.incarnation && holder.stopped) {
			return `${lease.holder} stopped`;
		}

		// Holders cannot renew during a log outage, so only time with a reachable log counts.
		const observedAt = this.observations.get(name)?.at ?? situation.now;
		const from = Math.max(observedAt, situation.logReachableSince ?? 0);
		return situation.now - from >= this.times.durationMilliseconds
			? `not renewed by ${lease.holder}`
			: undefined;
	}

	private isHandoverDue(name: LeaseName, situation: LeasePolicyInput): boolean {
		const [preferred] = rendezvousOrder(name, situation.liveHosts);
		const known = this.preferences.get(name);
		if (!known || known.host !== preferred) {
			this.preferences.set(name, {host: preferred, since: situation.now});
			return false;
		}

		return (
			preferred !== undefined &&
			preferred !== this.host &&
			situation.now - known.since >= this.times.handoverDelayMilliseconds
		);
	}
}
