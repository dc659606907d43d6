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
};

// Progress is reported in a few steps to limit the number of simulated events.
const progressSteps = 4;

/** Simulates a target with slots, a first-come, first-served queue, and slowdowns that its reports do not show. */
export class TargetModel {
	running = 0;
	/** Slot time used, in milliseconds at normal speed. */
	used = 0;
	private queue: ModelWork[] = [];
	private sequence = 0;

	constructor(
		private readonly timeline: VirtualTimeline,
		readonly id: TargetId,
		readonly slots: number,
		private readonly slowdowns: readonly Slowdown[],
	) {}

	/** Queues work and starts it as soon as a slot is free. */
	accept(work: ModelWork): void {
		this.queue.push(work);
		this.startNext();
	}

	/** Returns a report of the current load, with the next sequence number. */
	report(): LoadReport {
		this.queue = this.queue.filter((work) => !work.isCancelled);
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

	private startNext(): void {
		while (this.running < this.slots && this.queue.length > 0) {
			const work = this.queue.shift()!;
			if (!work.isCancelled) {
				this.start(work);
			}
		}
	}

	private start(work: ModelWork): void {
		this.running++;
		const startedAt = this.timeline.monotonic();
		const first = this.endTimeOf(startedAt, work.firstTokenMilliseconds);
		this.used += work.firstTokenMilliseconds;
		this.timeline.at(first, () => {
			if (this.endIfCancelled(work)) {
				return;
			}

			work.progressed(1);
			this.continue(work, 1);
		});
	}

	private continue(work: ModelWork, done: number): void {
		if (done >= work.tokens) {
			this.running--;
			work.completed();
			this.startNext();
			return;
		}

		const step = Math.min(
			work.tokens - done,
			Math.max(1, Math.ceil((work.tokens - 1) / progressSteps)),
		);
		const duration = step * work.betweenTokensMilliseconds;
		this.used += duration;
		const until = this.endTimeOf(this.timeline.monotonic(), duration);
		this.timeline.at(until, () => {
			if (this.endIfCancelled(work)) {
				return;
			}

			work.progressed(done + step);
			this.continue(work, done + step);
		});
	}

	private endIfCancelled(work: ModelWork): boolean {
		if (work.isCancelled) {
			this.running--;
			this.startNext();
		}

		return work.isCancelled;
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
