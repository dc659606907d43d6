import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';

/** A machine as the platform lists it: a host of ours or the machine of a target. */
export const hostListEntrySchema = z.object({
	name: z.string().min(1),
	state: z.enum(['live', 'leaving']),
});
export type HostListEntry = z.infer<typeof hostListEntrySchema>;

/** The host list did not answer. */
export class HostListError extends Error {
	override readonly name = 'HostListError';
}

/** The platform's list of live and leaving machines. It lags. */
export abstract class HostList {
	/** Returns the list as the platform knows it. */
	abstract list(): ResultAsync<readonly HostListEntry[], HostListError>;
}
