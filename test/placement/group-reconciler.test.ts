import assert from 'node:assert/strict';
import {test} from 'node:test';
import {errAsync, ok, okAsync, ResultAsync} from 'neverthrow';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	adapterArtifact,
	modelArtifact,
	type Artifact,
} from '../../src/contracts/artifact.js';
import {
	ControlLog,
	type ApplyOutcome,
} from '../../src/contracts/control-log.js';
import {type ControlRecord} from '../../src/contracts/control-record.js';
import {
	Engine,
	type EngineOrder,
	type OrderAcknowledgement,
	type ResidentArtifact,
	type TargetReport,
} from '../../src/contracts/engine.js';
import {
	fleetDocumentSchema,
	type FleetDocument,
	type TargetDefinition,
} from '../../src/contracts/fleet-document.js';
import {
	type ArtifactKey,
	type FailureDomain,
	type FencingToken,
	type HostId,
	type IncarnationId,
	type LogOffset,
	type OrderId,
	type PoolName,
	type RecordId,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {
	LogUnavailableError,
	type LogError,
} from '../../src/contracts/log-service.js';
import {
	TargetResponseLostError,
	TargetRefusedError,
	type TargetError,
} from '../../src/contracts/target-error.js';
import {ControlState} from '../../src/core/documents/control-state.js';
import {SchemaOnlyDocumentValidator} from '../../src/core/documents/document-validator.js';
import {
	groupLeaseName,
	planLeaseName,
} from '../../src/core/leases/lease-names.js';
import {PlacementPlanner} from '../../src/core/placement/placement-planner.js';
import {type PlacementTarget} from '../../src/core/placement/placement-policy.js';
import {
	GroupReconciler,
	GroupView,
	type GroupDefinition,
} from '../../src/services/placement/group-reconciler.js';
import {
	PlacementTask,
	PlanLease,
	PoolView,
} from '../../src/services/placement/placement-task.js';
import {GroupLease} from '../../src/services/placement/target-reconciler.js';

const poolName = 'p' as PoolName;
const domain = 'd' as FailureDomain;
const incarnation = 'h.1' as IncarnationId;

/** Acknowledges orders at once and completes them in `finish`. */
class FakeEngine extends Engine {
	generate = this.unused;
	resume = this.unused;
	cancel = this.unused;
	fetchCacheEvents = this.unused;
	exportCache = this.unused;
	importCache = this.unused;
	ping = this.unused;
	dropConnections = this.unused;

	readonly artifacts = new Map<ArtifactKey, ResidentArtifact>();
	mode: 'normal' | 'refuse' | 'lose-order' | 'lose-response' = 'normal';
	highestBytes = 0;
	orderCount = 0;
	private incarnationNumber = 1;
	private sequence = 0;
	private highestToken = 0;
	private appliedOrders: OrderId[] = [];

	constructor(
		private readonly definition: TargetDefinition,
		private readonly honoursFencing: boolean,
	) {
		super();
	}

	currentReport(): TargetReport {
		return {
			target: this.definition.id,
			incarnation:
				`${this.definition.id}.${this.incarnationNumber}` as TargetIncarnation,
			sequence: this.sequence,
			leaving: false,
			role: 'mixed',
			memoryBytes: this.definition.memoryBytes,
			artifacts: [...this.artifacts.values()],
			highestToken: this.highestToken as FencingToken,
			running: 0,
			queued: 0,
			slots: 8,
			appliedOrders: [...this.appliedOrders],
		};
	}

	/** Completes all loads and unloads. */
	finish(): void {
		for (const [key, artifact] of this.artifacts) {
			if (artifact.state === 'unloading') {
				this.artifacts.delete(key);
			} else {
				this.artifacts.set(key, {...artifact, state: 'resident'});
			}
		}

		this.sequence += 1;
	}

	restart(): void {
		this.artifacts.clear();
		this.appliedOrders = [];
		this.incarnationNumber += 1;
		this.sequence = 0;
	}

	fetchReport(): ResultAsync<TargetReport, TargetError> {
		return okAsync(this.currentReport());
	}

	sendOrder(
		order: EngineOrder,
	): ResultAsync<OrderAcknowledgement, TargetError> {
		const {mode} = this;
		if (order.action !== 'fence') {
			this.orderCount += 1;
		}

		if (this.honoursFencing && order.token < this.highestToken) {
			return errAsync(new TargetRefusedError('stale-token', 'older token'));
		}

		if (mode === 'refuse') {
			return errAsync(new TargetRefusedError('busy', 'busy'));
		}

		if (mode !== 'lose-order') {
			this.accept(order);
		}

		return mode === 'normal'
			? okAsync({orderId: order.orderId, report: this.currentReport()})
			: errAsync(new TargetResponseLostError('timeout', 'no response'));
	}

	private accept(order: EngineOrder): void {
		this.highestToken = Math.max(this.highestToken, order.token);
		if (order.action === 'load' && !this.artifacts.has(order.artifact)) {
			const {artifact: key, bytes} = order;
			this.artifacts.set(key, {key, bytes, state: 'loading'});
		} else if (order.action === 'unload') {
			const artifact = this.artifacts.get(order.artifact);
			if (artifact) {
				this.artifacts.set(order.artifact, {...artifact, state: 'unloading'});
			}
		}

		this.sequence += 1;
		this.appliedOrders = [...this.appliedOrders, order.orderId].slice(-8);
		let usedBytes = 0;
		for (const artifact of this.artifacts.values()) {
			usedBytes += artifact.bytes;
		}

		this.highestBytes = Math.max(this.highestBytes, usedBytes);
	}

	private unused(): never {
		throw new Error('not used by these tests');
	}
}

/** One host with a control log and state, a group of targets, its reconciler and the planning task. */
class Fleet extends ControlLog {
	readonly control = new ControlState(new SchemaOnlyDocumentValidator());
	readonly clock = new ManualClock();
	readonly engines = new Map<TargetId, FakeEngine>();
	readonly reconciler: GroupReconciler;
	readonly planningTask: PlacementTask;
	isLogUnavailable = false;
	isLeaseUncertain = false;
	readonly lease = groupLeaseName(poolName, domain);
	private offset = 0;
	private orderCount = 0;

	constructor(
		private readonly honoursFencing: boolean,
		readonly random: SeededRandomSource,
	) {
		super();
		const {clock} = this;
		const dependencies = {
			clock,
			random,
			events: new NullEventLogger(),
			log: this,
		};
		this.reconciler = new GroupReconciler({
			...dependencies,
			incarnation,
			newOrderId: () => `o${this.orderCount++}` as OrderId,
			lease: new FakeGroupLease(this),
			view: new FakeGroupView(this),
			engineOf: (definition) => this.engineOf(definition),
		});
		this.planningTask = new PlacementTask({
			...dependencies,
			pool: poolName,
			lease: new FakePlanLease(this),
			view: new FakePoolView(this),
			policy: new PlacementPlanner(),
		});
	}

	get document(): FleetDocument {
		return this.control.document!;
	}

	engineOf(definition: TargetDefinition): FakeEngine {
		const existing = this.engines.get(definition.id);
		const engine = existing ?? new FakeEngine(definition, this.honoursFencing);
		this.engines.set(definition.id, engine);
		return engine;
	}

	apply(body: ControlRecord): ApplyOutcome {
		const offset = this.offset++ as LogOffset;
		return this.control.apply({offset, id: `r${offset}` as RecordId, body});
	}

	submit(record: ControlRecord): ResultAsync<ApplyOutcome, LogError> {
		return this.isLogUnavailable
			? errAsync(new LogUnavailableError('no response'))
			: okAsync(this.apply(record));
	}

	claim(lease = this.lease): ApplyOutcome {
		return this.apply({
			kind: 'lease-claimed',
			lease,
			holder: 'h' as HostId,
			incarnation,
			expectedOffset: this.control.leases.get(lease)?.lastOffset ?? null,
			reason: 'test',
			time: 0,
		});
	}

	setDocument(version: string): void {
		const document = {
			schema: 1,
			pools: [
				{
					name: poolName,
					kind: 'engine',
					honoursFencing: this.honoursFencing,
					targets: ['t1', 't2', 't3'].map((id) => ({
						id,
						address: `http://127.0.0.1/${id}`,
						failureDomain: domain,
						memoryBytes: 100,
					})),
				},
			],
			models: [40, 40, 30, 30, 20].map((bytes, index) => ({
				id: `m${index}`,
				pool: poolName,
				version,
				bytes,
			})),
			adapters: [0, 1, 2, 3, 4].map((index) => ({
				id: `a${index}`,
				model: `m${index}`,
				version,
				bytes: 2,
			})),
			callerClasses: [{name: 'c', urgency: 'standard'}],
			weightStore: {
				loadsPerSecond: 2,
				concurrentLoads: 2,
				concurrentAdapterLoads: 16,
			},
		};
		const outcome = this.apply({
			kind: 'document-submitted',
			expectedRevision: this.control.revision,
			operator: 'o',
			summary: '',
			time: 0,
			document: fleetDocumentSchema.parse(document),
		});
		assert.ok(outcome.accepted);
	}

	/** Advances the clock, plans and reconciles `count` times, and checks that no target exceeds its memory. */
	async step(count = 1): Promise<void> {
		for (let index = 0; index < count; index++) {
			this.clock.advance(500);
			await this.planningTask.runPass();
			await this.reconciler.reconcile();
			for (const engine of this.engines.values()) {
				assert.ok(
					engine.highestBytes <= 100,
					`a target held up to ${engine.highestBytes} of 100 bytes`,
				);
				engine.finish();
			}
		}
	}

	/** Models and adapters of the document that are resident on no target. */
	unservedArtifacts(): ArtifactKey[] {
		const heldArtifacts = [...this.engines.values()].map(
			({artifacts}) => artifacts,
		);
		return this.artifacts()
			.map(({key}) => key)
			.filter(
				(key) =>
					!heldArtifacts.some(
						(artifacts) => artifacts.get(key)?.state === 'resident',
					),
			);
	}

	artifacts(): Artifact[] {
		return [
			...this.document.models.map((model) => modelArtifact(model)),
			...this.document.adapters.map((adapter) => adapterArtifact(adapter)),
		];
	}
}

class FakeGroupLease extends GroupLease {
	readonly name = groupLeaseName(poolName, domain);

	constructor(private readonly fleet: Fleet) {
		super();
	}

	token(): FencingToken | undefined {
		return this.fleet.isLeaseUncertain
			? undefined
			: this.fleet.control.leases.get(this.name)?.token;
	}

	isConfirmed(): boolean {
		return !this.fleet.isLogUnavailable;
	}

	reclaim(): ResultAsync<FencingToken, LogError> {
		const {offset} = this.fleet.claim();
		return new ResultAsync(
			Promise.resolve(ok(offset as number as FencingToken)),
		);
	}
}

class FakeGroupView extends GroupView {
	constructor(private readonly fleet: Fleet) {
		super();
	}

	group(): GroupDefinition {
		const {pools, weightStore} = this.fleet.document;
		return {...pools[0]!, limits: weightStore, share: {index: 0, count: 1}};
	}

	plannedArtifacts(target: TargetId): ReadonlySet<ArtifactKey> | undefined {
		const plan = this.fleet.control.plans.get(poolName);
		return plan && new Set(plan.targets.get(target)?.keys());
	}

	openIntents(target: TargetId) {
		return this.fleet.control.openIntents.get(target) ?? [];
	}

	artifact(key: ArtifactKey) {
		return this.fleet.artifacts().find((artifact) => artifact.key === key);
	}

	baseModelOf(adapter: ArtifactKey) {
		const found = this.fleet.document.adapters.find(
			(item) => adapterArtifact(item).key === adapter,
		);
		const model = this.fleet.document.models.find(
			({id}) => id === found?.model,
		);
		return model && modelArtifact(model).key;
	}
}

class FakePlanLease extends PlanLease {
	constructor(private readonly fleet: Fleet) {
		super();
	}

	token(): FencingToken | undefined {
		return this.fleet.control.leases.get(planLeaseName(poolName))?.token;
	}
}

class FakePoolView extends PoolView {
	constructor(private readonly fleet: Fleet) {
		super();
	}

	placementInput() {
		const {document, control} = this.fleet;
		const plan = control.plans.get(poolName);
		return {
			models: document.models,
			adapters: document.adapters,
			limits: document.weightStore,
			targets: document.pools[0]!.targets.map((definition): PlacementTarget => {
				const held = this.fleet.engineOf(definition).artifacts;
				const planned = new Set(plan?.targets.get(definition.id)?.keys());
				let reservedBytes = 0;
				for (const intent of control.openIntents.get(definition.id) ?? []) {
					const isCounted =
						held.has(intent.artifact) || planned.has(intent.artifact);
					reservedBytes += isCounted ? 0 : intent.bytes;
				}

				return {...definition, state: 'live', held, planned, reservedBytes};
			}),
		};
	}

	demand() {
		return new Map(
			this.fleet.document.models.map(({id}, index) => [id, index]),
		);
	}
}

/** Creates a fleet whose first placement has been carried out. */
async function startFleet(honoursFencing: boolean, seed = 1): Promise<Fleet> {
	const fleet = new Fleet(honoursFencing, new SeededRandomSource(seed));
	fleet.setDocument('1');
	fleet.claim();
	fleet.claim(planLeaseName(poolName));
	await fleet.step(40);
	return fleet;
}

for (const honoursFencing of [true, false]) {
	const ledgerKind = honoursFencing ? 'fenced' : 'recorded';

	// Guards against a plan that cannot be carried out, and a version change that gets stuck because memory is full.
	test(`all models and adapters become resident and are updated to a new version (${ledgerKind})`, async () => {
		const fleet = await startFleet(honoursFencing);
		assert.deepEqual(fleet.unservedArtifacts(), []);
		fleet.setDocument('2');
		await fleet.step(120);
		assert.deepEqual(fleet.unservedArtifacts(), []);
		for (const {artifacts} of fleet.engines.values()) {
			assert.ok([...artifacts.keys()].every((key) => key.endsWith('@2')));
		}

		assert.equal(fleet.control.openIntents.size, 0);
	});

	// Guards against faults that overcommit memory or leave a model unserved permanently.
	test(`placement recovers from faults of targets and of the log without exceeding memory (${ledgerKind})`, async (context) => {
		let restarts = 0;
		let settledByOperator = 0;
		for (let seed = 1; seed <= 20; seed++) {
			const fleet = await startFleet(honoursFencing, seed);
			const {random} = fleet;
			for (let round = 0; round < 60; round++) {
				const engines = [...fleet.engines.values()];
				const engine = engines[random.integer(engines.length)]!;
				engine.mode = (
					[
						'normal',
						'refuse',
						'lose-response',
						...(honoursFencing ? ['lose-order' as const] : []),
					] as const
				)[random.integer(honoursFencing ? 4 : 3)]!;
				fleet.isLogUnavailable = random.integer(5) === 0;
				if (random.integer(6) === 0) {
					engine.restart();
					restarts += 1;
				}

				if (random.integer(10) === 0) {
					fleet.setDocument(`${round}`);
				}

				await fleet.step();
			}

			fleet.isLogUnavailable = false;
			for (const engine of fleet.engines.values()) {
				engine.mode = 'normal';
			}

			await fleet.step(20);
			// A restart can remove the evidence that an unacknowledged order was applied. An operator settles
			// such orders.
			const openIntents = [...fleet.control.openIntents.values()].flat();
			settledByOperator += openIntents.length;
			if (openIntents.length > 0) {
				fleet.apply({
					kind: 'orders-settled',
					orders: openIntents.map(({orderId}) => ({
						orderId,
						outcome: 'operator',
					})),
					by: 'operator',
				});
			}

			await fleet.step(240);
			assert.deepEqual(fleet.unservedArtifacts(), [], `seed ${seed}`);
		}

		context.diagnostic(
			`seeds 1 to 20, ${restarts} restarts, ${settledByOperator} orders settled by an operator`,
		);
		assert.ok(restarts > 50);
	});
}

// Guards against sending orders without a recorded intent to targets that ignore fencing.
test('during a log outage only targets that honour fencing receive orders', async () => {
	for (const honoursFencing of [true, false]) {
		const fleet = await startFleet(honoursFencing);
		fleet.isLogUnavailable = true;
		let ordersBefore = 0;
		for (const engine of fleet.engines.values()) {
			engine.restart();
			ordersBefore += engine.orderCount;
		}

		await fleet.step(40);
		let ordersAfter = 0;
		for (const engine of fleet.engines.values()) {
			ordersAfter += engine.orderCount;
		}

		assert.equal(ordersAfter > ordersBefore, honoursFencing);
		assert.equal(fleet.unservedArtifacts().length === 0, honoursFencing);
	}
});

// Guards against a new ledger that does not charge a lost order which a fence with the same token does not void.
test('a ledger is kept while the lease is uncertain and replaced with its token', async () => {
	const fleet = await startFleet(true);
	const target = 't1' as TargetId;
	const ledgerBefore = fleet.reconciler.reconcilerOf(target)?.ledger;
	fleet.isLeaseUncertain = true;
	await fleet.step();
	fleet.isLeaseUncertain = false;
	await fleet.step();
	assert.equal(fleet.reconciler.reconcilerOf(target)?.ledger, ledgerBefore);
	fleet.claim();
	await fleet.step();
	assert.notEqual(fleet.reconciler.reconcilerOf(target)?.ledger, ledgerBefore);
});
