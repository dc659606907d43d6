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
import {FencedOrderLedger} from '../../core/fenced-order-ledger.js';
import {type LoadPacer} from '../../core/load-pacer.js';
import {RecordedOrderLedger} from '../../core/recorded-order-ledger.js';
import {
	type OrderLedger,
	type OrderLedgerError,
} from '../../core/order-ledger.js';

/** The lease of a group, as its holder sees it. */
export abstract class GroupLease {
	abstract readonly name: LeaseName;

	/** The token under which this host may act now. Read right before acting. */
	abstract token(): FencingToken | undefined;

	/** True while the log confirms the lease. Without it no intents can be recorded. */
	abstract isConfirmed(): boolean;

	/** Claims the held lease again, naming its last accepted record, and returns the newer token. */
	abstract reclaim(reason: string): ResultAsync<FencingToken, LogError>;
}

/** What the folded control state says about one target. */
export abstract class TargetPlanView {
	/** What the plan wants on the target, or undefined while the pool has no plan. */
	abstract plannedArtifacts(
		target: TargetId,
	): ReadonlySet<ArtifactKey> | undefined;

	/** Orders that may still take effect on the target, whoever wrote them. */
	abstract openIntents(target: TargetId): readonly OrderIntent[];

	/** A model or adapter of the document in force. */
	abstract artifact(key: ArtifactKey): Artifact | undefined;

	/** The artifact key of the model that an adapter extends. */
	abstract baseModelOf(adapter: ArtifactKey): ArtifactKey | undefined;
}

/** What all owners of targets in a process share. */
export type ReconcilerDependencies = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly log: ControlLog;
	readonly incarnation: IncarnationId;
	/** Makes an id that no other order in the fleet has. */
	readonly newOrderId: () => OrderId;
};

/** Why an order never takes effect, which only its sender knows. */
export type UnappliedOutcome = 'not-sent' | 'refused';

/** Options of the owner of one target. */
export type TargetReconcilerOptions = ReconcilerDependencies & {
	readonly target: TargetId;
	readonly engine: Engine;
	readonly ledger: FencedOrderLedger | RecordedOrderLedger;
	readonly lease: GroupLease;
	/** The token that the ledger was made for, while it is held. An owner that was replaced gets none. */
	readonly token: () => FencingToken | undefined;
	readonly view: TargetPlanView;
	readonly pacer: LoadPacer;
	readonly onReport: (report: TargetReport) => void;
	/** An order that has no effect and whose intent may be open. The group owner settles it. */
	readonly onOrderUnapplied: (
		orderId: OrderId,
		outcome: UnappliedOutcome,
	) => void;
};

type LoadRetry = {attempts: number; nextAt: number};

const loadRetryDelay = {initialMilliseconds: 500, maximumMilliseconds: 30_000};

/** Brings one target to its plan while the group lease is held. */
export class TargetReconciler {
	/** True while a load waits for memory that only a newer token frees. */
	needsNewerToken = false;
	private isReconciling = false;
	private scheduledFenceToken: FencingToken | undefined;
	private readonly loadRetries = new Map<ArtifactKey, LoadRetry>();
	/** Artifacts seen in memory, to tell a loss from a first load. */
	private readonly observedArtifacts = new Set<ArtifactKey>();
	/** Own orders that have no effect. */
	private readonly unappliedOrders = new Set<OrderId>();

	constructor(private readonly options: TargetReconcilerOptions) {}

	/** The ledger, for metrics and explanations. */
	get ledger(): OrderLedger {
		return this.options.ledger;
	}

	/** Fences with a newer token before the next order. */
	scheduleFence(token: FencingToken): void {
		this.scheduledFenceToken = token;
		this.needsNewerToken = false;
	}

	/** Polls the report and gives the orders that are possible now. Does nothing while an earlier step runs. */
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

	/** Gives the loads of this target back to the pacer. */
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

