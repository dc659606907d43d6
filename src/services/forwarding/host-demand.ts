import {
	type AdapterId,
	type HostId,
	type ModelId,
} from '../../contracts/ids.js';
import {type TargetDeath} from '../../core/quarantine-policy.js';

/** Requests for a model that run or wait on one host, or did so lately. */
export type ModelDemand = {
	readonly model: ModelId;
	readonly requests: number;
	/** Time since the last request came, 0 while one runs or waits. */
	readonly idleMilliseconds: number;
};

/** Requests for an adapter that run or wait on one host. */
export type AdapterDemand = Omit<ModelDemand, 'idleMilliseconds'> & {
	readonly adapter: AdapterId;
	/** Requests among them that wait because no target holds the adapter. */
	readonly waiting: number;
};

/** What a host tells the owner of placement. */
export type HostDemand = {
	readonly host: HostId;
	readonly isLeaving: boolean;
	/** Time since the host was asked for the first time, 0 before that. */
	readonly observedMilliseconds: number;
	readonly models: readonly ModelDemand[];
	readonly adapters: readonly AdapterDemand[];
	/** Deaths of targets that the owner has not been told of, with the requests in flight. */
	readonly deaths: readonly TargetDeath[];
};
