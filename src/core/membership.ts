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
	readonly knownSince: number;
	readonly stopped: boolean;
	/** True when the run's start record was folded. */
	readonly recorded: boolean;
};

/** Selects the peers for heartbeats: all hosts of a small fleet, otherwise a bounded set and the lease holders. */
export function selectHeartbeatPeers(
	self: HostId,
	hosts: readonly HostId[],
	owners: readonly HostId[],
	bound: number,
): HostId[] {
	const others = hosts.filter((host) => host !== self);
	if (others.length <= bound) {
		return others;
	}

	const known = new Set(others);
	return [
		...new Set([
			...rendezvousOrder(self, others).slice(0, bound),
			...owners.filter((owner) => known.has(owner)),
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
	private listed: ReadonlyMap<string, HostListEntry['state']> | undefined;
	private monitoredSince: ReadonlyMap<HostId, number> | undefined;
	private lastLogContactAt: number;

	constructor(
		private readonly self: HostId,
		now: number,
		private readonly times: MembershipTimeouts = defaultMembershipTimeouts,
	) {
		this.lastLogContactAt = now;
	}

	/** Takes the hosts that the control stream names. */
	observeRecords(hosts: Iterable<HostRecord>, now: number): void {
		for (const record of hosts) {
			const known = this.entries.get(record.host);
			const isNew =
				record.startedOffset > (this.startOffsets.get(record.host) ?? -1);
			this.startOffsets.set(record.host, record.startedOffset);
			if (known?.incarnation === record.incarnation) {
				this.entries.set(record.host, {
					...known,
					stopped: record.stopped,
					recorded: true,
				});
				continue;
			}

			// A run that is known only from fresh heartbeats is usually newer than the record.
			const isHeard =
				known?.lastHeartbeatAt !== undefined &&
				now - known.lastHeartbeatAt <= this.times.suspectAfterMilliseconds;
			if (!isNew || (known && !known.recorded && isHeard)) {
				continue;
			}

			if (known?.recorded) {
				remember(this.superseded, known.incarnation);
			}

			this.replaced.delete(record.incarnation);
			this.entries.set(record.host, {
				host: record.host,
				incarnation: record.incarnation,
				failureDomain: record.failureDomain,
				peerAddress: record.peerAddress,
				leaving: false,
				lastHeartbeatAt: undefined,
				knownSince: now,
				stopped: record.stopped,
				recorded: true,
			});
		}
	}

	/** Takes a heartbeat. Returns false for one of a run that was replaced. */
	observeHeartbeat(heard: HeartbeatSender, now: number): boolean {
		if (heard.host === this.self || this.superseded.has(heard.incarnation)) {
			return false;
		}

		const known = this.entries.get(heard.host);
		const sameRun = known?.incarnation === heard.incarnation;
		if (!sameRun && known) {
			const isKnownHeard =
				known.lastHeartbeatAt !== undefined &&
				now - known.lastHeartbeatAt <= this.times.suspectAfterMilliseconds;
			if (isKnownHeard && this.replaced.has(heard.incarnation)) {
				return false;
			}

			remember(this.replaced, known.incarnation);
		}

		this.entries.set(heard.host, {
			...heard,
			lastHeartbeatAt: now,
			knownSince: sameRun ? known.knownSince : now,
			stopped: sameRun && known.stopped,
			recorded: sameRun && known.recorded,
		});
		return true;
	}

	/** Takes the platform's host list. */
	observeHostList(entries: readonly HostListEntry[]): void {
		this.listed = new Map(entries.map((entry) => [entry.name, entry.state]));
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
				status: this.status(entry, now),
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

		return now - lastContact > this.times.isolatedAfterMilliseconds;
	}

	/** Forgets hosts that are gone for long and no longer listed. A heartbeat or a start record brings them back. */
	removeGoneHosts(now: number): void {
		for (const entry of this.entries.values()) {
			const isForgettable =
				this.status(entry, now) === 'gone' &&
				!entry.stopped &&
				this.listed?.has(entry.host) === false &&
				this.silence(entry, now) > this.times.goneAfterMilliseconds * 10;
			if (isForgettable) {
				this.entries.delete(entry.host);
			}
		}
	}

	private silence(entry: Entry, now: number): number {
		const monitoredSince = this.monitoredSince?.get(entry.host) ?? 0;
		return (
			now - Math.max(entry.lastHeartbeatAt ?? entry.knownSince, monitoredSince)
		);
	}

	private status(entry: Entry, now: number): HostStatus {
		const silence = this.silence(entry, now);
		const listed = this.listed?.get(entry.host);
		const isMonitored = this.monitoredSince?.has(entry.host) ?? true;
		const isSilent =
			isMonitored && silence > this.times.suspectAfterMilliseconds;
		if (
			entry.stopped ||
			(isMonitored && silence > this.times.goneAfterMilliseconds)
		) {
			return 'gone';
		}

		if (isSilent) {
			// The host list alone removes nobody: it lags. Together with silence it decides.
			return this.listed && listed === undefined ? 'gone' : 'suspect';
		}

		return entry.leaving || listed === 'leaving' ? 'leaving' : 'live';
	}
}

// Late heartbeats of an earlier run arrive within seconds; the bound only limits memory.
function remember(runs: Set<IncarnationId>, run: IncarnationId): void {
	runs.add(run);
	if (runs.size > 4096) {
		const oldest = runs.values().next();
		if (!oldest.done) {
			runs.delete(oldest.value);
		}
	}
}
