import {err, ResultAsync, type Result} from 'neverthrow';
import {type EventLogger} from '../../base/common/event-logger.js';
import {dispatchEvents} from '../../contracts/events/dispatch-events.js';
import {type ServiceResponse} from '../../contracts/plain-service.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {type CallerLimiter} from '../../core/admission/caller-limiter.js';
import {ServiceGateway, type ServiceCall} from './service-gateway.js';

const retryAfterSeconds = 1;

/** Counts calls to plain services against the concurrency limit of their caller, and refuses calls above an enforced limit. */
export class LimitedServiceGateway extends ServiceGateway {
	constructor(
		private readonly inner: ServiceGateway,
		private readonly limiter: CallerLimiter,
		private readonly events: EventLogger,
	) {
		super();
	}

	call(
		call: ServiceCall,
		signal: AbortSignal,
	): ResultAsync<ServiceResponse, RequestProblem> {
		return new ResultAsync(this.callWithinLimit(call, signal));
	}

	private async callWithinLimit(
		call: ServiceCall,
		signal: AbortSignal,
	): Promise<Result<ServiceResponse, RequestProblem>> {
		const caller = call.authenticated.caller.id;
		const {isOverLimit, isRefused} = this.limiter.check(caller);
		if (isRefused) {
			this.events.record(dispatchEvents.callerLimitReached, {
				caller,
				request: call.requestId,
			});
			return err(
				new RequestProblem(
					'caller-limit',
					'This key has reached its limit of concurrent requests. Send the request again later.',
					'not-run',
					retryAfterSeconds,
				),
			);
		}

		if (isOverLimit) {
			this.events.record(dispatchEvents.callerLimitExceeded, {caller});
		}

		this.limiter.acquire(caller);
		try {
			return await this.inner.call(call, signal);
		} finally {
			this.limiter.release(caller);
		}
	}
}
