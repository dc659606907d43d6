import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {
	type CallerId,
	type RequestId,
	type TargetId,
} from '../../contracts/ids.js';
import {type CallerUsage} from './caller-usage.js';

/** Urgency class of a caller, as configured in the document. */
export type Urgency = 'urgent' | 'standard' | 'deferred';

/** A request waiting for a target. */
export type QueuedWork = {
	readonly request: RequestId;
	readonly caller: CallerId;
	readonly urgency: Urgency;
	/** True when a long response is expected. */
	readonly isLong: boolean;
	/** Requests with the same key can run on the same targets. Made from model, adapter, idempotency and isolation. */
	readonly routingKey: string;
	/** Expected service time in a slot. */
	readonly expectedMilliseconds: number;
	/** Monotonic time after which the response is useless. */
	readonly deadline: number;
	/** Monotonic time by which the request must start to meet its objective. A request without one is never late. */
	readonly startObjectiveDeadline?: number;
	/** Monotonic time of the start timeout, after which the caller no longer waits for the first byte. */
	readonly startDeadline?: number;
};

/** Work assigned to a target. */
export type BoundWork<T extends QueuedWork> = {
	readonly work: T;
	readonly target: TargetId;
	/** True if the work was taken out of order because it exceeded the aging threshold. */
	readonly byAge: boolean;
	/** Time in the queue. */
	readonly waitedMilliseconds: number;
};

/** Finds a target with capacity for the work, or returns undefined. Work past the aging threshold may use capacity that is not open to other work of its kind. */
export type FindTarget<T extends QueuedWork> = (
	work: T,
	isAged: boolean,
) => TargetId | undefined;

/** Returned when the queue does not accept a request; it did not run. */
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

/** Collaborators and settings of the queue. */
export type DispatchQueueOptions = {
	readonly clock: Clock;
	/** Time in the queue from which work may be taken by age. */
	readonly agingThresholdMilliseconds?: number;
	/** One of this many dispatches takes the oldest work past the aging threshold. If all of them did, an overloaded queue would become first come, first served. */
	readonly agedDispatchInterval?: number;
	/** Requests that may wait at a time. */
	readonly maximumLength?: number;
	/** Time by which work has to leave the queue before the end of its objective, beyond the usual one. None by default. */
	readonly startMarginMilliseconds?: (work: QueuedWork) => number;
	/** Work of the callers on all hosts, by which they share the slot time. By default, callers share what this queue dispatches. */
	readonly usage?: CallerUsage | undefined;
};

type Item<T> = {readonly work: T; readonly enqueuedAt: number};

type CallerQueue<T> = {
	readonly items: Map<RequestId, Item<T>>;
	/** Start tag in virtual time of the next item. */
	startTag: number;
};

const urgencies: readonly Urgency[] = ['urgent', 'standard', 'deferred'];

/** Queue of the work with one priority, lateness and routing key. Shares slot time fairly between callers by start-time fair queueing. */
class Lane<T extends QueuedWork> {
	readonly itemsByArrival = new Map<RequestId, Item<T>>();
	private readonly callers = new Map<CallerId, CallerQueue<T>>();
	/** Finish tags of callers without queued work, so that they cannot reset their share by leaving the queue. */
	private readonly finishTags = new Map<CallerId, number>();
	private virtualTime = 0;

	constructor(
		readonly key: string,
		readonly priority: number,
		/** True for work that can no longer meet its objective. */
		readonly isLate: boolean,
		private readonly usage: CallerUsage | undefined,
	) {}

	oldest(): Item<T> | undefined {
		return this.itemsByArrival.values().next().value;
	}

	/** Returns the first item of the caller with the smallest start tag, or with the least work on all hosts. */
	next(): Item<T> | undefined {
		let best: CallerQueue<T> | undefined;
		let smallest = Number.POSITIVE_INFINITY;
		for (const [caller, queue] of this.callers) {
			const tag = this.usage?.get(caller) ?? queue.startTag;
			if (tag < smallest) {
				best = queue;
				smallest = tag;
			}
		}

		return best?.items.values().next().value;
	}

	add(item: Item<T>): void {
		const {caller, request} = item.work;
		this.itemsByArrival.set(request, item);
		let queue = this.callers.get(caller);
		if (!queue) {
			const finishTag = this.finishTags.get(caller) ?? 0;
			queue = {
				items: new Map(),
				startTag: Math.max(this.virtualTime, finishTag),
			};
			this.callers.set(caller, queue);
			this.finishTags.delete(caller);
		}

		queue.items.set(request, item);
	}

