import {type RandomSource} from '../base/common/random-source.js';
import {
	type ForwardingDocument,
	type RouteRule,
} from '../contracts/forwarding-document.js';
import {type PoolName} from '../contracts/ids.js';

/** Finds the route of a request: the longest path prefix among the routes of its host name. */
export class RouteTable {
	/** Routes by host name, the longest prefix first. */
	private readonly routes = new Map<string, RouteRule[]>();

	constructor(document: Pick<ForwardingDocument, 'routes'>) {
		for (const route of document.routes) {
			const hostName = route.hostName.toLowerCase();
			const routes = this.routes.get(hostName) ?? [];
			routes.push(route);
			this.routes.set(hostName, routes);
		}

		for (const routes of this.routes.values()) {
			routes.sort(
				(left, right) => right.pathPrefix.length - left.pathPrefix.length,
			);
		}
	}

	/** Returns the route of a request target, which may have a query. */
	match(hostHeader: string, target: string): RouteRule | undefined {
		const [hostName] = hostHeader.toLowerCase().split(':');
		const [path] = target.split('?');
		return this.routes
			.get(hostName!)
			?.find(({pathPrefix}) => path!.startsWith(pathPrefix));
	}
}

/** Draws one of the pools of a route by their weights. */
export function pickPoolByWeight(
	{pools}: Pick<RouteRule, 'pools'>,
	random: RandomSource,
): PoolName | undefined {
	let total = 0;
	for (const {weight} of pools) {
		total += weight;
	}

	let rest = random.next() * total;
	for (const {pool, weight} of pools) {
		rest -= weight;
		if (rest < 0) {
			return pool;
		}
	}

	return pools.at(-1)?.pool;
}
