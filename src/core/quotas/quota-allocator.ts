import {type CustomerQuota} from '../../contracts/forwarding-document.js';
import {type QuotaKey} from './quota-messages.js';
import {type QuotaOptions} from './quota-options.js';
import {
	allowedExcess,
	feedbackMilliseconds,
	quotaMargins,
} from './quota-policy.js';
import {UseMeter} from './use-meter.js';

/** What the owner decides for one customer. */
export type QuotaAllocation = {
	/** Share of the demand that is admitted, 1 while the customer is far from its limit. */
	readonly admittedShare: number;
	/** The same without the units that the bucket has saved up. */
	readonly sustainedShare: number;
	/** Use of the fleet as a share of the quota. */
	readonly usedShare: number;
	/** True when the customer is near its limit, so that hosts need to know. */
	readonly isLimited: boolean;
};

type Bucket = {
	quota: CustomerQuota;
	/** Units left. Negative while more was used than the quota allows. */
	level: number;
	levelAt: number;
	readonly use: UseMeter;
	/** Share of the demand that the hosts admit now: the decisions of the last moments reach them later. */
	effectiveShare: number;
	effectiveShareAt: number;
	/** Units that came in while there was no owner, for the use of that time. */
	earlierUnits: number;
};

/** Time after a change of the owner in which the first reports of hosts tell what they used before. */
const takeoverMilliseconds = 2500;
/** A customer counts as near its limit when its bucket is emptier than this share of the burst, or its demand above this share of the rate. */
const limitedLevelShare = 0.25;
const limitedDemandShare = 0.8;
/** Part of the feedback time in which hosts still follow earlier decisions. The level expected at its end decides, so that the share does not oscillate. */
const lagShare = 0.6;
/** Time constant of the use that operators see. */
const useTimeConstantMilliseconds = 3000;
/** Share of the allowed excess in which the parts of absent hosts need no reserve. */
const absentExcessShare = 0.75;

/** The owner's account of the quotas of the fleet: one bucket for each customer, which carries debt. */
export class QuotaAllocator {
	private readonly buckets = new Map<QuotaKey, Bucket>();
	private readonly since: number;

	/** The first reports tell of the use since the last word of the former owner, the given time ago. */
	constructor(
		private readonly options: QuotaOptions,
		private readonly ownerlessMilliseconds: number,
	) {
		this.since = options.clock.monotonic();
	}

	/** Sets the quota of a customer. A new customer begins with a full bucket. */
	setQuota(key: QuotaKey, quota: CustomerQuota): void {
		const bucket = this.buckets.get(key);
		if (!bucket) {
			const now = this.options.clock.monotonic();
			this.buckets.set(key, {
				quota,
				level: quota.burst,
				levelAt: now,
				use: new UseMeter(now, useTimeConstantMilliseconds),
				effectiveShare: 1,
				effectiveShareAt: now,
				earlierUnits:
					now === this.since
						? (quota.perSecond * this.ownerlessMilliseconds) / 1000
						: 0,
			});
			return;
		}

		this.refill(bucket);
		bucket.quota = quota;
		bucket.level = Math.min(bucket.level, quota.burst);
	}

	/** Forgets a customer that the document no longer contains. */
	forget(key: QuotaKey): void {
		this.buckets.delete(key);
	}

	/** Takes units that hosts have used, or returns them if the number is negative. */
	use(key: QuotaKey, units: number): void {
		const bucket = this.buckets.get(key);
		if (bucket) {
			this.refill(bucket);
			bucket.level = Math.min(bucket.quota.burst, bucket.level - units);
			bucket.use.add(units, bucket.levelAt);
		}
	}

