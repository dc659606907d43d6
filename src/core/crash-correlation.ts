import {type Clock} from '../base/common/clock.js';
import {
	type Fingerprint,
	type PromptPartId,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';
import {QuarantinePolicy, type TargetDeath} from './quarantine-policy.js';

/** Collaborators of the correlation. */
export type CrashCorrelationOptions = {
	readonly clock: Clock;
};

/** A request whose connection to a target broke. */
export type LostRequest = {
	readonly id: RequestId;
	readonly fingerprint: Fingerprint;
	readonly promptParts: readonly PromptPartId[];
};

type TimedLoss = {
	readonly request: LostRequest;
	readonly incarnation: TargetIncarnation;
	readonly lostAt: number;
};

/** Requests lost on a target within this time before the target is found dead count as in flight at its death. */
const correlationWindowMilliseconds = 6000;
/** Target deaths after which a request is quarantined. Two, the default for other engines, would quarantine unrelated requests that were retried on the next target that dies. */
const deathsToQuarantine = 3;
const durationMilliseconds = 600_000;
const maximumFingerprints = 10_000;

/**
 * Quarantines requests that crash the targets that run them, by correlating lost requests with target deaths. A lost
 * connection alone is not a death: the target must refuse connections, leave the target list, or come back as another
 * incarnation.
 */
export class CrashCorrelation {
	private readonly lostRequests = new Map<TargetId, TimedLoss[]>();
	private readonly policy = new QuarantinePolicy({
		deathsToQuarantine,
		durationMilliseconds,
		maximumFingerprints,
	});

	/** Fingerprints quarantined by other hosts. They stay blocked until this process ends. */
	private readonly blocked = new Set<Fingerprint>();
	private unreportedDeaths: TargetDeath[] = [];

	constructor(private readonly options: CrashCorrelationOptions) {}

	/** Records that a request was running on a target when its connection broke. */
	recordLostRequest(
		target: TargetId,
		incarnation: TargetIncarnation,
		request: LostRequest,
	): void {
		const now = this.options.clock.monotonic();
		const lostRequests = (this.lostRequests.get(target) ?? []).filter(
			({lostAt}) => now - lostAt < correlationWindowMilliseconds,
		);
		lostRequests.push({request, incarnation, lostAt: now});
		this.lostRequests.set(target, lostRequests);
	}

	/** Records the death of a target, correlates it with the requests lost there within the correlation window, and returns these. */
	recordTargetDeath(target: TargetId): readonly LostRequest[] {
		const now = this.options.clock.monotonic();
		const lostRequests = this.lostRequests.get(target) ?? [];
		this.lostRequests.delete(target);
		const recent = lostRequests.filter(
			({lostAt}) => now - lostAt < correlationWindowMilliseconds,
		);
		if (recent.length === 0) {
			return [];
		}

		const death = {
			target,
			targetIncarnation: recent[0]!.incarnation,
			fingerprints: recent.map(({request}) => request.fingerprint),
		};
		this.unreportedDeaths.push(death);
		this.applyDeath(death);
		return recent.map(({request}) => request);
	}

	/** Applies a target death observed by this host or another one. */
	applyDeath(death: TargetDeath): void {
		this.policy.applyDeath(death, this.options.clock.monotonic());
	}

	/** Returns the deaths found by this host since the last call, to be reported to the other hosts. */
	takeUnreportedDeaths(): readonly TargetDeath[] {
		const deaths = this.unreportedDeaths;
		this.unreportedDeaths = [];
		return deaths;
	}

	/** Returns those of the given fingerprints that are quarantined. */
	filterQuarantined(fingerprints: Iterable<Fingerprint>): Fingerprint[] {
		return [...fingerprints].filter((fingerprint) =>
			this.isQuarantined(fingerprint),
		);
	}

	/** Blocks fingerprints that another host has quarantined. */
	block(fingerprints: Iterable<Fingerprint>): void {
		for (const fingerprint of fingerprints) {
			this.blocked.add(fingerprint);
		}
	}

	/** True when requests with this fingerprint must not be sent to a target. */
	isQuarantined(fingerprint: Fingerprint): boolean {
		return (
			this.blocked.has(fingerprint) ||
			this.policy.status(fingerprint, this.options.clock.monotonic()) ===
				'quarantined'
		);
	}
}
