import {err, ok, type Result} from 'neverthrow';
import {type ServiceRoute} from '../../contracts/fleet-document.js';
import {
	idempotencyKeySchema,
	type IdempotencyKey,
} from '../../contracts/ids.js';
import {RequestProblem} from '../../contracts/request-problem.js';

/** Finds the route with the longest matching path prefix. */
export function findRoute(
	routes: readonly ServiceRoute[],
	method: string,
	path: string,
): ServiceRoute | undefined {
	let best: ServiceRoute | undefined;
	for (const route of routes) {
		if (route.method !== method || !matchesPrefix(path, route.pathPrefix)) {
			continue;
		}

		if (!best || route.pathPrefix.length > best.pathPrefix.length) {
			best = route;
		}
	}

	return best;
}

// A prefix ends at a path separator, so that /book does not match /bookkeeping.
function matchesPrefix(path: string, prefix: string): boolean {
	return (
		path === prefix ||
		path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
	);
}

/** Reads the key of a call. Only a call that may be repeated goes without one. */
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
			'This call may not be repeated. Send an Idempotency-Key header of 8 to 255 characters.',
			'not-run',
		),
	);
}
