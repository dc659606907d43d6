import {type HostId, type TargetId} from '../../contracts/ids.js';
import {remoteSpread} from './slot-reservation.js';
import {type TargetLoad} from './target-load-tracker.js';

/** Settings of the slot policy. */
export type SlotPolicyOptions = {
	/** This host. */
	readonly host: HostId;
	/** Share of the slots of a target that long work may use. The others are reserved for short work. */
	readonly longShare?: number;
	/** Requests sent in excess of the slots of a target, as a share of the slots. Without it slots stay empty at high load, because hosts see each other's requests late. */
	readonly overcommitShare?: number;
	/** True to allow for the age of reported loads where the share of this host is far below one request. */
	readonly allowsForReportAge?: boolean;
};

/** Equal share of a target, in requests, below which a host cannot rely on it. */
const minimumShare = 0.5;

/**
 * Decides whether a target has capacity for another request of this host. The long slots of each target are divided
 * among the hosts, because hosts do not see each other's long work and together could fill all slots with it.
 */
export class SlotPolicy {
	private readonly host: HostId;
	private readonly longShare: number;
	private readonly overcommitShare: number;
	private readonly allowsForReportAge: boolean;
	private hosts: readonly HostId[];
	/** Number of hosts that share the targets. Without their names, all long slots count as those of this host. */
	private hostCount = 1;
	private readonly targetSlots = new Map<TargetId, number>();
	private localSlots: ReadonlyMap<TargetId, number> = new Map();

	constructor(options: SlotPolicyOptions) {
		this.host = options.host;
		this.longShare = options.longShare ?? 0.5;
		this.overcommitShare = options.overcommitShare ?? 1;
		this.allowsForReportAge = options.allowsForReportAge ?? false;
		this.hosts = [options.host];
	}

	/** Sets the live hosts. This host is always included. */
	setHosts(hosts: readonly HostId[]): void {
		this.hosts = [...new Set([...hosts, this.host])].sort();
		this.hostCount = this.hosts.length;
		this.distributeLongSlots();
	}

	/** Sets the number of live hosts, where their names are unknown. */
	setHostCount(count: number): void {
		this.hostCount = Math.max(1, count);
	}

	/** Adds a target or changes its number of slots. */
	setTarget(target: TargetId, slots: number): void {
		if (this.targetSlots.get(target) !== slots) {
			this.targetSlots.set(target, slots);
			this.distributeLongSlots();
		}
	}

	/** Removes a target. */
	removeTarget(target: TargetId): void {
		this.targetSlots.delete(target);
		this.distributeLongSlots();
	}

	/** Number of slots that all hosts together may use for long work on a target with this many slots. */
	longSlots(slots: number): number {
		return Math.max(1, Math.floor(slots * this.longShare));
	}

	/** Number of slots of a target that this host may use for long work. */
	localLongSlots(target: TargetId): number {
		return this.localSlots.get(target) ?? 0;
	}

	/** Returns whether the target has capacity for one more request. */
	hasCapacity(load: TargetLoad, isLong: boolean): boolean {
		const limit = load.slots * (1 + this.overcommitShare);
		if (load.leaving || load.localOutstanding + 1 > limit) {
			return false;
		}

		const outstanding =
			load.localOutstanding +
			(this.isShareNegligible(limit) && load.localOutstanding === 0
				? Math.max(0, load.remoteOutstanding - remoteSpread(load))
				: load.remoteOutstanding);
		// Within its equal share of the limit a host ignores the remote load, which is reported late; the shares add up to the limit.
		const isWithinHostShare =
			load.localOutstanding + 1 <= limit / this.hostCount;
		if (!isWithinHostShare && outstanding + 1 > limit) {
			return false;
		}

		return !isLong || load.localLong < this.localLongSlots(load.target);
	}

	/**
	 * Returns whether long work past the aging threshold may run without a long slot of this host. It may only if this
	 * host has no long slot on any of the given targets and runs no long work there, because then it would never run.
	 * Without the first condition, hosts with many long requests, such as summaries, filled all slots with them.
	 */
	mayExceedLongSlots(loads: readonly TargetLoad[]): boolean {
		return loads.every(
			({target, localLong}) =>
				localLong === 0 && this.localLongSlots(target) === 0,
		);
	}

	/**
	 * True when a host's equal share of a target is far below one request. The host then depends on the reported load, and
	 * hosts that have requests at the target see free slots first, so without an allowance for the age of the report the
	 * others would refuse most of their requests.
	 */
	private isShareNegligible(limit: number): boolean {
		return this.allowsForReportAge && limit / this.hostCount < minimumShare;
	}

	/**
	 * Assigns the long slots of all targets to the hosts in round-robin order. Assignment by a hash per target left some
	 * hosts with a third of the slots of others, so that their long work queued up while slots of others stayed empty.
	 */
	private distributeLongSlots(): void {
		const localSlots = new Map<TargetId, number>();
		const position = this.hosts.indexOf(this.host);
		const count = this.hosts.length;
		let assigned = 0;
		for (const target of [...this.targetSlots.keys()].sort()) {
			const total = this.longSlots(this.targetSlots.get(target)!);
			const distance = (position - (assigned % count) + count) % count;
			localSlots.set(
				target,
				Math.floor(total / count) + (distance < total % count ? 1 : 0),
			);
			assigned += total;
		}

		this.localSlots = localSlots;
	}
}
