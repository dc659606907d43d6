import {type RandomSource} from '../../base/common/random-source.js';
import {type TargetId} from '../../contracts/ids.js';
import {type StartLimiter} from '../../core/admission/start-limiter.js';
import {type PermitBook} from '../../core/limits/permit-book.js';
import {type RefusalLimits} from '../../core/limits/refusal-limits.js';
import {type IsolationPolicy} from '../../core/routing/isolation-policy.js';
import {
	type OutlierDetector,
	type TargetHealth,
} from '../../core/routing/outlier-detector.js';
import {type PrefixAffinity} from '../../core/routing/prefix-affinity.js';
import {
	type RoutingCandidate,
	type RoutingPolicy,
} from '../../core/routing/routing-policy.js';
import {type SlotPolicy} from '../../core/routing/slot-policy.js';
import {type SlowdownEstimator} from '../../core/routing/slowdown-estimator.js';
import {type TargetLoad} from '../../core/routing/target-load-tracker.js';
import {WorkAwarePolicy} from '../../core/routing/work-aware-policy.js';
import {type WorkEstimate} from '../../core/work/work-estimator.js';
import {startLevel, type WorkItem} from './dispatch-contracts.js';
import {type WorkScheduling} from './work-scheduling.js';

/** The first reason for which a target does not receive a request. */
export type TargetExclusion =
	| 'leaving'
	/** Reserved for a request that may crash its target. */
	| 'reserved'
	| 'no-free-slot'
	| 'start-limit'
	| 'target-gate'
	| 'refusal-limit'
	| 'no-permit'
	/** Slower than the other targets, so that it receives only probes. */
	| 'ejected'
	/** Recovering, with as many requests of this host as its share allows. */
	| 'recovering';

/** Collaborators of the choice. */
export type TargetChoiceOptions = {
	readonly random: RandomSource;
	readonly routingPolicy: RoutingPolicy;
	readonly isolationPolicy: IsolationPolicy;
	readonly slotPolicy: SlotPolicy;
	readonly outlierDetector: OutlierDetector;
	readonly prefixAffinity: PrefixAffinity;
	readonly slowdownEstimator: SlowdownEstimator;
	readonly startLimiter?: StartLimiter | undefined;
	readonly permits?: PermitBook | undefined;
	readonly refusalLimits?: RefusalLimits | undefined;
	/** Defined in a pool that is scheduled by work. */
	readonly work: () => WorkScheduling | undefined;
	/** Factor in (0, 1] applied to the speed of a target. 1 by default. */
	readonly speedFactor?: ((target: TargetId) => number) | undefined;
};

/** A request for which a target is sought. */
export type ChoiceRequest = {
	readonly item: WorkItem;
	readonly isLong: boolean;
	/** True if the request has waited beyond the aging threshold. */
	readonly isAged: boolean;
};

/** A target, and why it does not receive the request. */
export type AssessedTarget = {
	readonly candidate: RoutingCandidate;
	/** Undefined if the target may receive the request. */
	readonly exclusion: TargetExclusion | undefined;
};

type CheckedRequest = {
	readonly item: WorkItem;
	readonly countsAsLong: boolean;
	/** True if a target of the pool is not ejected. */
	readonly hasHealthy: boolean;
};

/** Reads the state on which the choice depends. */
type Readings = {
	readonly health: (target: TargetId) => TargetHealth;
	readonly slowdown: (target: TargetId) => number;
	readonly mayStart: (target: TargetId, level: number) => boolean;
	readonly mayReceive: (load: TargetLoad) => boolean;
	readonly hasPermit: (target: TargetId) => boolean;
};

/** Chooses the target of a request among those that may receive it. */
export class TargetChoice {
	private readonly workAwarePolicy: WorkAwarePolicy;
	/** Readings of a decision, which ask for permits and update limits and estimates. */
	private readonly deciding: Readings;
	/** Readings that change nothing and give the same answers. */
	private readonly previewing: Readings;

	constructor(private readonly options: TargetChoiceOptions) {
		const {
			random,
			outlierDetector,
			slowdownEstimator,
			startLimiter,
			refusalLimits,
			permits,
		} = options;
		this.workAwarePolicy = new WorkAwarePolicy({random});
		this.deciding = {
			health: (target) => outlierDetector.health(target),
			slowdown: (target) => slowdownEstimator.slowdown(target),
			mayStart: (target, level) =>
				startLimiter?.hasCapacity(target, level) ?? true,
			mayReceive: (load) => refusalLimits?.mayReceive(load) ?? true,
			hasPermit: (target) => permits?.hasPermit(target) ?? true,
		};
		this.previewing = {
			health: (target) => outlierDetector.previewHealth(target),
			slowdown: (target) => slowdownEstimator.previewSlowdown(target),
			mayStart: (target, level) =>
				startLimiter?.previewCapacity(target, level) ?? true,
			mayReceive: (load) => refusalLimits?.previewReceive(load) ?? true,
			hasPermit: (target) => permits?.previewPermit(target) ?? true,
		};
	}

	/** Returns the chosen target, undefined if none may receive the request. */
	choose(
		request: ChoiceRequest,
		loads: readonly TargetLoad[],
	): TargetId | undefined {
		const {item} = request;
		const available = loads.filter(({leaving}) => !leaving);
		const healths = readHealths(available, this.deciding);
		const checked = this.toChecked(request, available, healths);
		const estimate = this.estimate(item);
		const candidates: RoutingCandidate[] = [];
		for (const load of available) {
			const health = healths.get(load.target)!;
			if (!this.findExclusion(load, health, checked, this.deciding)) {
				candidates.push(
					this.toCandidate(load, health, {item, estimate}, this.deciding),
				);
			}
		}

		const chosen = this.policy.choose(candidates, item);
		return chosen && isUnusable(chosen, checked) ? undefined : chosen?.target;
	}

