import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {type RequestId} from './ids.js';
import {type TargetError} from './target-error.js';

/** A call to a plain service. */
export type ServiceRequest = {
	readonly requestId: RequestId;
	readonly method: string;
	/** Path and query, relative to the address of the service. */
	readonly path: string;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
	readonly timeoutMilliseconds: number;
	/**
	 * Opens a new connection for this call. An idle connection can be dead without notice, which leaves the
	 * outcome of a call unknown, whereas a failure to connect proves that the call was not executed.
	 */
	readonly newConnection?: boolean;
};

/** The response of a plain service. */
export type ServiceResponse = {
	readonly status: number;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
};

/** A plain service instance's report of its own load. It can be seconds old when it arrives. */
export const serviceReportSchema = z.object({
	incarnation: z.string().min(1),
	/** Increases with each change of the instance's state. */
	sequence: z.number().int().nonnegative(),
	leaving: z.boolean(),
	running: z.number().int().nonnegative(),
	queued: z.number().int().nonnegative(),
	slots: z.number().int().positive(),
});
export type ServiceReport = z.infer<typeof serviceReportSchema>;

/** A client for one instance of a plain service. */
export abstract class PlainService {
	/** Sends a call once, without retries. */
	abstract call(
		request: ServiceRequest,
		signal: AbortSignal,
	): ResultAsync<ServiceResponse, TargetError>;

	/** Returns the newest report that the instance has published. */
	abstract fetchReport(): ResultAsync<ServiceReport, TargetError>;

	/** Checks over a new connection that the target responds, and returns its incarnation. */
	abstract ping(
		timeoutMilliseconds: number,
	): ResultAsync<{readonly incarnation: string}, TargetError>;

	/** Retires all open connections. Calls in progress finish on them, later calls use new ones. */
	abstract dropConnections(): void;
}
