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

/** Options of the owner. */
export type PlacementOwnerOptions = {
	readonly host: HostId;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly registry: TargetRegistry;
	readonly port: TargetOrderPort;
	readonly token: () => FencingToken | undefined;
	readonly onSuperseded: () => void;
};

type TimedDemand = {readonly demand: HostDemand; readonly receivedAt: number};

const stepMilliseconds = 100;
/** Age from which the demand of a silent host no longer counts. */
const demandLifetimeMilliseconds = 2000;

/** Places models and adapters while this host holds the owner lease, and knows what the targets hold. */
export class PlacementOwner extends Disposable {
	/** What the targets hold has changed. */
	readonly contentsChanged = new TypedEvent<void>();
	private readonly demands = new Map<HostId, TimedDemand>();
	private readonly pools = new Map<PoolName, PoolPlacement>();
	private readonly tasks = new Map<TargetId, TargetOrderTask>();
	private readonly crashes: CrashCorrelation;
	private readonly suspects = new Set<Fingerprint>();
	private currentVersion = 0;
	private lastOrderAt: number | undefined;
	private timer: NodeJS.Timeout | undefined;
	private isStepPlanned = false;
	private wasActive = false;

	constructor(private readonly options: PlacementOwnerOptions) {
		super();
		this.crashes = new CrashCorrelation({clock: options.clock});
	}

	/** Grows with each change of the contents. */
	get version(): number {
		return this.currentVersion;
	}

	/** Time since the last order, undefined when there was none. */
	sinceLastOrder(): number | undefined {
		return this.lastOrderAt === undefined
			? undefined
			: this.options.clock.monotonic() - this.lastOrderAt;
	}

	/** Hosts that have reported lately. */
	hosts(): HostId[] {
		const now = this.options.clock.monotonic();
		return [...this.demands]
			.filter(
				([, {demand, receivedAt}]) =>
					!demand.isLeaving && now - receivedAt < demandLifetimeMilliseconds,
			)
			.map(([host]) => host);
	}

	start(): void {
		this.timer = setInterval(() => {
			this.step();
		}, stepMilliseconds);
	}

	dispose(): void {
		clearInterval(this.timer);
	}

	applyDocument(document: ForwardingDocument): void {
		const {clock, events, registry} = this.options;
		for (const {name, engine} of document.pools) {
			if (!engine) {
				this.pools.delete(name);
				continue;
			}

			const known = this.pools.get(name);
			if (known) {
				known.configure(engine);
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

	/** Requests that crash targets, by the deaths that all hosts reported. */
	quarantined(): readonly Fingerprint[] {
		return this.crashes.filterQuarantined(this.suspects);
	}

	/** Takes in what a host reports. Waiting requests are looked at within milliseconds. */
	applyDemand(demand: HostDemand): void {
		for (const death of demand.deaths) {
			this.crashes.applyDeath(death);
			for (const fingerprint of death.fingerprints) {
				this.suspects.add(fingerprint);
			}
		}

		this.demands.set(demand.host, {
			demand,
			receivedAt: this.options.clock.monotonic(),
		});
		if (demand.adapters.some(({waiting}) => waiting > 0)) {
			this.planStep();
		}
	}

	/** What the targets hold, while this host may give orders. */
	contents(): PlacedContent[] {
		return [...this.tasks.values()]
			.filter(({hasCurrentState: isKnown}) => isKnown)
			.map((task) => task.content());
	}

	private planStep(): void {
		if (this.isStepPlanned) {
			return;
		}

		this.isStepPlanned = true;
		setImmediate(() => {
			this.isStepPlanned = false;
			this.step();
		});
	}

	private step(): void {
		const isActive = this.options.token() !== undefined;
		if (!isActive) {
			if (this.wasActive) {
				// Another holder may order from now on, so nothing known of the targets can be relied on.
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
						this.noteChange();
					},
					onOrderSent: () => {
						this.lastOrderAt = this.options.clock.monotonic();
					},
				}),
			);
		}
	}

	private noteChange(): void {
		this.currentVersion++;
		this.contentsChanged.publish();
		this.planStep();
	}

	private demandOf(pool: PoolPlacement): PoolDemand {
		const now = this.options.clock.monotonic();
		const models = new Map<ModelId, number>();
		const adapters = new Map<string, number>();
		const idle = new Map<ModelId, number>();
		let observed = 0;
		const waiting = new Map<string, {name: AdapterReference; count: number}>();
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
					const known = waiting.get(key)?.count ?? 0;
					waiting.set(key, {
						name: {model: each.model, adapter: each.adapter},
						count: known + each.waiting,
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
				.map(({name}) => name),
		};
	}
}
