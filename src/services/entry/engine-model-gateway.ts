import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {canonicalJson, sha256} from '../../base/common/digest.js';
import {type GenerationRequest} from '../../contracts/engine.js';
import {type Fingerprint, type TargetId} from '../../contracts/ids.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {
	type Assignment,
	type GenerationWork,
	type TargetAssigner,
} from '../targets/target-assigner.js';
import {
	ModelGateway,
	type AnswerPart,
	type ModelRequest,
} from './model-gateway.js';

const maximumAttempts = 3;

/** Runs model requests on engines and continues them elsewhere when an engine is lost. */
export class EngineModelGateway extends ModelGateway {
	constructor(
		private readonly assigner: TargetAssigner,
		private readonly clock: Clock,
	) {
		super();
	}

	async *run(
		request: ModelRequest,
		signal: AbortSignal,
	): AsyncGenerator<Result<AnswerPart, RequestProblem>> {
		const arrivedAt = this.clock.monotonic();
		const excluded = new Set<TargetId>();
		const texts: string[] = [];
		for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
			const work = this.workOf(request, arrivedAt, excluded, texts);
			const assigned = await this.assigner.assign(work, signal);
			if (assigned.isErr()) {
				yield err(assigned.error);
				return;
			}

			const assignment = assigned.value;
			const end = yield* this.stream(work.request, assignment, texts, signal);
			if (end) {
				yield ok(end);
				return;
			}

			excluded.add(assignment.target.definition.id);
		}

		yield err(
			new RequestProblem(
				'interrupted',
				'The answer broke off before its end.',
				'unknown',
				1,
			),
		);
	}

	/** Streams from one target. Returns the end of the answer, or nothing when the target failed. */
	private async *stream(
		request: GenerationRequest,
		assignment: Assignment,
		texts: string[],
		signal: AbortSignal,
	): AsyncGenerator<
		Result<AnswerPart, RequestProblem>,
		AnswerPart | undefined
	> {
		const {engine} = assignment.target;
		if (!engine) {
			assignment.end('refused');
			return undefined;
		}

		for await (const event of engine.generate(request, signal)) {
			if (event.isErr()) {
				assignment.end(
					event.error.execution === 'not-run' ? 'refused' : 'lost',
				);
				return undefined;
			}

			if (event.value.kind === 'token') {
				assignment.token();
				texts.push(event.value.text);
				yield ok({kind: 'text', text: event.value.text});
				continue;
			}

			assignment.end('finished');
			return {
				kind: 'end',
				tokens: event.value.tokens,
				reason: event.value.reason === 'length' ? 'length' : 'stop',
			};
		}

		assignment.end('lost');
		return undefined;
	}

	private workOf(
		request: ModelRequest,
		arrivedAt: number,
		excluded: ReadonlySet<TargetId>,
		texts: readonly string[],
	): GenerationWork {
		const {offering, model} = request.offering;
		const {caller, callerClass} = request.known;
		return {
			pool: model.pool,
			caller: caller.id,
			callerClass,
			offering: offering.name,
			request: {
				requestId: request.requestId,
				model: model.id,
				adapter: offering.adapter,
				messages: [...request.messages],
				maximumTokens: request.maximumTokens,
				priority: 0,
				continuation: [...texts],
			},
			fingerprint: fingerprintOf(request),
			deadline: arrivedAt + callerClass.deadlineSeconds * 1000,
			arrivedAt,
			excluded,
			isSuspect: false,
		};
	}
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
