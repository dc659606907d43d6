import {
	claimRecordSchema,
	type ClaimRecord,
	type RecordedOutcome,
} from '../contracts/claim-record.js';
import {
	type CallerId,
	type IdempotencyKey,
	type IncarnationId,
	type LogOffset,
	type RequestId,
} from '../contracts/ids.js';
import {type StoredRecord} from '../contracts/log-service.js';

/** The claim of an idempotency key as every host sees it. */
export type ClaimEntry = {
	readonly caller: CallerId;
	readonly key: IdempotencyKey;
	readonly bodyDigest: string;
	readonly requestId: RequestId;
	readonly incarnation: IncarnationId;
	readonly time: number;
	readonly expiresAt: number;
	readonly state: 'claimed' | 'settled';
	/** Null while the call runs, and for good when its outcome is unknown. */
	readonly outcome: RecordedOutcome | null;
	/** Offset of the accepted claim. */
	readonly claimOffset: LogOffset;
	/** Offset of the newest record that carries this entry in its present state. */
	readonly offset: LogOffset;
};

// A reader that forgets an entry before its expiry by the clock of another host would fold that host's claim differently.
const clockToleranceMilliseconds = 3_600_000;

// Only calls that were running when the oldest kept record was written settle without their claim.
const maximumEarlySettlements = 10_000;

type EarlySettlement = Pick<ClaimEntry, 'outcome' | 'offset'> & {
	readonly incarnation: IncarnationId;
};

type ClaimOf<Kind extends ClaimRecord['kind']> = Extract<
	ClaimRecord,
	{kind: Kind}
>;

/**
 * The fold of the stream `claims`. The first claim of a key in log order wins.
 * All hosts that read the same records give the same answer.
 */
export class ClaimIndex {
	private readonly entries = new Map<string, ClaimEntry>();

	/** Released requests and when to forget them. A repeated append of their claim must not revive it. */
	private readonly releasedRequests = new Map<RequestId, number>();

	/**
	 * Settlements of claims that this reader has not seen, because it began after them. A carry that was
	 * made before the settlement and stored after it brings the claim without its outcome.
	 */
	private readonly earlySettlements = new Map<RequestId, EarlySettlement>();

	/** Offset after the last folded record. */
	private nextUnappliedOffset = 0 as LogOffset;

	/** Number of keys remembered. */
	get size(): number {
		return this.entries.size;
	}

	/** All records before this offset that the log still kept are folded. */
	get nextOffset(): LogOffset {
		return this.nextUnappliedOffset;
	}

	/** Returns the claim of a key. */
	getEntry(caller: CallerId, key: IdempotencyKey): ClaimEntry | undefined {
		return this.entries.get(entryKey(caller, key));
	}

	/** Folds one record. Records that follow no known form are ignored by every host alike. */
	apply(stored: StoredRecord): void {
		this.nextUnappliedOffset = (stored.offset + 1) as LogOffset;
		const parsed = claimRecordSchema.safeParse(stored.body);
		if (!parsed.success) {
			return;
		}

		const record = parsed.data;
		switch (record.kind) {
			case 'key-claimed': {
				this.applyClaim(record, stored.offset);
				return;
			}

			case 'key-released': {
				this.applyRelease(record);
				return;
			}

			case 'key-settled': {
				this.applySettlement(record, stored.offset);
				return;
			}

			case 'claims-carried': {
				this.applyCarried(record, stored.offset);
			}
		}
	}

	/** Entries whose newest record lies before an offset, to carry forward before the log drops it. */
	entriesBefore(offset: LogOffset, limit: number): ClaimEntry[] {
		const matches: ClaimEntry[] = [];
		for (const entry of this.entries.values()) {
			if (entry.offset >= offset) {
				continue;
			}

			matches.push(entry);
			if (matches.length === limit) {
				break;
			}
		}

		return matches;
	}

	/** Frees the memory of entries that expired before a wall time by more than the clocks of hosts differ. */
	removeExpired(wallTime: number): void {
		const cutoff = wallTime - clockToleranceMilliseconds;
		for (const [name, entry] of this.entries) {
			if (entry.expiresAt < cutoff) {
				this.entries.delete(name);
			}
		}

		for (const [requestId, expiresAt] of this.releasedRequests) {
			if (expiresAt < cutoff) {
				this.releasedRequests.delete(requestId);
			}
		}
	}

