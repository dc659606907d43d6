import {Disposable} from '../../../base/common/disposable.js';
import {type Execution} from '../../../contracts/execution.js';
import {type TargetId} from '../../../contracts/ids.js';
import {type ListedTarget} from '../../../contracts/listed-target.js';
import {type ResponseMetadata} from '../../../contracts/request-codec.js';
import {type RefusalReason} from '../../../contracts/target-error.js';
import {type Attempt} from '../../dispatch/dispatch-contracts.js';
import {type AttemptFailure} from './forward-attempt.js';
import {type ForwardedRequest} from './forwarded-request.js';

/** How an attempt ended. */
export type AttemptOutcome =
	| {readonly kind: 'completed'; readonly tokens: number}
	| {readonly kind: 'refused'; readonly reason: RefusalReason}
	| {
			readonly kind: 'lost';
			readonly execution: Execution;
			readonly mayRepeat?: boolean;
	  }
	| {readonly kind: 'unreached'};

/** Starts the attempts of requests and decides what follows from their ends. */
export abstract class AttemptOwner extends Disposable {
	/** True while the attempt is open. */
	abstract hasAttempt(attempt: Attempt): boolean;

	/** True while other attempts of the request are open. */
	abstract hasOtherAttempts(attempt: Attempt): boolean;

	/** Cancels an attempt without reporting an outcome. */
	abstract cancelAttempt(attempt: Attempt): void;

	/** Cancels the other attempts of a request, because this one has answered or goes on. */
	abstract cancelOtherAttempts(attempt: Attempt): void;

	/** Cancels the other attempts of a request whose responses have not gone on since this one began. */
	abstract giveUpOtherAttempts(attempt: Attempt): void;

	/** Records how many events an attempt has received. */
	abstract recordProgress(attempt: Attempt, events: number): void;

	/** Records the software version at which a stream began. */
	abstract recordStreamStart(request: ForwardedRequest): void;

	/** Records that a target has answered a request completely. */
	abstract recordAnswer(request: ForwardedRequest): void;

	/** Records at the end of an answer that the target turned this host away. */
	abstract recordHoldBack(target: TargetId, response: ResponseMetadata): void;

	/** Records that a request was running on a target when its connection ended. */
	abstract recordLostRequest(request: ForwardedRequest, target: TargetId): void;

	/** Logs a failed attempt and records what it shows about the target. */
	abstract recordFailure(
		request: ForwardedRequest,
		attempt: Attempt,
		failure: AttemptFailure,
	): void;

	/** Ends an attempt and reports its outcome. */
	abstract endAttempt(attempt: Attempt, outcome: AttemptOutcome): void;

	/** Requests the rest of an interrupted stream from another target, or fails the request. */
	abstract continueStream(request: ForwardedRequest, attempt: Attempt): void;

	/** Seeks a target that can replace one that has fallen silent. Returns the time after which the attempt is given up, undefined when its answer has begun. */
	abstract handleStall(
		request: ForwardedRequest,
		attempt: Attempt,
		reason: string,
	): number | undefined;

	/** Records that an attempt goes on after a stall. */
	abstract handleRecovery(request: ForwardedRequest, attempt: Attempt): void;

	/** True when a prompt part of the request may have ended the target on which it was lost. */
	abstract mayHaveCrashedTarget(request: ForwardedRequest): boolean;

	/** True when a request that was lost may be sent again. */
	abstract mayRepeat(request: ForwardedRequest): boolean;

	/** Finds out whether the process of a target has ended. */
	abstract probe(target: TargetId): Promise<void>;

	/** Finds out whether the process that an entry describes has ended. */
	abstract hasTargetEnded(listed: ListedTarget): Promise<boolean>;
}
