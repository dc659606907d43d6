import {TypedEvent} from '../../base/common/typed-event.js';

/** Bodies up to this size are taken in any case, so that large ones that nobody reads do not cost all other callers theirs. */
const smallBodyBytes = 65_536;

/** The part of a budget that one body has taken. */
export class HeldBody {
	private bytes = 0;

	constructor(private readonly budget: ByteBudget) {}

	/** False when a body of this size would be refused at present. */
	admits(bytes: number): boolean {
		return bytes <= smallBodyBytes || this.budget.admits(bytes);
	}

	/** Counts the next bytes of the body as held, unless it is large and they exceed the budget. */
	tryTake(bytes: number): boolean {
		if (this.bytes + bytes <= smallBodyBytes) {
			this.budget.take(bytes);
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

/** Limits the bytes that a process holds at once for the bodies of requests or answers, so that many of them do not exceed its memory. */
export class ByteBudget {
	/** Bytes were refused. */
	readonly refused = new TypedEvent<void>();
	private held = 0;

	constructor(private readonly limit: number) {}

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
		if (this.held + bytes > this.limit) {
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

		this.held += bytes;
		return true;
	}

	/** Counts bytes as held that cannot be refused any more. */
	take(bytes: number): void {
		this.held += bytes;
	}

	/** Counts bytes as held no more. */
	release(bytes: number): void {
		this.held -= bytes;
	}
}
