import {type GenerationEvent} from '../../contracts/engine.js';
import {type RequestId} from '../../contracts/ids.js';

/** Effect of a stream event on the response. */
export type AssemblyResult =
	| {readonly kind: 'token'; readonly sequence: number; readonly text: string}
	| {readonly kind: 'completed'; readonly reason: 'stop' | 'length'}
	| {
			readonly kind: 'dropped';
			readonly reason: 'foreign' | 'duplicate' | 'after-end';
	  }
	/** The token with sequence number `expected` is missing and must be fetched again. */
	| {readonly kind: 'gap'; readonly expected: number}
	/** The stream contradicts the tokens received before, or the target ended it early. */
	| {readonly kind: 'failed'; readonly reason: 'conflict' | 'cancelled'};

/** Assembles one response from stream events, accepting only events that continue it exactly. */
export class StreamAssembler {
	private readonly receivedTokens: string[];
	private isClosed = false;

	constructor(
		private readonly requestId: RequestId,
		continuation: readonly string[] = [],
	) {
		this.receivedTokens = [...continuation];
	}

	/** Tokens received so far, including those of the continuation. */
	get tokens(): readonly string[] {
		return this.receivedTokens;
	}

	/** Sequence number of the next token. */
	get nextSequence(): number {
		return this.receivedTokens.length;
	}

	/** Applies the next event of the stream. */
	accept(event: GenerationEvent): AssemblyResult {
		if (event.requestId !== this.requestId) {
			return {kind: 'dropped', reason: 'foreign'};
		}

		if (this.isClosed) {
			return {kind: 'dropped', reason: 'after-end'};
		}

		return event.kind === 'token'
			? this.acceptToken(event.sequence, event.text)
			: this.acceptEnd(event.tokens, event.reason);
	}

	private acceptToken(sequence: number, text: string): AssemblyResult {
		if (sequence > this.nextSequence) {
			return {kind: 'gap', expected: this.nextSequence};
		}

		if (sequence === this.nextSequence) {
			this.receivedTokens.push(text);
			return {kind: 'token', sequence, text};
		}

		return this.receivedTokens[sequence] === text
			? {kind: 'dropped', reason: 'duplicate'}
			: this.fail('conflict');
	}

	private acceptEnd(
		tokens: number,
		reason: 'stop' | 'length' | 'cancelled',
	): AssemblyResult {
		if (reason === 'cancelled') {
			return this.fail('cancelled');
		}

		if (tokens > this.nextSequence) {
			return {kind: 'gap', expected: this.nextSequence};
		}

		if (tokens < this.nextSequence) {
			return this.fail('conflict');
		}

		this.isClosed = true;
		return {kind: 'completed', reason};
	}

	private fail(reason: 'conflict' | 'cancelled'): AssemblyResult {
		this.isClosed = true;
		return {kind: 'failed', reason};
	}
}

/** Why a stream was interrupted. */
export type StreamInterruption =
	| 'first-token-timeout'
	| 'between-tokens-timeout'
	| 'closed'
	| 'gap'
	| 'garbled';

/** Next action to recover an interrupted stream. */
export type RecoveryAction =
	/** Ping the target over a new connection. */
	| {readonly kind: 'probe'}
	/** Resume the stream, over new connections when the existing ones may be dead without having been closed. */
	| {readonly kind: 'resume'; readonly overNewConnections: boolean}
	/** Abandon the target: it did not respond to the ping and is suspect (`unreachable`), or resumed streams brought no new tokens (`no-progress`). */
	| {
			readonly kind: 'give-up';
			readonly reason: 'unreachable' | 'no-progress';
	  };

/** Decides how to recover an interrupted stream. */
export class StreamRecovery {
	private attempts = 0;
	private interruption: StreamInterruption | undefined;

	constructor(
		/** Consecutive recoveries without a new token after which the target is abandoned. */
		private readonly maximumAttempts: number,
	) {}

	/** Records a new token, which resets the number of recoveries. */
	recordProgress(): void {
		this.attempts = 0;
	}

	/** Returns the action after an interruption. */
	handleInterruption(interruption: StreamInterruption): RecoveryAction {
		if (this.attempts >= this.maximumAttempts) {
			return {kind: 'give-up', reason: 'no-progress'};
		}

		this.attempts++;
		this.interruption = interruption;
		// A connection that delivers wrong events still shows that the target responds, so no ping is needed.
		return interruption === 'gap' || interruption === 'garbled'
			? {kind: 'resume', overNewConnections: false}
			: {kind: 'probe'};
	}

	/** Returns the action after a ping over a new connection. */
	handleProbeResult(isReachable: boolean): RecoveryAction {
		return isReachable
			? {
					kind: 'resume',
					overNewConnections: this.interruption !== 'closed',
				}
			: {kind: 'give-up', reason: 'unreachable'};
	}
}
