import {
	adapterArtifact,
	modelArtifact,
	type Artifact,
} from '../../contracts/artifact.js';
import {
	type Adapter,
	type Model,
	type WeightStoreLimits,
} from '../../contracts/fleet-document.js';
import {
	type ArtifactKey,
	type FailureDomain,
	type TargetId,
} from '../../contracts/ids.js';
import {
	type HeldArtifact,
	type Placement,
	type PlacementInput,
	type PlacementMove,
	type PlacementTarget,
	type UnplacedArtifact,
} from './placement-policy.js';

/** A live target during a planning pass. */
export type WorkspaceTarget = {
	readonly id: TargetId;
	readonly failureDomain: FailureDomain;
	readonly memoryBytes: number;
	readonly slots: number;
	/** Bytes in use or reserved after all moves so far. Artifacts that are being unloaded no longer count. */
	usedBytes: number;
	/** Bytes of `desired`, and those that are reserved. Less than `usedBytes` while artifacts wait for their unload. */
	desiredBytes: number;
	/** Bytes in use or reserved after the loads so far if none of the unloads of this pass is done yet. */
	currentlyUsedBytes: number;
	/** Sizes of the artifacts that are held or planned after the moves so far. */
	readonly artifactBytes: Map<ArtifactKey, number>;
	/** Artifacts that the new plan assigns to the target. */
	readonly desired: Set<ArtifactKey>;
	/** Artifacts that this pass loads here. */
	readonly loads: Set<ArtifactKey>;
	/** Models whose current version the plan assigns to the target. */
	readonly models: Set<ModelState>;
	/** Expected running requests per request slot. */
	load: number;
	/** Models that the target loads from its own memory or disk instead of the weight store. */
	readonly cachedModels: ReadonlySet<ArtifactKey>;
	/** Artifacts that are not to be planned here. */
	readonly avoidedArtifacts: ReadonlySet<ArtifactKey>;
};

/** The targets to which the plan assigns an artifact, and the targets that can serve it. */
type ReplicaState = {
	readonly artifact: Artifact;
	/** Targets to which the plan assigns the current version. */
	readonly replicas: Set<WorkspaceTarget>;
	/** Targets that can serve any version after the moves so far. */
	readonly holders: Set<WorkspaceTarget>;
	/** Targets that can serve any version now and whose version is unloaded by no move so far. */
	readonly presentHolders: Set<WorkspaceTarget>;
	/** The `holders` that can serve the current version. */
	readonly currentVersionHolders: Set<WorkspaceTarget>;
	/** The `presentHolders` that can serve the current version. */
	readonly presentCurrentVersionHolders: Set<WorkspaceTarget>;
	/** Targets that may already serve, or that serve until an unload is done that depends on other moves of this pass. */
	readonly possibleHolders: Set<WorkspaceTarget>;
	/** Keys of older versions that the plan still contains, by target. */
	readonly obsoleteVersions: Map<WorkspaceTarget, ArtifactKey[]>;
};

/** A model during a planning pass. */
export type ModelState = ReplicaState & {
	readonly model: Model;
	/** Estimated number of requests that run at the same time. */
	readonly demand: number;
	readonly adapters: AdapterState[];
	/** Cached result of `unservedAdapterBytes`, or undefined after a change. */
	cachedUnservedAdapterBytes: number | undefined;
};

/** An adapter during a planning pass. */
export type AdapterState = ReplicaState & {
	readonly adapter: Adapter;
	/** The model that the adapter extends. */
	readonly base: ModelState;
};

const versionSeparator = '@';

/**
 * Mutable state of one planning pass. Moves are added only if they fit into memory and make no model or adapter
 * unreachable, so every prefix of the list of moves is safe to carry out.
 */
export class PlacementWorkspace {
	readonly targets: WorkspaceTarget[] = [];
	readonly models: ModelState[] = [];
	readonly adapters: AdapterState[] = [];
	readonly limits: WeightStoreLimits;
	private readonly moves: PlacementMove[] = [];
	private readonly unplaced: UnplacedArtifact[] = [];
	private modelLoads = 0;

