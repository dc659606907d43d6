import {type RandomSource} from '../../base/common/random-source.js';
import {normalShareBelow} from '../work/length-distribution.js';
import {
	RoutingPolicy,
	leastBy,
	projectedLoad,
	sample,
	type RoutingCandidate,
	type RoutingRequest,
} from './routing-policy.js';

/** Collaborators and settings of the policy. */
export type WorkAwarePolicyOptions = {
	readonly random: RandomSource;
	/** Number of random candidates compared. */
	readonly sampleSize?: number;
	/** Difference of two costs at which the cheaper target is chosen e times as often. Without it, hosts that know the same reports would all send to the same target until the next ones. */
	readonly indifferenceMilliseconds?: number;
	/** Weight of a millisecond by which all streams of a full target pause, relative to one of the wait of the request. */
	readonly pauseWeight?: number;
	/** Time for which a slowdown usually lasts. A longer request is slowed for this part only. */
	readonly slowdownMilliseconds?: number;
	/** Weight of a millisecond by which the rest of the response takes longer, relative to one of the wait for its first event. */
	readonly paceWeight?: number;
	/** Weight of the work that is ahead in the slots of a target. Requests that arrive later wait for it. */
	readonly loadWeight?: number;
};

const rootOfTwoPi = Math.sqrt(2 * Math.PI);
/** Spread below which a number counts as known. */
const negligibleSpread = 0.01;

/**
 * Chooses the target with the lowest expected cost to the request and to the streams there: the wait for a free slot,
 * the part of the prompt that has to be read, the slowdown of the target, and the pauses of its streams meanwhile. Meant
 * for targets with few slots, where a count of requests says little because one may take fifty times as long as another.
 */
export class WorkAwarePolicy extends RoutingPolicy {
	private readonly options: Required<WorkAwarePolicyOptions>;

	constructor(options: WorkAwarePolicyOptions) {
		super();
		this.options = {
			sampleSize: 16,
			pauseWeight: 1,
			indifferenceMilliseconds: 5,
			slowdownMilliseconds: 600,
			paceWeight: 1,
			loadWeight: 0.1,
			...options,
		};
	}

	choose(
		candidates: readonly RoutingCandidate[],
		request: RoutingRequest,
	): RoutingCandidate | undefined {
		const {random, sampleSize} = this.options;
		const probe = request.idempotent
			? candidates.find((candidate) => candidate.isProbeDue)
			: undefined;
		if (probe) {
			return probe;
		}

		const weighted = candidates.filter(
			({weight}) => weight >= 1 || random.next() < weight,
		);
		const usable = weighted.length > 0 ? weighted : candidates;
		const compared = sample(usable, sampleSize, random);
		const holder = leastBy(
			usable.filter(({affinity}) => affinity > 0),
			(candidate) => this.cost(candidate),
		);
		if (holder) {
			compared.push(holder);
		}

		return this.drawByCost(compared);
	}

	/** Expected cost of the request at a target in milliseconds. */
	override cost(candidate: RoutingCandidate): number {
		const {work, slots, speed} = candidate;
		if (!work) {
			return projectedLoad(candidate);
		}

		const {pauseWeight, slowdownMilliseconds, paceWeight, loadWeight} =
			this.options;
		const slowdown = Math.max(work.slowdown, 1 / speed);
		const outstanding =
			candidate.localOutstanding + candidate.remoteOutstanding;
		const prompt = work.promptMilliseconds * slowdown;
		const slowed = Math.min(work.milliseconds, slowdownMilliseconds);
		return (
			waitMilliseconds(candidate) * slowdown +
			prompt +
			(pauseWeight * prompt * Math.min(outstanding, slots)) / slots +
			paceWeight * slowed * (slowdown - 1) +
			(loadWeight * outstanding * work.remainingMilliseconds) / slots
		);
	}

	/** Draws a candidate, the cheaper ones with a higher probability. */
	private drawByCost(
		candidates: readonly RoutingCandidate[],
	): RoutingCandidate | undefined {
		const {random, indifferenceMilliseconds} = this.options;
		const costs = candidates.map((candidate) => this.cost(candidate));
		const least = Math.min(...costs);
		const weights = costs.map((cost) =>
			Math.exp((least - cost) / indifferenceMilliseconds),
		);
		let draw = random.next() * weights.reduce((sum, each) => sum + each, 0);
		const index = weights.findIndex((weight) => {
			draw -= weight;
			return draw < 0;
		});
		return candidates[Math.max(0, index)];
	}
}

/**
 * Expected wait for a free slot: the expected number of requests beyond the slots, each of which waits until one of the
 * requests there ends. The number of requests of other hosts counts as normally distributed.
 */
export function waitMilliseconds({
	slots,
	localOutstanding,
	remoteOutstanding,
	work,
}: RoutingCandidate): number {
	const beyond = localOutstanding + remoteOutstanding + 1 - slots;
	const spread = work?.remoteSpread ?? 0;
	const remaining = work?.remainingMilliseconds ?? 0;
	if (spread < negligibleSpread) {
		return (Math.max(0, beyond) * remaining) / slots;
	}

	const distance = beyond / spread;
	const density = Math.exp((-distance * distance) / 2) / rootOfTwoPi;
	return (
		(Math.max(0, beyond * normalShareBelow(distance) + spread * density) *
			remaining) /
		slots
	);
}
