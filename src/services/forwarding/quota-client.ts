import {Disposable} from '../../base/common/disposable.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {type CustomerName} from '../../contracts/ids.js';
import {type QuotaBook} from '../../core/quota-book.js';
import {
	type QuotaDemand,
	type QuotaGrant,
	type QuotaIssuer,
} from '../../core/quota-issuer.js';

/** Whether a request is within the quota of its customer. */
export type QuotaDecision =
	| {readonly isWithin: true}
	| {readonly isWithin: false; readonly retryMilliseconds: number};

/** Options of the quota client. */
export type QuotaClientOptions = {
	readonly book: QuotaBook;
	readonly metrics: MetricRegistry;
	/** Issues the quotas of the group of this host, while it is the one that does. */
	readonly issuer: QuotaIssuer;
	/** Share of the group of this host in a quota, undefined while another host issues them. */
	readonly groupShare: () => number | undefined;
	/** Asks the host that issues quotas. Undefined when it did not respond. */
	readonly ask: (
		demands: readonly QuotaDemand[],
	) => Promise<readonly QuotaGrant[] | undefined>;
	/** Issues the share of this host alone, while no other host issues any. */
	readonly fallbackIssuer: QuotaIssuer;
	readonly hostCount: () => number;
};

type Waiter = {
	readonly units: number;
	readonly decide: (decision: QuotaDecision) => void;
};

/** Decides which requests are within the quotas of their customers, and asks for what they need. */
export class QuotaClient extends Disposable {
	/** Requests that wait for an answer, in the order of their arrival. */
	private waiters = new Map<CustomerName, Waiter[]>();
	private isAsking = false;
	private isDisposed = false;

	constructor(private readonly options: QuotaClientOptions) {
		super();
	}

	/** Decides on a request, at once if it needs no answer of another host. */
	admit(
		customer: CustomerName,
		units: number,
		decide: (decision: QuotaDecision) => void,
	): void {
		const {book} = this.options;
		const waiting = this.waiters.get(customer);
		if (!waiting && book.tryTake(customer, units)) {
			decide({isWithin: true});
			return;
		}

		const remaining = book.remainingWait(customer);
		if (!waiting && remaining > 0) {
			this.refuse({units, decide}, remaining);
			return;
		}

		this.waiters.set(customer, [...(waiting ?? []), {units, decide}]);
		if (!this.isAsking) {
			void this.askForWaiters();
		}
	}

	dispose(): void {
		this.isDisposed = true;
	}

	private async askForWaiters(): Promise<void> {
		this.isAsking = true;
		while (this.waiters.size > 0 && !this.isDisposed) {
			const asked = this.waiters;
			this.waiters = new Map();
			const demands = [...asked].map(([customer, waiters]) =>
				this.options.book.demandFor(
					customer,
					waiters.reduce((sum, {units}) => sum + units, 0),
				),
			);
			const grants = await this.grantsFor(demands);
			for (const grant of grants) {
				this.options.book.applyGrant(grant);
			}

			for (const [customer, waiters] of asked) {
				this.decideWaiters(customer, waiters);
			}
		}

		this.isAsking = false;
	}

	private decideWaiters(
		customer: CustomerName,
		waiters: readonly Waiter[],
	): void {
		const {book} = this.options;
		for (const waiter of waiters) {
			if (book.tryTake(customer, waiter.units)) {
				waiter.decide({isWithin: true});
			} else {
				this.refuse(waiter, book.remainingWait(customer));
			}
		}
	}

	private refuse({decide}: Waiter, retryMilliseconds: number): void {
		this.options.metrics.count('daisylever_quota_refusals_total');
		decide({isWithin: false, retryMilliseconds});
	}

	private async grantsFor(
		demands: readonly QuotaDemand[],
	): Promise<readonly QuotaGrant[]> {
		const {issuer, groupShare, ask, fallbackIssuer, hostCount} = this.options;
		const share = groupShare();
		if (share !== undefined) {
			fallbackIssuer.reset();
			return demands.map((demand) => issuer.issue(demand, share));
		}

		const grants = await ask(demands);
		if (grants) {
			// What accrues until the next outage was issued by the other host.
			fallbackIssuer.reset();
			return grants;
		}

		return demands.map((demand) =>
			fallbackIssuer.issue(demand, 1 / Math.max(1, hostCount())),
		);
	}
}
