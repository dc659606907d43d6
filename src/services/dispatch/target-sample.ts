import {type RandomSource} from '../../base/common/random-source.js';
import {type TargetId} from '../../contracts/ids.js';
import {type OutlierDetector} from '../../core/routing/outlier-detector.js';
import {type PrefixAffinity} from '../../core/routing/prefix-affinity.js';

/** Largest pool size at which all targets are compared. */
const maximumFullComparison = 16;
/** Number of random targets compared in a larger pool. Routing samples six of them; the rest replace targets that are full. */
const randomSampleSize = 12;
/** Maximum number of targets added to the random sample for each other reason. */
const maximumTargetsPerReason = 4;

/** Collaborators of the sample. */
export type TargetSampleOptions = {
	readonly random: RandomSource;
	readonly prefixAffinity: PrefixAffinity;
	readonly outlierDetector: OutlierDetector;
};

/** Limits the targets that are compared for one dispatch. */
export class TargetSample {
	/** Candidate lists as sets, for membership tests on long lists. */
	private readonly candidateSets = new WeakMap<
		readonly TargetId[],
		ReadonlySet<TargetId>
	>();

	constructor(private readonly options: TargetSampleOptions) {}

	/**
	 * Returns the targets to compare for one dispatch: all targets of a small pool, or a random sample of a large one.
	 * The sample is extended by targets that it would rarely include: those that hold prefixes of the prompt, ejected
	 * and recovering targets, which otherwise would receive no probes, and the last target found with free capacity.
	 */
	targetsToCompare(
		targets: readonly TargetId[],
		prefixes: readonly string[],
		targetWithCapacity: TargetId | undefined,
	): Iterable<TargetId> {
		if (targets.length <= maximumFullComparison) {
			return targets;
		}

		let candidates = this.candidateSets.get(targets);
		if (!candidates) {
			candidates = new Set(targets);
			this.candidateSets.set(targets, candidates);
		}

		const {random, prefixAffinity, outlierDetector} = this.options;
		const compared = new Set<TargetId>();
		const additional = [
			...prefixAffinity.holdersOf(prefixes, maximumTargetsPerReason),
			...outlierDetector.reducedTargets().slice(0, maximumTargetsPerReason),
			...(targetWithCapacity === undefined ? [] : [targetWithCapacity]),
		];
		for (const target of additional) {
			if (candidates.has(target)) {
				compared.add(target);
			}
		}

		for (let index = 0; index < randomSampleSize; index += 1) {
			compared.add(targets[random.integer(targets.length)]!);
		}

		return compared;
	}
}
