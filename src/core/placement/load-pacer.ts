import {type ArtifactKind} from '../../contracts/artifact.js';
import {type WeightStoreLimits} from '../../contracts/fleet-document.js';

/** The share of the weight store's load budget that belongs to one of several owners. */
export type BudgetShare = {
	/** Zero-based position of the owner among all owners. */
	readonly index: number;
	/** Number of owners. */
	readonly count: number;
};

/** Time after which the shares of the concurrent loads rotate among the owners. */
export const shareRotationMilliseconds = 10_000;

/**
 * Limits the rate and concurrency of the loads of one owner. The shares of all owners add up to the limits of the
 * weight store without any communication between them: the rate is divided evenly, and the concurrent loads rotate
 * among the owners when there are fewer of them than owners.
 */
export class LoadPacer {
	private tokens = 1;
	private refilledAt: number;
	private readonly running = new Map<string, ArtifactKind>();

	constructor(
		private limits: WeightStoreLimits,
		private share: BudgetShare,
		now: number,
	) {
		this.refilledAt = now;
	}

	/** Applies changed limits or a changed number of owners. Loads that are running stay counted. */
	configure(limits: WeightStoreLimits, share: BudgetShare): void {
		this.limits = limits;
		this.share = share;
	}

	/** Returns the number of loads of a kind that were started and have not finished. */
	runningLoads(kind: ArtifactKind): number {
		let count = 0;
		for (const other of this.running.values()) {
			count += other === kind ? 1 : 0;
		}

		return count;
	}

	/**
	 * Starts a load if the budget allows it, and returns whether it does. `now` is monotonic time. `wall` is wall-clock
	 * time and selects the owners whose share is larger in this rotation; a wrong clock only slows loading down.
	 */
	tryStart(
		id: string,
		kind: ArtifactKind,
		time: {readonly now: number; readonly wall: number},
	): boolean {
		this.refill(time.now);
		const total =
			kind === 'model'
				? this.limits.concurrentLoads
				: this.limits.concurrentAdapterLoads;
		const rotation = Math.floor(time.wall / shareRotationMilliseconds);
		if (this.runningLoads(kind) >= this.concurrentShare(total, rotation)) {
			return false;
		}

		// The rate limit of the store applies to models only. Adapter loads are limited by concurrency.
		if (kind === 'model') {
			if (this.tokens < 1) {
				return false;
			}

			this.tokens -= 1;
		}

		this.running.set(id, kind);
		return true;
	}

	/** Frees the concurrency of a load that ended or that certainly never began. Unknown ids are ignored. */
	finish(id: string): void {
		this.running.delete(id);
	}

	private concurrentShare(total: number, rotation: number): number {
		const {index, count} = this.share;
		const position = (index + rotation) % count;
		return (
			Math.floor((total * (position + 1)) / count) -
			Math.floor((total * position) / count)
		);
	}

	private refill(now: number): void {
		const elapsedSeconds = Math.max(0, now - this.refilledAt) / 1000;
		const rate = this.limits.loadsPerSecond / this.share.count;
		this.tokens = Math.min(1, this.tokens + elapsedSeconds * rate);
		this.refilledAt = now;
	}
}
