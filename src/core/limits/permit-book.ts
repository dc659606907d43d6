import {type Clock} from '../../base/common/clock.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {type TargetId} from '../../contracts/ids.js';
import {type NamedRateLimits} from './named-rate-limits.js';
import {type PermitGrant} from './permit-issuer.js';

/** Permits that this host asks for. */
export type PermitDemand = {
	readonly target: TargetId;
	readonly count: number;
};

/** Collaborators of the book. */
export type PermitBookOptions = {
	readonly clock: Clock;
	readonly limits: NamedRateLimits;
};

type Account = {
	/** Monotonic times at which the permits expire, in ascending order. */
	readonly expiries: number[];
	/** Monotonic times of the requests sent within the last second. */
	sentAt: number[];
	isWanted: boolean;
	/** Monotonic time from which permits may be asked for again. */
	askFrom: number;
};

/** Time within which a permit must be used. Short, because the permits of a former issuer come on top of those of the next one. */
const permitLifetimeMilliseconds = 400;
const sentWindowMilliseconds = 1000;
/** Permits asked for at once, as a share of the requests of the last second, so that a busy host does not ask for each. */
const batchShare = 0.25;
const maximumBatch = 16;

/** The permits of this host for requests to targets that name the rate that they take. */
export class PermitBook {
	/** Work waits for a permit that this host may ask for now. */
	readonly wanted = new TypedEvent<void>();
	private readonly accounts = new Map<TargetId, Account>();

	constructor(private readonly options: PermitBookOptions) {}

	/** True when a request may be sent to the target now. Otherwise the book asks for a permit. */
	hasPermit(target: TargetId): boolean {
		if (this.options.limits.get(target) === undefined) {
			return true;
		}

		const now = this.options.clock.monotonic();
		const account = this.accountOf(target);
		while (account.expiries.length > 0 && account.expiries[0]! <= now) {
			account.expiries.shift();
		}

		if (account.expiries.length > 0) {
			return true;
		}

		if (!account.isWanted && now >= account.askFrom) {
			account.isWanted = true;
			this.wanted.publish();
		}

		return false;
	}

	/** True when `hasPermit` would be. Changes nothing and asks for no permit. */
	previewPermit(target: TargetId): boolean {
		const now = this.options.clock.monotonic();
		return (
			this.options.limits.get(target) === undefined ||
			(this.accounts.get(target)?.expiries.some((expiry) => expiry > now) ??
				false)
		);
	}

	/** Records a request to a target, which uses a permit if the target names a rate. */
	recordSent(target: TargetId): void {
		if (this.options.limits.get(target) === undefined) {
			return;
		}

		const now = this.options.clock.monotonic();
		const account = this.accountOf(target);
		account.expiries.shift();
		account.sentAt = [...recentlySent(account, now), now];
	}

	/** Returns the permits to ask for. Until their grant is applied, the book does not ask for them again. */
	pendingDemands(): PermitDemand[] {
		const now = this.options.clock.monotonic();
		return [...this.accounts]
			.filter(([, {isWanted}]) => isWanted)
			.map(([target, account]) => ({
				target,
				count: Math.min(
					maximumBatch,
					Math.max(
						1,
						Math.ceil(recentlySent(account, now).length * batchShare),
					),
				),
			}));
	}

	/** Applies the permits that were granted. Returns true when there are any, so that waiting work may be sent. */
	applyGrant({target, count, retryMilliseconds}: PermitGrant): boolean {
		const now = this.options.clock.monotonic();
		const account = this.accountOf(target);
		account.isWanted = false;
		account.askFrom = count > 0 ? now : now + retryMilliseconds;
		for (let index = 0; index < count; index++) {
			account.expiries.push(now + permitLifetimeMilliseconds);
		}

		return count > 0;
	}

	/** Forgets a target that has ended. */
	forget(target: TargetId): void {
		this.accounts.delete(target);
	}

	private accountOf(target: TargetId): Account {
		let account = this.accounts.get(target);
		if (!account) {
			account = {expiries: [], sentAt: [], isWanted: false, askFrom: 0};
			this.accounts.set(target, account);
		}

		return account;
	}
}

function recentlySent({sentAt}: Account, now: number): number[] {
	return sentAt.filter((at) => now - at < sentWindowMilliseconds);
}