	constructor(input: PlacementInput) {
		this.limits = input.limits;
		const byName = new Map<string, ModelState | AdapterState>();
		for (const model of input.models) {
			const state: ModelState = {
				model,
				demand: input.demand.get(model.id) ?? 0,
				adapters: [],
				cachedUnservedAdapterBytes: undefined,
				...emptyReplicaState(modelArtifact(model)),
			};
			this.models.push(state);
			byName.set(unversionedName(state.artifact.key), state);
		}

		for (const adapter of input.adapters) {
			const base = byName.get(`model/${adapter.model}`);
			if (!base || !('adapters' in base)) {
				continue;
			}

			const state: AdapterState = {
				adapter,
				base,
				...emptyReplicaState(adapterArtifact(adapter)),
			};
			base.adapters.push(state);
			this.adapters.push(state);
			byName.set(unversionedName(state.artifact.key), state);
		}

		this.readTargets(input, byName);
	}

	/** Number of model loads in this pass so far, without artifacts that the target holds already. */
	get modelLoadCount(): number {
		return this.modelLoads;
	}

	/** Returns whether the artifact may be planned on the target, which has memory for it after the moves so far. */
	fits(target: WorkspaceTarget, {key, bytes}: Artifact): boolean {
		if (target.desired.has(key)) {
			return true;
		}

		if (target.avoidedArtifacts.has(key)) {
			return false;
		}

		// The memory of an artifact that waits for its unload may be planned for another one already.
		return target.artifactBytes.has(key)
			? target.desiredBytes + bytes <= target.memoryBytes
			: target.usedBytes + bytes <= target.memoryBytes;
	}

	/** Loads a model or adapter on a target. The caller has checked that it fits. */
	load(
		target: WorkspaceTarget,
		state: ModelState | AdapterState,
		reason: string,
	): void {
		const {artifact} = state;
		const isHeld = target.artifactBytes.has(artifact.key);
		const isImmediate =
			isHeld ||
			target.currentlyUsedBytes + artifact.bytes <= target.memoryBytes;
		if (!isHeld) {
			target.usedBytes += artifact.bytes;
			target.currentlyUsedBytes += artifact.bytes;
			target.artifactBytes.set(artifact.key, artifact.bytes);
		}

		if (!target.desired.has(artifact.key)) {
			target.desiredBytes += artifact.bytes;
		}

		invalidateUnservedAdapterBytes(state);
		target.desired.add(artifact.key);
		target.loads.add(artifact.key);
		state.holders.add(target);
		state.currentVersionHolders.add(target);
		if ('adapters' in state) {
			this.updateLoad(state, () => {
				state.replicas.add(target);
			});
			target.models.add(state);
			this.modelLoads += isHeld ? 0 : 1;
		} else {
			state.replicas.add(target);
		}

		this.moves.push({
			action: 'load',
			target: target.id,
			artifact,
			reason,
			isImmediate,
		});
	}

	/**
	 * Returns whether the model can be removed from a target without making a model or adapter unreachable. The last
	 * replica of a dormant model can be removed, because a request loads the model again.
	 */
	canRemoveModel(target: WorkspaceTarget, state: ModelState): boolean {
		const isDormant = state.model.minimumReplicas === 0;
		if (!isDormant && !hasOther(state.holders, target)) {
			return false;
		}

		return (
			this.strandedAdapters(target, state).length === 0 ||
			this.findRelocationTarget(target, state) !== undefined
		);
	}

	/** Returns the bytes of the adapters that no other target could serve if the model were removed from this one. */
	strandedBytes(target: WorkspaceTarget, state: ModelState): number {
		let bytes = 0;
		for (const {artifact} of this.strandedAdapters(target, state)) {
			bytes += artifact.bytes;
		}

		return bytes;
	}

	/** Unloads the current version of a model together with its adapters. Returns the freed bytes. */
	removeModel(
		target: WorkspaceTarget,
		state: ModelState,
		reason: string,
	): number {
		const usedBytesBefore = target.usedBytes;
		const isAllowedNow = this.removeAdapters(target, state, reason);
		this.updateLoad(state, () => {
			state.replicas.delete(target);
		});
		target.models.delete(state);
		this.unload(target, state, state.artifact, {reason, isAllowedNow});
		return usedBytesBefore - target.usedBytes;
	}

	/**
	 * Unloads obsolete versions where that makes nothing unreachable. Unless forced, obsolete versions of a model or adapter
	 * whose current version is not planned on any target are kept.
	 */
	removeObsoleteVersions(isForced: boolean): void {
		for (const state of [...this.adapters, ...this.models]) {
			for (const [target, keys] of state.obsoleteVersions) {
				const isReplica = state.replicas.has(target);
				if (!isReplica && !isForced && state.replicas.size === 0) {
					continue;
				}

				this.removeObsoleteFrom(target, state, keys);
			}
		}
	}

