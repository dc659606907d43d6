import {ResultAsync, type Result} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {type CallerClass} from '../../contracts/fleet-document.js';
import {type ServiceResponse} from '../../contracts/plain-service.js';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {
	judgeRequest,
	type BurnRateTracker,
	type RequestOutcome,
} from '../../core/burn/burn-rate.js';
import {type DecisionJournal} from '../decision-journal.js';
import {
	ModelGateway,
	type ResponsePart,
	type ModelRequest,
} from './model-gateway.js';
import {ServiceGateway, type ServiceCall} from './service-gateway.js';

/** Collaborators of the observing gateways. */
export type RequestObserverOptions = {
	readonly clock: Clock;
	readonly metrics: MetricRegistry;
	readonly burnRates: BurnRateTracker;
	readonly journal: DecisionJournal;
};

/** Measures model requests and judges each by the service-level objectives of its caller class. */
export class ObservedModelGateway extends ModelGateway {
	constructor(
		private readonly inner: ModelGateway,
		private readonly options: RequestObserverOptions,
	) {
		super();
	}

	async *run(
		request: ModelRequest,
		signal: AbortSignal,
	): AsyncGenerator<Result<ResponsePart, RequestProblem>> {
		const timing = new StreamTiming(this.options.clock);
		let isRecorded = false;
		const recordOnce = (outcome: RequestOutcome) => {
			if (!isRecorded) {
				isRecorded = true;
				this.recordOutcome(request, timing, outcome);
			}
		};

		try {
			for await (const part of this.inner.run(request, signal)) {
				if (part.isErr()) {
					recordOnce({
						refusal: part.error.code,
						completed: false,
						cancelledByCaller: signal.aborted,
					});
				} else if (part.value.kind === 'text') {
					timing.recordToken();
				} else {
					// The consumer may stop reading after the end part, so code after the loop may never run.
					recordOnce({completed: true});
				}

				yield part;
			}
		} finally {
			recordOnce({completed: false, cancelledByCaller: true});
		}
	}

	private recordOutcome(
		request: ModelRequest,
		timing: StreamTiming,
		outcome: RequestOutcome,
	): void {
		const {callerClass, caller} = request.authenticated;
		const labels = {class: callerClass.name};
		if (timing.firstTokenMilliseconds !== undefined) {
			this.options.metrics.observe(
				'daisylever_first_token_milliseconds',
				timing.firstTokenMilliseconds,
				labels,
			);
		}

		const meanBetweenTokens = timing.meanBetweenTokens();
		if (meanBetweenTokens !== undefined) {
			this.options.metrics.observe(
				'daisylever_between_tokens_milliseconds',
				meanBetweenTokens,
				labels,
			);
		}

		recordJudgement(this.options, callerClass, {
			...outcome,
			firstTokenMilliseconds: timing.firstTokenMilliseconds,
			betweenTokensMilliseconds: meanBetweenTokens,
		});
		if (outcome.refusal !== undefined) {
			this.options.journal.record({
				kind: 'refusal',
				reason: outcome.refusal,
				subjects: {
					request: request.requestId,
					caller: caller.id,
					offering: request.offering.offering.name,
				},
			});
		}
	}
}

/** Measures calls to plain services and judges each by the service-level objectives of its caller class. */
export class ObservedServiceGateway extends ServiceGateway {
	constructor(
		private readonly inner: ServiceGateway,
		private readonly options: RequestObserverOptions,
	) {
		super();
	}

	call(
		call: ServiceCall,
		signal: AbortSignal,
	): ResultAsync<ServiceResponse, RequestProblem> {
		const startedAt = this.options.clock.monotonic();
		const observe = async () => {
			const result = await this.inner.call(call, signal);
			this.recordOutcome(call, result, startedAt, signal.aborted);
			return result;
		};

		return new ResultAsync(observe());
	}

	private recordOutcome(
		call: ServiceCall,
		result: Result<ServiceResponse, RequestProblem>,
		startedAt: number,
		isCancelled: boolean,
	): void {
		const {callerClass, caller} = call.authenticated;
		const milliseconds = this.options.clock.monotonic() - startedAt;
		const code = result.isErr() ? result.error.code : undefined;
		this.options.metrics.observe(
			'daisylever_service_call_milliseconds',
			milliseconds,
			{class: callerClass.name},
		);
		recordJudgement(this.options, callerClass, {
			refusal: code,
			completed: result.isOk(),
			cancelledByCaller: isCancelled,
			serviceCallMilliseconds: milliseconds,
		});
		if (code !== undefined) {
			this.options.journal.record({
				kind: 'refusal',
				reason: code,
				subjects: {request: call.requestId, caller: caller.id},
			});
		}
	}
}

/** Measures the token times of one stream, in monotonic milliseconds. */
class StreamTiming {
	/** Time from the start of the stream to its first text part. Undefined before that part. */
	firstTokenMilliseconds: number | undefined;
	private readonly startedAt: number;
	private lastTokenAt = 0;
	private tokens = 0;

	constructor(private readonly clock: Clock) {
		this.startedAt = clock.monotonic();
	}

	recordToken(): void {
		this.lastTokenAt = this.clock.monotonic();
		this.firstTokenMilliseconds ??= this.lastTokenAt - this.startedAt;
		this.tokens += 1;
	}

	/** Returns the mean time between text parts, or undefined if there are fewer than two. */
	meanBetweenTokens(): number | undefined {
		if (this.firstTokenMilliseconds === undefined || this.tokens < 2) {
			return undefined;
		}

		const span =
			this.lastTokenAt - this.startedAt - this.firstTokenMilliseconds;
		return span / (this.tokens - 1);
	}
}

function recordJudgement(
	options: RequestObserverOptions,
	callerClass: CallerClass,
	outcome: RequestOutcome,
): void {
	const judgement = judgeRequest(outcome, callerClass.objectives);
	options.burnRates.record(callerClass.name, judgement);
	options.metrics.count('daisylever_requests_total', {
		class: callerClass.name,
		judgement,
	});
}
