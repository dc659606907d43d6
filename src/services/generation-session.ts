import {err, ok, type Result} from 'neverthrow';
import {
	NullEventLogger,
	type EventLogger,
} from '../base/common/event-logger.js';
import {ExpiryTimer} from '../base/node/expiry-timer.js';
import {targetEvents} from '../contracts/events/target-events.js';
import {type Execution} from '../contracts/execution.js';
import {
	type Engine,
	type GenerationEvent,
	type GenerationRequest,
	type GenerationStream,
} from '../contracts/engine.js';
import {
	TargetResponseLostError,
	TargetProtocolError,
	TargetRefusedError,
	TargetUnreachableError,
	type TargetError,
} from '../contracts/target-error.js';
import {
	StreamAssembler,
	StreamRecovery,
	type StreamInterruption,
} from '../core/streams/stream-assembler.js';
import {isSilence} from './targets/failure-detector.js';

/** An event of a generation for its caller. `completed` is the last event of a complete response. */
export type GenerationProgress =
	| {readonly kind: 'token'; readonly sequence: number; readonly text: string}
	| {
			readonly kind: 'completed';
			readonly tokens: readonly string[];
			readonly reason: 'stop' | 'length';
	  };

/** Why a generation ended without a complete response. */
export type GenerationFailureReason =
	/** The target refused the request, or no connection could be established. Nothing was executed. */
	| 'not-started'
	/** The target does not respond over a new connection. */
	| 'target-unreachable'
	/** The target responds, but the stream makes no progress. */
	| 'no-progress'
	/** The target responds, but refuses to resume the generation. */
	| 'resume-refused'
	/** The target cancelled the generation. */
	| 'cancelled'
	/** The stream contradicts earlier tokens, so that no part of the response can be trusted. */
	| 'conflict'
	/** The caller aborted the request. */
	| 'aborted';

/** A generation ended without a complete response. `execution` states whether the request can have had an effect. */
export class GenerationFailedError extends Error {
	override readonly name = 'GenerationFailedError';

	constructor(
		readonly reason: GenerationFailureReason,
		readonly execution: Execution,
		/** Tokens received so far, from which another target can continue. Empty after a conflict. */
		readonly tokens: readonly string[],
		options?: {readonly cause?: TargetError},
	) {
		super(`generation failed: ${reason}`, options);
	}

	/** True if the target should receive no further requests until it responds again. */
	get isTargetSuspect(): boolean {
		return (
			this.reason === 'target-unreachable' ||
			this.cause instanceof TargetUnreachableError
		);
	}
}

/** Decides how long a session waits for a target that has produced tokens and does not respond to pings any more. */
export abstract class SilenceObserver {
	/** Called when a ping received no response. Returns false when the session must give up. */
	abstract continueWaiting(): boolean;

	/** Called when the target responds again, before the stream is resumed. */
	abstract silenceEnded(): void;
}

/** Dependencies and settings of a generation session. */
export type GenerationSessionOptions = {
	readonly engine: Engine;
	readonly request: GenerationRequest;
	/** Timeout for the first token, including the time in the queue of the target. */
	readonly firstTokenMilliseconds: number;
	/** Timeout for each further token. */
	readonly betweenTokensMilliseconds: number;
	/** Timeout for the response to a ping over a new connection. */
	readonly pingMilliseconds: number;
	/** Limit on consecutive resumes without a new token between them, 3 by default. */
	readonly maximumResumes?: number;
	/** Without it, the session gives up after the first ping without a response. */
	readonly silenceObserver?: SilenceObserver;
	readonly logger?: EventLogger;
};

// Passed to `abort`, which without a reason creates an exception with a stack trace each time.
const abortReason = 'the stream is no longer being read';

type StreamOutcome =
	| {readonly kind: 'completed'; readonly reason: 'stop' | 'length'}
	| {
			readonly kind: 'interrupted';
			readonly interruption: StreamInterruption;
			readonly cause?: TargetError;
	  }
	| {readonly kind: 'failed'; readonly error: GenerationFailedError};

/** One generation on one target. Resumes the stream after broken, silent or corrupted connections. */
export class GenerationSession {
	/** Number of times that the stream has been resumed. */
	resumeCount = 0;
	private readonly assembler: StreamAssembler;
	private readonly recovery: StreamRecovery;
	private readonly logger: EventLogger;
	private hasStarted = false;

