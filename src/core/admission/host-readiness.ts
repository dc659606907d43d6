import {type Clock} from '../../base/common/clock.js';

/** Collaborators and thresholds of the readiness. */
export type HostReadinessOptions = {
	readonly clock: Clock;
	/** Time under pressure after which the host asks to be not ready. The limit of the host's work has been lowered several times by then. */
	readonly pressedMilliseconds?: number;
	/** Shortest time not ready. The load balancer asks once a second and takes a host out after two answers. */
	readonly minimumMilliseconds?: number;
	/** Longest time not ready. */
	readonly maximumMilliseconds?: number;
	/** Largest share of its time for which the host is not ready. Above an eighth it misses the readiness requirement. */
	readonly maximumShare?: number;
};

/**
 * Decides when a host whose work is limited already, and whose event loop is still late, says that it is not ready, so
 * that the load balancer sends its new connections elsewhere. It needs a permission for it, and becomes ready again
 * after a few seconds in any case.
 */
export class HostReadiness {
	private readonly options: Required<HostReadinessOptions>;
	private pressedSince: number | undefined;
	private fellAt: number | undefined;
	/** Time not ready that the host has left. */
	private remaining = 0;
	private recordedAt: number;
	private grantedUntil = Number.NEGATIVE_INFINITY;

	constructor(options: HostReadinessOptions) {
		this.options = {
			pressedMilliseconds: 1000,
			minimumMilliseconds: 2500,
			maximumMilliseconds: 5000,
			maximumShare: 0.1,
			...options,
		};
		this.recordedAt = options.clock.monotonic();
	}

	/** False while the load balancer is to send no new connections. */
	get isReady(): boolean {
		return this.fellAt === undefined;
	}

	/** True while the host asks for the permission to be not ready. */
	get wantsRest(): boolean {
		const {clock, pressedMilliseconds, minimumMilliseconds} = this.options;
		return (
			this.isReady &&
			this.pressedSince !== undefined &&
			clock.monotonic() - this.pressedSince >= pressedMilliseconds &&
			this.remaining >= minimumMilliseconds
		);
	}

	/** Takes a permission that is valid for a time. */
	grant(milliseconds: number): void {
		this.grantedUntil = this.options.clock.monotonic() + milliseconds;
	}

	/** Takes what a sample shows: `isPressed` while requests starve in spite of the limit, `isRelieved` while the event loop is in time. Returns true if the readiness has changed. */
	record(isPressed: boolean, isRelieved: boolean): boolean {
		const {clock, maximumShare, maximumMilliseconds, minimumMilliseconds} =
			this.options;
		const now = clock.monotonic();
		const elapsed = now - this.recordedAt;
		this.recordedAt = now;
		this.pressedSince = isPressed ? (this.pressedSince ?? now) : undefined;
		if (this.fellAt === undefined) {
			this.remaining = Math.min(
				maximumMilliseconds,
				this.remaining + elapsed * maximumShare,
			);
			if (!this.wantsRest || this.grantedUntil < now + minimumMilliseconds) {
				return false;
			}

			this.fellAt = now;
			return true;
		}

		this.remaining -= elapsed;
		const isLongEnough = now - this.fellAt >= minimumMilliseconds;
		if (
			(isLongEnough && isRelieved) ||
			this.remaining <= 0 ||
			now >= this.grantedUntil
		) {
			this.fellAt = undefined;
			this.pressedSince = undefined;
			this.grantedUntil = Number.NEGATIVE_INFINITY;
			return true;
		}

		return false;
	}
}
