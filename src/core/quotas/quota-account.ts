import {type CustomerQuota} from '../../contracts/forwarding-document.js';
import {
	addUnits,
	unitsSince,
	type QuotaWord,
	type ReportedUse,
} from './quota-messages.js';
import {type QuotaOptions} from './quota-options.js';
import {
	isWithinGrowth,
	quotaMargins,
	type QuotaMargins,
} from './quota-policy.js';
import {UseMeter} from './use-meter.js';

/** What limits a customer on a host. */
export type QuotaMode =
	/** Nothing: the customer is far from its limit. */
	| 'free'
	/** The owner admits a share of the demand. */
	| 'share'
	/** The host has no usable word of the owner and keeps to its part of the quota. */
	| 'part';

/** Decision on one request. */
export type QuotaDecision =
	| {readonly kind: 'admitted'}
	| {
			readonly kind: 'refused';
			readonly mode: QuotaMode;
			/** Time after which a request of this size has units. */
			readonly retryMilliseconds: number;
			/** Use of the fleet as a share of the quota, as far as this host knows. */
			readonly usedShare: number;
			/** Time since the owner computed what decided. */
			readonly ageMilliseconds: number;
	  };

type Waiting = {
	readonly units: number;
	readonly waitsUntil: number;
	readonly decide: (decision: QuotaDecision) => void;
};

/** Time for which a request waits for word of the owner. Below the objective of 300 ms for the first event, with the time in which a target starts. */
export const maximumQuotaWaitMilliseconds = 200;
/** Time at its part that a host without word saves up. A smaller part admits one request and carries the debt. */
const savedPartMilliseconds = 1000;
/** Weight of the latest request in the usual size of a request. */
const sizeWeight = 0.1;
const minimumRetryMilliseconds = 250;
/** Spread of the retry delay, so that callers do not return at once. */
const retrySpread = 0.25;
const decided = {kind: 'admitted'} as const;

/**
 * The use of one customer's quota by this host, for a customer that exceeds its quota or grows quickly. Requests take
 * units when they are admitted and give them back if they are not sent or did not run.
 */
export class QuotaAccount {
	/** Units taken since the process started, modulo 2^32. */
	private taken = 0;
	private confirmed: ReportedUse;
	private readonly demandMeter: UseMeter;
	private usualUnits = 0;
	/** Units that the admitted share of the demand has left over. A request is admitted above 0 and may cause a debt. */
	private shareCredit = 0;
	/** Units of the part that are left, likewise. */
	private partCredit = 0;
	private partCreditAt = 0;
	private lastMode: QuotaMode = 'free';
	private word: QuotaWord | undefined;
	/** Monotonic time at which the owner computed what it said last. */
	private wordAt = Number.NEGATIVE_INFINITY;
	private waiting: Waiting[] = [];

	constructor(
		private readonly options: QuotaOptions,
		private quota: CustomerQuota,
	) {
		const now = options.clock.monotonic();
		this.demandMeter = new UseMeter(now);
		this.confirmed = {units: 0, demand: 0, at: now};
	}

	/** True while requests wait for word or units. */
	get hasWaiting(): boolean {
		return this.waiting.length > 0;
	}

	/** Limit that applies now. */
	get currentQuota(): CustomerQuota {
		return this.quota;
	}

	/** Use of the fleet as a share of the quota, 0 while the customer is far from its limit. */
	get usedShare(): number {
		return this.word?.usedShare ?? 0;
	}

	/** Applies the quota of a new version. A lower limit applies to the last word at once. */
	setQuota(quota: CustomerQuota): void {
		if (this.word) {
			const {admittedShare} = this.word;
			const factor = quota.perSecond / this.quota.perSecond;
			this.word = {
				...this.word,
				admittedShare: admittedShare * Math.min(1, factor),
			};
		}

		this.quota = quota;
	}

	/** Decides on a request, at once or after a wait of at most `maximumQuotaWaitMilliseconds`. The units of an admitted one are taken. */
	request(units: number, decide: (decision: QuotaDecision) => void): void {
		const {now} = this;
		this.demandMeter.add(units, now);
		this.usualUnits +=
			(this.usualUnits === 0 ? 1 : sizeWeight) * (units - this.usualUnits);
		const mode = this.updateMode();
		if (mode === 'share' && !this.tryShare(units)) {
			decide(this.refusal(units));
			return;
		}

		if (this.waiting.length === 0 && this.mayTake(mode)) {
			this.take(units);
			decide(decided);
			return;
		}

		if (this.mayGainByWaiting(mode)) {
			this.waiting.push({
				units,
				waitsUntil: now + maximumQuotaWaitMilliseconds,
				decide,
			});
			return;
		}

		decide(this.refusal(units));
	}

	/** Takes units that need no admission: a request that was admitted is sent once more. */
	take(units: number): void {
		this.taken = addUnits(this.taken, units);
		this.partCredit -= units;
	}

