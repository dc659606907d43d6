import {type Result} from 'neverthrow';
import {type Artifact} from '../contracts/artifact.js';
import {type EngineOrder, type TargetReport} from '../contracts/engine.js';
import {
	type ArtifactKey,
	type FencingToken,
	type OrderId,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';

/** An order cannot be given to a target now. */
export class OrderLedgerError extends Error {
	override readonly name = 'OrderLedgerError';

	constructor(
		readonly reason: 'not-ready' | 'insufficient-memory' | 'not-recorded',
		message: string,
	) {
		super(message);
	}
}

/** A load that may still take effect on a target. */
export type PendingLoad = {
	readonly artifact: ArtifactKey;
	readonly bytes: number;
};

/** The target and the memory that the document gives it. */
export type OrderLedgerOptions = {
	readonly target: TargetId;
	readonly memoryBytes: number;
};

/**
 * What one target may hold in the worst order of arrival of all orders that are still on their way.
 * One holder of a group lease keeps one ledger for each target and discards it with the lease.
 *
 * A load of an artifact that the target holds already takes no further memory, so charges are
 * counted once for each artifact. Unloads free memory only when a report shows them done.
 */
export abstract class OrderLedger {
	readonly target: TargetId;
	/** False until a fence was acknowledged under the lease of this holder. */
	protected isFenced = false;
	private baselineReport: TargetReport | undefined;
	private isStale = false;
	private memory: number;
	private readonly retiredIncarnations = new Set<TargetIncarnation>();

	constructor(options: OrderLedgerOptions) {
		this.target = options.target;
		this.memory = options.memoryBytes;
	}

	/** The newest report that may be relied on. */
	get baseline(): TargetReport | undefined {
		return this.baselineReport;
	}

	/** True when the target refused the token because a newer holder exists. */
	get isSuperseded(): boolean {
		return this.isStale;
	}

	/** True when orders may be prepared. Otherwise a fence comes first. */
	get isReady(): boolean {
		return this.isFenced && !this.isStale && this.baselineReport !== undefined;
	}

	/** The memory that the target and the document agree on. */
	get memoryBytes(): number {
		return Math.min(
			this.memory,
			this.baselineReport?.memoryBytes ?? this.memory,
		);
	}

	/** Bytes charged to the target. */
	get chargedBytes(): number {
		let sum = 0;
		for (const bytes of this.charges().values()) {
			sum += bytes;
		}

		return sum;
	}

	/** Bytes charged for loads that the baseline does not show. */
	get reservedBytes(): number {
		const shown = new Set(this.baselineReport?.artifacts.map(({key}) => key));
		let sum = 0;
		for (const [key, bytes] of this.charges()) {
			sum += shown.has(key) ? 0 : bytes;
		}

		return sum;
	}

	/** Takes over a changed memory size from the document. */
	resize(memoryBytes: number): void {
		this.memory = memoryBytes;
	}

	/** Charged bytes for each artifact: reported ones and loads that may still take effect. */
	charges(): ReadonlyMap<ArtifactKey, number> {
		const charges = new Map<ArtifactKey, number>();
		const charge = (key: ArtifactKey, bytes: number) => {
			charges.set(key, Math.max(charges.get(key) ?? 0, bytes));
		};

		for (const {key, bytes} of this.baselineReport?.artifacts ?? []) {
			charge(key, bytes);
		}

		for (const {artifact, bytes} of this.pendingLoads()) {
			charge(artifact, bytes);
		}

		return charges;
	}

	/** True when a load can be ordered now without exceeding the memory in any order of arrival. */
	fits(artifact: Artifact): boolean {
		if (!this.isReady) {
			return false;
		}

		const charges = this.charges();
		const charged = charges.get(artifact.key) ?? 0;
		const additional = Math.max(0, artifact.bytes - charged);
		// The charge of the artifact itself may stand for an order that has no effect any more, so the
		// sum has to fit even when the load adds nothing to it.
		return this.chargedBytes + additional <= this.memoryBytes;
	}

	/**
	 * Takes in a polled report. Reports of the baseline's incarnation count only when they are newer.
	 * A report of another incarnation may be older or newer, so a fence has to decide.
	 */
	observeReport(report: TargetReport): void {
		const {baseline} = this;
		if (
			report.target !== this.target ||
			!baseline ||
			this.retiredIncarnations.has(report.incarnation)
		) {
			return;
		}

		if (report.incarnation !== baseline.incarnation) {
			this.isFenced = false;
			return;
		}

		if (report.sequence > baseline.sequence) {
			this.setBaseline(report);
		}
	}

	/** Marks the holder as superseded after a refusal of its token. */
	markSuperseded(): void {
		this.isStale = true;
	}

	/** Starts a fence. On a target that ignores fencing its acknowledgement still shows the state. */
	abstract beginFence(orderId: OrderId, token: FencingToken): EngineOrder;

	/** Takes in the acknowledgement of the fence that was begun last. Others are dropped. */
	abstract onFenceAcknowledged(orderId: OrderId, report: TargetReport): void;

	/** Reserves memory for a load and returns the order. */
	abstract prepareLoad(
		orderId: OrderId,
		artifact: Artifact,
	): Result<EngineOrder, OrderLedgerError>;

	/** Returns an order to unload an artifact. */
	abstract prepareUnload(
		orderId: OrderId,
		artifact: ArtifactKey,
	): Result<EngineOrder, OrderLedgerError>;

	/** Takes in the acknowledgement of a load or unload. */
	abstract onOrderAcknowledged(orderId: OrderId, report: TargetReport): void;

	/** The target refused the order, so this copy has no effect. */
	abstract onOrderRefused(orderId: OrderId): void;

	/** Replaces the baseline by the report of a fence, whatever its incarnation. */
	protected adoptFenceReport(report: TargetReport): boolean {
		if (this.retiredIncarnations.has(report.incarnation)) {
			return false;
		}

		const {baseline} = this;
		if (baseline && baseline.incarnation !== report.incarnation) {
			this.retiredIncarnations.add(baseline.incarnation);
			this.baselineReport = undefined;
		}

		if (
			!this.baselineReport ||
			report.sequence >= this.baselineReport.sequence
		) {
			this.setBaseline(report);
		}

		return true;
	}

	/** Makes a report the baseline. */
	protected setBaseline(report: TargetReport): void {
		this.baselineReport = report;
	}

	/** Loads that may still take effect although the baseline need not show them. */
	protected abstract pendingLoads(): Iterable<PendingLoad>;
}
