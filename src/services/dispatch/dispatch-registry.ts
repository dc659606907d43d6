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
import {DispatchDirectory} from '../entry/dispatching-model-gateway.js';
import {
	type KnownTarget,
	type TargetDirectory,
} from '../targets/target-directory.js';
import {ServicePoolDispatch} from './service-pool-dispatch.js';
import {
	EnginePoolDispatch,
	type EnginePoolDispatchOptions,
} from './engine-pool-dispatch.js';

/** Collaborators of the set. */
export type DispatchRegistryOptions = Omit<
	EnginePoolDispatchOptions,
	'pool'
> & {
	readonly targets: TargetDirectory;
};

/** The count of one caller over all pools and services, as heartbeats carry it. */
export type CallerLoad = {
	readonly caller: CallerId;
	readonly inFlight: number;
};

const cacheEventMilliseconds = 1000;

/** One dispatch for each pool, told of all changes around it. */
export class DispatchRegistry
	extends DispatchDirectory
	implements ServiceDispatchDirectory
{
	private readonly engines = new Map<PoolName, EnginePoolDispatch>();
	private readonly services = new Map<PoolName, ServicePoolDispatch>();
	private readonly owned = new DisposableStore();
	private readonly timer: NodeJS.Timeout;
	private hosts: readonly HostId[];

	constructor(private readonly options: DispatchRegistryOptions) {
		super();
		this.hosts = [options.host];
		const {targets} = options;
		this.owned.add(
			targets.changed.subscribe((target) => {
				if (target) {
					this.tellTarget(target);
				}
			}),
		);
		this.owned.add(
			targets.targetRemoved.subscribe((target) => {
				for (const [, dispatch] of this.all()) {
					dispatch.post({kind: 'target-removed', target});
				}
			}),
		);
		this.timer = setInterval(() => {
			void this.fetchCacheEvents();
		}, cacheEventMilliseconds);
	}

	dispatchOf(pool: PoolName): EnginePoolDispatch | undefined {
		return this.engines.get(pool);
	}

	serviceDispatchOf(pool: PoolName): ServicePoolDispatch | undefined {
		return this.services.get(pool);
	}

	/** Creates the dispatches that a document needs and passes its limits on. */
	applyDocument(document: FleetDocument): void {
		const limits = new Map<CallerId, number>();
		for (const caller of document.callers) {
			if (caller.maximumConcurrent !== undefined) {
				limits.set(caller.id, caller.maximumConcurrent);
			}
		}

		this.options.limiter.configure(document.admission, limits);
		const named = new Set<PoolName>();
		for (const pool of document.pools) {
			named.add(pool.name);
			const dispatch =
				pool.kind === 'engine'
					? this.ensureEngines(pool.name)
					: this.ensureServices(pool.name);
			for (const {id, slots} of pool.targets) {
				dispatch.post({kind: 'target-set', target: id, slots});
			}
		}

		for (const pools of [this.engines, this.services]) {
			for (const [name, dispatch] of pools) {
				if (!named.has(name)) {
					pools.delete(name);
					dispatch.retire();
				}
			}
		}
	}

	/** Takes over which hosts share the targets. */
	setHosts(hosts: readonly HostId[]): void {
		this.hosts = hosts;
		for (const [, dispatch] of this.all()) {
			dispatch.post({kind: 'hosts-changed', hosts});
		}
	}

	/** Takes in what a peer tells of its callers and suspects. */
	applyPeerState(
		state: HostState,
		reservedElsewhere: readonly TargetId[],
	): void {
		const counts = new Map<CallerId, number>();
		// A host of the version before sends one count for each pool.
		for (const load of state.callerLoads) {
			const caller = load.caller as CallerId;
			counts.set(caller, (counts.get(caller) ?? 0) + load.inFlight);
		}

		this.options.limiter.applyPeerCounts(state.host as HostId, counts);
		for (const [, dispatch] of this.all()) {
			dispatch.post({kind: 'suspects-reserved', targets: reservedElsewhere});
		}
	}

	/** Caller counts of this host, for the heartbeat. */
	callerLoads(): CallerLoad[] {
		return [...this.options.limiter.localCounts()].map(
			([caller, inFlight]) => ({
				caller,
				inFlight,
			}),
		);
	}

	/** Targets on which this host runs suspects, for the heartbeat. */
	reservedTargets(): TargetId[] {
		return [...this.engines.values()].flatMap(({dispatcher}) => {
			const reserved = dispatcher.reservedTarget();
			return reserved === undefined ? [] : [reserved];
		});
	}

	dispose(): void {
		clearInterval(this.timer);
		void this.owned.dispose();
		for (const [, dispatch] of this.all()) {
			dispatch.dispose();
		}

		this.engines.clear();
		this.services.clear();
	}

	private all(): Array<[PoolName, EnginePoolDispatch | ServicePoolDispatch]> {
		return [...this.engines, ...this.services];
	}

	private ensureEngines(pool: PoolName): EnginePoolDispatch {
		const known = this.engines.get(pool);
		if (known) {
			return known;
		}

		const dispatch = new EnginePoolDispatch({...this.options, pool});
		this.engines.set(pool, dispatch);
		dispatch.start();
		dispatch.post({kind: 'hosts-changed', hosts: this.hosts});
		return dispatch;
	}

	private ensureServices(pool: PoolName): ServicePoolDispatch {
		const known = this.services.get(pool);
		if (known) {
			return known;
		}

		const dispatch = new ServicePoolDispatch({...this.options, pool});
		this.services.set(pool, dispatch);
		dispatch.start();
		dispatch.post({kind: 'hosts-changed', hosts: this.hosts});
		return dispatch;
	}

	private tellTarget(target: KnownTarget): void {
		const {name} = target.pool;
		const dispatch = this.engines.get(name) ?? this.services.get(name);
		if (!dispatch) {
			return;
		}

		const {id} = target.definition;
		dispatch.post({
			kind: 'target-leaving',
			target: id,
			leaving: target.unavailability === 'leaving',
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

	private async fetchCacheEvents(): Promise<void> {
		const busy = [...this.engines].flatMap(([pool, dispatch]) =>
			dispatch.dispatcher.runningAttempts === 0
				? []
				: this.options.targets
						.targetsOf(pool)
						.map((target) => ({dispatch, target})),
		);
		await Promise.all(
			busy.map(async ({dispatch, target}) => {
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

function residentAdapters(target: KnownTarget): AdapterId[] {
	return (target.report?.artifacts ?? []).flatMap(({key, state}) => {
		const id = adapterIdSchema.safeParse(adapterKeyPattern.exec(key)?.[1]);
		return id.success && state === 'resident' ? [id.data] : [];
	});
}
