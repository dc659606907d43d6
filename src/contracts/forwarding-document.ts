import {type Result} from 'neverthrow';
import {z} from 'zod';
import {decodeJson, durationSchema} from './bounded-json.js';
import {
	type CustomerName,
	type KeyDigest,
	type ModelId,
	type PoolName,
	type RouteName,
} from './ids.js';

/** Whether requests of a route may be sent again after a failure. A stream may only if its route is resumable. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A pool that receives a share of a route's requests in proportion to its weight. */
export type WeightedPool = {readonly pool: PoolName; readonly weight: number};

/** How requests under a host name and path prefix are forwarded. */
export type RouteRule = {
	readonly name: RouteName;
	/** Host name that the request is addressed to, as in its `Host` header. */
	readonly hostName: string;
	/** Starts and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Time from the arrival of a request until its response must be complete. */
	readonly timeoutMilliseconds: number;
	/** Time to the response, or to the first event of a stream, that meets the latency objective. */
	readonly latencyObjectiveMilliseconds: number;
	/** Priority of the route's requests, 0 is the most urgent. */
	readonly priority: number;
	/** Number of targets on which one request may be executed, one after the other or at once. */
	readonly maximumExecutions: number;
	/** True when an interrupted stream may continue on another target after its last event. */
	readonly isResumable: boolean;
	readonly pools: readonly WeightedPool[];
	/** Longest pause between two events of a stream that meets the objective, undefined if the document states none. */
	readonly pauseObjectiveMilliseconds?: number | undefined;
	/** True when requests need no key although the document has customers. */
	readonly isKeyless?: boolean | undefined;
};

/** Limit on the rate at which all hosts together send the requests of a customer to targets. */
export type CustomerQuota = {
	/** What the quota counts. The tokens of a request are those of its prompt and the largest number that its response may have. */
	readonly unit: 'requests' | 'tokens';
	/** Units per second. */
	readonly perSecond: number;
	/** Units that may be sent in addition after a time without requests. */
	readonly burst: number;
	/** Units that a request counts that declares no tokens. 1 if the unit is requests. */
	readonly plainUnits: number;
};

/** A customer, whose requests carry one of its keys. */
export type Customer = {
	readonly name: CustomerName;
	readonly keyDigests: readonly KeyDigest[];
	/** Priority of the customer's requests, 0 is the most urgent. It precedes that of their route. 0 if undefined. */
	readonly priority: number | undefined;
	/** Undefined for a customer without a limit. */
	readonly quota?: CustomerQuota | undefined;
};

/** A model of an engine pool with the memory and time that a load takes. */
export type PoolModel = {
	readonly id: ModelId;
	/** Accelerator memory that one replica takes. */
	readonly bytes: number;
	/** Time that a load from the weight store takes. */
	readonly loadMilliseconds: number;
	/** Time that a load takes while the weights are in the memory of the target's machine, undefined if not stated. */
	readonly memoryLoadMilliseconds?: number | undefined;
	/** Time that a load takes while the weights are on the disk of the target's machine, undefined if not stated. */
	readonly diskLoadMilliseconds?: number | undefined;
	/** Number of adapters of the model. */
	readonly adapterCount: number;
	/** Memory that one of the adapters takes. */
	readonly adapterBytes: number;
};

/** Capacity of each target of an engine pool, and the models that the pool serves. */
export type EnginePool = {
	/** Accelerator memory for weights. */
	readonly memoryBytes: number;
	/** Number of adapters that can be resident at the same time. */
	readonly adapterSlots: number;
	/** Limit on the rate of loads from the weight store. */
	readonly loadsPerSecond: number;
	readonly models: readonly PoolModel[];
	/** Requests that one target runs at once, undefined if not stated. */
	readonly slots?: number | undefined;
	/** Tokens that the requests and cached prompts of one target may hold together, undefined if not stated. */
	readonly memoryTokens?: number | undefined;
	/** Tokens that one event of a stream holds at most, undefined if not stated. */
	readonly tokensPerEvent?: number | undefined;
};

