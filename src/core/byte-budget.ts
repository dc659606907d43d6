import {TypedEvent} from '../base/common/typed-event.js';

/** Limits the bytes that a process holds at once for answers, so that many of them do not exceed its memory. */
export class ByteBudget {
	/** Bytes were refused. */
	readonly refused = new TypedEvent<void>();
	private held = 0;

	constructor(private readonly limit: number) {}

	/** Bytes that are held at the moment. */
	get heldBytes(): number {
		return this.held;
	}

	/** Counts bytes as held, unless they exceed the limit together with the others. */
	tryTake(bytes: number): boolean {
		if (this.held + bytes > this.limit) {
			this.refused.publish();
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
