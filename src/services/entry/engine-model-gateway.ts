import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {canonicalJson, sha256} from '../../base/common/digest.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {
	type Fingerprint,
	type RequestId,
	type TargetId,
} from '../../contracts/ids.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {
	TargetRefusedError,
	TargetUnreachableError,
} from '../../contracts/target-error.js';
import {
	GenerationSession,
	type GenerationFailedError,
} from '../generation-session.js';
import {findEndedIncarnation} from '../targets/death-detector.js';
import {
	type Assignment,
	type AssignmentOutcome,
	type GenerationWork,
	type TargetAssigner,
} from '../targets/target-assigner.js';
import {type TargetDirectory} from '../targets/target-directory.js';
import {
	ModelGateway,
	type AnswerPart,
	type ModelRequest,
} from './model-gateway.js';
import {type QuarantineKeeper} from './quarantine-keeper.js';

/** Times after which a stream without progress is checked. */
export type ProgressLimits = {
	readonly firstTokenMilliseconds: number;
	readonly betweenTokensMilliseconds: number;
	readonly pingMilliseconds: number;
};

/** Several times the objectives, so that a slow target is not taken for a silent connection. */
export const defaultProgressLimits: ProgressLimits = {
	firstTokenMilliseconds: 10_000,
	betweenTokensMilliseconds: 3000,
	pingMilliseconds: 1000,
};

/** Collaborators of the gateway to engines. */
export type EngineModelGatewayOptions = {
	readonly assigner: TargetAssigner;
	readonly targets: TargetDirectory;
	readonly quarantine: QuarantineKeeper;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	readonly limits?: ProgressLimits;
};

// A lost target costs the caller a whole first-token time, so more tries do not meet its deadline.
const maximumLosses = 3;
// A refusal costs a round trip only; a pool can hold several leaving or full targets.
const maximumRefusals = 8;

type Attempts = {
	losses: number;
	refusals: number;
};

/** Runs model requests on engines and continues them elsewhere when an engine is lost. */
export class EngineModelGateway extends ModelGateway {
	constructor(private readonly options: EngineModelGatewayOptions) {
		super();
	}

	async *run(
		request: ModelRequest,
		signal: AbortSignal,
	): AsyncGenerator<Result<AnswerPart, RequestProblem>> {
		const {clock, assigner} = this.options;
		const arrivedAt = clock.monotonic();
		const fingerprint = fingerprintOf(request);
		const excluded = new Set<TargetId>();
		const attempts: Attempts = {losses: 0, refusals: 0};
		let tokens: readonly string[] = [];
		for (;;) {
			const work = this.workOf(request, {
				arrivedAt,
				fingerprint,
				excluded,
				tokens,
				attempt: attempts.losses + attempts.refusals,
			});
			const refusal = this.refusalOf(fingerprint, attempts);
			if (refusal) {
				yield err(refusal);
				return;
			}

			const assigned = await assigner.assign(work, signal);
			if (assigned.isErr()) {
				yield err(
					attempts.losses === 0 ? assigned.error : interrupted(assigned.error),
				);
				return;
			}

			const failure = yield* this.runOn(assigned.value, work, signal);
			if (!failure) {
				return;
			}

			const verdict = await this.judge(failure, assigned.value, fingerprint);
			if (verdict) {
				yield err(verdict);
				return;
			}

			tokens = failure.tokens.length > 0 ? failure.tokens : tokens;
			excluded.add(assigned.value.target.definition.id);
			attempts[failure.execution === 'not-run' ? 'refusals' : 'losses'] += 1;
		}
	}

	/** Streams from one target. Returns the failure, or nothing after the end of the answer. */
	private async *runOn(
		assignment: Assignment,
		work: GenerationWork,
		signal: AbortSignal,
	): AsyncGenerator<
		Result<AnswerPart, RequestProblem>,
		GenerationFailedError | undefined
	> {
		const {engine} = assignment.target;
		if (!engine) {
			throw new TypeError('a generation was assigned to a plain service');
		}

		const limits = this.options.limits ?? defaultProgressLimits;
		const session = new GenerationSession({
			engine,
			request: work.request,
			...limits,
			logger: this.options.events,
		});
		// The reader of this stream may stop at any token; the slot is given back all the same.
		let outcome: AssignmentOutcome = 'cancelled';
		try {
			for await (const progress of session.run(signal)) {
				if (progress.isErr()) {
					outcome = outcomeOf(progress.error);
					return progress.error;
				}

				if (progress.value.kind === 'token') {
					assignment.token();
					yield ok({kind: 'text', text: progress.value.text});
					continue;
				}

				outcome = 'finished';
				this.options.quarantine.clear(work.fingerprint);
				yield ok({
					kind: 'end',
					tokens: progress.value.tokens.length,
					reason: progress.value.reason,
				});
			}

			return undefined;
		} finally {
			assignment.end(outcome);
		}
	}

