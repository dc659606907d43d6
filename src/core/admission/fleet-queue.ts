import {type Clock} from '../../base/common/clock.js';
import {type CallerId, type ModelId} from '../../contracts/ids.js';
import {type CallerUsage} from '../fairness/caller-usage.js';
import {ReportedSums} from '../membership/reported-sums.js';

/** Work that waits for a model, in milliseconds of a slot. */
export type WaitingWork = {
	readonly model: ModelId;
	/** Rank by urgency, lower first. */
	readonly level: number;
	readonly caller: CallerId;
	readonly milliseconds: number;
};

/** What one host, or several together, say of their queues. */
export type QueueReport = {
	readonly waiting: readonly WaitingWork[];
	/** Work that was dispatched lately for each model and level, of which that in the past counts less. */
	readonly dispatched: ReadonlyMap<LevelKey, number>;
	/** Hosts whose queues the report contains. */
	readonly hosts: number;
};

/** A model and a level. */
export type LevelKey = string & {readonly levelKey: unique symbol};

/** Number of levels. */
export const levelCount = 3;

/** Collaborators of the fleet queue. */
export type FleetQueueOptions = {
	readonly clock: Clock;
};

type Level = ReadonlyMap<CallerId, number>;

/** Age from which the data of the other hosts is not used: twice the time that a report takes through a relay. */
export const maximumQueueAgeMilliseconds = 2000;
/** Time after which dispatched work counts half in the drain rate of the fleet. */
export const drainHalfLifeMilliseconds = 2000;
/** Time after which what a host said expires, as for its demand. */
const lifetimeMilliseconds = 3000;
/** Key of what the owner or relay says of the hosts that do not report to this one. Not a valid name of a host. */
const upstream = '(upstream)';
/** Not part of the name of a model or customer. */
const separator = '\n';
/** Share of the work of another caller below which a caller is behind it. Less difference than this comes from the lag of the reports. */
const behindShare = 0.8;

/** The work that waits on all other hosts for each model, from their reports. */
export class FleetQueue {
	private readonly waiting: ReportedSums<string>;
	private readonly dispatched: ReportedSums<LevelKey>;
	private readonly hosts: ReportedSums<'hosts'>;
	private readAt = Number.NEGATIVE_INFINITY;
	/** Waiting work by model, level and caller, undefined when it has to be built from the sums. */
	private index: Map<ModelId, Map<number, Level>> | undefined;
	private indexedVersion = -1;
	private reported: ReadonlyMap<string, number> = new Map();
	private keyed:
		| {readonly report: QueueReport; readonly work: ReadonlyMap<string, number>}
		| undefined;

	constructor(private readonly options: FleetQueueOptions) {
		this.waiting = new ReportedSums({...options, lifetimeMilliseconds});
		this.dispatched = new ReportedSums({...options, lifetimeMilliseconds});
		this.hosts = new ReportedSums({...options, lifetimeMilliseconds});
	}

	/** Longest time since the hosts that do not report to this one were asked for their queues. */
	get ageMilliseconds(): number {
		return this.options.clock.monotonic() - this.readAt;
	}

	/** True while the data is recent enough to decide by. */
	get isCurrent(): boolean {
		return this.ageMilliseconds <= maximumQueueAgeMilliseconds;
	}

	/** Replaces what a host said that reports to this one, undefined when it says nothing. */
	applyReport(host: string, report: QueueReport | undefined): void {
		if (report) {
			this.apply(host, report, 0);
		} else {
			this.forget(host);
		}
	}

	/** Replaces what the owner or relay says of all hosts that do not report to this one, unless it is older than what is known. */
	applyUpstream(report: QueueReport, ageMilliseconds: number): void {
		const readAt = this.options.clock.monotonic() - ageMilliseconds;
		if (readAt >= this.readAt) {
			this.readAt = readAt;
			this.apply(upstream, report, ageMilliseconds);
		}
	}

	/** Called while this host is the owner, to which all others report. */
	becomeOwner(): void {
		this.forget(upstream);
		this.readAt = this.options.clock.monotonic();
	}

	/** The queues of this host and those that report to it. */
	reportUpstream(own: QueueReport): QueueReport {
		return {
			waiting: [...this.waiting.sumWithout(upstream, this.ownWork(own))].map(
				([key, milliseconds]) => fromKey(key, milliseconds),
			),
			dispatched: this.dispatched.sumWithout(upstream, own.dispatched),
			hosts: own.hosts + this.hosts.without(upstream, 'hosts'),
		};
	}

	/** The queues of all hosts but one that reports to this one: a number of entries with the most work, and what was dispatched for their models. */
	reportTo(host: string, own: QueueReport, count: number): QueueReport {
		const waiting = [
			...this.waiting.largestWithout(host, this.ownWork(own), count),
		].map(([key, milliseconds]) => fromKey(key, milliseconds));
		const dispatched = new Map<LevelKey, number>();
		for (const model of new Set(waiting.map((each) => each.model))) {
			for (let level = 0; level < levelCount; level++) {
				const key = toLevelKey(model, level);
				const sum =
					(own.dispatched.get(key) ?? 0) + this.dispatched.without(host, key);
				if (sum > 0) {
					dispatched.set(key, sum);
				}
			}
		}

		return {
			waiting,
			dispatched,
			hosts: own.hosts + this.hosts.without(host, 'hosts'),
		};
	}

