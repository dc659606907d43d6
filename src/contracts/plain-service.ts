import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';
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

/** What a plain service says of its load. It can be seconds old when it arrives. */
export const serviceReportSchema = z.object({
	incarnation: z.string().min(1),
	/** Grows with each change of the service's state. */
	sequence: z.number().int().nonnegative(),
	leaving: z.boolean(),
	running: z.number().int().nonnegative(),
	queued: z.number().int().nonnegative(),
	slots: z.number().int().positive(),
});
export type ServiceReport = z.infer<typeof serviceReportSchema>;

/** One instance of a plain service. */
export abstract class PlainService {
	/** Makes one call and never repeats it. */
	abstract call(
		request: ServiceRequest,
		signal: AbortSignal,
	): ResultAsync<ServiceResponse, TargetError>;

	/** Returns the newest report that the service has published. */
	abstract fetchReport(): ResultAsync<ServiceReport, TargetError>;

	/** Checks over a new connection that the target answers, and returns its incarnation. */
	abstract ping(
		timeoutMilliseconds: number,
	): ResultAsync<{readonly incarnation: string}, TargetError>;

	/** Drops all open connections, so that later calls use new ones. */
	abstract dropConnections(): void;
}
