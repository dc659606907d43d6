import {type Result, type ResultAsync} from 'neverthrow';
import {backoffMilliseconds} from '../../base/common/backoff.js';
import {type Clock} from '../../base/common/clock.js';
import {
	type EventLogger,
	type LogEventDefinition,
} from '../../base/common/event-logger.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {type Artifact} from '../../contracts/artifact.js';
import {type ControlLog} from '../../contracts/control-log.js';
import {type OrderIntent} from '../../contracts/control-record.js';
import {
	type Engine,
	type EngineOrder,
	type OrderAcknowledgement,
	type TargetReport,
} from '../../contracts/engine.js';
import {placementEvents} from '../../contracts/events/placement-events.js';
import {
	type ArtifactKey,
	type FencingToken,
	type IncarnationId,
	type LeaseName,
	type OrderId,
	type TargetId,
} from '../../contracts/ids.js';
import {type LogError} from '../../contracts/log-service.js';
import {
	TargetRefusedError,
	type TargetError,
} from '../../contracts/target-error.js';
import {FencedOrderLedger} from '../../core/orders/fenced-order-ledger.js';
import {type LoadPacer} from '../../core/placement/load-pacer.js';
import {RecordedOrderLedger} from '../../core/orders/recorded-order-ledger.js';
import {
	type OrderLedger,
	type OrderLedgerError,
} from '../../core/orders/order-ledger.js';

/** Access to the lease of a group. */
export abstract class GroupLease {
	abstract readonly name: LeaseName;

	/** The fencing token under which this host may act now, or undefined if it may not. Read it right before acting. */
	abstract token(): FencingToken | undefined;

	/** True while the control log confirms the lease. Otherwise no intents can be recorded. */
	abstract isConfirmed(): boolean;

	/** Claims the held lease again on the basis of its last accepted record, and returns the newer token. */
	abstract reclaim(reason: string): ResultAsync<FencingToken, LogError>;
}

/** The part of the control state that concerns individual targets. */
export abstract class TargetPlanView {
	/** Artifacts that the plan places on the target, or undefined while the pool has no plan. */
	abstract plannedArtifacts(
		target: TargetId,
	): ReadonlySet<ArtifactKey> | undefined;

	/** Intents of orders that may still take effect on the target, whichever host recorded them. */
	abstract openIntents(target: TargetId): readonly OrderIntent[];

	/** Finds a model or adapter of the document in force. */
	abstract artifact(key: ArtifactKey): Artifact | undefined;

	/** The artifact key of the model that an adapter extends. */
	abstract baseModelOf(adapter: ArtifactKey): ArtifactKey | undefined;
}

/** Dependencies that all reconcilers of a process share. */
export type ReconcilerDependencies = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly log: ControlLog;
	readonly incarnation: IncarnationId;
	/** Creates an order id that is unique in the fleet. */
	readonly newOrderId: () => OrderId;
};

/** Why an order was never applied. Only its sender can tell. */
export type UnappliedOutcome = 'not-sent' | 'refused';

/** Dependencies of the reconciler of one target. */
export type TargetReconcilerOptions = ReconcilerDependencies & {
	readonly target: TargetId;
	readonly engine: Engine;
	readonly ledger: FencedOrderLedger | RecordedOrderLedger;
	readonly lease: GroupLease;
	/** The token for which the ledger was created, while it is held. Undefined for a reconciler that was replaced. */
	readonly token: () => FencingToken | undefined;
	readonly view: TargetPlanView;
	readonly pacer: LoadPacer;
	/** Called for each report that the target returns. */
	readonly onReport: (report: TargetReport) => void;
	/** Called for an order that was never applied and whose intent may be open. The group reconciler settles it. */
	readonly onOrderUnapplied: (
		orderId: OrderId,
		outcome: UnappliedOutcome,
	) => void;
};

/** Load attempts of an artifact and the monotonic time in milliseconds before which it is not loaded again. */
type LoadRetry = {attempts: number; nextAt: number};

const loadRetryDelay = {initialMilliseconds: 500, maximumMilliseconds: 30_000};

/**
 * Reconciles the artifacts of one target with the plan while the group lease is held: polls the report,
 * fences the target, and sends load and unload orders.
 */
export class TargetReconciler {
	/** True while a newer fencing token is needed, to free charged memory or because the target refused the current token. */
	needsNewerToken = false;
	private isReconciling = false;
	private scheduledFenceToken: FencingToken | undefined;
	private readonly loadRetries = new Map<ArtifactKey, LoadRetry>();
	/** Artifacts that were resident before, to distinguish a lost artifact from one that is not loaded yet. */
	private readonly observedArtifacts = new Set<ArtifactKey>();
	/** Own orders that were never applied. */
	private readonly unappliedOrders = new Set<OrderId>();

