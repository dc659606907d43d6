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

	/**
	 * Takes in how long ago models were asked for and since when requests come. Both are told by the hosts, so that
	 * a new owner of placement knows them at once.
	 */
	observe(
		idle: ReadonlyMap<ModelId, number>,
		observedMilliseconds: number,
		now: number,
	): void {
		if (observedMilliseconds > 0) {
			this.startedAt = Math.min(
				this.startedAt ?? Infinity,
				now - observedMilliseconds,
			);
		}

		for (const [model, milliseconds] of idle) {
			const known = this.requestedAt.get(model) ?? -Infinity;
			this.requestedAt.set(model, Math.max(known, now - milliseconds));
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

/**
 * Requests that a further copy of a busy model must take over, for each one of a rare model, before the rare model's
 * only copy may go. A change costs the requests of about a second at the target and those that wait for the rare model.
 */
const outweighingFactor = 8;
/** Time for which a rare model keeps the copy that it got, so that its requests are served before it goes. */
const sliceMilliseconds = 3000;

/**
 * Says whether the only copy of a rare model may go although it is asked for now and then. Answers the pattern of many
 * rare models that fill the places while one model has most requests: the rare ones share places in turn.
 */
export function canEvictLastReplica(
	{
		requests,
		residentMilliseconds,
	}: {readonly requests: number; readonly residentMilliseconds: number},
	largestGain: number,
): boolean {
	return (
		residentMilliseconds >= sliceMilliseconds &&
		outweighingFactor * Math.max(1, requests) <= largestGain
	);
}
