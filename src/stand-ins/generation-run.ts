import {
	type GenerationEvent,
	type GenerationRequest,
} from '../contracts/engine.js';
import {TypedEvent} from '../base/common/typed-event.js';
import {expectedResponse} from './response-generator.js';

/** One generation inside an engine stand-in. It outlives the connections that watch it. */
export class GenerationRun {
	/** Announces that events were added. */
	readonly eventsAdded = new TypedEvent<void>();
	/** Events so far. The first one follows the continuation. */
	readonly events: GenerationEvent[] = [];
	/** Sequence number of the first event, equal to the length of the continuation. */
	readonly firstSequence: number;
	started = false;
	watchers = 0;
	private readonly answer: ReturnType<typeof expectedResponse>;
	private produced: number;

	constructor(readonly request: GenerationRequest) {
		this.answer = expectedResponse(request);
		this.firstSequence = request.continuation.length;
		this.produced = this.firstSequence;
	}

	get finished(): boolean {
		return this.events.at(-1)?.kind === 'end';
	}

	/** True when the run ended before its last token. */
	get isCancelled(): boolean {
		const last = this.events.at(-1);
		return last?.kind === 'end' && last.reason === 'cancelled';
	}

	/** Adds the next token, or the end marker after the last one. */
	advance(): void {
		if (this.finished) {
			return;
		}

		const text = this.answer.tokens[this.produced];
		if (text === undefined) {
			this.end(this.answer.reason);
			return;
		}

		this.events.push({
			kind: 'token',
			requestId: this.request.requestId,
			sequence: this.produced,
			text,
		});
		this.produced++;
		if (this.produced >= this.answer.tokens.length) {
			this.end(this.answer.reason);
			return;
		}

		this.eventsAdded.publish();
	}

	/** Ends the run before its last token. */
	cancel(): void {
		if (!this.finished) {
			this.end('cancelled');
		}
	}

	private end(reason: 'stop' | 'length' | 'cancelled'): void {
		this.events.push({
			kind: 'end',
			requestId: this.request.requestId,
			tokens: this.produced,
			reason,
		});
		this.eventsAdded.publish();
	}
}
