import {type Clock} from '../../base/common/clock.js';

/** Collaborators of the estimator. */
export type BacklogEstimatorOptions = {
	readonly clock: Clock;
};

type Rate = {count: number; updatedAt: number};

/** Weight of a start in the moving average of the times to start. */
const smoothingFactor = 0.2;
/** Half-life of a dispatch in the drain rate. */
const halfLifeMilliseconds = 1000;
/** Lowest drain rate assumed, per millisecond, for work of which nothing was dispatched lately. */
const minimumRate = 2 / 1000;

/** Estimates how long work waits behind the queued work of the same model, from the rate at which such work leaves the queue, and how long it then takes to start. */
export class BacklogEstimator<Key> {
	private readonly rates = new Map<Key, Rate>();
	private readonly startTimes = new Map<Key, number>();

	constructor(private readonly options: BacklogEstimatorOptions) {}

	/** Records that work left the queue for a target. */
	recordDispatch(key: Key): void {
		const rate = this.decayed(key);
		rate.count++;
		this.rates.set(key, rate);
	}

	/** Records the time from send to start of a request. */
	recordStart(key: Key, milliseconds: number): void {
		const before = this.startTimes.get(key) ?? milliseconds;
		this.startTimes.set(
			key,
			before + smoothingFactor * (milliseconds - before),
		);
	}

	/** Usual time from send to start, undefined before the first start. */
	usualStartMilliseconds(key: Key): number | undefined {
		return this.startTimes.get(key);
	}

	/** Returns the expected wait behind a number of queued requests, in milliseconds. */
	waitMilliseconds(key: Key, requestsAhead: number): number {
		// At a constant rate the decayed count settles at the rate times the integral of the decay.
		const rate = this.decayed(key).count / (halfLifeMilliseconds / Math.LN2);
		return requestsAhead / Math.max(minimumRate, rate);
	}

	private decayed(key: Key): Rate {
		const now = this.options.clock.monotonic();
		const rate = this.rates.get(key);
		return {
			count: rate
				? rate.count * 0.5 ** ((now - rate.updatedAt) / halfLifeMilliseconds)
				: 0,
			updatedAt: now,
		};
	}
}
