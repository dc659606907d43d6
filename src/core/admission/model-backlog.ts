import {type Clock} from '../../base/common/clock.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {type CallerId, type ModelId} from '../../contracts/ids.js';
import {DecayingSums} from '../fairness/decaying-sums.js';
import {type CallerUsage} from '../fairness/caller-usage.js';
import {BacklogEstimator} from './backlog-estimator.js';
import {
	drainHalfLifeMilliseconds,
	slotsOf,
	toLevelKey,
	type FleetQueue,
	type LevelKey,
} from './fleet-queue.js';

/** Collaborators of the backlog. */
export type ModelBacklogOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** The work that waits on the other hosts. Undefined while requests are admitted by the queue of this host alone. */
	readonly fleetQueue: () => FleetQueue | undefined;
	/** Work of the callers on all hosts, by which they share the targets. */
	readonly usage?: CallerUsage | undefined;
};

/** New work as admission sees it. */
export type ArrivingWork = {
	readonly model: ModelId;
	/** Rank by urgency, lower first. */
	readonly level: number;
	readonly caller: CallerId;
	readonly expectedMilliseconds: number;
	/** Time until it has to be sent to start within its objective. */
	readonly objectiveMilliseconds: number;
	/** Time for which its caller waits for the start. */
	readonly timeoutMilliseconds: number;
	/** Requests for the model on this host that are dispatched before it. */
	readonly requestsAhead: number;
	/** Their work, computed only when it is needed. */
	readonly workAhead: () => number;
};

/** The wait of work that is refused on arrival, and the time after which its caller should return. */
export type HopelessWait = {
	readonly waitMilliseconds: number;
	readonly retryAfterMilliseconds: number;
};

/** Time from send to start that the objective of work items already allows for. */
const expectedStartMilliseconds = 60;
/** Largest share of the objective by which work is considered late before its objective ends. */
const maximumMarginShare = 0.7;
/** Time after such a refusal for which new work that would miss its objective is refused on arrival. */
const overloadMilliseconds = 1000;
/** Shortest delay until a request refused under overload should come back: the time in which placement adds a replica. Sooner it would meet the same overload. */
const overloadRetryMilliseconds = 3000;
/** Queued requests for a model from which their drain rate is judged. */
const minimumBacklog = 3;
/** Requests whose work the fleet must have dispatched lately for a model for its drain rate to be known. */
const minimumDrainedRequests = 3;

/** Share of the objective that the expected wait in the queue of the fleet may take. The rest is for the age of the data and for hosts that get fewer slots than others: with 1, 11% of the accepted work of 24 hosts ended unserved in a burst of 3.5, with 0.5 3.9%, with 0.25 1.4%. */
const admittedShare = 0.25;
/** Share of the drain rate that a level is taken to have at least, so that its wait stays finite. */
const minimumLevelShare = 0.02;

/**
 * Decides under overload of the targets of a model which new work cannot start in time, and when its caller should
 * return. By default it judges by the queue of this host. With the queue of the fleet, all hosts refuse the same work:
 * what one queue for all hosts would not start within its objective.
 */
export class ModelBacklog {
	private readonly estimator: BacklogEstimator<ModelId>;
	/** Estimates of the work that can no longer meet its objective, which is dispatched after the other work of its model. */
	private readonly lateEstimator: BacklogEstimator<ModelId>;
	private readonly dispatched: DecayingSums<LevelKey>;
	/** Times at which work of a caller for a model was last refused because it could not start in time, the latest last. A caller within its share is not judged by the overload of another. */
	private readonly overloadedAt = new Map<string, number>();

	constructor(private readonly options: ModelBacklogOptions) {
		const {clock} = options;
		this.estimator = new BacklogEstimator({clock});
		this.lateEstimator = new BacklogEstimator({clock});
		this.dispatched = new DecayingSums(clock, drainHalfLifeMilliseconds);
	}

	/** Records that work left the queue for a target. */
	recordDispatch(
		model: ModelId,
		level: number,
		expectedMilliseconds: number,
		isLate: boolean,
	): void {
		(isLate ? this.lateEstimator : this.estimator).recordDispatch(model);
		this.dispatched.add(toLevelKey(model, level), expectedMilliseconds);
	}

	/** Records the time from send to start of a request. */
	recordStart(model: ModelId, milliseconds: number): void {
		this.estimator.recordStart(model, milliseconds);
	}

	/** Records that queued work was refused because it could not start in time. */
	recordOverload(model: ModelId, caller: CallerId): void {
		const now = this.options.clock.monotonic();
		const key = overloadKey(model, caller);
		this.overloadedAt.delete(key);
		this.overloadedAt.set(key, now);
		for (const [each, overloadedAt] of this.overloadedAt) {
			if (now - overloadedAt <= overloadMilliseconds) {
				break;
			}

			this.overloadedAt.delete(each);
		}
	}

