import {Disposable} from '../../base/common/disposable.js';
import {type Clock} from '../../base/common/clock.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {entryEvents} from '../../contracts/events/entry-events.js';
import {type ClaimManager} from './claim-manager.js';

/** Options of the claim carrier. */
export type ClaimCarryForwardTaskOptions = {
	readonly claims: ClaimManager;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	/** How long the log keeps a record. */
	readonly retentionMilliseconds: number;
	/** True while this host holds the lease for carrying claims. */
	readonly holdsLease: () => boolean;
};

// Half of the retention remains for outages of the log and for changes of the lease holder.
const carriedAgeShare = 0.5;
const ticksPerRetention = 20;
const maximumTickMilliseconds = 60_000;

/** Appends claims anew before the log drops them, while this host holds the lease for it. */
export class ClaimCarryForwardTask extends Disposable {
	private timer: NodeJS.Timeout | undefined;
	private isCarrying = false;

	constructor(private readonly options: ClaimCarryForwardTaskOptions) {
		super();
	}

	/** Starts to tick. */
	start(): void {
		this.timer ??= setInterval(
			() => {
				void this.tick();
			},
			Math.min(
				maximumTickMilliseconds,
				this.options.retentionMilliseconds / ticksPerRetention,
			),
		);
	}

	/** Carries the claims that come near the retention. Returns their number. */
	async tick(): Promise<number> {
		const {claims, clock, holdsLease, events, metrics} = this.options;
		if (this.isCarrying || !holdsLease()) {
			return 0;
		}

		this.isCarrying = true;
		const age = this.options.retentionMilliseconds * carriedAgeShare;
		const below = claims.offsetAt(clock.wall() - age);
		const {carriedCount: carried, isComplete} = await claims.carryForward(
			below,
			holdsLease,
		);
		this.isCarrying = false;
		if (carried > 0) {
			events.record(entryEvents.claimsCarried, {
				claims: carried,
				below,
				isComplete,
			});
			metrics.count('daisylever_claims_carried_total', {}, carried);
		}

		return carried;
	}

	dispose(): void {
		clearInterval(this.timer);
	}
}
