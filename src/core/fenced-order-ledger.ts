import {err, ok, type Result} from 'neverthrow';
import {type Artifact} from '../contracts/artifact.js';
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
 * Ledger of a target that refuses orders with an older token and keeps its highest token over restarts.
 *
 * Every load under the token of the last acknowledged fence stays charged, also after its
 * acknowledgement, because a second copy can arrive after an unload. A fence with a newer token
 * voids all of them at once, so the memory of an unloaded artifact is used again only after one.
 */
export class FencedOrderLedger extends OrderLedger {
	private token: FencingToken | undefined;
	private pendingFence:
		{readonly orderId: OrderId; readonly token: FencingToken} | undefined;

	private readonly loads = new Map<ArtifactKey, PendingLoad>();

	/** The token of the last acknowledged fence. Orders carry it. */
	get fencedToken(): FencingToken | undefined {
		return this.token;
	}

	/** True when a fence with a newer token frees memory. */
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
			return err(new OrderLedgerError('not-ready', 'a fence comes first'));
		}

		return ok({action: 'unload', orderId, token: this.token, artifact});
	}

	onOrderAcknowledged(_orderId: OrderId, report: TargetReport): void {
		this.observeReport(report);
	}

	onOrderRefused(): void {
		// A refused order may have a second copy on its way, so the charge stays until the next fence.
	}

	protected pendingLoads(): Iterable<PendingLoad> {
		return this.loads.values();
	}
}
