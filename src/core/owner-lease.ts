import {type FencingToken, type HostId} from '../contracts/ids.js';
import {
	type ConditionalAppendOutcome,
	type OwnerRecord,
	type OwnerRecords,
	type PositionedOwnerRecord,
	type StorePosition,
} from '../contracts/shared-store.js';

/** Times of the lease. */
export type OwnerLeaseTiming = {
	/** The holder appends a renewal this often. */
	readonly renewalMilliseconds: number;
	/** The holder gives orders for this long after it sent a renewal that was appended. */
	readonly validityMilliseconds: number;
	/** Another host claims when the log shows no new record for this long. Above the validity, so that two holders never overlap. */
	readonly takeoverDelayMilliseconds: number;
	/** Least time between the last order of one holder and the first of the next. */
	readonly handoverMilliseconds: number;
};

/** What the holder of the lease needs to write next. */
export type LeaseAppend = {
	readonly record: OwnerRecord;
	readonly expectedEnd: StorePosition;
};

/** The next call to the log. */
export type LeaseStep =
	| {readonly kind: 'read'}
	| {readonly kind: 'append'; readonly append: LeaseAppend}
	| {readonly kind: 'wait'};

/** The holder of the lease as this host knows it. */
export type LeaseHolder = Pick<
	OwnerRecord,
	'host' | 'incarnation' | 'peerAddress'
> & {readonly token: FencingToken};

/** What the holder said of its lease when it answered this host. */
export type LeaseStatus = {
	/** Position of its last record in the log. */
	readonly position: StorePosition;
	/** Time since it sent that record. */
	readonly ageMilliseconds: number;
	/** True when the lease has run out, so that no order follows without a newer record. */
	readonly isExpired: boolean;
	/** Time since its last order, undefined when there was none. */
	readonly sinceLastOrderMilliseconds: number | undefined;
};

type HolderReport = {
	readonly position: StorePosition;
	readonly sentAt: number;
	/** Time of the last order, known once no other can follow. */
	readonly lastOrderAt: number | undefined;
};

/** Who this host is. */
export type LeaseCandidate = Pick<
	OwnerRecord,
	'host' | 'incarnation' | 'peerAddress'
>;

/** Targets take a token of zero for a missing one. */
function tokenOf(claimPosition: StorePosition): FencingToken {
	return (claimPosition + 1) as FencingToken;
}

/**
 * The lease of the owner of placement, as a state machine without input or output. Times are monotonic
 * milliseconds of this host. The log decides who holds the lease: an append names the end of the log that
 * it builds on, so of several hosts that claim, one succeeds.
 */
export class OwnerLease {
	/** Position after the last record read, undefined before the first read. */
	private nextPosition: StorePosition | undefined;
	private lastRecord: PositionedOwnerRecord | undefined;
	private claimPosition: StorePosition | undefined;
	/** Time at which this host first saw the last record. */
	private lastSeenAt = 0;
	private validUntil = Number.NEGATIVE_INFINITY;
	private renewedAt = Number.NEGATIVE_INFINITY;
	/** Earliest time at which a new holder may give orders. */
	private ordersAllowedFrom = Number.POSITIVE_INFINITY;
	/** True when the outcome of an append is unknown. */
	private mustRead = true;
	private isHeld = false;
	private holderReport: HolderReport | undefined;
	/** Position of the last record of this host that the log confirmed. */
	private ownRecordPosition: StorePosition | undefined;

	constructor(
		private readonly candidate: LeaseCandidate,
		private readonly timing: OwnerLeaseTiming,
	) {}

	/** True while this host holds the lease as far as the log has confirmed it. */
	get isHolder(): boolean {
		return this.isHeld;
	}

	/** The holder that the log names, this host included. */
	get holder(): LeaseHolder | undefined {
		if (!this.lastRecord || this.lastRecord.kind === 'released') {
			return undefined;
		}

		const {host, incarnation, peerAddress} = this.lastRecord;
		return {
			host,
			incarnation,
			peerAddress,
			token: tokenOf(this.claimPosition ?? this.lastRecord.position),
		};
	}

	/** True while this host holds the lease and its last renewal is recent enough. */
	isValid(now: number): boolean {
		return this.isHeld && now < this.validUntil;
	}

	/** What this host tells the others of the lease that it holds or held last. */
	status(
		now: number,
		sinceLastOrderMilliseconds: number | undefined,
	): LeaseStatus | undefined {
		return this.ownRecordPosition !== undefined &&
			Number.isFinite(this.renewedAt)
			? {
					position: this.ownRecordPosition,
					ageMilliseconds: now - this.renewedAt,
					isExpired: !this.isValid(now),
					sinceLastOrderMilliseconds,
				}
			: undefined;
	}

	/** Takes in what the holder said. Its records are then known to be older than when this host reads them. */
	applyHolderStatus(lease: LeaseStatus, now: number): void {
		const {isExpired, sinceLastOrderMilliseconds} = lease;
		this.holderReport = {
			position: lease.position,
			sentAt: now - lease.ageMilliseconds,
			lastOrderAt: isExpired
				? now - (sinceLastOrderMilliseconds ?? Number.POSITIVE_INFINITY)
				: undefined,
		};
		this.applyHolderReport();
	}

	/** The token under which orders may be given now, undefined when none may be given. */
	orderToken(now: number): FencingToken | undefined {
		return this.isHeld &&
			this.claimPosition !== undefined &&
			now < this.validUntil &&
			now >= this.ordersAllowedFrom
			? tokenOf(this.claimPosition)
			: undefined;
	}

