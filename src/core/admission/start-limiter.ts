import {type Clock} from '../../base/common/clock.js';
import {type RequestId, type TargetId} from '../../contracts/ids.js';

/** Collaborators and settings of the limiter. */
export type StartLimiterOptions = {
	readonly clock: Clock;
	/** Requests of one level that may wait at a target before any of them has started there. */
	readonly initialLimit?: number;
};

/** A request that was sent to a target. */
export type StartingRequest = {
	readonly request: RequestId;
	/** Rank in the queue of the target, lower first. */
	readonly level: number;
	/** Time within which the request has to start to meet its objective. */
	readonly objectiveMilliseconds: number;
};

type WaitingStart = StartingRequest & {readonly sentAt: number};

type Level = {
	/** Requests that may wait. Below 1, a request is sent only after a pause since the last start. */
	limit: number;
	startedAt: number;
	/** Wait that was allowed to the last late request, the unit of the pauses. */
	pauseMilliseconds: number;
	/** Requests that were sent before the last decrease show the load of that time only. */
	decreasedAt: number;
	/** Moving average of the time from send to start, undefined before the first start. */
	startMilliseconds: number | undefined;
};

type Target = {
	readonly waiting: Map<RequestId, WaitingStart>;
	readonly levels: Map<number, Level>;
};

/** Share of the objective that the wait at the target may take. The rest is for the wait in the host. */
const targetShare = 0.5;
/** Lowest limit. Hosts that each kept one request waiting would fill the queue of a target for longer than the objective. */
const minimumLimit = 0.25;
/** Largest cut of a limit by one late start. */
const minimumDecreaseFactor = 0.5;
/** Share of the allowed wait up to which a start shows spare capacity. */
const spareShare = 0.7;
/** Increase of the limit by a start that shows spare capacity while the limit was in use. */
const increase = 0.5;
const maximumLimit = 256;
/** Shortest wait that counts as late, for requests whose objective has passed before they were sent. */
const minimumWaitMilliseconds = 100;
/** Weight of a start in the moving average. */
const smoothingFactor = 0.2;

/**
 * Limits the requests of this host that wait at a target for their start. More requests than a target can start, as in
 * a burst or after a shift of demand to a model with one copy, would wait in its queue until their callers give up, so
 * that none of them meets its objective. With the limit they wait in the host instead, where they are ordered, sent to
 * the first target that can start them, or refused in time.
 *
 * The limit of each level of urgency grows while requests start well within their objective, and falls with each late
 * start (additive increase, multiplicative decrease). A request counts against the limit of its own level and of all
 * less urgent ones, because targets start the more urgent ones first.
 */
export class StartLimiter {
	private readonly clock: Clock;
	private readonly initialLimit: number;
	private isIncreasePerRound = false;
	private readonly targets = new Map<TargetId, Target>();

	constructor(options: StartLimiterOptions) {
		this.clock = options.clock;
		this.initialLimit = options.initialLimit ?? 4;
	}

	/**
	 * Raises a limit by the same amount for each round of requests at the target instead of for each start. With an
	 * increase for each start, the hosts with the highest limits gain most, until a few hosts have a busy target to
	 * themselves and the others refuse most of their requests. Each start that is not late raises the limit, because the
	 * limits of hosts only come together while they rise and fall.
	 */
	setIncreasePerRound(isIncreasePerRound: boolean): void {
		this.isIncreasePerRound = isIncreasePerRound;
	}

	/** True when another request of a level may be sent to the target. */
	hasCapacity(target: TargetId, level: number): boolean {
		const state = this.targets.get(target);
		return !state || this.admits(state, level);
	}

	/** True when `hasCapacity` would be. Decides on a copy of the state, which stays as it is. */
	previewCapacity(target: TargetId, level: number): boolean {
		const state = this.targets.get(target);
		return !state || this.admits(structuredClone(state), level);
	}

	/** Records that a request was sent. */
	recordSent(target: TargetId, request: StartingRequest): void {
		let state = this.targets.get(target);
		if (!state) {
			state = {waiting: new Map(), levels: new Map()};
			this.targets.set(target, state);
		}

		state.waiting.set(request.request, {
			...request,
			sentAt: this.clock.monotonic(),
		});
	}

