import {type FencingToken, type HostId} from '../../contracts/ids.js';
import {
	type ConditionalAppendOutcome,
	type OwnerRecord,
	type OwnerRecords,
	type PositionedOwnerRecord,
	type StorePosition,
} from '../../contracts/shared-store.js';

/** Durations and intervals of the owner lease. */
export type OwnerLeaseTiming = {
	/** Interval at which the holder appends a renewal. */
	readonly renewalMilliseconds: number;
	/** The holder may send orders for this long after it sent a renewal that was appended. */
	readonly validityMilliseconds: number;
	/** Another host claims the lease when the log has had no new record for this long. Must exceed the validity, so that two holders never overlap. */
	readonly takeoverDelayMilliseconds: number;
	/** Time for which this host leaves a free or expired lease to stronger machines before it claims it. None by default. */
	readonly claimDelayMilliseconds?: number;
	/** Minimum time between the last order of one holder and the first order of the next. */
	readonly handoverMilliseconds: number;
};

/** A record to append, on condition that the log ends at `expectedEnd`. */
export type LeaseAppend = {
	readonly record: OwnerRecord;
	readonly expectedEnd: StorePosition;
};

/** The next operation on the log. */
export type LeaseStep =
	| {readonly kind: 'read'}
	| {readonly kind: 'append'; readonly append: LeaseAppend}
	| {readonly kind: 'wait'};

/** The holder of the lease, according to the records that this host has read. */
export type LeaseHolder = Pick<
	OwnerRecord,
	'host' | 'incarnation' | 'peerAddress'
> & {readonly token: FencingToken};

/** The status of a lease that its holder sends to other hosts in its responses. */
export type LeaseStatus = {
	/** Position of the holder's last record in the log. */
	readonly position: StorePosition;
	/** Time since the holder sent that record. */
	readonly ageMilliseconds: number;
	/** True if the lease has expired, so that the holder sends no further order without a newer record. */
	readonly isExpired: boolean;
	/** Time since the last order of the holder, or undefined if it has sent none. */
	readonly sinceLastOrderMilliseconds: number | undefined;
};

/** The lease status received from the holder, converted to monotonic times of this host. */
type HolderReport = {
	readonly position: StorePosition;
	readonly sentAt: number;
	/** Time of the last order, undefined while further orders can follow. */
	readonly lastOrderAt: number | undefined;
};

/** When this host first read the restored log, and whether it was the holder before. */
type ObservedRestore = {
	readonly at: number;
	/** True if this host was the last holder that it knew. */
	readonly wasHolder: boolean;
};

/** The end of the log before a claim. */
type PreviousRecord = {
	/** The last readable record, undefined if there is none. */
	readonly record: PositionedOwnerRecord | undefined;
	/** Time at which this host first saw the end of the log. */
	readonly seenAt: number;
	/** True if an unreadable record followed, whose writer may have sent orders. */
	readonly wasEndUnreadable: boolean;
};

/** Identity of this host as a candidate for the lease. */
export type LeaseCandidate = Pick<
	OwnerRecord,
	'host' | 'incarnation' | 'peerAddress'
>;

/** Derives the fencing token from the position of the claim. Tokens start at 1, because targets treat 0 as a missing token. */
function tokenOfClaim(claimPosition: StorePosition): FencingToken {
	return (claimPosition + 1) as FencingToken;
}

/**
 * State machine of the lease that makes one host the owner of placement. It performs no input or output. Times
 * are monotonic milliseconds of this host. The log decides who holds the lease: an append succeeds only at the
 * end of the log that it expects, so exactly one of several concurrent claims succeeds.
 */
