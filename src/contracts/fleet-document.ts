import {z} from 'zod';
import {
	adapterIdSchema,
	callerClassNameSchema,
	callerIdSchema,
	failureDomainSchema,
	modelIdSchema,
	offeringNameSchema,
	poolNameSchema,
	serviceNameSchema,
	targetIdSchema,
} from './ids.js';

const bytesSchema = z.number().int().positive();
const versionSchema = z
	.string()
	.min(1)
	.max(64)
	.regex(/^[\w.-]+$/)
	.default('1');

/** One engine worker or plain service instance. */
export const targetDefinitionSchema = z.strictObject({
	id: targetIdSchema,
	address: z.url({protocol: /^https?$/}),
	failureDomain: failureDomainSchema,
	/** Accelerator memory for models and adapters. Zero for plain services. */
	memoryBytes: z.number().int().nonnegative().default(0),
	/** Requests that the target works on at a time. */
	slots: z.number().int().positive().default(8),
	accelerators: z.number().int().nonnegative().default(1),
});
export type TargetDefinition = z.infer<typeof targetDefinitionSchema>;

/** A set of interchangeable targets. */
export const poolSchema = z.strictObject({
	name: poolNameSchema,
	kind: z.enum(['engine', 'service']),
	/** True when the targets refuse orders with an old fencing token. */
	honoursFencing: z.boolean().default(false),
	targets: z.array(targetDefinitionSchema).min(1),
});
export type Pool = z.infer<typeof poolSchema>;

/** A model and the memory that one replica takes. */
export const modelSchema = z.strictObject({
	id: modelIdSchema,
	pool: poolNameSchema,
	version: versionSchema,
	bytes: bytesSchema,
	minimumReplicas: z.number().int().positive().default(1),
});
export type Model = z.infer<typeof modelSchema>;

/** An adapter, the model it extends and the memory that one copy takes. */
export const adapterSchema = z.strictObject({
	id: adapterIdSchema,
	model: modelIdSchema,
	version: versionSchema,
	bytes: bytesSchema,
});
export type Adapter = z.infer<typeof adapterSchema>;

/** A public name and what answers it. */
export const offeringSchema = z.strictObject({
	name: offeringNameSchema,
	model: modelIdSchema,
	adapter: adapterIdSchema.optional(),
	/** Largest number of tokens that one answer may have. */
	maximumTokens: z.number().int().positive().default(1024),
});
export type Offering = z.infer<typeof offeringSchema>;

/** A route of a plain service. The longest matching path prefix decides. */
export const serviceRouteSchema = z.strictObject({
	method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
	pathPrefix: z.string().startsWith('/'),
	idempotent: z.boolean(),
	timeoutSeconds: z.number().positive().default(10),
});
export type ServiceRoute = z.infer<typeof serviceRouteSchema>;

/** A plain service under `/services/<name>/`. */
export const plainServiceSchema = z.strictObject({
	name: serviceNameSchema,
	pool: poolNameSchema,
	routes: z.array(serviceRouteSchema).min(1),
});
export type PlainServiceDefinition = z.infer<typeof plainServiceSchema>;

/** Service-level objectives of a caller class. */
export const objectivesSchema = z.strictObject({
	/** Share of requests that must succeed within the limits below. */
	attainment: z.number().gt(0).lt(1).default(0.99),
	firstTokenMilliseconds: z.number().positive().default(900),
	betweenTokensMilliseconds: z.number().positive().default(79),
	serviceCallMilliseconds: z.number().positive().default(1000),
	/** Period over which the error budget is spent. */
	periodDays: z.number().positive().default(30),
});
export type Objectives = z.infer<typeof objectivesSchema>;

/** How urgent the work of a class of callers is. */
export const callerClassSchema = z.strictObject({
	name: callerClassNameSchema,
	urgency: z.enum(['urgent', 'standard', 'deferred']),
	/** Time from arrival after which an answer is useless. */
	deadlineSeconds: z.number().positive().default(60),
	objectives: objectivesSchema.prefault({}),
});
export type CallerClass = z.infer<typeof callerClassSchema>;

/** A customer of the reseller. Keys are kept only as SHA-256 digests. */
export const callerSchema = z.strictObject({
	id: callerIdSchema,
	class: callerClassNameSchema,
	keyDigests: z
		.array(z.string().regex(/^[\da-f]{64}$/, 'must be a SHA-256 digest'))
		.min(1),
	offerings: z.array(offeringNameSchema).default([]),
	services: z.array(serviceNameSchema).default([]),
	/** Requests in flight in the whole fleet. Overrides the limit of `admission`. */
	maximumConcurrent: z.number().int().nonnegative().optional(),
});
export type Caller = z.infer<typeof callerSchema>;

/** Limit on the requests that one caller has in flight. */
export const admissionSchema = z.strictObject({
	mode: z.enum(['disabled', 'monitor', 'enforced']).default('disabled'),
	/** Zero means no limit. */
	maximumConcurrentPerCaller: z.number().int().nonnegative().default(0),
});
export type AdmissionSettings = z.infer<typeof admissionSchema>;

/** What the weight store and the engines stand when they load weights. */
export const weightStoreLimitsSchema = z.strictObject({
	loadsPerSecond: z.number().positive(),
	concurrentLoads: z.number().int().positive(),
	concurrentAdapterLoads: z.number().int().positive(),
});
export type WeightStoreLimits = z.infer<typeof weightStoreLimitsSchema>;

/** How long an idempotency key is remembered. */
export const idempotencySchema = z.strictObject({
	windowHours: z.number().positive().default(168),
});

/** The operators' document: everything that the fleet serves. */
export const fleetDocumentSchema = z.strictObject({
	schema: z.literal(1),
	pools: z.array(poolSchema),
	models: z.array(modelSchema).default([]),
	adapters: z.array(adapterSchema).default([]),
	offerings: z.array(offeringSchema).default([]),
	services: z.array(plainServiceSchema).default([]),
	callerClasses: z.array(callerClassSchema).min(1),
	callers: z.array(callerSchema).default([]),
	admission: admissionSchema.prefault({}),
	weightStore: weightStoreLimitsSchema,
	idempotency: idempotencySchema.prefault({}),
});
export type FleetDocument = z.infer<typeof fleetDocumentSchema>;
