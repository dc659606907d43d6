/** An unbounded message queue with a single consumer, which takes one message at a time. */
export class Mailbox<T> {
	private readonly messages: T[] = [];
	private waiter: ((message: T | undefined) => void) | undefined;
	private closed = false;

	/** Number of queued messages. */
	get size(): number {
		return this.messages.length;
	}

	/** Queues a message. Messages posted after `close` are dropped. */
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

	/** Resolves with the next message, or with undefined once the mailbox is closed and empty. Only one call may wait at a time. */
	async take(): Promise<T | undefined> {
		const message = this.messages.shift();
		if (message !== undefined || this.closed) {
			return message;
		}

		return new Promise((resolve) => {
			this.waiter = resolve;
		});
	}

	/** Drops further messages and wakes a waiting consumer. Queued messages can still be taken. */
	close(): void {
		this.closed = true;
		this.waiter?.(undefined);
		this.waiter = undefined;
	}
}
