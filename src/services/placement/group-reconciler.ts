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
import {FencedOrderLedger} from '../../core/fenced-order-ledger.js';
import {LoadPacer, type BudgetShare} from '../../core/load-pacer.js';
import {RecordedOrderLedger} from '../../core/recorded-order-ledger.js';
import {
	TargetReconciler,
	TargetPlanView,
	type UnappliedOutcome,
	type GroupLease,
	type ReconcilerDependencies,
} from './target-reconciler.js';

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
export type GroupReconcilerOptions = ReconcilerDependencies & {
	readonly lease: GroupLease;
	readonly view: GroupView;
	readonly engineOf: (target: TargetDefinition) => Engine;
	readonly intervalMilliseconds?: number;
	/** Shortest time between two claims of the held lease for the sake of memory. */
	readonly minimumReclaimIntervalMilliseconds?: number;
};

/**
 * Brings the targets of a pool in a failure domain to the plan while this host holds the group lease.
 * A process has one owner for each group: a second one would not know the orders under the same token.
 */
export class GroupReconciler {
	/** A report of a target of the group arrived. */
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

	/** Starts to step regularly. */
	start(): void {
		this.timer ??= setInterval(() => {
			void this.reconcile();
		}, this.options.intervalMilliseconds ?? 250);
	}

	/** The owner of a target, for metrics and explanations. */
	reconcilerOf(target: TargetId): TargetReconciler | undefined {
		return this.reconcilers.get(target);
	}

	/** One pass over all targets. A target that still works on an earlier pass is left alone. */
	async reconcile(): Promise<void> {
		const token = this.options.lease.token();
		if (token !== undefined && token !== this.token) {
			// Another host may have held the lease in between, so nothing known before counts. Under an
			// unchanged token the ledgers stay, because a fence with that token voids no lost order.
			this.discardReconcilers();
			this.token = token;
		}

		const group = this.options.view.group();
		const present =
			token !== undefined && group ? this.updateReconcilers(group) : [];
		await Promise.all([
			...present.map(async (owner) => owner.reconcile()),
			this.settleUnappliedOrders(group),
		]);
		await this.reclaimLease();
	}

	/** Stops to step. Orders that were sent stay charged by the next holder. */
	dispose(): void {
		clearInterval(this.timer);
		this.timer = undefined;
		this.discardReconcilers();
	}

	/** Returns the owners of the targets that the document names. The others keep their ledgers. */
	private updateReconcilers(group: GroupDefinition): TargetReconciler[] {
		const {clock} = this.options;
		this.pacer ??= new LoadPacer(group.limits, group.share, clock.monotonic());
		this.pacer.configure(group.limits, group.share);
		const present: TargetReconciler[] = [];
		for (const definition of group.targets) {
			const {id: target, memoryBytes} = definition;
			let owner = this.reconcilers.get(target);
			const Ledger = group.honoursFencing
				? FencedOrderLedger
				: RecordedOrderLedger;
			if (!(owner?.ledger instanceof Ledger)) {
				owner?.releaseLoads();
				owner = this.createReconciler(
					definition,
					new Ledger({target, memoryBytes}),
					this.pacer,
				);
				this.reconcilers.set(target, owner);
			}

			owner.ledger.resize(memoryBytes);
			present.push(owner);
		}

		return present;
	}

	private createReconciler(
		definition: TargetDefinition,
		ledger: FencedOrderLedger | RecordedOrderLedger,
		pacer: LoadPacer,
	): TargetReconciler {
		const target = definition.id;
		const owner: TargetReconciler = new TargetReconciler({
			...this.options,
			target,
			// A replaced owner can still be in the middle of a step and must record nothing more.
			token: () =>
				this.options.lease.token() === this.token &&
				this.reconcilers.get(target) === owner
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
		return owner;
	}

	private discardReconcilers(): void {
		for (const owner of this.reconcilers.values()) {
			owner.releaseLoads();
		}

		this.reconcilers.clear();
	}

	/** Settles own orders without effect, also after the lease was lost. */
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

	/** Claims the held lease again when a target needs a newer token. */
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
		for (const owner of waiting) {
			owner.scheduleFence(token.value);
		}

		events.record(placementEvents.leaseReclaimed, {
			lease: lease.name,
			token: token.value,
		});
	}
}
