import {type Clock} from '../base/common/clock.js';
import {
	type Fingerprint,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';
import {QuarantinePolicy, type TargetDeath} from './quarantine-policy.js';

/** Settings of the correlation. */
export type CrashCorrelationOptions = {
	readonly clock: Clock;
};

type Loss = {
	readonly fingerprint: Fingerprint;
	readonly incarnation: TargetIncarnation;
	readonly at: number;
};

/** Requests of a target that were lost up to this long before it was seen dead count as in flight at its death. */
const lossMilliseconds = 6000;
/** Deaths after which a request is refused. Two, as for other engines, would refuse bystanders that were repeated onto the next target that dies. */
const deathsToQuarantine = 3;
const durationMilliseconds = 600_000;
const maximumFingerprints = 10_000;

/**
 * Finds requests that crash each target that runs them. A lost connection alone is no death: the target must refuse
 * connections, leave the list, or come back as another incarnation.
 */
export class CrashCorrelation {
	private readonly losses = new Map<TargetId, Loss[]>();
	private readonly policy = new QuarantinePolicy({
		deathsToQuarantine,
		durationMilliseconds,
		maximumFingerprints,
	});

	/** Fingerprints that another host found. */
	private readonly blocked = new Set<Fingerprint>();
	private unreported: TargetDeath[] = [];

	constructor(private readonly options: CrashCorrelationOptions) {}

	/** A request was running at a target when its connection broke. */
	recordLostRequest(
		target: TargetId,
		incarnation: TargetIncarnation,
		fingerprint: Fingerprint,
	): void {
		const now = this.options.clock.monotonic();
		const losses = (this.losses.get(target) ?? []).filter(
			({at}) => now - at < lossMilliseconds,
		);
		losses.push({fingerprint, incarnation, at: now});
		this.losses.set(target, losses);
	}

	/** A target is dead for certain. */
	recordTargetDeath(target: TargetId): void {
		const now = this.options.clock.monotonic();
		const losses = this.losses.get(target) ?? [];
		this.losses.delete(target);
		const recent = losses.filter(({at}) => now - at < lossMilliseconds);
		if (recent.length === 0) {
			return;
		}

		const death = {
			target,
			targetIncarnation: recent[0]!.incarnation,
			fingerprints: recent.map(({fingerprint}) => fingerprint),
		};
		this.unreported.push(death);
		this.applyDeath(death);
	}

	/** Takes in a death, of this host or another one. */
	applyDeath(death: TargetDeath): void {
		this.policy.applyDeath(death, this.options.clock.monotonic());
	}

	/** Returns the deaths that other hosts have not been told of. */
	takeUnreportedDeaths(): readonly TargetDeath[] {
		const deaths = this.unreported;
		this.unreported = [];
		return deaths;
	}

	/** Fingerprints that no target may run, among those given. */
	filterQuarantined(fingerprints: Iterable<Fingerprint>): Fingerprint[] {
		return [...fingerprints].filter((fingerprint) =>
			this.isQuarantined(fingerprint),
		);
	}

	/** Takes over what another host found. */
	block(fingerprints: Iterable<Fingerprint>): void {
		for (const fingerprint of fingerprints) {
			this.blocked.add(fingerprint);
		}
	}

	/** True when the request must not run. */
	isQuarantined(fingerprint: Fingerprint): boolean {
		return (
			this.blocked.has(fingerprint) ||
			this.policy.status(fingerprint, this.options.clock.monotonic()) ===
				'quarantined'
		);
	}
}
