import {type CustomerQuota} from '../../contracts/forwarding-document.js';
import {addUnits} from './quota-messages.js';
import {type QuotaOptions} from './quota-options.js';
import {UseMeter} from './use-meter.js';

/** What limits a customer on a host. */
export type QuotaMode =
	/** Nothing: the customer is far from its limit. */
	| 'free'
	/** The owner admits a share of the demand. */
	| 'share'
	/** The host has no usable word of the owner and keeps to its part of the quota. */
	| 'part';

/** What a host knows of the quota of a customer. */
export type QuotaOutlook = {
	readonly mode: QuotaMode;
	/** Share of the demand that is admitted. */
	readonly admittedShare: number;
	/** Use of the fleet as a share of the quota, 0 while the customer is far from its limit. */
	readonly usedShare: number;
	/** Time since the owner computed it. */
	readonly ageMilliseconds: number;
	/** True while the use of this host may not grow before the owner knows of it. */
	readonly isPending: boolean;
	/** True when newer word should have come. The use then keeps to a rate. */
	readonly isOutdated: boolean;
};

/** What an account receives from the quotas of its host. */
export type QuotaSource = {
	/** Units that an earlier account of the customer has taken, modulo 2^32. */
	readonly takenUnits: number;
	readonly outlook: () => QuotaOutlook;
};

/** Decision on one request. */
export type QuotaDecision =
	| {readonly kind: 'admitted'}
	| ({
			readonly kind: 'refused';
			/** Time after which a request of this size has units. */
			readonly retryMilliseconds: number;
	  } & QuotaOutlook);

type Waiting = {
	readonly units: number;
	readonly waitsUntil: number;
	readonly decide: (decision: QuotaDecision) => void;
};

/** Time for which a request waits for word of the owner. Below the objective of 300 ms for the first event, with the time in which a target starts. */
export const maximumQuotaWaitMilliseconds = 200;
/** Time at its part that a host without word saves up. A smaller part admits one request and carries the debt. */
const savedPartMilliseconds = 1000;
/** Time over which demand is averaged: in which the quota admits a number of requests, so that two that arrive together are no sign of a high demand. At least the time between two reports. */
const demandTime = {
	requests: 8,
	minimumMilliseconds: 500,
	maximumMilliseconds: 5000,
};
/** Requests per second above which a rate admits requests evenly. */
const steadyRequests = 3;
/** Weight of the latest request in the usual size of a request. */
const sizeWeight = 0.1;
const minimumRetryMilliseconds = 250;
/** Spread of the retry delay, so that callers do not return at once. */
const retrySpread = 0.25;
const admitted = {kind: 'admitted'} as const;

/**
 * The use of one customer's quota by this host, for a customer that exceeds its quota or grows quickly. Requests take
 * units when they are admitted and give them back if they are not sent or did not run.
 */
export class QuotaAccount {
	/** Units taken since the process started, modulo 2^32. */
	private taken: number;
	private readonly demandMeter: UseMeter;
	private usualUnits = 0;
	/** Units that the admitted share of the demand has left over. A request is admitted above 0 and may cause a debt. */
	private shareCredit = 0;
	/** Units of the part that are left, likewise. */
	private partCredit = 0;
	private partCreditAt = 0;
	/** Units per second that this host used while it last had word, if the customer was far from its limit then. */
	private knownUse = 0;
	private lastMode: QuotaMode = 'free';
	private readonly waiting: Waiting[] = [];

	constructor(
		private readonly options: QuotaOptions,
		private quota: CustomerQuota,
		private readonly source: QuotaSource,
	) {
		this.taken = source.takenUnits;
		this.demandMeter = new UseMeter(this.now, demandTime.minimumMilliseconds);
	}

	/** True while requests wait for word or units. */
	get hasWaiting(): boolean {
		return this.waiting.length > 0;
	}

	/** What limits the customer on this host now. */
	get state(): QuotaOutlook {
		return this.source.outlook();
	}

	/** Limit that applies now. */
	get currentQuota(): CustomerQuota {
		return this.quota;
	}

	/** Units taken since the process started, modulo 2^32. */
	get takenUnits(): number {
		return this.taken;
	}

	/** Units per second of the arriving requests. */
	get demand(): number {
		return Math.round(this.demandMeter.perSecond(this.now));
	}

	/** Applies the quota of a new version. */
	setQuota(quota: CustomerQuota): void {
		this.quota = quota;
	}

	/** Records the use of this host that the owner knows. 0 for a customer near its limit. */
	setKnownUse(unitsPerSecond: number): void {
		this.knownUse = unitsPerSecond;
	}

