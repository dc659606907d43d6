import {type RequestId, type TargetId} from '../contracts/ids.js';
import {type TargetLoad} from './target-load-tracker.js';

/** Runs suspects alone: one at a time, on a target that gets no other work meanwhile. */
export class IsolationPolicy {
	private reserved: TargetId | undefined;
	private holder: RequestId | undefined;
	private isRunning = false;
	private elsewhere: ReadonlySet<TargetId> = new Set();

	/** The target that this host keeps for a suspect, for the heartbeat. */
	get reservedTarget(): TargetId | undefined {
		return this.reserved;
	}

	/** Sets the targets on which other hosts run suspects. */
	setRemoteReservations(targets: Iterable<TargetId>): void {
		this.elsewhere = new Set(targets);
	}

	/** Returns whether the target may get work that is not suspect. */
	isAvailable(target: TargetId): boolean {
		return target !== this.reserved && !this.elsewhere.has(target);
	}

	/** Reserves a target for a suspect and returns it once the target is empty. Only one target is reserved at a time, so that suspects cannot close a pool. */
	reserveTarget(
		request: RequestId,
		loads: readonly TargetLoad[],
	): TargetId | undefined {
		if (this.isRunning && this.holder !== request) {
			return undefined;
		}

		const usable = loads.filter(
			(load) => !load.leaving && !this.elsewhere.has(load.target),
		);
		let chosen = usable.find(({target}) => target === this.reserved);
		if (!chosen) {
			chosen = [...usable].sort(
				(left, right) => occupancy(left) - occupancy(right),
			)[0];
			this.reserved = chosen?.target;
		}

		// A suspect that only waits gives way: the one that asks may be ahead of it in the queue and hold it up there.
		this.holder = chosen && request;
		// Reports of others are estimates, so less than half a request counts as none.
		this.isRunning = chosen !== undefined && occupancy(chosen) < 0.5;
		return this.isRunning ? chosen?.target : undefined;
	}

	/** Opens the target again when its suspect has left it or the queue. */
	release(request: RequestId): void {
		if (this.holder === request) {
			this.holder = undefined;
			this.reserved = undefined;
			this.isRunning = false;
		}
	}
}

function occupancy(load: TargetLoad): number {
	return load.localOutstanding + load.remoteOutstanding;
}
