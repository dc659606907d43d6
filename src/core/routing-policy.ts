import {type RandomSource} from '../base/common/random-source.js';
import {type TargetId} from '../contracts/ids.js';

/** What is known of a target when a request is routed. */
export type RoutingCandidate = {
	readonly target: TargetId;
	readonly slots: number;
	/** Requests that this host has in flight on the target. */
	readonly localOutstanding: number;
	/** Estimate of what the other hosts have in flight there. */
	readonly remoteOutstanding: number;
	/** Share of its normal work that the target gets, in [0, 1]. Below 1 while it is ejected or recovers. */
	readonly weight: number;
	/** Speed relative to the peers, in (0, 1]. */
	readonly speed: number;
	/** True when an ejected target is to be tried again. */
	readonly isProbeDue: boolean;
	/** How much of the request's prefix and adapter the target holds, in [0, 1]. */
	readonly affinity: number;
};

/** What routing needs to know of a request. */
export type RoutingRequest = {readonly idempotent: boolean};

/** Chooses a target for a request. */
export abstract class RoutingPolicy {
	/** Returns undefined only when there is no candidate. */
	abstract choose(
		candidates: readonly RoutingCandidate[],
		request: RoutingRequest,
	): RoutingCandidate | undefined;
}

/** Baseline: one target after the other. */
export class RoundRobinPolicy extends RoutingPolicy {
	private position: number;

	constructor(options: {readonly random: RandomSource}) {
		super();
		// Hosts that start at the same position would send their requests to the same target.
		this.position = options.random.integer(1024);
	}

	choose(
		candidates: readonly RoutingCandidate[],
	): RoutingCandidate | undefined {
		this.position++;
		return candidates[this.position % Math.max(1, candidates.length)];
	}
}

/** Baseline: the target with the fewest requests of this host in flight. */
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

/** Baseline: the less loaded of two random targets, by this host's own requests. */
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

/** Settings of the load-aware policy. */
export type LoadAwarePolicyOptions = {
	readonly random: RandomSource;
	/** Candidates compared per request. A few random ones keep hosts with the same late reports from choosing the same target. */
	readonly sampleSize?: number;
	/** Multiple of the mean load up to which affinity decides. */
	readonly affinityLoadBound?: number;
};

/**
 * Compares own and reported load per slot and speed among a few random targets.
 * Ejected targets get probes only, and affinity decides only below a load bound.
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

/** Load per slot at the target's speed once one more request is sent. */
export function projectedLoad(candidate: RoutingCandidate): number {
	return (
		(candidate.localOutstanding + candidate.remoteOutstanding + 1) /
		(candidate.slots * candidate.speed)
	);
}

function leastBy<T>(
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

/** Returns up to `count` different items in random order. */
function sample<T>(
	items: readonly T[],
	count: number,
	random: RandomSource,
): T[] {
	const rest = [...items];
	const chosen: T[] = [];
	while (chosen.length < count && rest.length > 0) {
		const index = random.integer(rest.length);
		chosen.push(rest[index]!);
		rest[index] = rest.at(-1)!;
		rest.pop();
	}

	return chosen;
}
