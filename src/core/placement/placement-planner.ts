import {type Artifact} from '../../contracts/artifact.js';
import {
	type Placement,
	type PlacementInput,
	PlacementPolicy,
} from './placement-policy.js';
import {type SlotSharing} from './slot-sharing.js';
import {
	PlacementWorkspace,
	unservedAdapterBytes,
	type ModelState,
	type WorkspaceTarget,
} from './placement-workspace.js';

/** Options of a {@link PlacementPlanner}. They limit the changes that are made for demand. */
export type PlannerOptions = {
	/** A new replica replaces others only if its gain minus its cost is at least this many times their loss. */
	readonly replacementFactor: number;
	/** Cost of a replacement in running requests. It is divided by the number of replicas of the model. */
	readonly moveCost: number;
	/** A model gets further replicas in spare memory only while it has more running requests per replica than this. */
	readonly minimumRequestsPerReplica: number;
	/** Limits the model loads for demand in one pass to the number that the weight store's rate allows in this time. */
	readonly horizonSeconds: number;
	/** Maximum number of replacements that are considered in one pass. */
	readonly maximumReplacements: number;
	/** Number of replicas that a model keeps when the demand for another model needs its memory. */
	readonly retainedReplicas: number;
	/** A model replaces replicas of other models only if it has more running requests per replica than this. */
	readonly replacementRequestsPerReplica: number;
	/** True when spare memory is used for demand first and for replicas in a second failure domain afterwards. */
	readonly isDemandFirst: boolean;
	/** Running requests per replica from which a busy model may evict the last replica of a dormant model. */
	readonly dormantRequestsPerReplica: number;
	/**
	 * A model without a replica evicts replicas of other models only if their loss is at most this many times its own
	 * requests. The limit grows while requests for the model wait.
	 */
	readonly firstReplicaFactor: number;
	/** Lets rarely requested models share targets with busy ones. Without it, first replicas are placed where the evicted replicas are missed least. */
	readonly slotSharing?: SlotSharing | undefined;
};

/** Default options of the planner. */
export const defaultPlannerOptions: PlannerOptions = {
	replacementFactor: 1.5,
	moveCost: 0.5,
	minimumRequestsPerReplica: 0.5,
	horizonSeconds: 10,
	// Bounds the duration of a pass at the design scale, where more replacements than this would pay off.
	maximumReplacements: 64,
	// With a second replica a model stays available after the loss of a target.
	retainedReplicas: 2,
	dormantRequestsPerReplica: 16,
	replacementRequestsPerReplica: 0.5,
	isDemandFirst: false,
	firstReplicaFactor: Number.POSITIVE_INFINITY,
};

/** Additional load, in running requests per slot, at which cached weights still make a target preferable to others. */
const weightStorePenalty = 0.3;

/** Growth of the limit for the first replica of a model, per squared second for which its requests have waited. */
const firstReplicaGrowth = 0.18;

/** Limits on the replicas that may be evicted to free memory. */
type EvictionOptions = {
	/** The model that needs the memory. Its own replicas are not evicted. */
	readonly beneficiary: ModelState;
	readonly floor: ReplicaFloor;
	/** Maximum loss of the evicted replicas, in running requests. Unlimited by default. */
	readonly maximumLoss?: number;
	/** Counts the requests that no longer run on the target as a loss. */
	readonly slotSharing?: SlotSharing | undefined;
};

/** Returns the number of replicas that a model keeps when memory is freed for another model. */
type ReplicaFloor = (state: ModelState) => number;

/** The steps that several policies share: version changes, reachability, minimum replicas and failure domains. */
abstract class StagedPlacementPolicy extends PlacementPolicy {
	constructor(
		/** True when demand is served before replicas are added in a second failure domain. */
		private readonly isDemandFirst = false,
		private readonly firstReplicaFactor = Number.POSITIVE_INFINITY,
		private readonly slotSharing?: SlotSharing,
	) {
		super();
	}

