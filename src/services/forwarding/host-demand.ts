import {
	type AdapterId,
	type HostId,
	type ModelId,
} from '../../contracts/ids.js';

/** Requests for a model that run or wait on one host. */
export type ModelDemand = {
	readonly model: ModelId;
	readonly requests: number;
};

/** Requests for an adapter that run or wait on one host. */
export type AdapterDemand = ModelDemand & {
	readonly adapter: AdapterId;
	/** Requests among them that wait because no target holds the adapter. */
	readonly waiting: number;
};

/** What a host tells the owner of placement. */
export type HostDemand = {
	readonly host: HostId;
	readonly isLeaving: boolean;
	readonly models: readonly ModelDemand[];
	readonly adapters: readonly AdapterDemand[];
};
