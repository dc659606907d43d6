import {type Clock} from '../base/common/clock.js';
import {type TargetReport} from '../contracts/engine.js';
import {type RequestId, type TargetId} from '../contracts/ids.js';

/** The part of a target's report that concerns its load. */
export type LoadReport = Pick<
	TargetReport,
	| 'target'
	| 'incarnation'
	| 'sequence'
	| 'leaving'
	| 'running'
	| 'queued'
	| 'slots'
>;

/** The load of one target as this host sees it. */
export type TargetLoad = {
	readonly target: TargetId;
	readonly slots: number;
	readonly leaving: boolean;
	readonly localOutstanding: number;
	readonly localLong: number;
	readonly remoteOutstanding: number;
};

/** Settings of the view. */
export type TargetLoadTrackerOptions = {
	readonly clock: Clock;
	/** Age at which a report counts half. The rest of the weight goes to the mean of the pool. */
	readonly reportHalfLifeMilliseconds?: number;
	/** A report above this multiple of the slots is taken as this multiple, so that one wrong report cannot exclude a target. */
	readonly maximumLoadPerSlot?: number;
	/** Part of the difference to the estimate so far that a report makes good. Short work comes and goes between reports, so that a single one misleads. */
	readonly smoothingFactor?: number;
};

type Entry = {
	slots: number;
	leaving: boolean;
	readonly own: Map<RequestId, boolean>;
	ownLong: number;
	/** Own counts over time, to subtract own work from a late report. */
	history: Array<{readonly time: number; readonly count: number}>;
	incarnation: string;
	sequence: number;
	others: number;
	measuredAt: number;
};

const historyMilliseconds = 5000;

/** Own work in flight per target, exactly, and that of other hosts, from late and possibly wrong reports. */
export class TargetLoadTracker {
	private readonly clock: Clock;
	private readonly halfLife: number;
	private readonly ceiling: number;
	private readonly smoothing: number;
	private readonly entries = new Map<TargetId, Entry>();
	/** The targets in the order in which `loadsFrom` walks through them. */
	private order: TargetId[] = [];

	constructor(options: TargetLoadTrackerOptions) {
		this.clock = options.clock;
		this.halfLife = options.reportHalfLifeMilliseconds ?? 1000;
		this.ceiling = options.maximumLoadPerSlot ?? 4;
		this.smoothing = options.smoothingFactor ?? 0.1;
	}

	/** Adds a target or changes its number of slots. */
	setTarget(target: TargetId, slots: number): void {
		const entry = this.entries.get(target);
		if (entry) {
			entry.slots = slots;
			return;
		}

		this.entries.set(target, {
			slots,
			leaving: false,
			own: new Map(),
			ownLong: 0,
			history: [],
			incarnation: '',
			sequence: -1,
			others: 0,
			measuredAt: Number.NEGATIVE_INFINITY,
		});
		this.order.push(target);
	}

	/** Forgets a target. Work in flight there is no longer counted. */
	removeTarget(target: TargetId): void {
		if (this.entries.delete(target)) {
			this.order = this.order.filter((each) => each !== target);
		}
	}

	/** Marks a target as leaving or not. */
	setLeaving(target: TargetId, leaving: boolean): void {
		const entry = this.entries.get(target);
		if (entry) {
			entry.leaving = leaving;
		}
	}

	/** Counts a request as in flight on a target. */
	startRequest(target: TargetId, request: RequestId, isLong: boolean): void {
		const entry = this.entries.get(target);
		if (!entry || entry.own.has(request)) {
			return;
		}

		entry.own.set(request, isLong);
		entry.ownLong += isLong ? 1 : 0;
		this.remember(entry);
	}

	/** Counts a request as long from now on. */
	markLong(target: TargetId, request: RequestId): void {
		const entry = this.entries.get(target);
		if (entry?.own.get(request) === false) {
			entry.own.set(request, true);
			entry.ownLong++;
		}
	}

	/** Ends a request. Returns false if it was not in flight on the target. */
	endRequest(target: TargetId, request: RequestId): boolean {
		const entry = this.entries.get(target);
		const isLong = entry?.own.get(request);
		if (!entry || isLong === undefined) {
			return false;
		}

		entry.own.delete(request);
		entry.ownLong -= isLong ? 1 : 0;
		this.remember(entry);
		return true;
	}

	/** Takes in a report measured `ageMilliseconds` ago. Returns false for an unknown target or an older report. */
	applyReport(report: LoadReport, ageMilliseconds: number): boolean {
		const entry = this.entries.get(report.target);
		if (!entry) {
			return false;
		}

		const isSameRun = entry.incarnation === report.incarnation;
		if (isSameRun && report.sequence < entry.sequence) {
			return false;
		}

		entry.incarnation = report.incarnation;
		entry.sequence = report.sequence;
		entry.leaving = report.leaving;
		entry.slots = report.slots;
		entry.measuredAt = this.clock.monotonic() - Math.max(0, ageMilliseconds);
		const total = Math.min(
			report.running + report.queued,
			entry.slots * this.ceiling,
		);
		const others = Math.max(0, total - ownAt(entry, entry.measuredAt));
		entry.others += (isSameRun ? this.smoothing : 1) * (others - entry.others);
		return true;
	}

	/** Returns the load of the given targets, as far as they are known. Reports are aged towards the mean of these targets. */
	loads(targets: Iterable<TargetId> = this.entries.keys()): TargetLoad[] {
		const now = this.clock.monotonic();
		const chosen: Array<[TargetId, Entry]> = [];
		for (const target of targets) {
			const entry = this.entries.get(target);
			if (entry) {
				chosen.push([target, entry]);
			}
		}

		const fresh = chosen.filter(
			([, entry]) => now - entry.measuredAt < this.halfLife * 8,
		);
		let sum = 0;
		for (const [, entry] of fresh) {
			sum += entry.others / entry.slots;
		}

		const mean = fresh.length === 0 ? 0 : sum / fresh.length;
		return chosen.map(([target, entry]) => {
			// An old report says little of this target; the mean of the pool is then the better estimate.
			const trust = 0.5 ** ((now - entry.measuredAt) / this.halfLife);
			return {
				target,
				slots: entry.slots,
				leaving: entry.leaving,
				localOutstanding: entry.own.size,
				localLong: entry.ownLong,
				remoteOutstanding:
					trust * entry.others + (1 - trust) * mean * entry.slots,
			};
		});
	}

	/** Returns the load of at most `count` targets, starting at a position that wraps around. */
	loadsFrom(position: number, count: number): TargetLoad[] {
		const {length} = this.order;
		return this.loads(
			Array.from(
				{length: Math.min(count, length)},
				(_, index) => this.order[(position + index) % length]!,
			),
		);
	}

	private remember(entry: Entry): void {
		const time = this.clock.monotonic();
		entry.history.push({time, count: entry.own.size});
		if (entry.history.length > 4096) {
			entry.history = entry.history.slice(2048);
		}

		const first = entry.history[0]!;
		if (time - first.time > historyMilliseconds * 2) {
			const keep = entry.history.findIndex(
				(point) => time - point.time <= historyMilliseconds,
			);
			// The point before the period gives the count at its start.
			entry.history = entry.history.slice(Math.max(0, keep - 1));
		}
	}
}

function ownAt(entry: Entry, time: number): number {
	return entry.history.findLast((point) => point.time <= time)?.count ?? 0;
}
