import {type Clock} from '../../base/common/clock.js';
import {
	type ModelId,
	type RequestId,
	type TargetId,
} from '../../contracts/ids.js';
import {RemainingWork} from '../../core/routing/remaining-work.js';
import {type CandidateWork} from '../../core/routing/routing-policy.js';
import {
	remoteSpread,
	SlotReservation,
} from '../../core/routing/slot-reservation.js';
import {
	type GatedRequest,
	type TargetGate,
} from '../../core/routing/target-gate.js';
import {TargetSlowdowns} from '../../core/routing/target-slowdowns.js';
import {type TargetLoad} from '../../core/routing/target-load-tracker.js';
import {LearnedWorkEstimator} from '../../core/work/learned-work-estimator.js';
import {
	remainingMilliseconds,
	type WorkEstimate,
	type WorkEstimator,
	type WorkFeatures,
} from '../../core/work/work-estimator.js';
import {startLevel, type WorkItem} from './dispatch-contracts.js';
import {type RunningAttempt} from './tracked-request.js';

/** Collaborators and settings of the scheduling by work of one pool. */
export type WorkSchedulingOptions = {
	readonly clock: Clock;
	readonly estimator?: WorkEstimator;
	/** Tokens that one event of a stream holds. */
	readonly tokensPerEvent?: number | undefined;
	/** Decide which targets may receive a request, in addition to the dispatcher. */
	readonly gates?: readonly TargetGate[] | undefined;
	readonly reservation?: SlotReservation;
};

/** Figures for operators. */
export type WorkFigures = {
	readonly meanMilliseconds: number;
	/** Mean ratio of the tokens of a response to the expected ones. */
	readonly lengthRatio: number;
	/** Share of the responses that were longer than the upper estimate. A tenth is expected. */
	readonly aboveUpperShare: number;
};

type SentRequest = {
	readonly estimate: WorkEstimate;
	readonly cachedTokens: number;
	readonly hadFreeSlot: boolean;
};

/** Weight of a response in the figures for operators. */
const figureStep = 0.01;

/** Knows the expected work of the requests of one pool and what its targets have left of it. */
export class WorkScheduling {
	readonly estimator: WorkEstimator;
	private readonly remaining: RemainingWork;
	private readonly slowdowns: TargetSlowdowns;
	private readonly gates: readonly TargetGate[];
	private readonly reservation: SlotReservation;
	private readonly sent = new Map<RequestId, Map<TargetId, SentRequest>>();
	private tokensPerEvent: number;
	private lengthRatio = 1;
	private aboveUpperShare = 0;

	constructor(options: WorkSchedulingOptions) {
		const {clock} = options;
		this.estimator = options.estimator ?? new LearnedWorkEstimator();
		this.remaining = new RemainingWork({estimator: this.estimator});
		this.slowdowns = new TargetSlowdowns({clock});
		this.gates = options.gates ?? [];
		this.reservation = options.reservation ?? new SlotReservation();
		this.tokensPerEvent = options.tokensPerEvent ?? 1;
	}

	/** Sets the number of tokens that one event of a stream holds, 1 if it is not stated. */
	setTokensPerEvent(tokens: number | undefined): void {
		this.tokensPerEvent = tokens ?? 1;
	}

	/** Figures for operators. */
	get figures(): WorkFigures {
		return {
			meanMilliseconds: this.estimator.usual().meanMilliseconds,
			lengthRatio: this.lengthRatio,
			aboveUpperShare: this.aboveUpperShare,
		};
	}

	/** Share of the requests of other hosts at a target that are still there after a time. */
	readonly aging = (ageMilliseconds: number): number =>
		Math.exp(
			-Math.max(0, ageMilliseconds) /
				Math.max(1, this.estimator.usual().remainingMilliseconds),
		);

	/** Returns the expected work of a request. */
	estimate(item: WorkItem): WorkEstimate {
		return this.estimator.estimate(featuresOf(item));
	}

	/** Expected time in a slot, without the part of an interrupted stream that has been produced. */
	expectedMilliseconds(item: WorkItem): number {
		return remainingMilliseconds(this.estimate(item), this.producedOf(item));
	}

	/** True when a target may receive another request of a level. */
	hasCapacity(load: TargetLoad, level: number): boolean {
		return this.reservation.hasCapacity(load, level);
	}

	/** True when the gates let a target receive a request. */
	mayReceive(load: TargetLoad, item: WorkItem, heldShare: number): boolean {
		if (this.gates.length === 0) {
			return true;
		}

		const request = this.gated(item, this.estimate(item), heldShare);
		return this.gates.every((gate) => gate.mayReceive(load, request));
	}

	/** Work that a target has left, in milliseconds of a slot. */
	remainingMillisecondsAt(load: TargetLoad): number {
		return this.remaining.millisecondsAt(load);
	}

