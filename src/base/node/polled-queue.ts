import {type Clock} from '../common/clock.js';
import {Disposable} from '../common/disposable.js';

type QueuedAction = {
	readonly run: () => void;
	/** Turn of the event loop in which the action was queued. */
	readonly turn: number;
};

/** Longest time for which actions run in one turn of the event loop. Longer runs would let what the sockets have shown grow old. */
const runMilliseconds = 100;
/** Time for which a poll of the sockets counts as recent. Well below the time in which a caller notices a delay. */
const recentMilliseconds = 10;
/** Length of a turn after which the sockets are polled again, because their state may have changed since the turn began. */
const longTurnMilliseconds = 200;
/** Polls of the sockets after long turns in a row. A host all of whose turns are long must still make progress. */
const maximumRepeatedPolls = 1;

/**
 * Runs actions, in order, after the event loop has polled the sockets once more. Node.js reads the request and the end
 * of a connection in different turns even if both have been received, and accepts one connection a turn, so a request
 * that waited for a long time is read before the end of its connection.
 */
export class PolledQueue extends Disposable {
	private readonly first: QueuedAction[] = [];
	private readonly others: QueuedAction[] = [];
	private turn = 0;
	private turnBeganAt = 0;
	private polledAt = Number.NEGATIVE_INFINITY;
	private repeatedPolls = 0;
	private immediate: NodeJS.Immediate | undefined;

	constructor(
		private readonly clock: Clock,
		/** True in turns in which nothing is to run, because connections wait to be accepted. */
		private readonly isHeld: () => boolean = () => false,
	) {
		super();
	}

	/** Queues an action. */
	push(run: () => void): void {
		this.add(this.others, run);
	}

	/** Queues an action before those of `push`. For requests whose work has begun. */
	pushFirst(run: () => void): void {
		this.add(this.first, run);
	}

	/** Runs an action at once if the sockets have just been polled, and queues it before the others if not. */
	runPolled(run: () => void): void {
		if (this.clock.monotonic() - this.polledAt <= recentMilliseconds) {
			run();
		} else {
			this.pushFirst(run);
		}
	}

	dispose(): void {
		clearImmediate(this.immediate);
		this.first.length = 0;
		this.others.length = 0;
	}

	private add(queue: QueuedAction[], run: () => void): void {
		queue.push({run, turn: this.turn});
		this.schedule();
	}

	private schedule(): void {
		this.immediate ??= setImmediate(() => {
			this.immediate = undefined;
			this.endTurn();
		});
	}

	/** Runs after the sockets were polled in this turn. Actions that were queued in the turn wait for the next one. */
	private endTurn(): void {
		try {
			const now = this.clock.monotonic();
			if (this.nextQueue() && !this.isHeld() && !this.mustPollAgain(now)) {
				this.polledAt = now;
				this.runActions(now);
			}
		} finally {
			this.turn++;
			if (this.first.length > 0 || this.others.length > 0) {
				this.turnBeganAt = this.clock.monotonic();
				this.schedule();
			}
		}
	}

	private runActions(startedAt: number): void {
		let queue = this.nextQueue();
		while (queue) {
			queue.shift()!.run();
			queue =
				this.clock.monotonic() - startedAt < runMilliseconds
					? this.nextQueue()
					: undefined;
		}
	}

	/** Returns the queue with the next action that was queued before this turn. */
	private nextQueue(): QueuedAction[] | undefined {
		return [this.first, this.others].find(
			([next]) => next !== undefined && next.turn < this.turn,
		);
	}

	private mustPollAgain(now: number): boolean {
		if (
			now - this.turnBeganAt <= longTurnMilliseconds ||
			this.repeatedPolls >= maximumRepeatedPolls
		) {
			this.repeatedPolls = 0;
			return false;
		}

		this.repeatedPolls++;
		return true;
	}
}
