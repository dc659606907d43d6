import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../base/common/clock.js';
import {
	type CallerId,
	type RequestId,
	type TargetId,
} from '../contracts/ids.js';

/** Urgency of a class of callers, as in the document. */
export type Urgency = 'urgent' | 'standard' | 'deferred';

/** Work that waits for a target. */
export type QueuedWork = {
	readonly request: RequestId;
	readonly caller: CallerId;
	readonly urgency: Urgency;
	readonly isLong: boolean;
	/** Work with the same key can run on the same targets: model, adapter, idempotency and isolation. */
	readonly routingKey: string;
	/** Expected time in a slot. */
	readonly expectedMilliseconds: number;
	/** Time of the monotonic clock after which the answer is useless. */
	readonly deadline: number;
	/** Time of the monotonic clock up to which a start keeps the objective. Without it work is never late. */
	readonly startObjectiveDeadline?: number;
	/** Time of the monotonic clock after which the caller no longer waits for a start. */
	readonly startDeadline?: number;
};

/** Work bound to a target. */
export type BoundWork<T extends QueuedWork> = {
	readonly work: T;
	readonly target: TargetId;
	/** True if the work was taken by its age, ahead of its order. */
	readonly byAge: boolean;
	readonly waitedMilliseconds: number;
};

/** Finds a target with room. Work past its age bound may use room that is kept from other work of its kind. */
export type FindTarget<T extends QueuedWork> = (
	work: T,
	isAged: boolean,
) => TargetId | undefined;

/** The queue did not take the work. */
export class QueueRefusedError extends Error {
	override readonly name = 'QueueRefusedError';
	readonly execution = 'not-run';

	constructor(readonly reason: 'full' | 'repeated') {
		super(
			reason === 'full'
				? 'the queue is full'
				: 'a request with this id is already in the queue',
		);
	}
}

/** Settings of the queue. */
export type DispatchQueueOptions = {
	readonly clock: Clock;
	/** Waiting time from which work is taken by age. */
	readonly agingThresholdMilliseconds?: number;
	/** One of this many dispatches goes to the oldest work past the age bound. Giving it all of them would make an overloaded queue first come, first served. */
	readonly agedDispatchInterval?: number;
	readonly maximumLength?: number;
};

type Item<T> = {readonly work: T; readonly enqueuedAt: number};

type CallerQueue<T> = {
	readonly items: Map<RequestId, Item<T>>;
	/** Virtual time at which the next item starts. */
	start: number;
};

const urgencies: readonly Urgency[] = ['urgent', 'standard', 'deferred'];

/** Work of one urgency, length and routing key, with fair shares between callers (start-time fair queueing). */
class Lane<T extends QueuedWork> {
	readonly all = new Map<RequestId, Item<T>>();
	private readonly callers = new Map<CallerId, CallerQueue<T>>();
	/** Virtual times at which callers without waiting work used up their share. */
	private readonly finishes = new Map<CallerId, number>();
	private virtualTime = 0;

	constructor(
		readonly key: string,
		readonly rank: number,
		/** True for work that can no longer keep its objective. */
		readonly isLate: boolean,
	) {}

	oldest(): Item<T> | undefined {
		return this.all.values().next().value;
	}

	/** The first item of the caller that has received least. */
	next(): Item<T> | undefined {
		let best: CallerQueue<T> | undefined;
		for (const queue of this.callers.values()) {
			if (!best || queue.start < best.start) {
				best = queue;
			}
		}

		return best?.items.values().next().value;
	}

	add(item: Item<T>): void {
		const {caller, request} = item.work;
		this.all.set(request, item);
		let queue = this.callers.get(caller);
		if (!queue) {
			const finish = this.finishes.get(caller) ?? 0;
			queue = {items: new Map(), start: Math.max(this.virtualTime, finish)};
			this.callers.set(caller, queue);
			this.finishes.delete(caller);
		}

		queue.items.set(request, item);
	}

	remove(work: T, wasDispatched: boolean): void {
		const queue = this.callers.get(work.caller);
		if (!queue || !this.all.delete(work.request)) {
			return;
		}

		queue.items.delete(work.request);
		if (wasDispatched) {
			this.virtualTime = Math.max(this.virtualTime, queue.start);
			queue.start += Math.max(1, work.expectedMilliseconds);
		}

		if (queue.items.size === 0) {
			this.callers.delete(work.caller);
			this.finishes.set(work.caller, queue.start);
			this.forgetFinishes();
		}
	}

