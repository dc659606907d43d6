import {type Clock} from '../base/common/clock.js';

/** Collaborators and settings of the budget. */
export type RetryBudgetOptions = {
	readonly clock: Clock;
	/** Extra attempts added to the budget per first attempt. */
	readonly ratio?: number;
	/** Extra attempts added per second regardless of traffic, for hosts with few requests. */
	readonly minimumPerSecond?: number;
	/** Maximum number of extra attempts in the budget. */
	readonly capacity?: number;
};

/** Token bucket that limits retries and hedges to a share of the first attempts, so that they cannot amplify an overload. */
export class RetryBudget {
	private readonly options: Required<RetryBudgetOptions>;
	private balance: number;
	private refilledAt: number;

	constructor(options: RetryBudgetOptions) {
		this.options = {ratio: 0.1, minimumPerSecond: 1, capacity: 20, ...options};
		this.balance = Math.min(1, this.options.capacity);
		this.refilledAt = options.clock.monotonic();
	}

	/** Whole extra attempts available now. */
	get available(): number {
		this.refill();
		return Math.floor(this.balance);
	}

	/** Records a first attempt, which adds to the budget. */
	recordFirstAttempt(): void {
		this.deposit(this.options.ratio);
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
		const now = this.options.clock.monotonic();
		this.deposit(
			((now - this.refilledAt) / 1000) * this.options.minimumPerSecond,
		);
		this.refilledAt = now;
	}

	private deposit(amount: number): void {
		this.balance = Math.min(this.options.capacity, this.balance + amount);
	}
}
