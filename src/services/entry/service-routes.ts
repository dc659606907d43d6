import {err, ok, type Result} from 'neverthrow';
import {type ServiceRoute} from '../../contracts/fleet-document.js';
import {
	idempotencyKeySchema,
	type IdempotencyKey,
} from '../../contracts/ids.js';
import {RequestProblem} from '../../contracts/request-problem.js';

/** Returns the route with the longest path prefix that matches, or undefined if no route matches. */
export function findRoute(
	routes: readonly ServiceRoute[],
	method: string,
	path: string,
): ServiceRoute | undefined {
	let longest: ServiceRoute | undefined;
	for (const route of routes) {
		if (route.method !== method || !matchesPrefix(path, route.pathPrefix)) {
			continue;
		}

		if (!longest || route.pathPrefix.length > longest.pathPrefix.length) {
			longest = route;
		}
	}

	return longest;
}

// A prefix matches whole path segments only, so that /book does not match /bookkeeping.
function matchesPrefix(path: string, prefix: string): boolean {
	return (
		path === prefix ||
		path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
	);
}

/**
 * Parses the `Idempotency-Key` header of a call. Returns undefined for an idempotent route, which needs no key, and the
 * problem `key-required` if the key of another route is missing or invalid.
 */
export function readIdempotencyKey(
	header: string | undefined,
	route: ServiceRoute,
): Result<IdempotencyKey | undefined, RequestProblem> {
	if (route.idempotent) {
		return ok(undefined);
	}

	const key = idempotencyKeySchema.safeParse(header);
	if (key.success) {
		return ok(key.data);
	}

	return err(
		new RequestProblem(
			'key-required',
			'This call is not idempotent. Send an Idempotency-Key header of 8 to 255 characters.',
			'not-run',
		),
	);
}
