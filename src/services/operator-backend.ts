import {type ResultAsync} from 'neverthrow';
import {type FleetDocument} from '../contracts/fleet-document.js';
import {type OrderId, type Revision, type TargetId} from '../contracts/ids.js';
import {type BurnReport} from '../core/burn-report.js';
import {type DecisionQuery, type JournalEntry} from './decision-journal.js';

/** An accepted document as the history shows it. */
export type HistoryEntry = {
	readonly revision: Revision;
	readonly operator: string;
	readonly summary: string;
	readonly time: number;
};

/** The document in force. */
export type DocumentInForce = {
	readonly revision: Revision;
	readonly document: FleetDocument;
};

/** A document that an operator submits. */
export type DocumentSubmission = {
	readonly expectedRevision: Revision;
	readonly document: FleetDocument;
	readonly operator: string;
	readonly summary: string;
};

/** A host as the answering host sees it. */
export type MemberStatus = {
	readonly host: string;
	readonly incarnation: string;
	readonly failureDomain: string;
	readonly state: 'live' | 'leaving' | 'suspect' | 'gone';
	readonly ready: boolean;
	/** Revision of the document in force on that host. */
	readonly revision: number;
	readonly controlOffset: number;
	/** Age of the newest heartbeat. Zero for the answering host. */
	readonly ageMilliseconds: number;
};

/** A lease as folded from the log. */
export type LeaseStatus = {
	readonly lease: string;
	readonly holder: string | null;
	readonly token: number;
	readonly ageMilliseconds: number;
	readonly reason: string;
};

/** Memory and content of a target. */
export type TargetStatus = {
	readonly target: string;
	readonly failureDomain: string;
	readonly state: 'live' | 'leaving' | 'suspect' | 'dead' | 'unknown';
	readonly memoryBytes: number;
	/** Bytes that the newest report shows. */
	readonly reportedBytes: number;
	/** Reported bytes plus all orders that may still take effect. */
	readonly chargedBytes: number;
	readonly running: number;
	readonly queued: number;
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

/** The fleet as the answering host sees it. */
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
	readonly holder: string;
	/** False when the process that recorded the order no longer runs. */
	readonly holderLive: boolean;
};

/** A failure of an operator's request. */
export abstract class OperatorBackendError extends Error {}

/** Another operator was first. */
export class RevisionConflictError extends OperatorBackendError {
	override readonly name = 'RevisionConflictError';

	constructor(
		readonly expected: number,
		readonly current: number,
		/** Operator of the document in force. */
		readonly winner: string,
	) {
		super(
			`revision ${current} by ${winner} is in force, but ${expected} was expected`,
		);
	}
}

/** The log did not confirm the record, which can still take effect. */
export class NotRecordedError extends OperatorBackendError {
	override readonly name = 'NotRecordedError';
}

/** The fold refused the record. */
export class RecordRefusedError extends OperatorBackendError {
	override readonly name = 'RecordRefusedError';
}

/** Orders that are not open. */
export class UnknownOrderError extends OperatorBackendError {
	override readonly name = 'UnknownOrderError';

	constructor(readonly orders: readonly string[]) {
		super(`not among the open orders: ${orders.join(', ')}`);
	}
}

/** What the operators' listener needs of the rest of the system. */
export abstract class OperatorBackend {
	/** Returns the document in force, or undefined before the first one. */
	abstract document(): DocumentInForce | undefined;

	/** Returns the accepted documents, the oldest first. */
	abstract history(): readonly HistoryEntry[];

	/** Submits a document and resolves with its revision once it is in force on this host. */
	abstract submit(
		submission: DocumentSubmission,
	): ResultAsync<Revision, OperatorBackendError>;

	/** Returns the fleet as this host sees it. */
	abstract status(): FleetStatus;

	/** Returns decisions, the newest first. May ask other hosts. */
	abstract explain(
		query: DecisionQuery,
	): ResultAsync<readonly JournalEntry[], OperatorBackendError>;

	/** Returns the burn of all caller classes. May add up other hosts. */
	abstract burn(): ResultAsync<BurnReport, OperatorBackendError>;

	/** Returns the orders that may still take effect. */
	abstract openOrders(): readonly OpenOrder[];

	/** Declares open orders settled, so that their memory is no longer charged. */
	abstract settle(
		orders: readonly OrderId[],
		operator: string,
	): ResultAsync<void, OperatorBackendError>;

	/** Returns why the host is not ready. Empty when it is. */
	abstract notReadyReasons(): readonly string[];

	/** Returns the metrics in the text exposition format. */
	abstract metrics(): string;
}