	/**
	 * Frees memory for the current version of a model by unloading an obsolete version that is not the last one reachable.
	 * Returns the target, or undefined when no obsolete version can be unloaded for that.
	 */
	makeRoomForCurrentVersion(state: ModelState): WorkspaceTarget | undefined {
		for (const [target, keys] of state.obsoleteVersions) {
			let available = target.memoryBytes - target.usedBytes;
			for (const key of keys) {
				available += target.artifactBytes.get(key) ?? 0;
			}

			if (
				state.replicas.has(target) ||
				available < state.artifact.bytes + this.strandedBytes(target, state) ||
				!this.canRemoveModel(target, state)
			) {
				continue;
			}

			this.removeObsoleteFrom(target, state, keys);
			return target;
		}

		return undefined;
	}

	/** Records that no target has enough memory for an artifact. */
	recordUnplaced(artifact: Artifact, reason: string): void {
		this.unplaced.push({artifact, reason});
	}

	/** Returns the placement with all moves so far. */
	result(): Placement {
		return {
			desired: new Map(
				this.targets.map((target) => [target.id, target.desired]),
			),
			moves: this.moves,
			unplaced: this.unplaced,
		};
	}

	private removeObsoleteFrom(
		target: WorkspaceTarget,
		state: ModelState | AdapterState,
		keys: readonly ArtifactKey[],
	): void {
		const holdsCurrentVersion = state.currentVersionHolders.has(target);
		const isModel = 'adapters' in state;
		if (!holdsCurrentVersion) {
			const isSafe = isModel
				? this.canRemoveModel(target, state)
				: this.isAdapterServedElsewhere(state, target);
			if (!isSafe) {
				return;
			}
		}

		const reason = 'replaced by another version';
		const isAllowedNow = holdsCurrentVersion
			? state.presentCurrentVersionHolders.has(target)
			: !isModel || this.removeAdapters(target, state, reason);
		state.obsoleteVersions.delete(target);
		for (const key of keys) {
			const bytes = target.artifactBytes.get(key) ?? 0;
			this.unload(
				target,
				state,
				{key, kind: state.artifact.kind, bytes},
				{reason, isAllowedNow},
			);
		}
	}

	/**
	 * Unloads all adapters of a model from a target and loads those that would become unreachable on another one. Returns
	 * whether all unloads can be carried out at once.
	 */
	private removeAdapters(
		target: WorkspaceTarget,
		state: ModelState,
		reason: string,
	): boolean {
		const relocationTarget = this.findRelocationTarget(target, state);
		for (const adapter of this.strandedAdapters(target, state)) {
			if (relocationTarget) {
				this.load(
					relocationTarget,
					adapter,
					`relocated from another target: ${reason}`,
				);
			}
		}

		let areAllImmediate = state.adapters.every(
			(adapter) =>
				!adapter.possibleHolders.has(target) || this.isServedNow(adapter),
		);
		for (const adapter of state.adapters) {
			const keys = [
				...(adapter.obsoleteVersions.get(target) ?? []),
				...(adapter.replicas.has(target) ? [adapter.artifact.key] : []),
			];
			adapter.obsoleteVersions.delete(target);
			adapter.replicas.delete(target);
			for (const key of keys) {
				const bytes = target.artifactBytes.get(key) ?? adapter.artifact.bytes;
				const isImmediate = this.unload(
					target,
					adapter,
					{key, kind: 'adapter', bytes},
					{reason, isAllowedNow: true},
				);
				areAllImmediate &&= isImmediate;
			}
		}

		return areAllImmediate;
	}

	/** Returns the adapters of the model that only this target can serve. */
	private strandedAdapters(
		target: WorkspaceTarget,
		state: ModelState,
	): AdapterState[] {
		return state.adapters.filter(
			(adapter) =>
				(adapter.holders.has(target) || adapter.replicas.has(target)) &&
				!this.isAdapterServedElsewhere(adapter, target),
		);
	}

	private isAdapterServedElsewhere(
		adapter: AdapterState,
		target: WorkspaceTarget,
	): boolean {
		for (const other of adapter.holders) {
			if (other !== target && adapter.base.holders.has(other)) {
				return true;
			}
		}

		return false;
	}

	/** Returns a target that holds the model and has memory for all adapters that only the given target can serve. */
	private findRelocationTarget(
		target: WorkspaceTarget,
		state: ModelState,
	): WorkspaceTarget | undefined {
		const bytes = this.strandedBytes(target, state);
		for (const other of state.holders) {
			if (other !== target && other.usedBytes + bytes <= other.memoryBytes) {
				return other;
			}
		}

		return undefined;
	}

