import {type Clock} from '../../base/common/clock.js';
import {type CallerId} from '../../contracts/ids.js';

/** Collaborators and settings of the usage. */
export type CallerUsageOptions = {
	readonly clock: Clock;
	/** Usage of a caller on the other hosts. */
	readonly others: (caller: CallerId) => number;
	readonly halfLifeMilliseconds?: number;
};

type Usage = {milliseconds: number; updatedAt: number};

/** Time after which dispatched work counts half. Twice the time that a report takes through a relay, so that hosts do not react to work that they have already reacted to. */
const defaultHalfLifeMilliseconds = 2000;
/** Work below which a caller is forgotten. */
const minimumMilliseconds = 1;
/** Number of callers from which forgotten ones are looked for. */
const evictionSize = 1024;

/**
 * Work that was dispatched lately for each caller on all hosts, in milliseconds of a slot. Past work counts less and
 * less, so that a caller that used what others left idle owes nothing for it after some seconds, and a caller that was
 * idle comes first when it returns.
 */
export class CallerUsage {
	private readonly callers = new Map<CallerId, Usage>();
	private readonly halfLifeMilliseconds: number;

	constructor(private readonly options: CallerUsageOptions) {
		this.halfLifeMilliseconds =
			options.halfLifeMilliseconds ?? defaultHalfLifeMilliseconds;
	}

	/** Records work that this host has dispatched. */
	record(caller: CallerId, milliseconds: number): void {
		const own = this.own(caller) + milliseconds;
		const updatedAt = this.options.clock.monotonic();
		this.callers.set(caller, {milliseconds: own, updatedAt});
		if (this.callers.size > evictionSize) {
			this.evict();
		}
	}

	/** Work of a caller on this host and the others. */
	get(caller: CallerId): number {
		return this.own(caller) + this.options.others(caller);
	}

	/** Whole milliseconds of the work on this host, by caller. */
	ownByCaller(): Map<CallerId, number> {
		const result = new Map<CallerId, number>();
		for (const caller of this.callers.keys()) {
			const milliseconds = Math.round(this.own(caller));
			if (milliseconds >= minimumMilliseconds) {
				result.set(caller, milliseconds);
			}
		}

		return result;
	}

	private own(caller: CallerId): number {
		const usage = this.callers.get(caller);
		const elapsed = this.options.clock.monotonic() - (usage?.updatedAt ?? 0);
		return usage
			? usage.milliseconds * 0.5 ** (elapsed / this.halfLifeMilliseconds)
			: 0;
	}

	private evict(): void {
		for (const caller of this.callers.keys()) {
			if (this.own(caller) < minimumMilliseconds) {
				this.callers.delete(caller);
			}
		}
	}
}
