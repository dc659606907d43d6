import {type Artifact} from '../contracts/artifact.js';
import {
	type Placement,
	type PlacementInput,
	PlacementPolicy,
} from './placement-policy.js';
import {
	PlacementWorkspace,
	unservedAdapterBytes,
	type ModelState,
	type WorkspaceTarget,
} from './placement-workspace.js';

/** Bounds on what a policy changes for the sake of demand. */
export type PlannerOptions = {
	/** A copy replaces another one only when it is worth this many times as much. */
	readonly replacementFactor: number;
	/** Running requests that a moved copy has to take over besides. The other copies of its model share its cost. */
	readonly moveCost: number;
	/** Spare copies go to a model only while one has more running requests than this. */
	readonly minimumRequestsPerReplica: number;
	/** Loads of models for the sake of demand in one pass, in seconds of the store's rate. */
	readonly horizonSeconds: number;
	/** Replacements looked at in one pass. */
	readonly maximumReplacements: number;
	/** Copies that a model keeps when another one needs its memory. */
	readonly retainedReplicas: number;
	/** Running requests for each copy from which a copy of another model is replaced. */
	readonly replacementRequestsPerReplica: number;
	/** True when spare memory goes to demand before it goes to copies in a second failure domain. */
	readonly isDemandFirst: boolean;
	/** Running requests for each copy of a busy model from which the last copy of a dormant one gives way. */
	readonly dormantRequestsPerReplica: number;
	/** A model without a copy takes a copy of a busy one only when that is worth at most this many times its own requests. Grows while its requests wait. */
	readonly firstReplicaFactor: number;
};

/** Settings of the planner in the product. */
export const defaultPlannerOptions: PlannerOptions = {
	replacementFactor: 1.5,
	moveCost: 0.5,
	minimumRequestsPerReplica: 0.5,
	horizonSeconds: 10,
	// Bounds the time of a pass at the design scale, where more replacements than this are worth it.
	maximumReplacements: 64,
	// A second copy lets a model outlive the loss of a target.
	retainedReplicas: 2,
	dormantRequestsPerReplica: 16,
	replacementRequestsPerReplica: 0.5,
	isDemandFirst: false,
	firstReplicaFactor: Number.POSITIVE_INFINITY,
};

/** Load of a target that a load from the weight store outweighs. */
const weightStoreScore = 0.3;

/** What may go to make room. */
type RoomOptions = {
	readonly keep: ModelState;
	readonly floor: Floor;
	/** Largest loss that the room is worth. */
	readonly limit?: number;
};

/** How many copies of a model are kept when room is made for another one. */
type Floor = (state: ModelState) => number;

/** The steps that all policies share: versions, reachability, minimum replicas and failure domains. */
abstract class StagedPlacementPolicy extends PlacementPolicy {
	constructor(
		/** True when demand comes before copies in a second failure domain. */
		private readonly isDemandFirst = false,
		private readonly firstCopyFactor = Number.POSITIVE_INFINITY,
	) {
		super();
	}

	plan(input: PlacementInput): Placement {
		const workspace = new PlacementWorkspace(input);
		workspace.removeObsoleteVersions(false);
		this.makeRefuges(workspace);
		this.placeModels(
			workspace,
			({model}) => Math.min(1, model.minimumReplicas),
			'the model has no copy',
			(state) => this.worthOfFirstCopy(state, input),
		);
		this.placeAdapters(workspace);
		this.placeModels(
			workspace,
			({model}) => model.minimumReplicas,
			'fewer copies than the minimum',
			(state) =>
				state.replicas.size === 0
					? this.worthOfFirstCopy(state, input)
					: Number.POSITIVE_INFINITY,
		);
		if (this.isDemandFirst) {
			this.serveDemand(workspace);
			this.spread(workspace);
		} else {
			this.spread(workspace);
			this.serveDemand(workspace);
		}

		this.copyAdapters(workspace);
		workspace.removeObsoleteVersions(true);
		return workspace.result();
	}

