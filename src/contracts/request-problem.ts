import {type Execution} from './execution.js';

/** Codes of the refusals and failures that callers receive. They are part of the public interface. */
export type ProblemCode =
	| 'bad-request'
	| 'body-too-large'
	| 'unauthenticated'
	| 'forbidden'
	| 'unknown-offering'
	| 'unknown-service'
	| 'caller-limit'
	| 'overload'
	| 'no-target'
	| 'deadline'
	| 'quarantined'
	| 'store-outage'
	| 'key-required'
	| 'key-conflict'
	| 'key-expired'
	| 'key-in-progress'
	| 'outcome-unknown'
	| 'interrupted'
	| 'stopping'
	| 'stale-configuration';

const statusByCode: Readonly<Record<ProblemCode, number>> = {
	'bad-request': 400,
	'body-too-large': 413,
	unauthenticated: 401,
	forbidden: 403,
	'unknown-offering': 404,
	'unknown-service': 404,
	'caller-limit': 429,
	overload: 503,
	'no-target': 503,
	deadline: 504,
	quarantined: 422,
	'store-outage': 503,
	'key-required': 400,
	'key-conflict': 422,
	'key-expired': 422,
	'key-in-progress': 409,
	'outcome-unknown': 409,
	interrupted: 502,
	stopping: 503,
	'stale-configuration': 503,
};

/** A request was refused or failed. The message goes to the caller and must not name a model, adapter, target or host. */
export class RequestProblem extends Error {
	override readonly name = 'RequestProblem';

	constructor(
		readonly code: ProblemCode,
		message: string,
		/** `not-run` guarantees that the request had no effect and will have none. */
		readonly execution: Execution,
		readonly retryAfterSeconds?: number,
		options?: ErrorOptions,
	) {
		super(message, options);
	}

	/** HTTP status of the response. */
	get status(): number {
		return statusByCode[this.code];
	}
}
