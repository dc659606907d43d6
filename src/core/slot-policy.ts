import {rendezvousOrder} from '../base/common/rendezvous-hash.js';
import {type HostId, type TargetId} from '../contracts/ids.js';
import {type TargetLoad} from './target-view.js';

/** Settings of the slots. */
export type SlotPolicyOptions = {
	readonly host: HostId;
	/** Share of the slots of a target that long work may use. The others are reserved for short work. */
	readonly longShare?: number;
	/** Requests sent beyond the slots, so that a target does not wait for the next one to arrive. */
	readonly extraOutstanding?: number;
};

/**
 * Decides whether a target has room for work of this host. The long slots of each target are divided
 * over the hosts, because hosts do not see each other's long work and could fill all slots together.
 */
export class SlotPolicy {
	private readonly host: HostId;
	private readonly longShare: number;
	private readonly extraOutstanding: number;
	private hosts: readonly HostId[];
	private readonly orders = new Map<TargetId, number>();

	constructor(options: SlotPolicyOptions) {
		this.host = options.host;
		this.longShare = options.longShare ?? 0.5;
		this.extraOutstanding = options.extraOutstanding ?? 0;
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
	hasRoom(load: TargetLoad, isLong: boolean, isAged: boolean): boolean {
		const outstanding = load.ownOutstanding + load.otherOutstanding;
		// A host whose own work alone fills the target never sends more; reports of others are estimates.
		if (
			load.leaving ||
			load.ownOutstanding >= load.slots ||
			outstanding >= load.slots + this.extraOutstanding
		) {
			return false;
		}

		if (!isLong) {
			return true;
		}

		const own = this.ownLongSlots(load.target, load.slots);
		// A host without a long slot on any target of a model would otherwise never run its long work.
		return load.ownLong < (isAged ? Math.max(1, own) : own);
	}
}
