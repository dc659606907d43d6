import {err, ok, type Result} from 'neverthrow';
import {type Artifact} from '../contracts/artifact.js';
import {type OrderIntent} from '../contracts/control-record.js';
import {type EngineOrder, type TargetReport} from '../contracts/engine.js';
import {
	type ArtifactKey,
	type FencingToken,
	type OrderId,
} from '../contracts/ids.js';
import {
	OrderLedger,
	OrderLedgerError,
	type PendingLoad,
} from './order-ledger.js';

/**
 * Ledger of a target that ignores fencing and carries out one order id at most once.
 *
 * An order is sent only after its intent was accepted in the control stream, and each order id is
 * sent once. An intent stays charged, whoever wrote it, until a report that covers it is the baseline.
 * A report covers an order when it lists the order, when it acknowledges the order, or when it
 * acknowledges an order that was sent after the control stream had settled the first one.
 */
export class RecordedOrderLedger extends OrderLedger {
	private token: FencingToken | undefined;
	private pendingFence: OrderId | undefined;
	/** Intents of this holder that the fold does not show yet. */
	private readonly submitted = new Map<OrderId, OrderIntent>();
	/** Intents that the fold shows as open. */
	private open = new Map<OrderId, OrderIntent>();
	/** Intents that are settled in the fold, before a covering report. */
	private readonly uncovered = new Map<OrderId, OrderIntent>();
	/** Orders whose effect the baseline shows. */
	private readonly covered = new Set<OrderId>();
	/** Uncovered orders at the time when an order was sent. */
	private readonly coverableBy = new Map<OrderId, ReadonlySet<OrderId>>();

	override get isReady(): boolean {
		return super.isReady && this.uncovered.size === 0;
	}

	/** Open intents whose effect the baseline shows. The holder records them as applied. */
	get confirmedOrders(): readonly OrderId[] {
		return [...this.open.keys()].filter((orderId) => this.covered.has(orderId));
	}

	/** Takes over the open intents of the target from the folded control state. Call it before each decision. */
	synchronize(openIntents: readonly OrderIntent[]): void {
		const next = new Map(openIntents.map((intent) => [intent.orderId, intent]));
		for (const [orderId, intent] of this.open) {
			if (next.has(orderId)) {
				continue;
			}

			if (!this.covered.has(orderId)) {
				this.uncovered.set(orderId, intent);
			}

			this.covered.delete(orderId);
		}

		for (const orderId of next.keys()) {
			this.submitted.delete(orderId);
		}

		this.open = next;
		this.coverListed(this.baseline);
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

		const coverable = this.coverableBy.get(orderId);
		this.coverableBy.delete(orderId);
		if (!this.adoptFenceReport(report)) {
			return;
		}

		this.pendingFence = undefined;
		this.isFenced = true;
		this.cover(coverable ?? []);
	}

	/** Reserves memory and returns the order. Submit `intentOf` it and send it only once that is accepted. */
	prepareLoad(
		orderId: OrderId,
		artifact: Artifact,
	): Result<EngineOrder, OrderLedgerError> {
		if (!this.isReady || this.token === undefined) {
			return err(new OrderLedgerError('not-ready', 'a fence comes first'));
		}

		if (!this.fits(artifact)) {
			return err(
				new OrderLedgerError(
					'insufficient-memory',
					`${artifact.key} needs ${artifact.bytes} bytes, ${this.memoryBytes - this.chargedBytes} are free`,
				),
			);
		}

		this.submitted.set(orderId, {
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
			return err(new OrderLedgerError('not-ready', 'a fence comes first'));
		}

		this.submitted.set(orderId, {
			orderId,
			target: this.target,
			action: 'unload',
			artifact,
			bytes: 0,
		});
		return ok({action: 'unload', orderId, token: this.token, artifact});
	}

	/** The intent of a prepared order. */
	intentOf(orderId: OrderId): OrderIntent | undefined {
		return this.submitted.get(orderId) ?? this.open.get(orderId);
	}

	/** The control stream accepted the intent, and this host has folded it. */
	onIntentAccepted(orderId: OrderId): void {
		const intent = this.submitted.get(orderId);
		if (intent) {
			this.submitted.delete(orderId);
			this.open.set(orderId, intent);
		}
	}

	/** The control stream ignored the intent, so the order is never sent. */
	onIntentIgnored(orderId: OrderId): void {
		this.submitted.delete(orderId);
	}

	/** Call it just before the order leaves. An order may be sent only when the fold shows its intent as open. */
	markSent(orderId: OrderId): void {
		this.coverableBy.set(orderId, new Set(this.uncovered.keys()));
	}

	/** True when the fold shows the intent as open, which permits sending the order once. */
	isIntentOpen(orderId: OrderId): boolean {
		return this.open.has(orderId);
	}

	onOrderAcknowledged(orderId: OrderId, report: TargetReport): void {
		const coverable = this.coverableBy.get(orderId);
		this.coverableBy.delete(orderId);
		this.observeReport(report);
		const {baseline} = this;
		if (
			baseline?.incarnation === report.incarnation &&
			baseline.sequence >= report.sequence
		) {
			this.cover([orderId, ...(coverable ?? [])]);
		}
	}

	onOrderRefused(orderId: OrderId): void {
		this.coverableBy.delete(orderId);
		this.submitted.delete(orderId);
		this.cover([orderId]);
	}

	protected override setBaseline(report: TargetReport): void {
		super.setBaseline(report);
		this.coverListed(report);
	}

	protected *pendingLoads(): Iterable<PendingLoad> {
		for (const intents of [this.submitted, this.open, this.uncovered]) {
			for (const [orderId, intent] of intents) {
				if (intent.action === 'load' && !this.covered.has(orderId)) {
					yield intent;
				}
			}
		}
	}

	private coverListed(report: TargetReport | undefined): void {
		this.cover(report?.appliedOrders ?? []);
	}

	private cover(orderIds: Iterable<OrderId>): void {
		for (const orderId of orderIds) {
			this.uncovered.delete(orderId);
			if (this.open.has(orderId) || this.submitted.has(orderId)) {
				this.covered.add(orderId);
			}
		}
	}
}
