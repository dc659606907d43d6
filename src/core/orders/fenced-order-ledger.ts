import {err, ok, type Result} from 'neverthrow';
import {type Artifact} from '../../contracts/artifact.js';
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
 * Ledger of a target that honours fencing: it refuses orders with an older token than the highest one it has seen, and
 * keeps that token across restarts.
 *
 * Every load sent under the token of the last acknowledged fence stays charged, even after its acknowledgement, because
 * a duplicate of the order can arrive after a later unload. A fence with a newer token invalidates all these orders at
 * once. Memory of an unloaded artifact is therefore reused only after such a fence.
 */
export class FencedOrderLedger extends OrderLedger {
	private token: FencingToken | undefined;
	private pendingFence:
		{readonly orderId: OrderId; readonly token: FencingToken} | undefined;

	private readonly loads = new Map<ArtifactKey, PendingLoad>();

	/** The newest token for which a fence was acknowledged. Orders are sent with it. */
	get fencedToken(): FencingToken | undefined {
		return this.token;
	}

	/** True when a fence with a newer token would free memory. */
	get hasReclaimableMemory(): boolean {
		return this.reservedBytes > 0;
	}

	beginFence(orderId: OrderId, token: FencingToken): EngineOrder {
		this.isFenced = false;
		this.pendingFence = {orderId, token};
		return {action: 'fence', orderId, token};
	}

	onFenceAcknowledged(orderId: OrderId, report: TargetReport): void {
		const {pendingFence} = this;
		if (pendingFence?.orderId !== orderId || !this.adoptFenceReport(report)) {
			return;
		}

		this.pendingFence = undefined;
		this.isFenced = true;
		if (this.token === undefined || pendingFence.token > this.token) {
			this.loads.clear();
			this.token = pendingFence.token;
		}
	}

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

		this.loads.set(artifact.key, {
			artifact: artifact.key,
			bytes: Math.max(artifact.bytes, this.loads.get(artifact.key)?.bytes ?? 0),
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

		return ok({action: 'unload', orderId, token: this.token, artifact});
	}

	onOrderAcknowledged(_orderId: OrderId, report: TargetReport): void {
		this.observeReport(report);
	}

	onOrderRefused(): void {
		// A duplicate of the refused order may still be in flight, so the charge stays until a fence with a newer token.
	}

	protected pendingLoads(): Iterable<PendingLoad> {
		return this.loads.values();
	}
}
