import {Clock} from '../base/common/clock.js';

type Entry = {
	readonly time: number;
	readonly order: number;
	readonly action: () => void;
};

/**
 * Virtual clock in milliseconds that runs scheduled actions, kept in a binary heap. Actions with equal times run in
 * the order in which they were scheduled.
 */
export class VirtualTimeline extends Clock {
	private readonly heap: Entry[] = [];
	private time = 0;
	private scheduled = 0;

	monotonic(): number {
		return this.time;
	}

	wall(): number {
		return this.time;
	}

	/** Schedules an action at a time, or at the current time if that has passed. */
	at(time: number, action: () => void): void {
		const entry = {
			time: Math.max(time, this.time),
			order: this.scheduled++,
			action,
		};
		let index = this.heap.push(entry) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (isBefore(this.heap[parent]!, entry)) {
				break;
			}

			this.heap[index] = this.heap[parent]!;
			index = parent;
		}

		this.heap[index] = entry;
	}

	/** Runs an action at each interval until a time, first after one interval. */
	every(interval: number, until: number, action: () => void): void {
		const next = this.time + interval;
		if (next > until) {
			return;
		}

		this.at(next, () => {
			action();
			this.every(interval, until, action);
		});
	}

	/** Runs all actions that are due up to a time and sets the clock to it. */
	run(until: number): void {
		while (this.heap.length > 0 && this.heap[0]!.time <= until) {
			const entry = this.pop();
			this.time = entry.time;
			entry.action();
		}

		this.time = until;
	}

	private pop(): Entry {
		const first = this.heap[0]!;
		const last = this.heap.pop()!;
		if (this.heap.length === 0) {
			return first;
		}

		let index = 0;
		for (;;) {
			let child = index * 2 + 1;
			if (child >= this.heap.length) {
				break;
			}

			if (
				child + 1 < this.heap.length &&
				isBefore(this.heap[child + 1]!, this.heap[child]!)
			) {
				child++;
			}

			if (isBefore(last, this.heap[child]!)) {
				break;
			}

			this.heap[index] = this.heap[child]!;
			index = child;
		}

		this.heap[index] = last;
		return first;
	}
}

function isBefore(left: Entry, right: Entry): boolean {
	return (
		left.time < right.time ||
		(left.time === right.time && left.order < right.order)
	);
}
