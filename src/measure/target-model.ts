import {type TargetId} from '../contracts/ids.js';
import {type LoadReport} from '../core/routing/target-load-tracker.js';
import {type VirtualTimeline} from './virtual-timeline.js';

/** A period, in milliseconds of the virtual clock, in which a target is slower by a factor. */
export type Slowdown = {
	readonly from: number;
	readonly to: number;
	readonly factor: number;
};

/**
 * One attempt on a target: a first token after `firstTokenMilliseconds`, then the others at equal intervals.
 * `progressed` receives the number of tokens so far.
 */
export type ModelWork = {
	readonly firstTokenMilliseconds: number;
	readonly betweenTokensMilliseconds: number;
	readonly tokens: number;
	readonly progressed: (tokens: number) => void;
	readonly completed: () => void;
	isCancelled: boolean;
	/** Rank at a target with priorities, lower first. */
	readonly level?: number;
	/** Part of the time to the first token in which the target reads the prompt and all other streams there pause. */
	readonly promptMilliseconds?: number;
};

/** Properties of a target beyond those of a plain queue. */
export type TargetModelOptions = {
	/** True if more urgent work starts first, and interrupts less urgent work on a full target. */
	readonly hasPriorities?: boolean;
	/** True to report each token. */
	readonly reportsEachToken?: boolean;
};

/** Work in a slot. */
type RunningWork = {
	readonly work: ModelWork;
	done: number;
	/** Distinguishes the timers of this run from those before an interruption. */
	run: number;
};

// Progress is reported in a few steps to limit the number of simulated events.
const progressSteps = 4;

/** Simulates a target with slots, a queue in the order of arrival, and slowdowns that its load does not show. */
export class TargetModel {
	running = 0;
	/** Slot time used, in milliseconds at normal speed. */
	used = 0;
	/** Interruptions of running work by more urgent work. */
	preemptions = 0;
	private queue: RunningWork[] = [];
	private readonly inSlots = new Set<RunningWork>();
	private sequence = 0;
	/** Time for which all streams have paused so far. */
	private pausedMilliseconds = 0;

	constructor(
		private readonly timeline: VirtualTimeline,
		readonly id: TargetId,
		readonly slots: number,
		private readonly slowdowns: readonly Slowdown[],
		private readonly options: TargetModelOptions = {},
	) {}

	/** Queues work and starts it as soon as a slot is free. */
	accept(work: ModelWork): void {
		const accepted = {work, done: 0, run: 0};
		this.queue.push(accepted);
		if (this.options.hasPriorities && this.running >= this.slots) {
			this.interruptFor(work);
		}

		this.startNext();
	}

	/** Returns a report of the current load, with the next sequence number. */
	report(): LoadReport {
		this.removeCancelled();
		return {
			target: this.id,
			incarnation: 'one' as LoadReport['incarnation'],
			sequence: this.sequence++,
			leaving: false,
			running: this.running,
			queued: this.queue.length,
			slots: this.slots,
		};
	}

	/** Current duration of work relative to the usual one. */
	slowdown(): number {
		const now = this.timeline.monotonic();
		return (
			this.slowdowns.find(({from, to}) => from <= now && now < to)?.factor ?? 1
		);
	}

	/** Slot time that the accepted work has left, in milliseconds at normal speed. */
	remainingMilliseconds(): number {
		this.removeCancelled();
		let sum = 0;
		for (const {work, done} of [...this.queue, ...this.inSlots]) {
			sum +=
				(done === 0 ? work.firstTokenMilliseconds : 0) +
				(work.tokens - Math.max(1, done)) * work.betweenTokensMilliseconds;
		}

		return sum;
	}

	private removeCancelled(): void {
		this.queue = this.queue.filter(({work}) => !work.isCancelled);
	}

	/** Frees the slot of the least urgent running work, if that is less urgent than the given one. */
	private interruptFor({level = 0}: ModelWork): void {
		let victim: RunningWork | undefined;
		for (const each of this.inSlots) {
			if ((each.work.level ?? 0) > (victim?.work.level ?? level)) {
				victim = each;
			}
		}

		if (!victim) {
			return;
		}

		this.preemptions++;
		victim.run++;
		this.leaveSlot(victim);
		this.queue.unshift(victim);
	}

	private startNext(): void {
		this.removeCancelled();
		while (this.running < this.slots && this.queue.length > 0) {
			this.start(this.takeNext());
		}
	}

	private takeNext(): RunningWork {
		let next = 0;
		if (this.options.hasPriorities) {
			for (const [index, {work}] of this.queue.entries()) {
				if ((work.level ?? 0) < (this.queue[next]!.work.level ?? 0)) {
					next = index;
				}
			}
		}

		return this.queue.splice(next, 1)[0]!;
	}

	private start(started: RunningWork): void {
		this.running++;
		this.inSlots.add(started);
		const {work} = started;
		if (started.done > 0) {
			this.continue(started);
			return;
		}

		this.used += work.firstTokenMilliseconds;
		this.pausedMilliseconds += work.promptMilliseconds ?? 0;
		this.after(started, work.firstTokenMilliseconds, () => {
			started.done = 1;
			work.progressed(1);
			this.continue(started);
		});
	}

	private continue(started: RunningWork): void {
		const {work, done} = started;
		if (done >= work.tokens) {
			this.leaveSlot(started);
			work.completed();
			this.startNext();
			return;
		}

		const step = this.options.reportsEachToken
			? 1
			: Math.min(
					work.tokens - done,
					Math.max(1, Math.ceil((work.tokens - 1) / progressSteps)),
				);
		const duration = step * work.betweenTokensMilliseconds;
		this.used += duration;
		this.after(started, duration, () => {
			started.done += step;
			work.progressed(started.done);
			this.continue(started);
		});
	}

	/** Runs an action after a time at normal speed, extended by the pauses meanwhile, unless the work ends or is interrupted before. */
	private after(
		started: RunningWork,
		duration: number,
		action: () => void,
	): void {
		const {run} = started;
		const pausedBefore = this.pausedMilliseconds;
		this.timeline.at(
			this.endTimeOf(this.timeline.monotonic(), duration),
			() => {
				if (started.run !== run) {
					return;
				}

				if (started.work.isCancelled) {
					this.leaveSlot(started);
					this.startNext();
					return;
				}

				const paused = this.pausedMilliseconds - pausedBefore;
				if (paused > 0) {
					this.after(started, paused, action);
					return;
				}

				action();
			},
		);
	}

	private leaveSlot(started: RunningWork): void {
		this.running--;
		this.inSlots.delete(started);
	}

	/** Returns when work that takes `duration` at normal speed ends if it starts at `time`. */
	private endTimeOf(time: number, duration: number): number {
		let now = time;
		let remaining = duration;
		for (const {from, to, factor} of this.slowdowns) {
			if (to <= now) {
				continue;
			}

			if (now + remaining <= from) {
				break;
			}

			remaining -= Math.max(0, from - now);
			now = Math.max(now, from);
			if (remaining * factor <= to - now) {
				return now + remaining * factor;
			}

			remaining -= (to - now) / factor;
			now = to;
		}

		return now + remaining;
	}
}