	/** Describes the work at a target, and that of the request there. */
	describe(
		load: TargetLoad,
		item: WorkItem,
		estimate: WorkEstimate,
		heldShare: number,
	): CandidateWork {
		return {
			remoteSpread: remoteSpread(load),
			remainingMilliseconds: this.remaining.meanMillisecondsAt(load),
			slowdown: this.slowdowns.slowdown(load.target),
			promptMilliseconds: estimate.promptMilliseconds * (1 - heldShare),
			milliseconds: remainingMilliseconds(estimate, this.producedOf(item)),
		};
	}

	/** Records that a request was sent. */
	recordSent(load: TargetLoad, item: WorkItem, heldShare: number): void {
		const {target} = load;
		const estimate = this.estimate(item);
		const request = this.gated(item, estimate, heldShare);
		let attempts = this.sent.get(item.request);
		if (!attempts) {
			attempts = new Map();
			this.sent.set(item.request, attempts);
		}

		attempts.set(target, {
			estimate,
			cachedTokens: request.cachedTokens,
			// With this margin, the target has a free slot although the number is an estimate.
			hadFreeSlot:
				load.localOutstanding + load.remoteOutstanding + 1 <= load.slots / 2,
		});
		this.remaining.recordSent(
			target,
			item.request,
			estimate,
			this.producedOf(item),
			estimate.promptMilliseconds * (1 - heldShare),
		);
		for (const gate of this.gates) {
			gate.recordSent(target, request);
		}
	}

	/** Records how many events a target has sent of a request, in addition to those of earlier attempts. */
	recordProgress(target: TargetId, item: WorkItem, events: number): void {
		const tokens = this.producedOf(item) + events * this.tokensPerEvent;
		this.remaining.recordProgress(target, item.request, tokens);
		for (const gate of this.gates) {
			gate.recordProgress(target, item.request, tokens);
		}
	}

	/** Records the time between two events of a stream, divided by their number. */
	recordGap(target: TargetId, item: WorkItem, milliseconds: number): void {
		const estimate = this.sent.get(item.request)?.get(target)?.estimate;
		if (estimate) {
			this.slowdowns.recordGap(
				target,
				milliseconds / (estimate.millisecondsPerToken * this.tokensPerEvent),
			);
		}
	}

	/** Learns from an attempt that has ended with the complete response to a request. */
	observe(item: WorkItem, attempt: RunningAttempt): void {
		const {target, startedAt, firstTokenAt, lastTokenAt, tokens} = attempt;
		const sent = this.sent.get(item.request)?.get(target);
		if (
			item.isContinuation === true ||
			attempt.isReplacement ||
			firstTokenAt === undefined ||
			!sent
		) {
			return;
		}

		const {estimate, cachedTokens, hadFreeSlot} = sent;
		const produced = Math.max(1, tokens) * this.tokensPerEvent;
		this.lengthRatio +=
			figureStep * (produced / Math.max(1, estimate.tokens) - this.lengthRatio);
		this.aboveUpperShare +=
			figureStep *
			((produced > estimate.upperTokens + this.tokensPerEvent ? 1 : 0) -
				this.aboveUpperShare);
		this.estimator.observe(featuresOf(item), {
			tokens: produced,
			startMilliseconds: hadFreeSlot ? firstTokenAt - startedAt : undefined,
			millisecondsPerToken:
				tokens > 1
					? (lastTokenAt - firstTokenAt) / ((tokens - 1) * this.tokensPerEvent)
					: undefined,
			promptTokensRead: item.promptCharacters - cachedTokens,
		});
	}

	/** Records that a request is no longer at the target. */
	recordEnded(target: TargetId, request: RequestId): void {
		const attempts = this.sent.get(request);
		attempts?.delete(target);
		if (attempts?.size === 0) {
			this.sent.delete(request);
		}

		this.remaining.recordEnded(target, request);
		for (const gate of this.gates) {
			gate.recordEnded(target, request);
		}
	}

	/** Records the slowdown that a target has reported. */
	recordSlowdown(
		target: TargetId,
		slowdown: number,
		ageMilliseconds: number,
	): void {
		this.slowdowns.recordReport(target, slowdown, ageMilliseconds);
	}

	/** Forgets a target that has ended. */
	removeTarget(target: TargetId): void {
		this.remaining.removeTarget(target);
		this.slowdowns.removeTarget(target);
		for (const gate of this.gates) {
			gate.removeTarget(target);
		}
	}

	/** Drops what was learned of a model, because its weights have changed. */
	resetModel(model: ModelId): void {
		this.estimator.resetModel(model);
	}

	private producedOf({producedEvents}: WorkItem): number {
		return (producedEvents ?? 0) * this.tokensPerEvent;
	}

	private gated(
		item: WorkItem,
		estimate: WorkEstimate,
		heldShare: number,
	): GatedRequest {
		return {
			request: item.request,
			promptTokens: item.promptCharacters,
			cachedTokens: item.promptCharacters * heldShare,
			estimate,
			level: startLevel(item),
		};
	}
}

function featuresOf(item: WorkItem): WorkFeatures {
	return {
		offering: item.offering,
		model: item.model,
		adapter: item.adapter,
		promptTokens: item.promptCharacters,
		maximumTokens: item.maximumTokens,
		hintedTokens: item.hintedTokens,
	};
}
