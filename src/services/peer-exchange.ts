import {Buffer} from 'node:buffer';
import {type Disposable} from '../base/common/disposable.js';
import {targetReportSchema} from '../contracts/engine.js';
import {
	type Fingerprint,
	type HostId,
	type ModelId,
	type TargetId,
	type TargetIncarnation,
} from '../contracts/ids.js';
import {type HostState} from '../generated/daisylever/peer/v1/peer_pb.js';
import {type DispatchSet} from './dispatch/dispatch-set.js';
import {type DemandCounter} from './entry/demand-counter.js';
import {type QuarantineKeeper} from './entry/quarantine-keeper.js';
import {type HostLoad, type MembershipTask} from './membership-task.js';
import {type FleetPlacement} from './placement/fleet-placement.js';
import {type TargetDirectory} from './targets/target-directory.js';

/** What hosts exchange in heartbeats beside their liveness. */
export type PeerExchangeOptions = {
	readonly membership: MembershipTask;
	readonly targets: TargetDirectory;
	readonly placement: FleetPlacement;
	readonly dispatches: DispatchSet;
	readonly quarantine: QuarantineKeeper;
	readonly demand: DemandCounter;
	readonly host: HostId;
	readonly now: () => number;
};

// A peer that does not answer must not hold a suspect up for long.
const reservationMilliseconds = 500;

/** Fills the heartbeats of this host and hands out what the peers' heartbeats tell. */
export class PeerExchange implements Disposable {
	private readonly subscription: Disposable;

	constructor(private readonly options: PeerExchangeOptions) {
		this.subscription = options.membership.heartbeatReceived.subscribe(
			(state) => {
				this.receive(state);
			},
		);
	}

	/** The load of this host for its next heartbeat. */
	load(): Omit<HostLoad, 'ready'> {
		const {quarantine, dispatches, demand} = this.options;
		return {
			sightings: [...quarantine.ownSightings()],
			callerLoads: dispatches.callerLoads(),
			reservedTargets: dispatches.reservedTargets(),
			demands: [...demand.current].map(([model, requests]) => ({
				model,
				requests,
			})),
			observations: this.ownObservations(),
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
		const total = new Map(this.options.demand.current);
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
			quarantine.observe(
				{
					target: sighting.target as TargetId,
					targetIncarnation: sighting.targetIncarnation as TargetIncarnation,
					fingerprints: [sighting.fingerprint as Fingerprint],
				},
				0,
			);
		}

		for (const observation of state.observations) {
			const report = targetReportSchema.safeParse(
				JSON.parse(Buffer.from(observation.report).toString('utf8')),
			);
			if (report.success) {
				targets.observe(report.data, observation.ageMilliseconds);
			}
		}

		const reserved = this.liveStates().flatMap((live) => live.reservedTargets);
		dispatches.receive(state, reserved as TargetId[]);
	}

	private ownObservations(): HostLoad['observations'] {
		const {targets, placement, now} = this.options;
		return targets.all().flatMap((target) => {
			const {report, reportedAt} = target;
			if (!report || !placement.owns(target)) {
				return [];
			}

			return [
				{
					target: report.target,
					ageMilliseconds: Math.max(0, Math.round(now() - reportedAt)),
					// Only the owner of a group needs the orders that a report lists.
					report: Buffer.from(JSON.stringify({...report, appliedOrders: []})),
				},
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
