import {type HostId, type TargetId} from '../contracts/ids.js';
import {type TargetLoad} from './target-load-tracker.js';

/** Settings of the slots. */
export type SlotPolicyOptions = {
	readonly host: HostId;
	/** Share of the slots of a target that long work may use. The others are reserved for short work. */
	readonly longShare?: number;
	/** Work sent beyond the slots, as a share of them. Hosts see each other's work late; without it slots stay empty at high load. */
	readonly overcommitShare?: number;
};

/**
 * Decides whether a target has room for work of this host. The long slots of each target are divided
 * over the hosts, because hosts do not see each other's long work and could fill all slots together.
 */
export class SlotPolicy {
	private readonly host: HostId;
	private readonly longShare: number;
	private readonly overcommitShare: number;
	private hosts: readonly HostId[];
	private readonly targetSlots = new Map<TargetId, number>();
	private ownSlots: ReadonlyMap<TargetId, number> = new Map();

	constructor(options: SlotPolicyOptions) {
		this.host = options.host;
		this.longShare = options.longShare ?? 0.5;
		this.overcommitShare = options.overcommitShare ?? 1;
		this.hosts = [options.host];
	}

	/** Sets the live hosts, this one included. */
	setHosts(hosts: readonly HostId[]): void {
		this.hosts = [...new Set([...hosts, this.host])].sort();
		this.divide();
	}

	/** Adds a target of the pool or changes its slots. */
	setTarget(target: TargetId, slots: number): void {
		if (this.targetSlots.get(target) !== slots) {
			this.targetSlots.set(target, slots);
			this.divide();
		}
	}

	/** Forgets a target. */
	removeTarget(target: TargetId): void {
		this.targetSlots.delete(target);
		this.divide();
	}

	/** Number of slots of a target that all hosts together use for long work. */
	longSlots(slots: number): number {
		return Math.max(1, Math.floor(slots * this.longShare));
	}

	/** Number of slots of a target that this host uses for long work. */
	localLongSlots(target: TargetId): number {
		return this.ownSlots.get(target) ?? 0;
	}

	/** Returns whether the target has room for one more request. */
	hasCapacity(load: TargetLoad, isLong: boolean): boolean {
		const limit = load.slots * (1 + this.overcommitShare);
		if (load.leaving || load.localOutstanding + 1 > limit) {
			return false;
		}

		const outstanding = load.localOutstanding + load.remoteOutstanding;
		// Within its part of the slots a host needs no room by the reports, which are late; the parts add up to the limit.
		const isWithinShare =
			load.localOutstanding + 1 <= limit / this.hosts.length;
		if (!isWithinShare && outstanding + 1 > limit) {
			return false;
		}

		return !isLong || load.localLong < this.localLongSlots(load.target);
	}

	/**
	 * Returns whether aged long work may use a target without a long slot of this host. It may only if the host has no
	 * long slot on any target of the work and runs no long work there: then nothing else would ever run it. Without the
	 * first condition, hosts with many summaries filled all slots with them.
	 */
	mayExceedLongSlots(loads: readonly TargetLoad[]): boolean {
		return loads.every(
			({target, localLong: ownLong}) =>
				ownLong === 0 && this.localLongSlots(target) === 0,
		);
	}

	/**
	 * Deals the long slots of all targets to the hosts in turn. A hash per target left some hosts with a third of the
	 * slots of others, so that their long work piled up while slots of others stayed empty.
	 */
	private divide(): void {
		const own = new Map<TargetId, number>();
		const position = this.hosts.indexOf(this.host);
		const count = this.hosts.length;
		let dealt = 0;
		for (const target of [...this.targetSlots.keys()].sort()) {
			const total = this.longSlots(this.targetSlots.get(target)!);
			const distance = (position - (dealt % count) + count) % count;
			own.set(
				target,
				Math.floor(total / count) + (distance < total % count ? 1 : 0),
			);
			dealt += total;
		}

		this.ownSlots = own;
	}
}
