import {hash32} from '../../base/common/digest.js';
import {type CustomerName} from '../../contracts/ids.js';
import {type QuotaKey} from './quota-messages.js';

/** Returns the numbers of customers in reports. They depend on the names only, except for the rare names of equal hash. */
export function quotaKeys(
	names: readonly CustomerName[],
): ReadonlyMap<CustomerName, QuotaKey> {
	const keys = new Map<CustomerName, QuotaKey>();
	const taken = new Set<QuotaKey>();
	for (const name of [...names].sort()) {
		let key = hash32(name);
		while (taken.has(key)) {
			key = (key + 1) % 2 ** 32;
		}

		taken.add(key);
		keys.set(name, key);
	}

	return keys;
}
