import {type Result} from 'neverthrow';
import {type ChatMessage} from '../../contracts/engine.js';
import {type RequestId} from '../../contracts/ids.js';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {
	type AuthenticatedCaller,
	type ResolvedOffering,
} from './caller-directory.js';
import {type FinishReason} from './chat-completion.js';

/** A model request that passed the checks of the entry server. */
export type ModelRequest = {
	readonly requestId: RequestId;
	readonly authenticated: AuthenticatedCaller;
	readonly offering: ResolvedOffering;
	readonly messages: readonly ChatMessage[];
	readonly maximumTokens: number;
};

/** A part of a response. The last part holds the number of generated tokens and the reason for the end. */
export type ResponsePart =
	| {readonly kind: 'text'; readonly text: string}
	| {
			readonly kind: 'end';
			readonly tokens: number;
			readonly reason: FinishReason;
	  };

/** Runs model requests. */
export abstract class ModelGateway {
	/**
	 * Returns the parts of the response. The stream ends after an `end` part or a problem, never otherwise. Aborting the
	 * signal cancels the request.
	 */
	abstract run(
		request: ModelRequest,
		signal: AbortSignal,
	): AsyncIterable<Result<ResponsePart, RequestProblem>>;
}
