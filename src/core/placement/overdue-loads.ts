import {type ArtifactKey, type TargetId} from '../../contracts/ids.js';

/** Options of an {@link OverdueLoads}. */
export type OverdueLoadsOptions = {
	/** Time after which a planned artifact that its target does not load is overdue. */
	readonly timeoutMilliseconds: number;
	/** Time for which the target is then not considered for the artifact. */
	readonly avoidanceMilliseconds: number;
};

type PlannedLoads = {
	readonly missingSince: Map<ArtifactKey, number>;
	readonly avoidedUntil: Map<ArtifactKey, number>;
};

/**
 * Finds planned artifacts that their target does not load, because it takes no orders or carries out another one for
 * long. They must not count as replicas, or they would be placed nowhere else.
 */
export class OverdueLoads {
	private readonly targets = new Map<TargetId, PlannedLoads>();

	constructor(private readonly options: OverdueLoadsOptions) {}

	/** Applies the artifacts that are planned on a target and neither resident nor being loaded there. Returns those that should be placed elsewhere. */
	observe(
		target: TargetId,
		missing: Iterable<ArtifactKey>,
		now: number,
	): ReadonlySet<ArtifactKey> {
		const {timeoutMilliseconds, avoidanceMilliseconds} = this.options;
		const loads = this.targets.get(target) ?? {
			missingSince: new Map<ArtifactKey, number>(),
			avoidedUntil: new Map<ArtifactKey, number>(),
		};
		this.targets.set(target, loads);
		const {missingSince, avoidedUntil} = loads;
		const current = new Set(missing);
		for (const key of missingSince.keys()) {
			if (!current.has(key)) {
				missingSince.delete(key);
			}
		}

		for (const key of current) {
			const since = missingSince.get(key) ?? now;
			missingSince.set(key, since);
			if (now - since >= timeoutMilliseconds) {
				missingSince.delete(key);
				avoidedUntil.set(key, now + avoidanceMilliseconds);
			}
		}

		for (const [key, until] of avoidedUntil) {
			if (now >= until) {
				avoidedUntil.delete(key);
			}
		}

		return new Set(avoidedUntil.keys());
	}

	/** Forgets all targets but the given ones. */
	retain(targets: ReadonlySet<TargetId>): void {
		for (const target of this.targets.keys()) {
			if (!targets.has(target)) {
				this.targets.delete(target);
			}
		}
	}
}
