import {type RequestId, type TargetId} from '../../contracts/ids.js';
import {type TargetLoad} from './target-load-tracker.js';

/** Isolates suspect requests, which may have crashed a target: runs one at a time, on a target that receives no other work meanwhile. */
export class IsolationPolicy {
	private localReservation: TargetId | undefined;
	private holder: RequestId | undefined;
	private isRunning = false;
	private remoteReservations: ReadonlySet<TargetId> = new Set();

	/** The target that this host has reserved for a suspect. Sent to the peers in the heartbeat. */
	get reservedTarget(): TargetId | undefined {
		return this.localReservation;
	}

	/** Sets the targets that other hosts have reserved for suspects. */
	setRemoteReservations(targets: Iterable<TargetId>): void {
		this.remoteReservations = new Set(targets);
	}

	/** Returns whether the target may receive requests that are not suspect. */
	isAvailable(target: TargetId): boolean {
		return (
			target !== this.localReservation && !this.remoteReservations.has(target)
		);
	}

	/**
	 * Reserves a target for a suspect and returns it once it has no requests in flight; until then returns undefined.
	 * A host reserves only one target at a time, so that suspects cannot block a whole pool.
	 */
	reserveTarget(
		request: RequestId,
		loads: readonly TargetLoad[],
	): TargetId | undefined {
		if (this.isRunning && this.holder !== request) {
			return undefined;
		}

		const usable = loads.filter(
			(load) => !load.leaving && !this.remoteReservations.has(load.target),
		);
		let chosen = usable.find(({target}) => target === this.localReservation);
		if (!chosen) {
			chosen = [...usable].sort(
				(left, right) => occupancy(left) - occupancy(right),
			)[0];
			this.localReservation = chosen?.target;
		}

		// A suspect that is still waiting loses its reservation to the one asking, which may be ahead of it in the queue
		// and would keep it from ever being offered a target.
		this.holder = chosen && request;
		// The load of other hosts is an estimate, so less than half a request counts as none.
		this.isRunning = chosen !== undefined && occupancy(chosen) < 0.5;
		return this.isRunning ? chosen?.target : undefined;
	}

	/** Ends the reservation when its suspect has completed or left the queue. */
	release(request: RequestId): void {
		if (this.holder === request) {
			this.holder = undefined;
			this.localReservation = undefined;
			this.isRunning = false;
		}
	}
}

function occupancy(load: TargetLoad): number {
	return load.localOutstanding + load.remoteOutstanding;
}