	plan(input: PlacementInput): Placement {
		const workspace = new PlacementWorkspace(input);
		workspace.removeObsoleteVersions(false);
		this.makeRoomForRelocations(workspace);
		this.placeModels(
			workspace,
			({model}) => Math.min(1, model.minimumReplicas),
			'the model has no replica',
			(state) => this.maximumLossForFirstReplica(state, input),
		);
		this.placeAdapters(workspace);
		this.placeModels(
			workspace,
			({model}) => model.minimumReplicas,
			'fewer replicas than the minimum',
			(state) =>
				state.replicas.size === 0
					? this.maximumLossForFirstReplica(state, input)
					: Number.POSITIVE_INFINITY,
		);
		if (this.isDemandFirst) {
			this.serveDemand(workspace);
			this.spreadAcrossFailureDomains(workspace);
		} else {
			this.spreadAcrossFailureDomains(workspace);
			this.serveDemand(workspace);
		}

		this.addSecondAdapterReplicas(workspace);
		workspace.removeObsoleteVersions(true);
		return workspace.result();
	}

	/**
	 * Adds a replica on the target with the lowest load, in a new failure domain if possible. Returns false when no target
	 * has enough memory.
	 */
	protected addReplica(
		workspace: PlacementWorkspace,
		state: ModelState,
		reason: string,
		reservesAdapterBytes = true,
	): boolean {
		const target = bestTarget(workspace, state, reservesAdapterBytes);
		if (!target) {
			return false;
		}

		workspace.load(target, state, reason);
		return true;
	}

	/** Uses spare memory for replicas that serve demand. */
	protected abstract serveDemand(workspace: PlacementWorkspace): void;

	/** Returns the maximum loss, in running requests, of replicas that are evicted for the first replica of a model. */
	private maximumLossForFirstReplica(
		{model, demand}: ModelState,
		{unservedMilliseconds}: PlacementInput,
	): number {
		const seconds = (unservedMilliseconds?.get(model.id) ?? 0) / 1000;
		return (
			this.firstReplicaFactor *
			Math.max(1, demand) *
			(1 + firstReplicaGrowth * seconds ** 2)
		);
	}

	/**
	 * Frees memory on other targets for adapters that only a target with an obsolete version of their model can serve, so
	 * that this version can be unloaded.
	 */
	private makeRoomForRelocations(workspace: PlacementWorkspace): void {
		for (const state of workspace.models) {
			for (const target of state.obsoleteVersions.keys()) {
				const bytes = workspace.strandedBytes(target, state);
				if (bytes === 0 || workspace.canRemoveModel(target, state)) {
					continue;
				}

				const required: Artifact = {...state.artifact, kind: 'adapter', bytes};
				[...state.holders].some(
					(other) =>
						other !== target &&
						state.replicas.has(other) &&
						evictUntilFits(workspace, other, required, {
							beneficiary: state,
							floor: () => 1,
						}),
				);
			}
		}

		workspace.removeObsoleteVersions(false);
	}

	private placeModels(
		workspace: PlacementWorkspace,
		minimum: ReplicaFloor,
		reason: string,
		maximumLossOf: (state: ModelState) => number = () =>
			Number.POSITIVE_INFINITY,
	): void {
		// Large models come first, because fewer targets have enough memory for them.
		const underReplicated = workspace.models
			.filter((state) => state.replicas.size < minimum(state))
			.sort(
				(left, right) =>
					right.artifact.bytes - left.artifact.bytes ||
					right.demand - left.demand,
			);
		for (const state of underReplicated) {
			while (state.replicas.size < minimum(state)) {
				if (this.addReplica(workspace, state, reason)) {
					continue;
				}

				const target =
					workspace.makeRoomForCurrentVersion(state) ??
					evictForReplica(workspace, state, {
						floor: minimum,
						maximumLoss: maximumLossOf(state),
						slotSharing: this.slotSharing,
						isForDemand: false,
					});
				// A model without its adapters is better than no model, so no memory is reserved for them here.
				if (
					!target &&
					state.holders.size === 0 &&
					this.addReplica(workspace, state, reason, false)
				) {
					continue;
				}

				if (!target) {
					workspace.recordUnplaced(
						state.artifact,
						'no target has enough memory, and no replica can be evicted without making another model or adapter unreachable',
					);
					break;
				}

				workspace.load(target, state, reason);
			}
		}
	}

