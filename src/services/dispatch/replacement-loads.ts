import {type TargetLoad} from '../../core/routing/target-load-tracker.js';
import {type RunningAttempt, type TrackedRequest} from './tracked-request.js';

/** Time after a stall from which the connection of an attempt may be dead, so that its target is asked again if no other one can be. */
const deadConnectionMilliseconds = 350;

/** Returns the targets that may replace a stalled attempt: those that the request was not sent to. If there is none, its connection may be dead while its target accepts new ones. */
export function replacementLoads(
	tracked: TrackedRequest,
	{target, stalledAt}: RunningAttempt,
	loads: readonly TargetLoad[],
	now: number,
): readonly TargetLoad[] {
	const untried = loads.filter(
		(load) => !tracked.triedTargets.has(load.target),
	);
	const isSilentForLong =
		now - (stalledAt ?? Infinity) >= deadConnectionMilliseconds;
	return untried.length > 0 ||
		!isSilentForLong ||
		loads.some((load) => load.target !== target)
		? untried
		: loads;
}
