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
} from '../../core/burn-rate.js';
import {type DecisionJournal} from '../decision-journal.js';
import {
	ModelGateway,
	type ResponsePart,
	type ModelRequest,
} from './model-gateway.js';
import {ServiceGateway, type ServiceCall} from './service-gateway.js';

/** What observers write to. */
export type RequestObserverOptions = {
	readonly clock: Clock;
	readonly metrics: MetricRegistry;
	readonly burnRates: BurnRateTracker;
	readonly journal: DecisionJournal;
};

/** Measures model requests and judges them by the objectives of their caller class. */
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
		let isJudged = false;
		const judgeOnce = (outcome: RequestOutcome) => {
			if (!isJudged) {
				isJudged = true;
				this.finish(request, timing, outcome);
			}
		};

		try {
			for await (const part of this.inner.run(request, signal)) {
				if (part.isErr()) {
					judgeOnce({
						refusal: part.error.code,
						completed: false,
						cancelledByCaller: signal.aborted,
					});
				} else if (part.value.kind === 'text') {
					timing.token();
				} else {
					// The reader takes nothing after the end, so what follows the loop may never run.
					judgeOnce({completed: true});
				}

				yield part;
			}
		} finally {
			judgeOnce({completed: false, cancelledByCaller: true});
		}
	}

	private finish(
		request: ModelRequest,
		timing: StreamTiming,
		outcome: RequestOutcome,
	): void {
		const {callerClass, caller} = request.authenticated;
		const labels = {class: callerClass.name};
		if (timing.firstToken !== undefined) {
			this.options.metrics.observe(
				'daisylever_first_token_milliseconds',
				timing.firstToken,
				labels,
			);
		}

		const between = timing.meanBetweenTokens();
		if (between !== undefined) {
			this.options.metrics.observe(
				'daisylever_between_tokens_milliseconds',
				between,
				labels,
			);
		}

		judge(this.options, callerClass, {
			...outcome,
			firstTokenMilliseconds: timing.firstToken,
			betweenTokensMilliseconds: between,
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

/** Measures calls to plain services and judges them by the objectives of their caller class. */
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
			this.finish(call, result, startedAt, signal.aborted);
			return result;
		};

		return new ResultAsync(observe());
	}

	private finish(
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
		judge(this.options, callerClass, {
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

class StreamTiming {
	firstToken: number | undefined;
	private readonly startedAt: number;
	private lastTokenAt = 0;
	private tokens = 0;

	constructor(private readonly clock: Clock) {
		this.startedAt = clock.monotonic();
	}

	token(): void {
		this.lastTokenAt = this.clock.monotonic();
		this.firstToken ??= this.lastTokenAt - this.startedAt;
		this.tokens += 1;
	}

	meanBetweenTokens(): number | undefined {
		if (this.firstToken === undefined || this.tokens < 2) {
			return undefined;
		}

		const span = this.lastTokenAt - this.startedAt - this.firstToken;
		return span / (this.tokens - 1);
	}
}

function judge(
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
