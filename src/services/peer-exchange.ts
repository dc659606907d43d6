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

/** What hosts exchange in heartbeats beside their liveness. */
export type PeerExchangeOptions = {
	readonly membership: MembershipTask;
	readonly targets: TargetDirectory;
	readonly placement: FleetPlacement;
	readonly dispatches: DispatchRegistry;
	readonly quarantine: QuarantineManager;
	readonly demand: DemandCounter;
	readonly host: HostId;
	readonly now: () => number;
};

// A peer that does not answer must not hold a suspect up for long.
const reservationMilliseconds = 500;

/** The part of a load that heartbeats within a short time share. */
type SharedLoad = Omit<HostLoad, 'ready' | 'sightings' | 'reservedTargets'>;

type BuiltLoad = {
	readonly load: SharedLoad;
	readonly at: number;
};

// A holder of a lease sends and answers hundreds of heartbeats a second in a large fleet, each of them the same.
// The ages of reports in them are too small by at most this time.
const loadMilliseconds = 200;

/** Fills the heartbeats of this host and hands out what the peers' heartbeats tell. */
export class PeerExchange implements Disposable {
	private readonly subscription: Disposable;
	private readonly encoder = new ObservationEncoder();
	private readonly decoder = new ObservationDecoder();
	private reserved: readonly TargetId[] = [];
	private reservedAt = Number.NEGATIVE_INFINITY;
	/** The last load, by whether it has complete reports. */
	private readonly built = new Map<boolean, BuiltLoad>();

	constructor(private readonly options: PeerExchangeOptions) {
		this.subscription = options.membership.heartbeatReceived.subscribe(
			(state) => {
				this.receive(state);
			},
		);
	}

	/** The load of this host for a heartbeat to a peer, whose last state is given if it is known. */
	load(peer?: HostState): Omit<HostLoad, 'ready'> {
		const {quarantine, dispatches} = this.options;
		return {
			...this.recentLoad(peer?.wantsReports ?? false),
			// Sent at once when they change, so they must not come from an earlier load.
			sightings: [...quarantine.localSightings()],
			reservedTargets: dispatches.reservedTargets(),
		};
	}

	/**
	 * Tells the peers which targets this host keeps for suspects. Returns whether it may use one of them: of two hosts
	 * that keep the same target, the one whose name sorts first does.
	 */
	async reserve(target: TargetId): Promise<boolean> {
		const {membership, host} = this.options;
		let timer: NodeJS.Timeout | undefined;
		const limit = new Promise<void>((resolve) => {
			timer = setTimeout(resolve, reservationMilliseconds);
		});
		await Promise.race([membership.sendNow(), limit]);
		clearTimeout(timer);
		return !this.liveStates().some(
			(state) => state.host < host && state.reservedTargets.includes(target),
		);
	}

	/** Requests that run or wait, summed over all hosts, for each model. */
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

		const now = this.options.now();
		for (const observation of state.observations) {
			const known = targets.target(observation.target as TargetId)?.report;
			const report = this.decoder.decode(observation, known, now);
			if (report) {
				targets.observeReport(report, observation.ageMilliseconds);
			}
		}

		if (
			now - this.reservedAt >= loadMilliseconds ||
			state.reservedTargets.length > 0
		) {
			this.reservedAt = now;
			this.reserved = this.liveStates().flatMap(
				(live) => live.reservedTargets as TargetId[],
			);
		}

		dispatches.applyPeerState(state, this.reserved);
	}

	private recentLoad(isFullWanted: boolean): SharedLoad {
		const now = this.options.now();
		const known = this.built.get(isFullWanted);
		if (known && now - known.at < loadMilliseconds) {
			return known.load;
		}

		const load = this.buildLoad(isFullWanted, now);
		this.built.set(isFullWanted, {load, at: now});
		return load;
	}

	private buildLoad(isFullWanted: boolean, now: number): SharedLoad {
		const {dispatches, demand} = this.options;
		return {
			callerLoads: dispatches.callerLoads(),
			demands: [...demand.requestsByModel].map(([model, requests]) => ({
				model,
				requests,
			})),
			observations: this.ownObservations(isFullWanted, now),
			wantsReports: this.decoder.wantsReports(now),
		};
	}

	private ownObservations(
		isFullWanted: boolean,
		now: number,
	): HostLoad['observations'] {
		const {targets, placement} = this.options;
		// All targets of a group have the same owner.
		const owned = new Map<string, boolean>();
		return targets.all().flatMap((target) => {
			const {report, reportedAt, pool, definition} = target;
			const group = `${pool.name}\n${definition.failureDomain}`;
			const isOwned = owned.get(group) ?? placement.ownsGroupOf(target);
			owned.set(group, isOwned);
			if (!report || !isOwned) {
				return [];
			}

			return [
				this.encoder.encode(report, {
					ageMilliseconds: Math.max(0, Math.round(now - reportedAt)),
					now,
					isFullWanted,
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
