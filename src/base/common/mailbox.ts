/** An unbounded queue of messages to one task. The task takes one message at a time. */
export class Mailbox<T> {
	private readonly messages: T[] = [];
	private waiter: ((message: T | undefined) => void) | undefined;
	private closed = false;

	/** Number of messages not yet taken. */
	get size(): number {
		return this.messages.length;
	}

	/** Adds a message. Messages after close are dropped. */
	post(message: T): void {
		if (this.closed) {
			return;
		}

		const {waiter} = this;
		if (waiter) {
			this.waiter = undefined;
			waiter(message);
			return;
		}

		this.messages.push(message);
	}

	/** Resolves with the next message, or undefined once the mailbox is closed and empty. */
	async take(): Promise<T | undefined> {
		const message = this.messages.shift();
		if (message !== undefined || this.closed) {
			return message;
		}

		return new Promise((resolve) => {
			this.waiter = resolve;
		});
	}

	/** Refuses further messages and wakes the task. */
	close(): void {
		this.closed = true;
		this.waiter?.(undefined);
		this.waiter = undefined;
	}
}
