import {
	type Customer,
	type ForwardingDocument,
	type RouteRule,
} from '../../contracts/forwarding-document.js';
import {type KeyDigest} from '../../contracts/ids.js';

/** Outcome of the check of a request's key. The customer is undefined if the request needs no key. */
export type KeyDecision =
	| {readonly isAccepted: true; readonly customer: Customer | undefined}
	| {readonly isAccepted: false};

/** Finds the customer of a request by the digest of its key. A key of several customers belongs to the first of them. */
export class CustomerKeys {
	private readonly customers = new Map<KeyDigest, Customer>();
	private readonly names = new Map<string, Customer>();
	private readonly lowestPriority: number;
	/** Priorities that the routes of one customer take up. */
	private readonly routePriorities: number;

	constructor({
		customers = [],
		routes,
	}: Pick<ForwardingDocument, 'customers' | 'routes'>) {
		this.lowestPriority = Math.min(...customers.map(priorityOf));
		this.routePriorities =
			1 + Math.max(0, ...routes.map(({priority}) => priority));
		for (const customer of customers) {
			this.names.set(customer.name, customer);
			for (const digest of customer.keyDigests) {
				if (!this.customers.has(digest)) {
					this.customers.set(digest, customer);
				}
			}
		}
	}

	/** True when requests of a route need a key. */
	areRequired({isKeyless}: Pick<RouteRule, 'isKeyless'>): boolean {
		return this.names.size > 0 && !isKeyless;
	}

	/** Decides whether a request may be forwarded, and for which customer. */
	check(
		route: Pick<RouteRule, 'isKeyless'>,
		digest: KeyDigest | undefined,
	): KeyDecision {
		if (!this.areRequired(route)) {
			return {isAccepted: true, customer: undefined};
		}

		const customer = digest && this.customers.get(digest);
		return customer ? {isAccepted: true, customer} : {isAccepted: false};
	}

	/** The route with the priority that it has for a customer: the priorities of customers precede those of routes. */
	rank(route: RouteRule, customer: Customer | undefined): RouteRule {
		const preceding = customer
			? (priorityOf(customer) - this.lowestPriority) * this.routePriorities
			: 0;
		return preceding === 0
			? route
			: {...route, priority: preceding + route.priority};
	}

	/** Returns the customer of a name, undefined if the document no longer has it. */
	get(name: string): Customer | undefined {
		return this.names.get(name);
	}
}

function priorityOf({priority = 0}: Customer): number {
	return priority;
}
