import {type ModelId} from '../contracts/ids.js';

/** Settings of dormancy. */
export type DormancyPolicyOptions = {
	/** Time without a request after which a model is dormant. */
	readonly idleMilliseconds: number;
};

/**
 * Says which models may lose their last copy to busy ones. Answers the pattern of more models than places while
 * demand stands on a few of them and moves: a dormant model stays reachable, as its next request loads it again
 * from the memory or disk of a target, which takes about half a second.
 */
export class DormancyPolicy {
	private readonly requestedAt = new Map<ModelId, number>();
	/** Time of the first request. Before it nothing is known of demand, so nothing is dormant. */
	private startedAt: number | undefined;

	constructor(private readonly options: DormancyPolicyOptions) {}

	/** Takes in the requests that run or wait now. */
	observe(requests: ReadonlyMap<ModelId, number>, now: number): void {
		for (const [model, count] of requests) {
			if (count > 0) {
				this.startedAt ??= now;
				this.requestedAt.set(model, now);
			}
		}
	}

	/** True when the model may be without a copy. */
	isDormant(model: ModelId, now: number): boolean {
		if (this.startedAt === undefined) {
			return false;
		}

		const last = this.requestedAt.get(model) ?? this.startedAt;
		return now - last >= this.options.idleMilliseconds;
	}
}