	private placeAdapters(workspace: PlacementWorkspace): void {
		for (const adapter of workspace.adapters) {
			const {base} = adapter;
			const isServed = [...adapter.replicas].some(
				(target) => base.replicas.has(target) || base.holders.has(target),
			);
			if (isServed) {
				continue;
			}

			const holders = [...base.replicas, ...base.holders].sort(
				(left, right) => freeBytes(right) - freeBytes(left),
			);
			const target =
				holders.find((holder) => workspace.fits(holder, adapter.artifact)) ??
				holders.find((holder) =>
					evictUntilFits(workspace, holder, adapter.artifact, {
						beneficiary: base,
						floor: () => 1,
					}),
				);
			if (target) {
				workspace.load(target, adapter, 'the adapter has no replica');
				continue;
			}

			workspace.recordUnplaced(
				adapter.artifact,
				'no target that holds the model has enough memory',
			);
		}
	}

	private spreadAcrossFailureDomains(workspace: PlacementWorkspace): void {
		for (const state of byDemand(workspace)) {
			const domains = new Set(
				[...state.replicas].map(({failureDomain}) => failureDomain),
			);
			const target =
				domains.size === 1 ? bestTarget(workspace, state) : undefined;
			if (target && !domains.has(target.failureDomain)) {
				workspace.load(target, state, 'all replicas are in one failure domain');
			}
		}
	}

	/** Adds a second replica of each adapter where memory is left. */
	private addSecondAdapterReplicas(workspace: PlacementWorkspace): void {
		for (const state of byDemand(workspace)) {
			for (const adapter of state.adapters) {
				if (adapter.replicas.size !== 1) {
					continue;
				}

				const target = [...state.replicas].find(
					(replica) =>
						!adapter.replicas.has(replica) &&
						!adapter.obsoleteVersions.has(replica) &&
						workspace.fits(replica, adapter.artifact),
				);
				if (target) {
					workspace.load(target, adapter, 'second replica of the adapter');
				}
			}
		}
	}
}

/** Serves demand from spare memory and by replacements, with hysteresis and a cost for each replacement. */
export class PlacementPlanner extends StagedPlacementPolicy {
	constructor(
		private readonly options: PlannerOptions = defaultPlannerOptions,
	) {
		super(
			options.isDemandFirst,
			options.firstReplicaFactor,
			options.slotSharing,
		);
	}

	protected serveDemand(workspace: PlacementWorkspace): void {
		const budget =
			workspace.modelLoadCount +
			Math.max(
				workspace.limits.concurrentLoads,
				workspace.limits.loadsPerSecond * this.options.horizonSeconds,
			);
		const unsatisfied = this.fillSpareMemory(workspace, budget);
		let consideredReplacements = 0;
		for (const state of unsatisfied) {
			while (
				workspace.modelLoadCount < budget &&
				consideredReplacements < this.options.maximumReplacements
			) {
				consideredReplacements += 1;
				if (!this.replace(workspace, state)) {
					break;
				}
			}
		}

		this.options.slotSharing?.relieveOverload(workspace, budget);
	}

	/** Adds replicas in spare memory. Returns the models that lack memory for more, the largest gain per byte first. */
	private fillSpareMemory(
		workspace: PlacementWorkspace,
		budget: number,
	): ModelState[] {
		const candidates = new Set(
			workspace.models.filter((state) => this.needsReplica(state)),
		);
		const unsatisfied: ModelState[] = [];
		while (candidates.size > 0 && workspace.modelLoadCount < budget) {
			let best: ModelState | undefined;
			for (const state of candidates) {
				if (!best || replicaGain(state) > replicaGain(best)) {
					best = state;
				}
			}

			if (!best) {
				break;
			}

			if (!this.addReplica(workspace, best, 'demand')) {
				candidates.delete(best);
				unsatisfied.push(best);
			} else if (!this.needsReplica(best)) {
				candidates.delete(best);
			}
		}

		return unsatisfied.sort(
			(left, right) => replicaGain(right) - replicaGain(left),
		);
	}

	private needsReplica(state: ModelState): boolean {
		return (
			state.replicas.size > 0 &&
			state.demand / state.replicas.size >
				this.options.minimumRequestsPerReplica
		);
	}

