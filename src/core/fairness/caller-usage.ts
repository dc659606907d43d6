import {type Clock} from '../../base/common/clock.js';
import {type CallerId} from '../../contracts/ids.js';
import {DecayingSums} from './decaying-sums.js';

/** Collaborators of the usage. */
export type CallerUsageOptions = {
	readonly clock: Clock;
	/** Usage of a caller on the other hosts. */
	readonly others: (caller: CallerId) => number;
	/** Callers with work on the other hosts. */
	readonly callers: () => Iterable<CallerId>;
};

/** Time after which dispatched work counts half. Twice the time that a report takes through a relay, so that hosts do not react to work that they have already reacted to. */
const halfLifeMilliseconds = 2000;
/** Share of the largest usage from which a caller counts among the largest. Less difference than this comes from the lag of the reports. */
const largestShare = 0.8;
/** Time for which what takes a pass over all callers is kept. */
const lifetimeMilliseconds = 50;

/**
 * Work that was dispatched lately for each caller on all hosts, in milliseconds of a slot. Past work counts less and
 * less, so that a caller that used what others left idle owes nothing for it after some seconds, and a caller that was
 * idle comes first when it returns.
 */
export class CallerUsage {
	private readonly own: DecayingSums<CallerId>;
	private ownWork: ReadonlyMap<CallerId, number> = new Map();
	private ownReadAt = Number.NEGATIVE_INFINITY;
	private largest = 0;
	private largestAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: CallerUsageOptions) {
		this.own = new DecayingSums(options.clock, halfLifeMilliseconds);
	}

	/** Records work that this host has dispatched. */
	record(caller: CallerId, milliseconds: number): void {
		this.own.add(caller, milliseconds);
	}

	/** Work of a caller on this host and the others. */
	get(caller: CallerId): number {
		return this.own.get(caller) + this.options.others(caller);
	}

	/**
	 * True for callers with about as much work as any other. Only these get less than they ask for: shares are equal up to
	 * what a caller asks for.
	 */
	isLargest(caller: CallerId): boolean {
		const now = this.options.clock.monotonic();
		if (now - this.largestAt >= lifetimeMilliseconds) {
			this.largestAt = now;
			this.largest = 0;
			for (const each of this.allCallers()) {
				this.largest = Math.max(this.largest, this.get(each));
			}
		}

		return this.get(caller) >= largestShare * this.largest;
	}

	/** Work of all callers on this host and the others. */
	total(): number {
		let sum = 0;
		for (const caller of this.allCallers()) {
			sum += this.get(caller);
		}

		return sum;
	}

	/** Runs a read and restores what it cached, on which later decisions depend. */
	preview<T>(read: () => T): T {
		const {ownWork, ownReadAt, largest, largestAt} = this;
		const value = read();
		Object.assign(this, {ownWork, ownReadAt, largest, largestAt});
		return value;
	}

	/** Whole milliseconds of the work on this host, by caller. A host that answers many reports reads them once for several. */
	ownByCaller(): ReadonlyMap<CallerId, number> {
		const now = this.options.clock.monotonic();
		if (now - this.ownReadAt >= lifetimeMilliseconds) {
			this.ownReadAt = now;
			this.ownWork = this.own.rounded();
		}

		return this.ownWork;
	}

	private allCallers(): ReadonlySet<CallerId> {
		return new Set([...this.ownByCaller().keys(), ...this.options.callers()]);
	}
}