	/** Unloads an artifact. Returns whether the move can be carried out at once. */
	private unload(
		target: WorkspaceTarget,
		state: ModelState | AdapterState,
		artifact: Artifact,
		options: {readonly reason: string; readonly isAllowedNow: boolean},
	): boolean {
		const bytes = target.artifactBytes.get(artifact.key);
		invalidateUnservedAdapterBytes(state);
		if (target.desired.delete(artifact.key)) {
			target.desiredBytes -= bytes ?? 0;
		}

		target.artifactBytes.delete(artifact.key);
		target.usedBytes -= bytes ?? 0;
		if (artifact.key === state.artifact.key) {
			state.currentVersionHolders.delete(target);
			state.presentCurrentVersionHolders.delete(target);
		}

		const wasServing =
			state.presentHolders.has(target) || state.possibleHolders.has(target);
		if (!state.presentCurrentVersionHolders.has(target)) {
			state.presentHolders.delete(target);
		}

		if (!state.currentVersionHolders.has(target)) {
			state.holders.delete(target);
		}

		const isImmediate =
			options.isAllowedNow &&
			!target.loads.has(artifact.key) &&
			(!wasServing || this.isServedNow(state));
		if (wasServing && !isImmediate) {
			state.possibleHolders.add(target);
		}

		this.moves.push({
			action: 'unload',
			target: target.id,
			artifact: {...artifact, bytes: bytes ?? artifact.bytes},
			reason: options.reason,
			isImmediate,
		});
		return isImmediate;
	}

	/** Returns whether a target serves the artifact now, for adapters together with their model. */
	private isServedNow(state: ModelState | AdapterState): boolean {
		if ('adapters' in state) {
			return state.presentHolders.size > 0;
		}

		for (const holder of state.presentHolders) {
			if (state.base.presentHolders.has(holder)) {
				return true;
			}
		}

		return false;
	}

	/** Updates the expected load of the targets for a change in the replicas of a model. */
	private updateLoad(state: ModelState, change: () => void): void {
		const addLoad = (sign: number) => {
			for (const target of state.replicas) {
				target.load +=
					(sign * state.demand) / state.replicas.size / target.slots;
			}
		};

		addLoad(-1);
		change();
		addLoad(1);
	}

	private readTargets(
		input: PlacementInput,
		byName: ReadonlyMap<string, ModelState | AdapterState>,
	): void {
		for (const source of input.targets) {
			if (source.state !== 'live') {
				continue;
			}

			const target: WorkspaceTarget = {
				id: source.id,
				failureDomain: source.failureDomain,
				memoryBytes: source.memoryBytes,
				slots: source.slots,
				usedBytes: source.reservedBytes,
				desiredBytes: source.reservedBytes,
				currentlyUsedBytes: 0,
				artifactBytes: new Map(),
				desired: new Set(source.planned),
				loads: new Set(),
				models: new Set(),
				load: 0,
				cachedModels: source.cachedModels ?? new Set(),
				avoidedArtifacts: source.avoidedArtifacts ?? new Set(),
			};
			this.targets.push(target);
			let unloadingBytes = 0;
			for (const [key, {bytes, state}] of source.held) {
				if (state === 'unloading') {
					unloadingBytes += bytes;
					continue;
				}

				target.artifactBytes.set(key, bytes);
				target.usedBytes += bytes;
			}

			const {unknown, unfit} = readPlan(target, source, byName);
			target.currentlyUsedBytes = target.usedBytes + unloadingBytes;
			this.removeFromPlan(
				target,
				unknown,
				'the document no longer contains this version',
			);
			this.removeFromPlan(
				target,
				unfit,
				'the target has no memory for it or has not loaded it in time',
			);
		}

		for (const state of this.models) {
			for (const target of state.replicas) {
				target.load += state.demand / state.replicas.size / target.slots;
			}
		}
	}

	private removeFromPlan(
		target: WorkspaceTarget,
		artifacts: readonly Artifact[],
		reason: string,
	): void {
		// Adapters are unloaded before models, so that no adapter remains on a target without its model.
		const ordered = [...artifacts].sort((left, right) =>
			left.kind < right.kind ? -1 : 1,
		);
		for (const artifact of ordered) {
			target.desired.delete(artifact.key);
			target.usedBytes -= target.artifactBytes.get(artifact.key) ?? 0;
			target.artifactBytes.delete(artifact.key);
			this.moves.push({
				action: 'unload',
				target: target.id,
				artifact,
				reason,
				isImmediate: true,
			});
		}
	}
}

