import {type CacheEvent} from '../../contracts/engine.js';
import {type Execution} from '../../contracts/execution.js';
import {
	type AdapterId,
	type CallerId,
	type Fingerprint,
	type HostId,
	type ModelId,
	type OfferingName,
	type RequestId,
	type TargetId,
	type SoftwareVersion,
} from '../../contracts/ids.js';
import {type RefusalReason} from '../../contracts/target-error.js';
import {type Urgency} from '../../core/fairness/dispatch-queue.js';
import {type LoadReport} from '../../core/routing/target-load-tracker.js';

/** A unit of work submitted by a caller: a model request or a call to a plain service. */
export type WorkItem = {
	readonly request: RequestId;
	readonly caller: CallerId;
	readonly urgency: Urgency;
	/** The requested offering, or the route of a plain service. */
	readonly offering: OfferingName;
	/** Absent for calls to a plain service. */
	readonly model?: ModelId;
	readonly adapter?: AdapterId;
	/** Software version of the targets at which the stream may go on. Any if absent. */
	readonly softwareVersion?: SoftwareVersion;
	readonly promptCharacters: number;
	/** The caller's estimate of the tokens of the response. It is often far off. */
	readonly hintedTokens?: number | undefined;
	/** Events of the stream that earlier attempts have produced. */
	readonly producedEvents?: number;
	/** Zero for calls to a plain service. */
	readonly maximumTokens: number;
	/** Digests of the prompt's prefixes, longest first. */
	readonly prefixes: readonly string[];
	/** Time until the deadline, after which the caller no longer needs the response. */
	readonly remainingMilliseconds: number;
	/**
	 * Time within which the work has to start to meet its latency objective. Work that has missed it yields to work that
	 * can still meet its own.
	 */
	readonly startObjectiveMilliseconds?: number;
	/** How long the caller waits for the first byte of its response. */
	readonly startTimeoutMilliseconds?: number;
	/** True if the work may run more than once. */
	readonly idempotent: boolean;
	readonly fingerprint: Fingerprint;
	/** True if a target died while running a request with this fingerprint. A suspect runs alone on its target. */
	readonly suspect: boolean;
	/** Maximum number of targets that may execute the request. Limited only by the number of attempts if absent. */
	readonly maximumExecutions?: number;
	/** True for the remainder of an interrupted stream, which is charged to the retry budget. */
	readonly isContinuation?: boolean;
	/** Targets on which the stream was interrupted. They are chosen only if there is no other target. */
	readonly avoidedTargets?: readonly TargetId[];
};

/** Classes of urgency, the most urgent first. */
export const urgencyOrder: readonly Urgency[] = [
	'urgent',
	'standard',
	'deferred',
];

/** Rank of work in the queue of a target, lower first. */
export function startLevel({urgency}: Pick<WorkItem, 'urgency'>): number {
	return urgencyOrder.indexOf(urgency);
}

/** Identifies one attempt: one send of a request to one target. */
export type Attempt = {
	readonly request: RequestId;
	/** Number of the attempt within the request, from 1. */
	readonly attempt: number;
	readonly target: TargetId;
};

/** An assignment of work to a target. */
export type Binding = Attempt & {
	readonly item: WorkItem;
	/** A replacement is sent while an attempt that makes no progress is still open. */
	readonly kind: 'first' | 'retry' | 'hedge' | 'replacement';
	/** Time in the queue since the work was last enqueued. Zero for a hedge or replacement. */
	readonly waitedMilliseconds: number;
	/** True if the work is expected or known to be long. */
	readonly isLong: boolean;
};

/** A refusal of work that no target has executed. */
export type WorkRefusal = {
	readonly item: WorkItem;
	readonly code: 'caller-limit' | 'overload' | 'deadline' | 'no-target';
	/** True if placement should count the refused work as demand for capacity. */
	readonly countsAsDemand: boolean;
	/** Time after which the caller should send the request again. */
	readonly retryAfterMilliseconds: number;
	readonly message: string;
};

/** Outgoing interface of the dispatcher. Calls return immediately; their results arrive as messages. */
export abstract class DispatchPort {
	/** Sends work to the chosen target. */
	abstract dispatch(binding: Binding): void;

	/** Reports to the caller that the work was refused and not executed. */
	abstract refuse(refusal: WorkRefusal): void;

