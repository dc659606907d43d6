import {type Clock} from '../../base/common/clock.js';
import {type PoolName, type TargetId} from '../../contracts/ids.js';

/** Receives whether a refused connection proves that the process of its target has ended. */
export type RefusalDecision = (isProof: boolean) => void;

type HeldRefusal = {
	readonly target: TargetId;
	readonly pool: PoolName;
	readonly refusedAt: number;
	readonly decide: RefusalDecision;
};

/** Time after which a refusal that nothing confirmed is discarded. */
const maximumHoldMilliseconds = 1500;

/**
 * Refused connections whose meaning is not clear yet: the process of the target has ended, or the host has lost its
 * paths. A new connection to another target of the pool confirms a refusal. Data or a connection of the target itself
 * refutes it.
 */
export class HeldRefusals {
	private held: HeldRefusal[] = [];

	constructor(private readonly clock: Clock) {}

	/** Holds a refusal back until it is decided. */
	hold(target: TargetId, pool: PoolName, decide: RefusalDecision): void {
		this.held.push({target, pool, refusedAt: this.clock.monotonic(), decide});
	}

	/** Targets of the pool whose refusals are not decided. */
	targetsOf(pool: PoolName): TargetId[] {
		return this.held
			.filter((refusal) => refusal.pool === pool)
			.map(({target}) => target);
	}

	/** A new connection to a target opened, so the host has paths to the pool. */
	applyConnection(target: TargetId, pool: PoolName): void {
		this.decideWhere(
			(refusal) => refusal.target === target && refusal.pool === pool,
			false,
		);
		this.decideWhere((refusal) => refusal.pool === pool, true);
	}

	/** A target sent data, so its process runs, or it is not listed any more. */
	refute(target: TargetId): void {
		this.decideWhere((refusal) => refusal.target === target, false);
	}

	/** Discards the refusals of a pool that this host does not reach. */
	discard(pool: PoolName): void {
		this.decideWhere((refusal) => refusal.pool === pool, false);
	}

	/** Discards refusals that were held for too long. */
	discardExpired(): void {
		const now = this.clock.monotonic();
		this.decideWhere(
			({refusedAt}) => now - refusedAt >= maximumHoldMilliseconds,
			false,
		);
	}

	private decideWhere(
		isDecided: (refusal: HeldRefusal) => boolean,
		isProof: boolean,
	): void {
		if (this.held.length === 0) {
			return;
		}

		const decided = this.held.filter((refusal) => isDecided(refusal));
		this.held = this.held.filter((refusal) => !decided.includes(refusal));
		for (const {decide} of decided) {
			decide(isProof);
		}
	}
}
