import {type Result} from 'neverthrow';
import {type GenerationRequest} from '../../contracts/engine.js';
import {type CallerClass} from '../../contracts/fleet-document.js';
import {
	type CallerId,
	type Fingerprint,
	type OfferingName,
	type PoolName,
	type TargetId,
} from '../../contracts/ids.js';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {type KnownTarget} from './target-directory.js';

/** A generation that waits for a target. */
export type GenerationWork = {
	readonly pool: PoolName;
	readonly caller: CallerId;
	readonly callerClass: CallerClass;
	readonly offering: OfferingName;
	readonly request: GenerationRequest;
	readonly fingerprint: Fingerprint;
	/** Monotonic time after which an answer is useless. */
	readonly deadline: number;
	/** Monotonic time at which the request arrived. */
	readonly arrivedAt: number;
	/** Targets that failed this request already. */
	readonly excluded: ReadonlySet<TargetId>;
	/** True when the request was in flight at a target death; it runs beside no other suspect. */
	readonly isSuspect: boolean;
};

/** How an assignment ended. */
export type AssignmentOutcome =
	'finished' | 'cancelled' | 'refused' | 'unreachable' | 'lost';

/** A slot on a target. Its holder tells what happens, and ends it exactly once. */
export abstract class Assignment {
	abstract readonly target: KnownTarget;

	/** Notes a token. The first one ends the time to the first token. */
	abstract token(): void;

	/** Gives the slot back. */
	abstract end(outcome: AssignmentOutcome): void;
}

/** Decides which target takes a generation, and when. */
export abstract class TargetAssigner {
	/** Resolves once a target has a slot for the work, or with the reason for a refusal. */
	abstract assign(
		work: GenerationWork,
		signal: AbortSignal,
	): Promise<Result<Assignment, RequestProblem>>;
}
