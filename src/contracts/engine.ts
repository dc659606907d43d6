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

/** Work for an engine. */
export const generationRequestSchema = z.object({
	requestId: requestIdSchema,
	model: modelIdSchema,
	adapter: adapterIdSchema.optional(),
	messages: z.array(chatMessageSchema).min(1),
	maximumTokens: z.number().int().positive(),
	/** Smaller runs first. */
	priority: z.number().int(),
	/** Text that another engine generated already. Generation continues after it. */
	continuation: z.array(z.string()).default([]),
});
export type GenerationRequest = z.infer<typeof generationRequestSchema>;

/** One step of a stream. Sequence numbers count from zero, continuation included. */
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
		/** Number of tokens in the whole answer. */
		tokens: z.number().int().nonnegative(),
		reason: z.enum(['stop', 'length', 'cancelled']),
	}),
]);
export type GenerationEvent = z.infer<typeof generationEventSchema>;

/** A stream of events. It ends after an `end` event or an error. */
export type GenerationStream = AsyncIterable<
	Result<GenerationEvent, TargetError>
>;

/** An artifact in the memory of a target. */
export const residentArtifactSchema = z.object({
	key: artifactKeySchema,
	bytes: z.number().int().nonnegative(),
	state: z.enum(['loading', 'resident', 'unloading']),
});
export type ResidentArtifact = z.infer<typeof residentArtifactSchema>;

/** What a target says of itself. It can be seconds old when it arrives. */
export const targetReportSchema = z.object({
	target: targetIdSchema,
	incarnation: targetIncarnationSchema,
	/** Grows with each change of the target's state. */
	sequence: z.number().int().nonnegative(),
	leaving: z.boolean(),
	role: z.string(),
	memoryBytes: z.number().int().nonnegative(),
	artifacts: z.array(residentArtifactSchema),
	/** Newest fencing token that the target has seen. */
	highestToken: fencingTokenSchema,
	running: z.number().int().nonnegative(),
	queued: z.number().int().nonnegative(),
	slots: z.number().int().positive(),
	/** The orders that the target carried out last, the newest last. */
	appliedOrders: z.array(orderIdSchema),
});
export type TargetReport = z.infer<typeof targetReportSchema>;

/** Work that an engine can be told to take over. */
export const engineRoleSchema = z.enum(['mixed', 'prefill', 'decode']);
export type EngineRole = z.infer<typeof engineRoleSchema>;

/** An order to change what an engine holds or does. */
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
	// Closes all orders with older tokens on a target that honours fencing.
	z.object({
		action: z.literal('fence'),
		orderId: orderIdSchema,
		token: fencingTokenSchema,
	}),
]);
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** Answer to an order. The report shows the state after the order was taken in. */
export const orderAcknowledgementSchema = z.object({
	orderId: orderIdSchema,
	report: targetReportSchema,
});
export type OrderAcknowledgement = z.infer<typeof orderAcknowledgementSchema>;

/** A change of the prefix cache. Gaps in the sequence mean lost events. */
export const cacheEventSchema = z.object({
	sequence: z.number().int().nonnegative(),
	kind: z.enum(['stored', 'evicted', 'cleared']),
	/** Digest of the prompt prefix. Empty for `cleared`. */
	prefix: z.string(),
});
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** An engine worker. */
export abstract class Engine {
	/** Starts a generation and streams it. */
	abstract generate(
		request: GenerationRequest,
		signal: AbortSignal,
	): GenerationStream;

	/** Streams a running or finished generation again from a sequence number on. */
	abstract resume(
		requestId: RequestId,
		fromSequence: number,
		signal: AbortSignal,
	): GenerationStream;

	/** Ends a generation. An unknown request is no error. */
	abstract cancel(requestId: RequestId): ResultAsync<void, TargetError>;

	/** Returns the newest report that the engine has published. */
	abstract fetchReport(): ResultAsync<TargetReport, TargetError>;

	/**
	 * Gives an order. After an error with execution `unknown` the order may still take effect, at any later time.
	 *
	 * Memory accounting relies on one of two properties, both kept over restarts of the engine. An engine
	 * that honours fencing refuses every order with a token below the highest one it has seen. An engine
	 * that ignores fencing carries out each order id at most once; a second copy of a refused order has no
	 * effect either.
	 */
	abstract sendOrder(
		order: EngineOrder,
	): ResultAsync<OrderAcknowledgement, TargetError>;

	/** Returns cache events from a sequence number on. */
	abstract fetchCacheEvents(
		fromSequence: number,
	): ResultAsync<readonly CacheEvent[], TargetError>;

	/** Returns the cache content of a generation, to import it in another engine. */
	abstract exportCache(
		requestId: RequestId,
	): ResultAsync<Uint8Array, TargetError>;

	/** Takes in the cache content of a generation. */
	abstract importCache(
		requestId: RequestId,
		content: Uint8Array,
	): ResultAsync<void, TargetError>;

	/** Checks over a new connection that the target answers, and returns its incarnation. */
	abstract ping(
		timeoutMilliseconds: number,
	): ResultAsync<{readonly incarnation: string}, TargetError>;

	/** Drops all open connections, so that later calls use new ones. */
	abstract dropConnections(): void;
}
