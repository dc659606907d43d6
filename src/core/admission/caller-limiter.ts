import {type Clock} from '../../base/common/clock.js';
import {type AdmissionSettings} from '../../contracts/fleet-document.js';
import {type CallerId, type HostId} from '../../contracts/ids.js';

/** Result of checking one more request against the limit of its caller. */
export type LimitDecision = {
	/** Concurrent requests allowed; 0 means no limit. */
	readonly limit: number;
	/** True when the caller already has as many requests in flight as its limit allows. Always false in mode `disabled`. */
	readonly isOverLimit: boolean;
	/** True when the request must be refused, which happens only in mode `enforced`. */
	readonly isRefused: boolean;
};

/** Collaborators and settings of the limiter. */
export type CallerLimiterOptions = {
	readonly clock: Clock;
	/** Mode and default limit. Mode `disabled` when omitted, until a document is in force. */
	readonly settings?: AdmissionSettings;
	/** Age above which the counts of a peer that sends no heartbeats are discarded. */
	readonly peerCountTimeToLiveMilliseconds?: number;
};

type PeerCounts = {
	readonly counts: ReadonlyMap<CallerId, number>;
	readonly receivedAt: number;
};

/** Counts the requests of each caller on this host, over all pools and plain services, and compares the sum over all hosts with the limit of the caller. */
export class CallerLimiter {
	private readonly clock: Clock;
	private readonly peerCountTimeToLiveMilliseconds: number;
	private settings: AdmissionSettings;
	private overrides: ReadonlyMap<CallerId, number> = new Map();
	private readonly local = new Map<CallerId, number>();
	private readonly peers = new Map<HostId, PeerCounts>();

	constructor(options: CallerLimiterOptions) {
		this.clock = options.clock;
		this.peerCountTimeToLiveMilliseconds =
			options.peerCountTimeToLiveMilliseconds ?? 5000;
		this.settings = options.settings ?? {
			mode: 'disabled',
			maximumConcurrentPerCaller: 0,
		};
	}

	/** Replaces the mode and the limits. `overrides` maps callers to limits of their own, which replace the default limit. */
	configure(
		settings: AdmissionSettings,
		overrides: ReadonlyMap<CallerId, number>,
	): void {
		this.settings = settings;
		this.overrides = overrides;
	}

	/** Replaces the counts of a peer with those of its latest heartbeat. */
	applyPeerCounts(host: HostId, counts: ReadonlyMap<CallerId, number>): void {
		this.peers.set(host, {counts, receivedAt: this.clock.monotonic()});
	}

	/** Requests that this host has admitted and not yet released, by caller. Sent to the peers in the heartbeat. */
	localCounts(): ReadonlyMap<CallerId, number> {
		return this.local;
	}

	/** Requests of a caller in flight on all hosts, from the local counts and the last heartbeats of the peers. */
	inFlight(caller: CallerId): number {
		const now = this.clock.monotonic();
		let sum = this.local.get(caller) ?? 0;
		for (const [host, {counts, receivedAt}] of this.peers) {
			if (now - receivedAt > this.peerCountTimeToLiveMilliseconds) {
				this.peers.delete(host);
				continue;
			}

			sum += counts.get(caller) ?? 0;
		}

		return sum;
	}

	/** Checks one more request of a caller against its limit, without counting it. */
	check(caller: CallerId): LimitDecision {
		const {mode, maximumConcurrentPerCaller} = this.settings;
		const limit = this.overrides.get(caller) ?? maximumConcurrentPerCaller;
		const isOverLimit =
			mode !== 'disabled' && limit > 0 && this.inFlight(caller) >= limit;
		return {limit, isOverLimit, isRefused: isOverLimit && mode === 'enforced'};
	}

	/** Counts an admitted request, which must be released exactly once. */
	acquire(caller: CallerId): void {
		this.local.set(caller, (this.local.get(caller) ?? 0) + 1);
	}

	/** Stops counting an admitted request. */
	release(caller: CallerId): void {
		const count = (this.local.get(caller) ?? 0) - 1;
		if (count > 0) {
			this.local.set(caller, count);
		} else {
			this.local.delete(caller);
		}
	}
}
