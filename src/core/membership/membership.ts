import {rendezvousOrder} from '../../base/common/rendezvous-hash.js';
import {type HostListEntry} from '../../contracts/host-list.js';
import {
	type FailureDomain,
	type HostId,
	type IncarnationId,
} from '../../contracts/ids.js';
import {type HostRecord} from '../documents/control-state.js';

/** Timeouts that determine the status of hosts. */
export type MembershipTimeouts = {
	/** A monitored host without a heartbeat for longer than this is suspect. */
	readonly suspectAfterMilliseconds: number;
	/** A monitored host without a heartbeat for longer than this is gone, even if the host list contains it. */
	readonly goneAfterMilliseconds: number;
	/** A host without contact to the log or any peer for longer than this may hold a stale document. */
	readonly isolatedAfterMilliseconds: number;
};

/** Default timeouts, for a heartbeat interval of one second. */
export const defaultMembershipTimeouts: MembershipTimeouts = {
	suspectAfterMilliseconds: 3000,
	goneAfterMilliseconds: 30_000,
	isolatedAfterMilliseconds: 10_000,
};

/** Status of a host. Only `live` hosts are assigned new responsibilities. */
export type HostStatus = 'live' | 'leaving' | 'suspect' | 'gone';

/** The sender of a heartbeat, as described in the heartbeat. */
export type HeartbeatSender = {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly failureDomain: FailureDomain;
	readonly peerAddress: string;
	readonly leaving: boolean;
};

/** A host and its status. */
export type Member = HeartbeatSender & {
	readonly status: HostStatus;
	/** Monotonic time in milliseconds of the last heartbeat, or undefined if none was received. */
	readonly lastHeartbeatAt: number | undefined;
	/** True if the control stream records that this incarnation stopped. */
	readonly stopped: boolean;
};

type Entry = HeartbeatSender & {
	readonly lastHeartbeatAt: number | undefined;
	/** Monotonic time in milliseconds at which this incarnation was first seen. */
	readonly addedAt: number;
	readonly stopped: boolean;
	/** True if the start record of this incarnation was applied. */
	readonly recorded: boolean;
};

/** Selects the peers that receive heartbeats: all other hosts if they are at most `maximumPeers`, otherwise that many in rendezvous order plus the lease holders. */
export function selectHeartbeatPeers(
	self: HostId,
	hosts: readonly HostId[],
	leaseHolders: readonly HostId[],
	maximumPeers: number,
): HostId[] {
	const others = hosts.filter((host) => host !== self);
	if (others.length <= maximumPeers) {
		return others;
	}

	const otherHosts = new Set(others);
	return [
		...new Set([
			...rendezvousOrder(self, others).slice(0, maximumPeers),
			...leaseHolders.filter((holder) => otherHosts.has(holder)),
		]),
	];
}

/** Determines which hosts are live, leaving, suspect or gone, from control records, heartbeats and the host list. */
export class Membership {
	private readonly entries = new Map<HostId, Entry>();
	/** Incarnations that are followed by a later start record of the same host. */
	private readonly superseded = new Set<IncarnationId>();
	/** Incarnations after which a heartbeat of another incarnation was received. Without a start record, their order is uncertain. */
	private readonly replaced = new Set<IncarnationId>();
	private readonly startOffsets = new Map<HostId, number>();
	private listedStates: ReadonlyMap<string, HostListEntry['state']> | undefined;
	private monitoredSince: ReadonlyMap<HostId, number> | undefined;
	private lastLogContactAt: number;

	constructor(
		private readonly self: HostId,
		now: number,
		private readonly timeouts: MembershipTimeouts = defaultMembershipTimeouts,
	) {
		this.lastLogContactAt = now;
	}

	/** Applies the host records of the control stream. */
	observeRecords(hosts: Iterable<HostRecord>, now: number): void {
		for (const record of hosts) {
			const existing = this.entries.get(record.host);
			const isNew =
				record.startedOffset > (this.startOffsets.get(record.host) ?? -1);
			this.startOffsets.set(record.host, record.startedOffset);
			if (existing?.incarnation === record.incarnation) {
				this.entries.set(record.host, {
					...existing,
					stopped: record.stopped,
					recorded: true,
				});
				continue;
			}

			// An incarnation known only from recent heartbeats is usually newer than the one in the record.
			const hasRecentHeartbeat =
				existing?.lastHeartbeatAt !== undefined &&
				now - existing.lastHeartbeatAt <=
					this.timeouts.suspectAfterMilliseconds;
			if (!isNew || (existing && !existing.recorded && hasRecentHeartbeat)) {
				continue;
			}

			if (existing?.recorded) {
				addBounded(this.superseded, existing.incarnation);
			}

			this.replaced.delete(record.incarnation);
			this.entries.set(record.host, {
				host: record.host,
				incarnation: record.incarnation,
				failureDomain: record.failureDomain,
				peerAddress: record.peerAddress,
				leaving: false,
				lastHeartbeatAt: undefined,
				addedAt: now,
				stopped: record.stopped,
				recorded: true,
			});
		}
	}

