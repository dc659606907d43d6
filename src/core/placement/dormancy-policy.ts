import {type ModelId} from '../../contracts/ids.js';

/** Options of a {@link DormancyPolicy}. */
export type DormancyPolicyOptions = {
	/** Time without a request after which a model is dormant. */
	readonly idleMilliseconds: number;
};

/**
 * Decides which models are dormant, so that their last replica may be evicted for a busy model. Intended for pools
 * with more models than memory, in which demand is concentrated on a few models and shifts between them. A dormant
 * model stays reachable: its next request loads it again from the memory or disk of a target, which takes about half
 * a second.
 */
export class DormancyPolicy {
	private readonly requestedAt = new Map<ModelId, number>();
	/** Time of the first request. Demand is unknown before it, so no model is dormant. */
	private startedAt: number | undefined;

	constructor(private readonly options: DormancyPolicyOptions) {}

	/**
	 * Records the time since the last request of each model, and for how long requests have been received (0 before the
	 * first one). All hosts report both, so a new placement owner can decide at once.
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
			const previous = this.requestedAt.get(model) ?? -Infinity;
			this.requestedAt.set(model, Math.max(previous, now - milliseconds));
		}
	}

	/** Returns whether the model may be left without a replica because it is idle. */
	isDormant(model: ModelId, now: number): boolean {
		if (this.startedAt === undefined) {
			return false;
		}

		const last = this.requestedAt.get(model) ?? this.startedAt;
		return now - last >= this.options.idleMilliseconds;
	}
}

/**
 * Requests that a further replica of a busy model must take over for each request of the rarely used model that loses
 * its only replica. The exchange costs about one second of requests at the target, and the requests that wait for the
 * rarely used model.
 */
const evictionGainFactor = 8;
/** Time for which a rarely used model keeps a new replica, so that its waiting requests are served before eviction. */
const minimumResidencyMilliseconds = 3000;

/**
 * Returns whether the only replica of a rarely used model may be evicted although the model still receives requests.
 * Applies when many rarely used models occupy the targets while one model receives most requests: the rarely used
 * models then share the remaining memory in turn.
 *
 * @param largestGain Running requests that one more replica of the busiest model would take over.
 */
export function canEvictLastReplica(
	{
		requests,
		residentMilliseconds,
	}: {readonly requests: number; readonly residentMilliseconds: number},
	largestGain: number,
): boolean {
	return (
		residentMilliseconds >= minimumResidencyMilliseconds &&
		evictionGainFactor * Math.max(1, requests) <= largestGain
	);
}
