import {err, ok, type Result} from 'neverthrow';
import {type Artifact} from '../../contracts/artifact.js';
import {type OrderIntent} from '../../contracts/control-record.js';
import {type EngineOrder, type TargetReport} from '../../contracts/engine.js';
import {
	type ArtifactKey,
	type FencingToken,
	type OrderId,
} from '../../contracts/ids.js';
import {
	OrderLedger,
	OrderLedgerError,
	type PendingLoad,
} from './order-ledger.js';

/**
 * Ledger of a target that ignores fencing and carries out each order id at most once.
 *
 * An order is sent only after its intent was accepted in the control stream, and each order id is sent only once. An
 * intent stays charged, whichever host wrote it, until the baseline is a report that confirms it. A report confirms an
 * order if it lists the order, if it acknowledges the order, or if it acknowledges another order that was sent after
 * the control stream had settled this one.
 */
export class RecordedOrderLedger extends OrderLedger {
	private token: FencingToken | undefined;
	private pendingFence: OrderId | undefined;
	/** Intents of this holder that are not yet in the control state. */
	private readonly submittedIntents = new Map<OrderId, OrderIntent>();
	/** Intents that are open in the control state. */
	private openIntents = new Map<OrderId, OrderIntent>();
	/** Intents that are settled in the control state but not yet confirmed by a report. */
	private readonly settledIntents = new Map<OrderId, OrderIntent>();
	/** Open or submitted orders whose effect, if they have one, is part of the baseline. */
	private readonly confirmed = new Set<OrderId>();
	/** Settled orders, by order that was sent after they had been settled and whose acknowledgement confirms them. */
	private readonly confirmableBy = new Map<OrderId, ReadonlySet<OrderId>>();

	/** True when orders can be prepared: the ledger is fenced, and reports have confirmed all settled orders. */
	override get isReady(): boolean {
		return super.isReady && this.settledIntents.size === 0;
	}

	/** Open intents whose effect is part of the baseline. The lease holder settles them as applied. */
	get confirmedOrders(): readonly OrderId[] {
		return [...this.openIntents.keys()].filter((orderId) =>
			this.confirmed.has(orderId),
		);
	}

	/** Replaces the open intents by those of the target in the control state. Has to be called before each decision. */
	synchronize(openIntents: readonly OrderIntent[]): void {
		const nextIntents = new Map(
			openIntents.map((intent) => [intent.orderId, intent]),
		);
		for (const [orderId, intent] of this.openIntents) {
			if (nextIntents.has(orderId)) {
				continue;
			}

			if (!this.confirmed.has(orderId)) {
				this.settledIntents.set(orderId, intent);
			}

			this.confirmed.delete(orderId);
		}

		for (const orderId of nextIntents.keys()) {
			this.submittedIntents.delete(orderId);
		}

		this.openIntents = nextIntents;
		this.confirmListed(this.baseline);
	}

	beginFence(orderId: OrderId, token: FencingToken): EngineOrder {
		this.isFenced = false;
		this.token = token;
		this.pendingFence = orderId;
		this.markSent(orderId);
		return {action: 'fence', orderId, token};
	}

	onFenceAcknowledged(orderId: OrderId, report: TargetReport): void {
		if (this.pendingFence !== orderId) {
			return;
		}

		const confirmable = this.confirmableBy.get(orderId);
		this.confirmableBy.delete(orderId);
		if (!this.adoptFenceReport(report)) {
			return;
		}

		this.pendingFence = undefined;
		this.isFenced = true;
		this.confirm(confirmable ?? []);
	}

