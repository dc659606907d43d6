import {z} from 'zod';

const nameSchema = z
	.string()
	.min(1)
	.max(128)
	.regex(
		/^[\w./:@-]+$/,
		'must consist of letters, digits and the characters . _ - / : @',
	);

/** Id of a caller, a customer of the reseller. */
export const callerIdSchema = nameSchema.brand<'CallerId'>();
export type CallerId = z.infer<typeof callerIdSchema>;

/** Name of a customer in the operators' document of forwarding. */
export const customerNameSchema = z
	.string()
	.min(1)
	.max(256)
	// A target receives it in a header.
	.regex(
		/^[\u0020-\u007E\u00A0-\u00FF]+$/,
		'must consist of printable characters of Latin-1',
	)
	.brand<'CustomerName'>();
export type CustomerName = z.infer<typeof customerNameSchema>;

/** SHA-256 digest of the key of a customer, in lower-case hexadecimal. */
export type KeyDigest = string & z.BRAND<'KeyDigest'>;

/** Public name under which callers use a model, with or without an adapter. */
export const offeringNameSchema = nameSchema.brand<'OfferingName'>();
export type OfferingName = z.infer<typeof offeringNameSchema>;

/** Id of a model. */
export const modelIdSchema = nameSchema.brand<'ModelId'>();
export type ModelId = z.infer<typeof modelIdSchema>;

/** Id of an adapter, which extends a model. */
export const adapterIdSchema = nameSchema.brand<'AdapterId'>();
export type AdapterId = z.infer<typeof adapterIdSchema>;

/** Name of a pool, a set of interchangeable targets. */
export const poolNameSchema = nameSchema.brand<'PoolName'>();
export type PoolName = z.infer<typeof poolNameSchema>;

/** Id of a target, one engine worker or plain service instance. */
export const targetIdSchema = nameSchema.brand<'TargetId'>();
export type TargetId = z.infer<typeof targetIdSchema>;

/** Version of the software of a target. What two versions generate does not fit together. */
export const softwareVersionSchema = nameSchema.brand<'SoftwareVersion'>();
export type SoftwareVersion = z.infer<typeof softwareVersionSchema>;

/** Identifies one run of a target process. A restarted target has a new one. */
export const targetIncarnationSchema = nameSchema.brand<'TargetIncarnation'>();
export type TargetIncarnation = z.infer<typeof targetIncarnationSchema>;

/** Id of a host, a machine that runs this program. */
export const hostIdSchema = nameSchema.brand<'HostId'>();
export type HostId = z.infer<typeof hostIdSchema>;

/** Identifies one run of the program on a host. A restarted host has a new one. */
export const incarnationIdSchema = nameSchema.brand<'IncarnationId'>();
export type IncarnationId = z.infer<typeof incarnationIdSchema>;

/** Name of a failure domain, a set of machines that can fail together, such as a zone. */
export const failureDomainSchema = nameSchema.brand<'FailureDomain'>();
export type FailureDomain = z.infer<typeof failureDomainSchema>;

/** Name of a plain service in the document and in its public path. */
export const serviceNameSchema = nameSchema.brand<'ServiceName'>();
export type ServiceName = z.infer<typeof serviceNameSchema>;

/** Name of a class of callers with the same urgency and objectives. */
export const callerClassNameSchema = nameSchema.brand<'CallerClassName'>();
export type CallerClassName = z.infer<typeof callerClassNameSchema>;

/** Id of a caller's request, unique in the fleet. */
export const requestIdSchema = nameSchema.brand<'RequestId'>();
export type RequestId = z.infer<typeof requestIdSchema>;

/** Key that a caller sends with a request so that it is executed at most once. */
export const idempotencyKeySchema = z
	.string()
	.min(8)
	.max(255)
	.brand<'IdempotencyKey'>();
export type IdempotencyKey = z.infer<typeof idempotencyKeySchema>;

/** Digest of an offering and a request body. Repeated requests have the same fingerprint. */
export const fingerprintSchema = nameSchema.brand<'Fingerprint'>();
export type Fingerprint = z.infer<typeof fingerprintSchema>;

/** Id of one part of a prompt. Requests that share a part share its id. */
export const promptPartIdSchema = nameSchema.brand<'PromptPartId'>();
export type PromptPartId = z.infer<typeof promptPartIdSchema>;

/** Id of an order to a target, unique in the fleet. */
export const orderIdSchema = nameSchema.brand<'OrderId'>();
export type OrderId = z.infer<typeof orderIdSchema>;

/** Id of a log record, unique in its stream. A repeated append of a record has the same id. */
export const recordIdSchema = nameSchema.brand<'RecordId'>();
export type RecordId = z.infer<typeof recordIdSchema>;

/** Name of a lease, such as `group/pool/failure-domain`. */
export const leaseNameSchema = nameSchema.brand<'LeaseName'>();
export type LeaseName = z.infer<typeof leaseNameSchema>;

/** Position in a stream of the log. */
export const logOffsetSchema = z
	.number()
	.int()
	.nonnegative()
	.brand<'LogOffset'>();
export type LogOffset = z.infer<typeof logOffsetSchema>;

/** Fencing token of a lease: the offset of its accepted claim. A larger token is newer. */
export const fencingTokenSchema = z
	.number()
	.int()
	.nonnegative()
	.brand<'FencingToken'>();
export type FencingToken = z.infer<typeof fencingTokenSchema>;

/** Revision of the document: the number of documents accepted so far. */
export const revisionSchema = z
	.number()
	.int()
	.nonnegative()
	.brand<'Revision'>();
export type Revision = z.infer<typeof revisionSchema>;

/** Key of one version of a model or adapter: `model/<id>@<version>` or `adapter/<id>@<version>`. */
export const artifactKeySchema = z.string().min(1).brand<'ArtifactKey'>();
export type ArtifactKey = z.infer<typeof artifactKeySchema>;

/** Name of a route of the forwarding document. */
export const routeNameSchema = z.string().min(1).max(256).brand<'RouteName'>();
export type RouteName = z.infer<typeof routeNameSchema>;
