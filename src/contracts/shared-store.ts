import {type ResultAsync} from 'neverthrow';
import {type ForwardingDocument} from './forwarding-document.js';
import {type HostId} from './ids.js';
import {type StreamOrigin} from './stream-origin.js';
import {type SuspicionReport} from './suspicion-report.js';
import {type TargetListChange} from './listed-target.js';
import {type VersionReport} from './version-report.js';

/** A call to the shared store failed. */
export class SharedStoreError extends Error {
	override readonly name: string = 'SharedStoreError';

	constructor(
		/** `not-done` guarantees that nothing was written; with `unknown` the write may have taken effect or may take effect later. */
		readonly outcome: 'not-done' | 'unknown',
		message: string,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

/** The requested records were deleted, so that a reader must start again from the newest state. */
export class HistoryTruncatedError extends SharedStoreError {
	override readonly name = 'HistoryTruncatedError';

	constructor(
		/** Position of the first retained record. */
		readonly earliest: StorePosition,
	) {
		super(
			'not-done',
			`the store retains no records before position ${earliest}`,
		);
	}
}

/** The store was restored from a copy after the position was read. Records that it had confirmed may be lost, so a reader must start again from the newest state. */
export class StoreRestoredError extends SharedStoreError {
	override readonly name = 'StoreRestoredError';

	constructor(
		/** First position of the restored log. */
		readonly earliest: StorePosition,
	) {
		super(
			'not-done',
			`the store was restored from a copy, its positions start at ${earliest} again`,
		);
	}
}

/** Position in one of the logs of the store. Positions that are given out after the store was restored from a copy are greater than all before. */
export type StorePosition = number;

/** Changes of a shared state and the position after them. */
export type StoreChanges<Change> = {
	readonly changes: readonly Change[];
	readonly next: StorePosition;
	/** True when the store has further changes after these. */
	readonly isPartial?: true;
};

/** State in the shared store that other programs write and hosts read continuously. */
export abstract class SharedState<Change> {
	/** Reads the newest state as a list of changes. */
	abstract readNewest(): ResultAsync<StoreChanges<Change>, SharedStoreError>;

	/** Reads the changes from a position on. Waits up to `waitMilliseconds` when there are none yet. */
	abstract readSince(
		position: StorePosition,
		waitMilliseconds: number,
	): ResultAsync<StoreChanges<Change>, SharedStoreError>;
}

/** A version of the operators' document, or the reason why it cannot be read. */
export type DocumentChange =
	| {readonly kind: 'document'; readonly document: ForwardingDocument}
	| {readonly kind: 'unreadable'; readonly reason: string};

/** The operators' document in the shared store. */
export abstract class DocumentState extends SharedState<DocumentChange> {}

/** The list of targets in the shared store. */
export abstract class TargetListState extends SharedState<TargetListChange> {}

/** A record of the owner lease, whose holder alone plans placement and sends orders to targets. */
export type OwnerRecord = {
	readonly kind: 'claimed' | 'renewed' | 'released';
	readonly host: HostId;
	/** Incarnation of the host, so that a restarted host does not mistake the lease of its previous incarnation for its own. */
	readonly incarnation: string;
	/** Address at which the holder accepts calls of other hosts. */
	readonly peerAddress: string;
	/** Time between the last order of any holder and this record. Set on a release, and negative while an earlier holder could still send orders. */
	readonly sinceLastOrderMilliseconds?: number | undefined;
	/** Quarantined fingerprints, so that they outlive all hosts. */
	readonly suspicions?: readonly SuspicionReport[] | undefined;
	/** Software versions that targets had, so that a host that starts after all others have ended knows them. Absent from the records of older builds. */
	readonly versionReport?: VersionReport | undefined;
};

/** A record with its position. The position of a claim is the fencing token of the lease. */
export type PositionedOwnerRecord = OwnerRecord & {
	readonly position: StorePosition;
	/** True when the store was restored after the record was sent, so that the records that followed it may be lost. */
	readonly isFromCopy: boolean;
};

/** The records of the lease that one read returned, and the position after them. */
export type OwnerRecords = {
	readonly records: readonly PositionedOwnerRecord[];
	readonly next: StorePosition;
	/** True when the store was restored since the position was read, or ever before a read of all records. These are then all records of the restored log. */
	readonly isRestored: boolean;
	/** True when these are all records that were ever appended, because none was deleted, lost or unreadable. */
	readonly isWhole?: boolean;
	/** True when the last record is unreadable, as one of a later build can be. */
	readonly isEndUnreadable?: boolean;
};

/** Outcome of a conditional append. */
export type ConditionalAppendOutcome =
	| {readonly kind: 'appended'; readonly position: StorePosition}
	/** Another record was written since the expected position, or the store was restored since it was read. */
	| {
			readonly kind: 'conflict';
			readonly next: StorePosition;
			readonly isRestored: boolean;
	  };

/** The log of the owner lease. */
export abstract class OwnerLog {
	/** Reads the records from a position on, or all retained ones when it is undefined. */
	abstract read(
		from: StorePosition | undefined,
	): ResultAsync<OwnerRecords, SharedStoreError>;

	/** Appends a record if the log still ends at the expected position. */
	abstract append(
		record: OwnerRecord,
		expectedEnd: StorePosition,
	): ResultAsync<ConditionalAppendOutcome, SharedStoreError>;
}

/** Streams that a read returned, and the position after them. */
export type StoredStreams = {
	readonly origins: readonly StreamOrigin[];
	readonly next: StorePosition;
};

/** The log of the software versions at which streams began, while targets of a pool have several. */
export abstract class StreamLog {
	/** Appends streams. An append whose outcome is unknown may be repeated. */
	abstract append(
		origins: readonly StreamOrigin[],
	): ResultAsync<void, SharedStoreError>;

	/** Reads streams from a position on, or from the first retained one when it is undefined. More may follow unless there are none. */
	abstract read(
		from: StorePosition | undefined,
	): ResultAsync<StoredStreams, SharedStoreError>;
}