	private forgetFinishes(): void {
		if (this.finishes.size > 1024) {
			for (const [caller, finish] of this.finishes) {
				if (finish <= this.virtualTime) {
					this.finishes.delete(caller);
				}
			}
		}
	}
}

/** The queue of one pool in the entry host. Work is bound to a target only when one has room. */
export class DispatchQueue<T extends QueuedWork = QueuedWork> {
	private readonly options: Required<DispatchQueueOptions>;
	private readonly lanes = new Map<string, Lane<T>>();
	private readonly laneOf = new Map<RequestId, Lane<T>>();
	/** Expected milliseconds of waiting work by rank and caller. */
	private readonly waiting = urgencies.flatMap(() => [
		new Map<CallerId, number>(),
		new Map<CallerId, number>(),
	]);

	private hopeless: T[] = [];
	private dispatches = 0;

	constructor(options: DispatchQueueOptions) {
		this.options = {
			agingThresholdMilliseconds: 5000,
			agedDispatchInterval: 4,
			maximumLength: 10_000,
			...options,
		};
	}

	/** Number of waiting requests. */
	get size(): number {
		return this.laneOf.size;
	}

	/** Adds work. */
	enqueue(work: T): Result<void, QueueRefusedError> {
		if (this.laneOf.has(work.request)) {
			return err(new QueueRefusedError('repeated'));
		}

		if (this.size >= this.options.maximumLength) {
			return err(new QueueRefusedError('full'));
		}

		const rank = rankOf(work);
		const now = this.options.clock.monotonic();
		this.addToLane({work, enqueuedAt: now}, isLateAt(work, now));
		const waiting = this.waiting[rank]!;
		waiting.set(
			work.caller,
			(waiting.get(work.caller) ?? 0) + work.expectedMilliseconds,
		);
		return ok(undefined);
	}

	/**
	 * Moves work that can no longer keep its objective behind the work that still can. In the order of arrival, a
	 * queue that is longer than the objective would make all of its work late.
	 */
	deprioritizeLate(): void {
		const now = this.options.clock.monotonic();
		for (const lane of this.lanes.values()) {
			if (lane.isLate) {
				continue;
			}

			for (const item of lane.all.values()) {
				if (isLateAt(item.work, now)) {
					lane.remove(item.work, false);
					this.addToLane(item, true);
				}
			}

			this.dropEmpty(lane);
		}
	}

	/** Removes waiting work. Returns it, or undefined if it does not wait here. */
	cancel(request: RequestId): T | undefined {
		const lane = this.laneOf.get(request);
		const work = lane?.all.get(request)?.work;
		if (lane && work) {
			this.remove(lane, work, false);
		}

		return work;
	}

	/** Binds the next work for which a target has room. */
	take(findTarget: FindTarget<T>): BoundWork<T> | undefined {
		const isAgedTurn =
			(this.dispatches + 1) % this.options.agedDispatchInterval === 0;
		return (
			(isAgedTurn ? this.takeAged(findTarget) : undefined) ??
			this.takeInOrder(findTarget) ??
			// Work past the age bound may find room where other work does not.
			this.takeAged(findTarget)
		);
	}

	/** Removes and returns the work that can no longer finish before its deadline. */
	removeInfeasible(): T[] {
		for (const lane of this.lanes.values()) {
			for (const {work} of lane.all.values()) {
				this.dropIfHopeless(lane, work);
			}
		}

		return this.drainInfeasible();
	}

	/** Returns the work that was dropped while work was taken, without looking at the rest of the queue. */
	drainInfeasible(): T[] {
		const {hopeless} = this;
		this.hopeless = [];
		return hopeless;
	}

	/**
	 * Expected milliseconds of slots that waiting work takes before new work. Of each other caller, only as much counts
	 * as this caller has waiting itself, because fair shares serve them in turn; a caller that floods the queue waits
	 * behind its own work and does not make others wait.
	 */
	workAhead(
		work: Pick<
			QueuedWork,
			'urgency' | 'isLong' | 'caller' | 'expectedMilliseconds'
		>,
	): number {
		const rank = rankOf(work);
		const own = this.waiting[rank]!.get(work.caller) ?? 0;
		let sum = 0;
		for (let each = 0; each <= rank; each++) {
			for (const [caller, waiting] of this.waiting[each]!) {
				const isOfOther = each === rank && caller !== work.caller;
				sum += isOfOther
					? Math.min(waiting, own + work.expectedMilliseconds)
					: waiting;
			}
		}

		return sum;
	}

