import {type Clock} from '../base/common/clock.js';
import {type CustomerName} from '../contracts/ids.js';
import {type QuotaDemand, type QuotaGrant} from './quota-issuer.js';

type Portion = {units: number; readonly expiresAt: number};

type Account = {
	/** What was granted, in the order in which it expires. */
	portions: Portion[];
	/** What requests have taken lately. */
	taken: Array<{readonly units: number; readonly at: number}>;
	/** Time from which the account may be asked for again. */
	askFrom: number;
	usedAt: number;
};

/** Time within which granted units must be used. What a host held when it was lost comes on top of what others use. */
const grantLifetimeMilliseconds = 500;
const takenWindowMilliseconds = 1000;
/** Units asked for at once beyond those that are needed, as a share of those taken in the last second. */
const batchShare = 0.25;
/** Time after which an account that nobody uses is forgotten. */
const accountLifetimeMilliseconds = 30_000;

/** What this host may use of the quotas of customers. */
export class QuotaBook {
	private readonly accounts = new Map<CustomerName, Account>();

	constructor(private readonly clock: Clock) {}

	/** Takes the units of a request. Returns false if they are not there. */
	tryTake(customer: CustomerName, units: number): boolean {
		const now = this.clock.monotonic();
		const account = this.accountOf(customer, now);
		let available = 0;
		for (const portion of account.portions) {
			available += portion.units;
		}

		if (available < units) {
			return false;
		}

		let missing = units;
		for (const portion of account.portions) {
			const used = Math.min(portion.units, missing);
			portion.units -= used;
			missing -= used;
		}

		account.portions = account.portions.filter((portion) => portion.units > 0);
		account.taken.push({units, at: now});
		return true;
	}

	/** Time until units may be asked for again, 0 if that is now. */
	remainingWait(customer: CustomerName): number {
		const now = this.clock.monotonic();
		return Math.max(0, this.accountOf(customer, now).askFrom - now);
	}

	/** What to ask for so that requests that need so many units can go on, and those that follow them soon. */
	demandFor(customer: CustomerName, neededUnits: number): QuotaDemand {
		const now = this.clock.monotonic();
		const {taken, portions} = this.accountOf(customer, now);
		let recent = 0;
		for (const {units} of taken) {
			recent += units;
		}

		let available = 0;
		for (const {units} of portions) {
			available += units;
		}

		return {
			customer,
			amount: Math.ceil(
				Math.max(0, neededUnits - available) + recent * batchShare,
			),
		};
	}

	/** Applies what was granted. */
	applyGrant({customer, amount, retryMilliseconds}: QuotaGrant): void {
		const now = this.clock.monotonic();
		const account = this.accountOf(customer, now);
		account.askFrom = now + retryMilliseconds;
		if (amount > 0) {
			account.portions.push({
				units: amount,
				expiresAt: now + grantLifetimeMilliseconds,
			});
		}
	}

	private accountOf(customer: CustomerName, now: number): Account {
		let account = this.accounts.get(customer);
		if (!account) {
			this.forgetUnused(now);
			account = {portions: [], taken: [], askFrom: now, usedAt: now};
			this.accounts.set(customer, account);
		}

		account.usedAt = now;
		account.portions = account.portions.filter(
			({expiresAt}) => expiresAt > now,
		);
		account.taken = account.taken.filter(
			({at}) => now - at < takenWindowMilliseconds,
		);
		return account;
	}

	private forgetUnused(now: number): void {
		for (const [customer, {usedAt}] of this.accounts) {
			if (now - usedAt >= accountLifetimeMilliseconds) {
				this.accounts.delete(customer);
			}
		}
	}
}
