import {type Clock} from '../base/common/clock.js';
import {type TargetId} from '../contracts/ids.js';

/** The rate that a target named in an answer. */
export type NamedRateLimit = {
	/** Requests a second from all hosts together, undefined when the answer named none. */
	readonly requestsPerSecond: number | undefined;
	/** Monotonic time of the answer. */
	readonly namedAt: number;
};

/** Collaborators of the limits. */
export type NamedRateLimitsOptions = {
	readonly clock: Clock;
};

/** The newest rate that each target has named. */
export class NamedRateLimits {
	private readonly limits = new Map<TargetId, NamedRateLimit>();

	constructor(private readonly options: NamedRateLimitsOptions) {}

	/** Returns the rate that the target takes from all hosts together, undefined without a limit. */
	get(target: TargetId): number | undefined {
		return this.limits.get(target)?.requestsPerSecond;
	}

	/** Returns the newest answer about the rate of a target, undefined for a target that never named one. */
	newest(target: TargetId): NamedRateLimit | undefined {
		return this.limits.get(target);
	}

	/** Applies what an answer named the given time ago. Returns true when the limit of the target changes. */
	apply(
		target: TargetId,
		requestsPerSecond: number | undefined,
		ageMilliseconds = 0,
	): boolean {
		const known = this.limits.get(target);
		if (!known && requestsPerSecond === undefined) {
			return false;
		}

		const namedAt = this.options.clock.monotonic() - ageMilliseconds;
		if (known && namedAt < known.namedAt) {
			return false;
		}

		this.limits.set(target, {requestsPerSecond, namedAt});
		return known?.requestsPerSecond !== requestsPerSecond;
	}

	/** Forgets the limit of a target that has ended. */
	forget(target: TargetId): void {
		this.limits.delete(target);
	}
}