	remove(work: T, wasDispatched: boolean): void {
		const queue = this.callers.get(work.caller);
		if (!queue || !this.itemsByArrival.delete(work.request)) {
			return;
		}

		queue.items.delete(work.request);
		if (wasDispatched) {
			this.virtualTime = Math.max(this.virtualTime, queue.startTag);
			queue.startTag += Math.max(1, work.expectedMilliseconds);
		}

		if (queue.items.size === 0) {
			this.callers.delete(work.caller);
			this.finishTags.set(work.caller, queue.startTag);
			this.evictFinishTags();
		}
	}

	private evictFinishTags(): void {
		if (this.finishTags.size > 1024) {
			for (const [caller, finishTag] of this.finishTags) {
				if (finishTag <= this.virtualTime) {
					this.finishTags.delete(caller);
				}
			}
		}
	}
}

/** The queue of one pool in the entry host. Work is assigned to a target only when one has capacity for it. */
export class DispatchQueue<T extends QueuedWork = QueuedWork> {
	private readonly options: Required<Omit<DispatchQueueOptions, 'usage'>> &
		Pick<DispatchQueueOptions, 'usage'>;

	private readonly lanes = new Map<string, Lane<T>>();
	private readonly laneOf = new Map<RequestId, Lane<T>>();
	/** Expected service time of the queued work in milliseconds, by priority and caller. */
	private readonly queuedMilliseconds = urgencies.flatMap(() => [
		new Map<CallerId, number>(),
		new Map<CallerId, number>(),
	]);

	/** Infeasible work removed during `take` and not yet returned. */
	private infeasible: T[] = [];
	private dispatches = 0;

	constructor(options: DispatchQueueOptions) {
		this.options = {
			agingThresholdMilliseconds: 5000,
			agedDispatchInterval: 4,
			maximumLength: 10_000,
			startMarginMilliseconds: () => 0,
			...options,
		};
	}

	/** Number of queued requests. */
	get size(): number {
		return this.laneOf.size;
	}

	/** Adds a request. Fails when the queue is full or already holds a request with this id. */
	enqueue(work: T): Result<void, QueueRefusedError> {
		if (this.laneOf.has(work.request)) {
			return err(new QueueRefusedError('repeated'));
		}

		if (this.size >= this.options.maximumLength) {
			return err(new QueueRefusedError('full'));
		}

		const priority = priorityOf(work);
		const now = this.options.clock.monotonic();
		this.addToLane({work, enqueuedAt: now}, this.isLate(work, now));
		const queuedMilliseconds = this.queuedMilliseconds[priority]!;
		queuedMilliseconds.set(
			work.caller,
			(queuedMilliseconds.get(work.caller) ?? 0) + work.expectedMilliseconds,
		);
		return ok(undefined);
	}

	/**
	 * Moves work that can no longer meet its objective behind work that still can. In order of arrival, a queue
	 * longer than the objective would make all of its work late.
	 */
	deprioritizeLate(): void {
		const now = this.options.clock.monotonic();
		for (const lane of this.lanes.values()) {
			if (lane.isLate) {
				continue;
			}

			for (const item of lane.itemsByArrival.values()) {
				if (this.isLate(item.work, now)) {
					lane.remove(item.work, false);
					this.addToLane(item, true);
				}
			}

			this.removeIfEmpty(lane);
		}
	}

	/** Removes and returns the work that can no longer meet its objective and of which `isHopeless` says that it will not start in time behind that many requests of its lane. */
	removeHopeless(isHopeless: (work: T, requestsAhead: number) => boolean): T[] {
		const removed: T[] = [];
		for (const lane of this.lanes.values()) {
			if (!lane.isLate) {
				continue;
			}

			const ahead = new Map<CallerId, number>();
			for (const {work} of lane.itemsByArrival.values()) {
				const {caller} = work;
				if (isHopeless(work, this.countInTurns(ahead, caller, 1))) {
					this.remove(lane, work, false);
					removed.push(work);
				} else {
					ahead.set(caller, (ahead.get(caller) ?? 0) + 1);
				}
			}
		}

		return removed;
	}

