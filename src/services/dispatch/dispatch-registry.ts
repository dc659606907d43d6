import {DisposableStore} from '../../base/common/disposable.js';
import {
	adapterIdSchema,
	type AdapterId,
	type CallerId,
	type HostId,
	type PoolName,
	type TargetId,
} from '../../contracts/ids.js';
import {type FleetDocument} from '../../contracts/fleet-document.js';
import {type HostState} from '../../generated/daisylever/peer/v1/peer_pb.js';
import {type ServiceDispatchDirectory} from '../entry/claiming-service-gateway.js';
import {EngineDispatchDirectory} from '../entry/dispatching-model-gateway.js';
import {
	type TrackedTarget,
	type TargetDirectory,
} from '../targets/target-directory.js';
import {ServicePoolDispatch} from './service-pool-dispatch.js';
import {
	EnginePoolDispatch,
	type EnginePoolDispatchOptions,
} from './engine-pool-dispatch.js';

/** Dependencies of the registry. */
export type DispatchRegistryOptions = Omit<
	EnginePoolDispatchOptions,
	'pool'
> & {
	readonly targets: TargetDirectory;
};

/** Number of requests of one caller in flight over all pools and services, as sent in heartbeats. */
export type CallerLoad = {
	readonly caller: CallerId;
	readonly inFlight: number;
};

const cacheEventIntervalMilliseconds = 1000;

