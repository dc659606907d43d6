import {type Artifact} from '../contracts/artifact.js';
import {
	type Adapter,
	type Model,
	type WeightStoreLimits,
} from '../contracts/fleet-document.js';
import {
	type ArtifactKey,
	type FailureDomain,
	type ModelId,
	type TargetId,
} from '../contracts/ids.js';

/** What a target holds, as far as its group owner knows. */
export type HeldArtifact = {
	readonly bytes: number;
	readonly state: 'resident' | 'loading' | 'unloading';
	/** False while some hosts may not know yet that it is resident. Such a copy replaces no other one. */
	readonly isAnnounced?: boolean;
};

/** A target of the pool at the time of a planning pass. */
export type PlacementTarget = {
	readonly id: TargetId;
	readonly failureDomain: FailureDomain;
	readonly memoryBytes: number;
	readonly slots: number;
	/** Leaving and dead targets get no loads, and what they hold does not count. */
	readonly state: 'live' | 'leaving' | 'dead';
	readonly held: ReadonlyMap<ArtifactKey, HeldArtifact>;
	/** Bytes charged for loads that the report does not show and the plan does not contain. */
	readonly reservedBytes: number;
	/** What the current plan wants on the target. */
	readonly planned: ReadonlySet<ArtifactKey>;
	/** Models that the target loads from its own memory or disk, without the weight store. */
	readonly cachedModels?: ReadonlySet<ArtifactKey>;
};

/** Everything that a planning pass depends on. */
export type PlacementInput = {
	readonly models: readonly Model[];
	readonly adapters: readonly Adapter[];
	readonly targets: readonly PlacementTarget[];
	/** Estimated number of requests that run at a time, for each model. */
	readonly demand: ReadonlyMap<ModelId, number>;
	/** Time for which requests have waited for models without a copy. */
	readonly unservedMilliseconds?: ReadonlyMap<ModelId, number>;
	readonly limits: WeightStoreLimits;
};

/** One change. Each prefix of a list of moves stays within memory and keeps what is reachable. */
export type PlacementMove = {
	readonly action: 'load' | 'unload';
	readonly target: TargetId;
	readonly artifact: Artifact;
	readonly reason: string;
	/** True when the move depends on no earlier move of the same pass. */
	readonly isImmediate: boolean;
};

/** An artifact for which no room was found. */
export type UnplacedArtifact = {
	readonly artifact: Artifact;
	readonly reason: string;
};

/** The result of a planning pass. */
export type Placement = {
	readonly desired: ReadonlyMap<TargetId, ReadonlySet<ArtifactKey>>;
	readonly moves: readonly PlacementMove[];
	readonly unplaced: readonly UnplacedArtifact[];
};

/** Decides which target holds which models and adapters. Pure: equal inputs give equal placements. */
export abstract class PlacementPolicy {
	abstract plan(input: PlacementInput): Placement;
}
