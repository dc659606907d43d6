import {err, ok, type Result} from 'neverthrow';
import {Mailbox} from '../../base/common/mailbox.js';
import {type RequestId} from '../../contracts/ids.js';
import {type RequestFingerprints} from '../../contracts/request-fingerprints.js';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {type ResponsePart, type ModelRequest} from '../entry/model-gateway.js';

/** Identifies one attempt of a generation run. */
export type AttemptKey = {
	/** Number of the submission within the run, from 1. */
	readonly submission: number;
	/** Number of the attempt within the submission, from 1. */
	readonly attempt: number;
};

// An abort without a reason creates an exception with a stack trace.
const cancellationReason = 'the response is no longer needed';

/**
 * State of one model request from its arrival to its end, across all submissions to the dispatcher and their attempts.
 * Times are in milliseconds of the monotonic clock.
 */
export class GenerationRun {
	/** Number of submissions to the dispatcher. Also identifies the current submission. */
	submissionCount = 0;
	/** Number of submissions that ended without being executed. */
	submissionsNotRun = 0;
	private readonly parts = new Mailbox<Result<ResponsePart, RequestProblem>>();
	private readonly attempts = new Map<string, AbortController>();
	private readonly deliveredTexts: string[] = [];
	private attemptStarted = false;
	private winningAttempt: string | undefined;
	private ended = false;

	constructor(
		readonly request: ModelRequest,
		readonly fingerprints: RequestFingerprints,
		readonly arrivedAt: number,
		readonly deadline: number,
	) {}

	get isEnded(): boolean {
		return this.ended;
	}

	/** True once an attempt has started, so that a target may have executed the request. */
	get hasStartedAttempt(): boolean {
		return this.attemptStarted;
	}

	/** Tokens delivered to the caller. */
	get deliveredTokens(): readonly string[] {
		return this.deliveredTexts;
	}

	/** Identifier of the current submission, unique in the fleet. */
	get submissionId(): RequestId {
		return `${this.request.requestId}.${this.submissionCount}` as RequestId;
	}

	/** Identifier of the submission that would follow the current one. */
	get nextSubmissionId(): RequestId {
		return `${this.request.requestId}.${this.submissionCount + 1}` as RequestId;
	}

	/** Registers an attempt and returns the signal that cancels it. */
	beginAttempt(key: AttemptKey): AbortSignal {
		this.attemptStarted = true;
		const controller = new AbortController();
		this.attempts.set(serializeKey(key), controller);
		return controller.signal;
	}

	/**
	 * Delivers a token to the caller if it comes from the first attempt that produced one.
	 * Returns false if the response of the attempt is no longer needed.
	 */
	acceptToken(key: AttemptKey, text: string): boolean {
		this.winningAttempt ??= serializeKey(key);
		if (this.ended || this.winningAttempt !== serializeKey(key)) {
			return false;
		}

		this.deliveredTexts.push(text);
		this.parts.post(ok({kind: 'text', text}));
		return true;
	}

	/** Ends the run with a complete response. Returns false if another attempt has won or the run has ended. */
	complete(
		key: AttemptKey,
		tokens: number,
		reason: 'stop' | 'length',
	): boolean {
		this.winningAttempt ??= serializeKey(key);
		if (this.ended || this.winningAttempt !== serializeKey(key)) {
			return false;
		}

		this.parts.post(ok({kind: 'end', tokens, reason}));
		// The attempt has read its stream to the end, so there is nothing left to abort.
		this.attempts.delete(serializeKey(key));
		this.close();
		return true;
	}

	/** Records that an attempt ended. A later attempt may continue from the tokens delivered so far. */
	endAttempt(key: AttemptKey): void {
		this.attempts.delete(serializeKey(key));
		if (this.winningAttempt === serializeKey(key)) {
			this.winningAttempt = undefined;
		}
	}

	/** Cancels one attempt whose response is no longer needed. */
	cancelAttempt(key: AttemptKey): void {
		this.attempts.get(serializeKey(key))?.abort(cancellationReason);
	}

	/** Ends the run with a problem. Has no effect if the run has ended. */
	fail(problem: RequestProblem): void {
		if (this.ended) {
			return;
		}

		this.parts.post(err(problem));
		this.close();
	}

	/** Ends the run and cancels its attempts without emitting a further part. */
	close(): void {
		this.ended = true;
		this.parts.close();
		for (const controller of this.attempts.values()) {
			controller.abort(cancellationReason);
		}
	}

	/** Waits for the next part of the response. Returns undefined after the last one. */
	async nextPart(): Promise<Result<ResponsePart, RequestProblem> | undefined> {
		return this.parts.take();
	}
}

function serializeKey({submission, attempt}: AttemptKey): string {
	return `${submission}/${attempt}`;
}
