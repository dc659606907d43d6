import {type Result} from 'neverthrow';
import {type TargetId} from '../../contracts/ids.js';
import {type Admission} from '../../core/admission/admission-policy.js';
import {type TargetLoad} from '../../core/routing/target-load-tracker.js';
import {type WorkRefusal} from './dispatch-contracts.js';
import {
	type AssessedTarget,
	type TargetChoice,
	type TargetExclusion,
} from './target-choice.js';
import {type WorkScheduling} from './work-scheduling.js';

/** A target that holds what the request needs, as the dispatcher sees it. */
export type CandidatePreview = {
	readonly target: TargetId;
	/** The first reason for which it does not receive the request. With `headroom`, its last slots are left to the requests of other hosts. */
	readonly exclusion?: TargetExclusion | 'headroom';
	/** Value by which the targets are compared, lower first. Milliseconds in pools scheduled by work, otherwise requests per slot. */
	readonly cost: number;
	/** Work that the target has left, in milliseconds of a slot. Absent unless the pool is scheduled by work. */
	readonly remainingMilliseconds?: number;
	readonly slots: number;
	/** Requests of this host in flight there. */
	readonly ownRequests: number;
	/** Estimated number of requests of other hosts there. */
	readonly otherRequests: number;
	/** Share of its normal work that the target receives: 0 while ejected, below 1 while recovering. */
	readonly weight: number;
	/** Share of the prefix and adapter of the request that the target holds. */
	readonly affinity: number;
};

/** What the dispatcher would do with new work. */
export type DispatchPreview = {
	readonly outcome: 'dispatch' | 'queue' | 'refuse';
	readonly reason: string;
	readonly retryAfterMilliseconds?: number;
	/** Expected time of the work in a slot. */
	readonly expectedMilliseconds: number;
	/** Requests that wait for a target of the pool. */
	readonly waitingRequests: number;
	/** Expected wait by the rate at which the queue drains, absent if the work is refused. */
	readonly expectedWaitMilliseconds?: number;
	readonly costUnit: 'milliseconds' | 'requests-per-slot';
	/** The targets that hold what the request needs, the cheapest first. */
	readonly candidates: readonly CandidatePreview[];
};

/** What the dispatcher has found out about new work. */
export type PreviewedWork = {
	readonly admission: Result<Admission, Omit<WorkRefusal, 'item'>>;
	/** True while more urgent work for the model waits. */
	readonly yieldsToUrgentWork: boolean;
	readonly loads: readonly TargetLoad[];
	/** Those of the loads that keep no slots free for other hosts. */
	readonly withHeadroom: readonly TargetLoad[];
	readonly assessed: readonly AssessedTarget[];
	readonly expectedMilliseconds: number;
	readonly waitingRequests: number;
};

/** Describes what the dispatcher does with new work. */
export function describePreview(
	previewed: PreviewedWork,
	choice: TargetChoice,
	work: WorkScheduling | undefined,
): DispatchPreview {
	const {admission, expectedMilliseconds, waitingRequests} = previewed;
	const candidates = describeCandidates(previewed, choice, work);
	const common = {
		expectedMilliseconds,
		waitingRequests,
		costUnit: work ? ('milliseconds' as const) : ('requests-per-slot' as const),
		candidates,
	};
	if (admission.isErr()) {
		const {code, message, retryAfterMilliseconds} = admission.error;
		return {
			outcome: 'refuse',
			reason: `${code}: ${message}`,
			retryAfterMilliseconds,
			...common,
		};
	}

	const expectedWaitMilliseconds = admission.value.estimatedWaitMilliseconds;
	const obstacle = findObstacle(previewed, candidates);
	return {
		outcome: obstacle === undefined ? 'dispatch' : 'queue',
		reason: obstacle ?? 'a target may receive it',
		expectedWaitMilliseconds,
		...common,
	};
}

function describeCandidates(
	{loads, withHeadroom, assessed}: PreviewedWork,
	choice: TargetChoice,
	work: WorkScheduling | undefined,
): CandidatePreview[] {
	const roomy = new Set(withHeadroom.map(({target}) => target));
	const loadOf = new Map(loads.map((load) => [load.target, load]));
	return assessed
		.map(({candidate, exclusion: found}) => {
			const {target, slots, localOutstanding, remoteOutstanding} = candidate;
			const exclusion: CandidatePreview['exclusion'] = roomy.has(target)
				? found
				: (found ?? 'headroom');
			return {
				target,
				...(exclusion === undefined ? {} : {exclusion}),
				cost: choice.cost(candidate),
				...(work
					? {
							remainingMilliseconds: work.remainingMillisecondsAt(
								loadOf.get(target)!,
							),
						}
					: {}),
				slots,
				ownRequests: localOutstanding,
				otherRequests: remoteOutstanding,
				weight: candidate.weight,
				affinity: candidate.affinity,
			};
		})
		.sort((left, right) => left.cost - right.cost);
}

function findObstacle(
	{yieldsToUrgentWork}: PreviewedWork,
	candidates: readonly CandidatePreview[],
): string | undefined {
	if (yieldsToUrgentWork) {
		return 'more urgent requests for the model wait';
	}

	if (candidates.length === 0) {
		return 'no target holds what the request needs';
	}

	return candidates.every(({exclusion}) => exclusion !== undefined)
		? 'every candidate is excluded'
		: undefined;
}