/** Holds one dispatch per pool and notifies them of changes to targets, hosts and the document. */
export class DispatchRegistry
	extends EngineDispatchDirectory
	implements ServiceDispatchDirectory
{
	private readonly enginePools = new Map<PoolName, EnginePoolDispatch>();
	private readonly servicePools = new Map<PoolName, ServicePoolDispatch>();
	private readonly subscriptions = new DisposableStore();
	private readonly timer: NodeJS.Timeout;
	private hosts: readonly HostId[];

	constructor(private readonly options: DispatchRegistryOptions) {
		super();
		this.hosts = [options.host];
		const {targets} = options;
		this.subscriptions.add(
			targets.changed.subscribe((target) => {
				if (target) {
					this.handleTargetChange(target);
				}
			}),
		);
		this.subscriptions.add(
			targets.targetRemoved.subscribe((target) => {
				for (const [, dispatch] of this.allPools()) {
					dispatch.post({kind: 'target-removed', target});
				}
			}),
		);
		this.timer = setInterval(() => {
			void this.fetchCacheEvents();
		}, cacheEventIntervalMilliseconds);
	}

	engineDispatchOf(pool: PoolName): EnginePoolDispatch | undefined {
		return this.enginePools.get(pool);
	}

	serviceDispatchOf(pool: PoolName): ServicePoolDispatch | undefined {
		return this.servicePools.get(pool);
	}

	/** Creates and retires dispatches to match the pools of a document and applies its caller limits. */
	applyDocument(document: FleetDocument): void {
		const limits = new Map<CallerId, number>();
		for (const caller of document.callers) {
			if (caller.maximumConcurrent !== undefined) {
				limits.set(caller.id, caller.maximumConcurrent);
			}
		}

		this.options.limiter.configure(document.admission, limits);
		const documentPools = new Set<PoolName>();
		for (const pool of document.pools) {
			documentPools.add(pool.name);
			const dispatch =
				pool.kind === 'engine'
					? this.getOrCreateEnginePool(pool.name)
					: this.getOrCreateServicePool(pool.name);
			for (const {id, slots} of pool.targets) {
				dispatch.post({kind: 'target-set', target: id, slots});
			}
		}

		for (const pools of [this.enginePools, this.servicePools]) {
			for (const [name, dispatch] of pools) {
				if (!documentPools.has(name)) {
					pools.delete(name);
					dispatch.retire();
				}
			}
		}
	}

	/** Sets the hosts that share the targets. */
	setHosts(hosts: readonly HostId[]): void {
		this.hosts = hosts;
		for (const [, dispatch] of this.allPools()) {
			dispatch.post({kind: 'hosts-changed', hosts});
		}
	}

	/** Applies the caller counts of a peer and the targets that other hosts have reserved for suspects. */
	applyPeerState(
		state: HostState,
		remoteReservations: readonly TargetId[],
	): void {
		const counts = new Map<CallerId, number>();
		// Hosts that run the previous version send one count per pool.
		for (const load of state.callerLoads) {
			const caller = load.caller as CallerId;
			counts.set(caller, (counts.get(caller) ?? 0) + load.inFlight);
		}

		this.options.limiter.applyPeerCounts(state.host as HostId, counts);
		for (const [, dispatch] of this.allPools()) {
			dispatch.post({kind: 'suspects-reserved', targets: remoteReservations});
		}
	}

	/** Returns the caller counts of this host, for heartbeats. */
	callerLoads(): CallerLoad[] {
		return [...this.options.limiter.localCounts()].map(
			([caller, inFlight]) => ({
				caller,
				inFlight,
			}),
		);
	}

	/** Returns the targets that this host has reserved for suspects, for heartbeats. */
	reservedTargets(): TargetId[] {
		return [...this.enginePools.values()].flatMap(({dispatcher}) => {
			const reserved = dispatcher.reservedTarget();
			return reserved === undefined ? [] : [reserved];
		});
	}

	dispose(): void {
		clearInterval(this.timer);
		void this.subscriptions.dispose();
		for (const [, dispatch] of this.allPools()) {
			dispatch.dispose();
		}

		this.enginePools.clear();
		this.servicePools.clear();
	}

	private allPools(): Array<
		[PoolName, EnginePoolDispatch | ServicePoolDispatch]
	> {
		return [...this.enginePools, ...this.servicePools];
	}

	private getOrCreateEnginePool(pool: PoolName): EnginePoolDispatch {
		const existing = this.enginePools.get(pool);
		if (existing) {
			return existing;
		}

		const dispatch = new EnginePoolDispatch({...this.options, pool});
		this.enginePools.set(pool, dispatch);
		dispatch.start();
		dispatch.post({kind: 'hosts-changed', hosts: this.hosts});
		return dispatch;
	}

	private getOrCreateServicePool(pool: PoolName): ServicePoolDispatch {
		const existing = this.servicePools.get(pool);
		if (existing) {
			return existing;
		}

		const dispatch = new ServicePoolDispatch({...this.options, pool});
		this.servicePools.set(pool, dispatch);
		dispatch.start();
		dispatch.post({kind: 'hosts-changed', hosts: this.hosts});
		return dispatch;
	}

	private handleTargetChange(target: TrackedTarget): void {
		const {name} = target.pool;
		const dispatch = this.enginePools.get(name) ?? this.servicePools.get(name);
		if (!dispatch) {
			return;
		}

		const {id} = target.definition;
		dispatch.post({
			kind: 'target-leaving',
			target: id,
			leaving: target.unavailabilityReason === 'leaving',
		});
		if (!target.report) {
			return;
		}

		dispatch.post({
			kind: 'target-reported',
			report: target.report,
			ageMilliseconds: this.options.clock.monotonic() - target.reportedAt,
			adapters: residentAdapters(target),
		});
	}

	/** Fetches new cache events from the targets of pools with attempts in flight. */
	private async fetchCacheEvents(): Promise<void> {
		const busyTargets = [...this.enginePools].flatMap(([pool, dispatch]) =>
			dispatch.dispatcher.runningAttempts === 0
				? []
				: this.options.targets
						.targetsInPool(pool)
						.map((target) => ({dispatch, target})),
		);
		await Promise.all(
			busyTargets.map(async ({dispatch, target}) => {
				const {id} = target.definition;
				const events = await target.engine?.fetchCacheEvents(
					dispatch.dispatcher.nextCacheSequence(id),
				);
				if (events?.isOk() && events.value.length > 0) {
					dispatch.post({
						kind: 'cache-changed',
						target: id,
						events: events.value,
					});
				}
			}),
		);
	}
}

const adapterKeyPattern = /^adapter\/(.+)@[^@]+$/;

function residentAdapters(target: TrackedTarget): AdapterId[] {
	return (target.report?.artifacts ?? []).flatMap(({key, state}) => {
		const id = adapterIdSchema.safeParse(adapterKeyPattern.exec(key)?.[1]);
		return id.success && state === 'resident' ? [id.data] : [];
	});
}
