import {err, ok, type Result} from 'neverthrow';
import {artifactsOf} from '../../contracts/artifact.js';
import {type FleetDocument} from '../../contracts/fleet-document.js';
import {type ArtifactKey, type TargetId} from '../../contracts/ids.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {
	Assignment,
	TargetAssigner,
	type GenerationWork,
} from './target-assigner.js';
import {type KnownTarget, type TargetDirectory} from './target-directory.js';

/** Assigns work at once to the target with the least outstanding work of this host. The baseline of the routing measurements. */
export class LeastOutstandingAssigner extends TargetAssigner {
	private readonly outstanding = new Map<TargetId, number>();

	constructor(
		private readonly targets: TargetDirectory,
		private readonly document: () => FleetDocument | undefined,
	) {
		super();
	}

	async assign(
		work: GenerationWork,
	): Promise<Result<Assignment, RequestProblem>> {
		const needed = artifactsOf(this.document(), work.request);
		let best: KnownTarget | undefined;
		for (const target of this.targets.targetsOf(work.pool)) {
			if (
				work.excluded.has(target.definition.id) ||
				!isUsable(target, needed)
			) {
				continue;
			}

			if (!best || this.load(target) < this.load(best)) {
				best = target;
			}
		}

		if (!best) {
			return err(
				new RequestProblem(
					'no-target',
					'Nothing can take the request now. Send it again.',
					'not-run',
					1,
				),
			);
		}

		const {id} = best.definition;
		this.add(id, 1);
		return ok(
			new CountedAssignment(best, () => {
				this.add(id, -1);
			}),
		);
	}

	private load(target: KnownTarget): number {
		const outstanding = this.outstanding.get(target.definition.id) ?? 0;
		return outstanding / target.definition.slots;
	}

	private add(id: TargetId, amount: number): void {
		this.outstanding.set(id, (this.outstanding.get(id) ?? 0) + amount);
	}
}

class CountedAssignment extends Assignment {
	private isEnded = false;

	constructor(
		readonly target: KnownTarget,
		private readonly release: () => void,
	) {
		super();
	}

	token(): void {
		// The baseline does not learn from timing.
	}

	end(): void {
		if (!this.isEnded) {
			this.isEnded = true;
			this.release();
		}
	}
}

function isUsable(
	target: KnownTarget,
	needed: readonly ArtifactKey[],
): boolean {
	if (target.unavailability !== undefined || !target.report) {
		return false;
	}

	const {artifacts} = target.report;
	return needed.every((key) =>
		artifacts.some(
			(artifact) => artifact.key === key && artifact.state === 'resident',
		),
	);
}
