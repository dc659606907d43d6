import {type Clock} from '../../base/common/clock.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {type TargetId} from '../../contracts/ids.js';

/** The rate that a target named in an answer. */
export type NamedRateLimit = {
	/** Requests a second from all hosts together, undefined when the answer named none. */
	readonly requestsPerSecond: number | undefined;
	/** Monotonic time of the answer. */
	readonly namedAt: number;
};

/** The rate that a target named, for other hosts. Hosts have no common clock, so the time is an age. */
export type RateChange = {
	readonly target: TargetId;
	readonly requestsPerSecond: number | undefined;
	readonly ageMilliseconds: number;
};

/** Collaborators of the limits. */
export type NamedRateLimitsOptions = {
	readonly clock: Clock;
};

type TrackedLimit = NamedRateLimit & {
	/** Revision at the last change that other hosts should know. */
	readonly revision: number;
};

/** Change of a rate, as a share of it, from which other hosts learn of it before they ask for permits. */
const notableChange = 0.1;
/** Rates in one message. */
const maximumChanges = 100;

/** The newest rate that each target has named. */
export class NamedRateLimits {
	/** An answer to this host was the first to name a rate, or the first to name none any more. */
	readonly observed = new TypedEvent<void>();
	private readonly limits = new Map<TargetId, TrackedLimit>();
	private currentRevision = 0;

	constructor(private readonly options: NamedRateLimitsOptions) {}

	/** Returns the rate that the target takes from all hosts together, undefined without a limit. */
	get(target: TargetId): number | undefined {
		return this.limits.get(target)?.requestsPerSecond;
	}

	/** Applies what an answer to this host named. Returns true when the limit of the target changes. */
	apply(target: TargetId, requestsPerSecond: number | undefined): boolean {
		const known = this.limits.get(target)?.requestsPerSecond;
		this.update(target, requestsPerSecond, this.options.clock.monotonic());
		if ((known === undefined) !== (requestsPerSecond === undefined)) {
			this.observed.publish();
		}

		return known !== requestsPerSecond;
	}

	/** Applies what another host knows. */
	merge({target, requestsPerSecond, ageMilliseconds}: RateChange): void {
		this.update(
			target,
			requestsPerSecond,
			this.options.clock.monotonic() - ageMilliseconds,
		);
	}

	/** Returns the rate of one target for another host, undefined for a target that never named one. */
	describe(target: TargetId): RateChange | undefined {
		const known = this.limits.get(target);
		return (
			known && {
				target,
				requestsPerSecond: known.requestsPerSecond,
				ageMilliseconds: this.options.clock.monotonic() - known.namedAt,
			}
		);
	}

	/** Returns the rates that have changed since a revision, and the revision up to which that goes. */
	changesSince(revision: number): {
		readonly changes: readonly RateChange[];
		readonly revision: number;
	} {
		if (revision >= this.currentRevision) {
			return {changes: [], revision: this.currentRevision};
		}

		const changed = [...this.limits]
			.filter(([, limit]) => limit.revision > revision)
			.sort(([, left], [, right]) => left.revision - right.revision);
		return {
			changes: changed
				.slice(0, maximumChanges)
				.flatMap(([target]) => this.describe(target) ?? []),
			revision:
				changed.length > maximumChanges
					? changed[maximumChanges]![1].revision - 1
					: this.currentRevision,
		};
	}

	/** Forgets the limit of a target that has ended. */
	forget(target: TargetId): void {
		this.limits.delete(target);
	}

	private update(
		target: TargetId,
		requestsPerSecond: number | undefined,
		namedAt: number,
	): void {
		const known = this.limits.get(target);
		const isNews = known
			? namedAt >= known.namedAt
			: requestsPerSecond !== undefined;
		if (!isNews) {
			return;
		}

		let revision = known?.revision;
		if (
			revision === undefined ||
			isNotableChange(known?.requestsPerSecond, requestsPerSecond)
		) {
			this.currentRevision++;
			revision = this.currentRevision;
		}

		this.limits.set(target, {requestsPerSecond, namedAt, revision});
	}
}

/** Small changes from answer to answer are no news for other hosts. */
function isNotableChange(
	before: number | undefined,
	after: number | undefined,
): boolean {
	return before === undefined || after === undefined
		? before !== after
		: Math.abs(after - before) > before * notableChange;
}
