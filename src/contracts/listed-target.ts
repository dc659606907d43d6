import {
	type AdapterId,
	type FailureDomain,
	type ModelId,
	type PoolName,
	type TargetId,
	type TargetIncarnation,
} from './ids.js';

/** A model in the memory of a target, with its adapters. */
export type ResidentModel = {
	readonly model: ModelId;
	readonly adapters: readonly AdapterId[];
};

/** What a target says of the models that it holds. */
export type TargetResidency = {
	readonly incarnation: TargetIncarnation;
	readonly models: readonly ResidentModel[];
};

/** Weights that a target can load without the weight store. */
export type LocalWeights = {
	readonly inMemory: readonly ModelId[];
	readonly onDisk: readonly ModelId[];
};

/** One target as it describes itself in the list of targets. */
export type ListedTarget = {
	readonly id: TargetId;
	readonly pool: PoolName;
	/** `host:port` without a scheme. */
	readonly address: string;
	readonly failureDomain: FailureDomain;
	readonly slots: number;
	readonly isLeaving: boolean;
	readonly residency: TargetResidency;
	readonly localWeights: LocalWeights;
};

/** A change in the list of targets. */
export type TargetListChange =
	| {readonly kind: 'listed'; readonly target: ListedTarget}
	| {readonly kind: 'unlisted'; readonly target: TargetId}
	/** The entry cannot be read and names no target to use. */
	| {
			readonly kind: 'malformed';
			readonly target: TargetId;
			readonly reason: string;
	  };