	constructor(private readonly options: GenerationSessionOptions) {
		const {request, maximumResumes} = options;
		this.assembler = new StreamAssembler(
			request.requestId,
			request.continuation,
		);
		this.recovery = new StreamRecovery(maximumResumes ?? 3);
		this.logger = options.logger ?? new NullEventLogger();
	}

	/**
	 * Runs the generation. Yields tokens, and as the last item either `completed` or an error. Tokens of the
	 * continuation are not yielded again. A session can be run only once. If the generation may still be
	 * running when the iteration ends, it is cancelled on the target.
	 */
	async *run(
		signal: AbortSignal,
	): AsyncGenerator<Result<GenerationProgress, GenerationFailedError>, void> {
		let isSettled = false;
		try {
			for (;;) {
				const outcome = yield* this.readStream(signal);
				if (outcome.kind === 'completed') {
					isSettled = true;
					yield ok({
						kind: 'completed',
						tokens: this.assembler.tokens,
						reason: outcome.reason,
					});
					return;
				}

				const failure =
					outcome.kind === 'failed'
						? outcome.error
						: await this.recover(outcome, signal);
				if (failure) {
					isSettled = failure.execution === 'not-run';
					this.logFailure(failure);
					yield err(failure);
					return;
				}
			}
		} finally {
			if (!isSettled) {
				this.cancel();
			}
		}
	}

	/** Reads one stream until it completes, fails or is interrupted, and yields its tokens. */
	private async *readStream(
		signal: AbortSignal,
	): AsyncGenerator<
		Result<GenerationProgress, GenerationFailedError>,
		StreamOutcome
	> {
		const controller = new AbortController();
		const abort = () => {
			controller.abort(abortReason);
		};

		signal.addEventListener('abort', abort, {once: true});
		if (signal.aborted) {
			abort();
		}

		let hasTimedOut = false;
		let isComplete = false;
		const progressTimer = new ExpiryTimer(() => {
			hasTimedOut = true;
			abort();
		});
		try {
			progressTimer.start(this.progressTimeoutMilliseconds());
			for await (const event of this.openStream(controller.signal)) {
				if (event.isErr()) {
					return hasTimedOut
						? this.timeoutOutcome()
						: this.toOutcome(event.error, signal);
				}

				const result = this.processEvent(event.value);
				if (result === 'token') {
					// The time that the consumer of this generator takes must not count against the target.
					progressTimer.pause();
					yield ok({
						kind: 'token',
						sequence: this.assembler.nextSequence - 1,
						text: this.assembler.tokens.at(-1)!,
					});
					progressTimer.start(this.progressTimeoutMilliseconds());
				} else if (result) {
					isComplete = result.kind === 'completed';
					return result;
				}
			}

			return {kind: 'interrupted', interruption: 'closed'};
		} finally {
			progressTimer.stop();
			signal.removeEventListener('abort', abort);
			if (!isComplete) {
				controller.abort(abortReason);
			}
		}
	}

	/** Starts the generation at the first call and resumes its stream at later ones. */
	private openStream(signal: AbortSignal): GenerationStream {
		const {engine, request} = this.options;
		if (!this.hasStarted) {
			this.hasStarted = true;
			return engine.generate(request, signal);
		}

		this.resumeCount++;
		const fromSequence = this.assembler.nextSequence;
		this.log('streamResumed', {fromSequence});
		return engine.resume(request.requestId, fromSequence, signal);
	}

	/** Processes an event. Returns `token` for a new token, the outcome if the stream ends, otherwise undefined. */
	private processEvent(
		event: GenerationEvent,
	): StreamOutcome | 'token' | undefined {
		const result = this.assembler.accept(event);
		switch (result.kind) {
			case 'token': {
				this.recovery.recordProgress();
				return 'token';
			}

			case 'completed': {
				return result;
			}

			case 'dropped': {
				if (result.reason === 'foreign') {
					this.log('foreignEventDropped', {foreignRequest: event.requestId});
				} else {
					this.log('duplicateEventDropped', {});
				}

				return undefined;
			}

			case 'gap': {
				return {kind: 'interrupted', interruption: 'gap'};
			}

			case 'failed': {
				if (result.reason === 'conflict') {
					this.log('streamConflict', {});
				}

				return {kind: 'failed', error: this.failure(result.reason)};
			}
		}
	}

