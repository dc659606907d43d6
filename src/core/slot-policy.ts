import {rendezvousOrder} from '../base/common/rendezvous-hash.js';
import {type HostId, type TargetId} from '../contracts/ids.js';
import {type TargetLoad} from './target-view.js';

/** Settings of the slots. */
export type SlotPolicyOptions = {
	readonly host: HostId;
	/** Share of the slots of a target that long work may use. The others are reserved for short work. */
	readonly longShare?: number;
	/** Work sent beyond the slots, as a share of them. Hosts see each other's work late; without it slots stay empty at high load. */
	readonly extraShare?: number;
};

/**
 * Decides whether a target has room for work of this host. The long slots of each target are divided
 * over the hosts, because hosts do not see each other's long work and could fill all slots together.
 */
export class SlotPolicy {
	private readonly host: HostId;
	private readonly longShare: number;
	private readonly extraShare: number;
	private hosts: readonly HostId[];
	private readonly orders = new Map<TargetId, number>();

	constructor(options: SlotPolicyOptions) {
		this.host = options.host;
		this.longShare = options.longShare ?? 0.5;
		this.extraShare = options.extraShare ?? 0.5;
		this.hosts = [options.host];
	}

	/** Sets the live hosts, this one included. */
	setHosts(hosts: readonly HostId[]): void {
		this.hosts = hosts.includes(this.host) ? hosts : [...hosts, this.host];
		this.orders.clear();
	}

	/** Number of slots of a target that all hosts together use for long work. */
	longSlots(slots: number): number {
		return Math.max(1, Math.floor(slots * this.longShare));
	}

	/** Number of slots of a target that this host uses for long work. */
	ownLongSlots(target: TargetId, slots: number): number {
		let position = this.orders.get(target);
		if (position === undefined) {
			position = rendezvousOrder(target, this.hosts).indexOf(this.host);
			this.orders.set(target, position);
		}

		const total = this.longSlots(slots);
		const remainder = total % this.hosts.length;
		return (
			Math.floor(total / this.hosts.length) + (position < remainder ? 1 : 0)
		);
	}

	/** Returns whether the target has room for one more request. */
	hasRoom(load: TargetLoad, isLong: boolean): boolean {
		const limit = load.slots * (1 + this.extraShare);
		if (load.leaving || load.ownOutstanding + 1 > limit) {
			return false;
		}

		const outstanding = load.ownOutstanding + load.otherOutstanding;
		// Within its part of the slots a host needs no room by the reports, which are late; the parts add up to the limit.
		const isWithinShare = load.ownOutstanding + 1 <= limit / this.hosts.length;
		if (!isWithinShare && outstanding + 1 > limit) {
			return false;
		}

		return !isLong || load.ownLong < this.ownLongSlots(load.target, load.slots);
	}

	/**
	 * Returns whether aged long work may use a target without a long slot of this host. It may only if the host has no
	 * long slot on any target of the work and runs no long work there: then nothing else would ever run it. Without the
	 * first condition, hosts with many summaries filled all slots with them.
	 */
	mayExceedShare(loads: readonly TargetLoad[]): boolean {
		return loads.every(
			({target, slots, ownLong}) =>
				ownLong === 0 && this.ownLongSlots(target, slots) === 0,
		);
	}
}