	/** Loads another copy where the load is lowest, in a new failure domain if possible. */
	protected addReplica(
		workspace: PlacementWorkspace,
		state: ModelState,
		reason: string,
		isReserving = true,
	): boolean {
		const target = bestTarget(workspace, state, isReserving);
		if (!target) {
			return false;
		}

		workspace.load(target, state, reason);
		return true;
	}

	/** Gives spare memory to demand. */
	protected abstract serveDemand(workspace: PlacementWorkspace): void;

	/** Running requests of another model for which its copy still gives way to the first one of this model. */
	private worthOfFirstCopy(
		{model, demand}: ModelState,
		{unservedMilliseconds: lackingMilliseconds}: PlacementInput,
	): number {
		const seconds = (lackingMilliseconds?.get(model.id) ?? 0) / 1000;
		return this.firstCopyFactor * Math.max(1, demand) * (1 + 2 * seconds ** 2);
	}

	/** Frees room for the adapters that keep an old version of their model in memory. */
	private makeRefuges(workspace: PlacementWorkspace): void {
		for (const state of workspace.models) {
			for (const target of state.obsoleteVersions.keys()) {
				const bytes = workspace.strandedBytes(target, state);
				if (bytes === 0 || workspace.canRemoveModel(target, state)) {
					continue;
				}

				const room: Artifact = {...state.artifact, kind: 'adapter', bytes};
				[...state.holders].some(
					(other) =>
						other !== target &&
						state.replicas.has(other) &&
						freeFor(workspace, other, room, {keep: state, floor: () => 1}),
				);
			}
		}

		workspace.removeObsoleteVersions(false);
	}

	private placeModels(
		workspace: PlacementWorkspace,
		minimum: Floor,
		reason: string,
		worth: (state: ModelState) => number = () => Number.POSITIVE_INFINITY,
	): void {
		// Large models first, because they find room in fewer places.
		const lacking = workspace.models
			.filter((state) => state.replicas.size < minimum(state))
			.sort(
				(left, right) =>
					right.artifact.bytes - left.artifact.bytes ||
					right.demand - left.demand,
			);
		for (const state of lacking) {
			while (state.replicas.size < minimum(state)) {
				if (this.addReplica(workspace, state, reason)) {
					continue;
				}

				const target =
					workspace.makeRoomForCurrentVersion(state) ??
					makeRoom(workspace, state, {
						floor: minimum,
						limit: worth(state),
						isForDemand: false,
					});
				// A model without its adapters is better than no model.
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
						'no target has room, and no copy can go without making another model or adapter unreachable',
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

			const hosts = [...base.replicas, ...base.holders].sort(
				(left, right) => freeBytes(right) - freeBytes(left),
			);
			const target =
				hosts.find((host) => workspace.fits(host, adapter.artifact)) ??
				hosts.find((host) =>
					freeFor(workspace, host, adapter.artifact, {
						keep: base,
						floor: () => 1,
					}),
				);
			if (target) {
				workspace.load(target, adapter, 'the adapter has no copy');
				continue;
			}

			workspace.recordUnplaced(
				adapter.artifact,
				'no target that holds the model has room',
			);
		}
	}

	private spread(workspace: PlacementWorkspace): void {
		for (const state of byDemand(workspace)) {
			const domains = new Set(
				[...state.replicas].map(({failureDomain}) => failureDomain),
			);
			const target =
				domains.size === 1 ? bestTarget(workspace, state) : undefined;
			if (target && !domains.has(target.failureDomain)) {
				workspace.load(target, state, 'all copies in one failure domain');
			}
		}
	}

	/** A second copy of each adapter, where memory is left. */
	private copyAdapters(workspace: PlacementWorkspace): void {
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
					workspace.load(target, adapter, 'second copy of the adapter');
				}
			}
		}
	}
}

/** Gives spare memory to demand, with hysteresis and a cost for each move. */
export class PlacementPlanner extends StagedPlacementPolicy {
	constructor(
		private readonly options: PlannerOptions = defaultPlannerOptions,
	) {
		super(options.isDemandFirst, options.firstReplicaFactor);
	}