	/** Returns each target with what excludes it, and changes nothing. */
	preview(
		request: ChoiceRequest,
		loads: readonly TargetLoad[],
	): AssessedTarget[] {
		const {item} = request;
		const available = loads.filter(({leaving}) => !leaving);
		const checked = this.toChecked(
			request,
			available,
			readHealths(available, this.previewing),
		);
		const estimate = this.estimate(item);
		return loads.map((load) => {
			const health = this.previewing.health(load.target);
			const candidate = this.toCandidate(
				load,
				health,
				{item, estimate},
				this.previewing,
			);
			const exclusion =
				this.findExclusion(load, health, checked, this.previewing) ??
				(isUnusable(candidate, checked) ? 'ejected' : undefined);
			return {candidate, exclusion};
		});
	}

	/** Expected cost of a request at a target, by which the policy compares targets. */
	cost(candidate: RoutingCandidate): number {
		return this.policy.cost(candidate);
	}

	/** True if the target has a free slot for a request of a level. */
	hasFreeSlot(load: TargetLoad, level: number, countsAsLong: boolean): boolean {
		return (
			this.options.work()?.hasCapacity(load, level) ??
			this.options.slotPolicy.hasCapacity(load, countsAsLong)
		);
	}

	/** Share of the prompt that a target may hold. */
	heldShare({target}: TargetLoad, {prefixes}: WorkItem): number {
		return this.options.prefixAffinity.heldShare(target, prefixes);
	}

	/** Returns the first reason for which a target does not receive the request. */
	private findExclusion(
		load: TargetLoad,
		{weight, isProbeDue}: TargetHealth,
		{item, countsAsLong, hasHealthy}: CheckedRequest,
		{mayStart, mayReceive, hasPermit}: Readings,
	): TargetExclusion | undefined {
		if (load.leaving) {
			return 'leaving';
		}

		if (!this.options.isolationPolicy.isAvailable(load.target)) {
			return 'reserved';
		}

		if (!this.hasFreeSlot(load, levelAtTarget(item), countsAsLong)) {
			return 'no-free-slot';
		}

		if (isStartLimited(item) && !mayStart(load.target, startLevel(item))) {
			return 'start-limit';
		}

		const work = this.options.work();
		if (work && !work.mayReceive(load, item, this.heldShare(load, item))) {
			return 'target-gate';
		}

		if (!mayReceive(load)) {
			return 'refusal-limit';
		}

		// After the other limits, because it asks for a permit.
		if (!hasPermit(load.target)) {
			return 'no-permit';
		}

		// Waiting for a healthy target is faster than using a slow one with free capacity.
		if (hasHealthy && weight === 0 && !isProbeDue) {
			return 'ejected';
		}

		// A recovering target receives only its share of the slots.
		const isRecovering = weight > 0 && weight < 1;
		return isRecovering &&
			load.localOutstanding >= Math.ceil(load.slots * weight)
			? 'recovering'
			: undefined;
	}

	private toChecked(
		{item, isLong, isAged}: ChoiceRequest,
		available: readonly TargetLoad[],
		healths: ReadonlyMap<TargetId, TargetHealth>,
	): CheckedRequest {
		return {
			item,
			countsAsLong:
				isLong &&
				!(isAged && this.options.slotPolicy.mayExceedLongSlots(available)),
			hasHealthy: [...healths.values()].some(({weight}) => weight > 0),
		};
	}

	private get policy(): RoutingPolicy {
		return this.options.work()
			? this.workAwarePolicy
			: this.options.routingPolicy;
	}

	/** Expected work of a request, undefined unless the pool is scheduled by work. */
	private estimate(item: WorkItem): WorkEstimate | undefined {
		return this.options.work()?.estimate(item);
	}

	private toCandidate(
		load: TargetLoad,
		health: TargetHealth,
		{
			item,
			estimate,
		}: {
			readonly item: WorkItem;
			readonly estimate: WorkEstimate | undefined;
		},
		{slowdown}: Readings,
	): RoutingCandidate {
		const {target} = load;
		const {prefixes, adapter} = item;
		const work = this.options.work();
		const speedFactor = this.options.speedFactor?.(target) ?? 1;
		return {
			...load,
			...health,
			speed: (health.speed * speedFactor) / slowdown(target),
			affinity: this.options.prefixAffinity.affinity(target, prefixes, adapter),
			...(work && estimate
				? {
						work: work.describe(
							load,
							item,
							estimate,
							this.heldShare(load, item),
						),
					}
				: {}),
		};
	}
}

/** True for model requests that have not begun. The rest of an interrupted stream is sent without delay. */
export function isStartLimited({model, isContinuation}: WorkItem): boolean {
	return model !== undefined && isContinuation !== true;
}

/** Rank for the slots of a target. The rest of an interrupted stream has a caller that reads it. */
function levelAtTarget(item: WorkItem): number {
	return item.isContinuation === true ? 0 : startLevel(item);
}

function readHealths(
	loads: readonly TargetLoad[],
	{health}: Readings,
): Map<TargetId, TargetHealth> {
	return new Map(loads.map(({target}) => [target, health(target)]));
}

/** If no healthy target has free capacity, an ejected target may receive probes only. */
function isUnusable(
	{weight, isProbeDue}: RoutingCandidate,
	{item, hasHealthy}: CheckedRequest,
): boolean {
	return hasHealthy && weight === 0 && !(isProbeDue && item.idempotent);
}
