import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {type ChatMessage} from '../../contracts/engine.js';
import {RequestProblem} from '../../contracts/request-problem.js';

const textPartSchema = z.object({type: z.literal('text'), text: z.string()});

const contentSchema = z.union([
	z.string(),
	z
		.array(textPartSchema)
		.transform((parts) => parts.map((part) => part.text).join('')),
]);

// Unknown members are accepted, because client libraries send members that the entry service does not use.
const chatCompletionSchema = z.object({
	model: z.string().min(1),
	messages: z
		.array(z.object({role: z.string().min(1), content: contentSchema}))
		.min(1),
	stream: z.boolean().nullish(),
	stream_options: z.object({include_usage: z.boolean().optional()}).nullish(),
	max_tokens: z.number().int().positive().nullish(),
	max_completion_tokens: z.number().int().positive().nullish(),
	n: z.literal(1).nullish(),
});

/** The members of a chat-completions request that the entry service uses. */
export type ChatCompletionRequest = {
	readonly offering: string;
	readonly messages: readonly ChatMessage[];
	readonly stream: boolean;
	readonly includeUsage: boolean;
	/** Undefined if the client sets no limit. */
	readonly maximumTokens: number | undefined;
};

/** Parses the body of a chat-completions request. Returns the problem `bad-request` if it is invalid. */
export function parseChatCompletion(
	body: string,
): Result<ChatCompletionRequest, RequestProblem> {
	let json: unknown;
	try {
		json = JSON.parse(body);
	} catch {
		return err(
			new RequestProblem(
				'bad-request',
				'The request body is not valid JSON.',
				'not-run',
			),
		);
	}

	const parsed = chatCompletionSchema.safeParse(json);
	if (!parsed.success) {
		const issues = parsed.error.issues
			.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
			.join('; ');
		return err(new RequestProblem('bad-request', issues, 'not-run'));
	}

	const {data} = parsed;
	return ok({
		offering: data.model,
		messages: data.messages,
		stream: data.stream ?? false,
		includeUsage: data.stream_options?.include_usage ?? false,
		maximumTokens: data.max_completion_tokens ?? data.max_tokens ?? undefined,
	});
}

/** Members that are the same in all chunks of one response. */
export type CompletionIdentity = {
	readonly id: string;
	/** Wall time in seconds since the Unix epoch. */
	readonly created: number;
	readonly offering: string;
};

/** Reason why a response ended, as sent to clients in `finish_reason`. */
export type FinishReason = 'stop' | 'length';

/** Builds the JSON body of a response that is not streamed. */
export function completionBody(
	identity: CompletionIdentity,
	text: string,
	finishReason: FinishReason,
	usage: Usage,
): Record<string, unknown> {
	return {
		id: identity.id,
		object: 'chat.completion',
		created: identity.created,
		model: identity.offering,
		choices: [
			{
				index: 0,
				message: {role: 'assistant', content: text},
				logprobs: null,
				finish_reason: finishReason,
			},
		],
		usage: usageBody(usage),
	};
}

/** Token counts of a prompt and its response. */
export type Usage = {
	readonly promptTokens: number;
	readonly completionTokens: number;
};

function usageBody(usage: Usage): Record<string, number> {
	return {
		prompt_tokens: usage.promptTokens,
		completion_tokens: usage.completionTokens,
		total_tokens: usage.promptTokens + usage.completionTokens,
	};
}

/** Formats one chunk of a streamed response as a server-sent event. */
export function completionChunk(
	identity: CompletionIdentity,
	delta: Readonly<Record<string, string>>,
	finishReason: FinishReason | null,
): string {
	return serverSentEvent({
		id: identity.id,
		object: 'chat.completion.chunk',
		created: identity.created,
		model: identity.offering,
		choices: [{index: 0, delta, logprobs: null, finish_reason: finishReason}],
	});
}

/** Formats the chunk with the token counts, which precedes the end marker if the client requested usage. */
export function usageChunk(identity: CompletionIdentity, usage: Usage): string {
	return serverSentEvent({
		id: identity.id,
		object: 'chat.completion.chunk',
		created: identity.created,
		model: identity.offering,
		choices: [],
		usage: usageBody(usage),
	});
}

/** End marker of a complete stream. A stream without it is truncated. */
export const endOfStream = 'data: [DONE]\n\n';

/** Formats one server-sent event. */
export function serverSentEvent(body: unknown): string {
	return `data: ${JSON.stringify(body)}\n\n`;
}