export class OwnerLease {
	/** Position after the last known record, undefined before the first read. */
	private nextPosition: StorePosition | undefined;
	private lastRecord: PositionedOwnerRecord | undefined;
	private claimPosition: StorePosition | undefined;
	/** Time at which this host first saw the last record. */
	private lastSeenAt = 0;
	/** Time at which this host last saw an unreadable record at the end of the log, undefined while the last record is known. Whoever wrote it may hold the lease. */
	private unreadableSeenAt: number | undefined;
	private validUntil = Number.NEGATIVE_INFINITY;
	private renewedAt = Number.NEGATIVE_INFINITY;
	/** Earliest time at which this host may send orders as a new holder. */
	private ordersAllowedFrom = Number.POSITIVE_INFINITY;
	/** True if the log must be read before the next append, for example because the outcome of an append is unknown. */
	private mustRead = true;
	private isHeld = false;
	private holderReport: HolderReport | undefined;
	/** Position of the last record of this host that the log confirmed. */
	private ownRecordPosition: StorePosition | undefined;
	/** The restore of the store after which nobody has claimed the lease yet. */
	private restore: ObservedRestore | undefined;

	constructor(
		private readonly candidate: LeaseCandidate,
		private readonly timing: OwnerLeaseTiming,
	) {}

	/** True while this host holds the lease according to the log. The lease may still have expired; see `isValid`. */
	get isHolder(): boolean {
		return this.isHeld;
	}

	/** The holder according to the log, which can be this host. Undefined if the lease is released or was never claimed. */
	get holder(): LeaseHolder | undefined {
		if (
			!this.lastRecord ||
			this.lastRecord.kind === 'released' ||
			this.lastRecord.isFromCopy
		) {
			return undefined;
		}

		const {host, incarnation, peerAddress} = this.lastRecord;
		return {
			host,
			incarnation,
			peerAddress,
			token: tokenOfClaim(this.claimPosition ?? this.lastRecord.position),
		};
	}

	/** True while this host holds the lease and its last renewal has not expired. */
	isValid(now: number): boolean {
		return this.isHeld && now < this.validUntil;
	}

	/** Returns the status, for other hosts, of the lease that this host holds or last held. Undefined if it never held the lease or if the send time of its last record is unknown. */
	status(
		now: number,
		sinceLastOrderMilliseconds: number | undefined,
	): LeaseStatus | undefined {
		if (
			this.ownRecordPosition === undefined ||
			!Number.isFinite(this.renewedAt)
		) {
			return undefined;
		}

		const since = this.sinceAnyOrder(sinceLastOrderMilliseconds, now);
		// A negative time says that an earlier holder may still send orders, which a status cannot tell.
		return {
			position: this.ownRecordPosition,
			ageMilliseconds: now - this.renewedAt,
			isExpired: !this.isValid(now) && (since === undefined || since >= 0),
			sinceLastOrderMilliseconds: since && Math.max(0, since),
		};
	}

	/** Applies the lease status that the holder sent. It dates the last record of the holder earlier than the time at which this host read it. */
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

	/** Returns the fencing token for orders, or undefined if this host may not send orders now. */
	orderToken(now: number): FencingToken | undefined {
		return this.isHeld &&
			this.claimPosition !== undefined &&
			now < this.validUntil &&
			now >= this.ordersAllowedFrom
			? tokenOfClaim(this.claimPosition)
			: undefined;
	}

	/** Returns the next operation on the log. `isHolderResponding` is true if the holder has recently responded to this host. A host that should leave the lease to others claims it after the additional delay. */
	nextStep(
		now: number,
		isHolderResponding: boolean,
		additionalDelayMilliseconds = 0,
	): LeaseStep {
		if (this.isHeld && !this.mustRead) {
			return now >= this.renewedAt + this.timing.renewalMilliseconds
				? {kind: 'append', append: this.createAppend('renewed')}
				: {kind: 'wait'};
		}

		if (this.mustRead || this.nextPosition === undefined) {
			return {kind: 'read'};
		}

		const claimDelay =
			(this.timing.claimDelayMilliseconds ?? 0) + additionalDelayMilliseconds;
		if (this.restore?.wasHolder) {
			return {kind: 'append', append: this.createAppend('claimed')};
		}

		if (this.isReleased) {
			return now - this.lastSeenAt >= claimDelay
				? {kind: 'append', append: this.createAppend('claimed')}
				: {kind: 'read'};
		}

		if (isHolderResponding) {
			return {kind: 'wait'};
		}

		return now - this.logSeenAt >=
			this.timing.takeoverDelayMilliseconds + claimDelay
			? {kind: 'append', append: this.createAppend('claimed')}
			: {kind: 'read'};
	}