	private toOutcome(error: TargetError, signal: AbortSignal): StreamOutcome {
		if (signal.aborted) {
			return {kind: 'failed', error: this.failure('aborted', error)};
		}

		if (error instanceof TargetRefusedError) {
			const reason = this.resumeCount === 0 ? 'not-started' : 'resume-refused';
			return {kind: 'failed', error: this.failure(reason, error)};
		}

		if (error instanceof TargetUnreachableError) {
			const reason =
				this.resumeCount === 0 ? 'not-started' : 'target-unreachable';
			return {kind: 'failed', error: this.failure(reason, error)};
		}

		return {
			kind: 'interrupted',
			interruption: error instanceof TargetProtocolError ? 'garbled' : 'closed',
			cause: error,
		};
	}

	private timeoutOutcome(): StreamOutcome {
		return {
			kind: 'interrupted',
			interruption: this.hasTokens()
				? 'between-tokens-timeout'
				: 'first-token-timeout',
			cause: new TargetResponseLostError(
				'timeout',
				'no token arrived on the stream within the progress timeout',
			),
		};
	}

	/** Prepares resuming the stream after an interruption. Returns an error if it cannot be resumed. */
	private async recover(
		outcome: Extract<StreamOutcome, {kind: 'interrupted'}>,
		signal: AbortSignal,
	): Promise<GenerationFailedError | undefined> {
		const {interruption, cause} = outcome;
		this.log('streamInterrupted', {
			interruption,
			tokens: this.assembler.nextSequence,
		});
		let action = this.recovery.handleInterruption(interruption);
		if (action.kind === 'probe') {
			const isReachable = await this.probe(signal);
			action = this.recovery.handleProbeResult(isReachable);
		}

		if (signal.aborted) {
			return this.failure('aborted', cause);
		}

		if (action.kind === 'give-up') {
			const reason =
				action.reason === 'unreachable' ? 'target-unreachable' : 'no-progress';
			return this.failure(reason, cause);
		}

		if (action.kind === 'resume' && action.overNewConnections) {
			this.log('connectionSilent', {});
			this.options.engine.dropConnections();
		}

		return undefined;
	}

	/** Pings the target, again and again while it is silent and the observer waits. Returns whether it responded. */
	private async probe(signal: AbortSignal): Promise<boolean> {
		const {engine, pingMilliseconds, silenceObserver} = this.options;
		let isSilent = false;
		for (;;) {
			const ping = await engine.ping(pingMilliseconds);
			if (ping.isOk()) {
				if (isSilent && !signal.aborted) {
					silenceObserver?.silenceEnded();
				}

				return true;
			}

			if (
				signal.aborted ||
				!this.hasTokens() ||
				!isSilence(ping.error) ||
				!silenceObserver?.continueWaiting()
			) {
				return false;
			}

			isSilent = true;
		}
	}

	private failure(
		reason: GenerationFailureReason,
		cause?: TargetError,
	): GenerationFailedError {
		const tokens = reason === 'conflict' ? [] : [...this.assembler.tokens];
		const execution =
			this.resumeCount === 0 ? (cause?.execution ?? 'unknown') : 'unknown';
		return new GenerationFailedError(reason, execution, tokens, {cause});
	}

	/** Whether a token beyond the continuation has arrived. */
	private hasTokens(): boolean {
		return (
			this.assembler.nextSequence > this.options.request.continuation.length
		);
	}

	/** Timeout for the next token in milliseconds. */
	private progressTimeoutMilliseconds(): number {
		return this.hasTokens()
			? this.options.betweenTokensMilliseconds
			: this.options.firstTokenMilliseconds;
	}

	/** Frees the slot of a generation that is no longer read. Does not wait for the response. */
	private cancel(): void {
		const {engine, request} = this.options;
		void engine.cancel(request.requestId).mapErr((error) => {
			this.log('cancelFailed', {error: error.message});
		});
	}

	private logFailure(failure: GenerationFailedError): void {
		if (failure.reason === 'aborted' || failure.reason === 'not-started') {
			return;
		}

		if (failure.isTargetSuspect) {
			this.log('targetSuspected', {});
		}

		this.log('streamLost', {
			reason: failure.reason,
			tokens: failure.tokens.length,
		});
	}

	private log(
		event: keyof typeof targetEvents,
		fields: Readonly<Record<string, unknown>>,
	): void {
		const {requestId} = this.options.request;
		this.logger.record(targetEvents[event], {requestId, ...fields});
	}
}