	/** Records the first event of a request. */
	recordStarted(target: TargetId, request: RequestId): void {
		const state = this.targets.get(target);
		const started = state?.waiting.get(request);
		if (!state || !started) {
			return;
		}

		const level = this.levelOf(state, started.level);
		const elapsed = this.clock.monotonic() - started.sentAt;
		level.startMilliseconds =
			level.startMilliseconds === undefined
				? elapsed
				: level.startMilliseconds +
					smoothingFactor * (elapsed - level.startMilliseconds);
		level.startedAt = this.clock.monotonic();
		const allowed = allowedWait(started);
		if (elapsed > allowed) {
			this.decrease(state, started, elapsed);
		} else if (
			elapsed <= allowed * (this.isIncreasePerRound ? 1 : spareShare) &&
			countUntil(state, started.level) >= Math.floor(level.limit) - 1
		) {
			level.limit = Math.min(
				maximumLimit,
				level.limit + this.increaseOf(level),
			);
		}

		state.waiting.delete(request);
	}

	/** Records that a request no longer waits at the target, whether it started or not. */
	recordEnded(target: TargetId, request: RequestId): void {
		this.targets.get(target)?.waiting.delete(request);
	}

	/** Forgets a target. */
	removeTarget(target: TargetId): void {
		this.targets.delete(target);
	}

	/** Forgets all targets, because the waits so far were not those at the targets. */
	reset(): void {
		this.targets.clear();
	}

	/** Usual time from send to start of the requests of a level, undefined when none has started there. */
	usualStartMilliseconds(target: TargetId, level: number): number | undefined {
		return this.targets.get(target)?.levels.get(level)?.startMilliseconds;
	}

	/** A limit of 1.5 with one request is in use as a whole. Cut to one request, low limits would fall far more than high ones. */
	private usedLimit({limit}: Level, count: number): number {
		return this.isIncreasePerRound && count >= Math.floor(limit)
			? limit
			: Math.min(limit, count);
	}

	private increaseOf({limit}: Level): number {
		const step = this.isIncreasePerRound
			? increase / Math.max(1, limit)
			: increase;
		return Math.min(step, limit);
	}

	private admits(state: Target, level: number): boolean {
		this.applyOverdue(state);
		const {limit, startedAt, pauseMilliseconds} = this.levelOf(state, level);
		const count = countUntil(state, level);
		if (limit >= 1) {
			return count < Math.floor(limit);
		}

		const pause = pauseMilliseconds * (1 / limit - 1);
		return count === 0 && this.clock.monotonic() - startedAt >= pause;
	}

	/** Lowers the limits of levels whose requests have waited for too long and still do. */
	private applyOverdue(state: Target): void {
		const now = this.clock.monotonic();
		for (const waiting of state.waiting.values()) {
			const elapsed = now - waiting.sentAt;
			if (elapsed > allowedWait(waiting)) {
				this.decrease(state, waiting, elapsed);
			}
		}
	}

	private decrease(
		state: Target,
		waiting: WaitingStart,
		elapsed: number,
	): void {
		const level = this.levelOf(state, waiting.level);
		if (waiting.sentAt < level.decreasedAt) {
			return;
		}

		const allowed = allowedWait(waiting);
		level.pauseMilliseconds = allowed;
		level.decreasedAt = this.clock.monotonic();
		const inUse = this.usedLimit(level, countUntil(state, waiting.level));
		level.limit = Math.max(
			minimumLimit,
			inUse * Math.max(minimumDecreaseFactor, allowed / elapsed),
		);
	}

	private levelOf(state: Target, number: number): Level {
		let level = state.levels.get(number);
		if (!level) {
			level = {
				limit: this.initialLimit,
				startedAt: Number.NEGATIVE_INFINITY,
				pauseMilliseconds: 0,
				decreasedAt: Number.NEGATIVE_INFINITY,
				startMilliseconds: undefined,
			};
			state.levels.set(number, level);
		}

		return level;
	}
}

function countUntil({waiting}: Target, level: number): number {
	let count = 0;
	for (const each of waiting.values()) {
		count += each.level <= level ? 1 : 0;
	}

	return count;
}

function allowedWait({objectiveMilliseconds}: StartingRequest): number {
	return Math.max(minimumWaitMilliseconds, objectiveMilliseconds * targetShare);
}