	private replace(workspace: PlacementWorkspace, state: ModelState): boolean {
		const load = state.demand / state.replicas.size;
		if (
			!this.needsReplica(state) ||
			load <= this.options.replacementRequestsPerReplica
		) {
			return false;
		}

		const {replacementFactor, moveCost, retainedReplicas} = this.options;
		const gain = replicaGain(state) * state.artifact.bytes;
		// The gain of each further replica gets smaller, although the replica takes over a full share of the requests. A
		// constant cost would therefore stop all replacements in large pools.
		const cost = moveCost / state.replicas.size;
		const maximumLoss = (gain - cost) / replacementFactor;
		const canEvictLast = load >= this.options.dormantRequestsPerReplica;
		const target = evictForReplica(workspace, state, {
			floor: ({model}) =>
				model.minimumReplicas === 0 && canEvictLast
					? 0
					: Math.max(1, model.minimumReplicas, retainedReplicas),
			maximumLoss,
			isForDemand: true,
		});
		if (!target) {
			return false;
		}

		workspace.load(target, state, 'demand');
		return true;
	}
}

/** Follows current demand without hysteresis or a cost of replacements. A baseline for measurements. */
export class GreedyPlacementPolicy extends PlacementPolicy {
	private readonly planner = new PlacementPlanner({
		replacementFactor: 1,
		moveCost: 0,
		minimumRequestsPerReplica: 0,
		horizonSeconds: 10,
		maximumReplacements: 64,
		retainedReplicas: 2,
		dormantRequestsPerReplica: 16,
		replacementRequestsPerReplica: 0,
		isDemandFirst: false,
		firstReplicaFactor: Number.POSITIVE_INFINITY,
	});

	plan(input: PlacementInput): Placement {
		return this.planner.plan(input);
	}
}

/** Gives all models an equal number of replicas once and then only restores lost ones. A baseline for measurements. */
export class StaticPlacementPolicy extends StagedPlacementPolicy {
	protected serveDemand(workspace: PlacementWorkspace): void {
		const candidates = new Set(workspace.models);
		while (candidates.size > 0) {
			let fewest: ModelState | undefined;
			for (const state of candidates) {
				if (!fewest || state.replicas.size < fewest.replicas.size) {
					fewest = state;
				}
			}

			if (!fewest || !this.addReplica(workspace, fewest, 'equal share')) {
				candidates.delete(fewest!);
			}
		}
	}
}

/** Returns the running requests that a further replica takes over from each existing one, per byte. */
function replicaGain({demand, replicas, artifact}: ModelState): number {
	return demand / (replicas.size * (replicas.size + 1) * artifact.bytes);
}

/** Returns the additional running requests of each remaining replica when one is evicted. */
function replicaLoss({demand, replicas}: ModelState): number {
	return demand / (replicas.size * Math.max(1, replicas.size - 1));
}

/** Returns the free bytes minus those that unserved adapters of the models on the target need. */
function spareBytes(target: WorkspaceTarget): number {
	let bytes = freeBytes(target);
	for (const state of target.models) {
		bytes -= unservedAdapterBytes(state);
	}

	return bytes;
}

function freeBytes(target: WorkspaceTarget): number {
	return target.memoryBytes - target.usedBytes;
}

function byDemand(workspace: PlacementWorkspace): ModelState[] {
	return [...workspace.models].sort(
		(left, right) => right.demand - left.demand,
	);
}

/** Returns the best target for a further replica of a model, or undefined when none has enough memory. */
function bestTarget(
	workspace: PlacementWorkspace,
	state: ModelState,
	reservesAdapterBytes = true,
): WorkspaceTarget | undefined {
	const domains = new Set(
		[...state.replicas].map(({failureDomain}) => failureDomain),
	);
	let best: WorkspaceTarget | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	const reserve = reservesAdapterBytes ? unservedAdapterBytes(state) : 0;
	for (const target of workspace.targets) {
		if (state.replicas.has(target) || !workspace.fits(target, state.artifact)) {
			continue;
		}

		// A replica that is already in memory outweighs everything else, a new failure domain outweighs load, and free
		// memory breaks ties.
		const score =
			(target.artifactBytes.has(state.artifact.key) ? 0 : 1_000_000) +
			(domains.size < 2 && domains.has(target.failureDomain) ? 10_000 : 0) +
			(state.obsoleteVersions.has(target) ? 0 : 0.001) +
			(target.cachedModels.has(state.artifact.key) ? 0 : weightStorePenalty) +
			target.load -
			0.01 * (freeBytes(target) / Math.max(1, target.memoryBytes));
		const additional = target.artifactBytes.has(state.artifact.key)
			? 0
			: state.artifact.bytes;
		if (
			score < bestScore &&
			(!reservesAdapterBytes || spareBytes(target) >= additional + reserve)
		) {
			best = target;
			bestScore = score;
		}
	}

	return best;
}