	/** Takes the units in the first report of a host. Soon after a change of the owner, they were used while there was none. */
	useFirst(key: QuotaKey, units: number, demand: number): void {
		const bucket = this.buckets.get(key);
		if (!bucket) {
			return;
		}

		const now = this.options.clock.monotonic();
		if (now - this.since >= takeoverMilliseconds) {
			this.use(key, units);
			return;
		}

		// What exceeds the steady use may have been used in the last moment.
		const steady = (demand * this.ownerlessMilliseconds) / 1000;
		const earlier = Math.max(0, Math.min(units, steady, bucket.earlierUnits));
		bucket.earlierUnits -= earlier;
		this.use(key, units - earlier);
		this.assumeUse(key, demand);
	}

	/** Takes the units that a customer is assumed to have used before, from the demand of a host. */
	assumeUse(key: QuotaKey, demand: number): void {
		const bucket = this.buckets.get(key);
		if (bucket) {
			const {burst, perSecond} = bucket.quota;
			this.refill(bucket);
			bucket.level = Math.max(
				Math.min(0, bucket.level),
				bucket.level - (burst * demand) / perSecond,
			);
		}
	}

	/** Decides which share of the demand of all hosts is admitted. */
	allocate(key: QuotaKey, demand: number): QuotaAllocation {
		const bucket = this.buckets.get(key);
		if (!bucket) {
			return {
				admittedShare: 1,
				sustainedShare: 1,
				usedShare: 0,
				isLimited: false,
			};
		}

		this.refill(bucket);
		const {quota, level} = bucket;
		const hostCount = this.options.hostCount();
		const {reserveUnits} = quotaMargins(
			quota,
			this.options.tolerance,
			hostCount,
		);
		const sustained = quota.perSecond - this.absentPerSecond(quota);
		const feedback = feedbackMilliseconds(hostCount);
		const lag = feedback * lagShare;
		const change =
			quota.perSecond - Math.max(0, demand) * bucket.effectiveShare;
		const expectedLevel = Math.min(quota.burst, level + (change * lag) / 1000);
		const admitted =
			sustained + ((expectedLevel + reserveUnits) * 1000) / feedback;
		const admittedShare = shareOf(admitted, demand);
		const now = this.options.clock.monotonic();
		bucket.effectiveShare +=
			(admittedShare - bucket.effectiveShare) *
			(1 - Math.exp((bucket.effectiveShareAt - now) / lag));
		bucket.effectiveShareAt = now;
		return {
			admittedShare,
			sustainedShare: shareOf(sustained, demand),
			usedShare: bucket.use.perSecond(now) / quota.perSecond,
			isLimited:
				level < limitedLevelShare * quota.burst ||
				demand > limitedDemandShare * sustained,
		};
	}

	/** Returns what `allocate` would, and changes nothing. */
	preview(key: QuotaKey, demand: number): QuotaAllocation {
		const bucket = this.buckets.get(key);
		if (!bucket) {
			return this.allocate(key, demand);
		}

		this.buckets.set(key, {...bucket});
		const allocation = this.allocate(key, demand);
		this.buckets.set(key, bucket);
		return allocation;
	}

	/** Use of a customer in units per second, for operators. */
	usePerSecond(key: QuotaKey): number {
		return (
			this.buckets.get(key)?.use.perSecond(this.options.clock.monotonic()) ?? 0
		);
	}

	/** Units per second that hosts which no longer report may use as their parts, beyond what the allowed excess covers. */
	private absentPerSecond(quota: CustomerQuota): number {
		const absentShare =
			1 - this.options.hostCount() / this.options.fullHostCount();
		const {tolerance} = this.options;
		const covered =
			(allowedExcess(quota, tolerance) * absentExcessShare) /
			tolerance.windowSeconds;
		return Math.max(0, absentShare * quota.perSecond - covered);
	}

	private refill(bucket: Bucket): void {
		const now = this.options.clock.monotonic();
		bucket.level = Math.min(
			bucket.quota.burst,
			bucket.level + (bucket.quota.perSecond * (now - bucket.levelAt)) / 1000,
		);
		bucket.levelAt = now;
	}
}

function shareOf(admitted: number, demand: number): number {
	if (demand <= 0) {
		return admitted < 0 ? 0 : 1;
	}

	return Math.min(1, Math.max(0, admitted) / demand);
}
