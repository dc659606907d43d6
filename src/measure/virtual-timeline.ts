import {Clock} from '../base/common/clock.js';

type Entry = {
	readonly time: number;
	readonly order: number;
	readonly action: () => void;
};

/** A virtual clock with scheduled actions, kept in a binary heap. Equal times run in the order of scheduling. */
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

	/** Schedules an action at a time. */
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

	/** Repeats an action until a time. */
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

	/** Runs all actions up to a time. */
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
