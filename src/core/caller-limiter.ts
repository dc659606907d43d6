import {type Clock} from '../base/common/clock.js';
import {type AdmissionSettings} from '../contracts/fleet-document.js';
import {type CallerId, type HostId} from '../contracts/ids.js';

/** What the limit of a caller says of one more request. */
export type LimitDecision = {
	readonly limit: number;
	/** True when the caller has as many requests in flight as its limit allows. Never in mode disabled. */
	readonly isOverLimit: boolean;
	/** True when the request is to be refused. Only in mode enforced. */
	readonly isRefused: boolean;
};

/** Settings of the limiter. */
export type CallerLimiterOptions = {
	readonly clock: Clock;
	/** Disabled until a document is in force. */
	readonly settings?: AdmissionSettings;
	/** Age from which the counts of a silent peer no longer count. */
	readonly peerCountTimeToLiveMilliseconds?: number;
};

type PeerCounts = {
	readonly counts: ReadonlyMap<CallerId, number>;
	readonly receivedAt: number;
};

/** Counts the requests of each caller on this host, over all pools and plain services, and compares the sum over the fleet with its limit. */
export class CallerLimiter {
	private readonly clock: Clock;
	private readonly peerLifetime: number;
	private settings: AdmissionSettings;
	private overrides: ReadonlyMap<CallerId, number> = new Map();
	private readonly own = new Map<CallerId, number>();
	private readonly peers = new Map<HostId, PeerCounts>();

	constructor(options: CallerLimiterOptions) {
		this.clock = options.clock;
		this.peerLifetime = options.peerCountTimeToLiveMilliseconds ?? 5000;
		this.settings = options.settings ?? {
			mode: 'disabled',
			maximumConcurrentPerCaller: 0,
		};
	}

	/** Replaces the limits. `overrides` are limits of single callers. */
	configure(
		settings: AdmissionSettings,
		overrides: ReadonlyMap<CallerId, number>,
	): void {
		this.settings = settings;
		this.overrides = overrides;
	}

	/** Takes the counts that a peer sent in its heartbeat. */
	applyPeerCounts(host: HostId, counts: ReadonlyMap<CallerId, number>): void {
		this.peers.set(host, {counts, receivedAt: this.clock.monotonic()});
	}

	/** Requests that this host has admitted and not released, by caller. For the heartbeat. */
	localCounts(): ReadonlyMap<CallerId, number> {
		return this.own;
	}

	/** Requests of a caller in flight in the fleet, as far as this host knows. */
	inFlight(caller: CallerId): number {
		const now = this.clock.monotonic();
		let sum = this.own.get(caller) ?? 0;
		for (const [host, {counts, receivedAt}] of this.peers) {
			if (now - receivedAt > this.peerLifetime) {
				this.peers.delete(host);
				continue;
			}

			sum += counts.get(caller) ?? 0;
		}

		return sum;
	}

	/** Compares a caller with its limit. Counts nothing. */
	check(caller: CallerId): LimitDecision {
		const {mode, maximumConcurrentPerCaller} = this.settings;
		const limit = this.overrides.get(caller) ?? maximumConcurrentPerCaller;
		const isOverLimit =
			mode !== 'disabled' && limit > 0 && this.inFlight(caller) >= limit;
		return {limit, isOverLimit, isRefused: isOverLimit && mode === 'enforced'};
	}

	/** Counts an admitted request. Each one is released once. */
	acquire(caller: CallerId): void {
		this.own.set(caller, (this.own.get(caller) ?? 0) + 1);
	}

	/** Ends an admitted request. */
	release(caller: CallerId): void {
		const count = (this.own.get(caller) ?? 0) - 1;
		if (count > 0) {
			this.own.set(caller, count);
		} else {
			this.own.delete(caller);
		}
	}
}
