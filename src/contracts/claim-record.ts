import {z} from 'zod';
import {
	callerIdSchema,
	hostIdSchema,
	idempotencyKeySchema,
	incarnationIdSchema,
	logOffsetSchema,
	requestIdSchema,
} from './ids.js';

// Idempotency keys are scoped to a caller.
const keyShape = {
	caller: callerIdSchema,
	key: idempotencyKeySchema,
};

/** The recorded response to a non-idempotent call. */
export const recordedOutcomeSchema = z.object({
	status: z.number().int(),
	contentType: z.string().optional(),
	/** Base64. Absent when the body was too large to record. */
	body: z.string().optional(),
});
export type RecordedOutcome = z.infer<typeof recordedOutcomeSchema>;

/** Claims an idempotency key before the call is dispatched. Only the call with the first claim in log order is dispatched. */
export const keyClaimedSchema = z.object({
	kind: z.literal('key-claimed'),
	...keyShape,
	/** Digest of the whole call. A repeated call with the same key must have the same digest. */
	bodyDigest: z.string(),
	requestId: requestIdSchema,
	host: hostIdSchema,
	incarnation: incarnationIdSchema,
	time: z.number(),
	/** Wall-clock time in milliseconds after which the key may be claimed again. */
	expiresAt: z.number(),
});

/** The claimant did not dispatch the call and never will, so that the key can be claimed again. */
export const keyReleasedSchema = z.object({
	kind: z.literal('key-released'),
	...keyShape,
	requestId: requestIdSchema,
	incarnation: incarnationIdSchema,
});

/** The call was dispatched. The outcome is its response, or null when the outcome will stay unknown. */
export const keySettledSchema = z.object({
	kind: z.literal('key-settled'),
	...keyShape,
	requestId: requestIdSchema,
	incarnation: incarnationIdSchema,
	outcome: recordedOutcomeSchema.nullable(),
});

/** Claims that are still in force, appended again before the log truncates their original records. */
export const claimsCarriedSchema = z.object({
	kind: z.literal('claims-carried'),
	time: z.number(),
	/** The entries reflect all records before this offset. */
	asOf: logOffsetSchema,
	entries: z.array(
		z.object({
			...keyShape,
			bodyDigest: z.string(),
			requestId: requestIdSchema,
			incarnation: incarnationIdSchema,
			time: z.number(),
			expiresAt: z.number(),
			/** Offset of the accepted claim. */
			claimOffset: logOffsetSchema,
			state: z.enum(['claimed', 'settled']),
			outcome: recordedOutcomeSchema.nullable(),
		}),
	),
});

/** A record of the log stream `claims`. Times are wall-clock milliseconds since the Unix epoch. */
export const claimRecordSchema = z.discriminatedUnion('kind', [
	keyClaimedSchema,
	keyReleasedSchema,
	keySettledSchema,
	claimsCarriedSchema,
]);
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
