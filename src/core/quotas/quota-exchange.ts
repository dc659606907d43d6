import {
	type Customer,
	type CustomerQuota,
} from '../../contracts/forwarding-document.js';
import {type CustomerName} from '../../contracts/ids.js';
import {FullHostCount} from './full-host-count.js';
import {QuotaAccount, type QuotaOutlook} from './quota-account.js';
import {QuotaAllocator, type QuotaAllocation} from './quota-allocator.js';
import {quotaKeys} from './quota-keys.js';
import {
	unitsSince,
	type QuotaKey,
	type QuotaReport,
	type QuotaResponse,
	type QuotaWord,
} from './quota-messages.js';
import {type QuotaOptions} from './quota-options.js';
import {
	feedbackMilliseconds,
	isWithinGrowth,
	quotaMargins,
} from './quota-policy.js';
import {UseCollector} from './use-collector.js';

/** Collaborators of the exchange. */
export type QuotaExchangeOptions = Omit<QuotaOptions, 'fullHostCount'> & {
	/** Number of this process. */
	readonly process: number;
	/** True while this host holds the owner lease. */
	readonly isOwner: () => boolean;
	/** Called when requests wait for word of the owner. */
	readonly onWordWanted: () => void;
};

/** The quota of a customer and what limits it on this host now. */
export type QuotaPreview = QuotaOutlook & {
	readonly quota: CustomerQuota;
	/** Units per second of the requests that arrive on this host. */
	readonly demand: number;
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
	/** Units of the account that the collector has counted, modulo 2^32. */
	collected: number;
};

/** Name of this host among the hosts that report to it. */
const ownHost = '';
/** Time between reports outside the regular sequence, in a small fleet and in one with relays. */
const urgentIntervalMilliseconds = {direct: 50, relayed: 80};
const maximumDirectHosts = 12;
/** Time without an own report, which a host sends at least every 1.5 s, from which the process counts as stalled. */
const stallMilliseconds = 2000;
/** Time in which the reports are handled that have waited. */
const stallEndMilliseconds = 300;
/** Part of the last rate that a host uses without newer word. The owner may have given the rest to other hosts. */
const outdatedFactor = 0.8;
/** Time by which one lost report delays word. */
const lossMilliseconds = 750;
/** Requests per second by which the demand may seem to grow by chance. */
const unevenRequestsPerSecond = 2;
/** Longest time without an owner whose use the first reports may still tell. */
const maximumOwnerlessMilliseconds = 8000;

/**
 * The quotas of one host, which may be a relay or the owner as well. All roles follow the same rule: whoever sends word
 * of the owner withholds it from a customer whose growth the receiver of its own reports does not know yet.
 */
