import {type AdapterId, type ModelId, type TargetId} from '../contracts/ids.js';

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
	/** Keys of the adapters among them that get no new requests, because their slots are wanted for others. */
	readonly retiringAdapters: ReadonlySet<string>;
	/** Returns the time since an adapter was loaded. */
	readonly heldMilliseconds: (adapter: AdapterReference) => number;
	/** Running requests per request slot. */
	readonly load: number;
};

/** What has to happen before an adapter becomes available. A retired adapter gets no new requests and is unloaded when those that use it have ended. */
export type AdapterStep = {
	readonly action: 'load' | 'unload' | 'retire';
	readonly target: TargetId;
	readonly adapter: AdapterReference;
};

/** Requests that run with an adapter or wait for it, on all hosts. */
export type AdapterRequests = {
	readonly total: number;
	/** Requests among them that wait because no target offers the adapter. */
	readonly waiting: number;
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
	/** Time for which an adapter keeps its slot after its load while others wait for one. */
	readonly minimumTenureMilliseconds: number;
	/** Time that an adapter waits for the slot of another one with as many requests. It waits longer for one with more. */
	readonly retirementWaitMilliseconds: number;
	/** Longest time that an adapter waits until the slot of another one is freed for it, whatever their requests. */
	readonly maximumWaitMilliseconds: number;
};

const noRequests: AdapterRequests = {total: 0, waiting: 0};

/**
 * Selects the target that loads an adapter with waiting requests and, when all slots are taken, the adapter that makes
 * room: an idle one, or after a wait one that is in use. Intended for many adapters that share a few slots on each
 * target. Adapters that are all in use take turns.
 */
export class AdapterSlotPolicy {
	private readonly lastRequestedAt = new Map<string, number>();
	private requests: ReadonlyMap<string, AdapterRequests> = new Map();
	/** The adapter that makes room, by the key of the one that waits. */
	private readonly retirements = new Map<
		string,
		{readonly target: TargetId; readonly key: string}
	>();

	constructor(private readonly options: AdapterSlotPolicyOptions) {}

	/** Records the requests on all hosts, by adapter key. */
	observe(requests: ReadonlyMap<string, AdapterRequests>, now: number): void {
		this.requests = requests;
		for (const key of requests.keys()) {
			this.lastRequestedAt.set(key, now);
		}

		for (const key of this.retirements.keys()) {
			if (!requests.has(key)) {
				this.retirements.delete(key);
			}
		}
	}

	/** Number of requests that run with an adapter. */
	runningRequests(adapter: AdapterReference): number {
		const {total, waiting} =
			this.requests.get(adapterKey(adapter)) ?? noRequests;
		return total - waiting;
	}

	/**
	 * Returns the next step towards a replica of an adapter for which requests have waited for a time. Returns undefined
	 * when the adapter has enough replicas, when one makes room already, or when nothing can be done yet. Adapters are to
	 * be passed in the order of their waits, because the first one gets the slot that becomes free.
	 */
	nextStep(
		adapter: AdapterReference,
		targets: readonly AdapterTarget[],
		now: number,
		waitedMilliseconds: number,
	): AdapterStep | undefined {
		const key = adapterKey(adapter);
		const holders = targets.filter(
			(target) => holds(target, key) && !target.retiringAdapters.has(key),
		);
		const total = this.requests.get(key)?.total ?? 0;
		const wanted = total >= this.options.secondReplicaRequests ? 2 : 1;
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

		return (
			this.evictLeastRecentlyRequested(candidates, now) ??
			(holders.length === 0
				? this.retireLongestHeld(key, candidates, waitedMilliseconds)
				: undefined)
		);
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

	/** Retires the adapter that has held its slot longest, once the one that waits has waited for long enough. */
	private retireLongestHeld(
		waitingKey: string,
		targets: readonly AdapterTarget[],
		waitedMilliseconds: number,
	): AdapterStep | undefined {
		const retirement = this.retirements.get(waitingKey);
		if (
			retirement &&
			targets.some(
				({id, retiringAdapters}) =>
					id === retirement.target && retiringAdapters.has(retirement.key),
			)
		) {
			return undefined;
		}

		const waiting = this.requests.get(waitingKey) ?? noRequests;
		let step: AdapterStep | undefined;
		let longest = this.options.minimumTenureMilliseconds;
		for (const {
			id,
			chargedAdapters,
			retiringAdapters,
			heldMilliseconds,
		} of targets) {
			for (const candidate of chargedAdapters) {
				const held = heldMilliseconds(candidate);
				if (
					held >= longest &&
					!retiringAdapters.has(adapterKey(candidate)) &&
					waitedMilliseconds >= this.requiredWait(candidate, waiting)
				) {
					longest = held;
					step = {action: 'retire', target: id, adapter: candidate};
				}
			}
		}

		if (step) {
			this.retirements.set(waitingKey, {
				target: step.target,
				key: adapterKey(step.adapter),
			});
		}

		return step;
	}

	private requiredWait(
		held: AdapterReference,
		waiting: AdapterRequests,
	): number {
		const {total} = this.requests.get(adapterKey(held)) ?? noRequests;
		const {retirementWaitMilliseconds, maximumWaitMilliseconds} = this.options;
		return Math.min(
			maximumWaitMilliseconds,
			retirementWaitMilliseconds *
				Math.max(1, total / Math.max(1, waiting.total)),
		);
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
