import {
	type AdapterId,
	type FailureDomain,
	type ModelId,
	type PoolName,
	type SoftwareVersion,
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

/** Tells which of two entries of a target is the newer one. */
export type EntryRevision = {
	/** Wall-clock time in milliseconds at which the target started. A later incarnation has a later one. */
	readonly startedAt: number;
	/** Number of times that this incarnation has written its entry. */
	readonly writes: number;
};

/** An entry of the list of targets. Targets maintain their own entries. */
export type ListedTarget = {
	readonly id: TargetId;
	/** Undefined for an entry that does not count its writes. */
	readonly revision?: EntryRevision | undefined;
	readonly pool: PoolName;
	/** Undefined for an entry that names none. */
	readonly softwareVersion?: SoftwareVersion | undefined;
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
	| {
			readonly kind: 'unlisted';
			readonly target: TargetId;
			/** The newest revision that the host which read the removal has seen. */
			readonly revision?: EntryRevision | undefined;
	  }
	/** The target has written its entry again without a change of its content. */
	| {
			readonly kind: 'renewed';
			readonly target: TargetId;
			readonly revision: EntryRevision;
	  }
	/** The entry cannot be read, and its target must not be used. */
	| {
			readonly kind: 'malformed';
			readonly target: TargetId;
			readonly reason: string;
	  };
