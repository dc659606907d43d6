import {type Clock} from '../../base/common/clock.js';
import {
	type Fingerprint,
	type PromptPartId,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {type SuspicionReport} from '../../contracts/suspicion-report.js';
import {QuarantinePolicy} from './quarantine-policy.js';

/** Collaborators of the correlation. */
export type CrashCorrelationOptions = {
	readonly clock: Clock;
};

/** What is known of a request whose target may crash under it. */
export type ObservedRequest = {
	readonly id: RequestId;
	/** Digest of the whole request. */
	readonly fingerprint: Fingerprint;
	readonly promptParts: readonly PromptPartId[];
};

/** A target that ended with requests in flight. */
export type ObservedDeath = {
	readonly requests: readonly ObservedRequest[];
	/** Fingerprints that are quarantined since. */
	readonly quarantined: readonly Fingerprint[];
};

/** Why a request must not be sent: a quarantined fingerprint. */
export type QuarantineFinding = {
	readonly fingerprint: Fingerprint;
	readonly remainingMilliseconds: number;
};

type TimedLoss = {
	readonly request: ObservedRequest;
	readonly incarnation: TargetIncarnation;
	readonly lostAt: number;
};

/** Requests lost on a target within this time before the target is found dead count as in flight at its death. */
const correlationWindowMilliseconds = 6000;
/** Target deaths after which a fingerprint is quarantined. Two, the default for other engines, would quarantine unrelated requests that were retried on the next target that dies. */
const deathsToQuarantine = 3;
const durationMilliseconds = 600_000;
const maximumFingerprints = 4000;
/** Targets that lose their power or network together end within milliseconds; requests crash targets independently of each other. */
const commonCauseMilliseconds = 25;
/** Deaths from which the other hosts learn of a fingerprint, so that they can vouch for it before the next one. */
const minimumSharedDeaths = 2;
/** Fingerprints in one message. */
const maximumReportsPerMessage = 200;
/** Parts of a prompt that are tracked, and characters of their ids. */
const maximumTrackedParts = 64;
const maximumPartIdLength = 64;

/**
 * Quarantines what crashes the targets that run it: a request that comes again, or a part that the prompts of different
 * requests have in common. Correlates lost requests with target deaths. A lost connection alone is not a death: the
 * target must refuse connections, leave the target list, or come back as another incarnation.
 */
export class CrashCorrelation {
	private readonly losses = new Map<TargetId, TimedLoss[]>();
	private readonly policy = new QuarantinePolicy({
		deathsToQuarantine,
		durationMilliseconds,
		maximumFingerprints,
		commonCauseMilliseconds,
	});

	constructor(private readonly options: CrashCorrelationOptions) {}

	/** Increases with each change that other hosts should know. */
	get revision(): number {
		return this.policy.revision;
	}

	/** Records that a request was running on a target when its connection broke. */
	recordLostRequest(
		target: TargetId,
		incarnation: TargetIncarnation,
		request: ObservedRequest,
	): void {
		const now = this.options.clock.monotonic();
		const losses = (this.losses.get(target) ?? []).filter(
			({lostAt}) => now - lostAt < correlationWindowMilliseconds,
		);
		losses.push({request, incarnation, lostAt: now});
		this.losses.set(target, losses);
	}

	/** Withdraws a request from those lost at a target. */
	withdrawLostRequest(target: TargetId, request: RequestId): void {
		const losses = this.losses.get(target);
		if (losses) {
			this.losses.set(
				target,
				losses.filter((loss) => loss.request.id !== request),
			);
		}
	}

	/** Records the death of a target, and blames the requests lost there within the correlation window. */
	recordTargetDeath(target: TargetId): ObservedDeath {
		const now = this.options.clock.monotonic();
		const losses = this.losses.get(target) ?? [];
		this.losses.delete(target);
		const recent = losses.filter(
			({lostAt}) => now - lostAt < correlationWindowMilliseconds,
		);
		if (recent.length === 0) {
			return {requests: [], quarantined: []};
		}

		const requests = recent.map(({request}) => request);
		return {
			requests,
			quarantined: this.policy.applyDeath(
				{
					target,
					targetIncarnation: recent[0]!.incarnation,
					fingerprints: [...new Set(requests.flatMap(fingerprintsOf))],
				},
				// The connections broke when the target ended, which may be found out much later.
				Math.max(...recent.map(({lostAt}) => lostAt)),
			),
		};
	}

	/** Records that a request was answered completely. Returns the prompt parts that this clears. */
	recordAnswer(request: ObservedRequest): Fingerprint[] {
		const now = this.options.clock.monotonic();
		this.policy.clear(request.fingerprint, now);
		return this.policy.recordAnswer(partFingerprintsOf(request), now);
	}

	/** Returns a quarantined fingerprint of the request, undefined when it may be sent. */
	findQuarantined(request: ObservedRequest): QuarantineFinding | undefined {
		const now = this.options.clock.monotonic();
		const fingerprint = fingerprintsOf(request).find(
			(each) => this.policy.status(each, now) === 'quarantined',
		);
		return fingerprint === undefined
			? undefined
			: {
					fingerprint,
					remainingMilliseconds: this.policy.remainingMilliseconds(
						fingerprint,
						now,
					),
				};
	}

	/** Returns true when the quarantined request should be sent once, to find out whether its fingerprints still crash targets. */
	tryTrial(request: ObservedRequest): boolean {
		const now = this.options.clock.monotonic();
		return fingerprintsOf(request)
			.filter((each) => this.policy.status(each, now) === 'quarantined')
			.every((each) => this.policy.tryTrial(each, now));
	}

	/** True when all prompt parts of the request are known to be harmless. */
	isSound(request: ObservedRequest): boolean {
		const now = this.options.clock.monotonic();
		return partFingerprintsOf(request).every((each) =>
			this.policy.isSound(each, now),
		);
	}

	/** True when a target has died under a prompt part of the request that nothing vouches for. */
	hasSuspectPart(request: ObservedRequest): boolean {
		const now = this.options.clock.monotonic();
		return partFingerprintsOf(request).some(
			(each) => this.policy.status(each, now) !== 'clear',
		);
	}

	/** Returns what has changed since a revision, for a host that collects the deaths of others. */
	changesSince(revision: number) {
		return this.policy.changesSince(revision, this.options.clock.monotonic(), {
			minimumDeaths: 1,
			limit: maximumReportsPerMessage,
		});
	}

	/** Returns what has changed since a revision and concerns all hosts. */
	sharedChangesSince(revision: number) {
		return this.policy.changesSince(revision, this.options.clock.monotonic(), {
			minimumDeaths: minimumSharedDeaths,
			limit: maximumReportsPerMessage,
		});
	}

	/** Targets and incarnations that died under a fingerprint. */
	deathsOf(fingerprint: Fingerprint): string[] {
		return this.policy
			.deathsOf(fingerprint)
			.map((key) => key.replace('\n', '@'));
	}

	/** Reports on all quarantined fingerprints. */
	quarantined(): readonly SuspicionReport[] {
		return this.policy.quarantined(this.options.clock.monotonic());
	}

	/** Applies what another host knows and returns the fingerprints that are quarantined since. */
	merge(reports: readonly SuspicionReport[]): Fingerprint[] {
		return this.policy.merge(reports, this.options.clock.monotonic());
	}
}

/** Fingerprints of the prompt parts that requests may have in common. The last part belongs to one request or session. */
function partFingerprintsOf({promptParts}: ObservedRequest): Fingerprint[] {
	return promptParts
		.slice(0, -1)
		.slice(0, maximumTrackedParts)
		.map((part) => `part:${part.slice(0, maximumPartIdLength)}` as Fingerprint);
}

function fingerprintsOf(request: ObservedRequest): Fingerprint[] {
	return [request.fingerprint, ...partFingerprintsOf(request)];
}
