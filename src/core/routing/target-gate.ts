import {type RequestId, type TargetId} from '../../contracts/ids.js';
import {type WorkEstimate} from '../work/work-estimator.js';
import {type TargetLoad} from './target-load-tracker.js';

/** A request as the gates of targets see it. */
export type GatedRequest = {
	readonly request: RequestId;
	readonly promptTokens: number;
	/** Prompt tokens that the target holds already. */
	readonly cachedTokens: number;
	readonly estimate: WorkEstimate;
	/** Rank in the queue of the target, lower first. */
	readonly level: number;
};

/** Decides whether a target may receive a request now, from what this host knows of the requests there. */
export abstract class TargetGate {
	/** True when the target may receive the request now. */
	abstract mayReceive(load: TargetLoad, request: GatedRequest): boolean;

	/** Records that a request was sent to the target. */
	abstract recordSent(target: TargetId, request: GatedRequest): void;

	/** Records how many tokens the target has produced of a request. */
	abstract recordProgress(
		target: TargetId,
		request: RequestId,
		tokens: number,
	): void;

	/** Records that a request is no longer at the target. */
	abstract recordEnded(target: TargetId, request: RequestId): void;

	/** Forgets a target that has ended. */
	abstract removeTarget(target: TargetId): void;
}
