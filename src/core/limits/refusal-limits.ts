import {type Clock} from '../../base/common/clock.js';
import {MedianRandomSource} from '../../base/common/median-random-source.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {type TargetId} from '../../contracts/ids.js';
import {type ReportedLoad} from '../../contracts/request-codec.js';
import {type TargetLoad} from '../routing/target-load-tracker.js';
import {type BrittleTargets} from './brittle-targets.js';

/** Collaborators of the limits. */
export type RefusalLimitsOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly brittle: BrittleTargets;
	/** Hosts of the fleet, this one included. */
	readonly hostCount: () => number;
};

type TargetState = {
	/** Requests of all hosts that the target has room for, as far as this host knows. */
	limit: number;
	slots: number;
	/** Reported requests of all hosts, undefined before the first report. */
	occupied: number | undefined;
	reportedAt: number;
	/** Requests of this host sent since the report. */
	sentSinceReport: number;
	/** Monotonic times of the requests sent within the last second. */
	sentAt: number[];
	/** Decides about the fraction of a slot that this host has in its share, in [0, 1). */
	shareDraw: number;
	/** Requests beyond the share that were accepted, which this host may replace when they end. */
	earned: number;
	/** Monotonic time of the last request in flight. */
	usedAt: number;
	/** Monotonic time until which nothing beyond the share is sent, after a refusal. */
	blockedUntil: number;
	/** Monotonic time from which one request may be sent at the risk of a refusal. */
	riskFrom: number;
	/** True once an answer of the target has shown that it runs, or it has restarted. */
	hasAnswered: boolean;
	hasHeldBack: boolean;
};

/** Share of the slots that the shares of the hosts add up to. The rest is room for places that other hosts have earned while a host does not use its share, and for chance, because hosts choose their fractions independently. */
const sharedSlots = 0.3;
/** Share of the announced refusals that requests beyond the shares may cause. The rest is for hosts without news and for shares that overlap. */
const riskedRefusals = 0.3;
/** Announced refusals a second below which the risk is calculated from this number. A target that announces none would otherwise get nothing from hosts without a share. */
const minimumRefusalsPerSecond = 0.5;
/** Announced refusals a second below which a smaller share of them is risked, because chance has more weight in small numbers. */
const fewRefusalsPerSecond = 5;
/** Time within which an opportunity to risk a refusal is used or lapses. Longer than the interval at which waiting work is looked at. Saved opportunities of many hosts would add up to a burst. */
const riskLifetimeMilliseconds = 250;
/** Time without a request in flight after which an earned place is given up, for each announced refusal a second. Others may have taken the place by then. */
const earnedLifetimePerRefusalMilliseconds = 50;
const maximumEarnedLifetimeMilliseconds = 250;
/** Limit before the first answer of a target and after its restart. */
const initialLimit = 1;
/** Time after a refusal in which a host sends only within its share, as a share of the mean interval between its risks. */
const refusedWaitShare = 0.25;
/** Factor on the limit after a refusal. */
const limitDecrease = 0.6;
/** Addition to the limit for each accepted request. */
const limitIncrease = 0.05;
const sentWindowMilliseconds = 1000;
const medianRandom = new MedianRandomSource();

/**
 * Decides whether this host may send another request to a brittle target, which falls over when it turns away more
 * than the announced number of requests within a second.
 *
 * A host sends within its share of the slots; while a report to it that is only milliseconds old shows room; in place of
 * an accepted request that has just ended; and otherwise once in a random interval that gives all hosts together a part
 * of the announced refusals. Each refusal shrinks the limit from which this is calculated, and each accepted request
 * raises it a little, up to the slots.
 */
export class RefusalLimits {
	/** This host holds a request back from a brittle target for the first time. */
	readonly heldBack = new TypedEvent<TargetId>();
	private readonly states = new Map<TargetId, TargetState>();
	/** Requests of this host at each target, brittle or not. */
	private readonly inFlight = new Map<TargetId, number>();

	constructor(private readonly options: RefusalLimitsOptions) {}

