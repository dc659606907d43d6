import {type Customer} from '../../contracts/forwarding-document.js';
import {type CustomerName} from '../../contracts/ids.js';
import {QuotaAccount} from './quota-account.js';
import {QuotaAllocator, type QuotaAllocation} from './quota-allocator.js';
import {quotaKeys} from './quota-keys.js';
import {
	type QuotaKey,
	type QuotaReport,
	type QuotaResponse,
	type QuotaWord,
	type ReportedUse,
} from './quota-messages.js';
import {type QuotaOptions} from './quota-options.js';
import {isWithinGrowth, quotaMargins} from './quota-policy.js';
import {UseCollector} from './use-collector.js';

/** Collaborators of the exchange. */
export type QuotaExchangeOptions = QuotaOptions & {
	/** Number of this process. */
	readonly process: number;
	/** True while this host holds the owner lease. */
	readonly isOwner: () => boolean;
	/** Called when requests wait for word of the owner. */
	readonly onWordWanted: () => void;
};

/** What operators see of one customer on this host. */
export type QuotaState = {
	readonly customer: CustomerName;
	readonly account: QuotaAccount;
	/** Use of the fleet in units per second, known to the owner only. */
	readonly usePerSecond: number | undefined;
};

type LimitedCustomer = {
	readonly name: CustomerName;
	readonly key: QuotaKey;
	readonly account: QuotaAccount;
	/** State of the account in its last report to the collector. */
	reported: ReportedUse;
};

/** Name of this host among the hosts that report to it. */
const ownHost = '';
/** Time between reports outside the regular sequence, in a small fleet and in one with relays. */
const urgentIntervalMilliseconds = {direct: 50, relayed: 80};
const maximumDirectHosts = 12;
/** Time after a change of the owner in which the first report of a host tells what it used before. */
const takeoverMilliseconds = 5000;

/**
 * The quotas of one host, which may be a relay or the owner as well. All roles follow the same rule: whoever sends word
 * of the owner withholds it from a customer whose growth the receiver of its own reports does not know yet.
 */
export class QuotaExchange {
	private readonly customers = new Map<CustomerName, LimitedCustomer>();
	private readonly customersByKey = new Map<QuotaKey, LimitedCustomer>();
	private readonly collector: UseCollector;
	private allocator: QuotaAllocator | undefined;
	private ownerSince = 0;
	private words = new Map<QuotaKey, QuotaWord>();
	private wordAt = Number.NEGATIVE_INFINITY;
	private urgentAt = Number.NEGATIVE_INFINITY;
	private ownSequence = 0;

	constructor(private readonly options: QuotaExchangeOptions) {
		this.collector = new UseCollector(
			options.clock,
			(key, units, {firstDemand}) => {
				this.allocator?.use(key, units);
				if (
					firstDemand !== undefined &&
					this.now - this.ownerSince < takeoverMilliseconds
				) {
					this.allocator?.assumeUse(key, firstDemand);
				}
			},
		);
	}

	/** True while some customer has a quota. */
	get isActive(): boolean {
		return this.customers.size > 0;
	}

	/** Applies the customers of a new version. A customer that was removed in between is a new one. */
	applyCustomers(customers: readonly Customer[]): void {
		const keys = quotaKeys(customers.map(({name}) => name));
		const limited = new Map(
			customers.flatMap(({name, quota}) =>
				quota ? [[name, {key: keys.get(name)!, quota}] as const] : [],
			),
		);
		for (const [name, customer] of this.customers) {
			if (limited.get(name)?.key !== customer.key) {
				this.customers.delete(name);
				this.customersByKey.delete(customer.key);
				this.allocator?.forget(customer.key);
			}
		}

		for (const [name, {key, quota}] of limited) {
			const known = this.customers.get(name);
			known?.account.setQuota(quota);
			this.allocator?.setQuota(key, quota);
			if (!known) {
				const account = new QuotaAccount(this.options, quota);
				account.applyWord(undefined, this.wordAt, undefined);
				const customer = {name, key, account, reported: account.snapshot()};
				this.customers.set(name, customer);
				this.customersByKey.set(key, customer);
			}
		}
	}

	/** Account of a customer, undefined if it has no quota. */
	account(name: CustomerName): QuotaAccount | undefined {
		return this.customers.get(name)?.account;
	}

	/** What operators see of the customers with a quota. */
	states(): QuotaState[] {
		const allocator = this.updateRole();
		return [...this.customers.values()].map(({name, key, account}) => ({
			customer: name,
			account,
			usePerSecond: allocator?.usePerSecond(key),
		}));
	}

	/** Decides on requests that wait, with word of the owner if it has to be asked for. To be called at short intervals while requests wait. Returns whether some still wait. */
	update(): boolean {
		this.reportOwnUse();
		this.applyOwnWords();
		const isWaiting = this.decideWaiting();
		if (isWaiting) {
			this.wantWord();
		}

		return isWaiting;
	}

	/** The report to the owner or a relay. */
	report(): QuotaReport {
		this.reportOwnUse();
		return {
			process: this.options.process,
			...this.collector.report(),
			isWaiting: this.collector.isWaiting,
		};
	}

	/** Takes the report of a host that reports to this one. */
	applyReport(host: string, report: QuotaReport): void {
		const allocator = this.updateRole();
		this.collector.apply(host, report);
		if (!allocator && this.hasPending(report)) {
			this.wantWord();
		}
	}

