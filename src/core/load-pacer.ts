import {type ArtifactKind} from '../contracts/artifact.js';
import {type WeightStoreLimits} from '../contracts/fleet-document.js';

/** The part of the store's budget that one owner of several has. */
export type BudgetShare = {
	/** Position of the owner among all owners, from zero. */
	readonly index: number;
	readonly count: number;
};

/** Time for which an owner keeps its part of the concurrent loads. */
export const shareRotationMilliseconds = 10_000;

/**
 * Paces the loads of one owner. The parts of all owners add up to the store's limits without messages
 * between them: the rate is divided, and concurrent loads go to the owners in turn when there are
 * fewer than owners.
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

	/** Takes over changed limits or a changed number of owners. */
	configure(limits: WeightStoreLimits, share: BudgetShare): void {
		this.limits = limits;
		this.share = share;
	}

	/** Number of loads that were started and not finished. */
	runningLoads(kind: ArtifactKind): number {
		let count = 0;
		for (const other of this.running.values()) {
			count += other === kind ? 1 : 0;
		}

		return count;
	}

	/**
	 * Starts a load if the budget allows it. `wall` chooses whose turn it is; a wrong clock costs
	 * speed and nothing else.
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
		const turn = Math.floor(time.wall / shareRotationMilliseconds);
		if (this.runningLoads(kind) >= this.concurrentPart(total, turn)) {
			return false;
		}

		// The store's rate counts loads of models. Adapters are bounded by their number in flight.
		if (kind === 'model') {
			if (this.tokens < 1) {
				return false;
			}

			this.tokens -= 1;
		}

		this.running.set(id, kind);
		return true;
	}

	/** A load ended, or it is known that it never began. */
	finish(id: string): void {
		this.running.delete(id);
	}

	private concurrentPart(total: number, turn: number): number {
		const {index, count} = this.share;
		const position = (index + turn) % count;
		return (
			Math.floor((total * (position + 1)) / count) -
			Math.floor((total * position) / count)
		);
	}

	private refill(now: number): void {
		const elapsed = Math.max(0, now - this.refilledAt) / 1000;
		const rate = this.limits.loadsPerSecond / this.share.count;
		this.tokens = Math.min(1, this.tokens + elapsed * rate);
		this.refilledAt = now;
	}
}