	/** Applies a heartbeat. Returns false if it was ignored: its sender is this host or an incarnation that was replaced. */
	observeHeartbeat(sender: HeartbeatSender, now: number): boolean {
		if (sender.host === this.self || this.superseded.has(sender.incarnation)) {
			return false;
		}

		const existing = this.entries.get(sender.host);
		const isSameIncarnation = existing?.incarnation === sender.incarnation;
		if (!isSameIncarnation && existing) {
			const hasRecentHeartbeat =
				existing.lastHeartbeatAt !== undefined &&
				now - existing.lastHeartbeatAt <=
					this.timeouts.suspectAfterMilliseconds;
			if (hasRecentHeartbeat && this.replaced.has(sender.incarnation)) {
				return false;
			}

			addBounded(this.replaced, existing.incarnation);
		}

		this.entries.set(sender.host, {
			...sender,
			lastHeartbeatAt: now,
			addedAt: isSameIncarnation ? existing.addedAt : now,
			stopped: isSameIncarnation && existing.stopped,
			recorded: isSameIncarnation && existing.recorded,
		});
		return true;
	}

	/** Applies the platform's host list. */
	observeHostList(entries: readonly HostListEntry[]): void {
		this.listedStates = new Map(
			entries.map((entry) => [entry.name, entry.state]),
		);
	}

	/** Sets the hosts that exchange heartbeats with this one. For other hosts, a lack of heartbeats has no meaning. */
	setMonitoredHosts(hosts: ReadonlySet<HostId>, now: number): void {
		const before = this.monitoredSince;
		this.monitoredSince = new Map(
			[...hosts].map((host) => [host, before?.get(host) ?? now]),
		);
	}

	/** Records that the log responded. */
	observeLogContact(now: number): void {
		this.lastLogContactAt = Math.max(this.lastLogContactAt, now);
	}

	/** Returns all other hosts with their status. */
	members(now: number): Member[] {
		return [...this.entries.values()]
			.filter((entry) => entry.host !== this.self)
			.map((entry) => ({
				host: entry.host,
				incarnation: entry.incarnation,
				failureDomain: entry.failureDomain,
				peerAddress: entry.peerAddress,
				leaving: entry.leaving,
				lastHeartbeatAt: entry.lastHeartbeatAt,
				stopped: entry.stopped,
				status: this.statusOf(entry, now),
			}));
	}

	/** Returns the other hosts that are live. */
	liveHosts(now: number): HostId[] {
		return this.members(now)
			.filter((member) => member.status === 'live')
			.map((member) => member.host);
	}

	/**
	 * True if neither the log nor any peer has been in contact within the isolation timeout.
	 * The document on this host may then be stale, so the host must refuse new work.
	 */
	isIsolated(now: number): boolean {
		let lastContact = this.lastLogContactAt;
		for (const entry of this.entries.values()) {
			if (entry.host !== this.self && entry.lastHeartbeatAt !== undefined) {
				lastContact = Math.max(lastContact, entry.lastHeartbeatAt);
			}
		}

		return now - lastContact > this.timeouts.isolatedAfterMilliseconds;
	}

	/** Removes hosts that are gone without a recorded stop, unlisted, and silent for more than ten times the gone timeout. A heartbeat or a start record adds them again. */
	removeGoneHosts(now: number): void {
		for (const entry of this.entries.values()) {
			const isRemovable =
				this.statusOf(entry, now) === 'gone' &&
				!entry.stopped &&
				this.listedStates?.has(entry.host) === false &&
				this.silentMilliseconds(entry, now) >
					this.timeouts.goneAfterMilliseconds * 10;
			if (isRemovable) {
				this.entries.delete(entry.host);
			}
		}
	}

	/** Time since the last heartbeat, or since the host was added or monitoring of it began if that is later. */
	private silentMilliseconds(entry: Entry, now: number): number {
		const monitoredSince = this.monitoredSince?.get(entry.host) ?? 0;
		return (
			now - Math.max(entry.lastHeartbeatAt ?? entry.addedAt, monitoredSince)
		);
	}

	private statusOf(entry: Entry, now: number): HostStatus {
		const silentMilliseconds = this.silentMilliseconds(entry, now);
		const listedState = this.listedStates?.get(entry.host);
		const isMonitored = this.monitoredSince?.has(entry.host) ?? true;
		const isSilent =
			isMonitored &&
			silentMilliseconds > this.timeouts.suspectAfterMilliseconds;
		if (
			entry.stopped ||
			(isMonitored && silentMilliseconds > this.timeouts.goneAfterMilliseconds)
		) {
			return 'gone';
		}

		if (isSilent) {
			// The host list lags, so a missing entry makes a host gone only if the host is also silent.
			return this.listedStates && listedState === undefined
				? 'gone'
				: 'suspect';
		}

		return entry.leaving || listedState === 'leaving' ? 'leaving' : 'live';
	}
}

// Late heartbeats of an earlier incarnation arrive within seconds, so the limit only bounds memory.
function addBounded(
	incarnations: Set<IncarnationId>,
	incarnation: IncarnationId,
): void {
	incarnations.add(incarnation);
	if (incarnations.size > 4096) {
		const oldest = incarnations.values().next();
		if (!oldest.done) {
			incarnations.delete(oldest.value);
		}
	}
}