	/**
	 * Reserves memory and returns the order. The caller submits its `intentOf` to the control stream and sends the order
	 * only after the intent is accepted.
	 */
	prepareLoad(
		orderId: OrderId,
		artifact: Artifact,
	): Result<EngineOrder, OrderLedgerError> {
		if (!this.isReady || this.token === undefined) {
			return err(
				new OrderLedgerError(
					'not-ready',
					'the target has to acknowledge a fence first',
				),
			);
		}

		if (!this.fits(artifact)) {
			return err(
				new OrderLedgerError(
					'insufficient-memory',
					`${artifact.key} needs ${artifact.bytes} bytes, but only ${this.memoryBytes - this.chargedBytes} bytes of the target are free`,
				),
			);
		}

		this.submittedIntents.set(orderId, {
			orderId,
			target: this.target,
			action: 'load',
			artifact: artifact.key,
			bytes: artifact.bytes,
		});
		return ok({
			action: 'load',
			orderId,
			token: this.token,
			artifact: artifact.key,
			bytes: artifact.bytes,
		});
	}

	prepareUnload(
		orderId: OrderId,
		artifact: ArtifactKey,
	): Result<EngineOrder, OrderLedgerError> {
		if (!this.isReady || this.token === undefined) {
			return err(
				new OrderLedgerError(
					'not-ready',
					'the target has to acknowledge a fence first',
				),
			);
		}

		this.submittedIntents.set(orderId, {
			orderId,
			target: this.target,
			action: 'unload',
			artifact,
			bytes: 0,
		});
		return ok({action: 'unload', orderId, token: this.token, artifact});
	}

	/** Returns the intent of a prepared order, or undefined when there is none. */
	intentOf(orderId: OrderId): OrderIntent | undefined {
		return this.submittedIntents.get(orderId) ?? this.openIntents.get(orderId);
	}

	/** Records that the control stream accepted the intent and that this host has applied it to its control state. */
	onIntentAccepted(orderId: OrderId): void {
		const intent = this.submittedIntents.get(orderId);
		if (intent) {
			this.submittedIntents.delete(orderId);
			this.openIntents.set(orderId, intent);
		}
	}

	/** Records that the control stream ignored the intent. The order is never sent. */
	onIntentIgnored(orderId: OrderId): void {
		this.submittedIntents.delete(orderId);
	}

	/** Has to be called just before an order is sent, which requires that its intent is open in the control state. */
	markSent(orderId: OrderId): void {
		this.confirmableBy.set(orderId, new Set(this.settledIntents.keys()));
	}

	/** Returns whether the intent is open in the control state, so that the order may be sent once. */
	isIntentOpen(orderId: OrderId): boolean {
		return this.openIntents.has(orderId);
	}

	onOrderAcknowledged(orderId: OrderId, report: TargetReport): void {
		const confirmable = this.confirmableBy.get(orderId);
		this.confirmableBy.delete(orderId);
		this.observeReport(report);
		const {baseline} = this;
		if (
			baseline?.incarnation === report.incarnation &&
			baseline.sequence >= report.sequence
		) {
			this.confirm([orderId, ...(confirmable ?? [])]);
		}
	}

	onOrderRefused(orderId: OrderId): void {
		this.confirmableBy.delete(orderId);
		this.submittedIntents.delete(orderId);
		this.confirm([orderId]);
	}

	protected override setBaseline(report: TargetReport): void {
		super.setBaseline(report);
		this.confirmListed(report);
	}

	protected *pendingLoads(): Iterable<PendingLoad> {
		for (const intents of [
			this.submittedIntents,
			this.openIntents,
			this.settledIntents,
		]) {
			for (const [orderId, intent] of intents) {
				if (intent.action === 'load' && !this.confirmed.has(orderId)) {
					yield intent;
				}
			}
		}
	}

	private confirmListed(report: TargetReport | undefined): void {
		this.confirm(report?.appliedOrders ?? []);
	}

	private confirm(orderIds: Iterable<OrderId>): void {
		for (const orderId of orderIds) {
			this.settledIntents.delete(orderId);
			if (this.openIntents.has(orderId) || this.submittedIntents.has(orderId)) {
				this.confirmed.add(orderId);
			}
		}
	}
}
