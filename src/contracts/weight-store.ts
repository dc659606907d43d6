import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';

/** Load and availability of the weight store. */
export const weightStoreStatusSchema = z.object({
	/** Number of loads in progress. */
	inFlight: z.number().int().nonnegative(),
	available: z.boolean(),
});
export type WeightStoreStatus = z.infer<typeof weightStoreStatusSchema>;

/** The status of the weight store could not be read. */
export class WeightStoreError extends Error {
	override readonly name = 'WeightStoreError';
}

/** A client for the platform's weight store. Engines fetch weights from it; this program only limits the rate of their loads. */
export abstract class WeightStore {
	/** Returns the current load and availability of the store. */
	abstract fetchStatus(): ResultAsync<WeightStoreStatus, WeightStoreError>;
}
