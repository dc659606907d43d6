import {err, ok, type Result} from 'neverthrow';
import {type RequestId} from '../../contracts/ids.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {
	completionBody,
	completionChunk,
	endOfStream,
	serverSentEvent,
	usageChunk,
	type CompletionIdentity,
	type Usage,
} from './chat-completion.js';
import {type ResponsePart} from './model-gateway.js';
import {problemBody} from './problem-response.js';

/** A chat response whose first part has arrived. */
export type StartedResponse = {
	readonly identity: CompletionIdentity;
	readonly requestId: RequestId;
	/** Size of the prompt in words, as an estimate of its tokens. */
	readonly promptTokens: number;
	readonly firstPart: ResponsePart;
	/** The parts after the first one. */
	readonly parts: AsyncIterator<Result<ResponsePart, RequestProblem>>;
	/** True if the client requested token counts at the end of a stream. */
	readonly includeUsage: boolean;
};

/** Returns the problem `interrupted`, for a response that ended without its end part. */
export function interruptedProblem(): RequestProblem {
	return new RequestProblem(
		'interrupted',
		'The response ended before it was complete.',
		'unknown',
	);
}

/** Reads a response to its end and returns it as one JSON body, or the problem that interrupted it. */
export async function collectResponse(
	response: StartedResponse,
): Promise<Result<Record<string, unknown>, RequestProblem>> {
	const texts: string[] = [];
	const {parts} = response;
	let part = response.firstPart;
	try {
		while (part.kind === 'text') {
			texts.push(part.text);
			const next = await parts.next();
			const result = next.done ? err(interruptedProblem()) : next.value;
			if (result.isErr()) {
				return err(result.error);
			}

			part = result.value;
		}
	} finally {
		await parts.return?.();
	}

	return ok(
		completionBody(
			response.identity,
			texts.join(''),
			part.reason,
			usageOf(response, part.tokens),
		),
	);
}

/**
 * Formats a response as server-sent events while it arrives. If the response is interrupted, the stream ends with the
 * problem as its last event and without the end marker.
 */
export async function* responseEvents(
	response: StartedResponse,
	onProblem: (problem: RequestProblem) => void,
): AsyncGenerator<string> {
	const {identity, parts} = response;
	try {
		// The opening event and the first token are sent in one write.
		let opening = completionChunk(
			identity,
			{role: 'assistant', content: ''},
			null,
		);
		let part = response.firstPart;
		while (part.kind === 'text') {
			yield `${opening}${completionChunk(identity, {content: part.text}, null)}`;
			opening = '';
			const next = await parts.next();
			const result = next.done ? err(interruptedProblem()) : next.value;
			if (result.isErr()) {
				onProblem(result.error);
				yield serverSentEvent(problemBody(result.error, response.requestId));
				return;
			}

			part = result.value;
		}

		const usage = response.includeUsage
			? usageChunk(identity, usageOf(response, part.tokens))
			: '';
		yield `${opening}${completionChunk(identity, {}, part.reason)}${usage}${endOfStream}`;
	} finally {
		await parts.return?.();
	}
}

function usageOf(response: StartedResponse, completionTokens: number): Usage {
	return {promptTokens: response.promptTokens, completionTokens};
}
