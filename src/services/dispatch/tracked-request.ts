import {type SoftwareVersion, type TargetId} from '../../contracts/ids.js';
import {type QueuedWork} from '../../core/fairness/dispatch-queue.js';
import {type Attempt, type WorkItem} from './dispatch-contracts.js';

/** A work item in the queue. */
export type DispatchWork = QueuedWork & {readonly item: WorkItem};

/** An attempt in flight. */
export type RunningAttempt = Attempt & {
	readonly startedAt: number;
	firstTokenAt: number | undefined;
	lastTokenAt: number;
	tokens: number;
	/** Time since which the attempt makes no progress, undefined while it does. */
	stalledAt: number | undefined;
	readonly isReplacement: boolean;
};

/** A request that the dispatcher has accepted and that has not ended. */
export type TrackedRequest = {
	readonly work: DispatchWork;
	readonly attempts: Map<number, RunningAttempt>;
	readonly triedTargets: Set<TargetId>;
	attemptCount: number;
	/** Number of attempts that a target may have executed. */
	executionCount: number;
	isLong: boolean;
	isHedged: boolean;
	/** True once an attempt has ended without proof that it was not executed. */
	mayHaveRun: boolean;
	/** False once the request must not be sent again. */
	mayRepeat: boolean;
	/** Software version of the targets at which a stalled stream may go on. */
	softwareVersion: SoftwareVersion | undefined;
};
