import {
	type AdapterId,
	type HostId,
	type ModelId,
} from '../../contracts/ids.js';
import {type TargetDeath} from '../../core/quarantine-policy.js';

/** Recent demand of one host for a model. */
export type ModelDemand = {
	readonly model: ModelId;
	/** Requests that are queued or in flight. */
	readonly requests: number;
	/** Time since the last request arrived, 0 while a request is queued or in flight. */
	readonly idleMilliseconds: number;
};

/** Demand of one host for an adapter. */
export type AdapterDemand = Omit<ModelDemand, 'idleMilliseconds'> & {
	readonly adapter: AdapterId;
	/** Requests among them that are queued because no target holds the adapter. */
	readonly waiting: number;
};

/** Report of a host to the owner of placement. */
export type HostDemand = {
	readonly host: HostId;
	/** True once the host is stopping. */
	readonly isLeaving: boolean;
	/** Time since the host received its first request, 0 before that. */
	readonly observedMilliseconds: number;
	readonly models: readonly ModelDemand[];
	readonly adapters: readonly AdapterDemand[];
	/** Deaths of targets that were not reported yet, with the fingerprints of the requests in flight. */
	readonly deaths: readonly TargetDeath[];
};
