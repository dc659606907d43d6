import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';

/** A machine in the platform's list: a host that runs this program, or the machine of a target. */
export const hostListEntrySchema = z.object({
	name: z.string().min(1),
	state: z.enum(['live', 'leaving']),
});
export type HostListEntry = z.infer<typeof hostListEntrySchema>;

/** The host list could not be read. */
export class HostListError extends Error {
	override readonly name = 'HostListError';
}

/** A client for the platform's list of live and leaving machines. The list lags behind the real state. */
export abstract class HostList {
	/** Returns the current list of the platform. */
	abstract list(): ResultAsync<readonly HostListEntry[], HostListError>;
}
