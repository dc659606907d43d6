import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../base/common/clock.js';
import {type CallerId} from '../contracts/ids.js';
import {type CallerLimiter} from './caller-limiter.js';

/** Why a request was refused. */
export type AdmissionRefusal = 'caller-limit' | 'overload' | 'deadline';

/** A request was refused before it was queued, so it did not run. */
export class AdmissionRefusedError extends Error {
	override readonly name = 'AdmissionRefusedError';
	readonly execution = 'not-run';

	constructor(
		readonly code: AdmissionRefusal,
		readonly retryAfterMilliseconds: number,
		message: string,
	) {
		super(message);
	}

	/** Placement must not give accelerators to a caller for work above its limit. */
	get countsAsDemand(): boolean {
		return this.code !== 'caller-limit';
	}
}

/** A request that asks for admission. */
export type AdmissionRequest = {
	readonly caller: CallerId;
	/** Time until the answer is useless. */
	readonly remainingMilliseconds: number;
	readonly expectedMilliseconds: number;
	/** Expected milliseconds of slots that waiting work takes first. */
	readonly workAheadMilliseconds: number;
	/** Requests that this host has in flight on the targets of the pool. */
	readonly runningRequests: number;
};

/** An admitted request. */
export type Admission = {
	/** True in monitor mode when the caller is above its limit. */
	readonly isOverLimit: boolean;
	readonly estimatedWaitMilliseconds: number;
};

/** Settings of admission. */
export type AdmissionPolicyOptions = {
	readonly clock: Clock;
	/** Shared by all pools and plain services of the host. */
	readonly limiter: CallerLimiter;
	/** Part of the time to the deadline that work may spend in the queue. The rest covers services that take longer than expected. */
	readonly maximumWaitShare?: number;
	/** Age at which a dispatch counts half in the drain rate. */
	readonly drainHalfLifeMilliseconds?: number;
};

/** Decides whether a request may enter the queue: the limit of its caller, and refusal of work that would wait too long in this pool. */
export class AdmissionPolicy {
	private readonly options: Required<Omit<AdmissionPolicyOptions, 'limiter'>>;
	private readonly limiter: CallerLimiter;
	private drained = 0;
	private drainedAt: number;

	constructor(options: AdmissionPolicyOptions) {
		this.options = {
			maximumWaitShare: 0.5,
			drainHalfLifeMilliseconds: 1000,
			...options,
		};
		this.limiter = options.limiter;
		this.drainedAt = options.clock.monotonic();
	}

	/** Admits and counts a request, or refuses it. Each admitted request is released once. */
	admit(question: AdmissionRequest): Result<Admission, AdmissionRefusedError> {
		const {limit, isOverLimit, isRefused} = this.limiter.check(question.caller);
		if (isRefused) {
			return err(
				new AdmissionRefusedError(
					'caller-limit',
					1000,
					`the caller has ${limit} requests in flight, which is its limit`,
				),
			);
		}

		const slack =
			question.remainingMilliseconds - question.expectedMilliseconds;
		if (slack < 0) {
			return err(
				new AdmissionRefusedError(
					'deadline',
					0,
					'the request cannot finish before its deadline',
				),
			);
		}

		const wait = this.estimateWait(
			question.workAheadMilliseconds,
			question.runningRequests,
		);
		const allowed = Math.min(
			slack,
			question.remainingMilliseconds * this.options.maximumWaitShare,
		);
		if (wait > allowed) {
			return err(
				new AdmissionRefusedError(
					'overload',
					Math.ceil(wait - allowed),
					`the estimated wait of ${Math.round(wait)} ms is above the ${Math.round(allowed)} ms that the deadline leaves`,
				),
			);
		}

		this.limiter.acquire(question.caller);
		return ok({isOverLimit, estimatedWaitMilliseconds: wait});
	}

	/** Ends an admitted request. */
	release(caller: CallerId): void {
		this.limiter.release(caller);
	}

	/** Counts dispatched work, in the same expected milliseconds in which the queue is measured, so that a bias of the estimates cancels out. */
	recordDispatch(expectedMilliseconds: number): void {
		this.decayDrain();
		this.drained += expectedMilliseconds;
	}

	/** Estimated time until a dispatch, from the work ahead and the rate at which the queue drains. */
	estimateWait(workAheadMilliseconds: number, runningRequests: number): number {
		if (workAheadMilliseconds <= 0) {
			return 0;
		}

		this.decayDrain();
		// Integral of the decay: work drained at a constant rate adds up to rate times this period.
		const period = this.options.drainHalfLifeMilliseconds / Math.LN2;
		// After an idle time the rate is too low, and the first burst would be refused. The requests in flight then
		// show how many slots this host has; half of them allows for slow targets.
		const rate = Math.max(1, this.drained / period, runningRequests / 2);
		return workAheadMilliseconds / rate;
	}

	private decayDrain(): void {
		const now = this.options.clock.monotonic();
		this.drained *=
			0.5 ** ((now - this.drainedAt) / this.options.drainHalfLifeMilliseconds);
		this.drainedAt = now;
	}
}