	/** Returns units of a request that was not sent or did not run. */
	giveBack(units: number): void {
		this.taken = addUnits(this.taken, -units);
		this.partCredit += units;
	}

	/** Admits waiting requests for which there are units, and refuses those that have waited for too long. */
	decideWaiting(): void {
		const mode = this.updateMode();
		const {now} = this;
		while (this.waiting.length > 0) {
			const {units, waitsUntil, decide} = this.waiting[0]!;
			const isAdmitted = this.mayTake(mode);
			if (!isAdmitted && now < waitsUntil) {
				return;
			}

			this.waiting.shift();
			if (isAdmitted) {
				this.take(units);
				decide(decided);
			} else {
				decide(this.refusal(units));
			}
		}
	}

	/** State for a report. */
	snapshot(): ReportedUse {
		return {
			units: this.taken,
			demand: Math.round(this.demandMeter.perSecond(this.now)),
			at: this.now,
		};
	}

	/** Units since the last confirmed report. */
	get unconfirmedUnits(): number {
		return unitsSince(this.taken, this.confirmed.units);
	}

	/** Applies word of the owner, undefined while the customer is far from its limit. `reported` is what the sender of the word and the owner know of this host. */
	applyWord(
		word: QuotaWord | undefined,
		wordAt: number,
		reported: ReportedUse | undefined,
	): void {
		if (reported && reported.at > this.confirmed.at) {
			this.confirmed = reported;
		}

		if (wordAt >= this.wordAt) {
			this.wordAt = wordAt;
			this.word = word;
		}
	}

	/** Mode that applies now. */
	mode(): QuotaMode {
		if (this.now - this.wordAt > this.margins().maximumWordAgeMilliseconds) {
			return 'part';
		}

		return this.admittedShare < 1 ? 'share' : 'free';
	}

	private get now(): number {
		return this.options.clock.monotonic();
	}

	private get admittedShare(): number {
		return this.word?.admittedShare ?? 1;
	}

	private margins(): QuotaMargins {
		return quotaMargins(
			this.quota,
			this.options.tolerance,
			this.options.hostCount(),
		);
	}

	private get partPerSecond(): number {
		return this.quota.perSecond / Math.max(1, this.options.hostCount());
	}

	/** Follows changes of the mode. The credits begin with a random debt, because the hosts would otherwise all admit a request at once. */
	private updateMode(): QuotaMode {
		const {now} = this;
		const mode = this.mode();
		if (mode !== this.lastMode) {
			const debt = this.options.random.next() * this.usualUnits;
			this.shareCredit = -debt;
			this.partCredit = -debt;
			this.partCreditAt = now;
			this.lastMode = mode;
		}

		if (mode === 'part') {
			const filled =
				this.partCredit +
				(this.partPerSecond * (now - this.partCreditAt)) / 1000;
			this.partCredit = Math.min(
				filled,
				(this.partPerSecond * savedPartMilliseconds) / 1000,
			);
			this.partCreditAt = now;
		}

		return mode;
	}

	/** Admits the share of the demand, in an even order. */
	private tryShare(units: number): boolean {
		this.shareCredit += units * this.admittedShare;
		if (this.shareCredit <= 0) {
			return false;
		}

		this.shareCredit -= units;
		return true;
	}

	private mayTake(mode: QuotaMode): boolean {
		if (mode === 'part') {
			return this.partCredit > 0;
		}

		return isWithinGrowth(
			{
				units: this.taken,
				confirmed: this.confirmed,
				admittedShare: this.admittedShare,
				usualUnits: this.usualUnits,
				hosts: 1,
			},
			this.margins(),
			this.now,
		);
	}

	/** True when word of the owner, or the units of a short time, may admit a request. */
	private mayGainByWaiting(mode: QuotaMode): boolean {
		if (mode !== 'part' || this.wordAt === Number.NEGATIVE_INFINITY) {
			return true;
		}

		let queued = 0;
		for (const {units} of this.waiting) {
			queued += units;
		}

		return (
			queued - this.partCredit <
			(this.partPerSecond * maximumQuotaWaitMilliseconds) / 1000
		);
	}

	private refusal(units: number): QuotaDecision {
		const {now} = this;
		const rate =
			this.lastMode === 'part'
				? this.partPerSecond
				: Math.max(
						this.partPerSecond,
						this.admittedShare * this.demandMeter.perSecond(now),
					);
		const debt = this.lastMode === 'part' ? -this.partCredit : units;
		const retryMilliseconds = Math.min(
			this.options.tolerance.windowSeconds * 1000,
			Math.max(minimumRetryMilliseconds, (1000 * debt) / rate),
		);
		return {
			kind: 'refused',
			mode: this.lastMode,
			retryMilliseconds:
				retryMilliseconds * (1 + retrySpread * this.options.random.next()),
			usedShare: this.usedShare,
			ageMilliseconds: now - this.wordAt,
		};
	}
}
