import {type Clock} from '../../base/common/clock.js';
import {type TargetReport} from '../../contracts/engine.js';
import {type RequestId, type TargetId} from '../../contracts/ids.js';

/** The fields of a target report that concern its load. */
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

/** Load of one target as estimated by this host. */
export type TargetLoad = {
	readonly target: TargetId;
	readonly slots: number;
	readonly leaving: boolean;
	/** Requests of this host in flight. */
	readonly localOutstanding: number;
	/** Long requests of this host in flight. */
	readonly localLong: number;
	/** Estimated number of requests of other hosts in flight. Not an integer in general. */
	readonly remoteOutstanding: number;
	/** Share of the last report in that number, in [0, 1]. The rest is the mean of the pool. */
	readonly remoteConfidence?: number;
};

/** Collaborators and settings of the tracker. */
export type TargetLoadTrackerOptions = {
	readonly clock: Clock;
	/** Half-life of the weight of a report. The rest of the weight goes to the mean of the pool. */
	readonly reportHalfLifeMilliseconds?: number;
	/** Reported load per slot is capped at this value, so that one wrong report cannot exclude a target. */
	readonly maximumLoadPerSlot?: number;
	/** Weight of a new report in the moving average, in (0, 1]. A single report misleads, because short requests come and go between reports. */
	readonly smoothingFactor?: number;
};

/** Share of the requests at a target that are still there after a time. */
export type ReportAging = (ageMilliseconds: number) => number;

type TargetState = {
	slots: number;
	leaving: boolean;
	/** Local requests in flight, with true for long ones. */
	readonly localRequests: Map<RequestId, boolean>;
	localLong: number;
	/** Number of local requests over time, to subtract them from the total of a late report. */
	history: Array<{readonly time: number; readonly count: number}>;
	incarnation: string;
	sequence: number;
	remoteOutstanding: number;
	/** Reports of this incarnation. */
	reports: number;
	/** Mean of the requests of other hosts over the last reports. */
	usualRemote: number;
	/** Monotonic time at which the last report was measured. */
	measuredAt: number;
};

/** Smallest weight of a report in the usual number of requests at a target. Demand shifts to other models within seconds. */
const usualStep = 0.2;
/** Reports at which the usual number at a target weighs as much as the mean of the pool. */
const usualPriorReports = 2;
/** Period kept in the history. */
const historyMilliseconds = 5000;

/** Tracks the requests in flight on each target: those of this host exactly, those of other hosts as estimated from late and possibly wrong reports. */
export class TargetLoadTracker {
	private readonly clock: Clock;
	private readonly reportHalfLifeMilliseconds: number;
	private readonly maximumLoadPerSlot: number;
	private readonly smoothingFactor: number;
	private aging: ReportAging | undefined;
	private readonly states = new Map<TargetId, TargetState>();
	/** Targets in the iteration order of `loadsFrom`. */
	private order: TargetId[] = [];

	constructor(options: TargetLoadTrackerOptions) {
		this.clock = options.clock;
		this.reportHalfLifeMilliseconds =
			options.reportHalfLifeMilliseconds ?? 1000;
		this.maximumLoadPerSlot = options.maximumLoadPerSlot ?? 4;
		this.smoothingFactor = options.smoothingFactor ?? 0.1;
	}

	/**
	 * Weights reports by their age instead of smoothing them: a new one counts in full, and then as the share of the
	 * requests that are still there. The smoothing is meant for a host that sees many reports of each target while a
	 * request runs; one that sees a report every few seconds would mostly know the mean of the pool. Undefined restores it.
	 */
	setAging(aging: ReportAging | undefined): void {
		this.aging = aging;
	}

	/** Adds a target or changes its number of slots. */
	setTarget(target: TargetId, slots: number): void {
		const state = this.states.get(target);
		if (state) {
			state.slots = slots;
			return;
		}

		this.states.set(target, {
			slots,
			leaving: false,
			localRequests: new Map(),
			localLong: 0,
			history: [],
			incarnation: '',
			sequence: -1,
			remoteOutstanding: 0,
			reports: 0,
			usualRemote: 0,
			measuredAt: Number.NEGATIVE_INFINITY,
		});
		this.order.push(target);
	}

	/** Removes a target. Requests in flight there are no longer counted. */
	removeTarget(target: TargetId): void {
		if (this.states.delete(target)) {
			this.order = this.order.filter((each) => each !== target);
		}
	}

	/** Marks a target as leaving or not. */
	setLeaving(target: TargetId, leaving: boolean): void {
		const state = this.states.get(target);
		if (state) {
			state.leaving = leaving;
		}
	}

	/** Records that a request of this host is in flight on a target. */
	startRequest(target: TargetId, request: RequestId, isLong: boolean): void {
		const state = this.states.get(target);
		if (!state || state.localRequests.has(request)) {
			return;
		}

		state.localRequests.set(request, isLong);
		state.localLong += isLong ? 1 : 0;
		this.recordHistory(state);
	}