	protected serveDemand(workspace: PlacementWorkspace): void {
		const budget =
			workspace.modelLoadCount +
			Math.max(
				workspace.limits.concurrentLoads,
				workspace.limits.loadsPerSecond * this.options.horizonSeconds,
			);
		const blocked = this.fillSpareMemory(workspace, budget);
		let attempts = 0;
		for (const state of blocked) {
			while (
				workspace.modelLoadCount < budget &&
				attempts < this.options.maximumReplacements
			) {
				attempts += 1;
				if (!this.replace(workspace, state)) {
					break;
				}
			}
		}
	}

	/** Returns the models that found no room, the most valuable first. */
	private fillSpareMemory(
		workspace: PlacementWorkspace,
		budget: number,
	): ModelState[] {
		const open = new Set(workspace.models.filter((state) => this.wants(state)));
		const blocked: ModelState[] = [];
		while (open.size > 0 && workspace.modelLoadCount < budget) {
			let best: ModelState | undefined;
			for (const state of open) {
				if (!best || gainOfCopy(state) > gainOfCopy(best)) {
					best = state;
				}
			}

			if (!best) {
				break;
			}

			if (!this.addReplica(workspace, best, 'demand')) {
				open.delete(best);
				blocked.push(best);
			} else if (!this.wants(best)) {
				open.delete(best);
			}
		}

		return blocked.sort((left, right) => gainOfCopy(right) - gainOfCopy(left));
	}

	private wants(state: ModelState): boolean {
		return (
			state.replicas.size > 0 &&
			state.demand / state.replicas.size >
				this.options.minimumRequestsPerReplica
		);
	}

	private replace(workspace: PlacementWorkspace, state: ModelState): boolean {
		const load = state.demand / state.replicas.size;
		if (
			!this.wants(state) ||
			load <= this.options.replacementRequestsPerReplica
		) {
			return false;
		}

		const {
			replacementFactor,
			moveCost,
			retainedReplicas: keptCopies,
		} = this.options;
		const gain = gainOfCopy(state) * state.artifact.bytes;
		// Further copies of a model gain less and less, although each takes over a whole share of its
		// requests. A cost that did not shrink with them would stop all replacements in large pools.
		const cost = moveCost / state.replicas.size;
		const limit = (gain - cost) / replacementFactor;
		const mayTakeLast = load >= this.options.dormantRequestsPerReplica;
		const target = makeRoom(workspace, state, {
			floor: ({model}) =>
				model.minimumReplicas === 0 && mayTakeLast
					? 0
					: Math.max(1, model.minimumReplicas, keptCopies),
			limit,
			isForDemand: true,
		});
		if (!target) {
			return false;
		}

		workspace.load(target, state, 'demand');
		return true;
	}
}

/** Follows the demand of the moment without hysteresis or a cost of moves. A baseline for measurements. */
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

/** Gives each model the same share of memory once and then only repairs. A baseline for measurements. */
export class StaticPlacementPolicy extends StagedPlacementPolicy {
	protected serveDemand(workspace: PlacementWorkspace): void {
		const open = new Set(workspace.models);
		while (open.size > 0) {
			let fewest: ModelState | undefined;
			for (const state of open) {
				if (!fewest || state.replicas.size < fewest.replicas.size) {
					fewest = state;
				}
			}

			if (!fewest || !this.addReplica(workspace, fewest, 'equal share')) {
				open.delete(fewest!);
			}
		}
	}
}

/** Running requests that a further copy takes over, for each byte. */
function gainOfCopy({demand, replicas, artifact}: ModelState): number {
	return demand / (replicas.size * (replicas.size + 1) * artifact.bytes);
}

/** Running requests that the remaining copies take over when one goes. */
function lossOfCopy({demand, replicas}: ModelState): number {
	return demand / (replicas.size * Math.max(1, replicas.size - 1));
}

