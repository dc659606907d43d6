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
	abstract claimAgain(reason: string): ResultAsync<FencingToken, LogError>;
}

/** What the folded control state says about one target. */
export abstract class TargetPlanView {
	/** What the plan wants on the target, or undefined while the pool has no plan. */
	abstract planned(target: TargetId): ReadonlySet<ArtifactKey> | undefined;

	/** Orders that may still take effect on the target, whoever wrote them. */
	abstract openIntents(target: TargetId): readonly OrderIntent[];

	/** A model or adapter of the document in force. */
	abstract artifact(key: ArtifactKey): Artifact | undefined;

	/** The artifact key of the model that an adapter extends. */
	abstract baseOf(adapter: ArtifactKey): ArtifactKey | undefined;
}

/** What all owners of targets in a process share. */
export type OwnerCollaborators = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly log: ControlLog;
	readonly incarnation: IncarnationId;
	/** Makes an id that no other order in the fleet has. */
	readonly newOrderId: () => OrderId;
};

/** Why an order never takes effect, which only its sender knows. */
export type ClosedOutcome = 'not-sent' | 'refused';

/** Options of the owner of one target. */
export type TargetOwnerOptions = OwnerCollaborators & {
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
	readonly onClosed: (orderId: OrderId, outcome: ClosedOutcome) => void;
};

type Attempt = {failures: number; nextAt: number};

const retryDelay = {initialMilliseconds: 500, maximumMilliseconds: 30_000};

/** Brings one target to its plan while the group lease is held. */
export class TargetOwner {
	/** True while a load waits for memory that only a newer token frees. */
	wantsToken = false;
	private isBusy = false;
	private refenceToken: FencingToken | undefined;
	private readonly attempts = new Map<ArtifactKey, Attempt>();
	/** Artifacts seen in memory, to tell a loss from a first load. */
	private readonly seen = new Set<ArtifactKey>();
	/** Own orders that have no effect. */
	private readonly closed = new Set<OrderId>();

	constructor(private readonly options: TargetOwnerOptions) {}

	/** The ledger, for metrics and explanations. */
	get ledger(): OrderLedger {
		return this.options.ledger;
	}

	/** Fences with a newer token before the next order. */
	refence(token: FencingToken): void {
		this.refenceToken = token;
		this.wantsToken = false;
	}

	/** Polls the report and gives the orders that are possible now. Does nothing while an earlier step runs. */
	async step(): Promise<void> {
		if (this.isBusy) {
			return;
		}

		this.isBusy = true;
		try {
			await this.poll();
			this.synchronize();
			await this.settle();
			if (await this.ensureFence()) {
				this.synchronize();
				await this.settle();
				await this.unloadUnplanned();
				await this.loadPlanned();
			}
		} finally {
			this.isBusy = false;
		}
	}

	/** Gives the loads of this target back to the pacer. */
	release(): void {
		for (const key of this.attempts.keys()) {
			this.options.pacer.finish(this.pacerId(key));
		}
	}

	private async poll(): Promise<void> {
		const report = await this.options.engine.fetchReport();
		if (report.isErr()) {
			return;
		}

		this.options.ledger.observeReport(report.value);
		this.options.onReport(report.value);
		this.readBaseline();
	}

