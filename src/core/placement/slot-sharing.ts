import {
	type ModelState,
	type PlacementWorkspace,
	type WorkspaceTarget,
} from './placement-workspace.js';

/** Options of {@link SlotSharing}. */
export type SlotSharingOptions = {
	/** Maximum number of exchanges in one pass. Each takes two loads. */
	readonly maximumExchanges: number;
	/** A model is rarely requested if it has at most this share of the slots of a target in running requests. */
	readonly rareSlotShare: number;
	/** A target has idle slots if the expected running requests take at most this share of its slots. */
	readonly idleSlotShare: number;
};

/** Default options. */
export const defaultSlotSharingOptions: SlotSharingOptions = {
	maximumExchanges: 8,
	rareSlotShare: 0.25,
	idleSlotShare: 0.5,
};

/**
 * Lets rarely requested models share targets with busy ones. All models of a target share its slots, so two rarely
 * requested models on one target leave slots idle that a busy model lacks. This happens while a backlog covers many
 * rarely requested models: each takes memory from a busy model, and in the end some targets hold nothing else.
 */
export class SlotSharing {
	constructor(
		private readonly options: SlotSharingOptions = defaultSlotSharingOptions,
	) {}

	/** Returns by how much the requests that run on a target fall when replicas are evicted there for a replica with the given share of requests. */
	idledRequests(
		target: WorkspaceTarget,
		evicted: readonly ModelState[],
		incomingRequests: number,
	): number {
		const before = target.load * target.slots;
		let after = before + incomingRequests;
		for (const state of evicted) {
			after -= requestsPerReplica(state);
		}

		return Math.max(
			0,
			Math.min(target.slots, before) - Math.min(target.slots, after),
		);
	}

	/** Moves rarely requested models from targets with idle slots to full ones, and gives their memory to overloaded models. */
	relieveOverload(workspace: PlacementWorkspace, loadBudget: number): void {
		for (
			let exchanges = 0;
			exchanges < this.options.maximumExchanges &&
			workspace.modelLoadCount < loadBudget;
			exchanges++
		) {
			if (!this.exchange(workspace)) {
				return;
			}
		}
	}

	/** Returns false when no exchange is possible. */
	private exchange(workspace: PlacementWorkspace): boolean {
		const idle = workspace.targets
			.filter(({load}) => load <= this.options.idleSlotShare)
			.sort((left, right) => left.load - right.load);
		if (idle.length === 0) {
			return false;
		}

		const overloaded = workspace.models
			.filter(
				(state) =>
					state.replicas.size > 0 &&
					[...state.replicas].every(({load}) => load > 1),
			)
			.sort(
				(left, right) => requestsPerReplica(right) - requestsPerReplica(left),
			);
		for (const target of idle) {
			for (const state of overloaded) {
				if (this.relieve(workspace, target, state, overloaded)) {
					return true;
				}
			}
		}

		return false;
	}

	private relieve(
		workspace: PlacementWorkspace,
		target: WorkspaceTarget,
		state: ModelState,
		overloaded: readonly ModelState[],
	): boolean {
		if (
			state.replicas.has(target) ||
			target.avoidedArtifacts.has(state.artifact.key)
		) {
			return false;
		}

		const missingBytes =
			target.usedBytes + state.artifact.bytes - target.memoryBytes;
		const rare = [...target.models]
			.filter(
				(other) =>
					other.replicas.size === 1 &&
					other.artifact.bytes >= missingBytes &&
					requestsPerReplica(other) <=
						target.slots * this.options.rareSlotShare &&
					// A replica that hosts may not know yet has only just been loaded.
					other.presentHolders.has(target),
			)
			.sort(
				(left, right) => requestsPerReplica(left) - requestsPerReplica(right),
			);
		for (const moved of rare) {
			if (!this.relocate(workspace, moved, target, overloaded)) {
				continue;
			}

			workspace.load(
				target,
				state,
				'the target has idle slots while all targets with the model are full',
			);
			return true;
		}

		return false;
	}

	/** Moves a rarely requested model to a full target that loses no running requests by it. Returns false when there is none. */
	private relocate(
		workspace: PlacementWorkspace,
		moved: ModelState,
		from: WorkspaceTarget,
		overloaded: readonly ModelState[],
	): boolean {
		const requests = requestsPerReplica(moved);
		// A load from the weight store takes several times as long, in which the model would be unreachable.
		const destinations = workspace.targets.filter(
			(target) =>
				target !== from &&
				target.load > 1 &&
				target.cachedModels.has(moved.artifact.key) &&
				!target.avoidedArtifacts.has(moved.artifact.key),
		);
		for (const target of destinations) {
			const evicted = [...target.models].find(
				(state) =>
					overloaded.includes(state) &&
					state.replicas.size > 1 &&
					target.usedBytes - state.artifact.bytes + moved.artifact.bytes <=
						target.memoryBytes &&
					this.idledRequests(target, [state], requests) < 1 &&
					workspace.canRemoveModel(target, state),
			);
			if (!evicted) {
				continue;
			}

			const reason = `memory is needed for ${moved.artifact.key}`;
			workspace.removeModel(target, evicted, reason);
			workspace.load(
				target,
				moved,
				'the model shares a full target instead of leaving slots idle',
			);
			workspace.removeModel(from, moved, 'the model moves to a full target');
			return true;
		}

		return false;
	}
}

function requestsPerReplica({demand, replicas}: ModelState): number {
	return demand / Math.max(1, replicas.size);
}
