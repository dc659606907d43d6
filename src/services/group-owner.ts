import {TypedEvent} from '../base/common/typed-event.js';
import {
	type TargetDefinition,
	type WeightStoreLimits,
} from '../contracts/fleet-document.js';
import {type Engine, type TargetReport} from '../contracts/engine.js';
import {placementEvents} from '../contracts/events/placement-events.js';
import {
	type FencingToken,
	type OrderId,
	type TargetId,
} from '../contracts/ids.js';
import {FencedOrderLedger} from '../core/fenced-order-ledger.js';
import {LoadPacer, type BudgetShare} from '../core/load-pacer.js';
import {RecordedOrderLedger} from '../core/recorded-order-ledger.js';
import {
	TargetOwner,
	TargetPlanView,
	type ClosedOutcome,
	type GroupLease,
	type OwnerCollaborators,
} from './target-owner.js';

/** A group as the document in force describes it. */
export type GroupDefinition = {
	readonly honoursFencing: boolean;
	readonly targets: readonly TargetDefinition[];
	readonly limits: WeightStoreLimits;
	/** The part of the store's budget, divided among all groups of engines. */
	readonly share: BudgetShare;
};

/** What the folded control state says about one group. */
export abstract class GroupView extends TargetPlanView {
	/** The group, or undefined when the document has none. */
	abstract group(): GroupDefinition | undefined;
}

/** Options of the owner of a group. */
export type GroupOwnerOptions = OwnerCollaborators & {
	readonly lease: GroupLease;
	readonly view: GroupView;
	readonly engineOf: (target: TargetDefinition) => Engine;
	readonly pollMilliseconds?: number;
	/** Shortest time between two claims of the held lease for the sake of memory. */
	readonly reclaimMilliseconds?: number;
};

/** Brings the targets of a pool in a failure domain to the plan while this host holds the group lease. */
export class GroupOwner {
	/** A report of a target of the group arrived. */
	readonly reportReceived = new TypedEvent<TargetReport>();

	private readonly owners = new Map<TargetId, TargetOwner>();
	private readonly closedOrders = new Map<OrderId, ClosedOutcome>();
	private pacer: LoadPacer | undefined;
	private token: FencingToken | undefined;
	private reclaimedAt = Number.NEGATIVE_INFINITY;
	private isReclaiming = false;
	private isSettling = false;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: GroupOwnerOptions) {}

	/** Starts to step regularly. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.step();
		}, this.options.pollMilliseconds ?? 250);
	}

	/** The owner of a target, for metrics and explanations. */
	ownerOf(target: TargetId): TargetOwner | undefined {
		return this.owners.get(target);
	}

	/** One pass over all targets. A target that still works on an earlier pass is left alone. */
	async step(): Promise<void> {
		const token = this.options.lease.token();
		if (token === undefined || token !== this.token) {
			// Another host may have held the lease in between, so nothing known before counts.
			this.discardOwners();
			this.token = token;
		}

		const group = this.options.view.group();
		if (token !== undefined && group) {
			this.updateOwners(group);
		} else {
			this.discardOwners();
		}

		await Promise.all([
			...[...this.owners.values()].map(async (owner) => owner.step()),
			this.settleClosed(group),
		]);
		await this.reclaim();
	}

	/** Stops to step. Orders that were sent stay charged by the next holder. */
	dispose(): void {
		clearInterval(this.timer);
		this.timer = undefined;
		this.discardOwners();
	}

	private updateOwners(group: GroupDefinition): void {
		const {clock, lease, view, engineOf} = this.options;
		this.pacer ??= new LoadPacer(group.limits, group.share, clock.monotonic());
		this.pacer.configure(group.limits, group.share);
		const present = new Set(group.targets.map(({id}) => id));
		for (const [id, owner] of this.owners) {
			if (!present.has(id)) {
				owner.release();
				this.owners.delete(id);
			}
		}

		for (const definition of group.targets) {
			const {id: target, memoryBytes} = definition;
			const known = this.owners.get(target);
			const Ledger = group.honoursFencing
				? FencedOrderLedger
				: RecordedOrderLedger;
			if (known?.ledger instanceof Ledger) {
				known.ledger.resize(memoryBytes);
				continue;
			}

			known?.release();
			this.owners.set(
				target,
				new TargetOwner({
					...this.options,
					target,
					engine: engineOf(definition),
					ledger: new Ledger({target, memoryBytes}),
					lease,
					view,
					pacer: this.pacer,
					onReport: (report) => {
						this.reportReceived.publish(report);
					},
					onClosed: (orderId, outcome) => {
						this.closedOrders.set(orderId, outcome);
					},
				}),
			);
		}
	}

	private discardOwners(): void {
		for (const owner of this.owners.values()) {
			owner.release();
		}

		this.owners.clear();
	}

	/** Settles own orders without effect, also after the lease was lost. */
	private async settleClosed(
		group: GroupDefinition | undefined,
	): Promise<void> {
		if (this.closedOrders.size === 0 || this.isSettling || !group) {
			return;
		}

		const {view, log, incarnation, events} = this.options;
		const orders = group.targets
			.flatMap(({id}) => view.openIntents(id))
			.flatMap(({orderId}) => {
				const outcome = this.closedOrders.get(orderId);
				return outcome ? [{orderId, outcome}] : [];
			});
		if (orders.length === 0) {
			return;
		}

		this.isSettling = true;
		const result = await log.submit({
			kind: 'orders-settled',
			orders,
			by: incarnation,
		});
		this.isSettling = false;
		if (result.isErr()) {
			return;
		}

		for (const {orderId} of orders) {
			this.closedOrders.delete(orderId);
		}

		events.record(placementEvents.ordersSettled, {
			orders: orders.map(({orderId}) => orderId),
			isConfirmed: true,
		});
	}

	/** Claims the held lease again when a target needs a newer token. */
	private async reclaim(): Promise<void> {
		const {lease, clock, events} = this.options;
		const waiting = [...this.owners.values()].filter(
			({wantsToken}) => wantsToken,
		);
		const now = clock.monotonic();
		if (
			waiting.length === 0 ||
			this.isReclaiming ||
			!lease.isConfirmed() ||
			now - this.reclaimedAt < (this.options.reclaimMilliseconds ?? 2000)
		) {
			return;
		}

		this.isReclaiming = true;
		this.reclaimedAt = now;
		const token = await lease.claimAgain(
			'a fence with a newer token frees charged memory',
		);
		this.isReclaiming = false;
		if (token.isErr()) {
			return;
		}

		this.token = token.value;
		for (const owner of waiting) {
			owner.refence(token.value);
		}

		events.record(placementEvents.leaseReclaimed, {
			lease: lease.name,
			token: token.value,
		});
	}
}