	/** True when another request may be sent to the target now. */
	mayReceive({target, slots}: Pick<TargetLoad, 'target' | 'slots'>): boolean {
		const refusals = this.options.brittle.get(target);
		if (refusals === undefined) {
			this.states.delete(target);
			return true;
		}

		const state = this.stateOf(target, refusals, slots);
		if (this.admits(target, state, refusals)) {
			return true;
		}

		if (!state.hasHeldBack) {
			state.hasHeldBack = true;
			this.heldBack.publish(target);
		}

		return false;
	}

	/** True when `mayReceive` would be, with medians where it would draw random numbers. Decides on a copy of the state, which stays as it is. */
	previewReceive({
		target,
		slots,
	}: Pick<TargetLoad, 'target' | 'slots'>): boolean {
		const refusals = this.options.brittle.get(target);
		if (refusals === undefined) {
			return true;
		}

		const known = this.states.get(target);
		const state = known
			? {...known, slots, limit: Math.min(known.limit, slots)}
			: this.createState(refusals, slots, medianRandom);
		return this.admits(target, state, refusals, medianRandom);
	}

	/** Records that a request was sent. */
	recordSent(target: TargetId): void {
		const refusals = this.options.brittle.get(target);
		const state = this.states.get(target);
		if (state && refusals !== undefined) {
			const now = this.options.clock.monotonic();
			if (
				!this.hasPlace(target, state, refusals) &&
				!this.hasReportedRoom(state)
			) {
				state.riskFrom = now + this.riskInterval(refusals);
			}

			state.sentSinceReport++;
			state.sentAt = [...recentlySent(state, now), now];
		}

		this.inFlight.set(target, this.inFlightAt(target) + 1);
	}

	/** Records that a request is no longer in flight. */
	recordEnded(target: TargetId): void {
		const inFlight = this.inFlightAt(target) - 1;
		if (inFlight > 0) {
			this.inFlight.set(target, inFlight);
		} else {
			this.inFlight.delete(target);
		}

		const state = this.states.get(target);
		if (state) {
			state.usedAt = this.options.clock.monotonic();
		}
	}

	/** Records the load in an answer of the target. */
	recordReport(
		target: TargetId,
		{running, queued}: Pick<ReportedLoad, 'running' | 'queued'>,
	): void {
		const state = this.states.get(target);
		if (state) {
			this.recordAnswer(state);
			state.occupied = running + queued;
			state.reportedAt = this.options.clock.monotonic();
			state.sentSinceReport = 0;
		}
	}

	/** Records that the target has accepted a request, which is still counted as in flight. */
	recordAccepted(target: TargetId): void {
		const state = this.states.get(target);
		if (!state) {
			return;
		}

		this.recordAnswer(state);
		state.limit = Math.min(state.slots, state.limit + limitIncrease);
		if (this.options.clock.monotonic() >= state.blockedUntil) {
			state.earned = Math.max(
				state.earned,
				this.fittingInFlight(target, state) - this.share(state),
			);
		}
	}

	/** Records that the target has turned a request away for want of room. */
	recordRefused(target: TargetId): void {
		const refusals = this.options.brittle.get(target);
		const state = this.states.get(target);
		if (!state || refusals === undefined) {
			return;
		}

		state.limit = Math.max(initialLimit, state.limit * limitDecrease);
		state.earned = 0;
		state.shareDraw = 0;
		state.blockedUntil =
			this.options.clock.monotonic() +
			this.meanRiskInterval(refusals) * refusedWaitShare;
		state.riskFrom = state.blockedUntil + this.riskInterval(refusals);
	}

	/** Records that the process of a target has ended. While it is brittle, it begins again with little work. */
	recordRestart(target: TargetId): void {
		const state = this.states.get(target);
		if (state) {
			state.limit = initialLimit;
			state.hasAnswered = true;
			state.earned = 0;
			state.occupied = undefined;
		}
	}

	/** Forgets a target that is no longer listed. */
	forget(target: TargetId): void {
		this.states.delete(target);
		this.inFlight.delete(target);
	}

	private admits(
		target: TargetId,
		state: TargetState,
		refusals: number,
		random = this.options.random,
	): boolean {
		return (
			this.hasPlace(target, state, refusals) ||
			this.hasReportedRoom(state) ||
			this.mayRisk(state, refusals, random)
		);
	}

