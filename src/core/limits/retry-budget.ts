import {type Clock} from '../../base/common/clock.js';

/** Limits of the budget. */
export type RetryBudgetLimits = {
	/** Extra attempts added to the budget per first attempt. */
	readonly ratio: number;
	/** Extra attempts added per second regardless of traffic, for hosts with few requests. */
	readonly minimumPerSecond: number;
	/** Maximum number of extra attempts in the budget. */
	readonly capacity: number;
};

/** Collaborators and limits of the budget. */
export type RetryBudgetOptions = Partial<RetryBudgetLimits> & {
	readonly clock: Clock;
};

/** Token bucket that limits retries and hedges to a share of the first attempts, so that they cannot amplify an overload. */
export class RetryBudget {
	private readonly clock: Clock;
	private limits: RetryBudgetLimits;
	private balance: number;
	private refilledAt: number;

	constructor(options: RetryBudgetOptions) {
		const {clock, ...limits} = options;
		this.clock = clock;
		this.limits = {ratio: 0.1, minimumPerSecond: 1, capacity: 20, ...limits};
		this.balance = Math.min(1, this.limits.capacity);
		this.refilledAt = clock.monotonic();
	}

	/** Replaces the limits, for example because the number of hosts that share them has changed. */
	setLimits(limits: RetryBudgetLimits): void {
		this.refill();
		this.limits = limits;
		this.balance = Math.min(this.balance, limits.capacity);
	}

	/** Whole extra attempts available now. */
	get available(): number {
		this.refill();
		return Math.floor(this.balance);
	}

	/** Records a first attempt, which adds to the budget. */
	recordFirstAttempt(): void {
		this.deposit(this.limits.ratio);
	}

	/** Takes one extra attempt from the budget. Returns false if none is available. */
	tryAcquire(): boolean {
		this.refill();
		if (this.balance < 1) {
			return false;
		}

		this.balance--;
		return true;
	}

	private refill(): void {
		const now = this.clock.monotonic();
		this.deposit(
			((now - this.refilledAt) / 1000) * this.limits.minimumPerSecond,
		);
		this.refilledAt = now;
	}

	private deposit(amount: number): void {
		this.balance = Math.min(this.limits.capacity, this.balance + amount);
	}
}
