import {TypedEvent} from '../../base/common/typed-event.js';
import {
	type TargetDefinition,
	type WeightStoreLimits,
} from '../../contracts/fleet-document.js';
import {type Engine, type TargetReport} from '../../contracts/engine.js';
import {placementEvents} from '../../contracts/events/placement-events.js';
import {
	type FencingToken,
	type OrderId,
	type TargetId,
} from '../../contracts/ids.js';
import {FencedOrderLedger} from '../../core/orders/fenced-order-ledger.js';
import {LoadPacer, type BudgetShare} from '../../core/placement/load-pacer.js';
import {RecordedOrderLedger} from '../../core/orders/recorded-order-ledger.js';
import {
	TargetReconciler,
	TargetPlanView,
	type UnappliedOutcome,
	type GroupLease,
	type ReconcilerDependencies,
} from './target-reconciler.js';

/** A group: the targets of a pool in one failure domain, as the document in force defines them. */
export type GroupDefinition = {
	/** Whether the targets refuse orders with an outdated fencing token. */
	readonly honoursFencing: boolean;
	readonly targets: readonly TargetDefinition[];
	/** Load limits of the weight store for the whole fleet. */
	readonly limits: WeightStoreLimits;
	/** The group's share of the weight store's load budget, which all engine groups divide among them. */
	readonly share: BudgetShare;
};

/** The part of the control state that concerns one group. */
export abstract class GroupView extends TargetPlanView {
	/** The group, or undefined if the document does not define it. */
	abstract group(): GroupDefinition | undefined;
}

/** Dependencies and settings of the reconciler of a group. */
export type GroupReconcilerOptions = ReconcilerDependencies & {
	readonly lease: GroupLease;
	readonly view: GroupView;
	/** Returns the connection to a target. */
	readonly engineOf: (target: TargetDefinition) => Engine;
	/** Time between reconciliation passes, 250 by default. */
	readonly intervalMilliseconds?: number;
	/** Shortest time between two claims of the held lease that free memory, 2000 by default. */
	readonly minimumReclaimIntervalMilliseconds?: number;
};

/**
 * Reconciles the targets of a pool in one failure domain with the plan while this host holds the group lease.
 * A process must have only one reconciler for each group: a second one would not account for the orders that
 * the first one sent under the same token.
 */
export class GroupReconciler {
	/** Fires when a report of a target of the group arrives. */
	readonly reportReceived = new TypedEvent<TargetReport>();

