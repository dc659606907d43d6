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
} from '../core/stream-assembler.js';

/** What a caller sees of a generation. `completed` is the last event of a whole answer. */
export type GenerationProgress =
	| {readonly kind: 'token'; readonly sequence: number; readonly text: string}
	| {
			readonly kind: 'completed';
			readonly tokens: readonly string[];
			readonly reason: 'stop' | 'length';
	  };

/** Why a generation ended without a whole answer. */
export type GenerationFailureReason =
	/** The target refused the request, or no connection could be made. Nothing ran. */
	| 'not-started'
	/** The target does not answer over a new connection. */
	| 'target-unreachable'
	/** The target answers, but the stream does not go on. */
	| 'no-progress'
	/** The target answers, but refuses to resume the generation. */
	| 'resume-refused'
	/** The target ended the generation itself. */
	| 'cancelled'
	/** The stream contradicts earlier tokens, so that no part of the answer can be trusted. */
	| 'conflict'
	/** The caller gave up. */
	| 'aborted';

/** A generation that ended without a whole answer. */
export class GenerationFailedError extends Error {
	override readonly name = 'GenerationFailedError';

	constructor(
		readonly reason: GenerationFailureReason,
		readonly execution: Execution,
		/** Tokens so far, to continue from on another target. Empty after a conflict. */
		readonly tokens: readonly string[],
		options?: {readonly cause?: TargetError},
	) {
		super(`the generation ended early: ${reason}`, options);
	}

	/** True when the target should get no further work until it answers again. */
	get isTargetSuspect(): boolean {
		return (
			this.reason === 'target-unreachable' ||
			this.cause instanceof TargetUnreachableError
		);
	}
}

/** Settings of a generation session. */
export type GenerationSessionOptions = {
	readonly engine: Engine;
	readonly request: GenerationRequest;
	/** Longest wait for the first token, the queue of the target included. */
	readonly firstTokenMilliseconds: number;
	readonly betweenTokensMilliseconds: number;
	/** Longest wait for the answer to a ping over a new connection. */
	readonly pingMilliseconds: number;
	/** Resumes without a new token between them. Three by default. */
	readonly maximumResumes?: number;
	readonly logger?: EventLogger;
};

// Without a reason each abort creates an exception with a stack trace.
const abortReason = 'the stream is no longer read';

type StreamOutcome =
	| {readonly kind: 'completed'; readonly reason: 'stop' | 'length'}
	| {
			readonly kind: 'interrupted';
			readonly interruption: StreamInterruption;
			readonly cause?: TargetError;
	  }
	| {readonly kind: 'failed'; readonly error: GenerationFailedError};

/** One generation on one target, kept alive over broken and silent connections. */
export class GenerationSession {
	/** Number of times that the stream was resumed. */
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
	 * Runs the generation once. Yields tokens, and as the last item either `completed` or an error.
	 * Tokens of the continuation are not yielded again.
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

		let hasExpired = false;
		let isComplete = false;
		const watch = new ExpiryTimer(() => {
			hasExpired = true;
			abort();
		});
		try {
			watch.start(this.progressTimeoutMilliseconds());
			for await (const event of this.openStream(controller.signal)) {
				if (event.isErr()) {
					return hasExpired
						? this.timeoutOutcome()
						: this.toOutcome(event.error, signal);
				}

				const outcome = this.processEvent(event.value);
				if (outcome === 'token') {
					// Time that the reader of this generator takes is not the target's.
					watch.pause();
					yield ok({
						kind: 'token',
						sequence: this.assembler.nextSequence - 1,
						text: this.assembler.tokens.at(-1)!,
					});
					watch.start(this.progressTimeoutMilliseconds());
				} else if (outcome) {
					isComplete = outcome.kind === 'completed';
					return outcome;
				}
			}

			return {kind: 'interrupted', interruption: 'closed'};
		} finally {
			watch.stop();
			signal.removeEventListener('abort', abort);
			if (!isComplete) {
				controller.abort(abortReason);
			}
		}
	}

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

	private processEvent(
		event: GenerationEvent,
	): StreamOutcome | 'token' | undefined {
		const step = this.assembler.accept(event);
		switch (step.kind) {
			case 'token': {
				this.recovery.recordProgress();
				return 'token';
			}

			case 'completed': {
				return step;
			}

			case 'dropped': {
				if (step.reason === 'foreign') {
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
				if (step.reason === 'conflict') {
					this.log('streamConflict', {});
				}

				return {kind: 'failed', error: this.failure(step.reason)};
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
				'the stream made no progress',
			),
		};
	}

	/** Prepares the next stream, or returns why there is none. */
	private async recover(
		outcome: Extract<StreamOutcome, {kind: 'interrupted'}>,
		signal: AbortSignal,
	): Promise<GenerationFailedError | undefined> {
		const {interruption, cause} = outcome;
		this.log('streamInterrupted', {
			interruption,
			tokens: this.assembler.nextSequence,
		});
		let step = this.recovery.handleInterruption(interruption);
		if (step.kind === 'probe') {
			const ping = await this.options.engine.ping(
				this.options.pingMilliseconds,
			);
			step = this.recovery.handleProbeResult(ping.isOk());
		}

		if (signal.aborted) {
			return this.failure('aborted', cause);
		}

		if (step.kind === 'give-up') {
			const reason =
				step.reason === 'unreachable' ? 'target-unreachable' : 'no-progress';
			return this.failure(reason, cause);
		}

		if (step.kind === 'resume' && step.overNewConnections) {
			this.log('connectionSilent', {});
			this.options.engine.dropConnections();
		}

		return undefined;
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

	private hasTokens(): boolean {
		return (
			this.assembler.nextSequence > this.options.request.continuation.length
		);
	}

	private progressTimeoutMilliseconds(): number {
		return this.hasTokens()
			? this.options.betweenTokensMilliseconds
			: this.options.firstTokenMilliseconds;
	}

	// Frees the slot of a generation that nobody reads any more. Nothing waits for the answer.
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