	/** The response to the report of a host, undefined while this host has no usable word of the owner. */
	respond(sequence: number): QuotaResponse | undefined {
		const allocator = this.updateRole();
		const ageMilliseconds = allocator ? 0 : this.now - this.wordAt;
		return Number.isFinite(ageMilliseconds)
			? {sequence, ageMilliseconds, words: this.currentWords(allocator)}
			: undefined;
	}

	/** Takes the response of the owner or a relay. `ageMilliseconds` is the largest age that it can have. */
	applyResponse(
		{sequence, words, ageMilliseconds: ageAtSender}: QuotaResponse,
		ageMilliseconds: number,
	): void {
		const pending = new Set(
			words.filter(({isPending}) => isPending).map(({key}) => key),
		);
		this.collector.confirm(sequence, pending);
		const wordAt = this.now - ageMilliseconds - ageAtSender;
		if (wordAt >= this.wordAt) {
			this.wordAt = wordAt;
			this.words = new Map(
				words
					.filter(({admittedShare}) => admittedShare < 1)
					.map((word) => [word.key, word]),
			);
		}

		this.update();
	}

	/** Called repeatedly while this host is the owner. */
	runAsOwner(): void {
		this.updateRole();
		this.update();
	}

	private get now(): number {
		return this.options.clock.monotonic();
	}

	/** The allocator while this host is the owner. It begins with full buckets, less the use that the first reports tell. */
	private updateRole(): QuotaAllocator | undefined {
		if (!this.options.isOwner()) {
			this.allocator = undefined;
			return undefined;
		}

		if (!this.allocator) {
			this.ownerSince = this.now;
			this.allocator = new QuotaAllocator(this.options);
			for (const {key, account} of this.customers.values()) {
				this.allocator.setQuota(key, account.currentQuota);
				this.allocator.assumeUse(key, this.collector.get(key)?.demand ?? 0);
			}
		}

		this.collector.confirmAll();
		return this.allocator;
	}

	private reportOwnUse(): void {
		this.updateRole();
		this.collector.removeExpired();
		this.ownSequence++;
		let isWaiting = false;
		const uses = [];
		for (const customer of this.customers.values()) {
			const {key, account} = customer;
			isWaiting ||= account.hasWaiting;
			const use = account.snapshot();
			const {units, demand} = customer.reported;
			if (use.units !== units || use.demand !== demand) {
				uses.push({key, ...use, unconfirmedUnits: account.unconfirmedUnits});
			}

			customer.reported = use;
		}

		this.collector.apply(ownHost, {
			process: this.options.process,
			sequence: this.ownSequence,
			uses,
			isWaiting,
		});
		if (this.allocator) {
			this.collector.confirmAll();
		}
	}

	private applyOwnWords(): void {
		const allocator = this.updateRole();
		const wordAt = allocator ? this.now : this.wordAt;
		for (const {key, account, reported} of this.customers.values()) {
			const word = this.wordOf(key, allocator);
			account.applyWord(
				word.admittedShare < 1 ? word : undefined,
				wordAt,
				word.isPending || !Number.isFinite(wordAt) ? undefined : reported,
			);
		}
	}

	private decideWaiting(): boolean {
		let isWaiting = false;
		for (const {account} of this.customers.values()) {
			if (account.hasWaiting) {
				account.decideWaiting();
				isWaiting ||= account.hasWaiting;
			}
		}

		return isWaiting;
	}

	/** Words about the customers near their limits, and those whose growth the owner does not know yet. */
	private currentWords(allocator: QuotaAllocator | undefined): QuotaWord[] {
		return [...this.collector.keys()]
			.map((key) => this.wordOf(key, allocator))
			.concat(
				[...this.words.values()].filter(
					({key}) => !allocator && !this.collector.get(key),
				),
			)
			.filter(({admittedShare, isPending}) => admittedShare < 1 || isPending);
	}

	private wordOf(
		key: QuotaKey,
		allocator: QuotaAllocator | undefined,
	): QuotaWord {
		if (allocator) {
			const allocation: QuotaAllocation = allocator.allocate(
				key,
				this.collector.get(key)?.demand ?? 0,
			);
			return {key, ...allocation, isPending: false};
		}

		const word = this.words.get(key);
		return {
			key,
			admittedShare: word?.admittedShare ?? 1,
			usedShare: word?.usedShare ?? 0,
			isPending: this.isPending(key, word?.admittedShare ?? 1),
		};
	}

	/** True while the use that the owner does not know exceeds what the hosts of this relay may grow by. */
	private isPending(key: QuotaKey, admittedShare: number): boolean {
		const collected = this.collector.get(key);
		const quota = this.customersByKey.get(key)?.account.currentQuota;
		if (!collected || !quota) {
			return false;
		}

		const margins = quotaMargins(
			quota,
			this.options.tolerance,
			this.options.hostCount(),
		);
		return !isWithinGrowth(
			{
				...collected,
				admittedShare,
				hosts: this.collector.reporterCount,
			},
			margins,
			this.now,
		);
	}

	private hasPending({uses}: QuotaReport): boolean {
		return uses.some(({key}) => this.wordOf(key, undefined).isPending);
	}

	private wantWord(): void {
		const {now} = this;
		const interval =
			this.options.hostCount() <= maximumDirectHosts
				? urgentIntervalMilliseconds.direct
				: urgentIntervalMilliseconds.relayed;
		if (now - this.urgentAt >= interval) {
			this.urgentAt = now;
			this.options.onWordWanted();
		}
	}
}