	/** Decides on a request, at once or after a wait of at most `maximumQuotaWaitMilliseconds`. The units of an admitted one are taken. */
	request(units: number, decide: (decision: QuotaDecision) => void): void {
		const {now} = this;
		this.usualUnits +=
			(this.usualUnits === 0 ? 1 : sizeWeight) * (units - this.usualUnits);
		this.demandMeter.setTimeConstant(this.demandTimeConstant(), now);
		this.demandMeter.add(units, now);
		const outlook = this.follow(this.source.outlook());
		if (
			outlook.mode === 'share' &&
			!this.hasSteadyRate(outlook) &&
			!this.tryShare(units, outlook)
		) {
			decide(this.refusal(units, outlook));
			return;
		}

		if (this.waiting.length === 0 && this.mayTake(outlook)) {
			this.take(units);
			decide(admitted);
		} else if (this.mayGainByWaiting(outlook)) {
			const waitsUntil = now + maximumQuotaWaitMilliseconds;
			this.waiting.push({units, waitsUntil, decide});
		} else {
			decide(this.refusal(units, outlook));
		}
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
		const {now} = this;
		while (this.waiting.length > 0) {
			const outlook = this.follow(this.source.outlook());
			const {units, waitsUntil, decide} = this.waiting[0]!;
			const isAdmitted = this.mayTake(outlook);
			if (!isAdmitted && now < waitsUntil) {
				return;
			}

			this.waiting.shift();
			if (isAdmitted) {
				this.take(units);
				decide(admitted);
			} else {
				decide(this.refusal(units, outlook));
			}
		}
	}

	/** Admits all waiting requests, because the customer no longer has a quota. */
	admitWaiting(): void {
		for (const {decide} of this.waiting.splice(0)) {
			decide(admitted);
		}
	}

	private get now(): number {
		return this.options.clock.monotonic();
	}

	private demandTimeConstant(): number {
		return Math.min(
			demandTime.maximumMilliseconds,
			Math.max(
				demandTime.minimumMilliseconds,
				(1000 * demandTime.requests * this.usualUnits) / this.quota.perSecond,
			),
		);
	}

	/** An even part of the quota, or the use of this host while it last had word if the customer was far from its limit then. */
	private get partPerSecond(): number {
		return Math.max(
			this.quota.perSecond / this.options.fullHostCount(),
			this.knownUse,
		);
	}

	/** Follows changes of the mode. The credits begin with a random debt, because the hosts would otherwise all admit a request at once. */
	private follow(outlook: QuotaOutlook): QuotaOutlook {
		const {now} = this;
		const {mode} = outlook;
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

		return outlook;
	}

	/** Admits the share of the demand, in an even order. */
	private tryShare(units: number, {admittedShare}: QuotaOutlook): boolean {
		if (admittedShare >= 1) {
			return true;
		}

		this.shareCredit += units * admittedShare;
		if (this.shareCredit <= 0) {
			return false;
		}

		this.shareCredit -= units;
		return true;
	}

	/** True when word is outdated and the rate that it admits is that of several requests, so that the rate alone can decide. */
	private hasSteadyRate({isOutdated, admittedShare}: QuotaOutlook): boolean {
		return (
			isOutdated &&
			admittedShare * this.demand > steadyRequests * this.usualUnits
		);
	}

	private mayTake({mode, isPending}: QuotaOutlook): boolean {
		return mode === 'part' ? this.partCredit > 0 : !isPending;
	}

	/** True when word of the owner, or the units of a short time, may admit a request. */
	private mayGainByWaiting({
		mode,
		isOutdated,
		ageMilliseconds,
	}: QuotaOutlook): boolean {
		if (mode !== 'part' || !Number.isFinite(ageMilliseconds)) {
			return mode !== 'share' || !isOutdated;
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

	private refusal(units: number, outlook: QuotaOutlook): QuotaDecision {
		const isPart = outlook.mode === 'part';
		const rate = isPart
			? this.partPerSecond
			: Math.max(this.partPerSecond, outlook.admittedShare * this.demand);
		const missing = isPart ? -this.partCredit : units;
		const retryMilliseconds = Math.min(
			this.options.tolerance.windowSeconds * 1000,
			Math.max(minimumRetryMilliseconds, (1000 * missing) / rate),
		);
		return {
			kind: 'refused',
			...outlook,
			retryMilliseconds:
				retryMilliseconds * (1 + retrySpread * this.options.random.next()),
		};
	}
}
