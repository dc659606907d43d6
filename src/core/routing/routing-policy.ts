import {type RandomSource} from '../../base/common/random-source.js';
import {type TargetId} from '../../contracts/ids.js';

/** State of a target that routing compares. */
export type RoutingCandidate = {
	readonly target: TargetId;
	readonly slots: number;
	/** Requests of this host in flight on the target. */
	readonly localOutstanding: number;
	/** Estimated number of requests of other hosts in flight on the target. */
	readonly remoteOutstanding: number;
	/** Share of its normal work that the target receives, in [0, 1]: 0 while ejected, below 1 while recovering. */
	readonly weight: number;
	/** Speed relative to the other targets of the pool, in (0, 1]. */
	readonly speed: number;
	/** True when an ejected target is due for a probe request. */
	readonly isProbeDue: boolean;
	/** Share of the prefix and adapter of the request that the target holds, in [0, 1]. */
	readonly affinity: number;
	/** What is known of the work at the target, in pools that are scheduled by work. */
	readonly work?: CandidateWork;
};

/** Work at a target, and of the request there. */
export type CandidateWork = {
	/** Standard deviation of the estimated number of requests of other hosts. */
	readonly remoteSpread: number;
	/** Mean further time in a slot of the requests at the target. */
	readonly remainingMilliseconds: number;
	/** Current duration of work relative to the usual one. */
	readonly slowdown: number;
	/** Time that the target needs for the part of the prompt that it does not hold, at usual speed. */
	readonly promptMilliseconds: number;
	/** Expected time of the request in a slot, at usual speed. */
	readonly milliseconds: number;
};

/** Properties of a request that routing depends on. */
export type RoutingRequest = {readonly idempotent: boolean};

/** Chooses a target for a request. */
export abstract class RoutingPolicy {
	/** Value by which candidates are compared, lower first. */
	cost(candidate: RoutingCandidate): number {
		return projectedLoad(candidate);
	}

	/** Returns the chosen candidate, or undefined only when there are no candidates. */
	abstract choose(
		candidates: readonly RoutingCandidate[],
		request: RoutingRequest,
	): RoutingCandidate | undefined;
}

/** Baseline policy: round robin. */
export class RoundRobinPolicy extends RoutingPolicy {
	private position: number;

	constructor(options: {readonly random: RandomSource}) {
		super();
		// Hosts that started at the same position would send their requests to the same targets.
		this.position = options.random.integer(1024);
	}

	choose(
		candidates: readonly RoutingCandidate[],
	): RoutingCandidate | undefined {
		this.position++;
		return candidates[this.position % Math.max(1, candidates.length)];
	}
}

/** Baseline policy: the target with the fewest requests of this host in flight. */
export class LeastOutstandingPolicy extends RoutingPolicy {
	private readonly random: RandomSource;

	constructor(options: {readonly random: RandomSource}) {
		super();
		this.random = options.random;
	}

	choose(
		candidates: readonly RoutingCandidate[],
	): RoutingCandidate | undefined {
		return leastBy(
			sample(candidates, candidates.length, this.random),
			(candidate) => candidate.localOutstanding,
		);
	}
}

/** Baseline policy: of two random targets, the one with fewer requests of this host in flight. */
export class TwoChoicesPolicy extends RoutingPolicy {
	private readonly random: RandomSource;

	constructor(options: {readonly random: RandomSource}) {
		super();
		this.random = options.random;
	}

	choose(
		candidates: readonly RoutingCandidate[],
	): RoutingCandidate | undefined {
		return leastBy(
			sample(candidates, 2, this.random),
			(candidate) => candidate.localOutstanding,
		);
	}
}

/** Collaborators and settings of the load-aware policy. */
export type LoadAwarePolicyOptions = {
	readonly random: RandomSource;
	/** Number of random candidates compared per request. Sampling keeps hosts with the same delayed reports from all choosing the same target. */
	readonly sampleSize?: number;
	/** Multiple of the mean load up to which a target may be chosen for its affinity. */
	readonly affinityLoadBound?: number;
};

/**
 * Chooses the least loaded of a few random targets, by local and remote load per slot and by speed. Ejected targets
 * receive only probes of idempotent requests, and affinity takes precedence only below a load bound.
 */
export class LoadAwarePolicy extends RoutingPolicy {
	private readonly random: RandomSource;
	private readonly sampleSize: number;
	private readonly affinityLoadBound: number;

	constructor(options: LoadAwarePolicyOptions) {
		super();
		this.random = options.random;
		this.sampleSize = options.sampleSize ?? 6;
		this.affinityLoadBound = options.affinityLoadBound ?? 1.25;
	}

	choose(
		candidates: readonly RoutingCandidate[],
		request: RoutingRequest,
	): RoutingCandidate | undefined {
		const probe = request.idempotent
			? candidates.find((candidate) => candidate.isProbeDue)
			: undefined;
		if (probe) {
			return probe;
		}

		const weighted = candidates.filter(
			({weight}) => weight >= 1 || this.random.next() < weight,
		);
		const usable = weighted.length > 0 ? weighted : candidates;
		return (
			this.chooseByAffinity(usable) ??
			leastBy(sample(usable, this.sampleSize, this.random), projectedLoad)
		);
	}

	private chooseByAffinity(
		candidates: readonly RoutingCandidate[],
	): RoutingCandidate | undefined {
		const holders = candidates.filter(({affinity}) => affinity > 0);
		if (holders.length === 0) {
			return undefined;
		}

		let total = 0;
		for (const candidate of candidates) {
			total += projectedLoad(candidate);
		}

		const bound = (total / candidates.length) * this.affinityLoadBound;
		return leastBy(
			holders.filter((candidate) => projectedLoad(candidate) <= bound),
			(candidate) => projectedLoad(candidate) - candidate.affinity,
		);
	}
}

/** Load per slot with one more request on the target, scaled by its speed. */
export function projectedLoad(candidate: RoutingCandidate): number {
	return (
		(candidate.localOutstanding + candidate.remoteOutstanding + 1) /
		(candidate.slots * candidate.speed)
	);
}

/** Returns the item with the lowest value, the first of equal ones. */
export function leastBy<T>(
	items: readonly T[],
	valueOf: (item: T) => number,
): T | undefined {
	let least: T | undefined;
	let leastValue = Number.POSITIVE_INFINITY;
	for (const item of items) {
		const value = valueOf(item);
		if (value < leastValue) {
			least = item;
			leastValue = value;
		}
	}

	return least;
}

/** Returns up to `count` distinct items in random order. */
export function sample<T>(
	items: readonly T[],
	count: number,
	random: RandomSource,
): T[] {
	const remaining = [...items];
	const chosen: T[] = [];
	while (chosen.length < count && remaining.length > 0) {
		const index = random.integer(remaining.length);
		chosen.push(remaining[index]!);
		remaining[index] = remaining.at(-1)!;
		remaining.pop();
	}

	return chosen;
}
