import {type EventLogger} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';
import {
	type Fingerprint,
	type PromptPartId,
	type TargetId,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {
	type CrashCorrelation,
	type LostRequest,
} from '../../core/crash-correlation.js';

/** Why a target counts as dead. */
export type DeathEvidence =
	'connection-refused' | 'unreachable' | 'unlisted' | 'restarted';

/** Options of the crash observer. */
export type CrashObserverOptions = {
	readonly crashes: CrashCorrelation;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
};

const maximumLoggedRequests = 20;
const maximumLoggedParts = 10;

/** Reports lost requests and ended targets to the crash correlation, and logs what was in flight at each end. */
export class CrashObserver {
	constructor(private readonly options: CrashObserverOptions) {}

	/** True when requests with this fingerprint must not be sent to a target. */
	isQuarantined(fingerprint: Fingerprint): boolean {
		return this.options.crashes.isQuarantined(fingerprint);
	}

	/** Records that a request was running on a target when its connection broke. */
	recordLostRequest(
		target: TargetId,
		incarnation: TargetIncarnation,
		request: LostRequest,
	): void {
		this.options.crashes.recordLostRequest(target, incarnation, request);
	}

	/** Records that a target has ended. */
	recordTargetDeath(target: TargetId, evidence: DeathEvidence): void {
		const {crashes, events, metrics} = this.options;
		const lost = crashes.recordTargetDeath(target);
		if (lost.length === 0) {
			return;
		}

		metrics.count('daisylever_target_deaths_total', {evidence});
		events.record(forwardingEvents.targetDied, {
			target,
			evidence,
			requestCount: lost.length,
			requests: lost.slice(0, maximumLoggedRequests).map(({id}) => id),
			promptParts: Object.fromEntries(
				countParts(lost).slice(0, maximumLoggedParts),
			),
		});
	}
}

/** Returns the parts of the prompts with the number of requests that have each, the most frequent first. */
function countParts(
	requests: readonly LostRequest[],
): Array<[PromptPartId, number]> {
	const counts = new Map<PromptPartId, number>();
	for (const {promptParts} of requests) {
		for (const part of new Set(promptParts)) {
			counts.set(part, (counts.get(part) ?? 0) + 1);
		}
	}

	return [...counts].sort(([, left], [, right]) => right - left);
}
