import {type Clock} from '../base/common/clock.js';

/** Settings of the budget. */
export type RetryBudgetOptions = {
	readonly clock: Clock;
	/** Extra attempts allowed per first attempt. */
	readonly ratio?: number;
	/** Extra attempts allowed per second without regard to first attempts, for hosts with little traffic. */
	readonly minimumPerSecond?: number;
	/** Most extra attempts that can be saved up. */
	readonly capacity?: number;
};

/** Bounds retries and hedges to a share of the traffic, so that they cannot multiply an overload. */
export class RetryBudget {
	private readonly options: Required<RetryBudgetOptions>;
	private balance: number;
	private refilledAt: number;

	constructor(options: RetryBudgetOptions) {
		this.options = {ratio: 0.1, minimumPerSecond: 1, capacity: 20, ...options};
		this.balance = Math.min(1, this.options.capacity);
		this.refilledAt = options.clock.monotonic();
	}

	/** Extra attempts that are allowed now. */
	get available(): number {
		this.refill();
		return Math.floor(this.balance);
	}

	/** Counts a first attempt. */
	recordFirstAttempt(): void {
		this.deposit(this.options.ratio);
	}

	/** Takes one extra attempt from the budget. Returns false if none is left. */
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