	/** Applies records read from the log. */
	applyRecords(
		{records, next, isRestored, isEndUnreadable}: OwnerRecords,
		now: number,
	): void {
		if (isRestored) {
			this.handleRestore(now);
		}

		this.mustRead = false;
		if (this.nextPosition === undefined) {
			this.lastSeenAt = now;
		}

		this.nextPosition = next;
		for (const record of records) {
			this.applyRecord(record, now);
		}

		if (isEndUnreadable) {
			this.unreadableSeenAt = now;
		}

		this.applyHolderReport();
	}

	/** Position from which to read the log next, or undefined before the first read. */
	get readPosition(): StorePosition | undefined {
		return this.nextPosition;
	}

	/** Applies the outcome of an append that was sent at `sentAt`. */
	applyAppendOutcome(
		{record}: LeaseAppend,
		outcome: ConditionalAppendOutcome,
		sentAt: number,
		now: number,
	): void {
		if (outcome.kind === 'conflict') {
			if (outcome.isRestored) {
				this.handleRestore(now);
			}

			// Another host appended first. Reading its records determines the holder.
			this.isHeld = false;
			this.mustRead = true;
			return;
		}

		const previous = this.lastRecord;
		const previousSeenAt = this.logSeenAt;
		const wasEndUnreadable = this.unreadableSeenAt !== undefined;
		this.unreadableSeenAt = undefined;
		this.nextPosition = outcome.position + 1;
		this.lastRecord = {
			...record,
			position: outcome.position,
			isFromCopy: false,
		};
		this.lastSeenAt = now;
		if (record.kind === 'released') {
			this.isHeld = false;
			return;
		}

		if (record.kind === 'claimed') {
			this.claimPosition = outcome.position;
			this.ordersAllowedFrom = this.earliestOrderTime(
				{record: previous, seenAt: previousSeenAt, wasEndUnreadable},
				now,
			);
			this.restore = undefined;
		}

		this.isHeld = true;
		this.ownRecordPosition = outcome.position;
		this.renewedAt = sentAt;
		this.validUntil = sentAt + this.timing.validityMilliseconds;
	}

	/** Handles an append with unknown outcome: its record may be in the log already or appear later. */
	handleAppendFailure(): void {
		this.mustRead = true;
	}

	/** Creates the record that releases the lease at a planned stop. Undefined if this host does not hold the lease. */
	createRelease(
		sinceLastOrderMilliseconds: number | undefined,
		now: number,
	): LeaseAppend | undefined {
		if (!this.isHeld || this.nextPosition === undefined) {
			return undefined;
		}

		const {record, expectedEnd} = this.createAppend('released');
		return {
			record: {
				...record,
				sinceLastOrderMilliseconds: this.sinceAnyOrder(
					sinceLastOrderMilliseconds,
					now,
				),
			},
			expectedEnd,
		};
	}

	/**
	 * Stops orders at once and creates the record that releases the lease, so that another host can claim it. If the
	 * outcome of its append is unknown, only a later renewal proves that it is not in the log and allows orders again.
	 * Returns undefined if this host does not hold the lease or must read the log first.
	 */
	stepDown(
		sinceLastOrderMilliseconds: number | undefined,
		now: number,
	): LeaseAppend | undefined {
		this.validUntil = Number.NEGATIVE_INFINITY;
		return this.mustRead
			? undefined
			: this.createRelease(sinceLastOrderMilliseconds, now);
	}

