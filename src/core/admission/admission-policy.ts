import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {type CallerId} from '../../contracts/ids.js';
import {type CallerLimiter} from './caller-limiter.js';

/** Why a request was refused. */
export type AdmissionRefusal = 'caller-limit' | 'overload' | 'deadline';

/** Returned when a request is refused before it is queued; it did not run. */
export class AdmissionRefusedError extends Error {
	override readonly name = 'AdmissionRefusedError';
	readonly execution = 'not-run';

	constructor(
		readonly code: AdmissionRefusal,
		/** Time after which a retry may be admitted. */
		readonly retryAfterMilliseconds: number,
		message: string,
	) {
		super(message);
	}

	/** False for requests above the limit of their caller, for which placement must not assign accelerators. */
	get countsAsDemand(): boolean {
		return this.code !== 'caller-limit';
	}
}

/** What admission needs to know of a request. */
export type AdmissionRequest = {
	readonly caller: CallerId;
	/** Time until the deadline, after which the response is useless. */
	readonly remainingMilliseconds: number;
	/** Expected service time of the request in a slot. */
	readonly expectedMilliseconds: number;
	/** Expected slot time of the queued work that is dispatched before this request. */
	readonly workAheadMilliseconds: number;
	/** Requests that this host has in flight on the targets of the pool. */
	readonly runningRequests: number;
};

/** An admitted request. */
export type Admission = {
	/** True when the caller is above its limit, which mode `monitor` only reports. */
	readonly isOverLimit: boolean;
	/** Estimated time in the queue. */
	readonly estimatedWaitMilliseconds: number;
};

/** Collaborators and settings of the admission policy. */
export type AdmissionPolicyOptions = {
	readonly clock: Clock;
	/** Limits of the callers, shared by all pools and plain services of the host. */
	readonly limiter: CallerLimiter;
	/** Largest share of the time to the deadline that the estimated wait may take. The rest is a margin for service times above the expected one. */
	readonly maximumWaitShare?: number;
	/** Half-life of a dispatch in the estimate of the drain rate. */
	readonly drainHalfLifeMilliseconds?: number;
};

/** Admission control of one pool: enforces the concurrency limit of the caller and refuses requests whose estimated wait exceeds what their deadline allows. */
export class AdmissionPolicy {
	private readonly options: Required<Omit<AdmissionPolicyOptions, 'limiter'>>;
	private readonly limiter: CallerLimiter;
	/** Exponentially decayed sum of the dispatched work, as of `decayedAt`. */
	private dispatchedMilliseconds = 0;
	private decayedAt: number;

	constructor(options: AdmissionPolicyOptions) {
		this.options = {
			maximumWaitShare: 0.5,
			drainHalfLifeMilliseconds: 1000,
			...options,
		};
		this.limiter = options.limiter;
		this.decayedAt = options.clock.monotonic();
	}

	/** Admits a request and counts it against its caller, or refuses it. The caller of this method must `release` each admitted request exactly once. */
	admit(request: AdmissionRequest): Result<Admission, AdmissionRefusedError> {
		const decision = this.decide(request);
		if (decision.isOk()) {
			this.limiter.acquire(request.caller);
		}

		return decision;
	}

	/** Returns what `admit` would, and changes nothing. */
	preview(request: AdmissionRequest): Result<Admission, AdmissionRefusedError> {
		const {dispatchedMilliseconds, decayedAt} = this;
		const decision = this.decide(request);
		// Bringing the sum up to date rounds it, which could change a later decision.
		this.dispatchedMilliseconds = dispatchedMilliseconds;
		this.decayedAt = decayedAt;
		return decision;
	}

	/** Releases an admitted request when it ends. */
	release(caller: CallerId): void {
		this.limiter.release(caller);
	}

	/** Records dispatched work for the drain rate, in expected milliseconds like the queued work, so that a bias of the service time estimates cancels out. */
	recordDispatch(expectedMilliseconds: number): void {
		this.decayDispatched();
		this.dispatchedMilliseconds += expectedMilliseconds;
	}

	/** Estimated milliseconds in the queue: the queued work ahead divided by the drain rate of the queue. */
	estimateWait(workAheadMilliseconds: number, runningRequests: number): number {
		if (workAheadMilliseconds <= 0) {
			return 0;
		}

		this.decayDispatched();
		// At a constant drain rate the decayed sum settles at the rate times this period, the integral of the decay.
		const period = this.options.drainHalfLifeMilliseconds / Math.LN2;
		// After an idle period the measured rate is too low, and the first burst would be refused. The requests in
		// flight then give a lower bound of the slots available to this host; half of them allows for slow targets.
		const rate = Math.max(
			1,
			this.dispatchedMilliseconds / period,
			runningRequests / 2,
		);
		return workAheadMilliseconds / rate;
	}

	private decide(
		request: AdmissionRequest,
	): Result<Admission, AdmissionRefusedError> {
		const {limit, isOverLimit, isRefused} = this.limiter.check(request.caller);
		if (isRefused) {
			return err(
				new AdmissionRefusedError(
					'caller-limit',
					1000,
					`the caller has reached its limit of ${limit} concurrent requests`,
				),
			);
		}

		const slack = request.remainingMilliseconds - request.expectedMilliseconds;
		if (slack < 0) {
			return err(
				new AdmissionRefusedError(
					'deadline',
					0,
					'the expected service time exceeds the time left until the deadline',
				),
			);
		}

		const wait = this.estimateWait(
			request.workAheadMilliseconds,
			request.runningRequests,
		);
		const allowed = Math.min(
			slack,
			request.remainingMilliseconds * this.options.maximumWaitShare,
		);
		if (wait > allowed) {
			return err(
				new AdmissionRefusedError(
					'overload',
					Math.ceil(wait - allowed),
					`the estimated queue wait of ${Math.round(wait)} ms exceeds the ${Math.round(allowed)} ms that the deadline allows`,
				),
			);
		}

		return ok({isOverLimit, estimatedWaitMilliseconds: wait});
	}

	private decayDispatched(): void {
		const now = this.options.clock.monotonic();
		this.dispatchedMilliseconds *=
			0.5 ** ((now - this.decayedAt) / this.options.drainHalfLifeMilliseconds);
		this.decayedAt = now;
	}
}