	constructor(private readonly options: TargetReconcilerOptions) {}

	/** The memory charged to the target and the orders that it is charged for. */
	get ledger(): OrderLedger {
		return this.options.ledger;
	}

	/** Requests a fence with a newer token before the next order. */
	scheduleFence(token: FencingToken): void {
		this.scheduledFenceToken = token;
		this.needsNewerToken = false;
	}

	/** Polls the report and sends the orders that are possible now. Does nothing while an earlier pass is running. */
	async reconcile(): Promise<void> {
		if (this.isReconciling) {
			return;
		}

		this.isReconciling = true;
		try {
			await this.pollReport();
			this.synchronize();
			await this.settleAppliedOrders();
			if (await this.ensureFence()) {
				this.synchronize();
				await this.settleAppliedOrders();
				await this.unloadUnplannedArtifacts();
				await this.loadPlannedArtifacts();
			}
		} finally {
			this.isReconciling = false;
		}
	}

	/** Ends all loads of this target at the pacer, so that other targets can use their budget. */
	releaseLoads(): void {
		for (const key of this.loadRetries.keys()) {
			this.options.pacer.finish(this.loadId(key));
		}
	}

	private async pollReport(): Promise<void> {
		const report = await this.options.engine.fetchReport();
		if (report.isErr()) {
			return;
		}

		this.options.ledger.observeReport(report.value);
		this.options.onReport(report.value);
		this.processBaseline();
	}

	/** Ends finished loads and logs exceeded memory and lost artifacts, as the baseline report shows them. */
	private processBaseline(): void {
		const {ledger, pacer} = this.options;
		const {baseline} = ledger;
		if (!baseline) {
			return;
		}

		let usedBytes = 0;
		for (const {bytes} of baseline.artifacts) {
			usedBytes += bytes;
		}

		if (usedBytes > ledger.memoryBytes) {
			this.record(placementEvents.memoryExceeded, {
				bytes: usedBytes,
				memoryBytes: ledger.memoryBytes,
			});
		}

		const states = new Map(
			baseline.artifacts.map(({key, state}) => [key, state]),
		);
		for (const key of this.loadRetries.keys()) {
			if (states.get(key) !== 'loading') {
				pacer.finish(this.loadId(key));
			}

			if (states.get(key) === 'resident') {
				this.loadRetries.delete(key);
			}
		}

		for (const key of this.observedArtifacts) {
			if (!states.has(key)) {
				this.observedArtifacts.delete(key);
				if (this.options.view.plannedArtifacts(this.options.target)?.has(key)) {
					this.record(placementEvents.artifactMissing, {artifact: key});
				}
			}
		}

		for (const [key, state] of states) {
			if (state === 'resident') {
				this.observedArtifacts.add(key);
			}
		}
	}

	/** Updates a ledger that relies on recorded intents with those that are open in the control state. */
	private synchronize(): void {
		const {ledger, view, target} = this.options;
		if (ledger instanceof RecordedOrderLedger) {
			ledger.synchronize(view.openIntents(target));
		}
	}

	/** Records the orders that the baseline shows as applied. */
	private async settleAppliedOrders(): Promise<void> {
		const {ledger, log, incarnation, lease} = this.options;
		if (!(ledger instanceof RecordedOrderLedger) || !lease.isConfirmed()) {
			return;
		}

		const orders = ledger.confirmedOrders
			.filter((orderId) => !this.unappliedOrders.has(orderId))
			.map((orderId) => ({orderId, outcome: 'applied' as const}));
		if (orders.length === 0) {
			return;
		}

		const outcome = await log.submit({
			kind: 'orders-settled',
			orders,
			by: incarnation,
		});
		this.record(placementEvents.intentsSettled, {
			orders: orders.map(({orderId}) => orderId),
			isConfirmed: outcome.isOk(),
		});
		this.synchronize();
	}

	/** Fences the target if necessary. Returns whether orders can be prepared. */
	private async ensureFence(): Promise<boolean> {
		const {ledger, lease, engine} = this.options;
		if (ledger.isReady && this.scheduledFenceToken === undefined) {
			return true;
		}

		const heldToken = this.options.token();
		if (heldToken === undefined) {
			return false;
		}

		const token =
			ledger instanceof FencedOrderLedger
				? (this.scheduledFenceToken ?? ledger.fencedToken ?? heldToken)
				: heldToken;
		const order = ledger.beginFence(this.options.newOrderId(), token);
		const result = await engine.sendOrder(order);
		if (result.isErr()) {
			this.handleFenceError(result.error);
			return false;
		}

		ledger.onFenceAcknowledged(order.orderId, result.value.report);
		if (ledger.isReady) {
			this.scheduledFenceToken = undefined;
			this.record(placementEvents.targetFenced, {token});
			this.processBaseline();
		}

		return ledger.isReady;
	}