	/** Stops holding the lease after a target refused its token. The log must then be read again. */
	markSuperseded(): void {
		this.isHeld = false;
		this.mustRead = true;
	}

	/** True when nobody holds the lease as far as the log can be read. */
	private get isReleased(): boolean {
		return (
			this.unreadableSeenAt === undefined &&
			(!this.lastRecord || this.lastRecord.kind === 'released')
		);
	}

	/** Time at which this host first saw the end of the log. */
	private get logSeenAt(): number {
		return this.unreadableSeenAt ?? this.lastSeenAt;
	}

	/** Dates the last record by the time at which its holder sent it, if that is earlier than when this host read it. */
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
		const previousSeenAt = this.logSeenAt;
		const wasEndUnreadable = this.unreadableSeenAt !== undefined;
		this.unreadableSeenAt = undefined;
		this.lastRecord = record;
		this.lastSeenAt = now;
		if (record.isFromCopy) {
			this.isHeld = false;
			return;
		}

		if (record.kind === 'claimed') {
			this.claimPosition = record.position;
		}

		if (!isOwn || record.kind === 'released') {
			this.isHeld = false;
			this.restore = undefined;
			return;
		}

		// This is a record of this host whose append response was lost. Its send time is unknown, so orders may be
		// sent only after the next renewal.
		this.isHeld = true;
		this.renewedAt = Number.NEGATIVE_INFINITY;
		this.validUntil = Number.NEGATIVE_INFINITY;
		if (record.kind === 'claimed') {
			this.ordersAllowedFrom = this.earliestOrderTime(
				{record: previous, seenAt: previousSeenAt, wasEndUnreadable},
				now,
			);
			this.restore = undefined;
		}
	}

	/** Forgets what the lost log said of the lease. Its last holder is unknown, unless it is this host. */
	private handleRestore(now: number): void {
		this.restore = {
			at: now,
			wasHolder: this.isHeld || (this.restore?.wasHolder ?? false),
		};
		this.isHeld = false;
		this.nextPosition = undefined;
		this.lastRecord = undefined;
		this.unreadableSeenAt = undefined;
		this.claimPosition = undefined;
	}

	/** Returns the earliest time for orders of a new holder. The previous holder may have sent orders until its validity ended, counted at the latest from when its last record was seen. */
	private earliestOrderTime(
		{record: previous, seenAt, wasEndUnreadable}: PreviousRecord,
		now: number,
	): number {
		const {handoverMilliseconds, validityMilliseconds} = this.timing;
		if (this.restore) {
			// While the lease of this host from before the restore is valid, no other host can have held a later one.
			return this.restore.wasHolder && now < this.validUntil
				? this.ordersAllowedFrom
				: this.restore.at + validityMilliseconds + handoverMilliseconds;
		}

		if (wasEndUnreadable) {
			return seenAt + validityMilliseconds + handoverMilliseconds;
		}

		if (!previous) {
			return Number.NEGATIVE_INFINITY;
		}

		if (previous.kind !== 'released' || previous.isFromCopy) {
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

	/** Returns the time since the last order of this host or an earlier holder. While this host may not send orders yet, an earlier holder is the last one that can have sent any. */
	private sinceAnyOrder(
		sinceLastOrderMilliseconds: number | undefined,
		now: number,
	): number | undefined {
		const since = Math.min(
			sinceLastOrderMilliseconds ?? Number.POSITIVE_INFINITY,
			now < this.ordersAllowedFrom
				? this.timing.handoverMilliseconds - (this.ordersAllowedFrom - now)
				: Number.POSITIVE_INFINITY,
		);
		return Number.isFinite(since) ? since : undefined;
	}

	private createAppend(kind: OwnerRecord['kind']): LeaseAppend {
		return {
			record: {kind, ...this.candidate},
			expectedEnd: this.nextPosition ?? 0,
		};
	}
}
