import {type Clock} from '../../base/common/clock.js';
import {type TargetId} from '../../contracts/ids.js';
import {type NamedRateLimits} from './named-rate-limits.js';

/** Permits for requests to a target that names a rate. */
export type PermitGrant = {
	readonly target: TargetId;
	readonly count: number;
	/** Time until more permits are there. */
	readonly retryMilliseconds: number;
};

/** Collaborators of the issuer. */
export type PermitIssuerOptions = {
	readonly clock: Clock;
	readonly limits: NamedRateLimits;
};

type Bucket = {tokens: number; refilledAt: number};

/** Permits that may be saved up, as the time in which they accrue. */
const burstSeconds = 0.25;
/** Lowest rate of requests to a target, which otherwise could not tell that it takes more again. */
const minimumRequestsPerSecond = 0.2;
/** Longest time until a host asks again. The rate can rise in the meantime. */
const maximumRetryMilliseconds = 1000;

/**
 * Issues the permits of a group of hosts for requests to targets that name the rate that they take from all hosts
 * together. Each group has the share of the rate that its number of hosts is of the fleet; within the group the permits
 * go to the hosts that ask for them.
 */
export class PermitIssuer {
	private readonly buckets = new Map<TargetId, Bucket>();

	constructor(private readonly options: PermitIssuerOptions) {}

	/** Issues up to `count` permits. `groupShare` is the share of the group in the rate, up to 1. */
	issue(target: TargetId, count: number, groupShare: number): PermitGrant {
		const limit = this.options.limits.get(target);
		if (limit === undefined) {
			this.buckets.delete(target);
			return {target, count, retryMilliseconds: 0};
		}

		const rate =
			Math.max(limit, minimumRequestsPerSecond) * Math.min(1, groupShare);
		const bucket = this.refill(target, rate);
		const issued = Math.min(count, Math.max(0, Math.floor(bucket.tokens)));
		bucket.tokens -= issued;
		const missing = Math.max(0, 1 - bucket.tokens);
		return {
			target,
			count: issued,
			retryMilliseconds: Math.min(
				maximumRetryMilliseconds,
				Math.ceil((missing / rate) * 1000),
			),
		};
	}

	/** Charges a call to the target that needs no permit, such as an order. */
	charge(target: TargetId): void {
		const bucket = this.buckets.get(target);
		if (bucket) {
			bucket.tokens--;
		}
	}

	/** Drops the permits that have accrued. */
	reset(): void {
		this.buckets.clear();
	}

	/** Forgets a target that has ended. */
	forget(target: TargetId): void {
		this.buckets.delete(target);
	}

	private refill(target: TargetId, rate: number): Bucket {
		const now = this.options.clock.monotonic();
		const bucket = this.buckets.get(target) ?? {tokens: 0, refilledAt: now};
		this.buckets.set(target, bucket);
		bucket.tokens = Math.min(
			Math.max(1, rate * burstSeconds),
			bucket.tokens + ((now - bucket.refilledAt) / 1000) * rate,
		);
		bucket.refilledAt = now;
		return bucket;
	}
}
