import {type ResultAsync} from 'neverthrow';
import {type RequestId} from './ids.js';
import {type TargetError} from './target-error.js';

/** A call to a plain service. */
export type ServiceRequest = {
	readonly requestId: RequestId;
	readonly method: string;
	/** Path and query below the address of the service. */
	readonly path: string;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
	readonly timeoutMilliseconds: number;
	/**
	 * Opens a new connection for this call. An idle connection can have gone silent, which
	 * leaves the outcome of a call unknown; a failed new connection proves that it did not run.
	 */
	readonly newConnection?: boolean;
};

/** The answer of a plain service. */
export type ServiceResponse = {
	readonly status: number;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
};

/** One instance of a plain service. */
export abstract class PlainService {
	/** Makes one call and never repeats it. */
	abstract call(
		request: ServiceRequest,
		signal: AbortSignal,
	): ResultAsync<ServiceResponse, TargetError>;

	/** Checks over a new connection that the target answers, and returns its incarnation. */
	abstract ping(
		timeoutMilliseconds: number,
	): ResultAsync<{readonly incarnation: string}, TargetError>;

	/** Drops all open connections, so that later calls use new ones. */
	abstract dropConnections(): void;
}
