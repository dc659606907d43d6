import {type RandomSource} from '../../base/common/random-source.js';
import {
	type ForwardingDocument,
	type RouteRule,
} from '../../contracts/forwarding-document.js';
import {type PoolName} from '../../contracts/ids.js';

/** Finds the route of a request by host name and longest matching path prefix. */
export class RouteTable {
	/** Routes by lower-case host name, ordered from the longest path prefix. */
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

	/** Returns the route for a `Host` header, whose port is ignored, and a request target, whose query is ignored; undefined when no route matches. */
	match(hostHeader: string, target: string): RouteRule | undefined {
		const [hostName] = hostHeader.toLowerCase().split(':');
		const [path] = target.split('?');
		return this.routes
			.get(hostName!)
			?.find(({pathPrefix}) => path!.startsWith(pathPrefix));
	}
}

/** Picks one of the pools of a route at random, in proportion to their weights. Returns undefined when the route has no pools. */
export function pickPoolByWeight(
	{pools}: Pick<RouteRule, 'pools'>,
	random: RandomSource,
): PoolName | undefined {
	let total = 0;
	for (const {weight} of pools) {
		total += weight;
	}

	let remaining = random.next() * total;
	for (const {pool, weight} of pools) {
		remaining -= weight;
		if (remaining < 0) {
			return pool;
		}
	}

	return pools.at(-1)?.pool;
}
