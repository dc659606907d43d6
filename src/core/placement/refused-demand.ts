import {type Clock} from '../../base/common/clock.js';
import {type ModelId} from '../../contracts/ids.js';

/** Collaborators of the count. */
export type RefusedDemandOptions = {
	readonly clock: Clock;
};

/** Time for which a refused request counts as demand, about the time that it would otherwise have been open. */
const demandMilliseconds = 1500;

/**
 * Counts requests that were refused for lack of capacity as demand for their model. Otherwise the refusals under an
 * overload would hide from placement which model needs another replica.
 */
export class RefusedDemand {
	private readonly refusedAt = new Map<ModelId, number[]>();

	constructor(private readonly options: RefusedDemandOptions) {}

	/** Records the refusal of a request for a model. */
	record(model: ModelId): void {
		const times = this.refusedAt.get(model) ?? [];
		times.push(this.options.clock.monotonic());
		this.refusedAt.set(model, times);
	}

	/** Returns the number of refused requests that still count, by model. */
	counts(): Map<ModelId, number> {
		const from = this.options.clock.monotonic() - demandMilliseconds;
		const counts = new Map<ModelId, number>();
		for (const [model, times] of this.refusedAt) {
			const recent = times.filter((time) => time > from);
			if (recent.length === 0) {
				this.refusedAt.delete(model);
				continue;
			}

			this.refusedAt.set(model, recent);
			counts.set(model, recent.length);
		}

		return counts;
	}
}
