import {TypedEvent} from '../../base/common/typed-event.js';

/** Bodies up to this size are taken in any case, so that large ones that nobody reads do not cost all other callers theirs. */
const smallBodyBytes = 65_536;

/** The part of a budget that one body has taken. */
export class HeldBody {
	private bytes = 0;

	constructor(private readonly budget: ByteBudget) {}

	/** False when a body of this size would be refused at present. */
	admits(bytes: number): boolean {
		return bytes <= smallBodyBytes
			? this.budget.admitsSmall(bytes)
			: this.budget.admits(bytes);
	}

	/** Counts the next bytes of the body as held, unless it is large and they exceed the budget. */
	tryTake(bytes: number): boolean {
		if (this.bytes + bytes <= smallBodyBytes) {
			if (!this.budget.tryTakeSmall(bytes)) {
				return false;
			}
		} else if (!this.budget.tryTake(bytes)) {
			return false;
		}

		this.bytes += bytes;
		return true;
	}

	/** Counts the body as held no more. */
	release(): void {
		this.budget.release(this.bytes);
		this.bytes = 0;
	}
}

/** How a budget is part of a sum. */
export type BudgetPart = {
	/** The budget of the sum, in which the bytes of this one count too. */
	readonly total: ByteBudget;
	/** True when small bodies are refused that exceed the sum. */
	readonly mayRefuseSmall: boolean;
};

/** Limits the bytes that a process holds at once for the bodies of requests or answers, so that many of them do not exceed its memory. */
export class ByteBudget {
	/** Bytes were refused. */
	readonly refused = new TypedEvent<void>();
	private held = 0;

	constructor(
		private readonly limit: number,
		private readonly part?: BudgetPart,
	) {}

	/** Bytes that are held at the moment. */
	get heldBytes(): number {
		return this.held;
	}

	/** Begins to count a body. */
	hold(): HeldBody {
		return new HeldBody(this);
	}

	/** False, and the refusal is published, when so many bytes exceed the limit together with those that are held. */
	admits(bytes: number): boolean {
		if (this.held + bytes > this.limit || !this.admitsInTotal(bytes)) {
			this.refused.publish();
			return false;
		}

		return true;
	}

	/** The same for a body that only the sum limits. */
	admitsSmall(bytes: number): boolean {
		if (this.part?.mayRefuseSmall === true && !this.admitsInTotal(bytes)) {
			this.refused.publish();
			return false;
		}

		return true;
	}

	/** Counts bytes as held, unless they exceed the limit together with the others. */
	tryTake(bytes: number): boolean {
		if (!this.admits(bytes)) {
			return false;
		}

		this.take(bytes);
		return true;
	}

	/** Counts the bytes of a small body as held, unless they exceed the sum. */
	tryTakeSmall(bytes: number): boolean {
		if (!this.admitsSmall(bytes)) {
			return false;
		}

		this.take(bytes);
		return true;
	}

	/** Counts bytes as held that cannot be refused any more. */
	take(bytes: number): void {
		this.held += bytes;
		this.part?.total.take(bytes);
	}

	/** Counts bytes as held no more. */
	release(bytes: number): void {
		this.held -= bytes;
		this.part?.total.release(bytes);
	}

	private admitsInTotal(bytes: number): boolean {
		return this.part?.total.admits(bytes) ?? true;
	}
}