	/** Reports to the caller that the last attempt failed and is not retried. */
	abstract fail(item: WorkItem, execution: Execution): void;

	/** Lowers the priority of work that runs longer than expected. */
	abstract demote(attempt: Attempt): void;

	/** Cancels an attempt whose response is no longer needed. */
	abstract cancel(attempt: Attempt): void;
}

/** Lists the targets that can run a unit of work. */
export abstract class CandidateDirectory {
	/** Targets on which the model and adapter are resident, or all targets of the pool for a plain service. */
	abstract targetsFor(item: WorkItem): readonly TargetId[];
}

/** Messages to the dispatcher. */
export type DispatcherMessage =
	| {readonly kind: 'submitted'; readonly item: WorkItem}
	| {readonly kind: 'abandoned'; readonly request: RequestId}
	| ({readonly kind: 'progressed'; readonly tokens: number} & Attempt)
	| ({readonly kind: 'completed'; readonly tokens: number} & Attempt)
	/** The attempt makes no progress, but is still open. */
	| ({
			readonly kind: 'stalled';
			/** Software version of the targets at which the stream may go on, once it has begun. */
			readonly softwareVersion?: SoftwareVersion;
	  } & Attempt)
	/** The attempt has received data again. */
	| ({readonly kind: 'recovered'} & Attempt)
	/** The target refused the request without executing it. */
	| ({readonly kind: 'refused'; readonly reason: RefusalReason} & Attempt)
	/** The attempt ended without a complete response. */
	| ({
			readonly kind: 'lost';
			readonly execution: Execution;
			/** False when the request must not be sent again. */
			readonly mayRepeat?: boolean;
	  } & Attempt)
	/** No byte of the request reached the target. */
	| ({readonly kind: 'unreached'} & Attempt)
	| {
			readonly kind: 'target-set';
			readonly target: TargetId;
			readonly slots: number;
	  }
	| {readonly kind: 'target-removed'; readonly target: TargetId}
	| {
			readonly kind: 'target-leaving';
			readonly target: TargetId;
			readonly leaving: boolean;
	  }
	| {
			readonly kind: 'target-reported';
			readonly report: LoadReport;
			readonly ageMilliseconds: number;
			/** Duration of work at the target relative to the usual one, undefined if not reported. */
			readonly slowdown?: number;
			readonly adapters: readonly AdapterId[];
	  }
	| {
			readonly kind: 'cache-changed';
			readonly target: TargetId;
			readonly events: readonly CacheEvent[];
	  }
	| {readonly kind: 'hosts-changed'; readonly hosts: readonly HostId[]}
	/** Sent instead of the names of the hosts, where these are unknown. */
	| {readonly kind: 'host-count-changed'; readonly count: number}
	/** The host reaches targets of the pool again, after it had lost the paths to all. */
	| {readonly kind: 'paths-restored'}
	/** The set of targets that can run waiting work has changed. */
	| {readonly kind: 'candidates-changed'}
	/** Other hosts have reserved these targets for suspects. */
	| {
			readonly kind: 'suspects-reserved';
			readonly targets: readonly TargetId[];
	  }
	/** Sent every few milliseconds to drive hedges and deadlines. */
	| {readonly kind: 'ticked'};

/** Messages about requests, as opposed to those about the pool. */
type RequestMessage = Extract<
	DispatcherMessage,
	{
		kind:
			| 'submitted'
			| 'abandoned'
			| 'progressed'
			| 'completed'
			| 'stalled'
			| 'recovered'
			| 'refused'
			| 'lost'
			| 'unreached'
			| 'ticked';
	}
>;

/** Messages about the pool, as opposed to those about requests. */
export type PoolMessage = Exclude<DispatcherMessage, RequestMessage>;

const poolMessageKinds: ReadonlySet<string> = new Set<PoolMessage['kind']>([
	'cache-changed',
	'candidates-changed',
	'paths-restored',
	'host-count-changed',
	'hosts-changed',
	'suspects-reserved',
	'target-leaving',
	'target-removed',
	'target-reported',
	'target-set',
]);

/** True for a message about the pool. */
export function isPoolMessage(
	message: DispatcherMessage,
): message is PoolMessage {
	return poolMessageKinds.has(message.kind);
}
