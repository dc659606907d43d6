import {type Clock} from '../base/common/clock.js';
import {type AdapterId, type ModelId} from '../contracts/ids.js';
import {adapterKey, type AdapterReference} from './adapter-slot-policy.js';

/** Collaborators of the count. */
export type RefusedDemandOptions = {
	readonly clock: Clock;
};

/** A request that was refused for lack of capacity. */
export type RefusedRequest = {
	readonly model: ModelId;
	/** The adapter of the request, if no target offered it. */
	readonly missingAdapter: AdapterId | undefined;
};

/** Time for which a refused request counts as demand, about the time that it would otherwise have been open. */
const demandMilliseconds = 1500;

/**
 * Counts requests that were refused for lack of capacity as demand for their model, and for their adapter if no target
 * offered it. Otherwise the refusals under an overload would hide from placement which model needs another replica, and
 * which adapter was never loaded.
 */
export class RefusedDemand {
	private readonly refusedAt = new Map<ModelId, number[]>();
	private readonly adapterRefusedAt = new Map<
		string,
		{readonly reference: AdapterReference; times: number[]}
	>();

	constructor(private readonly options: RefusedDemandOptions) {}

	/** Records the refusal of a request. */
	record({model, missingAdapter}: RefusedRequest): void {
		const now = this.options.clock.monotonic();
		const times = this.refusedAt.get(model) ?? [];
		times.push(now);
		this.refusedAt.set(model, times);
		if (missingAdapter === undefined) {
			return;
		}

		const reference = {model, adapter: missingAdapter};
		const key = adapterKey(reference);
		const refused = this.adapterRefusedAt.get(key) ?? {reference, times: []};
		refused.times.push(now);
		this.adapterRefusedAt.set(key, refused);
	}

	/** Returns the number of refused requests that still count, by model. */
	counts(): Map<ModelId, number> {
		const counts = new Map<ModelId, number>();
		for (const [model, times] of this.refusedAt) {
			const recent = this.recent(times);
			if (recent.length === 0) {
				this.refusedAt.delete(model);
				continue;
			}

			this.refusedAt.set(model, recent);
			counts.set(model, recent.length);
		}

		return counts;
	}

	/** Returns the adapters that no target offered, with the number of refused requests that still count. */
	adapterCounts(): Array<AdapterReference & {readonly requests: number}> {
		const counts: Array<AdapterReference & {readonly requests: number}> = [];
		for (const [key, refused] of this.adapterRefusedAt) {
			refused.times = this.recent(refused.times);
			if (refused.times.length === 0) {
				this.adapterRefusedAt.delete(key);
				continue;
			}

			counts.push({...refused.reference, requests: refused.times.length});
		}

		return counts;
	}

	private recent(times: readonly number[]): number[] {
		const from = this.options.clock.monotonic() - demandMilliseconds;
		return times.filter((time) => time > from);
	}
}
