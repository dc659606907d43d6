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

/** A target: one engine worker or plain service instance. */
export const targetDefinitionSchema = z.strictObject({
	id: targetIdSchema,
	address: z.url({protocol: /^https?$/}),
	failureDomain: failureDomainSchema,
	/** Accelerator memory for models and adapters. Zero for plain services. */
	memoryBytes: z.number().int().nonnegative().default(0),
	/** Number of requests that the target processes concurrently. */
	slots: z.number().int().positive().default(8),
	/** Number of accelerators of the target. */
	accelerators: z.number().int().nonnegative().default(1),
});
export type TargetDefinition = z.infer<typeof targetDefinitionSchema>;

/** A set of interchangeable targets. */
export const poolSchema = z.strictObject({
	name: poolNameSchema,
	kind: z.enum(['engine', 'service']),
	/** True when the targets refuse orders with an outdated fencing token. */
	honoursFencing: z.boolean().default(false),
	targets: z.array(targetDefinitionSchema).min(1),
});
export type Pool = z.infer<typeof poolSchema>;

/** A model. `bytes` is the accelerator memory that one replica takes. */
export const modelSchema = z.strictObject({
	id: modelIdSchema,
	pool: poolNameSchema,
	version: versionSchema,
	bytes: bytesSchema,
	/** Smallest number of targets on which the model is to be resident. */
	minimumReplicas: z.number().int().positive().default(1),
});
export type Model = z.infer<typeof modelSchema>;

/** An adapter of a model. `bytes` is the accelerator memory that one replica takes. */
export const adapterSchema = z.strictObject({
	id: adapterIdSchema,
	model: modelIdSchema,
	version: versionSchema,
	bytes: bytesSchema,
});
export type Adapter = z.infer<typeof adapterSchema>;

/** A public name under which callers use a model, with or without an adapter. */
export const offeringSchema = z.strictObject({
	name: offeringNameSchema,
	model: modelIdSchema,
	adapter: adapterIdSchema.optional(),
	/** Largest number of tokens that one response may have. */
	maximumTokens: z.number().int().positive().default(1024),
});
export type Offering = z.infer<typeof offeringSchema>;

/** A route of a plain service. Of several matching routes, the one with the longest path prefix applies. */
export const serviceRouteSchema = z.strictObject({
	method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
	pathPrefix: z.string().startsWith('/'),
	idempotent: z.boolean(),
	timeoutSeconds: z.number().positive().default(10),
});
export type ServiceRoute = z.infer<typeof serviceRouteSchema>;

/** A plain service, available to callers under `/services/<name>/`. */
export const plainServiceSchema = z.strictObject({
	name: serviceNameSchema,
	pool: poolNameSchema,
	routes: z.array(serviceRouteSchema).min(1),
});
export type PlainServiceDefinition = z.infer<typeof plainServiceSchema>;

/** Service-level objectives of a caller class. */
export const objectivesSchema = z.strictObject({
	/** Share of requests that must succeed within the time limits below. */
	attainment: z.number().gt(0).lt(1).default(0.99),
	firstTokenMilliseconds: z.number().positive().default(900),
	betweenTokensMilliseconds: z.number().positive().default(79),
	serviceCallMilliseconds: z.number().positive().default(1000),
	/** Period for which the error budget is calculated. */
	periodDays: z.number().positive().default(30),
});
export type Objectives = z.infer<typeof objectivesSchema>;

/** Urgency, deadline and objectives that a class of callers shares. */
export const callerClassSchema = z.strictObject({
	name: callerClassNameSchema,
	urgency: z.enum(['urgent', 'standard', 'deferred']),
	/** Time from the arrival of a request after which its response is of no use to the caller. */
	deadlineSeconds: z.number().positive().default(60),
	objectives: objectivesSchema.prefault({}),
});
export type CallerClass = z.infer<typeof callerClassSchema>;

/** A customer of the reseller. The document holds only SHA-256 digests of the API keys. */
export const callerSchema = z.strictObject({
	id: callerIdSchema,
	class: callerClassNameSchema,
	keyDigests: z
		.array(z.string().regex(/^[\da-f]{64}$/, 'must be a SHA-256 digest'))
		.min(1),
	offerings: z.array(offeringNameSchema).default([]),
	services: z.array(serviceNameSchema).default([]),
	/** Largest number of requests in flight in the whole fleet. Overrides the limit of `admission`. */
	maximumConcurrent: z.number().int().nonnegative().optional(),
});
export type Caller = z.infer<typeof callerSchema>;

/** Limit on the requests that one caller has in flight. In `monitor` mode, requests above it are logged but admitted. */
export const admissionSchema = z.strictObject({
	mode: z.enum(['disabled', 'monitor', 'enforced']).default('disabled'),
	/** Zero means no limit. */
	maximumConcurrentPerCaller: z.number().int().nonnegative().default(0),
});
export type AdmissionSettings = z.infer<typeof admissionSchema>;

/** Load that the weight store and the engines can sustain when engines load weights. */
export const weightStoreLimitsSchema = z.strictObject({
	/** Rate at which loads may start in the whole fleet. */
	loadsPerSecond: z.number().positive(),
	/** Number of model loads that may be in progress in the whole fleet. */
	concurrentLoads: z.number().int().positive(),
	/** Number of adapter loads that may be in progress in the whole fleet. */
	concurrentAdapterLoads: z.number().int().positive(),
});
export type WeightStoreLimits = z.infer<typeof weightStoreLimitsSchema>;

/** How long an idempotency key protects against repeated execution. */
export const idempotencySchema = z.strictObject({
	windowHours: z.number().positive().default(168),
});

/** The operators' document: the complete configuration of what the fleet serves and for whom. */
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
