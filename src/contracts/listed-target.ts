import {
	type AdapterId,
	type FailureDomain,
	type ModelId,
	type PoolName,
	type TargetId,
	type TargetIncarnation,
} from './ids.js';

/** A model that is resident on a target, with its resident adapters. */
export type ResidentModel = {
	readonly model: ModelId;
	readonly adapters: readonly AdapterId[];
};

/** The models that a target reports as resident. */
export type TargetResidency = {
	readonly incarnation: TargetIncarnation;
	readonly models: readonly ResidentModel[];
};

/** Models whose weights a target can load from its own machine, without the weight store. */
export type LocalWeights = {
	readonly inMemory: readonly ModelId[];
	readonly onDisk: readonly ModelId[];
};

/** An entry of the list of targets. Targets maintain their own entries. */
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
	/** The entry cannot be read, and its target must not be used. */
	| {
			readonly kind: 'malformed';
			readonly target: TargetId;
			readonly reason: string;
	  };
