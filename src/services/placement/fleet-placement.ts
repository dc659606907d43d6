import {type ResultAsync} from 'neverthrow';
import {Disposable} from '../../base/common/disposable.js';
import {
	adapterArtifact,
	modelArtifact,
	type Artifact,
} from '../../contracts/artifact.js';
import {type OrderIntent} from '../../contracts/control-record.js';
import {
	type FleetDocument,
	type Pool,
	type TargetDefinition,
} from '../../contracts/fleet-document.js';
import {
	type ArtifactKey,
	type FailureDomain,
	type FencingToken,
	type IncarnationId,
	type LeaseName,
	type ModelId,
	type OrderId,
	type PoolName,
	type TargetId,
} from '../../contracts/ids.js';
import {type LogError} from '../../contracts/log-service.js';
import {groupLeaseName, planLeaseName} from '../../core/leases/lease-names.js';
import {PlacementPlanner} from '../../core/placement/placement-planner.js';
import {
	type PlacementInput,
	type PlacementTarget,
} from '../../core/placement/placement-policy.js';
import {ResidencyTracker} from '../../core/placement/residency-tracker.js';
import {type LeaseManager} from '../lease-manager.js';
import {type LogFollower} from '../log-follower.js';
import {type ServiceOptions} from '../service-options.js';
import {
	type TrackedTarget,
	type TargetDirectory,
} from '../targets/target-directory.js';
import {
	GroupReconciler,
	GroupView,
	type GroupDefinition,
} from './group-reconciler.js';
import {PlacementTask, PlanLease, PoolView} from './placement-task.js';
import {GroupLease} from './target-reconciler.js';

/** Dependencies of the placement control loops of one host. */
export type FleetPlacementOptions = ServiceOptions & {
	readonly incarnation: IncarnationId;
	readonly follower: LogFollower;
	readonly leases: LeaseManager;
	readonly targets: TargetDirectory;
	/** Number of running and waiting requests of each model, summed over all hosts. */
	readonly demand: () => ReadonlyMap<ModelId, number>;
	/** Creates an order id that is unique in the fleet. */
	readonly newOrderId: () => OrderId;
};

// The planner treats a target as dead once its newest report is older than this. Shorter gaps are delayed reports.
const reportTimeoutMilliseconds = 10_000;
// Time for which a replica must have been resident before it may replace another one. Hosts that do not
// hold the group lease learn of a new replica only through a delayed report and a heartbeat once a second.
// If the old replica were unloaded earlier, requests on these hosts would find neither of the two.
const announcementDelayMilliseconds = 3000;

/**
 * Runs a reconciler for each target group and a planning task for each engine pool of the document.
 * Each of them acts only while this host holds its lease.
 */
export class FleetPlacement extends Disposable {
	private readonly reconcilers = new Map<LeaseName, GroupReconciler>();
	private readonly planningTasks = new Map<LeaseName, PlacementTask>();
	private artifacts: ReadonlyMap<ArtifactKey, Artifact> = new Map();
	private baseModels: ReadonlyMap<ArtifactKey, ArtifactKey> = new Map();
	private readonly startedAt: number;

	constructor(private readonly options: FleetPlacementOptions) {
		super();
		this.startedAt = options.clock.monotonic();
	}

	/** Starts the reconcilers and planning tasks that the document requires and stops all others. */
	applyDocument(document: FleetDocument): void {
		this.indexArtifacts(document);
		const pools = document.pools.filter((pool) => pool.kind === 'engine');
		const requiredLeases = new Set<LeaseName>();
		for (const pool of pools) {
			const planLease = planLeaseName(pool.name);
			requiredLeases.add(planLease);
			this.ensurePlanningTask(planLease, pool.name);
			for (const {failureDomain} of pool.targets) {
				const groupLease = groupLeaseName(pool.name, failureDomain);
				requiredLeases.add(groupLease);
				this.ensureReconciler(groupLease, pool.name, failureDomain);
			}
		}

		for (const loops of [this.reconcilers, this.planningTasks]) {
			for (const [lease, loop] of loops) {
				if (!requiredLeases.has(lease)) {
					loops.delete(lease);
					loop.dispose();
				}
			}
		}
	}

	/** Memory in bytes that is charged to a target, or undefined if this host does not reconcile its group. */
	chargedBytes(target: TrackedTarget): number | undefined {
		const lease = groupLeaseName(
			target.pool.name,
			target.definition.failureDomain,
		);
		return this.reconcilers.get(lease)?.reconcilerOf(target.definition.id)
			?.ledger.chargedBytes;
	}

	/** True if this host holds the group lease of a target and therefore collects its reports. */
	ownsGroupOf(target: TrackedTarget): boolean {
		const lease = groupLeaseName(
			target.pool.name,
			target.definition.failureDomain,
		);
		return this.options.leases.heldLeases.has(lease);
	}

