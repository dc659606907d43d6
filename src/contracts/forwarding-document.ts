import {type ModelId, type PoolName, type RouteName} from './ids.js';

/** What may be repeated on a route. A stream may be repeated only where the route lets it resume. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A pool that gets a part of a route's requests. */
export type WeightedPool = {readonly pool: PoolName; readonly weight: number};

/** How requests under a host name and path prefix are forwarded. */
export type RouteRule = {
	readonly name: RouteName;
	readonly hostName: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Longest time that a caller waits for the end of its answer. */
	readonly timeoutMilliseconds: number;
	/** Time to the answer, or to the first event of a stream, that counts as in time. */
	readonly latencyObjectiveMilliseconds: number;
	/** Rank among the routes, 0 is the most urgent. */
	readonly priority: number;
	/** Targets on which one request may run. */
	readonly maximumExecutions: number;
	/** True when a broken stream may go on at another target after its last event. */
	readonly isResumable: boolean;
	readonly pools: readonly WeightedPool[];
};

/** A model of an engine pool with what its loads cost. */
export type PoolModel = {
	readonly id: ModelId;
	readonly bytes: number;
	/** Load from the weight store. */
	readonly loadMilliseconds: number;
	readonly adapterCount: number;
	readonly adapterBytes: number;
};

/** What the targets of an engine pool can hold. */
export type EnginePool = {
	readonly memoryBytes: number;
	readonly adapterSlots: number;
	readonly loadsPerSecond: number;
	readonly models: readonly PoolModel[];
};

/** Interchangeable targets that are found through the list of targets. */
export type ForwardingPool = {
	readonly name: PoolName;
	/** Connections that one target accepts from all hosts together. */
	readonly maximumConnections: number;
	/** Absent for plain services. */
	readonly engine: EnginePool | undefined;
};

/** What callers may send, and how long they may take. */
export type RequestLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMilliseconds: number;
	readonly idleTimeoutMilliseconds: number;
};

/** The operators' configuration of forwarding, complete in each version. */
export type ForwardingDocument = {
	readonly version: number;
	readonly routes: readonly RouteRule[];
	readonly pools: readonly ForwardingPool[];
	readonly limits: RequestLimits;
};
