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

/** An answer whose first part has arrived. */
export type StartedResponse = {
	readonly identity: CompletionIdentity;
	readonly requestId: RequestId;
	readonly promptTokens: number;
	readonly firstPart: ResponsePart;
	readonly parts: AsyncIterator<Result<ResponsePart, RequestProblem>>;
	readonly includeUsage: boolean;
};

/** The problem of an answer that ended without its end part. */
export function interruptedProblem(): RequestProblem {
	return new RequestProblem(
		'interrupted',
		'The answer broke off before its end.',
		'unknown',
	);
}

/** Reads the whole answer into one JSON body. */
export async function collectResponse(
	answer: StartedResponse,
): Promise<Result<Record<string, unknown>, RequestProblem>> {
	const texts: string[] = [];
	const {parts} = answer;
	let part = answer.firstPart;
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
			answer.identity,
			texts.join(''),
			part.reason,
			usageOf(answer, part.tokens),
		),
	);
}

/**
 * Formats an answer as server-sent events while it arrives. An answer that breaks off ends with the
 * problem and without the end marker.
 */
export async function* responseEvents(
	answer: StartedResponse,
	onProblem: (problem: RequestProblem) => void,
): AsyncGenerator<string> {
	const {identity, parts} = answer;
	try {
		// The first token leaves in one write with the event that opens the answer.
		let opening = completionChunk(
			identity,
			{role: 'assistant', content: ''},
			null,
		);
		let part = answer.firstPart;
		while (part.kind === 'text') {
			yield `${opening}${completionChunk(identity, {content: part.text}, null)}`;
			opening = '';
			const next = await parts.next();
			const result = next.done ? err(interruptedProblem()) : next.value;
			if (result.isErr()) {
				onProblem(result.error);
				yield serverSentEvent(problemBody(result.error, answer.requestId));
				return;
			}

			part = result.value;
		}

		const usage = answer.includeUsage
			? usageChunk(identity, usageOf(answer, part.tokens))
			: '';
		yield `${opening}${completionChunk(identity, {}, part.reason)}${usage}${endOfStream}`;
	} finally {
		await parts.return?.();
	}
}

function usageOf(answer: StartedResponse, completionTokens: number): Usage {
	return {promptTokens: answer.promptTokens, completionTokens};
}