	/** Learns from a failure. Returns a problem when the request must not be tried again. */
	private async judge(
		failure: GenerationFailedError,
		assignment: Assignment,
		fingerprint: Fingerprint,
	): Promise<RequestProblem | undefined> {
		const {targets, quarantine, metrics} = this.options;
		const {id} = assignment.target.definition;
		metrics.count('daisylever_generation_failures_total', {
			reason: failure.reason,
		});
		if (failure.reason === 'aborted' || failure.reason === 'conflict') {
			return interrupted(failure);
		}

		if (failure.cause instanceof TargetRefusedError) {
			return this.judgeRefusal(failure.cause, id);
		}

		const incarnation = assignment.target.report?.incarnation;
		if (failure.isTargetSuspect) {
			targets.markUnavailable(id, 'unreachable');
		}

		const ended = await findEndedIncarnation(assignment.target, incarnation);
		if (
			ended &&
			!(
				failure.cause instanceof TargetUnreachableError &&
				failure.execution === 'not-run'
			)
		) {
			quarantine.reportDeath({
				fingerprint,
				target: id,
				targetIncarnation: ended,
			});
		}

		return undefined;
	}

	private judgeRefusal(
		refusal: TargetRefusedError,
		id: TargetId,
	): RequestProblem | undefined {
		if (refusal.reason === 'leaving') {
			this.options.targets.markUnavailable(id, 'leaving');
		}

		return refusal.reason === 'invalid'
			? new RequestProblem(
					'bad-request',
					'The model does not take this request.',
					'not-run',
				)
			: undefined;
	}

	private refusalOf(
		fingerprint: Fingerprint,
		attempts: Attempts,
	): RequestProblem | undefined {
		const {quarantine} = this.options;
		const execution = attempts.losses > 0 ? 'unknown' : 'not-run';
		if (quarantine.status(fingerprint) === 'quarantined') {
			return new RequestProblem(
				'quarantined',
				'This request made its server fail several times and is refused for a while.',
				execution,
				quarantine.remainingSeconds(fingerprint),
			);
		}

		if (attempts.losses >= maximumLosses) {
			return interrupted();
		}

		if (attempts.refusals >= maximumRefusals) {
			return new RequestProblem(
				'no-target',
				'Nothing can take the request now. Send it again.',
				execution,
				1,
			);
		}

		return undefined;
	}

	private workOf(
		request: ModelRequest,
		state: {
			readonly arrivedAt: number;
			readonly fingerprint: Fingerprint;
			readonly excluded: ReadonlySet<TargetId>;
			readonly tokens: readonly string[];
			readonly attempt: number;
		},
	): GenerationWork {
		const {offering, model} = request.offering;
		const {caller, callerClass} = request.known;
		return {
			pool: model.pool,
			caller: caller.id,
			callerClass,
			offering: offering.name,
			request: {
				// An engine that saw an earlier attempt must not take this one for a repetition.
				requestId: `${request.requestId}.${state.attempt}` as RequestId,
				model: model.id,
				adapter: offering.adapter,
				messages: [...request.messages],
				maximumTokens: request.maximumTokens,
				priority: priorityByUrgency[callerClass.urgency],
				continuation: [...state.tokens],
			},
			fingerprint: state.fingerprint,
			deadline: state.arrivedAt + callerClass.deadlineSeconds * 1000,
			arrivedAt: state.arrivedAt,
			excluded: state.excluded,
			isSuspect:
				this.options.quarantine.status(state.fingerprint) === 'suspect',
		};
	}
}

const priorityByUrgency = {urgent: 0, standard: 10, deferred: 20};

function outcomeOf(failure: GenerationFailedError): AssignmentOutcome {
	if (failure.reason === 'aborted') {
		return 'cancelled';
	}

	if (failure.cause instanceof TargetRefusedError) {
		return 'refused';
	}

	return failure.execution === 'not-run' ? 'unreachable' : 'lost';
}

function interrupted(cause?: Error): RequestProblem {
	return new RequestProblem(
		'interrupted',
		'The answer broke off before its end. Send the request again.',
		'unknown',
		1,
		{cause},
	);
}

/** Digest that repeated requests share, whatever their request id. */
export function fingerprintOf(request: ModelRequest): Fingerprint {
	return sha256(
		canonicalJson({
			offering: request.offering.offering.name,
			messages: request.messages,
		}),
	).slice(0, 32) as Fingerprint;
}