/** Returns the models whose replica on the target may be evicted, the smallest loss per byte first. */
function evictable(
	workspace: PlacementWorkspace,
	target: WorkspaceTarget,
	options: EvictionOptions,
): ModelState[] {
	return [...target.models]
		.filter(
			(state) =>
				state !== options.beneficiary &&
				state.replicas.size > options.floor(state) &&
				replicaLoss(state) <=
					(options.maximumLoss ?? Number.POSITIVE_INFINITY) &&
				workspace.canRemoveModel(target, state),
		)
		.sort(
			(left, right) =>
				replicaLoss(left) / left.artifact.bytes -
				replicaLoss(right) / right.artifact.bytes,
		);
}

/** Evicts replicas from the target until the artifact fits. Returns whether it fits. */
function evictUntilFits(
	workspace: PlacementWorkspace,
	target: WorkspaceTarget,
	{key, kind, bytes}: Artifact,
	options: EvictionOptions,
): boolean {
	const spare = kind === 'model' ? spareBytes : freeBytes;
	const candidates = evictable(workspace, target, options);
	let available = spare(target);
	for (const candidate of candidates) {
		available += candidate.artifact.bytes;
	}

	if (available < bytes) {
		return false;
	}

	for (const candidate of candidates) {
		if (spare(target) >= bytes) {
			break;
		}

		// An earlier eviction may have used the memory to which the adapters of this model would be relocated.
		if (workspace.canRemoveModel(target, candidate)) {
			workspace.removeModel(target, candidate, `memory is needed for ${key}`);
		}
	}

	return spare(target) >= bytes;
}

/**
 * Frees memory for a replica on the target where that costs least, within a maximum loss. Returns the target, or undefined
 * when this is possible on none of the cheapest targets.
 */
function evictForReplica(
	workspace: PlacementWorkspace,
	state: ModelState,
	{
		isForDemand,
		...bounds
	}: Pick<EvictionOptions, 'floor' | 'maximumLoss' | 'slotSharing'> & {
		/** True when the replica serves demand in addition to others. It then gains nothing on a target that is already busy. */
		readonly isForDemand: boolean;
	},
): WorkspaceTarget | undefined {
	const options = {beneficiary: state, ...bounds};
	const {maximumLoss = Number.POSITIVE_INFINITY, slotSharing} = bounds;
	const bytes = state.artifact.bytes + unservedAdapterBytes(state);
	const choices: Array<{target: WorkspaceTarget; loss: number}> = [];
	for (const target of workspace.targets) {
		if (
			state.replicas.has(target) ||
			target.avoidedArtifacts.has(state.artifact.key)
		) {
			continue;
		}

		let available = spareBytes(target);
		let loss = 0;
		const evicted: ModelState[] = [];
		for (const candidate of evictable(workspace, target, options)) {
			if (available >= bytes) {
				break;
			}

			available += candidate.artifact.bytes;
			loss += replicaLoss(candidate);
			evicted.push(candidate);
		}

		loss += slotSharing?.idledRequests(target, evicted, state.demand) ?? 0;

		if (available >= bytes && loss <= maximumLoss) {
			choices.push({target, loss});
		}
	}

	const costOf = ({target, loss}: (typeof choices)[number]) =>
		isForDemand ? target.load + loss / target.slots : loss;
	choices.sort(
		(left, right) =>
			costOf(left) - costOf(right) ||
			Number(right.target.cachedModels.has(state.artifact.key)) -
				Number(left.target.cachedModels.has(state.artifact.key)) ||
			left.target.load - right.target.load,
	);
	for (const {target} of choices.slice(0, 4)) {
		if (
			evictUntilFits(workspace, target, {...state.artifact, bytes}, options)
		) {
			return target;
		}
	}

	return undefined;
}