/** A set of interchangeable targets. The targets themselves come from the list of targets. */
export type ForwardingPool = {
	readonly name: PoolName;
	/** Number of connections that one target accepts from all hosts together. */
	readonly maximumConnections: number;
	/** Undefined for plain services. */
	readonly engine: EnginePool | undefined;
};

/** Limits on the size of callers' requests and on the time that they take to arrive. */
export type RequestLimits = {
	/** Largest total size of the headers. */
	readonly headerBytes: number;
	/** Largest size of the body. */
	readonly bodyBytes: number;
	/** Time in which the headers of a request must arrive. */
	readonly headerTimeoutMilliseconds: number;
	/** Time after which a connection without a request is closed. */
	readonly idleTimeoutMilliseconds: number;
};

/** The operators' configuration of forwarding. Each version is complete and replaces the one before. */
export type ForwardingDocument = {
	readonly version: number;
	readonly routes: readonly RouteRule[];
	readonly pools: readonly ForwardingPool[];
	readonly limits: RequestLimits;
	/** Requests need a key if there are customers. Undefined in a document that a host of an older build has read. */
	readonly customers?: readonly Customer[] | undefined;
};

/** Size of a document between hosts. The check of a larger one would block the event loop. */
const maximumDocumentBytes = 16_777_216;

// Fields of later builds are kept, because a host passes on the documents that it receives.
const documentSchema = z.looseObject({
	/** Reports between hosts carry it as an integer. */
	version: z.number().int().nonnegative(),
	routes: z.array(
		z.looseObject({
			name: z.string(),
			hostName: z.string(),
			pathPrefix: z.string(),
			kind: z.enum(['idempotent', 'non-idempotent', 'stream']),
			timeoutMilliseconds: durationSchema,
			latencyObjectiveMilliseconds: durationSchema,
			priority: z.number(),
			maximumExecutions: z.number(),
			isResumable: z.boolean(),
			pools: z.array(z.looseObject({pool: z.string(), weight: z.number()})),
			isKeyless: z.boolean().optional(),
			pauseObjectiveMilliseconds: durationSchema.optional(),
		}),
	),
	customers: z
		.array(
			z.looseObject({
				name: z.string(),
				keyDigests: z.array(z.string()),
				priority: z.number().optional(),
				quota: z
					.looseObject({
						unit: z.enum(['requests', 'tokens']),
						perSecond: z.number().positive(),
						burst: z.number().nonnegative(),
						plainUnits: z.number().nonnegative(),
					})
					.optional(),
			}),
		)
		.optional(),
	pools: z.array(
		z.looseObject({
			name: z.string(),
			maximumConnections: z.number(),
			engine: z
				.looseObject({
					memoryBytes: z.number(),
					adapterSlots: z.number(),
					loadsPerSecond: z.number(),
					models: z.array(
						z.looseObject({
							id: z.string(),
							bytes: z.number(),
							loadMilliseconds: z.number(),
							adapterCount: z.number(),
							adapterBytes: z.number(),
							memoryLoadMilliseconds: durationSchema.optional(),
							diskLoadMilliseconds: durationSchema.optional(),
						}),
					),
					slots: z.number().optional(),
					memoryTokens: z.number().optional(),
					tokensPerEvent: z.number().optional(),
				})
				.optional(),
		}),
	),
	limits: z.looseObject({
		headerBytes: z.number(),
		bodyBytes: z.number(),
		headerTimeoutMilliseconds: durationSchema,
		idleTimeoutMilliseconds: durationSchema,
	}),
});

/** Decodes a document of another host, or states why it is unreadable. */
export function decodeForwardingDocument(
	text: string,
): Result<ForwardingDocument, string> {
	return decodeJson(
		Buffer.from(text),
		documentSchema,
		maximumDocumentBytes,
	).map((document) => document as unknown as ForwardingDocument);
}
