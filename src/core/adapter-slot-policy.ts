import {type AdapterId, type ModelId, type TargetId} from '../contracts/ids.js';

/** A model with one of its adapters. */
export type AdapterReference = {
	readonly model: ModelId;
	readonly adapter: AdapterId;
};

/** Key of an adapter in maps. */
export function adapterKey({model, adapter}: AdapterReference): string {
	return `${model}/${adapter}`;
}

/** A target that may hold adapters. */
export type AdapterTarget = {
	readonly id: TargetId;
	readonly adapterSlots: number;
	/** Models that serve and will stay. */
	readonly models: ReadonlySet<ModelId>;
	/** Adapters that are held, on their way, or may still arrive. */
	readonly chargedAdapters: readonly AdapterReference[];
	/** Running requests for each slot. */
	readonly load: number;
};

/** A step that makes an adapter available. */
export type AdapterStep = {
	readonly action: 'load' | 'unload';
	readonly target: TargetId;
	readonly adapter: AdapterReference;
};

/** Settings of the places. */
export type AdapterSlotPolicyOptions = {
	/** An adapter that nobody asked for since this long may go. Below it, bursts of rare adapters would take the places of each other's requests in flight. */
	readonly idleMilliseconds: number;
	/** An adapter with this many requests running and waiting gets a second copy. */
	readonly secondReplicaRequests: number;
};

/**
 * Decides which target loads an adapter that requests wait for, and which idle adapter makes room. Answers the
 * pattern of many rare adapters that share few places for each target.
 */
export class AdapterSlotPolicy {
	private readonly lastUsed = new Map<string, number>();
	private readonly requests = new Map<string, number>();

	constructor(private readonly options: AdapterSlotPolicyOptions) {}

	/** Takes in the requests for adapters that run or wait now on all hosts. */
	observe(requests: ReadonlyMap<string, number>, now: number): void {
		this.requests.clear();
		for (const [key, count] of requests) {
			this.requests.set(key, count);
			this.lastUsed.set(key, now);
		}
	}

	/** Returns the step that brings an adapter to a target, or undefined when it is there or no place can be had. */
	nextStep(
		name: AdapterReference,
		targets: readonly AdapterTarget[],
		now: number,
	): AdapterStep | undefined {
		const key = adapterKey(name);
		const holders = targets.filter((target) => holds(target, key));
		const wanted =
			(this.requests.get(key) ?? 0) >= this.options.secondReplicaRequests
				? 2
				: 1;
		if (holders.length >= wanted) {
			return undefined;
		}

		const candidates = targets.filter(
			(target) => target.models.has(name.model) && !holds(target, key),
		);
		const free = candidates.filter(
			({chargedAdapters: held, adapterSlots: places}) => held.length < places,
		);
		if (free.length > 0) {
			const target = least(
				free,
				({load, chargedAdapters: held, adapterSlots: places}) =>
					load + held.length / places,
			);
			return {action: 'load', target: target.id, adapter: name};
		}

		return this.makeRoom(candidates, now);
	}

	private makeRoom(
		targets: readonly AdapterTarget[],
		now: number,
	): AdapterStep | undefined {
		let step: AdapterStep | undefined;
		let oldest = now - this.options.idleMilliseconds;
		for (const target of targets) {
			for (const victim of target.chargedAdapters) {
				const usedAt =
					this.lastUsed.get(adapterKey(victim)) ?? Number.NEGATIVE_INFINITY;
				if (usedAt <= oldest) {
					oldest = usedAt;
					step = {action: 'unload', target: target.id, adapter: victim};
				}
			}
		}

		return step;
	}
}

function holds({chargedAdapters: held}: AdapterTarget, key: string): boolean {
	return held.some((name) => adapterKey(name) === key);
}

function least<T extends object>(
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
