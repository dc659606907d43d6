import {
	type Fingerprint,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';

/** How a fingerprint may run. */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Bounds of the policy. */
export type QuarantinePolicyOptions = {
	/** Target deaths after which a fingerprint is refused. */
	readonly deathsToQuarantine: number;
	/** How long a fingerprint stays refused or suspect after the last death. */
	readonly durationMilliseconds: number;
	/** Fingerprints remembered at most; the oldest are forgotten first. */
	readonly maximumFingerprints: number;
};

/** One death is not enough: bystanders share the target. A second one on an isolated retry is. */
export const defaultQuarantinePolicyOptions: QuarantinePolicyOptions = {
	deathsToQuarantine: 2,
	durationMilliseconds: 600_000,
	maximumFingerprints: 10_000,
};

/** A target that ended while requests were in flight on it. */
export type TargetDeath = {
	readonly target: TargetId;
	readonly targetIncarnation: TargetIncarnation;
	readonly fingerprints: readonly Fingerprint[];
};

type Suspicion = {
	readonly deaths: Set<string>;
	lastDeath: number;
};

/** Finds the requests that end each target that runs them. Times are monotonic milliseconds. */
export class QuarantinePolicy {
	private readonly suspicions = new Map<Fingerprint, Suspicion>();

	constructor(
		private readonly options: QuarantinePolicyOptions = defaultQuarantinePolicyOptions,
	) {}

	get size(): number {
		return this.suspicions.size;
	}

	/** Takes in a death. The same death told by several hosts counts once. Returns the fingerprints newly quarantined. */
	applyDeath(death: TargetDeath, now: number): Fingerprint[] {
		const quarantined: Fingerprint[] = [];
		const name = `${death.target}\n${death.targetIncarnation}`;
		for (const fingerprint of death.fingerprints) {
			const before = this.status(fingerprint, now);
			const suspicion = this.suspicionOf(fingerprint, now);
			if (!suspicion.deaths.has(name)) {
				suspicion.deaths.add(name);
				suspicion.lastDeath = now;
			}

			if (
				before !== 'quarantined' &&
				this.status(fingerprint, now) === 'quarantined'
			) {
				quarantined.push(fingerprint);
			}
		}

		this.forgetOldest();
		return quarantined;
	}

	/** Tells how a fingerprint may run now. */
	status(fingerprint: Fingerprint, now: number): QuarantineStatus {
		const suspicion = this.suspicions.get(fingerprint);
		if (!suspicion || this.isExpired(suspicion, now)) {
			return 'clear';
		}

		return suspicion.deaths.size >= this.options.deathsToQuarantine
			? 'quarantined'
			: 'suspect';
	}

	/** Milliseconds until a fingerprint may run again. */
	remainingMilliseconds(fingerprint: Fingerprint, now: number): number {
		const suspicion = this.suspicions.get(fingerprint);
		return suspicion
			? Math.max(
					0,
					suspicion.lastDeath + this.options.durationMilliseconds - now,
				)
			: 0;
	}

	/** Clears a suspect that ran to its end. A quarantined fingerprint stays refused. */
	clear(fingerprint: Fingerprint, now: number): void {
		if (this.status(fingerprint, now) === 'suspect') {
			this.suspicions.delete(fingerprint);
		}
	}

	private suspicionOf(fingerprint: Fingerprint, now: number): Suspicion {
		const current = this.suspicions.get(fingerprint);
		if (current && !this.isExpired(current, now)) {
			return current;
		}

		const fresh: Suspicion = {deaths: new Set(), lastDeath: now};
		this.suspicions.delete(fingerprint);
		this.suspicions.set(fingerprint, fresh);
		return fresh;
	}

	private isExpired(suspicion: Suspicion, now: number): boolean {
		return now - suspicion.lastDeath > this.options.durationMilliseconds;
	}

	private forgetOldest(): void {
		for (const fingerprint of this.suspicions.keys()) {
			if (this.suspicions.size <= this.options.maximumFingerprints) {
				return;
			}

			this.suspicions.delete(fingerprint);
		}
	}
}
