import {
	type Fingerprint,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';

/** Status of a fingerprint: `clear` may run anywhere, `suspect` only in isolation, `quarantined` not at all. */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Settings of the policy. */
export type QuarantinePolicyOptions = {
	/** Distinct target deaths after which a fingerprint is quarantined. */
	readonly deathsToQuarantine: number;
	/** Time after the last death for which a fingerprint stays suspect or quarantined. */
	readonly durationMilliseconds: number;
	/** Maximum number of fingerprints tracked. The oldest are evicted first. */
	readonly maximumFingerprints: number;
};

/** Production settings. One death is not enough, because unrelated requests share the target; a second one, during an isolated retry, is. */
export const defaultQuarantinePolicyOptions: QuarantinePolicyOptions = {
	deathsToQuarantine: 2,
	durationMilliseconds: 600_000,
	maximumFingerprints: 10_000,
};

/** A target incarnation that ended while requests were in flight on it. */
export type TargetDeath = {
	readonly target: TargetId;
	readonly targetIncarnation: TargetIncarnation;
	/** Fingerprints of the requests in flight. */
	readonly fingerprints: readonly Fingerprint[];
};

type Suspicion = {
	/** Target and incarnation of each death. */
	readonly deaths: Set<string>;
	/** Monotonic time. */
	lastDeathAt: number;
};

/** Finds requests that crash the targets that run them. All times are monotonic milliseconds. */
export class QuarantinePolicy {
	private readonly suspicions = new Map<Fingerprint, Suspicion>();

	constructor(
		private readonly options: QuarantinePolicyOptions = defaultQuarantinePolicyOptions,
	) {}

	/** Number of fingerprints tracked, including expired ones. */
	get size(): number {
		return this.suspicions.size;
	}

	/** Applies a death and returns the fingerprints that it quarantines. The same death reported by several hosts counts once. */
	applyDeath(death: TargetDeath, now: number): Fingerprint[] {
		const quarantined: Fingerprint[] = [];
		const deathKey = `${death.target}\n${death.targetIncarnation}`;
		for (const fingerprint of death.fingerprints) {
			const previousStatus = this.status(fingerprint, now);
			const suspicion = this.suspicionOf(fingerprint, now);
			if (!suspicion.deaths.has(deathKey)) {
				suspicion.deaths.add(deathKey);
				suspicion.lastDeathAt = now;
			}

			if (
				previousStatus !== 'quarantined' &&
				this.status(fingerprint, now) === 'quarantined'
			) {
				quarantined.push(fingerprint);
			}
		}

		this.evictOldest();
		return quarantined;
	}

	/** Returns the status of a fingerprint at the given time. */
	status(fingerprint: Fingerprint, now: number): QuarantineStatus {
		const suspicion = this.suspicions.get(fingerprint);
		if (!suspicion || this.isExpired(suspicion, now)) {
			return 'clear';
		}

		return suspicion.deaths.size >= this.options.deathsToQuarantine
			? 'quarantined'
			: 'suspect';
	}

	/** Milliseconds until the suspicion against a fingerprint expires; 0 without one. */
	remainingMilliseconds(fingerprint: Fingerprint, now: number): number {
		const suspicion = this.suspicions.get(fingerprint);
		return suspicion
			? Math.max(
					0,
					suspicion.lastDeathAt + this.options.durationMilliseconds - now,
				)
			: 0;
	}

	/** Clears a suspect fingerprint whose request has completed. A quarantined one stays quarantined. */
	clear(fingerprint: Fingerprint, now: number): void {
		if (this.status(fingerprint, now) === 'suspect') {
			this.suspicions.delete(fingerprint);
		}
	}

	private suspicionOf(fingerprint: Fingerprint, now: number): Suspicion {
		const existing = this.suspicions.get(fingerprint);
		if (existing && !this.isExpired(existing, now)) {
			return existing;
		}

		const created: Suspicion = {deaths: new Set(), lastDeathAt: now};
		this.suspicions.delete(fingerprint);
		this.suspicions.set(fingerprint, created);
		return created;
	}

	private isExpired(suspicion: Suspicion, now: number): boolean {
		return now - suspicion.lastDeathAt > this.options.durationMilliseconds;
	}

	private evictOldest(): void {
		for (const fingerprint of this.suspicions.keys()) {
			if (this.suspicions.size <= this.options.maximumFingerprints) {
				return;
			}

			this.suspicions.delete(fingerprint);
		}
	}
}
