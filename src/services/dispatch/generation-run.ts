import {err, ok, type Result} from 'neverthrow';
import {Mailbox} from '../../base/common/mailbox.js';
import {type Fingerprint, type RequestId} from '../../contracts/ids.js';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {type AnswerPart, type ModelRequest} from '../entry/model-gateway.js';

/** Names one attempt of a run. Attempts count anew in each submission. */
export type AttemptKey = {
	readonly submission: number;
	readonly attempt: number;
};

// Without a reason each abort creates an exception with a stack trace.
const answerNotNeeded = 'the answer is no longer needed';

/** One model request of a caller from its arrival to its end, over all submissions and attempts. */
export class GenerationRun {
	/** Counts the submissions to the dispatcher. */
	submissionCount = 0;
	/** Submissions that ended before an attempt ran. */
	submissionsNotRun = 0;
	private readonly parts = new Mailbox<Result<AnswerPart, RequestProblem>>();
	private readonly attempts = new Map<string, AbortController>();
	private readonly texts: string[] = [];
	private begun = false;
	private winner: string | undefined;
	private ended = false;

	constructor(
		readonly request: ModelRequest,
		readonly fingerprint: Fingerprint,
		readonly arrivedAt: number,
		readonly deadline: number,
	) {}

	get isEnded(): boolean {
		return this.ended;
	}

	/** True once an attempt began, so that a target may have run it. */
	get hasStartedAttempt(): boolean {
		return this.begun;
	}

	/** Tokens that the caller received. */
	get deliveredTokens(): readonly string[] {
		return this.texts;
	}

	/** Id of the present submission, unique in the fleet. */
	get submissionId(): RequestId {
		return `${this.request.requestId}.${this.submissionCount}` as RequestId;
	}

	/** Registers an attempt and returns the signal that ends it. */
	beginAttempt(name: AttemptKey): AbortSignal {
		this.begun = true;
		const controller = new AbortController();
		this.attempts.set(keyOf(name), controller);
		return controller.signal;
	}

	/**
	 * Passes a token on if it comes from the first attempt that produced one.
	 * Returns false for an attempt whose answer is no longer needed.
	 */
	acceptToken(name: AttemptKey, text: string): boolean {
		this.winner ??= keyOf(name);
		if (this.ended || this.winner !== keyOf(name)) {
			return false;
		}

		this.texts.push(text);
		this.parts.post(ok({kind: 'text', text}));
		return true;
	}

	/** Ends the run with a whole answer, unless another attempt won. */
	complete(
		name: AttemptKey,
		tokens: number,
		reason: 'stop' | 'length',
	): boolean {
		this.winner ??= keyOf(name);
		if (this.ended || this.winner !== keyOf(name)) {
			return false;
		}

		this.parts.post(ok({kind: 'end', tokens, reason}));
		// The attempt has read its stream to the end, so there is nothing to abort.
		this.attempts.delete(keyOf(name));
		this.close();
		return true;
	}

	/** Notes that an attempt ended. A later attempt may continue from the tokens so far. */
	endAttempt(name: AttemptKey): void {
		this.attempts.delete(keyOf(name));
		if (this.winner === keyOf(name)) {
			this.winner = undefined;
		}
	}

	/** Ends one attempt whose answer is no longer needed. */
	cancelAttempt(name: AttemptKey): void {
		this.attempts.get(keyOf(name))?.abort(answerNotNeeded);
	}

	/** Ends the run with a problem. */
	fail(problem: RequestProblem): void {
		if (this.ended) {
			return;
		}

		this.parts.post(err(problem));
		this.close();
	}

	/** Ends the run and all its attempts without a further part. */
	close(): void {
		this.ended = true;
		this.parts.close();
		for (const controller of this.attempts.values()) {
			controller.abort(answerNotNeeded);
		}
	}

	/** Returns the next part, or undefined after the last one. */
	async nextPart(): Promise<Result<AnswerPart, RequestProblem> | undefined> {
		return this.parts.take();
	}
}

function keyOf({submission, attempt}: AttemptKey): string {
	return `${submission}/${attempt}`;
}
