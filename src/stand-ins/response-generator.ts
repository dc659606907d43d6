import {canonicalJson, hash32} from '../base/common/digest.js';
import {type GenerationRequest} from '../contracts/engine.js';

type Prompt = Pick<
	GenerationRequest,
	'model' | 'adapter' | 'messages' | 'maximumTokens'
>;

/** The answer that every engine stand-in gives to a prompt. */
export type ExpectedResponse = {
	readonly tokens: readonly string[];
	readonly reason: 'stop' | 'length';
};

/**
 * Computes the answer to a prompt. It depends on the model, the adapter and the messages only,
 * so a test can check an answer that several engines produced together.
 * The text `tokens=<number>` in a message sets the length.
 */
export function expectedResponse(prompt: Prompt): ExpectedResponse {
	const seed = hash32(
		canonicalJson([prompt.model, prompt.adapter ?? null, prompt.messages]),
	);
	const text = prompt.messages.map((message) => message.content).join('\n');
	const wanted = Number(/tokens=(\d+)/.exec(text)?.[1] ?? 8 + (seed % 25));
	const count = Math.min(wanted, prompt.maximumTokens);
	return {
		tokens: Array.from(
			{length: count},
			(_, position) => `${(seed % 46_656).toString(36)}.${position} `,
		),
		reason: count < wanted ? 'length' : 'stop',
	};
}
