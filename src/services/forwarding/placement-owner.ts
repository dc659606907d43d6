import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {type ForwardingDocument} from '../../contracts/forwarding-document.js';
import {
	type FencingToken,
	type Fingerprint,
	type HostId,
	type ModelId,
	type PoolName,
	type TargetId,
} from '../../contracts/ids.js';
import {type TargetOrderPort} from '../../contracts/target-orders.js';
import {
	adapterKey,
	type AdapterReference,
} from '../../core/adapter-slot-policy.js';
import {CrashCorrelation} from '../../core/crash-correlation.js';
import {type HostDemand} from './host-demand.js';
import {PoolPlacement, type PoolDemand} from './pool-placement.js';
import {TargetOrderTask} from './target-order-task.js';
import {type PlacedContent, type TargetRegistry} from './target-registry.js';

/** Options of the placement owner. */
export type PlacementOwnerOptions = {
	readonly host: HostId;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly registry: TargetRegistry;
	/** Sends the orders to the targets. */
	readonly port: TargetOrderPort;
	/** The token with which orders may be sent now, undefined when this host may not send any. */
	readonly token: () => FencingToken | undefined;
	/** Called when a target refused the token, because a newer holder exists. */
	readonly onSuperseded: () => void;
};

type TimedDemand = {readonly demand: HostDemand; readonly receivedAt: number};

const stepIntervalMilliseconds = 100;
/** Time after which the demand of a host expires unless the host reports again. */
const demandLifetimeMilliseconds = 2000;

/** Places models and adapters while this host holds the owner lease, and tracks what the targets hold. */
export class PlacementOwner extends Disposable {
	/** The contents of the targets have changed. */
	readonly contentsChanged = new TypedEvent<void>();
	private readonly demands = new Map<HostId, TimedDemand>();
	private readonly pools = new Map<PoolName, PoolPlacement>();
	private readonly tasks = new Map<TargetId, TargetOrderTask>();
	private readonly crashes: CrashCorrelation;
	private readonly reportedFingerprints = new Set<Fingerprint>();
	private currentVersion = 0;
	private lastOrderAt: number | undefined;
	private timer: NodeJS.Timeout | undefined;
	private isStepScheduled = false;
	private wasActive = false;

	constructor(private readonly options: PlacementOwnerOptions) {
		super();
		this.crashes = new CrashCorrelation({clock: options.clock});
	}

	/** Version of the contents. Increases with each change. */
	get version(): number {
		return this.currentVersion;
	}

	/** Milliseconds since the last order, undefined when there was none. */
	sinceLastOrder(): number | undefined {
		return this.lastOrderAt === undefined
			? undefined
			: this.options.clock.monotonic() - this.lastOrderAt;
	}

	/** Hosts that have reported recently and are not leaving. */
	hosts(): HostId[] {
		const now = this.options.clock.monotonic();
		return [...this.demands]
			.filter(
				([, {demand, receivedAt}]) =>
					!demand.isLeaving && now - receivedAt < demandLifetimeMilliseconds,
			)
			.map(([host]) => host);
	}

	/** Starts the periodic placement. */
	start(): void {
		this.timer = setInterval(() => {
			this.step();
		}, stepIntervalMilliseconds);
	}

	dispose(): void {
		clearInterval(this.timer);
	}

	/** Applies the pools of a document. */
	applyDocument(document: ForwardingDocument): void {
		const {clock, events, registry} = this.options;
		for (const {name, engine} of document.pools) {
			if (!engine) {
				this.pools.delete(name);
				continue;
			}

			const existing = this.pools.get(name);
			if (existing) {
				existing.configure(engine);
				continue;
			}

			this.pools.set(
				name,
				new PoolPlacement(engine, {
					pool: name,
					clock,
					events,
					sinceLastNewTarget: () => registry.sinceLastNewTarget(),
					tasks: () =>
						registry
							.targetsOfPool(name)
							.flatMap(({listed}) => this.tasks.get(listed.id) ?? []),
				}),
			);
		}
	}

	/** Fingerprints of requests that crash targets, according to the deaths that all hosts reported. */
	quarantined(): readonly Fingerprint[] {
		return this.crashes.filterQuarantined(this.reportedFingerprints);
	}

