import {type EventLogger} from '../../../base/common/event-logger.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {TypedEvent} from '../../../base/common/typed-event.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {
	type Fingerprint,
	type PromptPartId,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../../../contracts/ids.js';
import {type SuspicionReport} from '../../../contracts/suspicion-report.js';
import {
	type CrashCorrelation,
	type ObservedRequest,
} from '../../../core/crashes/crash-correlation.js';

/** What proves that the process of a target has ended. A target that does not respond may be frozen or cut off. */
export type DeathEvidence = 'connection-refused' | 'unlisted' | 'restarted';

/** Whether a request may be sent: as usual, once as a trial of a quarantined fingerprint, or not at all. */
export type CrashAdmission = 'allowed' | 'trial' | 'quarantined';

/** Options of the crash observer. */
export type CrashObserverOptions = {
	readonly crashes: CrashCorrelation;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	/** True on the one host that may try quarantined fingerprints again. */
	readonly mayTry: () => boolean;
};

const maximumLoggedRequests = 20;
const maximumLoggedParts = 10;

/** Tells the crash correlation what this host and others observe, logs what follows from it, and announces changes. */
export class CrashObserver {
	/** This host has observed something that other hosts should know. */
	readonly observed = new TypedEvent<void>();
	/** What this host knows has changed, by its own observation or by that of another host. */
	readonly changed = new TypedEvent<void>();
	/** Fingerprints were quarantined. */
	readonly quarantineGrown = new TypedEvent<void>();

	constructor(private readonly options: CrashObserverOptions) {}

	/** Decides whether a request that has arrived may be sent, and logs it when not. */
	admit(request: ObservedRequest): CrashAdmission {
		const {crashes, events, metrics, mayTry} = this.options;
		const finding = crashes.findQuarantined(request);
		if (!finding) {
			return 'allowed';
		}

		const isTrial = mayTry() && crashes.tryTrial(request);
		events.record(
			isTrial
				? forwardingEvents.quarantineTried
				: forwardingEvents.requestQuarantined,
			{request: request.id, ...finding},
		);
		if (isTrial) {
			this.announceObservation();
			return 'trial';
		}

		metrics.count('daisylever_quarantined_requests_total');
		return 'quarantined';
	}

	/** True when requests like this one must not be sent to a target. */
	isQuarantined(request: ObservedRequest): boolean {
		return this.options.crashes.findQuarantined(request) !== undefined;
	}

	/** True when all prompt parts of the request are known to be harmless. */
	isSound(request: ObservedRequest): boolean {
		return this.options.crashes.isSound(request);
	}

	/** True when a target has died under a prompt part of the request that nothing vouches for. */
	hasSuspectPart(request: ObservedRequest): boolean {
		return this.options.crashes.hasSuspectPart(request);
	}

	/** Records that a request was running on a target when its connection broke. */
	recordLostRequest(
		target: TargetId,
		incarnation: TargetIncarnation,
		request: ObservedRequest,
	): void {
		this.options.crashes.recordLostRequest(target, incarnation, request);
	}

	/** Withdraws a request from those lost at a target, because its answer goes on. */
	withdrawLostRequest(target: TargetId, request: RequestId): void {
		this.options.crashes.withdrawLostRequest(target, request);
	}

	/** Records that a target has ended. */
	recordTargetDeath(target: TargetId, evidence: DeathEvidence): void {
		const {crashes, events, metrics} = this.options;
		const {requests, quarantined} = crashes.recordTargetDeath(target);
		if (requests.length === 0) {
			return;
		}

		metrics.count('daisylever_target_deaths_total', {evidence});
		events.record(forwardingEvents.targetDied, {
			target,
			evidence,
			requestCount: requests.length,
			requests: requests.slice(0, maximumLoggedRequests).map(({id}) => id),
			promptParts: Object.fromEntries(
				countParts(requests).slice(0, maximumLoggedParts),
			),
		});
		this.announceObservation();
		this.announceQuarantine(quarantined, 'observed');
	}

	/** Records that a target has answered a request completely. */
	recordAnswer(request: ObservedRequest): void {
		const {crashes, events} = this.options;
		const {revision} = crashes;
		for (const fingerprint of crashes.recordAnswer(request)) {
			events.record(forwardingEvents.suspicionCleared, {
				fingerprint,
				request: request.id,
			});
		}

		if (crashes.revision !== revision) {
			this.announceObservation();
		}
	}

	/** Applies what another host knows. Returns true when that was new to this host. */
	merge(reports: readonly SuspicionReport[]): boolean {
		const {crashes} = this.options;
		const {revision} = crashes;
		const quarantined = crashes.merge(reports);
		if (crashes.revision === revision) {
			return false;
		}

		this.changed.publish();
		this.announceQuarantine(quarantined, 'received');
		return true;
	}

	/** Returns what has changed since a revision, for a host that collects the deaths of others. */
	changesSince(revision: number) {
		return this.options.crashes.changesSince(revision);
	}

	/** Returns what has changed since a revision and concerns all hosts. */
	sharedChangesSince(revision: number) {
		return this.options.crashes.sharedChangesSince(revision);
	}

	/** Reports on all quarantined fingerprints. */
	quarantined(): readonly SuspicionReport[] {
		return this.options.crashes.quarantined();
	}

	private announceObservation(): void {
		this.observed.publish();
		this.changed.publish();
	}

	private announceQuarantine(
		fingerprints: readonly Fingerprint[],
		source: 'observed' | 'received',
	): void {
		if (fingerprints.length === 0) {
			return;
		}

		for (const fingerprint of fingerprints) {
			this.options.events.record(forwardingEvents.fingerprintQuarantined, {
				fingerprint,
				source,
				deaths: this.options.crashes.deathsOf(fingerprint),
			});
		}

		this.quarantineGrown.publish();
	}
}

/** Returns the parts of the prompts with the number of requests that have each, the most frequent first. */
function countParts(
	requests: readonly ObservedRequest[],
): Array<[PromptPartId, number]> {
	const counts = new Map<PromptPartId, number>();
	for (const {promptParts} of requests) {
		for (const part of new Set(promptParts)) {
			counts.set(part, (counts.get(part) ?? 0) + 1);
		}
	}

	return [...counts].sort(([, left], [, right]) => right - left);
}