	dispose(): void {
		for (const loop of [
			...this.reconcilers.values(),
			...this.planningTasks.values(),
		]) {
			loop.dispose();
		}

		this.reconcilers.clear();
		this.planningTasks.clear();
	}

	private indexArtifacts(document: FleetDocument): void {
		const artifacts = new Map<ArtifactKey, Artifact>();
		const baseModels = new Map<ArtifactKey, ArtifactKey>();
		const modelKeys = new Map<ModelId, ArtifactKey>();
		for (const model of document.models) {
			const artifact = modelArtifact(model);
			artifacts.set(artifact.key, artifact);
			modelKeys.set(model.id, artifact.key);
		}

		for (const adapter of document.adapters) {
			const artifact = adapterArtifact(adapter);
			artifacts.set(artifact.key, artifact);
			const baseModel = modelKeys.get(adapter.model);
			if (baseModel) {
				baseModels.set(artifact.key, baseModel);
			}
		}

		this.artifacts = artifacts;
		this.baseModels = baseModels;
	}

	private ensureReconciler(
		name: LeaseName,
		pool: PoolName,
		failureDomain: FailureDomain,
	): void {
		if (this.reconcilers.has(name)) {
			return;
		}

		const {follower, leases, targets} = this.options;
		const reconciler = new GroupReconciler({
			...this.options,
			log: follower,
			lease: new ManagedGroupLease(name, leases),
			view: new ControlStateGroupView({
				follower,
				pool,
				failureDomain,
				artifact: (key) => this.artifacts.get(key),
				baseModelOf: (key) => this.baseModels.get(key),
			}),
			engineOf: (definition) => engineOf(targets, definition),
		});
		reconciler.reportReceived.subscribe((report) => {
			targets.observeReport(report, 0);
		});
		this.reconcilers.set(name, reconciler);
		reconciler.start();
	}

	private ensurePlanningTask(name: LeaseName, pool: PoolName): void {
		if (this.planningTasks.has(name)) {
			return;
		}

		const {follower, leases, targets, demand, clock, events} = this.options;
		const task = new PlacementTask({
			pool,
			lease: new ManagedPlanLease(name, leases),
			view: new ControlStatePoolView({
				follower,
				targets,
				pool,
				demand,
				now: () => clock.monotonic(),
				startedAt: this.startedAt,
			}),
			log: follower,
			policy: new PlacementPlanner(),
			clock,
			events,
		});
		this.planningTasks.set(name, task);
		task.start();
	}
}

/** A group lease whose state is read from the leases of this host. */
class ManagedGroupLease extends GroupLease {
	constructor(
		readonly name: LeaseName,
		private readonly leases: LeaseManager,
	) {
		super();
	}

	token(): FencingToken | undefined {
		return this.leases.heldLeases.get(this.name);
	}

	isConfirmed(): boolean {
		return this.leases.isConfirmed(this.name);
	}

	reclaim(reason: string): ResultAsync<FencingToken, LogError> {
		return this.leases.reclaim(this.name, reason);
	}
}

/** A plan lease whose state is read from the leases of this host. */
class ManagedPlanLease extends PlanLease {
	constructor(
		private readonly name: LeaseName,
		private readonly leases: LeaseManager,
	) {
		super();
	}

	token(): FencingToken | undefined {
		return this.leases.heldLeases.get(this.name);
	}
}

type ControlStateGroupViewOptions = {
	readonly follower: LogFollower;
	readonly pool: PoolName;
	readonly failureDomain: FailureDomain;
	readonly artifact: (key: ArtifactKey) => Artifact | undefined;
	readonly baseModelOf: (adapter: ArtifactKey) => ArtifactKey | undefined;
};

/** Describes a group from the current control state. */
class ControlStateGroupView extends GroupView {
	constructor(private readonly options: ControlStateGroupViewOptions) {
		super();
	}

	group(): GroupDefinition | undefined {
		const {follower, pool: name, failureDomain} = this.options;
		const {document} = follower.control;
		const pool = document && findPool(document, name);
		if (!document || !pool) {
			return undefined;
		}

		const groups = sortedGroupNames(document);
		return {
			honoursFencing: pool.honoursFencing,
			targets: pool.targets.filter(
				(target) => target.failureDomain === failureDomain,
			),
			limits: document.weightStore,
			share: {
				index: groups.indexOf(groupLeaseName(name, failureDomain)),
				count: groups.length,
			},
		};
	}

	plannedArtifacts(target: TargetId): ReadonlySet<ArtifactKey> | undefined {
		const plan = this.options.follower.control.plans.get(this.options.pool);
		return plan && new Set(plan.targets.get(target)?.keys());
	}

