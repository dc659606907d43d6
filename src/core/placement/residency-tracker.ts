import {type TargetReport} from '../../contracts/engine.js';
import {type ArtifactKey, type TargetIncarnation} from '../../contracts/ids.js';

type Residency = {
	readonly incarnation: TargetIncarnation;
	readonly since: Map<ArtifactKey, number>;
};

/** Tracks for how long each artifact has been resident on each target without interruption. */
export class ResidencyTracker<Target> {
	private readonly targets = new Map<Target, Residency>();

	/** Applies the newest report of a target. A new incarnation restarts the time of every artifact. */
	observe(target: Target, report: TargetReport, now: number): void {
		const previous = this.targets.get(target);
		const since = new Map<ArtifactKey, number>();
		for (const {key, state} of report.artifacts) {
			if (state !== 'resident') {
				continue;
			}

			const residentSince =
				previous?.incarnation === report.incarnation
					? previous.since.get(key)
					: undefined;
			since.set(key, residentSince ?? now);
		}

		this.targets.set(target, {incarnation: report.incarnation, since});
	}

	/** Returns the time for which the artifact has been resident, or 0 when it is not resident. */
	residentMilliseconds(target: Target, key: ArtifactKey, now: number): number {
		const since = this.targets.get(target)?.since.get(key);
		return since === undefined ? 0 : now - since;
	}
}