	/** Removes a queued request and returns it, or undefined if it is not in the queue. */
	cancel(request: RequestId): T | undefined {
		const lane = this.laneOf.get(request);
		const work = lane?.itemsByArrival.get(request)?.work;
		if (lane && work) {
			this.remove(lane, work, false);
		}

		return work;
	}

	/** Removes the next work for which `findTarget` finds a target, and returns both. */
	take(findTarget: FindTarget<T>): BoundWork<T> | undefined {
		const isAgedTurn =
			(this.dispatches + 1) % this.options.agedDispatchInterval === 0;
		return (
			(isAgedTurn ? this.takeOldest(findTarget) : undefined) ??
			this.takeInOrder(findTarget) ??
			// Work past the aging threshold may find capacity where other work does not.
			this.takeOldest(findTarget)
		);
	}

	/** Removes and returns the work that can no longer meet its deadline or start timeout. */
	removeInfeasible(): T[] {
		for (const lane of this.lanes.values()) {
			for (const {work} of lane.itemsByArrival.values()) {
				this.removeIfInfeasible(lane, work);
			}
		}

		return this.drainInfeasible();
	}

	/** Returns the infeasible work that `take` has come across and removed, without scanning the queue. */
	drainInfeasible(): T[] {
		const {infeasible} = this;
		this.infeasible = [];
		return infeasible;
	}

	/**
	 * Expected slot time in milliseconds of the queued work that is dispatched before the given new work. Of each other
	 * caller with the same priority, only as much counts as this caller has queued itself, because fair queueing serves
	 * the callers in turn: a caller that floods the queue waits behind its own work and does not delay the others.
	 */
	workAhead(
		work: Pick<
			QueuedWork,
			'urgency' | 'isLong' | 'caller' | 'expectedMilliseconds'
		>,
	): number {
		const priority = priorityOf(work);
		const queuedByCaller =
			this.queuedMilliseconds[priority]!.get(work.caller) ?? 0;
		let sum = 0;
		for (let level = 0; level <= priority; level++) {
			for (const [caller, queuedMilliseconds] of this.queuedMilliseconds[
				level
			]!) {
				if (level < priority || caller === work.caller) {
					sum += queuedMilliseconds;
				} else if (this.takesTurnBefore(caller, work.caller)) {
					sum += Math.min(
						queuedMilliseconds,
						queuedByCaller + work.expectedMilliseconds,
					);
				}
			}
		}

		return sum;
	}

	/** The queued work that can still meet its objective. */
	*promptWork(): Iterable<T> {
		for (const lane of this.lanes.values()) {
			if (!lane.isLate) {
				for (const {work} of lane.itemsByArrival.values()) {
					yield work;
				}
			}
		}
	}

	/**
	 * Number of queued requests that match, can or cannot still meet their objective, and are dispatched before new work
	 * of the given urgency. With a caller, requests of other callers with the same priority count only as far as the
	 * callers take turns: up to one more than this caller has queued. Counts what `weigh` returns for a request, with
	 * `turn` as that of the new work.
	 */
	countAhead(
		work: Pick<QueuedWork, 'urgency' | 'isLong'> &
			Partial<Pick<QueuedWork, 'caller'>>,
		isLate: boolean,
		matches: (queued: T) => boolean,
		weighing?: {
			readonly weigh: (queued: T) => number;
			readonly turn: number;
		},
	): number {
		const {weigh, turn} = weighing ?? {weigh: () => 1, turn: 1};
		const priority = priorityOf(work);
		const counts = new Map<CallerId, number>();
		let count = 0;
		for (const lane of this.lanes.values()) {
			if (lane.isLate !== isLate || lane.priority > priority) {
				continue;
			}

			const isShared = work.caller !== undefined && lane.priority === priority;
			for (const item of lane.itemsByArrival.values()) {
				if (!matches(item.work)) {
					continue;
				}

				if (isShared) {
					const {caller} = item.work;
					counts.set(caller, (counts.get(caller) ?? 0) + weigh(item.work));
				} else {
					count += weigh(item.work);
				}
			}
		}

		return count + this.countInTurns(counts, work.caller, turn);
	}