/** Free bytes without those that adapters of the models on the target will need. */
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

function bestTarget(
	workspace: PlacementWorkspace,
	state: ModelState,
	isReserving = true,
): WorkspaceTarget | undefined {
	const domains = new Set(
		[...state.replicas].map(({failureDomain}) => failureDomain),
	);
	let best: WorkspaceTarget | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	const reserve = isReserving ? unservedAdapterBytes(state) : 0;
	for (const target of workspace.targets) {
		if (state.replicas.has(target) || !workspace.fits(target, state.artifact)) {
			continue;
		}

		// A copy that is in memory costs nothing, a new failure domain outweighs load, and free
		// memory breaks ties.
		const score =
			(target.artifactBytes.has(state.artifact.key) ? 0 : 1_000_000) +
			(domains.size < 2 && domains.has(target.failureDomain) ? 10_000 : 0) +
			(state.obsoleteVersions.has(target) ? 0 : 0.001) +
			(target.cachedModels.has(state.artifact.key) ? 0 : weightStoreScore) +
			target.load -
			0.01 * (freeBytes(target) / Math.max(1, target.memoryBytes));
		const additional = target.artifactBytes.has(state.artifact.key)
			? 0
			: state.artifact.bytes;
		if (
			score < bestScore &&
			(!isReserving || spareBytes(target) >= additional + reserve)
		) {
			best = target;
			bestScore = score;
		}
	}

	return best;
}

/** Copies on the target that may go, the least valuable for each byte first. */
function removable(
	workspace: PlacementWorkspace,
	target: WorkspaceTarget,
	options: RoomOptions,
): ModelState[] {
	return [...target.models]
		.filter(
			(state) =>
				state !== options.keep &&
				state.replicas.size > options.floor(state) &&
				lossOfCopy(state) <= (options.limit ?? Number.POSITIVE_INFINITY) &&
				workspace.canRemoveModel(target, state),
		)
		.sort(
			(left, right) =>
				lossOfCopy(left) / left.artifact.bytes -
				lossOfCopy(right) / right.artifact.bytes,
		);
}

/** Removes copies from the target until the artifact fits. */
function freeFor(
	workspace: PlacementWorkspace,
	target: WorkspaceTarget,
	{key, kind, bytes}: Artifact,
	options: RoomOptions,
): boolean {
	const spare = kind === 'model' ? spareBytes : freeBytes;
	const candidates = removable(workspace, target, options);
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

		// An earlier removal can have taken the room that this one's adapters needed.
		if (workspace.canRemoveModel(target, candidate)) {
			workspace.removeModel(target, candidate, `room for ${key} is needed`);
		}
	}

	return spare(target) >= bytes;
}

/** Frees room for a copy on the target where the removed copies are worth the least, up to a limit. */
function makeRoom(
	workspace: PlacementWorkspace,
	state: ModelState,
	{
		isForDemand,
		...bounds
	}: Pick<RoomOptions, 'floor' | 'limit'> & {
		/** True when the copy serves demand beside others: it gains nothing on a target that is busy with other models. */
		readonly isForDemand: boolean;
	},
): WorkspaceTarget | undefined {
	const options = {keep: state, ...bounds};
	const {limit = Number.POSITIVE_INFINITY} = bounds;
	const bytes = state.artifact.bytes + unservedAdapterBytes(state);
	const choices: Array<{target: WorkspaceTarget; loss: number}> = [];
	for (const target of workspace.targets) {
		if (state.replicas.has(target)) {
			continue;
		}

		let available = spareBytes(target);
		let loss = 0;
		for (const candidate of removable(workspace, target, options)) {
			if (available >= bytes) {
				break;
			}

			available += candidate.artifact.bytes;
			loss += lossOfCopy(candidate);
		}

		if (available >= bytes && loss <= limit) {
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
		if (freeFor(workspace, target, {...state.artifact, bytes}, options)) {
			return target;
		}
	}

	return undefined;
}
