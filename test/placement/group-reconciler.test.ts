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
import {ControlState} from '../../src/core/control-state.js';
import {SchemaOnlyDocumentValidator} from '../../src/core/document-validator.js';
import {groupLeaseName, planLeaseName} from '../../src/core/lease-names.js';
import {PlacementPlanner} from '../../src/core/placement-planner.js';
import {type PlacementTarget} from '../../src/core/placement-policy.js';
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

/** Takes in orders at once and finishes them when told to. */
class FakeEngine extends Engine {
	generate = this.unused;
	resume = this.unused;
	cancel = this.unused;
	fetchCacheEvents = this.unused;
	exportCache = this.unused;
	importCache = this.unused;
	ping = this.unused;
	dropConnections = this.unused;

	readonly content = new Map<ArtifactKey, ResidentArtifact>();
	mode: 'normal' | 'refuse' | 'lose-order' | 'lose-response' = 'normal';
	highestBytes = 0;
	orders = 0;
	private run = 1;
	private sequence = 0;
	private highestToken = 0;
	private applied: OrderId[] = [];

	constructor(
		private readonly definition: TargetDefinition,
		private readonly honoursFencing: boolean,
	) {
		super();
	}

	current(): TargetReport {
		return {
			target: this.definition.id,
			incarnation: `${this.definition.id}.${this.run}` as TargetIncarnation,
			sequence: this.sequence,
			leaving: false,
			role: 'mixed',
			memoryBytes: this.definition.memoryBytes,
			artifacts: [...this.content.values()],
			highestToken: this.highestToken as FencingToken,
			running: 0,
			queued: 0,
			slots: 8,
			appliedOrders: [...this.applied],
		};
	}

	finish(): void {
		for (const [key, artifact] of this.content) {
			if (artifact.state === 'unloading') {
				this.content.delete(key);
			} else {
				this.content.set(key, {...artifact, state: 'resident'});
			}
		}

		this.sequence += 1;
	}

	restart(): void {
		this.content.clear();
		this.applied = [];
		this.run += 1;
		this.sequence = 0;
	}

	fetchReport(): ResultAsync<TargetReport, TargetError> {
		return okAsync(this.current());
	}

	sendOrder(
		order: EngineOrder,
	): ResultAsync<OrderAcknowledgement, TargetError> {
		const {mode} = this;
		if (order.action !== 'fence') {
			this.orders += 1;
		}

		if (this.honoursFencing && order.token < this.highestToken) {
			return errAsync(new TargetRefusedError('stale-token', 'older token'));
		}

		if (mode === 'refuse') {
			return errAsync(new TargetRefusedError('busy', 'busy'));
		}

		if (mode !== 'lose-order') {
			this.take(order);
		}

		return mode === 'normal'
			? okAsync({orderId: order.orderId, report: this.current()})
			: errAsync(new TargetResponseLostError('timeout', 'no response'));
	}

	private take(order: EngineOrder): void {
		this.highestToken = Math.max(this.highestToken, order.token);
		if (order.action === 'load' && !this.content.has(order.artifact)) {
			const {artifact: key, bytes} = order;
			this.content.set(key, {key, bytes, state: 'loading'});
		} else if (order.action === 'unload') {
			const artifact = this.content.get(order.artifact);
			if (artifact) {
				this.content.set(order.artifact, {...artifact, state: 'unloading'});
			}
		}

		this.sequence += 1;
		this.applied = [...this.applied, order.orderId].slice(-8);
		let bytes = 0;
		for (const artifact of this.content.values()) {
			bytes += artifact.bytes;
		}

		this.highestBytes = Math.max(this.highestBytes, bytes);
	}

	private unused(): never {
		throw new Error('not used by these tests');
	}
}

/** One host with a log, a folded state, one group of targets, its owner and the planning task. */
class Fleet extends ControlLog {
	readonly control = new ControlState(new SchemaOnlyDocumentValidator());
	readonly clock = new ManualClock();
	readonly engines = new Map<TargetId, FakeEngine>();
	readonly owner: GroupReconciler;
	readonly task: PlacementTask;
	isLogDown = false;
	isLeaseDoubtful = false;
	readonly lease = groupLeaseName(poolName, domain);
	private offset = 0;
	private orderCount = 0;