	/** Says what to ask of the log now. `isHolderHeard` is true when the holder has just answered this host. */
	nextStep(now: number, isHolderResponding: boolean): LeaseStep {
		if (this.isHeld && !this.mustRead) {
			return now >= this.renewedAt + this.timing.renewalMilliseconds
				? {kind: 'append', append: this.createAppend('renewed')}
				: {kind: 'wait'};
		}

		if (this.mustRead || this.nextPosition === undefined) {
			return {kind: 'read'};
		}

		if (!this.lastRecord || this.lastRecord.kind === 'released') {
			return {kind: 'append', append: this.createAppend('claimed')};
		}

		if (isHolderResponding) {
			return {kind: 'wait'};
		}

		return now - this.lastSeenAt >= this.timing.takeoverDelayMilliseconds
			? {kind: 'append', append: this.createAppend('claimed')}
			: {kind: 'read'};
	}

	/** Takes in records read. */
	applyRecords({records, next}: OwnerRecords, now: number): void {
		this.mustRead = false;
		this.nextPosition = next;
		for (const record of records) {
			this.applyRecord(record, now);
		}

		this.applyHolderReport();
	}

	/** Position from which the log is read next. */
	get readPosition(): StorePosition | undefined {
		return this.nextPosition;
	}

	/** Takes in the outcome of an append sent at `sentAt`. */
	applyAppendOutcome(
		{record}: LeaseAppend,
		outcome: ConditionalAppendOutcome,
		sentAt: number,
		now: number,
	): void {
		if (outcome.kind === 'conflict') {
			// Somebody else wrote; the records say who.
			this.isHeld = false;
			this.mustRead = true;
			return;
		}

		const previous = this.lastRecord;
		const previousSeenAt = this.lastSeenAt;
		this.nextPosition = outcome.position + 1;
		this.lastRecord = {...record, position: outcome.position};
		this.lastSeenAt = now;
		if (record.kind === 'released') {
			this.isHeld = false;
			return;
		}

		if (record.kind === 'claimed') {
			this.claimPosition = outcome.position;
			this.ordersAllowedFrom = this.earliestOrderTime(previous, previousSeenAt);
		}

		this.isHeld = true;
		this.ownRecordPosition = outcome.position;
		this.renewedAt = sentAt;
		this.validUntil = sentAt + this.timing.validityMilliseconds;
	}

	/** The outcome of an append is unknown: it may be in the log now or later. */
	handleAppendFailure(): void {
		this.mustRead = true;
	}

	/** Record that hands the lease over at a planned stop, undefined when this host does not hold it. */
	createRelease(
		sinceLastOrderMilliseconds: number | undefined,
	): LeaseAppend | undefined {
		if (!this.isHeld || this.nextPosition === undefined) {
			return undefined;
		}

		const {record, expectedEnd} = this.createAppend('released');
		return {record: {...record, sinceLastOrderMilliseconds}, expectedEnd};
	}

	/** Gives the lease up after a target refused its token. */
	markSuperseded(): void {
		this.isHeld = false;
		this.mustRead = true;
	}

	/** A record that the holder spoke of was sent when it said, not when this host read it. */
	private applyHolderReport(): void {
		if (
			this.holderReport &&
			this.holderReport.position === this.lastRecord?.position
		) {
			this.lastSeenAt = Math.min(this.lastSeenAt, this.holderReport.sentAt);
		}
	}

	private applyRecord(record: PositionedOwnerRecord, now: number): void {
		const isOwn =
			record.host === this.candidate.host &&
			record.incarnation === this.candidate.incarnation;
		const previous = this.lastRecord;
		const previousSeenAt = this.lastSeenAt;
		this.lastRecord = record;
		this.lastSeenAt = now;
		if (record.kind === 'claimed') {
			this.claimPosition = record.position;
		}

		if (!isOwn || record.kind === 'released') {
			this.isHeld = false;
			return;
		}

		// An own record whose answer was lost. When it was sent is not known any more, so the next renewal
		// starts the time in which orders may be given.
		this.isHeld = true;
		this.renewedAt = Number.NEGATIVE_INFINITY;
		this.validUntil = Number.NEGATIVE_INFINITY;
		if (record.kind === 'claimed') {
			this.ordersAllowedFrom = this.earliestOrderTime(previous, previousSeenAt);
		}
	}

	/** The former holder may have given orders until its validity ended, counted from when its last record was seen at the latest. */
	private earliestOrderTime(
		previous: PositionedOwnerRecord | undefined,
		seenAt: number,
	): number {
		if (!previous) {
			return Number.NEGATIVE_INFINITY;
		}

		const {handoverMilliseconds, validityMilliseconds} = this.timing;
		if (previous.kind !== 'released') {
			const lastOrderAt =
				this.holderReport?.position === previous.position
					? this.holderReport.lastOrderAt
					: undefined;
			return (
				(lastOrderAt ?? seenAt + validityMilliseconds) + handoverMilliseconds
			);
		}

		return previous.sinceLastOrderMilliseconds === undefined
			? seenAt
			: seenAt +
					handoverMilliseconds -
					Math.min(handoverMilliseconds, previous.sinceLastOrderMilliseconds);
	}

	private createAppend(kind: OwnerRecord['kind']): LeaseAppend {
		return {
			record: {kind, ...this.candidate},
			expectedEnd: this.nextPosition ?? 0,
		};
	}
}