	private takeAged(findTarget: FindTarget<T>): BoundWork<T> | undefined {
		const bound =
			this.options.clock.monotonic() - this.options.agingThresholdMilliseconds;
		const lanes = [...this.lanes.values()]
			.map((lane) => ({lane, since: lane.oldest()?.enqueuedAt ?? Infinity}))
			.filter(({since}) => since <= bound)
			.sort((left, right) => left.since - right.since);
		for (const {lane} of lanes) {
			const item = this.firstHopeful(lane, () => lane.oldest());
			const target =
				item && item.enqueuedAt <= bound
					? findTarget(item.work, true)
					: undefined;
			if (item && target !== undefined) {
				return this.bind(lane, item, target, true);
			}
		}

		return undefined;
	}

	private takeInOrder(findTarget: FindTarget<T>): BoundWork<T> | undefined {
		const lanes = [...this.lanes.values()].sort(
			(left, right) =>
				Number(left.isLate) - Number(right.isLate) ||
				left.rank - right.rank ||
				(left.oldest()?.enqueuedAt ?? 0) - (right.oldest()?.enqueuedAt ?? 0),
		);
		for (const lane of lanes) {
			const item = this.firstHopeful(lane, () => lane.next());
			const target = item ? findTarget(item.work, false) : undefined;
			if (item && target !== undefined) {
				return this.bind(lane, item, target, false);
			}
		}

		return undefined;
	}

	/** Returns the first item that can still meet its deadline and drops the others before it. */
	private firstHopeful(
		lane: Lane<T>,
		next: () => Item<T> | undefined,
	): Item<T> | undefined {
		let item = next();
		while (item && this.dropIfHopeless(lane, item.work)) {
			item = next();
		}

		return item;
	}

	private dropIfHopeless(lane: Lane<T>, work: T): boolean {
		const now = this.options.clock.monotonic();
		if (
			now + work.expectedMilliseconds <= work.deadline &&
			now <= (work.startDeadline ?? Infinity)
		) {
			return false;
		}

		this.remove(lane, work, false);
		this.hopeless.push(work);
		return true;
	}

	private bind(
		lane: Lane<T>,
		item: Item<T>,
		target: TargetId,
		byAge: boolean,
	): BoundWork<T> {
		this.remove(lane, item.work, true);
		this.dispatches++;
		return {
			work: item.work,
			target,
			byAge,
			waitedMilliseconds: this.options.clock.monotonic() - item.enqueuedAt,
		};
	}

	private remove(lane: Lane<T>, work: T, wasDispatched: boolean): void {
		lane.remove(work, wasDispatched);
		this.laneOf.delete(work.request);
		const waiting = this.waiting[lane.rank]!;
		const rest = (waiting.get(work.caller) ?? 0) - work.expectedMilliseconds;
		// Sums of fractions drift, so a rest below a microsecond is none.
		if (rest > 0.001) {
			waiting.set(work.caller, rest);
		} else {
			waiting.delete(work.caller);
		}

		this.dropEmpty(lane);
	}

	private addToLane(item: Item<T>, isLate: boolean): void {
		const {work} = item;
		const rank = rankOf(work);
		const key = `${isLate ? 'late' : 'prompt'}|${rank}|${work.routingKey}`;
		let lane = this.lanes.get(key);
		if (!lane) {
			lane = new Lane(key, rank, isLate);
			this.lanes.set(key, lane);
		}

		lane.add(item);
		this.laneOf.set(work.request, lane);
	}

	private dropEmpty(lane: Lane<T>): void {
		if (lane.all.size === 0) {
			// Without waiting work there is no share to keep, and empty lanes slow down each dispatch.
			this.lanes.delete(lane.key);
		}
	}
}

function isLateAt(
	{startObjectiveDeadline: promptUntil}: QueuedWork,
	now: number,
): boolean {
	return now > (promptUntil ?? Infinity);
}

/** Order of lanes: urgency first, then short before long. */
function rankOf(work: Pick<QueuedWork, 'urgency' | 'isLong'>): number {
	return urgencies.indexOf(work.urgency) * 2 + (work.isLong ? 1 : 0);
}
