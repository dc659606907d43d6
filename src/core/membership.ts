import {rendezvousOrder} from '../base/common/rendezvous-hash.js';
import {type HostListEntry} from '../contracts/host-list.js';
import {
	type FailureDomain,
	type HostId,
	type IncarnationId,
} from '../contracts/ids.js';
import {type HostRecord} from './control-state.js';

/** Bounds in milliseconds. */
export type MembershipTimeouts = {
	/** A monitored host that is silent for longer is suspect. */
	readonly suspectAfterMilliseconds: number;
	/** A suspect host that is silent for longer is gone, whatever the host list says. */
	readonly goneAfterMilliseconds: number;
	/** A host without contact to the log and to any peer for longer may hold a stale document. */
	readonly isolatedAfterMilliseconds: number;
};

/** Times for heartbeats once a second. */
export const defaultMembershipTimeouts: MembershipTimeouts = {
	suspectAfterMilliseconds: 3000,
	goneAfterMilliseconds: 30_000,
	isolatedAfterMilliseconds: 10_000,
};

/** What is known about a host. Only `live` hosts get new responsibilities. */
export type HostStatus = 'live' | 'leaving' | 'suspect' | 'gone';

/** A host as its heartbeat describes it. */
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
	/** Monotonic time of the last heartbeat, or undefined if none was heard. */
	readonly lastHeartbeatAt: number | undefined;
	/** True when the run recorded that it stopped. */
	readonly stopped: boolean;
};

type Entry = HeartbeatSender & {
	readonly lastHeartbeatAt: number | undefined;
	readonly addedAt: number;
	readonly stopped: boolean;
	/** True when the run's start record was folded. */
	readonly recorded: boolean;
};

/** Selects the peers for heartbeats: all hosts of a small fleet, otherwise a bounded set and the lease holders. */
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
			...leaseHolders.filter((owner) => otherHosts.has(owner)),
		]),
	];
}

/** Which hosts are live, leaving or gone, from log records, heartbeats and the host list. */
export class Membership {
	private readonly entries = new Map<HostId, Entry>();
	/** Runs that a later start record of the same host follows. */
	private readonly superseded = new Set<IncarnationId>();
	/** Runs after which a heartbeat of another run was heard. Without a record the order is a guess. */
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

	/** Takes the hosts that the control stream names. */
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

			// A run that is known only from fresh heartbeats is usually newer than the record.
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

	/** Takes a heartbeat. Returns false for one of a run that was replaced. */
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

	/** Takes the platform's host list. */
	observeHostList(entries: readonly HostListEntry[]): void {
		this.listedStates = new Map(
			entries.map((entry) => [entry.name, entry.state]),
		);
	}

	/** Names the hosts that exchange heartbeats with this one. The silence of others says nothing. */
	setMonitoredHosts(hosts: ReadonlySet<HostId>, now: number): void {
		const before = this.monitoredSince;
		this.monitoredSince = new Map(
			[...hosts].map((host) => [host, before?.get(host) ?? now]),
		);
	}

	/** Notes that the log answered. */
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
	 * True when neither the log nor a known live peer was heard for the isolation time.
	 * The document on this host may then be stale, and it must refuse new work.
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

	/** Forgets hosts that are gone for long and no longer listed. A heartbeat or a start record brings them back. */
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

	private silentMilliseconds(entry: Entry, now: number): number {
		const monitoredSince = this.monitoredSince?.get(entry.host) ?? 0;
		return (
			now - Math.max(entry.lastHeartbeatAt ?? entry.addedAt, monitoredSince)
		);
	}

	private statusOf(entry: Entry, now: number): HostStatus {
		const silentMilliseconds = this.silentMilliseconds(entry, now);
		const listed = this.listedStates?.get(entry.host);
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
			// The host list alone removes nobody: it lags. Together with silence it decides.
			return this.listedStates && listed === undefined ? 'gone' : 'suspect';
		}

		return entry.leaving || listed === 'leaving' ? 'leaving' : 'live';
	}
}

// Late heartbeats of an earlier run arrive within seconds; the bound only limits memory.
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