/** Reads the artifacts that the current plan assigns to a target. Returns those that are to be removed from it: versions that are not in the document, and artifacts that are not in memory and do not fit or are overdue. */
function readPlan(
	target: WorkspaceTarget,
	{held, planned}: PlacementTarget,
	byName: ReadonlyMap<string, ModelState | AdapterState>,
): {unknown: Artifact[]; unfit: Artifact[]} {
	const unknown: Artifact[] = [];
	const unfit: Artifact[] = [];
	const present = [...planned].filter((key) => target.artifactBytes.has(key));
	const absent = [...planned].filter((key) => !target.artifactBytes.has(key));
	for (const key of [...present, ...absent]) {
		const state = byName.get(unversionedName(key));
		const heldBytes = held.get(key)?.bytes;
		const bytes = target.artifactBytes.get(key) ?? state?.artifact.bytes ?? 0;
		// An obsolete version that is not in memory can no longer be loaded.
		const isUnrecoverableVersion =
			heldBytes === undefined && key !== state?.artifact.key;
		const kind = key.startsWith('model/') ? 'model' : 'adapter';
		if (!state || isUnrecoverableVersion) {
			unknown.push({key, kind, bytes});
			continue;
		}

		if (
			!target.artifactBytes.has(key) &&
			(target.avoidedArtifacts.has(key) ||
				target.desiredBytes + bytes > target.memoryBytes)
		) {
			unfit.push({key, kind, bytes});
			continue;
		}

		if (!target.artifactBytes.has(key)) {
			target.artifactBytes.set(key, bytes);
			target.usedBytes += bytes;
		}

		target.desiredBytes += bytes;
		recordReplica(target, state, key, held.get(key));
	}

	return {unknown, unfit};
}

/** Records a planned artifact of a target in the state of its model or adapter. */
function recordReplica(
	target: WorkspaceTarget,
	state: ModelState | AdapterState,
	key: ArtifactKey,
	held: HeldArtifact | undefined,
): void {
	const isCurrent = key === state.artifact.key;
	const isResident = held?.state === 'resident';
	if (held?.state === 'loading' || held?.isAnnounced === false) {
		// Reports lag behind, so this replica may already serve. It is removed only after another one certainly serves.
		state.possibleHolders.add(target);
	} else if (isResident) {
		state.holders.add(target);
		state.presentHolders.add(target);
		if (isCurrent) {
			state.currentVersionHolders.add(target);
			state.presentCurrentVersionHolders.add(target);
		}
	}

	if (!isCurrent) {
		state.obsoleteVersions.set(target, [
			...(state.obsoleteVersions.get(target) ?? []),
			key,
		]);
		return;
	}

	state.replicas.add(target);
	if ('adapters' in state) {
		target.models.add(state);
	}
}

function emptyReplicaState(artifact: Artifact): ReplicaState {
	return {
		artifact,
		replicas: new Set(),
		holders: new Set(),
		presentHolders: new Set(),
		currentVersionHolders: new Set(),
		presentCurrentVersionHolders: new Set(),
		possibleHolders: new Set(),
		obsoleteVersions: new Map(),
	};
}

/** Returns the bytes of the adapters that no target holds together with the current version of the model. */
export function unservedAdapterBytes(state: ModelState): number {
	if (state.cachedUnservedAdapterBytes === undefined) {
		let bytes = 0;
		for (const {artifact, replicas} of state.adapters) {
			const isServed = [...replicas].some((replica) =>
				state.replicas.has(replica),
			);
			bytes += isServed ? 0 : artifact.bytes;
		}

		state.cachedUnservedAdapterBytes = bytes;
	}

	return state.cachedUnservedAdapterBytes;
}

function invalidateUnservedAdapterBytes(
	state: ModelState | AdapterState,
): void {
	const model = 'adapters' in state ? state : state.base;
	model.cachedUnservedAdapterBytes = undefined;
}

/** Returns an artifact key without its version. */
function unversionedName(key: ArtifactKey): string {
	return key.slice(0, key.lastIndexOf(versionSeparator));
}

/** Returns whether a set has a member besides the given one. */
function hasOther<T>(members: ReadonlySet<T>, member: T): boolean {
	return members.size > (members.has(member) ? 1 : 0);
}