	private readBaseline(): void {
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
		for (const key of this.attempts.keys()) {
			if (states.get(key) !== 'loading') {
				pacer.finish(this.pacerId(key));
			}

			if (states.get(key) === 'resident') {
				this.attempts.delete(key);
			}
		}

		for (const key of this.seen) {
			if (!states.has(key)) {
				this.seen.delete(key);
				if (this.options.view.planned(this.options.target)?.has(key)) {
					this.record(placementEvents.artifactMissing, {artifact: key});
				}
			}
		}

		for (const [key, state] of states) {
			if (state === 'resident') {
				this.seen.add(key);
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
	private async settle(): Promise<void> {
		const {ledger, log, incarnation, lease} = this.options;
		if (!(ledger instanceof RecordedOrderLedger) || !lease.isConfirmed()) {
			return;
		}

		const orders = ledger.confirmedOrders
			.filter((orderId) => !this.closed.has(orderId))
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
		if (ledger.isReady && this.refenceToken === undefined) {
			return true;
		}

		const held = this.options.token();
		if (held === undefined) {
			return false;
		}

		const token =
			ledger instanceof FencedOrderLedger
				? (this.refenceToken ?? ledger.fencedToken ?? held)
				: held;
		const order = ledger.beginFence(this.options.newOrderId(), token);
		const result = await engine.sendOrder(order);
		if (result.isErr()) {
			this.noteFenceError(result.error);
			return false;
		}

		ledger.onFenceAcknowledged(order.orderId, result.value.report);
		if (ledger.isReady) {
			this.refenceToken = undefined;
			this.record(placementEvents.targetFenced, {token});
			this.readBaseline();
		}

		return ledger.isReady;
	}

	private noteFenceError(error: TargetError): void {
		if (error instanceof TargetRefusedError && error.reason === 'stale-token') {
			this.record(placementEvents.tokenRefused, {error: error.message});
			this.wantsToken = true;
		}
	}

	private async unloadUnplanned(): Promise<void> {
		const {ledger, view, target} = this.options;
		const planned = view.planned(target);
		if (!planned) {
			return;
		}

		const unplanned = (ledger.baseline?.artifacts ?? [])
			.filter(({key, state}) => state === 'resident' && !planned.has(key))
			.map(({key}) => key)
			// Adapters go before the model that they extend.
			.sort((left, right) => (left < right ? -1 : 1));
		await this.give(unplanned, (orderId, key) =>
			ledger.prepareUnload(orderId, key),
		);
	}

	private async loadPlanned(): Promise<void> {
		const {ledger, view, target, pacer, clock} = this.options;
		const states = new Map(
			ledger.baseline?.artifacts.map(({key, state}) => [key, state]),
		);
		const missing = [...(view.planned(target) ?? [])]
			.filter((key) => !states.has(key) && view.artifact(key))
			.sort((left, right) => (left > right ? -1 : 1));
		const possible: ArtifactKey[] = [];
		for (const key of missing) {
			const artifact = view.artifact(key)!;
			const base = artifact.kind === 'adapter' ? view.baseOf(key) : undefined;
			const isBaseReady =
				artifact.kind === 'model' ||
				(base !== undefined && this.holdsModel(base));
			if (
				!isBaseReady ||
				(this.attempts.get(key)?.nextAt ?? 0) > clock.monotonic()
			) {
				continue;
			}

			if (!ledger.fits(artifact)) {
				this.noteShortage(artifact);
				continue;
			}

			const time = {now: clock.monotonic(), wall: clock.wall()};
			if (pacer.tryStart(this.pacerId(key), artifact.kind, time)) {
				this.noteAttempt(key);
				possible.push(key);
			}
		}

		await this.give(possible, (orderId, key) =>
			ledger.prepareLoad(orderId, view.artifact(key)!),
		);
	}

	/** True when the target serves the model in any version. */
	private holdsModel(key: ArtifactKey): boolean {
		const name = key.slice(0, key.lastIndexOf('@') + 1);
		return (this.options.ledger.baseline?.artifacts ?? []).some(
			(artifact) =>
				artifact.state === 'resident' && artifact.key.startsWith(name),
		);
	}

	/** Memory that a newer token frees is worth a claim; memory of recorded orders is not ours to free. */
	private noteShortage(artifact: Artifact): void {
		const {ledger, view, target} = this.options;
		const shown = new Set(ledger.baseline?.artifacts.map(({key}) => key));
		const planned = view.planned(target);
		let reclaimable = 0;
		for (const [key, bytes] of ledger.charges()) {
			reclaimable += shown.has(key) || planned?.has(key) ? 0 : bytes;
		}

		const free = ledger.memoryBytes - ledger.chargedBytes;
		if (reclaimable === 0 || free + reclaimable < artifact.bytes) {
			return;
		}

		if (ledger instanceof FencedOrderLedger) {
			this.wantsToken = true;
			return;
		}

		this.noteAttempt(artifact.key);
		this.record(placementEvents.memoryReserved, {
			artifact: artifact.key,
			reservedBytes: reclaimable,
		});
	}

	private noteAttempt(key: ArtifactKey): void {
		const {clock, random} = this.options;
		const failures = this.attempts.get(key)?.failures ?? 0;
		this.attempts.set(key, {
			failures: failures + 1,
			nextAt:
				clock.monotonic() + backoffMilliseconds(failures, retryDelay, random),
		});
	}

	/** Prepares, records where needed, and sends orders. Their results are taken in one by one. */
	private async give(
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
				this.options.pacer.finish(this.pacerId(key));
				continue;
			}

			orders.push(order.value);
		}

		if (orders.length === 0 || !(await this.recordIntents(orders))) {
			return;
		}

		for (const order of orders) {
			await this.send(order);
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
			this.close(order, 'not-sent');
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

	private async send(order: EngineOrder): Promise<void> {
		const {ledger, lease, engine} = this.options;
		if (this.options.token() === undefined) {
			this.close(order, 'not-sent');
			return;
		}

		if (ledger instanceof RecordedOrderLedger) {
			if (!ledger.isIntentOpen(order.orderId)) {
				return;
			}

			ledger.markSent(order.orderId);
		}

		this.takeIn(order, await engine.sendOrder(order));
	}

	private takeIn(
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
			this.close(
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
				this.wantsToken = true;
			}

			return;
		}

		this.record(placementEvents.orderUnanswered, {
			...fields,
			error: error.message,
		});
	}

	private close(order: EngineOrder, outcome: ClosedOutcome): void {
		if (this.options.ledger instanceof RecordedOrderLedger) {
			this.closed.add(order.orderId);
			this.options.onClosed(order.orderId, outcome);
		}

		if (order.action === 'load') {
			this.options.pacer.finish(this.pacerId(order.artifact));
		}
	}

	private pacerId(key: ArtifactKey): string {
		return `${this.options.target}/${key}`;
	}

	private record(
		event: LogEventDefinition,
		fields: Readonly<Record<string, unknown>>,
	): void {
		this.options.events.record(event, {target: this.options.target, ...fields});
	}
}
