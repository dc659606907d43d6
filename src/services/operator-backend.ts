import {type ResultAsync} from 'neverthrow';
import {type FleetDocument} from '../contracts/fleet-document.js';
import {type OrderId, type Revision, type TargetId} from '../contracts/ids.js';
import {type BurnReport} from '../core/burn/burn-report.js';
import {type DecisionQuery, type JournalEntry} from './decision-journal.js';

/** An accepted document in the history. */
export type HistoryEntry = {
	readonly revision: Revision;
	readonly operator: string;
	readonly summary: string;
	/** Time of the submission in milliseconds since the Unix epoch, by the clock of the submitting host. */
	readonly time: number;
};

/** The document in force and its revision. */
export type DocumentInForce = {
	readonly revision: Revision;
	readonly document: FleetDocument;
};

/** A document that an operator submits. It is accepted only if `expectedRevision` is in force. */
export type DocumentSubmission = {
	readonly expectedRevision: Revision;
	readonly document: FleetDocument;
	readonly operator: string;
	readonly summary: string;
};

/** A host as seen by the responding host. */
export type MemberStatus = {
	readonly host: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly state: 'live' | 'leaving' | 'suspect' | 'gone';
	readonly ready: boolean;
	/** Revision of the document in force on that host. */
	readonly revision: number;
	readonly controlOffset: number;
	/** Age of the last heartbeat. Zero for the responding host, -1 if no heartbeat was received. */
	readonly ageMilliseconds: number;
};

/** A lease in the control state of the responding host. */
export type LeaseStatus = {
	readonly lease: string;
	/** Host that holds the lease, or null if it was released. */
	readonly holder: string | null;
	/** Fencing token. */
	readonly token: number;
	/** Time since the lease was claimed. */
	readonly ageMilliseconds: number;
	readonly reason: string;
};

/** State, memory and artifacts of a target. */
export type TargetStatus = {
	readonly target: string;
	readonly failureDomain: string;
	readonly state: 'live' | 'leaving' | 'suspect' | 'dead' | 'unknown';
	readonly memoryBytes: number;
	/** Bytes of the artifacts in the last report. */
	readonly reportedBytes: number;
	/** Reported bytes plus the bytes of all orders that may still take effect. */
	readonly chargedBytes: number;
	readonly running: number;
	readonly queued: number;
	/** Age of the last report, or null if none was received. */
	readonly reportAgeMilliseconds: number | null;
	readonly artifacts: ReadonlyArray<{
		readonly artifact: string;
		readonly state: 'planned' | 'loading' | 'resident' | 'unloading';
		readonly desired: boolean;
		readonly reason?: string;
	}>;
};

/** A pool and its targets. */
export type PoolStatus = {
	readonly pool: string;
	readonly kind: 'engine' | 'service';
	readonly targets: readonly TargetStatus[];
};

/** The fleet as seen by the responding host. */
export type FleetStatus = {
	readonly host: string;
	readonly revision: number;
	readonly logReachable: boolean;
	readonly members: readonly MemberStatus[];
	readonly leases: readonly LeaseStatus[];
	readonly pools: readonly PoolStatus[];
};

/** An order that may still take effect. */
export type OpenOrder = {
	readonly orderId: OrderId;
	readonly target: TargetId;
	readonly action: string;
	readonly artifact: string;
	readonly bytes: number;
	/** Incarnation that recorded the order. */
	readonly holder: string;
	/** False if the process that recorded the order no longer runs. */
	readonly holderLive: boolean;
};

/** An operator request failed. */
export abstract class OperatorBackendError extends Error {}

/** The expected revision of a submission is not the one in force, because another document was accepted. */
export class RevisionConflictError extends OperatorBackendError {
	override readonly name = 'RevisionConflictError';

	constructor(
		readonly expected: number,
		readonly current: number,
		/** Operator of the document in force. */
		readonly winner: string,
	) {
		super(
			`The submission expected revision ${expected}, but revision ${current} by ${winner} is in force.`,
		);
	}
}

/** The log did not confirm a record. The record can still take effect. */
export class NotRecordedError extends OperatorBackendError {
	override readonly name = 'NotRecordedError';
}

/** The record was not accepted when it was applied to the control state. */
export class RecordRefusedError extends OperatorBackendError {
	override readonly name = 'RecordRefusedError';
}

/** An operator named orders that are not open. */
export class UnknownOrderError extends OperatorBackendError {
	override readonly name = 'UnknownOrderError';

	constructor(readonly orders: readonly string[]) {
		super(`Some orders are not among the open orders: ${orders.join(', ')}.`);
	}
}

/** The operations behind the operator API. */
export abstract class OperatorBackend {
	/** Returns the document in force, or undefined before the first one was accepted. */
	abstract document(): DocumentInForce | undefined;

	/** Returns the accepted documents, oldest first. */
	abstract history(): readonly HistoryEntry[];

	/**
	 * Submits a document and resolves with its revision once it is in force on this host.
	 * Fails with `RevisionConflictError`, `RecordRefusedError` or `NotRecordedError`.
	 */
	abstract submit(
		submission: DocumentSubmission,
	): ResultAsync<Revision, OperatorBackendError>;

	/** Returns the fleet as seen by this host. */
	abstract status(): FleetStatus;

	/** Resolves with matching decisions, newest first. May query other hosts. */
	abstract explain(
		query: DecisionQuery,
	): ResultAsync<readonly JournalEntry[], OperatorBackendError>;

	/** Resolves with the error budget burn of all caller classes. May include other hosts. */
	abstract burn(): ResultAsync<BurnReport, OperatorBackendError>;

	/** Returns the orders that may still take effect. */
	abstract openOrders(): readonly OpenOrder[];

	/**
	 * Records that open orders are settled, so that their bytes are no longer charged.
	 * Fails with `UnknownOrderError`, `RecordRefusedError` or `NotRecordedError`.
	 */
	abstract settle(
		orders: readonly OrderId[],
		operator: string,
	): ResultAsync<void, OperatorBackendError>;

	/** Returns the reasons why this host is not ready. Empty if it is ready. */
	abstract notReadyReasons(): readonly string[];

	/** Returns the metrics in the Prometheus text exposition format. */
	abstract metrics(): string;
}