	private applyClaim(record: ClaimOf<'key-claimed'>, offset: LogOffset): void {
		if (this.releasedRequests.has(record.requestId)) {
			return;
		}

		const name = entryKey(record.caller, record.key);
		const current = this.entries.get(name);
		// Expiry compares times in records, not the reader's clock, so that all readers agree.
		if (current && record.time <= current.expiresAt) {
			return;
		}

		this.earlySettlements.delete(record.requestId);
		const {kind, host, ...claim} = record;
		this.entries.set(name, {
			...claim,
			state: 'claimed',
			outcome: null,
			claimOffset: offset,
			offset,
		});
	}

	private applyRelease(record: ClaimOf<'key-released'>): void {
		const name = entryKey(record.caller, record.key);
		const current = this.entries.get(name);
		if (!current || !isOpenClaimOf(current, record)) {
			return;
		}

		this.entries.delete(name);
		this.releasedRequests.set(record.requestId, current.expiresAt);
	}

	private applySettlement(
		record: ClaimOf<'key-settled'>,
		offset: LogOffset,
	): void {
		const name = entryKey(record.caller, record.key);
		const current = this.entries.get(name);
		if (current?.requestId !== record.requestId) {
			this.recordEarlySettlement(record, offset);
			return;
		}

		if (!isOpenClaimOf(current, record)) {
			return;
		}

		this.entries.set(name, {
			...current,
			state: 'settled',
			outcome: record.outcome,
			offset,
		});
	}

	private recordEarlySettlement(
		{requestId, incarnation, outcome}: ClaimOf<'key-settled'>,
		offset: LogOffset,
	): void {
		this.earlySettlements.set(requestId, {incarnation, outcome, offset});
		const [oldest] = this.earlySettlements.keys();
		if (oldest && this.earlySettlements.size > maximumEarlySettlements) {
			this.earlySettlements.delete(oldest);
		}
	}

	private withEarlySettlement(carried: ClaimEntry): ClaimEntry {
		const settlement = this.earlySettlements.get(carried.requestId);
		this.earlySettlements.delete(carried.requestId);
		return carried.state === 'claimed' &&
			settlement?.incarnation === carried.incarnation
			? {...carried, ...settlement, state: 'settled'}
			: carried;
	}

	private applyCarried(
		record: ClaimOf<'claims-carried'>,
		offset: LogOffset,
	): void {
		for (const entry of record.entries) {
			if (this.releasedRequests.has(entry.requestId)) {
				continue;
			}

			const carried = this.withEarlySettlement({...entry, offset});

			const name = entryKey(carried.caller, carried.key);
			const current = this.entries.get(name);
			if (!current) {
				this.entries.set(name, carried);
			} else if (current.requestId === carried.requestId) {
				// A settlement can precede a carry that was made without it. Its own record must be carried too.
				if (carried.state === 'settled' || current.state === 'claimed') {
					this.entries.set(name, carried);
				}
			} else {
				this.entries.set(
					name,
					mergeConflictingClaims(current, carried, record.asOf),
				);
			}
		}
	}
}

function entryKey(caller: CallerId, key: IdempotencyKey): string {
	return `${caller}\n${key}`;
}

/**
 * Decides between two holders of a key. Only a reader that started in the middle of the stream sees two,
 * because the record that decided between them is gone. The later expiry applies, so that a wrong
 * choice can delay a new run of the key but never allow a second one.
 */
function mergeConflictingClaims(
	current: ClaimEntry,
	carried: ClaimEntry,
	asOf: LogOffset,
): ClaimEntry {
	if (carried.expiresAt < current.time) {
		return current;
	}

	if (current.expiresAt < carried.time) {
		return carried;
	}

	// Settlement proves that a claim was granted. Otherwise the appender that had folded both claims is right.
	const isCarriedGranted =
		current.state === 'claimed' &&
		(carried.state === 'settled' || asOf > current.claimOffset);
	return {
		...(isCarriedGranted ? carried : current),
		expiresAt: Math.max(current.expiresAt, carried.expiresAt),
	};
}

function isOpenClaimOf(
	entry: ClaimEntry,
	record: {requestId: RequestId; incarnation: IncarnationId},
): boolean {
	return (
		entry.state === 'claimed' &&
		entry.requestId === record.requestId &&
		entry.incarnation === record.incarnation
	);
}
