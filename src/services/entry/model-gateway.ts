import {type Result} from 'neverthrow';
import {type ChatMessage} from '../../contracts/engine.js';
import {type RequestId} from '../../contracts/ids.js';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {
	type AuthenticatedCaller,
	type ResolvedOffering,
} from './caller-directory.js';
import {type FinishReason} from './chat-completion.js';

/** A model request after it passed the checks at the entry. */
export type ModelRequest = {
	readonly requestId: RequestId;
	readonly authenticated: AuthenticatedCaller;
	readonly offering: ResolvedOffering;
	readonly messages: readonly ChatMessage[];
	readonly maximumTokens: number;
};

/** A part of an answer. The last part carries the reason for the end. */
export type ResponsePart =
	| {readonly kind: 'text'; readonly text: string}
	| {
			readonly kind: 'end';
			readonly tokens: number;
			readonly reason: FinishReason;
	  };

/** Runs model requests. A stream ends after an `end` part or a problem, never otherwise. */
export abstract class ModelGateway {
	abstract run(
		request: ModelRequest,
		signal: AbortSignal,
	): AsyncIterable<Result<ResponsePart, RequestProblem>>;
}