	/** Marks a request in flight as long. */
	markLong(target: TargetId, request: RequestId): void {
		const state = this.states.get(target);
		if (state?.localRequests.get(request) === false) {
			state.localRequests.set(request, true);
			state.localLong++;
		}
	}

	/** Records the end of a request. Returns false if it was not in flight on the target. */
	endRequest(target: TargetId, request: RequestId): boolean {
		const state = this.states.get(target);
		const isLong = state?.localRequests.get(request);
		if (!state || isLong === undefined) {
			return false;
		}

		state.localRequests.delete(request);
		state.localLong -= isLong ? 1 : 0;
		this.recordHistory(state);
		return true;
	}

	/** Applies a report measured `ageMilliseconds` ago. Returns false for an unknown target or a report older than the last one. */
	applyReport(report: LoadReport, ageMilliseconds: number): boolean {
		const state = this.states.get(report.target);
		if (!state) {
			return false;
		}

		const isSameIncarnation = state.incarnation === report.incarnation;
		if (isSameIncarnation && report.sequence < state.sequence) {
			return false;
		}

		state.incarnation = report.incarnation;
		state.sequence = report.sequence;
		state.leaving = report.leaving;
		state.slots = report.slots;
		state.measuredAt = this.clock.monotonic() - Math.max(0, ageMilliseconds);
		const total = Math.min(
			report.running + report.queued,
			state.slots * this.maximumLoadPerSlot,
		);
		const remoteOutstanding = Math.max(
			0,
			total - localCountAt(state, state.measuredAt),
		);
		state.reports = isSameIncarnation ? state.reports + 1 : 1;
		state.usualRemote +=
			Math.max(usualStep, 1 / state.reports) *
			(remoteOutstanding - state.usualRemote);
		state.remoteOutstanding +=
			(isSameIncarnation && !this.aging ? this.smoothingFactor : 1) *
			(remoteOutstanding - state.remoteOutstanding);
		return true;
	}

	/** Returns the load of the given targets, omitting unknown ones. As a report ages, the estimate moves to the mean of these targets. */
	loads(targets: Iterable<TargetId> = this.states.keys()): TargetLoad[] {
		const now = this.clock.monotonic();
		const chosen: Array<[TargetId, TargetState]> = [];
		for (const target of targets) {
			const state = this.states.get(target);
			if (state) {
				chosen.push([target, state]);
			}
		}

		const fresh = chosen.filter(
			([, state]) =>
				now - state.measuredAt < this.reportHalfLifeMilliseconds * 8,
		);
		let sum = 0;
		for (const [, state] of fresh) {
			sum += state.remoteOutstanding / state.slots;
		}

		const mean = fresh.length === 0 ? 0 : sum / fresh.length;
		return chosen.map(([target, state]) => {
			// For an old report the mean of the pool is the better estimate.
			const confidence = this.confidence(now - state.measuredAt);
			return {
				target,
				slots: state.slots,
				leaving: state.leaving,
				localOutstanding: state.localRequests.size,
				localLong: state.localLong,
				remoteOutstanding:
					confidence * state.remoteOutstanding +
					(1 - confidence) * this.usualRemote(state, mean),
				remoteConfidence: confidence,
			};
		});
	}

	/** Returns the load of at most `count` targets, starting at a position that wraps around at the number of targets. */
	loadsFrom(position: number, count: number): TargetLoad[] {
		const {length} = this.order;
		return this.loads(
			Array.from(
				{length: Math.min(count, length)},
				(_, index) => this.order[(position + index) % length]!,
			),
		);
	}

	/** Requests of other hosts to expect at a target of which nothing was reported lately, given the mean load per slot of the pool. */
	private usualRemote(state: TargetState, mean: number): number {
		const share = this.aging
			? state.reports / (state.reports + usualPriorReports)
			: 0;
		return share * state.usualRemote + (1 - share) * mean * state.slots;
	}

	/** Share of a report of an age in the estimate. */
	private confidence(ageMilliseconds: number): number {
		return this.aging
			? this.aging(ageMilliseconds)
			: 0.5 ** (ageMilliseconds / this.reportHalfLifeMilliseconds);
	}

	private recordHistory(state: TargetState): void {
		const time = this.clock.monotonic();
		state.history.push({time, count: state.localRequests.size});
		if (state.history.length > 4096) {
			state.history = state.history.slice(2048);
		}

		const first = state.history[0]!;
		if (time - first.time > historyMilliseconds * 2) {
			const firstKept = state.history.findIndex(
				(point) => time - point.time <= historyMilliseconds,
			);
			// Keeps the last point before the period, which gives the count at its start.
			state.history = state.history.slice(Math.max(0, firstKept - 1));
		}
	}
}

function localCountAt(state: TargetState, time: number): number {
	return state.history.findLast((point) => point.time <= time)?.count ?? 0;
}
