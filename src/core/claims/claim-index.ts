import {
	claimRecordSchema,
	type ClaimRecord,
	type RecordedOutcome,
} from '../../contracts/claim-record.js';
import {
	type CallerId,
	type IdempotencyKey,
	type IncarnationId,
	type LogOffset,
	type RequestId,
} from '../../contracts/ids.js';
import {type StoredRecord} from '../../contracts/log-service.js';

/** State of an idempotency key, identical on all hosts that have read the same records. */
export type ClaimEntry = {
	readonly caller: CallerId;
	readonly key: IdempotencyKey;
	readonly bodyDigest: string;
	readonly requestId: RequestId;
	readonly incarnation: IncarnationId;
	/** Wall-clock time in milliseconds of the claim, by the clock of the claiming host. */
	readonly time: number;
	/** Wall-clock time in milliseconds after which the key may be claimed again. */
	readonly expiresAt: number;
	readonly state: 'claimed' | 'settled';
	/** Null while the call is running, and permanently if its outcome is unknown. */
	readonly outcome: RecordedOutcome | null;
	/** Offset of the accepted claim. */
	readonly claimOffset: LogOffset;
	/** Offset of the newest record that contains this entry in its current state. */
	readonly offset: LogOffset;
};

// Must exceed the clock difference between hosts: a reader that removes an entry before it expires by the
// clock of another host would apply that host's claim differently.
const clockToleranceMilliseconds = 3_600_000;

// A settlement without its claim occurs only for calls that were running when the oldest retained record
// was written, so few entries are needed.
const maximumEarlySettlements = 10_000;

type EarlySettlement = Pick<ClaimEntry, 'outcome' | 'offset'> & {
	readonly incarnation: IncarnationId;
};

type ClaimOf<Kind extends ClaimRecord['kind']> = Extract<
	ClaimRecord,
	{kind: Kind}
>;

/**
 * Index of idempotency keys, built by applying the records of the stream `claims` in log order.
 * The first claim of a key wins. All hosts that read the same records reach the same state.
 */
export class ClaimIndex {
	private readonly entries = new Map<string, ClaimEntry>();

	/** Expiry times of released requests. A repeated append of a released claim must not restore it. */
	private readonly releasedRequests = new Map<RequestId, number>();

	/**
	 * Settlements of claims that precede the first record that this reader has read. A claims-carried record
	 * that was created before the settlement but stored after it contains the claim without its outcome.
	 */
	private readonly earlySettlements = new Map<RequestId, EarlySettlement>();

	/** Offset after the last applied record. */
	private nextUnappliedOffset = 0 as LogOffset;

	/** Number of keys in the index. */
	get size(): number {
		return this.entries.size;
	}

	/** Offset of the next record to apply. All earlier records that the log still retained have been applied. */
	get nextOffset(): LogOffset {
		return this.nextUnappliedOffset;
	}

	/** Returns the entry of a key, or undefined if the key is not claimed. */
	getEntry(caller: CallerId, key: IdempotencyKey): ClaimEntry | undefined {
		return this.entries.get(entryKey(caller, key));
	}

	/** Applies one record. A record that does not match the schema is ignored, on every host alike. */
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

	/** Returns up to `limit` entries whose newest record lies before an offset, to carry forward before the log truncates that record. */
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

	/** Removes entries that expired more than the clock tolerance of one hour before a wall-clock time in milliseconds. */
	removeExpired(wallTime: number): void {
		const cutoff = wallTime - clockToleranceMilliseconds;
		for (const [mapKey, entry] of this.entries) {
			if (entry.expiresAt < cutoff) {
				this.entries.delete(mapKey);
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

		const mapKey = entryKey(record.caller, record.key);
		const current = this.entries.get(mapKey);
		// Expiry compares times in records, not the reader's clock, so that all readers reach the same result.
		if (current && record.time <= current.expiresAt) {
			return;
		}

		this.earlySettlements.delete(record.requestId);
		const {kind, host, ...claim} = record;
		this.entries.set(mapKey, {
			...claim,
			state: 'claimed',
			outcome: null,
			claimOffset: offset,
			offset,
		});
	}

	private applyRelease(record: ClaimOf<'key-released'>): void {
		const mapKey = entryKey(record.caller, record.key);
		const current = this.entries.get(mapKey);
		if (!current || !isOpenClaimOf(current, record)) {
			return;
		}

		this.entries.delete(mapKey);
		this.releasedRequests.set(record.requestId, current.expiresAt);
	}

	private applySettlement(
		record: ClaimOf<'key-settled'>,
		offset: LogOffset,
	): void {
		const mapKey = entryKey(record.caller, record.key);
		const current = this.entries.get(mapKey);
		if (current?.requestId !== record.requestId) {
			this.recordEarlySettlement(record, offset);
			return;
		}

		if (!isOpenClaimOf(current, record)) {
			return;
		}

		this.entries.set(mapKey, {
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

			const mapKey = entryKey(carried.caller, carried.key);
			const current = this.entries.get(mapKey);
			if (!current) {
				this.entries.set(mapKey, carried);
			} else if (current.requestId === carried.requestId) {
				// A settlement can precede a claims-carried record that was created without it. The settled entry keeps its own
				// offset, so that it is carried as well.
				if (carried.state === 'settled' || current.state === 'claimed') {
					this.entries.set(mapKey, carried);
				}
			} else {
				this.entries.set(
					mapKey,
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
 * Decides between two claims of the same key. Only a reader that started in the middle of the stream finds
 * two, because the record that decided between them was truncated. The later expiry applies, so that a wrong
 * choice can delay a new claim of the key but never allow the call to run twice.
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

	// A settlement proves that a claim was granted. Otherwise the carried claim is right if its appender had applied
	// both claims.
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