	openIntents(target: TargetId): readonly OrderIntent[] {
		return this.options.follower.control.openIntents.get(target) ?? [];
	}

	artifact(key: ArtifactKey): Artifact | undefined {
		return this.options.artifact(key);
	}

	baseModelOf(adapter: ArtifactKey): ArtifactKey | undefined {
		return this.options.baseModelOf(adapter);
	}
}

type ControlStatePoolViewOptions = {
	readonly follower: LogFollower;
	readonly targets: TargetDirectory;
	readonly pool: PoolName;
	readonly demand: () => ReadonlyMap<ModelId, number>;
	readonly now: () => number;
	readonly startedAt: number;
};

/** Describes a pool from the current control state and the newest reports of its targets. */
class ControlStatePoolView extends PoolView {
	private readonly residency = new ResidencyTracker<TargetId>();

	constructor(private readonly options: ControlStatePoolViewOptions) {
		super();
	}

	placementInput(): Omit<PlacementInput, 'demand'> | undefined {
		const {follower, pool: name, targets, now, startedAt} = this.options;
		const {document} = follower.control;
		if (!document || !findPool(document, name)) {
			return undefined;
		}

		const trackedTargets = targets.targetsInPool(name);
		const isReported = trackedTargets.every(
			(target) => target.report !== undefined,
		);
		// After the timeout, planning starts even without some reports, because a target that never reports
		// must not block its pool.
		if (!isReported && now() - startedAt < reportTimeoutMilliseconds) {
			return undefined;
		}

		const models = document.models.filter((model) => model.pool === name);
		const modelIds = new Set(models.map((model) => model.id));
		return {
			models,
			adapters: document.adapters.filter((adapter) =>
				modelIds.has(adapter.model),
			),
			targets: trackedTargets.map((target) => this.toPlacementTarget(target)),
			limits: document.weightStore,
		};
	}

	demand(): ReadonlyMap<ModelId, number> {
		return this.options.demand();
	}

	private toPlacementTarget(target: TrackedTarget): PlacementTarget {
		const {definition, report} = target;
		const {control} = this.options.follower;
		const planned = new Set(
			control.plans.get(this.options.pool)?.targets.get(definition.id)?.keys(),
		);
		const now = this.options.now();
		if (report) {
			this.residency.observe(definition.id, report, now);
		}

		const held = new Map(
			(report?.artifacts ?? []).map(({key, bytes, state}) => [
				key,
				{
					bytes,
					state,
					isAnnounced:
						state !== 'resident' ||
						this.residency.residentMilliseconds(definition.id, key, now) >=
							announcementDelayMilliseconds,
				},
			]),
		);
		let reservedBytes = 0;
		for (const intent of control.openIntents.get(definition.id) ?? []) {
			const isCounted =
				held.has(intent.artifact) || planned.has(intent.artifact);
			reservedBytes +=
				intent.action === 'load' && !isCounted ? intent.bytes : 0;
		}

		return {
			id: definition.id,
			failureDomain: definition.failureDomain,
			memoryBytes: definition.memoryBytes,
			slots: definition.slots,
			state: this.stateOf(target),
			held,
			reservedBytes,
			planned,
		};
	}

	private stateOf(target: TrackedTarget): PlacementTarget['state'] {
		if (target.unavailabilityReason === 'leaving') {
			return 'leaving';
		}

		const reportAgeMilliseconds = this.options.now() - target.reportedAt;
		return reportAgeMilliseconds > reportTimeoutMilliseconds ? 'dead' : 'live';
	}
}

function findPool(document: FleetDocument, name: PoolName): Pool | undefined {
	return document.pools.find((pool) => pool.name === name);
}

// Cached per document: every group reconciler needs the names four times a second, and a document has a
// thousand targets at the design scale.
const groupNamesByDocument = new WeakMap<FleetDocument, readonly LeaseName[]>();

function sortedGroupNames(document: FleetDocument): readonly LeaseName[] {
	const cached = groupNamesByDocument.get(document);
	if (cached) {
		return cached;
	}

	const names = new Set<LeaseName>();
	for (const pool of document.pools) {
		if (pool.kind !== 'engine') {
			continue;
		}

		for (const {failureDomain} of pool.targets) {
			names.add(groupLeaseName(pool.name, failureDomain));
		}
	}

	const sorted = [...names].sort();
	groupNamesByDocument.set(document, sorted);
	return sorted;
}

function engineOf(targets: TargetDirectory, definition: TargetDefinition) {
	const engine = targets.target(definition.id)?.engine;
	if (!engine) {
		throw new TypeError(
			`target ${definition.id} is not connected as an engine`,
		);
	}

	return engine;
}