export class QuotaExchange {
	private readonly customers = new Map<CustomerName, LimitedCustomer>();
	private readonly customersByKey = new Map<QuotaKey, LimitedCustomer>();
	private readonly collector: UseCollector;
	private readonly quotaOptions: QuotaOptions;
	private allocator: QuotaAllocator | undefined;
	/** Units that customers had taken when they were removed. Their sums go on if they are added again. */
	private readonly formerUnits = new Map<QuotaKey, number>();
	private ownerSince = 0;
	private words = new Map<QuotaKey, QuotaWord>();
	private wordAt = Number.NEGATIVE_INFINITY;
	/** Monotonic time of the last own report. */
	private activeAt: number;
	private stalledAt = Number.NEGATIVE_INFINITY;
	private urgentAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: QuotaExchangeOptions) {
		const full = new FullHostCount(options.clock, options.hostCount);
		this.quotaOptions = {...options, fullHostCount: () => full.current()};
		this.activeAt = options.clock.monotonic();
		this.collector = new UseCollector(
			options.clock,
			(key, units, {firstDemand}) => {
				if (firstDemand === undefined) {
					this.allocator?.use(key, units);
				} else {
					this.allocator?.useFirst(key, units, firstDemand);
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
				this.formerUnits.set(customer.key, customer.account.takenUnits);
				customer.account.admitWaiting();
			}
		}

		for (const [name, {key, quota}] of limited) {
			const known = this.customers.get(name);
			this.lowerWord(key, quota, known?.account.currentQuota);
			known?.account.setQuota(quota);
			this.allocator?.setQuota(key, quota);
			if (!known) {
				const collected = this.formerUnits.get(key) ?? 0;
				const account = new QuotaAccount(this.quotaOptions, quota, {
					takenUnits: collected,
					outlook: () => this.outlook(customer),
				});
				const customer: LimitedCustomer = {name, key, account, collected};
				this.customers.set(name, customer);
				this.customersByKey.set(key, customer);
			}
		}
	}

	/** Account of a customer, undefined if it has no quota. */
	account(name: CustomerName): QuotaAccount | undefined {
		return this.customers.get(name)?.account;
	}

	/** What limits a customer now, undefined if it has no quota. Changes nothing, so that use since the last decision or report of this host is not part of it. */
	preview(name: CustomerName): QuotaPreview | undefined {
		const customer = this.customers.get(name);
		if (!customer) {
			return undefined;
		}

		const {account, key} = customer;
		const isDeciding =
			this.options.isOwner() &&
			this.now - this.ownerSince >=
				feedbackMilliseconds(this.options.hostCount());
		const allocator = isDeciding ? this.allocator : undefined;
		const word = allocator
			? {
					key,
					...allocator.preview(key, this.collector.get(key)?.demand ?? 0),
					isPending: false,
				}
			: this.wordOf(key, undefined);
		return {
			quota: account.currentQuota,
			demand: account.demand,
			...this.outlookOf(customer, allocator, word),
		};
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
		if (this.hasStalled()) {
			return;
		}

		const allocator = this.updateRole();
		this.collector.apply(host, report);
		if (!allocator && this.hasPending(report)) {
			this.wantWord();
		}
	}

	/** The response to the report of a host, undefined while this host has no usable word of the owner. */
	respond(
		host: string,
		report: Pick<QuotaReport, 'process' | 'sequence'>,
	): QuotaResponse | undefined {
		const allocator = this.decidingAllocator();
		const isListening = this.allocator !== undefined && !allocator;
		if (isListening || !this.collector.hasTaken(host, report)) {
			return undefined;
		}

		const ageMilliseconds = allocator ? 0 : this.now - this.wordAt;
		return Number.isFinite(ageMilliseconds)
			? {
					sequence: report.sequence,
					ageMilliseconds,
					words: this.currentWords(allocator),
				}
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
			this.setWords(words, wordAt);
		}

		this.update();
	}

	/** Called repeatedly while this host is the owner. */
	runAsOwner(): void {
		this.reportOwnUse();
		const allocator = this.decidingAllocator();
		if (allocator) {
			this.collector.confirmAll();
			// The host keeps to them for a time when another one becomes the owner.
			this.setWords(this.currentWords(allocator), this.now);
		}

		this.update();
	}

	private get now(): number {
		return this.options.clock.monotonic();
	}

	private setWords(words: readonly QuotaWord[], wordAt: number): void {
		this.wordAt = wordAt;
		const limited = new Set(words.map(({key}) => key));
		for (const {key, account} of this.customers.values()) {
			account.setKnownUse(limited.has(key) ? 0 : account.demand);
		}

		this.words = new Map(
			words.filter(({isLimited}) => isLimited).map((word) => [word.key, word]),
		);
	}

	/** The allocator if it decides. A new owner first listens to all hosts, which go on with the last word of its predecessor. */
	private decidingAllocator(): QuotaAllocator | undefined {
		const allocator = this.updateRole();
		return this.now - this.ownerSince >=
			feedbackMilliseconds(this.options.hostCount())
			? allocator
			: undefined;
	}

	/** The allocator while this host is the owner. It begins with full buckets, less the use that the first reports tell. */
	private updateRole(): QuotaAllocator | undefined {
		if (!this.options.isOwner()) {
			if (this.allocator) {
				this.allocator = undefined;
				this.collector.removeReporters(ownHost);
			}

			return undefined;
		}

		if (!this.allocator) {
			this.ownerSince = this.now;
			const wordAge = this.now - this.wordAt;
			this.allocator = new QuotaAllocator(
				this.quotaOptions,
				Number.isFinite(wordAge)
					? Math.min(maximumOwnerlessMilliseconds, wordAge)
					: 0,
			);
			for (const {key, account} of this.customers.values()) {
				this.allocator.setQuota(key, account.currentQuota);
				this.allocator.assumeUse(key, this.collector.get(key)?.demand ?? 0);
			}
		}

		return this.allocator;
	}

	/** True shortly after this process did not run for a time. The reports that have waited meanwhile may have been repeated to other hosts. */
	private hasStalled(): boolean {
		if (this.now - this.activeAt > stallMilliseconds) {
			this.stalledAt = this.now;
		}

		return this.now - this.stalledAt < stallEndMilliseconds;
	}

	private reportOwnUse(): void {
		this.hasStalled();
		this.activeAt = this.now;
		this.updateRole();
		this.collector.removeExpired();
		for (const customer of this.customers.values()) {
			this.collectOwnUse(customer);
		}

		const isWaiting = [...this.customers.values()].some(
			({account}) => account.hasWaiting,
		);
		this.collector.keep(ownHost, this.options.process, isWaiting);
	}

	private collectOwnUse(customer: LimitedCustomer): void {
		const {key, account} = customer;
		const units = account.takenUnits;
		this.collector.applyUse(ownHost, this.options.process, {
			key,
			units,
			unconfirmedUnits: unitsSince(units, customer.collected),
			demand: account.demand,
		});
		customer.collected = units;
	}

	/** What this host knows of a customer's quota. */
	private outlook(customer: LimitedCustomer): QuotaOutlook {
		const allocator = this.decidingAllocator();
		this.collectOwnUse(customer);
		return this.outlookOf(
			customer,
			allocator,
			this.wordOf(customer.key, allocator),
		);
	}

	private outlookOf(
		customer: LimitedCustomer,
		allocator: QuotaAllocator | undefined,
		{admittedShare, sustainedShare, usedShare, isPending}: QuotaWord,
	): QuotaOutlook {
		const ageMilliseconds = allocator ? 0 : this.now - this.wordAt;
		const {maximumWordAgeMilliseconds} = quotaMargins(
			customer.account.currentQuota,
			this.options.tolerance,
			this.options.hostCount(),
		);
		return {
			mode:
				ageMilliseconds > maximumWordAgeMilliseconds
					? 'part'
					: Math.min(admittedShare, sustainedShare) < 1
						? 'share'
						: 'free',
			admittedShare,
			usedShare,
			ageMilliseconds,
			isPending,
			isOutdated:
				ageMilliseconds > feedbackMilliseconds(this.options.hostCount()),
		};
	}

	/** Lets a lower limit apply to the last word of the owner, which may not have the version yet. */
	private lowerWord(
		key: QuotaKey,
		quota: CustomerQuota,
		former: CustomerQuota | undefined,
	): void {
		const word = this.words.get(key);
		if (word && former && quota.perSecond < former.perSecond) {
			const factor = quota.perSecond / former.perSecond;
			this.words.set(key, {
				...word,
				admittedShare: word.admittedShare * factor,
				sustainedShare: word.sustainedShare * factor,
			});
		}
	}

	private decideWaiting(): boolean {
		const waiting = [...this.customers.values()].filter(
			({account}) => account.hasWaiting,
		);
		for (const {account} of waiting) {
			account.decideWaiting();
		}

		return waiting.some(({account}) => account.hasWaiting);
	}

	/** Words about the customers near their limits, and those whose growth the owner does not know yet. */
	private currentWords(allocator: QuotaAllocator | undefined): QuotaWord[] {
		const keys = new Set([
			...this.collector.keys(),
			...(allocator ? [] : this.words.keys()),
		]);
		return [...keys]
			.map((key) => this.wordOf(key, allocator))
			.filter(({sustainedShare, isPending}) => sustainedShare < 1 || isPending);
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

		// Without newer word, what the bucket had saved up is used up, and half of the rate is left to pay a debt.
		const age = this.now - this.wordAt;
		const feedback = feedbackMilliseconds(this.options.hostCount());
		const isOutdated = age > feedback;
		const word = this.words.get(key);
		const partShare =
			age > feedback + lossMilliseconds && !word ? this.partShare(key) : 1;
		const {
			admittedShare = partShare,
			sustainedShare = partShare,
			usedShare = 0,
		} = word ?? {};
		const share = isOutdated
			? Math.min(
					sustainedShare * (word ? outdatedFactor : 1),
					(admittedShare + sustainedShare) / 2,
				)
			: admittedShare;
		return {
			key,
			admittedShare: share,
			sustainedShare,
			usedShare,
			isLimited: word !== undefined,
			isPending: this.isPending(key, share, isOutdated && sustainedShare < 1),
		};
	}

	/** Share of the demand within the part of this host and those that report to it, for a customer whose demand grows without word of the owner. */
	private partShare(key: QuotaKey): number {
		const collected = this.collector.get(key);
		const quota = this.customersByKey.get(key)?.account.currentQuota;
		if (!collected || !quota) {
			return 1;
		}

		const {demand, confirmed, usualUnits} = collected;
		const part =
			(quota.perSecond * this.collector.reporterCount) /
			this.quotaOptions.fullHostCount();
		const admitted = Math.max(part, confirmed.demand);
		return demand > admitted + unevenRequestsPerSecond * usualUnits
			? admitted / demand
			: 1;
	}

	/** True while the use that the owner does not know exceeds what the hosts of this relay may grow by. */
	private isPending(
		key: QuotaKey,
		admittedShare: number,
		isOutdated: boolean,
	): boolean {
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
				isOutdated,
				isLimited: this.words.has(key),
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