	/** Whole milliseconds of the work that this host has dispatched lately, by model and level. */
	dispatchedWork(): Map<LevelKey, number> {
		return this.dispatched.rounded();
	}

	/** Time by which work has to be sent earlier than usual to start within its objective. */
	startMargin(model: ModelId, objectiveMilliseconds: number): number {
		const usual = this.estimator.usualStartMilliseconds(model) ?? 0;
		return Math.min(
			Math.max(0, usual - expectedStartMilliseconds),
			objectiveMilliseconds * maximumMarginShare,
		);
	}

	/** Expected wait of work that can no longer meet its objective. */
	lateWait(model: ModelId, requestsAhead: number): number {
		return this.lateEstimator.waitMilliseconds(model, requestsAhead);
	}

	/**
	 * Expected wait behind the queued requests for the same model, if new work would not start in time: it exceeds the
	 * time for which the caller waits, or the objective while other work of its kind meets it.
	 */
	hopelessWait(
		work: ArrivingWork,
		random = this.options.random,
	): HopelessWait | undefined {
		const ofFleet = this.fleetWait(work);
		if (ofFleet !== undefined) {
			return ofFleet >
				admittedShare *
					Math.min(work.objectiveMilliseconds, work.timeoutMilliseconds)
				? {
						waitMilliseconds: ofFleet,
						retryAfterMilliseconds: spread(ofFleet, random),
					}
				: undefined;
		}

		const {model, caller, requestsAhead} = work;
		const now = this.options.clock.monotonic();
		const isOverloaded =
			now -
				(this.overloadedAt.get(overloadKey(model, caller)) ??
					Number.NEGATIVE_INFINITY) <
			overloadMilliseconds;
		if (requestsAhead < (isOverloaded ? 1 : minimumBacklog)) {
			return undefined;
		}

		const waitMilliseconds = this.estimator.waitMilliseconds(
			model,
			requestsAhead,
		);
		const limit = isOverloaded
			? work.objectiveMilliseconds
			: work.timeoutMilliseconds;
		return waitMilliseconds > limit
			? {
					waitMilliseconds,
					retryAfterMilliseconds: Math.max(
						Math.ceil(waitMilliseconds),
						overloadRetryMilliseconds,
					),
				}
			: undefined;
	}

	/** Time after which queued requests for a model have been dispatched, for the caller of a refused one. */
	retryDelay(
		work: Pick<
			ArrivingWork,
			| 'model'
			| 'level'
			| 'caller'
			| 'expectedMilliseconds'
			| 'requestsAhead'
			| 'workAhead'
		>,
	): number {
		const ofFleet = this.fleetWait(work);
		return ofFleet === undefined
			? Math.max(
					overloadRetryMilliseconds,
					Math.ceil(
						this.estimator.waitMilliseconds(work.model, work.requestsAhead),
					),
				)
			: spread(ofFleet, this.options.random);
	}

	/** Expected wait in a single queue of all hosts, undefined while it is unknown. */
	private fleetWait({
		model,
		level,
		caller,
		expectedMilliseconds,
		workAhead,
	}: Omit<
		ArrivingWork,
		'objectiveMilliseconds' | 'timeoutMilliseconds' | 'requestsAhead'
	>): number | undefined {
		const fleetQueue = this.options.fleetQueue();
		if (!fleetQueue?.isCurrent) {
			return undefined;
		}

		const drainedByLevel = fleetQueue
			.dispatchedWork(model)
			.map(
				(others, each) => others + this.dispatched.get(toLevelKey(model, each)),
			);
		const drained = sum(drainedByLevel);
		if (drained < minimumDrainedRequests * Math.max(1, expectedMilliseconds)) {
			return undefined;
		}

		const own = workAhead();
		const ahead =
			own +
			fleetQueue.growth(model, level, own) +
			fleetQueue.workAhead(
				model,
				level,
				caller,
				expectedMilliseconds,
				this.options.usage,
			);
		// More urgent work that arrives later goes first as well, at the rate at which it does now.
		const left = drained - sum(drainedByLevel.slice(0, level));
		return ahead / slotsOf(Math.max(left, drained * minimumLevelShare));
	}
}

/** The time at which the queue has room, later by up to as much again, so that refused callers do not return together. */
function spread(waitMilliseconds: number, random: RandomSource): number {
	return Math.ceil(
		Math.max(waitMilliseconds, overloadMilliseconds) * (1 + random.next()),
	);
}

function sum(values: readonly number[]): number {
	return values.reduce((total, each) => total + each, 0);
}

function overloadKey(model: ModelId, caller: CallerId): string {
	return `${model} ${caller}`;
}
