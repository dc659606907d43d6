import {type Result} from 'neverthrow';
import {type Artifact} from '../../contracts/artifact.js';
import {type EngineOrder, type TargetReport} from '../../contracts/engine.js';
import {
	type ArtifactKey,
	type FencingToken,
	type OrderId,
	type TargetId,
	type TargetIncarnation,
} from '../../contracts/ids.js';

/** An order cannot be prepared for a target at present. */
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

/** The target of a ledger and its memory according to the document. */
export type OrderLedgerOptions = {
	readonly target: TargetId;
	readonly memoryBytes: number;
};

/**
 * Accounts for the memory of one target under the worst possible arrival order of all orders still in flight.
 * The holder of a group lease keeps one ledger per target and discards it together with the lease.
 *
 * Loading an artifact that the target already holds takes no further memory, so each artifact is charged once.
 * An unload frees memory only after a report shows that the artifact is gone.
 */
export abstract class OrderLedger {
	readonly target: TargetId;
	/** False until a fence is acknowledged under the lease of this holder. */
	protected isFenced = false;
	private baselineReport: TargetReport | undefined;
	private wasSuperseded = false;
	private documentMemoryBytes: number;
	private readonly retiredIncarnations = new Set<TargetIncarnation>();

	constructor(options: OrderLedgerOptions) {
		this.target = options.target;
		this.documentMemoryBytes = options.memoryBytes;
	}

	/** The newest report that accounting may rely on, or undefined before the first fence is acknowledged. */
	get baseline(): TargetReport | undefined {
		return this.baselineReport;
	}

	/** True after the target refused the token because a newer lease holder exists. */
	get isSuperseded(): boolean {
		return this.wasSuperseded;
	}

	/** True when orders can be prepared. Otherwise a fence has to be acknowledged first. */
	get isReady(): boolean {
		return (
			this.isFenced && !this.wasSuperseded && this.baselineReport !== undefined
		);
	}

	/** The smaller of the memory sizes that the document and the target state. */
	get memoryBytes(): number {
		return Math.min(
			this.documentMemoryBytes,
			this.baselineReport?.memoryBytes ?? this.documentMemoryBytes,
		);
	}

	/** Total bytes charged to the target. */
	get chargedBytes(): number {
		let sum = 0;
		for (const bytes of this.charges().values()) {
			sum += bytes;
		}

		return sum;
	}

	/** Bytes charged for loads of artifacts that the baseline does not list. */
	get reservedBytes(): number {
		const listed = new Set(this.baselineReport?.artifacts.map(({key}) => key));
		let sum = 0;
		for (const [key, bytes] of this.charges()) {
			sum += listed.has(key) ? 0 : bytes;
		}

		return sum;
	}

	/** Applies a changed memory size of the document. */
	resize(memoryBytes: number): void {
		this.documentMemoryBytes = memoryBytes;
	}

	/** Returns the charged bytes by artifact, for reported artifacts and for loads that may still take effect. */
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

	/** Returns whether an artifact can be loaded now without exceeding the memory in any arrival order. */
	fits(artifact: Artifact): boolean {
		if (!this.isReady) {
			return false;
		}

		const charges = this.charges();
		const charged = charges.get(artifact.key) ?? 0;
		const additional = Math.max(0, artifact.bytes - charged);
		// The charge of this artifact may belong to an order that no longer has any effect. The total therefore
		// has to fit even when the load adds nothing to it.
		return this.chargedBytes + additional <= this.memoryBytes;
	}

	/**
	 * Applies a polled report. Reports of the baseline's incarnation are applied only if they are newer. A report of
	 * another incarnation may be older or newer than the baseline, so it makes a new fence necessary.
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

	/** Marks the lease holder as superseded after the target refused its token. */
	markSuperseded(): void {
		this.wasSuperseded = true;
	}

	/**
	 * Returns a fence order to send. A target that ignores fencing also acknowledges it with a report, which becomes the
	 * baseline.
	 */
	abstract beginFence(orderId: OrderId, token: FencingToken): EngineOrder;

	/** Applies the acknowledgement of the fence that was begun last. Those of other fences are ignored. */
	abstract onFenceAcknowledged(orderId: OrderId, report: TargetReport): void;

	/** Reserves memory for a load and returns the order to send. Fails without a fence or with too little memory. */
	abstract prepareLoad(
		orderId: OrderId,
		artifact: Artifact,
	): Result<EngineOrder, OrderLedgerError>;

	/** Returns an order that unloads an artifact. Fails without a fence. */
	abstract prepareUnload(
		orderId: OrderId,
		artifact: ArtifactKey,
	): Result<EngineOrder, OrderLedgerError>;

	/** Applies the acknowledgement of a load or unload. */
	abstract onOrderAcknowledged(orderId: OrderId, report: TargetReport): void;

	/** Records that the target refused an order, so that this transmission of it has no effect. */
	abstract onOrderRefused(orderId: OrderId): void;

	/**
	 * Makes the report of a fence the baseline, whatever its incarnation, unless it is older than the baseline. Returns
	 * false for a report of a retired incarnation.
	 */
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

	/** Returns the loads that may still take effect, whether or not the baseline lists their artifacts. */
	protected abstract pendingLoads(): Iterable<PendingLoad>;
}
