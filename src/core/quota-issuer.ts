import {type Clock} from '../base/common/clock.js';
import {type CustomerQuota} from '../contracts/forwarding-document.js';
import {type CustomerName} from '../contracts/ids.js';

/** Units of a customer's quota that a host asks for. */
export type QuotaDemand = {
	readonly customer: CustomerName;
	readonly amount: number;
};

/** Units of a customer's quota that a host may use. */
export type QuotaGrant = {
	readonly customer: CustomerName;
	readonly amount: number;
	/** Time until what is missing has accrued. */
	readonly retryMilliseconds: number;
};

/** Options of the issuer. */
export type QuotaIssuerOptions = {
	readonly clock: Clock;
	/** Returns the quota in force, undefined for a customer without one. */
	readonly quotaOf: (customer: CustomerName) => CustomerQuota | undefined;
};

type Bucket = {units: number; refilledAt: number};

/** Time for which a quota accrues in addition to its burst, because hosts ask for several requests at once. */
const accrualSeconds = 0.25;
/** Longest time until a host asks again. The quota can rise in the meantime. */
const maximumRetryMilliseconds = 10_000;

/**
 * Issues the quotas of customers to a group of hosts. Each group has the share of a quota that its number of hosts is of
 * the fleet; within the group the units go to the hosts that ask for them.
 */
export class QuotaIssuer {
	private readonly buckets = new Map<CustomerName, Bucket>();

	constructor(private readonly options: QuotaIssuerOptions) {}

	/** Issues up to the demanded amount. `groupShare` is the share of the group in the quota, up to 1. */
	issue({customer, amount}: QuotaDemand, groupShare: number): QuotaGrant {
		const quota = this.options.quotaOf(customer);
		if (!quota) {
			this.buckets.delete(customer);
			return {customer, amount, retryMilliseconds: 0};
		}

		const share = Math.min(1, groupShare);
		const rate = quota.rate * share;
		const bucket = this.refill(customer, {
			rate,
			// A request that takes more than may accrue waits until it has accrued.
			capacity: Math.max(amount, quota.burst * share + rate * accrualSeconds),
		});
		const issued = Math.min(amount, Math.max(0, Math.floor(bucket.units)));
		bucket.units -= issued;
		return {
			customer,
			amount: issued,
			retryMilliseconds: Math.min(
				maximumRetryMilliseconds,
				Math.ceil(((amount - issued) / rate) * 1000),
			),
		};
	}

	/** Drops what has accrued. */
	reset(): void {
		this.buckets.clear();
	}

	private refill(
		customer: CustomerName,
		{rate, capacity}: {readonly rate: number; readonly capacity: number},
	): Bucket {
		const now = this.options.clock.monotonic();
		const bucket = this.buckets.get(customer) ?? {
			units: rate * accrualSeconds,
			refilledAt: now,
		};
		this.buckets.set(customer, bucket);
		bucket.units = Math.min(
			capacity,
			bucket.units + ((now - bucket.refilledAt) / 1000) * rate,
		);
		bucket.refilledAt = now;
		return bucket;
	}
}
