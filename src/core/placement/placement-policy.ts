import {type Artifact} from '../../contracts/artifact.js';
import {
	type Adapter,
	type Model,
	type WeightStoreLimits,
} from '../../contracts/fleet-document.js';
import {
	type ArtifactKey,
	type FailureDomain,
	type ModelId,
	type TargetId,
} from '../../contracts/ids.js';

/** An artifact in the memory of a target, according to the newest state that is known of the target. */
export type HeldArtifact = {
	readonly bytes: number;
	readonly state: 'resident' | 'loading' | 'unloading';
	/**
	 * False while some hosts may not have learned yet that the artifact is resident. Until then no other replica may be
	 * removed in favour of this one. Defaults to true.
	 */
	readonly isAnnounced?: boolean;
};

/** A target of a pool at the time of a planning pass. */
export type PlacementTarget = {
	readonly id: TargetId;
	readonly failureDomain: FailureDomain;
	readonly memoryBytes: number;
	/** Number of requests that the target runs at the same time. */
	readonly slots: number;
	/** Targets that are leaving or dead get no loads, and their artifacts do not count as replicas. */
	readonly state: 'live' | 'leaving' | 'dead';
	readonly held: ReadonlyMap<ArtifactKey, HeldArtifact>;
	/** Bytes reserved for loads that may still take effect and appear neither in `held` nor in `planned`. */
	readonly reservedBytes: number;
	/** Artifacts that the current plan assigns to the target. */
	readonly planned: ReadonlySet<ArtifactKey>;
	/** Models that the target loads from its own memory or disk instead of the weight store. */
	readonly cachedModels?: ReadonlySet<ArtifactKey>;
	/** Artifacts that the target has not loaded in time and that are to be placed elsewhere. */
	readonly avoidedArtifacts?: ReadonlySet<ArtifactKey>;
};

/** Input of a planning pass. */
export type PlacementInput = {
	readonly models: readonly Model[];
	readonly adapters: readonly Adapter[];
	readonly targets: readonly PlacementTarget[];
	/** Estimated number of requests that run at the same time, by model. */
	readonly demand: ReadonlyMap<ModelId, number>;
	/** Time for which requests have been waiting for a model without a replica, by model. */
	readonly unservedMilliseconds?: ReadonlyMap<ModelId, number>;
	readonly limits: WeightStoreLimits;
};

/**
 * One load or unload. After each prefix of a list of moves, every target is within its memory, and every model and
 * adapter that was reachable before is still reachable, except for models whose minimum is 0 replicas.
 */
export type PlacementMove = {
	readonly action: 'load' | 'unload';
	readonly target: TargetId;
	readonly artifact: Artifact;
	/** Explanation for operators. */
	readonly reason: string;
	/** True when the move depends on no earlier move of the same pass. */
	readonly isImmediate: boolean;
};

/** An artifact for which no target has enough memory. */
export type UnplacedArtifact = {
	readonly artifact: Artifact;
	/** Explanation for operators. */
	readonly reason: string;
};

/** Result of a planning pass. */
export type Placement = {
	/** Artifacts that each live target holds after all moves. */
	readonly desired: ReadonlyMap<TargetId, ReadonlySet<ArtifactKey>>;
	readonly moves: readonly PlacementMove[];
	readonly unplaced: readonly UnplacedArtifact[];
};

/** Decides which targets hold which models and adapters. */
export abstract class PlacementPolicy {
	/** Plans without side effects: equal inputs give equal placements. */
	abstract plan(input: PlacementInput): Placement;
}
