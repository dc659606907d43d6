import {
	adapterArtifact,
	modelArtifact,
	type Artifact,
} from '../contracts/artifact.js';
import {
	type Adapter,
	type Model,
	type WeightStoreLimits,
} from '../contracts/fleet-document.js';
import {
	type ArtifactKey,
	type FailureDomain,
	type TargetId,
} from '../contracts/ids.js';
import {
	type HeldArtifact,
	type Placement,
	type PlacementInput,
	type PlacementMove,
	type UnplacedArtifact,
} from './placement-policy.js';

/** A live target during a planning pass. */
export type WorkspaceTarget = {
	readonly id: TargetId;
	readonly failureDomain: FailureDomain;
	readonly memoryBytes: number;
	readonly slots: number;
	/** Bytes after all moves so far. */
	usedBytes: number;
	/** Bytes that are charged as long as none of the unloads of this pass is done. */
	currentlyUsedBytes: number;
	/** Artifacts in memory at present or after the moves so far, with their bytes. */
	readonly artifactBytes: Map<ArtifactKey, number>;
	readonly desired: Set<ArtifactKey>;
	/** Artifacts that this pass wants to load here. */
	readonly loads: Set<ArtifactKey>;
	/** Models that the plan wants here in their current version. */
	readonly models: Set<ModelState>;
	/** Expected running requests for each slot. */
	load: number;
	/** Models that need not come from the weight store. */
	readonly cachedModels: ReadonlySet<ArtifactKey>;
};

/** Copies of one artifact: where the plan wants it and where it can serve. */
type Copies = {
	readonly artifact: Artifact;
	/** Targets that the plan wants to hold the current version. */
	readonly replicas: Set<WorkspaceTarget>;
	/** Targets that can serve any version after the moves so far. */
	readonly holders: Set<WorkspaceTarget>;
	/** Targets that can serve any version now and lose it by no move so far. */
	readonly presentHolders: Set<WorkspaceTarget>;
	/** Targets among the holders that serve the current version. */
	readonly currentVersionHolders: Set<WorkspaceTarget>;
	/** Targets among the present holders that serve the current version. */
	readonly presentCurrentVersionHolders: Set<WorkspaceTarget>;
	/** Targets that serve until an unload of this pass that depends on other moves is done, or that may serve already. */
	readonly possibleHolders: Set<WorkspaceTarget>;
	/** Older versions that the plan still contains. */
	readonly obsoleteVersions: Map<WorkspaceTarget, ArtifactKey[]>;
};

/** A model during a planning pass. */
export type ModelState = Copies & {
	readonly model: Model;
	readonly demand: number;
	readonly adapters: AdapterState[];
	/** Cached sum of `unservedAdapterBytes`, or undefined after a change. */
	cachedUnservedAdapterBytes: number | undefined;
};

/** An adapter during a planning pass. */
export type AdapterState = Copies & {
	readonly adapter: Adapter;
	readonly base: ModelState;
};

const versionSeparator = '@';

