/** Requests after which the counts of arrivals are halved, so that they follow the traffic. */
const countedRequests = 64;
/** Largest number of aged requests that may be sent at once after a time without any. */
const maximumCredit = 2;

/**
 * Limits how much aged work of a level of urgency goes ahead of more urgent work, to the share of the level in all
 * requests. Under a lasting overload deferred work is then served as often as urgent work, not more often.
 */
export class AgingShare {
	private readonly arrivals = new Map<number, number>();
	private readonly credits = new Map<number, number>();
	private total = 0;

	/** Records that a request of a level was sent for the first time. */
	recordSent(level: number): void {
		this.arrivals.set(level, (this.arrivals.get(level) ?? 0) + 1);
		this.total++;
		for (const [each, count] of this.arrivals) {
			const credit = (this.credits.get(each) ?? 0) + count / this.total;
			this.credits.set(each, Math.min(maximumCredit, credit));
		}

		if (this.total >= countedRequests) {
			for (const [each, count] of this.arrivals) {
				this.arrivals.set(each, count / 2);
			}

			this.total /= 2;
		}
	}

	/** Takes the right to send an aged request of a level ahead of more urgent ones. Returns false while the level has had its share. */
	tryAcquire(level: number): boolean {
		const credit = this.credits.get(level) ?? 0;
		if (credit < 1) {
			return false;
		}

		this.credits.set(level, credit - 1);
		return true;
	}
}
