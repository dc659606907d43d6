import {
	type AdapterId,
	type HostId,
	type ModelId,
	type SoftwareVersion,
} from '../../contracts/ids.js';

/** Recent demand of one host, or of several together, for a model. */
export type ModelDemand = {
	readonly model: ModelId;
	/** Requests that are queued or in flight. */
	readonly requests: number;
	/** Time since the last request arrived, 0 while a request is queued or in flight. */
	readonly idleMilliseconds: number;
};

/** Demand for an adapter. */
export type AdapterDemand = Omit<ModelDemand, 'idleMilliseconds'> & {
	readonly adapter: AdapterId;
	/** Requests among them that are queued because no target holds the adapter. */
	readonly waiting: number;
	/** Software version of the targets at which the requests may run. Any if absent. */
	readonly softwareVersion?: SoftwareVersion | undefined;
};

/** Report of a host to the owner of placement. The report of a relay includes the demand of the hosts that report to it. */
export type HostDemand = {
	/** The reporting host. */
	readonly host: HostId;
	/** Hosts whose demand the report contains and that are not stopping. */
	readonly members: readonly HostId[];
	/** Time since the first request, 0 before that. */
	readonly observedMilliseconds: number;
	readonly models: readonly ModelDemand[];
	readonly adapters: readonly AdapterDemand[];
};

/** Demand of one or more hosts. */
export type DemandSum = Omit<HostDemand, 'host'>;

/** Returns the key under which demand for an adapter is added up. */
export function adapterDemandKey({
	model,
	adapter,
	softwareVersion,
}: Pick<AdapterDemand, 'model' | 'adapter' | 'softwareVersion'>): string {
	return `${model}/${adapter}/${softwareVersion ?? ''}`;
}

/** Adds up demand. The age of a part is the time since it was reported. */
export function sumDemand(
	parts: Iterable<{
		readonly demand: DemandSum;
		readonly ageMilliseconds: number;
	}>,
): DemandSum {
	const members = new Set<HostId>();
	const models = new Map<ModelId, ModelDemand>();
	const adapters = new Map<string, AdapterDemand>();
	let observedMilliseconds = 0;
	for (const {demand, ageMilliseconds} of parts) {
		for (const member of demand.members) {
			members.add(member);
		}

		if (demand.observedMilliseconds > 0) {
			observedMilliseconds = Math.max(
				observedMilliseconds,
				demand.observedMilliseconds + ageMilliseconds,
			);
		}

		for (const {model, requests, idleMilliseconds} of demand.models) {
			const sum = models.get(model);
			models.set(model, {
				model,
				requests: (sum?.requests ?? 0) + requests,
				idleMilliseconds: Math.min(
					sum?.idleMilliseconds ?? Infinity,
					idleMilliseconds + ageMilliseconds,
				),
			});
		}

		for (const each of demand.adapters) {
			const key = adapterDemandKey(each);
			const sum = adapters.get(key);
			adapters.set(key, {
				...each,
				requests: (sum?.requests ?? 0) + each.requests,
				waiting: (sum?.waiting ?? 0) + each.waiting,
			});
		}
	}

	return {
		members: [...members],
		observedMilliseconds,
		models: [...models.values()],
		adapters: [...adapters.values()],
	};
}
