import {type CallerId, type CustomerName} from '../../contracts/ids.js';

/** Callers without a customer connect through one load balancer, which does not identify them. */
const sharedCaller = 'any' as CallerId;
/** Keeps a customer of the name `any` apart from the shared caller. */
const prefix = 'customer:';

/** The caller as which the fair queue counts the requests of a customer. */
export function callerOf(customer: CustomerName | undefined): CallerId {
	return customer === undefined
		? sharedCaller
		: (`${prefix}${customer}` as CallerId);
}

/** The customer of a caller, undefined for the shared caller. */
export function customerOf(caller: CallerId): CustomerName | undefined {
	return caller.startsWith(prefix)
		? (caller.slice(prefix.length) as CustomerName)
		: undefined;
}
