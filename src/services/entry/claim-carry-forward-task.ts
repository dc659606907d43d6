import {Disposable} from '../../base/common/disposable.js';
import {type Clock} from '../../base/common/clock.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {entryEvents} from '../../contracts/events/entry-events.js';
import {type ClaimManager} from './claim-manager.js';

/** Collaborators and settings of the carry-forward task. */
export type ClaimCarryForwardTaskOptions = {
	readonly claims: ClaimManager;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	/** How long the log retains a record. */
	readonly retentionMilliseconds: number;
	/** Returns true while this host holds the lease for carrying claims forward. */
	readonly holdsLease: () => boolean;
};

// Claims are carried forward after half of the retention time. The other half is a reserve for outages of the log and
// for changes of the lease holder.
const carryForwardAgeRatio = 0.5;
const ticksPerRetention = 20;
const maximumTickIntervalMilliseconds = 60_000;

/** Appends claims to the log again before the log truncates their records, while this host holds the lease for this task. */
export class ClaimCarryForwardTask extends Disposable {
	private timer: NodeJS.Timeout | undefined;
	private isTickRunning = false;

	constructor(private readonly options: ClaimCarryForwardTaskOptions) {
		super();
	}

	/** Starts the timer that calls `tick`. */
	start(): void {
		this.timer ??= setInterval(
			() => {
				void this.tick();
			},
			Math.min(
				maximumTickIntervalMilliseconds,
				this.options.retentionMilliseconds / ticksPerRetention,
			),
		);
	}

	/**
	 * Carries forward the claims that are older than half of the retention time. Returns their number, which is 0 if this
	 * host does not hold the lease or an earlier tick is still running.
	 */
	async tick(): Promise<number> {
		const {claims, clock, holdsLease, events, metrics} = this.options;
		if (this.isTickRunning || !holdsLease()) {
			return 0;
		}

		this.isTickRunning = true;
		const age = this.options.retentionMilliseconds * carryForwardAgeRatio;
		const below = claims.offsetAt(clock.wall() - age);
		const {carriedCount, isComplete} = await claims.carryForward(
			below,
			holdsLease,
		);
		this.isTickRunning = false;
		if (carriedCount > 0) {
			events.record(entryEvents.claimsCarried, {
				claims: carriedCount,
				below,
				isComplete,
			});
			metrics.count('daisylever_claims_carried_total', {}, carriedCount);
		}

		return carriedCount;
	}

	dispose(): void {
		clearInterval(this.timer);
	}
}
