import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {TypedEvent} from '../../../base/common/typed-event.js';
import {type ForwardingDocument} from '../../../contracts/forwarding-document.js';
import {
	type FencingToken,
	type HostId,
	type PoolName,
	type TargetId,
} from '../../../contracts/ids.js';
import {type TargetOrderPort} from '../../../contracts/target-orders.js';
import {adapterKey} from '../../../core/placement/adapter-slot-policy.js';
import {DemandCollector} from '../../../core/placement/demand-collector.js';
import {type NamedRateLimits} from '../../../core/limits/named-rate-limits.js';
import {maximumDirectHosts} from '../../../core/membership/relay-assignment.js';
import {
	type AdapterDemand,
	type DemandSum,
	type HostDemand,
} from '../../../core/placement/host-demand.js';
import {TargetOrderTask} from '../targets/target-order-task.js';
import {
	type PlacedContent,
	type TargetRegistry,
} from '../targets/target-registry.js';
import {PoolPlacement, type PoolDemand} from './pool-placement.js';

/** Options of the placement owner. */
export type PlacementOwnerOptions = {
	readonly host: HostId;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly registry: TargetRegistry;
	/** Sends the orders to the targets. */
	readonly port: TargetOrderPort;
	/** Rates that targets name. */
	readonly limits: NamedRateLimits;
	/** Pools whose targets run at most this many requests at once are scheduled by work. 0 for none. */
	readonly workAwareSlots?: number | undefined;
	/** True while this host holds the owner lease. It may send orders only some time after it gained the lease. */
	readonly isHolder: () => boolean;
	/** The token with which orders may be sent now, undefined when this host may not send any. */
	readonly token: () => FencingToken | undefined;
	/** Called when a target refused the token, because a newer holder exists. */
	readonly onSuperseded: () => void;
};

const stepIntervalMilliseconds = 100;
/** Largest share of the time that steps outside the interval may take. Each change of a target causes one. */
const maximumStepShare = 0.2;
/** Time for all hosts to learn that a model gets no new work: in a fleet whose hosts all report to the owner, and in one with relays. */
const directRetirementMilliseconds = 120;
const relayedRetirementMilliseconds = 600;

/** Places models and adapters while this host holds the owner lease, and tracks what the targets hold. */
export class PlacementOwner extends Disposable {
	/** The content of a target has changed. */
	readonly contentChanged = new TypedEvent<PlacedContent>();
	private readonly demands: DemandCollector;
	private readonly pools = new Map<PoolName, PoolPlacement>();
	private readonly tasks = new Map<TargetId, TargetOrderTask>();
	private lastOrderAt: number | undefined;
	private timer: NodeJS.Timeout | undefined;
	private isStepScheduled = false;
	private steppedAt = Number.NEGATIVE_INFINITY;
	/** Time that the last step took. */
	private stepMilliseconds = 0;
	private wasActive = false;
	private knownHostCount = 0;

	constructor(private readonly options: PlacementOwnerOptions) {
		super();
		this.demands = new DemandCollector({clock: options.clock});
	}

	/** Milliseconds since the last order, undefined when there was none. */
	sinceLastOrder(): number | undefined {
		return this.lastOrderAt === undefined
			? undefined
			: this.options.clock.monotonic() - this.lastOrderAt;
	}

	/** Number of hosts in the reports that have not expired, without hosts that are stopping. */
	get hostCount(): number {
		return this.knownHostCount;
	}

	/** Number of models and adapters that have been requested for more than a second while no target offers them, 0 while this host may not send orders. */
	get unservedCount(): number {
		let count = 0;
		for (const pool of this.wasActive ? this.pools.values() : []) {
			count += pool.unservedCount;
		}

		return count;
	}

	/** Starts the periodic placement, which ends when this host may no longer send orders. Does nothing while it runs. */
	start(): void {
		this.timer ??= setInterval(() => {
			this.step();
			if (!this.wasActive && !this.options.isHolder()) {
				clearInterval(this.timer);
				this.timer = undefined;
			}
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
					workAwareSlots: this.options.workAwareSlots,
					sinceLastNewTarget: () => registry.sinceLastNewTarget(),
					tasks: () =>
						registry
							.targetsOfPool(name)
							.flatMap(({listed}) => this.tasks.get(listed.id) ?? []),
				}),
			);
		}
	}

	/** Applies the report of a host. Requests that wait for an adapter trigger a placement step immediately. */
	applyDemand(demand: HostDemand): void {
		this.demands.apply(demand);
		if (demand.adapters.some(({waiting}) => waiting > 0)) {
			this.scheduleStep();
		}
	}

	private scheduleStep(): void {
		if (this.isStepScheduled) {
			return;
		}

		this.isStepScheduled = true;
		const {clock} = this.options;
		const pause = this.stepMilliseconds / maximumStepShare;
		setTimeout(
			() => {
				this.isStepScheduled = false;
				this.step();
			},
			Math.max(0, this.steppedAt + pause - clock.monotonic()),
		);
	}

	private step(): void {
		const startedAt = this.options.clock.monotonic();
		this.placeModels();
		this.steppedAt = this.options.clock.monotonic();
		this.stepMilliseconds = this.steppedAt - startedAt;
	}

	private placeModels(): void {
		const sum = this.demands.sum();
		this.knownHostCount = sum.members.length;
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
			pool.step(this.demandOf(pool, sum));
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
						this.handleContentChange(target.listed.id);
					},
					retirementMilliseconds: () =>
						this.hostCount > maximumDirectHosts
							? relayedRetirementMilliseconds
							: directRetirementMilliseconds,
					requestsPerSecond: () => this.options.limits.get(target.listed.id),
					isHeldBack: () => registry.isHeldBack(target.listed.id),
					onOrderSent: () => {
						this.lastOrderAt = this.options.clock.monotonic();
					},
				}),
			);
		}
	}

	private handleContentChange(target: TargetId): void {
		const task = this.tasks.get(target);
		if (task?.hasCurrentState) {
			this.contentChanged.publish(task.content());
		}

		this.scheduleStep();
	}

	private demandOf(pool: PoolPlacement, sum: DemandSum): PoolDemand {
		const models = sum.models.filter(({model}) => pool.hasModel(model));
		return {
			models: new Map(models.map(({model, requests}) => [model, requests])),
			idleMilliseconds: new Map(
				models.map(({model, idleMilliseconds}) => [model, idleMilliseconds]),
			),
			observedMilliseconds: sum.observedMilliseconds,
			adapters: sumAdapterRequests(sum.adapters),
			awaitedAdapters: sum.adapters
				.filter(({waiting}) => waiting > 0)
				.sort((left, right) => right.waiting - left.waiting)
				.map(({model, adapter, softwareVersion}) => ({
					model,
					adapter,
					softwareVersion,
				})),
		};
	}
}

/** Adds up the requests for each adapter over the software versions at which they may run. */
function sumAdapterRequests(
	demands: readonly AdapterDemand[],
): Map<string, number> {
	const requests = new Map<string, number>();
	for (const demand of demands) {
		const key = adapterKey(demand);
		requests.set(key, (requests.get(key) ?? 0) + demand.requests);
	}

	return requests;
}
