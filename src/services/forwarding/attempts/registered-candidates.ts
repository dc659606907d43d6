import {type PoolName, type TargetId} from '../../../contracts/ids.js';
import {
	CandidateDirectory,
	type WorkItem,
} from '../../dispatch/dispatch-contracts.js';
import {type TargetRegistry} from '../targets/target-registry.js';

/** Looks up candidates in the target registry. */
export class RegisteredCandidates extends CandidateDirectory {
	constructor(
		private readonly registry: TargetRegistry,
		private readonly pool: PoolName,
	) {
		super();
	}

	targetsFor(item: WorkItem): readonly TargetId[] {
		return this.registry.candidates(
			this.pool,
			item.model,
			item.adapter,
			item.softwareVersion,
		);
	}
}
