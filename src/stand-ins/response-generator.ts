import {canonicalJson, hash32} from '../base/common/digest.js';
import {type GenerationRequest} from '../contracts/engine.js';

type Prompt = Pick<
	GenerationRequest,
	'model' | 'adapter' | 'messages' | 'maximumTokens'
>;

/** The response that every engine stand-in generates for a prompt. */
export type ExpectedResponse = {
	readonly tokens: readonly string[];
	readonly reason: 'stop' | 'length';
};

/**
 * Computes the response to a prompt from the model, the adapter and the messages only, so that a
 * test can verify a response to which several engines contributed.
 * The text `tokens=<number>` in a message sets the number of tokens, up to `maximumTokens`.
 */
export function expectedResponse(prompt: Prompt): ExpectedResponse {
	const seed = hash32(
		canonicalJson([prompt.model, prompt.adapter ?? null, prompt.messages]),
	);
	const text = prompt.messages.map((message) => message.content).join('\n');
	const requestedTokens = Number(
		/tokens=(\d+)/.exec(text)?.[1] ?? 8 + (seed % 25),
	);
	const count = Math.min(requestedTokens, prompt.maximumTokens);
	return {
		tokens: Array.from(
			{length: count},
			(_, position) => `${(seed % 46_656).toString(36)}.${position} `,
		),
		reason: count < requestedTokens ? 'length' : 'stop',
	};
}
