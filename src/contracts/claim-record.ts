import {z} from 'zod';
import {
	callerIdSchema,
	hostIdSchema,
	idempotencyKeySchema,
	incarnationIdSchema,
	logOffsetSchema,
	requestIdSchema,
} from './ids.js';

const keyShape = {
	caller: callerIdSchema,
	key: idempotencyKeySchema,
};

/** The recorded answer to a non-idempotent call. */
export const recordedOutcomeSchema = z.object({
	status: z.number().int(),
	contentType: z.string().optional(),
	/** Base64. Absent when the answer was too large to record. */
	body: z.string().optional(),
});
export type RecordedOutcome = z.infer<typeof recordedOutcomeSchema>;

/** Claims a key before the call is dispatched. The first claim in log order may run. */
export const keyClaimedSchema = z.object({
	kind: z.literal('key-claimed'),
	...keyShape,
	bodyDigest: z.string(),
	requestId: requestIdSchema,
	host: hostIdSchema,
	incarnation: incarnationIdSchema,
	time: z.number(),
	/** Wall time after which the key may be claimed anew. */
	expiresAt: z.number(),
});

/** The claimant did not dispatch the call and never will. The key is free again. */
export const keyReleasedSchema = z.object({
	kind: z.literal('key-released'),
	...keyShape,
	requestId: requestIdSchema,
	incarnation: incarnationIdSchema,
});

/** The call was dispatched and answered, or its outcome is unknown for good. */
export const keySettledSchema = z.object({
	kind: z.literal('key-settled'),
	...keyShape,
	requestId: requestIdSchema,
	incarnation: incarnationIdSchema,
	outcome: recordedOutcomeSchema.nullable(),
});

/** Claims carried forward before the log drops their records. */
export const claimsCarriedSchema = z.object({
	kind: z.literal('claims-carried'),
	time: z.number(),
	/** The appender had folded all records before this offset. */
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

/** A record of the stream `claims`. */
export const claimRecordSchema = z.discriminatedUnion('kind', [
	keyClaimedSchema,
	keyReleasedSchema,
	keySettledSchema,
	claimsCarriedSchema,
]);
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
