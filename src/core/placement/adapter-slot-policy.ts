import {
	type AdapterId,
	type ModelId,
	type TargetId,
} from '../../contracts/ids.js';

/** An adapter together with the model that it extends. */
export type AdapterReference = {
	readonly model: ModelId;
	readonly adapter: AdapterId;
};

/** Returns the map key of an adapter: model id and adapter id, separated by a slash. */
export function adapterKey({model, adapter}: AdapterReference): string {
	return `${model}/${adapter}`;
}

/** A target that can load adapters. */
export type AdapterTarget = {
	readonly id: TargetId;
	/** Number of adapters that the target can hold at the same time. */
	readonly adapterSlots: number;
	/** Models that the target serves and that are not about to be unloaded. */
	readonly models: ReadonlySet<ModelId>;
	/** Adapters that occupy a slot: resident, loading, or named by a load order whose outcome is unknown. */
	readonly chargedAdapters: readonly AdapterReference[];
	/** Running requests per request slot. */
	readonly load: number;
};

/** A load or unload that has to happen before an adapter becomes available. */
export type AdapterStep = {
	readonly action: 'load' | 'unload';
	readonly target: TargetId;
	readonly adapter: AdapterReference;
};

/** Options of an {@link AdapterSlotPolicy}. */
export type AdapterSlotPolicyOptions = {
	/**
	 * Time without a request after which an adapter may be unloaded. With a shorter time, bursts of requests for rarely
	 * used adapters would evict adapters that other requests in flight still need.
	 */
	readonly idleMilliseconds: number;
	/** Number of running and waiting requests from which an adapter gets a second replica. */
	readonly secondReplicaRequests: number;
};

/**
 * Selects the target that loads an adapter with waiting requests and, when all slots are taken, the idle adapter to
 * evict. Intended for many rarely used adapters that share a few slots on each target.
 */
export class AdapterSlotPolicy {
	private readonly lastRequestedAt = new Map<string, number>();
	private readonly requests = new Map<string, number>();

	constructor(private readonly options: AdapterSlotPolicyOptions) {}

	/** Records the number of requests, running or waiting on all hosts, by adapter key. */
	observe(requests: ReadonlyMap<string, number>, now: number): void {
		this.requests.clear();
		for (const [key, count] of requests) {
			this.requests.set(key, count);
			this.lastRequestedAt.set(key, now);
		}
	}

	/**
	 * Returns the next step towards a replica of the adapter. Returns undefined when the adapter has enough replicas, or
	 * when no target with its model has a free slot or an adapter that is idle long enough.
	 */
	nextStep(
		adapter: AdapterReference,
		targets: readonly AdapterTarget[],
		now: number,
	): AdapterStep | undefined {
		const key = adapterKey(adapter);
		// An adapter is of no use on a target that is about to lose its model, or has lost it in a restart.
		const holders = targets.filter(
			(target) => target.models.has(adapter.model) && holds(target, key),
		);
		const wanted =
			(this.requests.get(key) ?? 0) >= this.options.secondReplicaRequests
				? 2
				: 1;
		if (holders.length >= wanted) {
			return undefined;
		}

		const candidates = targets.filter(
			(target) => target.models.has(adapter.model) && !holds(target, key),
		);
		const free = candidates.filter(
			({chargedAdapters, adapterSlots}) =>
				chargedAdapters.length < adapterSlots,
		);
		if (free.length > 0) {
			const target = minimumBy(
				free,
				({load, chargedAdapters, adapterSlots}) =>
					load + chargedAdapters.length / adapterSlots,
			);
			return {action: 'load', target: target.id, adapter};
		}

		return this.evictLeastRecentlyRequested(candidates, now);
	}

	private evictLeastRecentlyRequested(
		targets: readonly AdapterTarget[],
		now: number,
	): AdapterStep | undefined {
		let step: AdapterStep | undefined;
		let oldest = now - this.options.idleMilliseconds;
		for (const target of targets) {
			for (const candidate of target.chargedAdapters) {
				const requestedAt =
					this.lastRequestedAt.get(adapterKey(candidate)) ??
					Number.NEGATIVE_INFINITY;
				if (requestedAt <= oldest) {
					oldest = requestedAt;
					step = {action: 'unload', target: target.id, adapter: candidate};
				}
			}
		}

		return step;
	}
}

function holds({chargedAdapters}: AdapterTarget, key: string): boolean {
	return chargedAdapters.some((adapter) => adapterKey(adapter) === key);
}

function minimumBy<T extends object>(
	items: readonly T[],
	valueOf: (item: T) => number,
): T {
	let best = items[0]!;
	for (const item of items) {
		if (valueOf(item) < valueOf(best)) {
			best = item;
		}
	}

	return best;
}