/**
 * Mutable state of one planning pass. A move is made only when memory allows it and when nothing
 * becomes unreachable by it, so every prefix of the moves is safe.
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
				...emptyCopies(modelArtifact(model)),
			};
			this.models.push(state);
			byName.set(nameOf(state.artifact.key), state);
		}

		for (const adapter of input.adapters) {
			const base = byName.get(`model/${adapter.model}`);
			if (!base || !('adapters' in base)) {
				continue;
			}

			const state: AdapterState = {
				adapter,
				base,
				...emptyCopies(adapterArtifact(adapter)),
			};
			base.adapters.push(state);
			this.adapters.push(state);
			byName.set(nameOf(state.artifact.key), state);
		}

		this.readTargets(input, byName);
	}

	/** Number of loads of models so far. */
	get modelLoadCount(): number {
		return this.modelLoads;
	}

	/** True when the artifact fits after the moves so far. */
	fits(target: WorkspaceTarget, artifact: Artifact): boolean {
		return (
			target.artifactBytes.has(artifact.key) ||
			target.usedBytes + artifact.bytes <= target.memoryBytes
		);
	}

	/** Adds a copy. The caller has checked that it fits. */
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

		forgetUnserved(state);
		target.desired.add(artifact.key);
		target.loads.add(artifact.key);
		state.holders.add(target);
		state.currentVersionHolders.add(target);
		if ('adapters' in state) {
			this.reviseLoad(state, () => {
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

	/** True when the model can be removed from a target and everything stays reachable. A dormant model is loaded again on request. */
	canRemoveModel(target: WorkspaceTarget, state: ModelState): boolean {
		const isDormant = state.model.minimumReplicas === 0;
		if (!isDormant && !hasOther(state.holders, target)) {
			return false;
		}

		return (
			this.strandedAdapters(target, state).length === 0 ||
			this.refuge(target, state) !== undefined
		);
	}

	/** Bytes of the adapters that no other target could serve without the model on this one. */
	strandedBytes(target: WorkspaceTarget, state: ModelState): number {
		let bytes = 0;
		for (const {artifact} of this.strandedAdapters(target, state)) {
			bytes += artifact.bytes;
		}

		return bytes;
	}

	/** Removes the current version of a model with its adapters. Returns the bytes freed. */
	removeModel(
		target: WorkspaceTarget,
		state: ModelState,
		reason: string,
	): number {
		const before = target.usedBytes;
		const isPermittedNow = this.removeAdapters(target, state, reason);
		this.reviseLoad(state, () => {
			state.replicas.delete(target);
		});
		target.models.delete(state);
		this.unload(target, state, state.artifact, {reason, isPermittedNow});
		return before - target.usedBytes;
	}

	/** Removes old versions where nothing becomes unreachable by it. */
	removeObsoleteVersions(isForced: boolean): void {
		for (const state of [...this.adapters, ...this.models]) {
			for (const [target, keys] of state.obsoleteVersions) {
				const isReplacedHere = state.replicas.has(target);
				if (!isReplacedHere && !isForced && state.replicas.size === 0) {
					continue;
				}

				this.removeObsoleteFrom(target, state, keys);
			}
		}
	}

	/** Frees room for the current version by removing an old one that has another copy elsewhere. */
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

	/** Records that no room was found. */
	recordUnplaced(artifact: Artifact, reason: string): void {
		this.unplaced.push({artifact, reason});
	}

	/** The placement with all moves so far. */
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
		const staysHere = state.currentVersionHolders.has(target);
		const isModel = 'adapters' in state;
		if (!staysHere) {
			const isSafe = isModel
				? this.canRemoveModel(target, state)
				: this.isAdapterElsewhere(state, target);
			if (!isSafe) {
				return;
			}
		}

		const reason = 'replaced by another version';
		const isPermittedNow = staysHere
			? state.presentCurrentVersionHolders.has(target)
			: !isModel || this.removeAdapters(target, state, reason);
		state.obsoleteVersions.delete(target);
		for (const key of keys) {
			const bytes = target.artifactBytes.get(key) ?? 0;
			this.unload(
				target,
				state,
				{key, kind: state.artifact.kind, bytes},
				{reason, isPermittedNow},
			);
		}
	}

	private removeAdapters(
		target: WorkspaceTarget,
		state: ModelState,
		reason: string,
	): boolean {
		const refuge = this.refuge(target, state);
		for (const adapter of this.strandedAdapters(target, state)) {
			if (refuge) {
				this.load(refuge, adapter, `moves because ${reason}`);
			}
		}

		let areAllImmediate = state.adapters.every(
			(adapter) =>
				!adapter.possibleHolders.has(target) || this.servesNow(adapter),
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
					{reason, isPermittedNow: true},
				);
				areAllImmediate &&= isImmediate;
			}
		}

		return areAllImmediate;
	}

	/** Adapters that no other target could serve. */
	private strandedAdapters(
		target: WorkspaceTarget,
		state: ModelState,
	): AdapterState[] {
		return state.adapters.filter(
			(adapter) =>
				(adapter.holders.has(target) || adapter.replicas.has(target)) &&
				!this.isAdapterElsewhere(adapter, target),
		);
	}

	private isAdapterElsewhere(
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

	/** A target that holds the model and has room for all adapters that would be stranded. */
	private refuge(
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

	/** Returns whether the move can be carried out at once. */
	private unload(
		target: WorkspaceTarget,
		state: ModelState | AdapterState,
		artifact: Artifact,
		options: {readonly reason: string; readonly isPermittedNow: boolean},
	): boolean {
		const bytes = target.artifactBytes.get(artifact.key);
		forgetUnserved(state);
		target.desired.delete(artifact.key);
		target.artifactBytes.delete(artifact.key);
		target.usedBytes -= bytes ?? 0;
		if (artifact.key === state.artifact.key) {
			state.currentVersionHolders.delete(target);
			state.presentCurrentVersionHolders.delete(target);
		}

		const wasServingNow =
			state.presentHolders.has(target) || state.possibleHolders.has(target);
		if (!state.presentCurrentVersionHolders.has(target)) {
			state.presentHolders.delete(target);
		}

		if (!state.currentVersionHolders.has(target)) {
			state.holders.delete(target);
		}

		const isImmediate =
			options.isPermittedNow &&
			!target.loads.has(artifact.key) &&
			(!wasServingNow || this.servesNow(state));
		if (wasServingNow && !isImmediate) {
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

	private servesNow(state: ModelState | AdapterState): boolean {
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

	/** Keeps the expected load of the targets in step with a changed number of replicas. */
	private reviseLoad(state: ModelState, change: () => void): void {
		const spread = (sign: number) => {
			for (const target of state.replicas) {
				target.load +=
					(sign * state.demand) / state.replicas.size / target.slots;
			}
		};

		spread(-1);
		change();
		spread(1);
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
				currentlyUsedBytes: 0,
				artifactBytes: new Map(),
				desired: new Set(source.planned),
				loads: new Set(),
				models: new Set(),
				load: 0,
				cachedModels: source.cachedModels ?? new Set(),
			};
			this.targets.push(target);
			for (const [key, {bytes}] of source.held) {
				target.artifactBytes.set(key, bytes);
				target.usedBytes += bytes;
			}

			const unknown: Artifact[] = [];
			for (const key of source.planned) {
				const state = byName.get(nameOf(key));
				const heldBytes = source.held.get(key)?.bytes;
				if (!target.artifactBytes.has(key)) {
					const bytes = state?.artifact.bytes ?? 0;
					target.artifactBytes.set(key, bytes);
					target.usedBytes += bytes;
				}

				// An old version that is not in memory can never be loaded again.
				const isLostVersion =
					heldBytes === undefined && key !== state?.artifact.key;
				if (!state || isLostVersion) {
					const kind = key.startsWith('model/') ? 'model' : 'adapter';
					unknown.push({key, kind, bytes: target.artifactBytes.get(key) ?? 0});
					continue;
				}

				noteCopy(target, state, key, source.held.get(key));
			}

			target.currentlyUsedBytes = target.usedBytes;
			this.dropUnknown(target, unknown);
		}

		for (const state of this.models) {
			for (const target of state.replicas) {
				target.load += state.demand / state.replicas.size / target.slots;
			}
		}
	}

	private dropUnknown(
		target: WorkspaceTarget,
		artifacts: readonly Artifact[],
	): void {
		// Adapters sort before models, so no adapter stays on a target without its model.
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
				reason: 'not in the document any more',
				isImmediate: true,
			});
		}
	}
}

/** Enters a planned copy in the state of its model or adapter. */
function noteCopy(
	target: WorkspaceTarget,
	state: ModelState | AdapterState,
	key: ArtifactKey,
	held: HeldArtifact | undefined,
): void {
	const isCurrent = key === state.artifact.key;
	const isResident = held?.state === 'resident';
	if (held?.state === 'loading' || held?.isAnnounced === false) {
		// Reports are late, so the copy may serve already. It goes only after another one serves for certain.
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

function emptyCopies(artifact: Artifact): Copies {
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

/** Adapters that have no copy beside the current version of the model, in bytes. */
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

function forgetUnserved(state: ModelState | AdapterState): void {
	const model = 'adapters' in state ? state : state.base;
	model.cachedUnservedAdapterBytes = undefined;
}

function nameOf(key: ArtifactKey): string {
	return key.slice(0, key.lastIndexOf(versionSeparator));
}

function hasOther<T>(members: ReadonlySet<T>, member: T): boolean {
	return members.size > (members.has(member) ? 1 : 0);
}