	/** Applies the report of a host. Requests that wait for an adapter trigger a placement step immediately. */
	applyDemand(demand: HostDemand): void {
		for (const death of demand.deaths) {
			this.crashes.applyDeath(death);
			for (const fingerprint of death.fingerprints) {
				this.reportedFingerprints.add(fingerprint);
			}
		}

		this.demands.set(demand.host, {
			demand,
			receivedAt: this.options.clock.monotonic(),
		});
		if (demand.adapters.some(({waiting}) => waiting > 0)) {
			this.scheduleStep();
		}
	}

	/** Contents of the targets whose state is known. Empty while this host may not send orders. */
	contents(): PlacedContent[] {
		return [...this.tasks.values()]
			.filter(({hasCurrentState}) => hasCurrentState)
			.map((task) => task.content());
	}

	private scheduleStep(): void {
		if (this.isStepScheduled) {
			return;
		}

		this.isStepScheduled = true;
		setImmediate(() => {
			this.isStepScheduled = false;
			this.step();
		});
	}

	private step(): void {
		const isActive = this.options.token() !== undefined;
		if (!isActive) {
			if (this.wasActive) {
				// Another holder may send orders from now on, so the tracked state of the targets is no longer reliable.
				this.tasks.clear();
			}

			this.wasActive = false;
			return;
		}

		this.wasActive = true;
		this.synchronizeTasks();
		for (const task of this.tasks.values()) {
			task.refresh();
		}

		for (const pool of this.pools.values()) {
			pool.step(this.demandOf(pool));
		}
	}

	private synchronizeTasks(): void {
		const {registry} = this.options;
		for (const [target, task] of this.tasks) {
			if (!task.isForRegistration(registry.get(target))) {
				this.tasks.delete(target);
			}
		}

		for (const target of registry.all()) {
			if (
				!this.pools.has(target.listed.pool) ||
				this.tasks.has(target.listed.id)
			) {
				continue;
			}

			this.tasks.set(
				target.listed.id,
				new TargetOrderTask({
					target,
					host: this.options.host,
					port: this.options.port,
					clock: this.options.clock,
					events: this.options.events,
					token: this.options.token,
					onSuperseded: this.options.onSuperseded,
					onChanged: () => {
						this.handleContentChange();
					},
					onOrderSent: () => {
						this.lastOrderAt = this.options.clock.monotonic();
					},
				}),
			);
		}
	}

	private handleContentChange(): void {
		this.currentVersion++;
		this.contentsChanged.publish();
		this.scheduleStep();
	}

	private demandOf(pool: PoolPlacement): PoolDemand {
		const now = this.options.clock.monotonic();
		const models = new Map<ModelId, number>();
		const adapters = new Map<string, number>();
		const idle = new Map<ModelId, number>();
		let observed = 0;
		const waiting = new Map<
			string,
			{adapter: AdapterReference; count: number}
		>();
		for (const {demand, receivedAt} of this.demands.values()) {
			if (now - receivedAt >= demandLifetimeMilliseconds) {
				continue;
			}

			const age = now - receivedAt;
			observed = Math.max(
				observed,
				demand.observedMilliseconds === 0
					? 0
					: demand.observedMilliseconds + age,
			);
			for (const {model, requests, idleMilliseconds} of demand.models) {
				if (!pool.hasModel(model)) {
					continue;
				}

				models.set(model, (models.get(model) ?? 0) + requests);
				idle.set(
					model,
					Math.min(idle.get(model) ?? Infinity, idleMilliseconds + age),
				);
			}

			for (const each of demand.adapters) {
				const key = adapterKey(each);
				adapters.set(key, (adapters.get(key) ?? 0) + each.requests);
				if (each.waiting > 0) {
					const count = waiting.get(key)?.count ?? 0;
					waiting.set(key, {
						adapter: {model: each.model, adapter: each.adapter},
						count: count + each.waiting,
					});
				}
			}
		}

		return {
			models,
			idleMilliseconds: idle,
			observedMilliseconds: observed,
			adapters,
			awaitedAdapters: [...waiting.values()]
				.sort((left, right) => right.count - left.count)
				.map(({adapter}) => adapter),
		};
	}
}
