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
import {UseMeter} from './use-meter.js';

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

type ReporterUse = {
	units: number;
	demand: number;
	readonly use: UseMeter;
	/** Use in units per second at the last report. */
	perSecond: number;
	/** Units that the host is assumed to have used since. */
	assumed: number;
};

type Reporter = {
	process: number;
	/** Number of the newest report that was taken. */
	sequence: number;
	reportedAt: number;
	isWaiting: boolean;
	readonly uses: Map<QuotaKey, ReporterUse>;
};

/** Called with units that a host has used since its last report. */
type UseListener = (key: QuotaKey, units: number, use: FirstUse) => void;

/** Demand in the first report of a customer by a host, undefined in later ones. */
type FirstUse = {readonly firstDemand: number | undefined};

/** Time for which the sums of a silent host are kept, so that the units that it used meanwhile count once when it returns. */
const reporterLifetimeMilliseconds = 60_000;
/** Time between two reports that does not count as silence. */
const usualSilenceMilliseconds = 1500;
/** Time constant of the use that a silent host is assumed to go on with. */
const useTimeConstantMilliseconds = 3000;
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
	apply(host: string, report: QuotaReport): void {
		const {process, sequence, uses, isWaiting} = report;
		this.keep(host, process, isWaiting);
		for (const use of uses) {
			this.applyUse(host, process, use);
		}

		const reporter = this.reporterOf(host, process);
		reporter.sequence = Math.max(reporter.sequence, sequence);
		this.returnAssumed(reporter);
	}

	/** True when a report of a host was taken, so that it may be confirmed. */
	hasTaken(
		host: string,
		{process, sequence}: Pick<QuotaReport, 'process' | 'sequence'>,
	): boolean {
		const reporter = this.reporters.get(host);
		return reporter?.process === process && reporter.sequence >= sequence;
	}

	/** Takes the use of one customer by a host. */
	applyUse(
		host: string,
		process: number,
		{key, units, unconfirmedUnits, demand}: QuotaUse,
	): void {
		const reporter = this.reporterOf(host, process);
		const known = reporter.uses.get(key);
		// A host that has reported elsewhere in between was confirmed there.
		const used = known
			? Math.min(unitsSince(units, known.units), unconfirmedUnits)
			: unconfirmedUnits;
		const now = this.clock.monotonic();
		const use = known?.use ?? new UseMeter(now, useTimeConstantMilliseconds);
		use.add(used, now);
		reporter.uses.set(key, {
			units,
			demand,
			use,
			perSecond: use.perSecond(now),
			assumed: 0,
		});
		const change = used - (known?.assumed ?? 0);
		const collected = this.uses.get(key) ?? {
			units: 0,
			demand: 0,
			confirmed: {units: 0, demand: 0, at: now},
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

	/** Records that a host reports. */
	keep(host: string, process: number, isWaiting: boolean): void {
		const reporter = this.reporterOf(host, process);
		reporter.reportedAt = this.clock.monotonic();
		reporter.isWaiting = isWaiting;
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
			this.assumeUse(reporter, silence);
			if (silence > maximumWordAgeMilliseconds) {
				reporter.isWaiting = false;
				this.dropDemand(reporter);
				// The host has ended, reports to another one, or keeps to its part.
				this.returnAssumed(reporter);
			}

			if (silence > reporterLifetimeMilliseconds) {
				this.reporters.delete(host);
			}
		}
	}

	/** Forgets the hosts that reported to this one while it was the owner. */
	removeReporters(exceptHost: string): void {
		for (const [host, reporter] of this.reporters) {
			if (host !== exceptHost) {
				this.returnAssumed(reporter);
				this.dropDemand(reporter);
				this.reporters.delete(host);
			}
		}

		this.confirmAll();
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
			sequence: 0,
			reportedAt: this.clock.monotonic(),
			isWaiting: false,
			uses: new Map<QuotaKey, ReporterUse>(),
		};
		this.reporters.set(host, reporter);
		return reporter;
	}

	/** Counts the use that a silent host may go on with. Its next report corrects it. */
	private assumeUse({uses}: Reporter, silence: number): void {
		if (
			silence <= usualSilenceMilliseconds ||
			silence > maximumWordAgeMilliseconds
		) {
			return;
		}

		for (const [key, use] of uses) {
			const assumed = Math.floor((use.perSecond * silence) / 1000);
			const change = assumed - use.assumed;
			const collected = this.uses.get(key);
			if (change > 0 && collected) {
				use.assumed = assumed;
				collected.units = addUnits(collected.units, change);
				this.onUse(key, change, {firstDemand: undefined});
			}
		}
	}

	/** Returns what a host was assumed to have used of the customers that its report leaves out. */
	private returnAssumed({uses}: Reporter): void {
		for (const [key, use] of uses) {
			const collected = this.uses.get(key);
			if (use.assumed > 0 && collected) {
				collected.units = addUnits(collected.units, -use.assumed);
				this.onUse(key, -use.assumed, {firstDemand: undefined});
				use.assumed = 0;
			}
		}
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