	private readonly reconcilers = new Map<TargetId, TargetReconciler>();
	private readonly unappliedOrders = new Map<OrderId, UnappliedOutcome>();
	private pacer: LoadPacer | undefined;
	private token: FencingToken | undefined;
	private reclaimedAt = Number.NEGATIVE_INFINITY;
	private isReclaiming = false;
	private isSettling = false;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: GroupReconcilerOptions) {}

	/** Starts periodic reconciliation. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.reconcile();
		}, this.options.intervalMilliseconds ?? 250);
	}

	/** The reconciler of a target, or undefined if this host has not reconciled it. */
	reconcilerOf(target: TargetId): TargetReconciler | undefined {
		return this.reconcilers.get(target);
	}

	/** Runs one pass over all targets. Skips a target whose earlier pass has not ended. */
	async reconcile(): Promise<void> {
		const token = this.options.lease.token();
		if (token !== undefined && token !== this.token) {
			// Another host may have held the lease in between, so the earlier state is no longer valid. Under an
			// unchanged token the ledgers are kept, because a fence with that token does not void lost orders.
			this.discardReconcilers();
			this.token = token;
		}

		const group = this.options.view.group();
		const reconcilers =
			token !== undefined && group ? this.updateReconcilers(group) : [];
		await Promise.all([
			...reconcilers.map(async (reconciler) => reconciler.reconcile()),
			this.settleUnappliedOrders(group),
		]);
		await this.reclaimLease();
	}

	/** Stops reconciliation. The next lease holder continues to charge the orders that were sent. */
	dispose(): void {
		clearInterval(this.timer);
		this.timer = undefined;
		this.discardReconcilers();
	}

	/**
	 * Returns the reconcilers of the targets in the document, creating missing ones. Reconcilers of removed
	 * targets are kept with their ledgers.
	 */
	private updateReconcilers(group: GroupDefinition): TargetReconciler[] {
		const {clock} = this.options;
		this.pacer ??= new LoadPacer(group.limits, group.share, clock.monotonic());
		this.pacer.configure(group.limits, group.share);
		const reconcilers: TargetReconciler[] = [];
		for (const definition of group.targets) {
			const {id: target, memoryBytes} = definition;
			let reconciler = this.reconcilers.get(target);
			const Ledger = group.honoursFencing
				? FencedOrderLedger
				: RecordedOrderLedger;
			if (!(reconciler?.ledger instanceof Ledger)) {
				reconciler?.releaseLoads();
				reconciler = this.createReconciler(
					definition,
					new Ledger({target, memoryBytes}),
					this.pacer,
				);
				this.reconcilers.set(target, reconciler);
			}

			reconciler.ledger.resize(memoryBytes);
			reconcilers.push(reconciler);
		}

		return reconcilers;
	}

	private createReconciler(
		definition: TargetDefinition,
		ledger: FencedOrderLedger | RecordedOrderLedger,
		pacer: LoadPacer,
	): TargetReconciler {
		const target = definition.id;
		const reconciler: TargetReconciler = new TargetReconciler({
			...this.options,
			target,
			// A replaced reconciler may still be in the middle of a pass and must not record anything more.
			token: () =>
				this.options.lease.token() === this.token &&
				this.reconcilers.get(target) === reconciler
					? this.token
					: undefined,
			engine: this.options.engineOf(definition),
			ledger,
			pacer,
			onReport: (report) => {
				this.reportReceived.publish(report);
			},
			onOrderUnapplied: (orderId, outcome) => {
				this.unappliedOrders.set(orderId, outcome);
			},
		});
		return reconciler;
	}

	private discardReconcilers(): void {
		for (const reconciler of this.reconcilers.values()) {
			reconciler.releaseLoads();
		}

		this.reconcilers.clear();
	}

	/** Records the outcome of own orders that were never applied, even after the lease was lost. */
	private async settleUnappliedOrders(
		group: GroupDefinition | undefined,
	): Promise<void> {
		if (this.unappliedOrders.size === 0 || this.isSettling || !group) {
			return;
		}

		const {view, log, incarnation, events} = this.options;
		const orders = group.targets
			.flatMap(({id}) => view.openIntents(id))
			.flatMap(({orderId}) => {
				const outcome = this.unappliedOrders.get(orderId);
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
			this.unappliedOrders.delete(orderId);
		}

		events.record(placementEvents.intentsSettled, {
			orders: orders.map(({orderId}) => orderId),
			isConfirmed: true,
		});
	}

	/** Claims the held lease again if a target needs a newer token. */
	private async reclaimLease(): Promise<void> {
		const {lease, clock, events} = this.options;
		const waiting = [...this.reconcilers.values()].filter(
			({needsNewerToken}) => needsNewerToken,
		);
		const now = clock.monotonic();
		if (
			waiting.length === 0 ||
			this.isReclaiming ||
			!lease.isConfirmed() ||
			now - this.reclaimedAt <
				(this.options.minimumReclaimIntervalMilliseconds ?? 2000)
		) {
			return;
		}

		this.isReclaiming = true;
		this.reclaimedAt = now;
		const token = await lease.reclaim(
			'a fence with a newer token frees charged memory',
		);
		this.isReclaiming = false;
		if (token.isErr()) {
			return;
		}

		this.token = token.value;
		for (const reconciler of waiting) {
			reconciler.scheduleFence(token.value);
		}

		events.record(placementEvents.leaseReclaimed, {
			lease: lease.name,
			token: token.value,
		});
	}
}
