import {z} from 'zod';

const nameSchema = z
	.string()
	.min(1)
	.max(128)
	.regex(
		/^[\w./:@-]+$/,
		'must consist of letters, digits and the characters . _ - / : @',
	);

/** A customer of the reseller. */
export const callerIdSchema = nameSchema.brand<'CallerId'>();
export type CallerId = z.infer<typeof callerIdSchema>;

/** The public name under which callers use a model and adapter. */
export const offeringNameSchema = nameSchema.brand<'OfferingName'>();
export type OfferingName = z.infer<typeof offeringNameSchema>;

/** A model that engines load. */
export const modelIdSchema = nameSchema.brand<'ModelId'>();
export type ModelId = z.infer<typeof modelIdSchema>;

/** An adapter on top of a model. */
export const adapterIdSchema = nameSchema.brand<'AdapterId'>();
export type AdapterId = z.infer<typeof adapterIdSchema>;

/** A set of interchangeable targets. */
export const poolNameSchema = nameSchema.brand<'PoolName'>();
export type PoolName = z.infer<typeof poolNameSchema>;

/** One engine worker or plain service instance. */
export const targetIdSchema = nameSchema.brand<'TargetId'>();
export type TargetId = z.infer<typeof targetIdSchema>;

/** One run of a target process. A restarted target has a new one. */
export const targetIncarnationSchema = nameSchema.brand<'TargetIncarnation'>();
export type TargetIncarnation = z.infer<typeof targetIncarnationSchema>;

/** A machine that runs this program. */
export const hostIdSchema = nameSchema.brand<'HostId'>();
export type HostId = z.infer<typeof hostIdSchema>;

/** One run of the program on a host. A restarted host has a new one. */
export const incarnationIdSchema = nameSchema.brand<'IncarnationId'>();
export type IncarnationId = z.infer<typeof incarnationIdSchema>;

/** A set of machines that can fail together. */
export const failureDomainSchema = nameSchema.brand<'FailureDomain'>();
export type FailureDomain = z.infer<typeof failureDomainSchema>;

/** A plain service as named in the document and in its public path. */
export const serviceNameSchema = nameSchema.brand<'ServiceName'>();
export type ServiceName = z.infer<typeof serviceNameSchema>;

/** A class of callers that share urgency and objectives. */
export const callerClassNameSchema = nameSchema.brand<'CallerClassName'>();
export type CallerClassName = z.infer<typeof callerClassNameSchema>;

/** One request of a caller, unique in the fleet. */
export const requestIdSchema = nameSchema.brand<'RequestId'>();
export type RequestId = z.infer<typeof requestIdSchema>;

/** The key that a caller sends so that a request executes at most once. */
export const idempotencyKeySchema = z
	.string()
	.min(8)
	.max(255)
	.brand<'IdempotencyKey'>();
export type IdempotencyKey = z.infer<typeof idempotencyKeySchema>;

/** Digest of an offering and a request body, equal for repeated requests. */
export const fingerprintSchema = nameSchema.brand<'Fingerprint'>();
export type Fingerprint = z.infer<typeof fingerprintSchema>;

/** An order to a target, unique in the fleet. */
export const orderIdSchema = nameSchema.brand<'OrderId'>();
export type OrderId = z.infer<typeof orderIdSchema>;

/** A log record, unique in its stream. A repeated append carries the same one. */
export const recordIdSchema = nameSchema.brand<'RecordId'>();
export type RecordId = z.infer<typeof recordIdSchema>;

/** The name of a lease, such as `group/pool/failure-domain`. */
export const leaseNameSchema = nameSchema.brand<'LeaseName'>();
export type LeaseName = z.infer<typeof leaseNameSchema>;

/** A position in a stream of the log. */
export const logOffsetSchema = z
	.number()
	.int()
	.nonnegative()
	.brand<'LogOffset'>();
export type LogOffset = z.infer<typeof logOffsetSchema>;

/** The offset of the accepted claim of a lease. A larger token is newer. */
export const fencingTokenSchema = z
	.number()
	.int()
	.nonnegative()
	.brand<'FencingToken'>();
export type FencingToken = z.infer<typeof fencingTokenSchema>;

/** The number of accepted documents. Zero before the first one. */
export const revisionSchema = z
	.number()
	.int()
	.nonnegative()
	.brand<'Revision'>();
export type Revision = z.infer<typeof revisionSchema>;

/** A model or adapter in one version, as `model/<id>@<version>` or `adapter/<id>@<version>`. */
export const artifactKeySchema = z.string().min(1).brand<'ArtifactKey'>();
export type ArtifactKey = z.infer<typeof artifactKeySchema>;

/** A route of the forwarding document. */
export const routeNameSchema = z.string().min(1).max(256).brand<'RouteName'>();
export type RouteName = z.infer<typeof routeNameSchema>;