	private processBaseline(): void {
		const {ledger, pacer} = this.options;
		const {baseline} = ledger;
		if (!baseline) {
			return;
		}

		let used = 0;
		for (const {bytes} of baseline.artifacts) {
			used += bytes;
		}

		if (used > ledger.memoryBytes) {
			this.record(placementEvents.memoryExceeded, {
				bytes: used,
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

	private synchronize(): void {
		const {ledger, view, target} = this.options;
		if (ledger instanceof RecordedOrderLedger) {
			ledger.synchronize(view.openIntents(target));
		}
	}

	/** Records the orders that the baseline proves to be applied. */
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

	/** Returns whether orders can be prepared. */
	private async ensureFence(): Promise<boolean> {
		const {ledger, lease, engine} = this.options;
		if (ledger.isReady && this.scheduledFenceToken === undefined) {
			return true;
		}

		const held = this.options.token();
		if (held === undefined) {
			return false;
		}

		const token =
			ledger instanceof FencedOrderLedger
				? (this.scheduledFenceToken ?? ledger.fencedToken ?? held)
				: held;
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
			// Adapters go before the model that they extend.
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
			.sort((left, right) => (left > right ? -1 : 1));
		const possible: ArtifactKey[] = [];
		for (const key of missing) {
			const artifact = view.artifact(key)!;
			const base =
				artifact.kind === 'adapter' ? view.baseModelOf(key) : undefined;
			const isBaseReady =
				artifact.kind === 'model' ||
				(base !== undefined && this.hasResidentModel(base));
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
				possible.push(key);
			}
		}

		await this.issueOrders(possible, (orderId, key) =>
			ledger.prepareLoad(orderId, view.artifact(key)!),
		);
	}

	/** True when the target serves the model in any version. */
	private hasResidentModel(key: ArtifactKey): boolean {
		const name = key.slice(0, key.lastIndexOf('@') + 1);
		return (this.options.ledger.baseline?.artifacts ?? []).some(
			(artifact) =>
				artifact.state === 'resident' && artifact.key.startsWith(name),
		);
	}

	/** Memory that a newer token frees is worth a claim; memory of recorded orders is not ours to free. */
	private handleMemoryShortage(artifact: Artifact): void {
		const {ledger, view, target} = this.options;
		const shown = new Set(ledger.baseline?.artifacts.map(({key}) => key));
		const planned = view.plannedArtifacts(target);
		let reclaimable = 0;
		for (const [key, bytes] of ledger.charges()) {
			reclaimable += shown.has(key) || planned?.has(key) ? 0 : bytes;
		}

		const free = ledger.memoryBytes - ledger.chargedBytes;
		if (reclaimable === 0 || free + reclaimable < artifact.bytes) {
			return;
		}

		if (ledger instanceof FencedOrderLedger) {
			this.needsNewerToken = true;
			return;
		}

		this.recordLoadAttempt(artifact.key);
		this.record(placementEvents.memoryReserved, {
			artifact: artifact.key,
			reservedBytes: reclaimable,
		});
	}

	private recordLoadAttempt(key: ArtifactKey): void {
		const {clock, random} = this.options;
		const failures = this.loadRetries.get(key)?.attempts ?? 0;
		this.loadRetries.set(key, {
			attempts: failures + 1,
			nextAt:
				clock.monotonic() +
				backoffMilliseconds(failures, loadRetryDelay, random),
		});
	}

	/** Prepares, records where needed, and sends orders. Their results are taken in one by one. */
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

		// The record may still be folded later. The orders are never sent, so they are settled then.
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
			// Neither a refused order nor one that never left has an effect.
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

	private markUnapplied(order: EngineOrder, outcome: UnappliedOutcome): void {
		if (this.options.ledger instanceof RecordedOrderLedger) {
			this.unappliedOrders.add(order.orderId);
			this.options.onOrderUnapplied(order.orderId, outcome);
		}

		if (order.action === 'load') {
			this.options.pacer.finish(this.loadId(order.artifact));
		}
	}

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
