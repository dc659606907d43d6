import {type TargetReport} from '../contracts/engine.js';
import {type ArtifactKey, type TargetIncarnation} from '../contracts/ids.js';

type Residency = {
	readonly incarnation: TargetIncarnation;
	readonly since: Map<ArtifactKey, number>;
};

/** Knows since when the artifacts of the targets of a pool have been resident without interruption. */
export class ResidencyTracker<Target> {
	private readonly targets = new Map<Target, Residency>();

	/** Takes in the newest report of a target. */
	observe(target: Target, report: TargetReport, now: number): void {
		const known = this.targets.get(target);
		const since = new Map<ArtifactKey, number>();
		for (const {key, state} of report.artifacts) {
			if (state !== 'resident') {
				continue;
			}

			const earlier =
				known?.incarnation === report.incarnation
					? known.since.get(key)
					: undefined;
			since.set(key, earlier ?? now);
		}

		this.targets.set(target, {incarnation: report.incarnation, since});
	}

	/** Time for which the artifact has been resident, zero when it is not. */
	residentMilliseconds(target: Target, key: ArtifactKey, now: number): number {
		const since = this.targets.get(target)?.since.get(key);
		return since === undefined ? 0 : now - since;
	}
}
