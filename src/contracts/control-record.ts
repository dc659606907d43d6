import {z} from 'zod';
import {
	artifactKeySchema,
	failureDomainSchema,
	fencingTokenSchema,
	fingerprintSchema,
	hostIdSchema,
	incarnationIdSchema,
	leaseNameSchema,
	orderIdSchema,
	poolNameSchema,
	revisionSchema,
	targetIdSchema,
	targetIncarnationSchema,
} from './ids.js';

/** A host started. */
export const hostStartedSchema = z.object({
	kind: z.literal('host-started'),
	host: hostIdSchema,
	incarnation: incarnationIdSchema,
	failureDomain: failureDomainSchema,
	/** Address at which the host accepts calls of other hosts. */
	peerAddress: z.string(),
	time: z.number(),
});

/** A host completed a planned stop. */
export const hostStoppedSchema = z.object({
	kind: z.literal('host-stopped'),
	host: hostIdSchema,
	incarnation: incarnationIdSchema,
	time: z.number(),
});

/** A document that an operator submitted. Accepted when it is valid and `expectedRevision` is the revision in force. */
export const documentSubmittedSchema = z.object({
	kind: z.literal('document-submitted'),
	expectedRevision: revisionSchema,
	operator: z.string(),
	summary: z.string(),
	time: z.number(),
	/** Validated against the document schema when the record is applied. */
	document: z.unknown(),
});

/** A claim of a lease. Accepted when `expectedOffset` is the offset of the last accepted record of the lease, or null for none. */
export const leaseClaimedSchema = z.object({
	kind: z.literal('lease-claimed'),
	lease: leaseNameSchema,
	holder: hostIdSchema,
	incarnation: incarnationIdSchema,
	expectedOffset: z.number().int().nonnegative().nullable(),
	reason: z.string(),
	time: z.number(),
});

/** Renews all leases of one host. Each renewal is accepted when its token is current. */
export const leasesRenewedSchema = z.object({
	kind: z.literal('leases-renewed'),
	incarnation: incarnationIdSchema,
	leases: z.array(
		z.object({lease: leaseNameSchema, token: fencingTokenSchema}),
	),
});

/** The holder releases a lease. Accepted when the token is current. */
export const leaseReleasedSchema = z.object({
	kind: z.literal('lease-released'),
	lease: leaseNameSchema,
	token: fencingTokenSchema,
	time: z.number(),
});

/** Adds an artifact to the plan of a target, or removes it. */
export const planChangeSchema = z.object({
	target: targetIdSchema,
	artifact: artifactKeySchema,
	/** True when the artifact is to be resident on the target. */
	desired: z.boolean(),
	reason: z.string(),
});
export type PlanChange = z.infer<typeof planChangeSchema>;

/** Changes of the placement plan of a pool. Accepted when the token of the pool's plan lease is current. */
export const planMadeSchema = z.object({
	kind: z.literal('plan-made'),
	pool: poolNameSchema,
	token: fencingTokenSchema,
	changes: z.array(planChangeSchema),
	time: z.number(),
});

/** An order to a target that does not honour fencing tokens, recorded before it is sent. */
export const orderIntentSchema = z.object({
	orderId: orderIdSchema,
	target: targetIdSchema,
	action: z.enum(['load', 'unload']),
	artifact: artifactKeySchema,
	bytes: z.number().int().nonnegative(),
});
export type OrderIntent = z.infer<typeof orderIntentSchema>;

/** Orders that the holder of a lease is about to send. Accepted when the token of the lease is current. */
export const ordersIntendedSchema = z.object({
	kind: z.literal('orders-intended'),
	lease: leaseNameSchema,
	token: fencingTokenSchema,
	orders: z.array(orderIntentSchema).min(1),
});

/** Recorded orders that can no longer take effect, or whose effect is known. */
export const ordersSettledSchema = z.object({
	kind: z.literal('orders-settled'),
	orders: z
		.array(
			z.object({
				orderId: orderIdSchema,
				outcome: z.enum(['applied', 'refused', 'not-sent', 'operator']),
			}),
		)
		.min(1),
	/** Incarnation of the host that settles the orders, or the name of the operator. */
	by: z.string(),
});

/** A target died with requests in flight. The fingerprints are those of the requests. */
export const targetDiedSchema = z.object({
	kind: z.literal('target-died'),
	target: targetIdSchema,
	targetIncarnation: targetIncarnationSchema,
	host: hostIdSchema,
	fingerprints: z.array(fingerprintSchema),
	time: z.number(),
});

/** A record of the log stream `control`. Times are wall-clock milliseconds since the Unix epoch. */
export const controlRecordSchema = z.discriminatedUnion('kind', [
	hostStartedSchema,
	hostStoppedSchema,
	documentSubmittedSchema,
	leaseClaimedSchema,
	leasesRenewedSchema,
	leaseReleasedSchema,
	planMadeSchema,
	ordersIntendedSchema,
	ordersSettledSchema,
	targetDiedSchema,
]);
export type ControlRecord = z.infer<typeof controlRecordSchema>;