	/**
	 * Work on other hosts that a single queue would dispatch before new work of a caller: all more urgent work, and of
	 * each caller with the same urgency as much as is dispatched while the callers take turns.
	 */
	workAhead(
		model: ModelId,
		level: number,
		caller: CallerId,
		ownMilliseconds: number,
		usage?: CallerUsage,
	): number {
		const levels = this.levels(model);
		const ofCaller = levels?.get(level)?.get(caller) ?? 0;
		let sum = 0;
		for (const [each, callers] of levels ?? []) {
			if (each > level) {
				continue;
			}

			for (const [other, milliseconds] of callers) {
				if (each < level || other === caller) {
					sum += milliseconds;
				} else if (!usage || usage.get(other) <= usage.get(caller)) {
					sum += Math.min(milliseconds, ofCaller + ownMilliseconds);
				}
			}
		}

		return sum;
	}

	/** Slots that the other hosts keep busy with a model. */
	busySlots(model: ModelId): number {
		return slotsOf(
			this.dispatchedWork(model).reduce((sum, each) => sum + each, 0),
		);
	}

	/** Work that the other hosts have dispatched lately for a model, by level. */
	dispatchedWork(model: ModelId): number[] {
		return Array.from({length: levelCount}, (_, level) =>
			this.dispatched.get(toLevelKey(model, level)),
		);
	}

	/** Work that waits on other hosts and that a single queue would dispatch before that of a caller: more urgent work, and that of callers with less work lately, once this one has as much as any. */
	precedingWork(
		model: ModelId,
		level: number,
		caller: CallerId,
		usage: CallerUsage,
	): number {
		const levels = this.isCurrent ? this.levels(model) : undefined;
		if (!levels) {
			return 0;
		}

		const limit = usage.isLargest(caller) ? usage.get(caller) * behindShare : 0;
		let sum = 0;
		for (const [each, callers] of levels) {
			if (each > level) {
				continue;
			}

			for (const [other, milliseconds] of callers) {
				sum +=
					each < level || (other !== caller && usage.get(other) < limit)
						? milliseconds
						: 0;
			}
		}

		return sum;
	}

	/** Records the queue of this host as it is reported, from which growth is judged until the next report. */
	recordOwn(own: QueueReport): void {
		this.reported = toWork(own);
	}

	/**
	 * Work by which the queues of the other hosts have grown since their last reports, if they grew as that of this host
	 * did. In the first second of a burst the reports do not show it yet.
	 */
	growth(model: ModelId, level: number, ownMilliseconds: number): number {
		let reported = 0;
		for (const [key, milliseconds] of this.reported) {
			const entry = fromKey(key, milliseconds);
			reported +=
				entry.model === model && entry.level <= level ? milliseconds : 0;
		}

		return Math.max(0, ownMilliseconds - reported) * this.hosts.get('hosts');
	}

	private apply(
		host: string,
		report: QueueReport,
		ageMilliseconds: number,
	): void {
		this.waiting.apply(host, toWork(report), ageMilliseconds);
		this.dispatched.apply(host, report.dispatched, ageMilliseconds);
		this.hosts.apply(host, new Map([['hosts', report.hosts]]), ageMilliseconds);
	}

	private forget(host: string): void {
		this.waiting.forget(host);
		this.dispatched.forget(host);
		this.hosts.forget(host);
	}

	/** The waiting work of this host by key, kept while the report is the same. */
	private ownWork(own: QueueReport): ReadonlyMap<string, number> {
		if (this.keyed?.report !== own) {
			this.keyed = {report: own, work: toWork(own)};
		}

		return this.keyed.work;
	}

	private levels(model: ModelId): ReadonlyMap<number, Level> | undefined {
		const sums = this.waiting.entries();
		if (!this.index || this.indexedVersion !== this.waiting.version) {
			this.indexedVersion = this.waiting.version;
			this.index = new Map();
			for (const [key, milliseconds] of sums) {
				const entry = fromKey(key, milliseconds);
				const levels = this.index.get(entry.model) ?? new Map<number, Level>();
				const callers = new Map(levels.get(entry.level));
				callers.set(entry.caller, milliseconds);
				levels.set(entry.level, callers);
				this.index.set(entry.model, levels);
			}
		}

		return this.index.get(model);
	}
}

/** Slots that are kept busy by work that was dispatched lately: its sum settles at the rate times the integral of the decay. */
export function slotsOf(dispatchedMilliseconds: number): number {
	return dispatchedMilliseconds / (drainHalfLifeMilliseconds / Math.LN2);
}

/** The key of a model and a level. */
export function toLevelKey(model: ModelId, level: number): LevelKey {
	return [model, level].join(separator) as LevelKey;
}

/** The model and the level of a key. */
export function fromLevelKey(key: LevelKey): [ModelId, number] {
	const [model, level] = key.split(separator) as [ModelId, string];
	return [model, Number(level)];
}

function toWork({waiting}: QueueReport): Map<string, number> {
	return new Map(
		waiting.map(({model, level, caller, milliseconds}) => [
			[model, level, caller].join(separator),
			milliseconds,
		]),
	);
}

function fromKey(key: string, milliseconds: number): WaitingWork {
	const [model, level, caller] = key.split(separator) as [
		ModelId,
		string,
		CallerId,
	];
	return {model, level: Number(level), caller, milliseconds};
}
