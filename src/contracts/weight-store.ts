import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';

/** How busy the weight store is. */
export const weightStoreStatusSchema = z.object({
	inFlight: z.number().int().nonnegative(),
	available: z.boolean(),
});
export type WeightStoreStatus = z.infer<typeof weightStoreStatusSchema>;

/** The weight store did not answer. */
export class WeightStoreError extends Error {
	override readonly name = 'WeightStoreError';
}

/** The platform's weight store. Engines fetch weights from it; the system only paces them. */
export abstract class WeightStore {
	/** Returns how busy the store is. */
	abstract fetchStatus(): ResultAsync<WeightStoreStatus, WeightStoreError>;
}
