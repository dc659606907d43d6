import {type RequestId, type TargetId} from '../../contracts/ids.js';
import {
	remainingMilliseconds,
	type WorkEstimate,
	type WorkEstimator,
} from '../work/work-estimator.js';
import {type TargetLoad} from './target-load-tracker.js';

/** Collaborators. */
export type RemainingWorkOptions = {
	readonly estimator: WorkEstimator;
};

type OwnRequest = {
	readonly estimate: WorkEstimate;
	readonly promptMilliseconds: number;
	producedTokens: number;
};

/**
 * Work that the targets have left: the requests of this host at their cost less what they have produced, and those of
 * other hosts, of which only the number is known, at the usual rest of a request.
 */
export class RemainingWork {
	private readonly requests = new Map<TargetId, Map<RequestId, OwnRequest>>();

	constructor(private readonly options: RemainingWorkOptions) {}

	/** Records that a request of this host was sent. */
	recordSent(
		target: TargetId,
		request: RequestId,
		estimate: WorkEstimate,
		producedTokens: number,
		promptMilliseconds: number,
	): void {
		let requests = this.requests.get(target);
		if (!requests) {
			requests = new Map();
			this.requests.set(target, requests);
		}

		requests.set(request, {estimate, producedTokens, promptMilliseconds});
	}

	/** Records how many tokens a request of this host has produced. */
	recordProgress(target: TargetId, request: RequestId, tokens: number): void {
		const own = this.requests.get(target)?.get(request);
		if (own) {
			own.producedTokens = Math.max(own.producedTokens, tokens);
		}
	}

	/** Records that a request of this host is no longer at the target. */
	recordEnded(target: TargetId, request: RequestId): void {
		this.requests.get(target)?.delete(request);
	}

	/** Forgets a target that has ended. */
	removeTarget(target: TargetId): void {
		this.requests.delete(target);
	}

	/** Work that a target has left, in milliseconds of a slot. */
	millisecondsAt({target, remoteOutstanding}: TargetLoad): number {
		return (
			this.ownMilliseconds(target) +
			remoteOutstanding * this.options.estimator.usual().remainingMilliseconds
		);
	}

	/** Mean further time in a slot of the requests at a target. */
	meanMillisecondsAt(load: TargetLoad): number {
		const count =
			(this.requests.get(load.target)?.size ?? 0) + load.remoteOutstanding;
		return count < 1
			? this.options.estimator.usual().remainingMilliseconds
			: this.millisecondsAt(load) / count;
	}

	private ownMilliseconds(target: TargetId): number {
		let sum = 0;
		for (const own of this.requests.get(target)?.values() ?? []) {
			sum += remainingMilliseconds(
				own.estimate,
				own.producedTokens,
				own.promptMilliseconds,
			);
		}

		return sum;
	}
}
