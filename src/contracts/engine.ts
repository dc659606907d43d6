import {type Result, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {
	adapterIdSchema,
	artifactKeySchema,
	fencingTokenSchema,
	modelIdSchema,
	orderIdSchema,
	requestIdSchema,
	targetIdSchema,
	targetIncarnationSchema,
	type RequestId,
} from './ids.js';
import {type TargetError} from './target-error.js';

/** One message of a conversation. */
export const chatMessageSchema = z.object({
	role: z.string().min(1),
	content: z.string(),
});
export type ChatMessage = z.infer<typeof chatMessageSchema>;

/** A request to generate text. */
export const generationRequestSchema = z.object({
	requestId: requestIdSchema,
	model: modelIdSchema,
	adapter: adapterIdSchema.optional(),
	messages: z.array(chatMessageSchema).min(1),
	maximumTokens: z.number().int().positive(),
	/** Requests with smaller numbers run first. */
	priority: z.number().int(),
	/** Tokens that another engine has already generated. The generation continues after them. */
	continuation: z.array(z.string()).default([]),
});
export type GenerationRequest = z.infer<typeof generationRequestSchema>;

/** An event of a generation stream. Sequence numbers count the tokens from zero, those of the continuation included. */
export const generationEventSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('token'),
		requestId: requestIdSchema,
		sequence: z.number().int().nonnegative(),
		text: z.string(),
	}),
	z.object({
		kind: z.literal('end'),
		requestId: requestIdSchema,
		/** Number of tokens of the complete generation, those of the continuation included. */
		tokens: z.number().int().nonnegative(),
		reason: z.enum(['stop', 'length', 'cancelled']),
	}),
]);
export type GenerationEvent = z.infer<typeof generationEventSchema>;

/** A stream of generation events. It ends after an `end` event or an error. */
export type GenerationStream = AsyncIterable<
	Result<GenerationEvent, TargetError>
>;

/** An artifact that takes memory of a target. */
export const residentArtifactSchema = z.object({
	key: artifactKeySchema,
	bytes: z.number().int().nonnegative(),
	state: z.enum(['loading', 'resident', 'unloading']),
});
export type ResidentArtifact = z.infer<typeof residentArtifactSchema>;

/** A target's report of its own state. It can be seconds old when it arrives. */
export const targetReportSchema = z.object({
	target: targetIdSchema,
	incarnation: targetIncarnationSchema,
	/** Increases with each change of the target's state. */
	sequence: z.number().int().nonnegative(),
	leaving: z.boolean(),
	role: z.string(),
	memoryBytes: z.number().int().nonnegative(),
	artifacts: z.array(residentArtifactSchema),
	/** Highest fencing token that the target has seen. */
	highestToken: fencingTokenSchema,
	running: z.number().int().nonnegative(),
	queued: z.number().int().nonnegative(),
	slots: z.number().int().positive(),
	/** The most recent orders that the target carried out, the newest last. */
	appliedOrders: z.array(orderIdSchema),
});
export type TargetReport = z.infer<typeof targetReportSchema>;

/** Phases of a generation that an engine serves: prefill, decode or both. */
export const engineRoleSchema = z.enum(['mixed', 'prefill', 'decode']);
export type EngineRole = z.infer<typeof engineRoleSchema>;

/** An order to load or unload an artifact, to change the role of an engine, or to fence off older orders. */
export const engineOrderSchema = z.discriminatedUnion('action', [
	z.object({
		action: z.literal('load'),
		orderId: orderIdSchema,
		token: fencingTokenSchema,
		artifact: artifactKeySchema,
		bytes: z.number().int().positive(),
	}),
	z.object({
		action: z.literal('unload'),
		orderId: orderIdSchema,
		token: fencingTokenSchema,
		artifact: artifactKeySchema,
	}),
	z.object({
		action: z.literal('role'),
		orderId: orderIdSchema,
		token: fencingTokenSchema,
		role: engineRoleSchema,
	}),
	// Invalidates all orders with older tokens on a target that honours fencing.
	z.object({
		action: z.literal('fence'),
		orderId: orderIdSchema,
		token: fencingTokenSchema,
	}),
]);
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** Acknowledgement of an order. The report shows the state after the target accepted the order. */
export const orderAcknowledgementSchema = z.object({
	orderId: orderIdSchema,
	report: targetReportSchema,
});
export type OrderAcknowledgement = z.infer<typeof orderAcknowledgementSchema>;

/** A change of the prefix cache. A gap in the sequence numbers means that events were lost. */
export const cacheEventSchema = z.object({
	sequence: z.number().int().nonnegative(),
	kind: z.enum(['stored', 'evicted', 'cleared']),
	/** Digest of the prompt prefix. Empty for `cleared`. */
	prefix: z.string(),
});
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** A client for an engine worker. */
export abstract class Engine {
	/** Starts a generation and streams its events. */
	abstract generate(
		request: GenerationRequest,
		signal: AbortSignal,
	): GenerationStream;

	/** Streams a running or finished generation again, from a sequence number on. */
	abstract resume(
		requestId: RequestId,
		fromSequence: number,
		signal: AbortSignal,
	): GenerationStream;

	/** Cancels a generation. An unknown request is not an error. */
	abstract cancel(requestId: RequestId): ResultAsync<void, TargetError>;

	/** Returns the newest report that the engine has published. */
	abstract fetchReport(): ResultAsync<TargetReport, TargetError>;

	/**
	 * Sends an order. After an error with execution `unknown` the order may still take effect at any later time.
	 *
	 * Memory accounting relies on one of two properties, which must hold across restarts of the engine. An
	 * engine that honours fencing refuses every order with a token below the highest one it has seen. An engine
	 * that does not honour fencing carries out each order id at most once, and a duplicate of a refused order
	 * has no effect either.
	 */
	abstract sendOrder(
		order: EngineOrder,
	): ResultAsync<OrderAcknowledgement, TargetError>;

	/** Returns the events of the prefix cache from a sequence number on. */
	abstract fetchCacheEvents(
		fromSequence: number,
	): ResultAsync<readonly CacheEvent[], TargetError>;

	/** Returns the cached state of a generation, for import into another engine. */
	abstract exportCache(
		requestId: RequestId,
	): ResultAsync<Uint8Array, TargetError>;

	/** Imports the cached state of a generation from another engine. */
	abstract importCache(
		requestId: RequestId,
		content: Uint8Array,
	): ResultAsync<void, TargetError>;

	/** Checks over a new connection that the target responds, and returns its incarnation. */
	abstract ping(
		timeoutMilliseconds: number,
	): ResultAsync<{readonly incarnation: string}, TargetError>;

	/** Retires all open connections. Calls in progress finish on them, later calls use new ones. */
	abstract dropConnections(): void;
}