	private handleFenceError(error: TargetError): void {
		if (error instanceof TargetRefusedError && error.reason === 'stale-token') {
			this.record(placementEvents.tokenRefused, {error: error.message});
			this.needsNewerToken = true;
		}
	}

	private async unloadUnplannedArtifacts(): Promise<void> {
		const {ledger, view, target} = this.options;
		const planned = view.plannedArtifacts(target);
		if (!planned) {
			return;
		}

		const unplanned = (ledger.baseline?.artifacts ?? [])
			.filter(({key, state}) => state === 'resident' && !planned.has(key))
			.map(({key}) => key)
			// Keys of adapters sort before keys of models, so adapters are unloaded before their base model.
			.sort((left, right) => (left < right ? -1 : 1));
		await this.issueOrders(unplanned, (orderId, key) =>
			ledger.prepareUnload(orderId, key),
		);
	}

	private async loadPlannedArtifacts(): Promise<void> {
		const {ledger, view, target, pacer, clock} = this.options;
		const states = new Map(
			ledger.baseline?.artifacts.map(({key, state}) => [key, state]),
		);
		const missing = [...(view.plannedArtifacts(target) ?? [])]
			.filter((key) => !states.has(key) && view.artifact(key))
			// Models are loaded before the adapters that extend them.
			.sort((left, right) => (left > right ? -1 : 1));
		const loadable: ArtifactKey[] = [];
		for (const key of missing) {
			const artifact = view.artifact(key)!;
			const baseModel =
				artifact.kind === 'adapter' ? view.baseModelOf(key) : undefined;
			const isBaseReady =
				artifact.kind === 'model' ||
				(baseModel !== undefined && this.hasResidentModel(baseModel));
			if (
				!isBaseReady ||
				(this.loadRetries.get(key)?.nextAt ?? 0) > clock.monotonic()
			) {
				continue;
			}

			if (!ledger.fits(artifact)) {
				this.handleMemoryShortage(artifact);
				continue;
			}

			const time = {now: clock.monotonic(), wall: clock.wall()};
			if (pacer.tryStart(this.loadId(key), artifact.kind, time)) {
				this.recordLoadAttempt(key);
				loadable.push(key);
			}
		}

		await this.issueOrders(loadable, (orderId, key) =>
			ledger.prepareLoad(orderId, view.artifact(key)!),
		);
	}

	/** True if any version of the model is resident on the target. */
	private hasResidentModel(key: ArtifactKey): boolean {
		const keyPrefix = key.slice(0, key.lastIndexOf('@') + 1);
		return (this.options.ledger.baseline?.artifacts ?? []).some(
			(artifact) =>
				artifact.state === 'resident' && artifact.key.startsWith(keyPrefix),
		);
	}

	/**
	 * Handles a load that does not fit. If memory that is charged for artifacts neither reported nor planned
	 * would suffice, a fenced target needs a newer token, which voids these charges. The charges of recorded
	 * orders cannot be freed by this host, so the load is retried later.
	 */
	private handleMemoryShortage(artifact: Artifact): void {
		const {ledger, view, target} = this.options;
		const reported = new Set(ledger.baseline?.artifacts.map(({key}) => key));
		const planned = view.plannedArtifacts(target);
		let reclaimableBytes = 0;
		for (const [key, bytes] of ledger.charges()) {
			reclaimableBytes += reported.has(key) || planned?.has(key) ? 0 : bytes;
		}

		const freeBytes = ledger.memoryBytes - ledger.chargedBytes;
		if (
			reclaimableBytes === 0 ||
			freeBytes + reclaimableBytes < artifact.bytes
		) {
			return;
		}

		if (ledger instanceof FencedOrderLedger) {
			this.needsNewerToken = true;
			return;
		}

		this.recordLoadAttempt(artifact.key);
		this.record(placementEvents.memoryReserved, {
			artifact: artifact.key,
			reservedBytes: reclaimableBytes,
		});
	}

	/** Counts a load attempt and delays the next one by the backoff. */
	private recordLoadAttempt(key: ArtifactKey): void {
		const {clock, random} = this.options;
		const attempts = this.loadRetries.get(key)?.attempts ?? 0;
		this.loadRetries.set(key, {
			attempts: attempts + 1,
			nextAt:
				clock.monotonic() +
				backoffMilliseconds(attempts, loadRetryDelay, random),
		});
	}

