import {type Clock} from '../../base/common/clock.js';
import {
	addUnits,
	unitsSince,
	type QuotaKey,
	type QuotaReport,
	type QuotaUse,
	type ReportedUse,
} from './quota-messages.js';
import {maximumWordAgeMilliseconds} from './quota-policy.js';

/** Use of one customer by the hosts that report to this one. */
type CollectedUse = {
	/** Units of all hosts since the process started, modulo 2^32. */
	units: number;
	/** Units per second of the hosts that have reported lately. */
	demand: number;
	confirmed: ReportedUse;
	/** Usual units of one host in one report. */
	usualUnits: number;
};

type Reporter = {
	process: number;
	reportedAt: number;
	isWaiting: boolean;
	readonly uses: Map<QuotaKey, {units: number; demand: number}>;
};

/** Called with units that a host has used since its last report. */
type UseListener = (key: QuotaKey, units: number, use: FirstUse) => void;

/** Demand in the first report of a customer by a host, undefined in later ones. */
type FirstUse = {readonly firstDemand: number | undefined};

/** Time for which the sums of a silent host are kept, so that the units that it used meanwhile count once when it returns. */
const reporterLifetimeMilliseconds = 60_000;
/** Number of reports whose responses may still arrive. */
const maximumOpenReports = 8;
/** Weight of the latest report in the usual units of a report. */
const changeWeight = 0.1;
/** Customers in one report. Those with the most unconfirmed units come first. */
const maximumUses = 32;

/** Adds up the use of quotas by this host and the hosts that report to it. Sums are cumulative, so that a repeated report counts once and the next one makes up for a lost one. */
export class UseCollector {
	private readonly reporters = new Map<string, Reporter>();
	private readonly uses = new Map<QuotaKey, CollectedUse>();
	private readonly openReports = new Map<number, Map<QuotaKey, ReportedUse>>();
	private sequence = 0;

	constructor(
		private readonly clock: Clock,
		private readonly onUse: UseListener,
	) {}

	/** Hosts that have reported lately, this one included. */
	get reporterCount(): number {
		return this.reporters.size;
	}

	/** True while requests of a host wait for word. */
	get isWaiting(): boolean {
		return [...this.reporters.values()].some(({isWaiting}) => isWaiting);
	}

	/** Takes the report of a host. */
	apply(host: string, {process, uses, isWaiting}: QuotaReport): void {
		const reporter = this.reporterOf(host, process);
		reporter.reportedAt = this.clock.monotonic();
		reporter.isWaiting = isWaiting;
		for (const use of uses) {
			this.applyUse(reporter, use);
		}
	}

	/** Use of a customer, as the next report would contain it. */
	get(key: QuotaKey): CollectedUse | undefined {
		return this.uses.get(key);
	}

	/** Customers of which a host has reported use. */
	keys(): Iterable<QuotaKey> {
		return this.uses.keys();
	}

	/** Drops the demand of hosts that have not reported for the longest time that word is usable, and later their sums. */
	removeExpired(): void {
		const now = this.clock.monotonic();
		for (const [host, reporter] of this.reporters) {
			const silence = now - reporter.reportedAt;
			if (silence > maximumWordAgeMilliseconds) {
				reporter.isWaiting = false;
				this.dropDemand(reporter);
			}

			if (silence > reporterLifetimeMilliseconds) {
				this.reporters.delete(host);
			}
		}
	}

	/** The sums that have changed since they were confirmed, with a number under which the response confirms them. */
	report(): {readonly sequence: number; readonly uses: QuotaUse[]} {
		const at = this.clock.monotonic();
		const reported = new Map<QuotaKey, ReportedUse>();
		const changed: QuotaUse[] = [];
		for (const [key, {units, demand, confirmed}] of this.uses) {
			reported.set(key, {units, demand, at});
			if (units !== confirmed.units || demand !== confirmed.demand) {
				const unconfirmedUnits = unitsSince(units, confirmed.units);
				changed.push({key, units, unconfirmedUnits, demand});
			}
		}

		if (changed.length > maximumUses) {
			changed.sort(
				(left, right) =>
					Math.abs(right.unconfirmedUnits) - Math.abs(left.unconfirmedUnits),
			);
			for (const {key} of changed.splice(maximumUses)) {
				reported.delete(key);
			}
		}

		this.sequence++;
		this.openReports.set(this.sequence, reported);
		this.openReports.delete(this.sequence - maximumOpenReports);
		return {sequence: this.sequence, uses: changed};
	}

	/** Confirms the sums of a report that was answered, without those of which the owner does not know yet. */
	confirm(sequence: number, pending: ReadonlySet<QuotaKey>): void {
		const reported = this.openReports.get(sequence) ?? [];
		this.openReports.delete(sequence);
		for (const [key, use] of reported) {
			const collected = this.uses.get(key);
			if (collected && !pending.has(key) && use.at > collected.confirmed.at) {
				collected.confirmed = use;
			}
		}
	}

	/** Confirms all sums, which the owner in this process knows. */
	confirmAll(): void {
		const at = this.clock.monotonic();
		for (const collected of this.uses.values()) {
			const {units, demand} = collected;
			collected.confirmed = {units, demand, at};
		}
	}

	private reporterOf(host: string, process: number): Reporter {
		const known = this.reporters.get(host);
		if (known?.process === process) {
			return known;
		}

		if (known) {
			this.dropDemand(known);
		}

		const reporter = {
			process,
			reportedAt: 0,
			isWaiting: false,
			uses: new Map<QuotaKey, {units: number; demand: number}>(),
		};
		this.reporters.set(host, reporter);
		return reporter;
	}

	private applyUse(
		reporter: Reporter,
		{key, units, unconfirmedUnits, demand}: QuotaUse,
	): void {
		const known = reporter.uses.get(key);
		const change = known ? unitsSince(units, known.units) : unconfirmedUnits;
		reporter.uses.set(key, {units, demand});
		const collected = this.uses.get(key) ?? {
			units: 0,
			demand: 0,
			confirmed: {units: 0, demand: 0, at: this.clock.monotonic()},
			usualUnits: 0,
		};
		if (change > 0) {
			collected.usualUnits +=
				(collected.usualUnits === 0 ? 1 : changeWeight) *
				(change - collected.usualUnits);
		}

		collected.units = addUnits(collected.units, change);
		collected.demand += demand - (known?.demand ?? 0);
		this.uses.set(key, collected);
		this.onUse(key, change, {firstDemand: known ? undefined : demand});
	}

	private dropDemand({uses}: Reporter): void {
		for (const [key, use] of uses) {
			const collected = this.uses.get(key);
			if (collected) {
				collected.demand -= use.demand;
			}

			use.demand = 0;
		}
	}
}