	constructor(
		private readonly honoursFencing: boolean,
		readonly random: SeededRandomSource,
	) {
		super();
		const {clock} = this;
		const common = {clock, random, events: new NullEventLogger(), log: this};
		this.owner = new GroupReconciler({
			...common,
			incarnation,
			newOrderId: () => `o${this.orderCount++}` as OrderId,
			lease: new FakeGroupLease(this),
			view: new FakeGroupView(this),
			engineOf: (definition) => this.engineOf(definition),
		});
		this.task = new PlacementTask({
			...common,
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
		const known = this.engines.get(definition.id);
		const engine = known ?? new FakeEngine(definition, this.honoursFencing);
		this.engines.set(definition.id, engine);
		return engine;
	}

	apply(body: ControlRecord): ApplyOutcome {
		const offset = this.offset++ as LogOffset;
		return this.control.apply({offset, id: `r${offset}` as RecordId, body});
	}

	submit(record: ControlRecord): ResultAsync<ApplyOutcome, LogError> {
		return this.isLogDown
			? errAsync(new LogUnavailableError('no answer'))
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

	async step(count = 1): Promise<void> {
		for (let index = 0; index < count; index++) {
			this.clock.advance(500);
			await this.task.runPass();
			await this.owner.reconcile();
			for (const engine of this.engines.values()) {
				assert.ok(engine.highestBytes <= 100, `${engine.highestBytes} bytes`);
				engine.finish();
			}
		}
	}

	/** Models and adapters of the document that no target serves. */
	missing(): ArtifactKey[] {
		const held = [...this.engines.values()].map(({content}) => content);
		return this.artifacts()
			.map(({key}) => key)
			.filter(
				(key) =>
					!held.some((content) => content.get(key)?.state === 'resident'),
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
		return this.fleet.isLeaseDoubtful
			? undefined
			: this.fleet.control.leases.get(this.name)?.token;
	}

	isConfirmed(): boolean {
		return !this.fleet.isLogDown;
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
				const held = this.fleet.engineOf(definition).content;
				const planned = new Set(plan?.targets.get(definition.id)?.keys());
				let reservedBytes = 0;
				for (const intent of control.openIntents.get(definition.id) ?? []) {
					const isKnown =
						held.has(intent.artifact) || planned.has(intent.artifact);
					reservedBytes += isKnown ? 0 : intent.bytes;
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

async function startedFleet(honoursFencing: boolean, seed = 1): Promise<Fleet> {
	const fleet = new Fleet(honoursFencing, new SeededRandomSource(seed));
	fleet.setDocument('1');
	fleet.claim();
	fleet.claim(planLeaseName(poolName));
	await fleet.step(40);
	return fleet;
}

for (const honoursFencing of [true, false]) {
	const kind = honoursFencing ? 'fenced' : 'recorded';

	// Guards against a plan that owners cannot carry out, and against a version change that gets stuck in full memory.
	test(`all models and adapters become resident and change their version (${kind})`, async () => {
		const fleet = await startedFleet(honoursFencing);
		assert.deepEqual(fleet.missing(), []);
		fleet.setDocument('2');
		await fleet.step(120);
		assert.deepEqual(fleet.missing(), []);
		for (const {content} of fleet.engines.values()) {
			assert.ok([...content.keys()].every((key) => key.endsWith('@2')));
		}

		assert.equal(fleet.control.openIntents.size, 0);
	});

	// Guards against faults that overcommit memory or leave a model unserved for good.
	test(`faults of targets and of the log are repaired within memory (${kind})`, async (context) => {
		let restarts = 0;
		let settledByOperator = 0;
		for (let seed = 1; seed <= 20; seed++) {
			const fleet = await startedFleet(honoursFencing, seed);
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
				fleet.isLogDown = random.integer(5) === 0;
				if (random.integer(6) === 0) {
					engine.restart();
					restarts += 1;
				}

				if (random.integer(10) === 0) {
					fleet.setDocument(`${round}`);
				}

				await fleet.step();
			}

			fleet.isLogDown = false;
			for (const engine of fleet.engines.values()) {
				engine.mode = 'normal';
			}

			await fleet.step(20);
			// A restart can destroy the proof that an unanswered order was taken in. An operator settles it.
			const open = [...fleet.control.openIntents.values()].flat();
			settledByOperator += open.length;
			if (open.length > 0) {
				fleet.apply({
					kind: 'orders-settled',
					orders: open.map(({orderId}) => ({orderId, outcome: 'operator'})),
					by: 'operator',
				});
			}

			await fleet.step(240);
			assert.deepEqual(fleet.missing(), [], `seed ${seed}`);
		}

		context.diagnostic(
			`seeds 1 to 20, ${restarts} restarts, ${settledByOperator} orders settled by an operator`,
		);
		assert.ok(restarts > 50);
	});
}

// Guards against orders without a recorded intent to targets that ignore fencing.
test('during a log outage only fenced targets get orders', async () => {
	for (const honoursFencing of [true, false]) {
		const fleet = await startedFleet(honoursFencing);
		fleet.isLogDown = true;
		let before = 0;
		for (const engine of fleet.engines.values()) {
			engine.restart();
			before += engine.orders;
		}

		await fleet.step(40);
		let after = 0;
		for (const engine of fleet.engines.values()) {
			after += engine.orders;
		}

		assert.equal(after > before, honoursFencing);
		assert.equal(fleet.missing().length === 0, honoursFencing);
	}
});

// Guards against a fresh ledger that forgets a lost order which a fence with the same token does not void.
test('a ledger outlives a doubtful lease and ends with its token', async () => {
	const fleet = await startedFleet(true);
	const target = 't1' as TargetId;
	const before = fleet.owner.reconcilerOf(target)?.ledger;
	fleet.isLeaseDoubtful = true;
	await fleet.step();
	fleet.isLeaseDoubtful = false;
	await fleet.step();
	assert.equal(fleet.owner.reconcilerOf(target)?.ledger, before);
	fleet.claim();
	await fleet.step();
	assert.notEqual(fleet.owner.reconcilerOf(target)?.ledger, before);
});