	/** Prepares orders, records their intents where required, and sends them one after the other. */
	private async issueOrders(
		keys: readonly ArtifactKey[],
		prepare: (
			orderId: OrderId,
			key: ArtifactKey,
		) => Result<EngineOrder, OrderLedgerError>,
	): Promise<void> {
		const orders: EngineOrder[] = [];
		for (const key of keys) {
			const order = prepare(this.options.newOrderId(), key);
			if (order.isErr()) {
				this.options.pacer.finish(this.loadId(key));
				continue;
			}

			orders.push(order.value);
		}

		if (orders.length === 0 || !(await this.recordIntents(orders))) {
			return;
		}

		for (const order of orders) {
			await this.sendOrder(order);
		}
	}

	/** Records the intents of orders, if the ledger requires it. Returns whether the orders may be sent. */
	private async recordIntents(
		orders: readonly EngineOrder[],
	): Promise<boolean> {
		const {ledger, lease, log} = this.options;
		if (!(ledger instanceof RecordedOrderLedger)) {
			return true;
		}

		const token = this.options.token();
		const intents = orders.flatMap(
			({orderId}) => ledger.intentOf(orderId) ?? [],
		);
		const outcome =
			token !== undefined && lease.isConfirmed()
				? await log.submit({
						kind: 'orders-intended',
						lease: lease.name,
						token,
						orders: intents,
					})
				: undefined;
		if (outcome?.isOk() && outcome.value.accepted) {
			for (const {orderId} of orders) {
				ledger.onIntentAccepted(orderId);
			}

			this.synchronize();
			return true;
		}

		// The record may still be applied to the control state later. The orders are never sent, so they are
		// settled then.
		for (const order of orders) {
			ledger.onIntentIgnored(order.orderId);
			this.markUnapplied(order, 'not-sent');
		}

		this.record(placementEvents.intentIgnored, {
			orders: orders.map(({orderId}) => orderId),
			reason:
				outcome?.match(
					(value) => (value.accepted ? '' : value.reason),
					(error) => error.message,
				) ?? 'the lease is not confirmed',
		});
		return false;
	}

	private async sendOrder(order: EngineOrder): Promise<void> {
		const {ledger, lease, engine} = this.options;
		if (this.options.token() === undefined) {
			this.markUnapplied(order, 'not-sent');
			return;
		}

		if (ledger instanceof RecordedOrderLedger) {
			if (!ledger.isIntentOpen(order.orderId)) {
				return;
			}

			ledger.markSent(order.orderId);
		}

		this.processOrderResult(order, await engine.sendOrder(order));
	}

	private processOrderResult(
		order: EngineOrder,
		result: Result<OrderAcknowledgement, TargetError>,
	): void {
		const {ledger} = this.options;
		const fields = {
			order: order.orderId,
			action: order.action,
			artifact: 'artifact' in order ? order.artifact : undefined,
		};
		if (result.isOk()) {
			ledger.onOrderAcknowledged(order.orderId, result.value.report);
			this.options.onReport(result.value.report);
			this.record(placementEvents.orderAcknowledged, fields);
			return;
		}

		const {error} = result;
		if (error.execution === 'not-run') {
			// A refused order and an order that was not sent have no effect.
			ledger.onOrderRefused(order.orderId);
			this.markUnapplied(
				order,
				error instanceof TargetRefusedError ? 'refused' : 'not-sent',
			);
			this.record(placementEvents.orderRefused, {
				...fields,
				error: error.message,
			});
			if (
				error instanceof TargetRefusedError &&
				error.reason === 'stale-token'
			) {
				this.needsNewerToken = true;
			}

			return;
		}

		this.record(placementEvents.orderUnanswered, {
			...fields,
			error: error.message,
		});
	}

	/** Handles an order that was never applied: has its intent settled and ends its load at the pacer. */
	private markUnapplied(order: EngineOrder, outcome: UnappliedOutcome): void {
		if (this.options.ledger instanceof RecordedOrderLedger) {
			this.unappliedOrders.add(order.orderId);
			this.options.onOrderUnapplied(order.orderId, outcome);
		}

		if (order.action === 'load') {
			this.options.pacer.finish(this.loadId(order.artifact));
		}
	}

	/** Identifies a load of this target at the pacer. */
	private loadId(key: ArtifactKey): string {
		return `${this.options.target}/${key}`;
	}

	private record(
		event: LogEventDefinition,
		fields: Readonly<Record<string, unknown>>,
	): void {
		this.options.events.record(event, {target: this.options.target, ...fields});
	}
}
