import {type Clock} from '../../base/common/clock.js';
import {type RandomSource} from '../../base/common/random-source.js';

/** Collaborators of the selection. */
export type PeerSelectionOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Address at which other hosts reach this one. */
	readonly ownAddress: string;
};

/** Time for which a peer that did not answer or serves no forwarded requests gets none. */
const avoidanceMilliseconds = 1000;

/** Selects the peers to which this host forwards requests whose targets it does not reach: the less used one of two random candidates. */
export class PeerSelection {
	/** Requests in flight from this host, by address of the peer. */
	private readonly inFlight = new Map<string, number>();
	/** Monotonic time until which a peer is avoided, by address. */
	private readonly avoidedUntil = new Map<string, number>();

	constructor(private readonly options: PeerSelectionOptions) {}

	/** Returns one of the peers that are neither avoided nor excluded, or undefined when there is none. */
	choose(
		peers: readonly string[],
		excluded: ReadonlySet<string>,
	): string | undefined {
		const candidates = peers.filter(
			(peer) =>
				peer !== this.options.ownAddress &&
				!excluded.has(peer) &&
				!this.isAvoided(peer),
		);
		const first = this.takeRandom(candidates);
		const second = this.takeRandom(candidates);
		if (first === undefined || second === undefined) {
			return first;
		}

		return this.requestsInFlight(second) < this.requestsInFlight(first)
			? second
			: first;
	}

	/** Number of requests of this host that a peer has not finished. */
	requestsInFlight(peer: string): number {
		return this.inFlight.get(peer) ?? 0;
	}

	/** Records that a request was sent to a peer. */
	recordStart(peer: string): void {
		this.inFlight.set(peer, this.requestsInFlight(peer) + 1);
	}

	/** Records that a request has ended at a peer. */
	recordEnd(peer: string): void {
		const remaining = this.requestsInFlight(peer) - 1;
		if (remaining > 0) {
			this.inFlight.set(peer, remaining);
		} else {
			this.inFlight.delete(peer);
		}
	}

	/** Avoids a peer for a time, because it did not answer or serves no forwarded requests. */
	avoid(peer: string): void {
		this.avoidedUntil.set(
			peer,
			this.options.clock.monotonic() + avoidanceMilliseconds,
		);
	}

	private isAvoided(peer: string): boolean {
		const until = this.avoidedUntil.get(peer);
		if (until === undefined) {
			return false;
		}

		if (this.options.clock.monotonic() < until) {
			return true;
		}

		this.avoidedUntil.delete(peer);
		return false;
	}

	private takeRandom(candidates: string[]): string | undefined {
		return candidates.splice(
			this.options.random.integer(candidates.length),
			1,
		)[0];
	}
}