	/** What is dispatched before the next work of a caller, when the callers take turns. A caller with more work lately takes none before it. */
	private countInTurns(
		counts: ReadonlyMap<CallerId, number>,
		caller: CallerId | undefined,
		turn: number,
	): number {
		const own = (caller === undefined ? undefined : counts.get(caller)) ?? 0;
		let sum = own;
		for (const [other, count] of counts) {
			if (other !== caller && this.takesTurnBefore(other, caller)) {
				sum += Math.min(count, own + turn);
			}
		}

		return sum;
	}

	private takesTurnBefore(
		other: CallerId,
		caller: CallerId | undefined,
	): boolean {
		const {usage} = this.options;
		return (
			!usage || caller === undefined || usage.get(other) <= usage.get(caller)
		);
	}

	private takeOldest(findTarget: FindTarget<T>): BoundWork<T> | undefined {
		const agedBefore =
			this.options.clock.monotonic() - this.options.agingThresholdMilliseconds;
		const lanes = [...this.lanes.values()]
			.map((lane) => ({
				lane,
				oldestEnqueuedAt: lane.oldest()?.enqueuedAt ?? Infinity,
			}))
			.filter(({oldestEnqueuedAt}) => oldestEnqueuedAt <= agedBefore)
			.sort((left, right) => left.oldestEnqueuedAt - right.oldestEnqueuedAt);
		for (const {lane} of lanes) {
			const item = this.firstFeasible(lane, () => lane.oldest());
			const target =
				item && item.enqueuedAt <= agedBefore
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
				left.priority - right.priority ||
				(left.oldest()?.enqueuedAt ?? 0) - (right.oldest()?.enqueuedAt ?? 0),
		);
		for (const lane of lanes) {
			const item = this.firstFeasible(lane, () => lane.next());
			const target = item ? findTarget(item.work, false) : undefined;
			if (item && target !== undefined) {
				return this.bind(lane, item, target, false);
			}
		}

		return undefined;
	}

	/** Returns the first feasible item and removes the infeasible ones before it. */
	private firstFeasible(
		lane: Lane<T>,
		next: () => Item<T> | undefined,
	): Item<T> | undefined {
		let item = next();
		while (item && this.removeIfInfeasible(lane, item.work)) {
			item = next();
		}

		return item;
	}

	private removeIfInfeasible(lane: Lane<T>, work: T): boolean {
		const now = this.options.clock.monotonic();
		if (
			now + work.expectedMilliseconds <= work.deadline &&
			now <= (work.startDeadline ?? Infinity)
		) {
			return false;
		}

		this.remove(lane, work, false);
		this.infeasible.push(work);
		return true;
	}

	private bind(
		lane: Lane<T>,
		item: Item<T>,
		target: TargetId,
		byAge: boolean,
	): BoundWork<T> {
		this.remove(lane, item.work, true);
		this.options.usage?.record(
			item.work.caller,
			Math.max(1, item.work.expectedMilliseconds),
		);
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
		const queuedMilliseconds = this.queuedMilliseconds[lane.priority]!;
		const remainder =
			(queuedMilliseconds.get(work.caller) ?? 0) - work.expectedMilliseconds;
		// Floating-point sums drift, so less than a microsecond counts as nothing.
		if (remainder > 0.001) {
			queuedMilliseconds.set(work.caller, remainder);
		} else {
			queuedMilliseconds.delete(work.caller);
		}

		this.removeIfEmpty(lane);
	}

	private isLate(work: T, now: number): boolean {
		const margin = this.options.startMarginMilliseconds(work);
		return now + margin > (work.startObjectiveDeadline ?? Infinity);
	}

	private addToLane(item: Item<T>, isLate: boolean): void {
		const {work} = item;
		const priority = priorityOf(work);
		const key = `${isLate ? 'late' : 'prompt'}|${priority}|${work.routingKey}`;
		let lane = this.lanes.get(key);
		if (!lane) {
			lane = new Lane(key, priority, isLate, this.options.usage);
			this.lanes.set(key, lane);
		}

		lane.add(item);
		this.laneOf.set(work.request, lane);
	}

	private removeIfEmpty(lane: Lane<T>): void {
		if (lane.itemsByArrival.size === 0) {
			// An empty lane has no shares to preserve and would slow down each dispatch.
			this.lanes.delete(lane.key);
		}
	}
}

/** Priority of a lane, lower first: by urgency, then short before long. */
function priorityOf(work: Pick<QueuedWork, 'urgency' | 'isLong'>): number {
	return urgencies.indexOf(work.urgency) * 2 + (work.isLong ? 1 : 0);
}
