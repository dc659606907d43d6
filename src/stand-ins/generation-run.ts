import {
	type GenerationEvent,
	type GenerationRequest,
} from '../contracts/engine.js';
import {TypedEvent} from '../base/common/typed-event.js';
import {expectedResponse} from './response-generator.js';

/** One generation inside an engine stand-in. It continues after the connections that stream it have closed. */
export class GenerationRun {
	/** Fires when events were added. */
	readonly eventsAdded = new TypedEvent<void>();
	/** Events so far. The first one is the token that follows the continuation of the request. */
	readonly events: GenerationEvent[] = [];
	/** Sequence number of the first event: the number of tokens in the continuation of the request. */
	readonly firstSequence: number;
	/** True once the generation has left the queue of the engine. */
	started = false;
	/** Number of connections that stream the events. */
	openStreams = 0;
	private readonly response: ReturnType<typeof expectedResponse>;
	private generatedTokens: number;

	constructor(readonly request: GenerationRequest) {
		this.response = expectedResponse(request);
		this.firstSequence = request.continuation.length;
		this.generatedTokens = this.firstSequence;
	}

	/** True once the end marker has been added. */
	get finished(): boolean {
		return this.events.at(-1)?.kind === 'end';
	}

	/** True when the generation was cancelled before its last token. */
	get isCancelled(): boolean {
		const last = this.events.at(-1);
		return last?.kind === 'end' && last.reason === 'cancelled';
	}

	/** Adds the next token and, after the last one, the end marker. Has no effect on a finished generation. */
	advance(): void {
		if (this.finished) {
			return;
		}

		const text = this.response.tokens[this.generatedTokens];
		if (text === undefined) {
			this.end(this.response.reason);
			return;
		}

		this.events.push({
			kind: 'token',
			requestId: this.request.requestId,
			sequence: this.generatedTokens,
			text,
		});
		this.generatedTokens++;
		if (this.generatedTokens >= this.response.tokens.length) {
			this.end(this.response.reason);
			return;
		}

		this.eventsAdded.publish();
	}

	/** Ends the generation before its last token. Has no effect on a finished generation. */
	cancel(): void {
		if (!this.finished) {
			this.end('cancelled');
		}
	}

	private end(reason: 'stop' | 'length' | 'cancelled'): void {
		this.events.push({
			kind: 'end',
			requestId: this.request.requestId,
			tokens: this.generatedTokens,
			reason,
		});
		this.eventsAdded.publish();
	}
}