	private recordAnswer(state: TargetState): void {
		if (!state.hasAnswered) {
			state.hasAnswered = true;
			state.limit = state.slots;
		}
	}

	private inFlightAt(target: TargetId): number {
		return this.inFlight.get(target) ?? 0;
	}

	private stateOf(
		target: TargetId,
		refusals: number,
		slots: number,
	): TargetState {
		let state = this.states.get(target);
		if (!state) {
			state = this.createState(refusals, slots, this.options.random);
			this.states.set(target, state);
		}

		state.slots = slots;
		state.limit = Math.min(state.limit, slots);
		return state;
	}

	private createState(
		refusals: number,
		slots: number,
		random: RandomSource,
	): TargetState {
		const now = this.options.clock.monotonic();
		return {
			limit: initialLimit,
			slots,
			occupied: undefined,
			reportedAt: now,
			sentSinceReport: 0,
			sentAt: [],
			shareDraw: random.next(),
			earned: 0,
			usedAt: now,
			blockedUntil: now,
			riskFrom: now + this.riskInterval(refusals, random),
			hasAnswered: false,
			hasHeldBack: false,
		};
	}

	/** Requests of this host at the target, without its part of those that wait there, for which the target may soon have no room. */
	private fittingInFlight(target: TargetId, state: TargetState): number {
		const {limit, occupied} = state;
		const fittingShare = Math.min(1, limit / Math.max(1, occupied ?? 0));
		return Math.floor(
			Math.min(this.inFlightAt(target), limit) * fittingShare +
				(fittingShare < 1 ? this.options.random.next() : 0),
		);
	}

	/** Requests that this host may always have at the target. */
	private share({limit, shareDraw}: TargetState): number {
		return Math.floor((limit * sharedSlots) / this.hostCount + shareDraw);
	}

	/** True while this host has fewer requests at the target than its share and the places that it has earned. */
	private hasPlace(
		target: TargetId,
		state: TargetState,
		refusals: number,
	): boolean {
		const inFlight = this.inFlightAt(target);
		const lifetime = Math.min(
			maximumEarnedLifetimeMilliseconds,
			refusals * earnedLifetimePerRefusalMilliseconds,
		);
		if (
			inFlight === 0 &&
			this.options.clock.monotonic() - state.usedAt > lifetime
		) {
			state.earned = 0;
		}

		return inFlight < Math.min(state.limit, this.share(state) + state.earned);
	}

	/** True while the target had more room in its last report than this host and the others may have used since. */
	private hasReportedRoom(state: TargetState): boolean {
		const now = this.options.clock.monotonic();
		if (state.occupied === undefined || now < state.blockedUntil) {
			return false;
		}

		const sentPerSecond = Math.max(1, recentlySent(state, now).length);
		const sentByOthers =
			((this.hostCount - 1) * sentPerSecond * (now - state.reportedAt)) /
			sentWindowMilliseconds;
		return (
			state.occupied + state.sentSinceReport + sentByOthers + 1 <= state.limit
		);
	}

	private mayRisk(
		state: TargetState,
		refusals: number,
		random: RandomSource,
	): boolean {
		const now = this.options.clock.monotonic();
		if (now >= state.riskFrom + riskLifetimeMilliseconds) {
			state.riskFrom = now + this.riskInterval(refusals, random);
		}

		return now >= state.riskFrom;
	}

	/** Random, so that the hosts of a fleet do not risk refusals at the same time. */
	private riskInterval(refusals: number, random = this.options.random): number {
		return -Math.log(1 - random.next()) * this.meanRiskInterval(refusals);
	}

	private meanRiskInterval(refusals: number): number {
		const counted = Math.max(refusals, minimumRefusalsPerSecond);
		const risked =
			counted * riskedRefusals * Math.min(1, counted / fewRefusalsPerSecond);
		return (this.hostCount * 1000) / risked;
	}

	private get hostCount(): number {
		return Math.max(1, this.options.hostCount());
	}
}

function recentlySent({sentAt}: TargetState, now: number): number[] {
	return sentAt.filter((at) => now - at < sentWindowMilliseconds);
}
