import {type Disposable} from '../base/common/disposable.js';
import {
	type Fingerprint,
	type HostId,
	type ModelId,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';
import {type HostState} from '../generated/daisylever/peer/v1/peer_pb.js';
import {type DispatchRegistry} from './dispatch/dispatch-registry.js';
import {type DemandCounter} from './entry/demand-counter.js';
import {type QuarantineManager} from './entry/quarantine-manager.js';
import {type HostLoad, type MembershipTask} from './membership-task.js';
import {ObservationDecoder, ObservationEncoder} from './observation-codec.js';
import {type FleetPlacement} from './placement/fleet-placement.js';
import {type TargetDirectory} from './targets/target-directory.js';

/** Options of a peer exchange. */
export type PeerExchangeOptions = {
	readonly membership: MembershipTask;
	readonly targets: TargetDirectory;
	readonly placement: FleetPlacement;
	readonly dispatches: DispatchRegistry;
	readonly quarantine: QuarantineManager;
	readonly demand: DemandCounter;
	readonly host: HostId;
	/** Returns the monotonic time in milliseconds. */
	readonly now: () => number;
};

// A peer that does not respond must not delay a suspect request for long.
const reservationTimeoutMilliseconds = 500;

/** The part of the load that is computed once for several heartbeats. */
type SharedLoad = Omit<
	HostLoad,
	'ready' | 'sightings' | 'soundFingerprints' | 'reservedTargets'
>;

type CachedLoad = {
	readonly load: SharedLoad;
	readonly builtAt: number;
};

// In a large fleet, a lease holder sends and receives hundreds of heartbeats per second, all with the same load.
// Reusing a load makes the report ages in it too small by at most this time.
const loadCacheMilliseconds = 200;

/** Provides the load in the heartbeats of this host and distributes the content of received heartbeats to services. */
export class PeerExchange implements Disposable {
	private readonly subscription: Disposable;
	private readonly encoder = new ObservationEncoder();
	private readonly decoder = new ObservationDecoder();
	private peerReservedTargets: readonly TargetId[] = [];
	private peerReservedTargetsUpdatedAt = Number.NEGATIVE_INFINITY;
	/** The last load with complete reports (key true) and without (key false). */
	private readonly loadCache = new Map<boolean, CachedLoad>();

	constructor(private readonly options: PeerExchangeOptions) {
		this.subscription = options.membership.heartbeatReceived.subscribe(
			(state) => {
				this.receive(state);
			},
		);
	}

	/** Returns the load of this host for a heartbeat. `peer` is the last state received from the recipient, if any. */
	load(peer?: HostState): Omit<HostLoad, 'ready'> {
		const {quarantine, dispatches} = this.options;
		return {
			...this.cachedLoad(peer?.wantsReports ?? false),
			// Changes of these fields are sent immediately, so they must not come from the cache.
			sightings: [...quarantine.localSightings()],
			soundFingerprints: quarantine.soundFingerprints(),
			reservedTargets: dispatches.reservedTargets(),
		};
	}

	/**
	 * Notifies the peers of the targets that this host reserves for suspect requests, and resolves to whether it
	 * may use the given one. If two hosts reserve the same target, the host whose id sorts first may use it.
	 */
	async reserve(target: TargetId): Promise<boolean> {
		const {membership, host} = this.options;
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<void>((resolve) => {
			timer = setTimeout(resolve, reservationTimeoutMilliseconds);
		});
		await Promise.race([membership.sendNow(), timeout]);
		clearTimeout(timer);
		return !this.liveStates().some(
			(state) => state.host < host && state.reservedTargets.includes(target),
		);
	}

	/** Number of running and waiting requests of each model, summed over this host and all live hosts. */
	fleetDemand(): ReadonlyMap<ModelId, number> {
		const total = new Map(this.options.demand.requestsByModel);
		for (const state of this.liveStates()) {
			for (const {model, requests} of state.demands) {
				const id = model as ModelId;
				total.set(id, (total.get(id) ?? 0) + requests);
			}
		}

		return total;
	}

	dispose(): void {
		void this.subscription.dispose();
	}

	private receive(state: HostState): void {
		const {targets, dispatches, quarantine} = this.options;
		for (const sighting of state.sightings) {
			quarantine.applyDeath(
				{
					target: sighting.target as TargetId,
					targetIncarnation: sighting.targetIncarnation as TargetIncarnation,
					fingerprints: [sighting.fingerprint as Fingerprint],
				},
				0,
			);
		}

		quarantine.applySoundness(state.soundFingerprints as Fingerprint[]);
		const now = this.options.now();
		for (const observation of state.observations) {
			const known = targets.target(observation.target as TargetId)?.report;
			const report = this.decoder.decode(observation, known, now);
			if (report) {
				targets.observeReport(report, observation.ageMilliseconds);
			}
		}

		if (
			now - this.peerReservedTargetsUpdatedAt >= loadCacheMilliseconds ||
			state.reservedTargets.length > 0
		) {
			this.peerReservedTargetsUpdatedAt = now;
			this.peerReservedTargets = this.liveStates().flatMap(
				(live) => live.reservedTargets as TargetId[],
			);
		}

		dispatches.applyPeerState(state, this.peerReservedTargets);
	}

	private cachedLoad(includeReports: boolean): SharedLoad {
		const now = this.options.now();
		const cached = this.loadCache.get(includeReports);
		if (cached && now - cached.builtAt < loadCacheMilliseconds) {
			return cached.load;
		}

		const load = this.buildLoad(includeReports, now);
		this.loadCache.set(includeReports, {load, builtAt: now});
		return load;
	}

	private buildLoad(includeReports: boolean, now: number): SharedLoad {
		const {dispatches, demand} = this.options;
		return {
			callerLoads: dispatches.callerLoads(),
			demands: [...demand.requestsByModel].map(([model, requests]) => ({
				model,
				requests,
			})),
			observations: this.ownedTargetObservations(includeReports, now),
			wantsReports: this.decoder.wantsReports(now),
		};
	}

	private ownedTargetObservations(
		includeReports: boolean,
		now: number,
	): HostLoad['observations'] {
		const {targets, placement} = this.options;
		// All targets of a group have the same owner, so ownership is looked up once for each group.
		const ownershipByGroup = new Map<string, boolean>();
		return targets.all().flatMap((target) => {
			const {report, reportedAt, pool, definition} = target;
			const group = `${pool.name}\n${definition.failureDomain}`;
			const isOwned =
				ownershipByGroup.get(group) ?? placement.ownsGroupOf(target);
			ownershipByGroup.set(group, isOwned);
			if (!report || !isOwned) {
				return [];
			}

			return [
				this.encoder.encode(report, {
					ageMilliseconds: Math.max(0, Math.round(now - reportedAt)),
					now,
					includeReport: includeReports,
				}),
			];
		});
	}

	private liveStates(): HostState[] {
		const {membership} = this.options;
		return membership.members.flatMap((member) => {
			const state =
				member.status === 'live' || member.status === 'leaving'
					? membership.stateOf(member.host)
					: undefined;
			return state ? [state] : [];
		});
	}
}
