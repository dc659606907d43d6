import {type ResultAsync} from 'neverthrow';
import {type ForwardingDocument} from './forwarding-document.js';
import {type HostId} from './ids.js';
import {type TargetListChange} from './listed-target.js';

/** A call to the store failed. */
export class SharedStoreError extends Error {
	override readonly name: string = 'SharedStoreError';

	constructor(
		/** With `not-done` nothing was written; with `unknown` it may have been, or may be later. */
		readonly outcome: 'not-done' | 'unknown',
		message: string,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

/** The records asked for are deleted, so a reader has to start over from the newest state. */
export class HistoryTruncatedError extends SharedStoreError {
	override readonly name = 'HistoryLostError';

	constructor(
		/** Position of the first record that is retained. */
		readonly earliest: number,
	) {
		super('not-done', 'the store has deleted the records asked for');
	}
}

/** Position in one of the store's logs. */
export type StorePosition = number;

/** Changes of a followed state and the position after them. */
export type StoreChanges<Change> = {
	readonly changes: readonly Change[];
	readonly next: StorePosition;
};

/** State that others write and hosts follow. */
export abstract class SharedState<Change> {
	/** Reads the newest state as a list of changes. */
	abstract readNewest(): ResultAsync<StoreChanges<Change>, SharedStoreError>;

	/** Reads what was written since a position and waits for it at most the given time. */
	abstract readSince(
		position: StorePosition,
		waitMilliseconds: number,
	): ResultAsync<StoreChanges<Change>, SharedStoreError>;
}

/** A version of the operators' document, or the reason why it cannot be used. */
export type DocumentChange =
	| {readonly kind: 'document'; readonly document: ForwardingDocument}
	| {readonly kind: 'unreadable'; readonly reason: string};

/** The operators' document. */
export abstract class DocumentState extends SharedState<DocumentChange> {}

/** The list of targets. */
export abstract class TargetListState extends SharedState<TargetListChange> {}

/** What a host writes about the lease of the owner of placement. */
export type OwnerRecord = {
	readonly kind: 'claimed' | 'renewed' | 'released';
	readonly host: HostId;
	/** Incarnation of the host, so that a restarted host does not take a lease of its former life for its own. */
	readonly incarnation: string;
	/** Address at which the holder answers other hosts. */
	readonly peerAddress: string;
	/** Time since the holder's last order, at a release. */
	readonly sinceLastOrderMilliseconds?: number | undefined;
};

/** A record with its position. The position of a claim is the fencing token of the lease. */
export type PositionedOwnerRecord = OwnerRecord & {
	readonly position: StorePosition;
};

/** The records of the lease that one read returned. */
export type OwnerRecords = {
	readonly records: readonly PositionedOwnerRecord[];
	readonly next: StorePosition;
};

/** Outcome of a conditional append. */
export type ConditionalAppendOutcome =
	| {readonly kind: 'appended'; readonly position: StorePosition}
	/** Somebody else wrote since the position named. */
	| {readonly kind: 'conflict'; readonly next: StorePosition};

/** The log of the owner lease. */
export abstract class OwnerLog {
	/** Reads the records from a position, or the retained ones when it is undefined. */
	abstract read(
		from: StorePosition | undefined,
	): ResultAsync<OwnerRecords, SharedStoreError>;

	/** Appends a record if the log ends at the given position. */
	abstract append(
		record: OwnerRecord,
		expectedEnd: StorePosition,
	): ResultAsync<ConditionalAppendOutcome, SharedStoreError>;
}
