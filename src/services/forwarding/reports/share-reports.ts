import {type Clock} from '../../../base/common/clock.js';
import {
	type CallerId,
	type CustomerName,
	type PoolName,
} from '../../../contracts/ids.js';
import {CallerUsage} from '../../../core/fairness/caller-usage.js';
import {callerOf, customerOf} from '../../../core/fairness/customer-callers.js';
import {ReportedSums} from '../../../core/membership/reported-sums.js';
import {
	type CustomerShares,
	type ReportRequest,
	type ReportResponse,
} from '../../../generated/daisylever/owner/v1/owner_pb.js';
import {
	ReportPart,
	type ReportFields,
	type ReportResponseFields,
	type ResponseSender,
} from './report-part.js';

type PoolUsage = {
	readonly usage: CallerUsage;
	/** Work on the other hosts. */
	readonly others: ReportedSums<CallerId>;
};

/** Time after which the work of a host that no longer reports stops counting, as for its demand. */
const lifetimeMilliseconds = 3000;
/** Customers with the most work in each pool whose work a report names. A customer with less has far less than an equal share, so that it comes first as it is. */
const maximumCustomers = 64;
/** Key of what the owner or relay says of the hosts that do not report to this one. Not a valid name of a host. */
const upstream = '(upstream)';

/** Reports the work that the hosts have dispatched for each customer, by which all hosts share the targets between the customers. */
export class ShareReports extends ReportPart {
	private readonly pools = new Map<PoolName, PoolUsage>();

	constructor(private readonly options: {readonly clock: Clock}) {
		super();
	}

	/** Work of the customers in a pool on all hosts. */
	usage(pool: PoolName): CallerUsage {
		return this.get(pool).usage;
	}

	requestFields(): ReportFields {
		return this.fields((others, own) => others.sumWithout(upstream, own));
	}

	handleRequest({host, customerShares}: ReportRequest): void {
		this.apply(host, customerShares, 0);
	}

	responseFields({host}: ReportRequest): ReportResponseFields {
		return this.fields((others, own) =>
			others.largestWithout(host, own, maximumCustomers),
		);
	}

	handleResponse(
		{customerShares}: ReportResponse,
		{ageMilliseconds}: ResponseSender,
	): void {
		this.apply(upstream, customerShares, ageMilliseconds);
	}

	reportLocally(): void {
		this.apply(upstream, undefined, 0);
	}

	/** The work on this host and some of the others, absent without any. */
	private fields(
		add: (
			others: ReportedSums<CallerId>,
			own: ReadonlyMap<CallerId, number>,
		) => ReadonlyMap<CallerId, number>,
	): {
		customerShares?: NonNullable<ReportFields['customerShares']>;
	} {
		const pools = [...this.pools].flatMap(([pool, {usage, others}]) => {
			const work = add(others, usage.ownByCaller());
			const customers = [...work].flatMap(([caller, milliseconds]) => {
				const customer = customerOf(caller);
				return customer === undefined
					? []
					: [{customer, recentMilliseconds: milliseconds}];
			});
			return customers.length === 0
				? []
				: [{pool, customers: largest(customers)}];
		});
		return pools.length === 0 ? {} : {customerShares: {pools}};
	}

	/** Replaces what a host said. Without the fields it counts as not reporting. */
	private apply(
		host: string,
		shares: CustomerShares | undefined,
		ageMilliseconds: number,
	): void {
		const reported = new Map(
			shares?.pools.map(({pool, customers}) => [
				pool as PoolName,
				new Map(
					customers.map(({customer, recentMilliseconds}) => [
						callerOf(customer as CustomerName),
						recentMilliseconds,
					]),
				),
			]),
		);
		for (const [pool, work] of reported) {
			this.get(pool).others.apply(host, work, ageMilliseconds);
		}

		for (const [pool, {others}] of this.pools) {
			if (!reported.has(pool)) {
				others.forget(host);
			}
		}
	}

	private get(pool: PoolName): PoolUsage {
		let entry = this.pools.get(pool);
		if (!entry) {
			const {clock} = this.options;
			const others = new ReportedSums<CallerId>({clock, lifetimeMilliseconds});
			entry = {
				others,
				usage: new CallerUsage({
					clock,
					others: (caller) => others.get(caller),
					callers: () => others.entries().keys(),
				}),
			};
			this.pools.set(pool, entry);
		}

		return entry;
	}
}

function largest<T extends {readonly recentMilliseconds: number}>(
	customers: T[],
): T[] {
	return customers.length <= maximumCustomers
		? customers
		: customers
				.sort(
					(left, right) => right.recentMilliseconds - left.recentMilliseconds,
				)
				.slice(0, maximumCustomers);
}
