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
	/** Offset of the newest record that carries this entry. */
	readonly offset: LogOffset;
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
	private readonly released = new Map<RequestId, number>();

	get size(): number {
		return this.entries.size;
	}

	/** Returns the claim of a key. */
	entryOf(caller: CallerId, key: IdempotencyKey): ClaimEntry | undefined {
		return this.entries.get(entryName(caller, key));
	}

	/** Folds one record. Records that follow no known form are ignored by every host alike. */
	apply(stored: StoredRecord): void {
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
		const found: ClaimEntry[] = [];
		for (const entry of this.entries.values()) {
			if (entry.offset >= offset) {
				continue;
			}

			found.push(entry);
			if (found.length === limit) {
				break;
			}
		}

		return found;
	}

	/** Frees the memory of entries that expired before a wall time. */
	forgetExpired(wallTime: number): void {
		for (const [name, entry] of this.entries) {
			if (entry.expiresAt < wallTime) {
				this.entries.delete(name);
			}
		}

		for (const [requestId, expiresAt] of this.released) {
			if (expiresAt < wallTime) {
				this.released.delete(requestId);
			}
		}
	}

	private applyClaim(record: ClaimOf<'key-claimed'>, offset: LogOffset): void {
		if (this.released.has(record.requestId)) {
			return;
		}

		const name = entryName(record.caller, record.key);
		const current = this.entries.get(name);
		// Expiry compares times in records, not the reader's clock, so that all readers agree.
		if (current && record.time <= current.expiresAt) {
			return;
		}

		const {kind, host, ...claim} = record;
		this.entries.set(name, {
			...claim,
			state: 'claimed',
			outcome: null,
			offset,
		});
	}

	private applyRelease(record: ClaimOf<'key-released'>): void {
		const name = entryName(record.caller, record.key);
		const current = this.entries.get(name);
		if (!current || !isClaimant(current, record)) {
			return;
		}

		this.entries.delete(name);
		this.released.set(record.requestId, current.expiresAt);
	}

	private applySettlement(
		record: ClaimOf<'key-settled'>,
		offset: LogOffset,
	): void {
		const name = entryName(record.caller, record.key);
		const current = this.entries.get(name);
		if (!current || !isClaimant(current, record)) {
			return;
		}

		this.entries.set(name, {
			...current,
			state: 'settled',
			outcome: record.outcome,
			offset,
		});
	}

	private applyCarried(
		record: ClaimOf<'claims-carried'>,
		offset: LogOffset,
	): void {
		for (const carried of record.entries) {
			if (this.released.has(carried.requestId)) {
				continue;
			}

			const name = entryName(carried.caller, carried.key);
			const current = this.entries.get(name);
			if (!current) {
				this.entries.set(name, {...carried, offset});
				continue;
			}

			if (current.requestId === carried.requestId) {
				this.entries.set(name, {...current, offset});
			}
		}
	}
}

function entryName(caller: CallerId, key: IdempotencyKey): string {
	return `${caller}\n${key}`;
}

function isClaimant(
	entry: ClaimEntry,
	record: {requestId: RequestId; incarnation: IncarnationId},
): boolean {
	return (
		entry.state === 'claimed' &&
		entry.requestId === record.requestId &&
		entry.incarnation === record.incarnation
	);
}
