import {type QuotaAccount} from './quota-account.js';

/**
 * What one request takes of its customer's quota. Its units are reserved from its admission on, charged once for each
 * attempt that is sent, and returned for each that did not run. The reservation ends with the request.
 */
export class QuotaCharge {
	private sentAttempts = 0;
	private isReleased = false;

	constructor(
		private readonly account: QuotaAccount,
		private readonly units: number,
	) {}

	/** Counts an attempt that is sent to a target. The first one uses the reserved units. */
	recordSent(): void {
		if (this.sentAttempts > 0 || this.isReleased) {
			this.account.take(this.units);
		}

		this.sentAttempts++;
	}

	/** Withdraws an attempt that did not run. The units of the last one stay reserved for a repetition. */
	recordNotRun(): void {
		this.sentAttempts--;
		if (this.sentAttempts > 0 || this.isReleased) {
			this.account.giveBack(this.units);
		}
	}

	/** Ends the reservation: the request has its final response, or another host sends it. */
	release(): void {
		if (!this.isReleased && this.sentAttempts === 0) {
			this.account.giveBack(this.units);
		}

		this.isReleased = true;
	}
}
