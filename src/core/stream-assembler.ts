import {type GenerationEvent} from '../contracts/engine.js';
import {type RequestId} from '../contracts/ids.js';

/** What an event of a stream means for the answer. */
export type AssemblyResult =
	| {readonly kind: 'token'; readonly sequence: number; readonly text: string}
	| {readonly kind: 'completed'; readonly reason: 'stop' | 'length'}
	| {
			readonly kind: 'dropped';
			readonly reason: 'foreign' | 'duplicate' | 'after-end';
	  }
	/** A token is missing. It has to be fetched again. */
	| {readonly kind: 'gap'; readonly expected: number}
	/** The stream contradicts the tokens received before, or the target ended it early. */
	| {readonly kind: 'failed'; readonly reason: 'conflict' | 'cancelled'};

/** Builds one answer from events and accepts only what continues it exactly. */
export class StreamAssembler {
	private readonly received: string[];
	private isClosed = false;

	constructor(
		private readonly requestId: RequestId,
		continuation: readonly string[] = [],
	) {
		this.received = [...continuation];
	}

	/** Tokens received so far, the continuation included. */
	get tokens(): readonly string[] {
		return this.received;
	}

	/** Sequence number of the next token. */
	get nextSequence(): number {
		return this.received.length;
	}

	/** Takes in the next event of the stream. */
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
			this.received.push(text);
			return {kind: 'token', sequence, text};
		}

		return this.received[sequence] === text
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

/** Why a stream did not go on. */
export type StreamInterruption =
	| 'first-token-timeout'
	| 'between-tokens-timeout'
	| 'closed'
	| 'gap'
	| 'garbled';

/** What to do about an interrupted stream. */
export type RecoveryAction =
	/** Ping the target over a new connection. */
	| {readonly kind: 'probe'}
	/** Resume the stream, over new connections when the old ones may be silent. */
	| {readonly kind: 'resume'; readonly overNewConnections: boolean}
	/** Give the target up. It is suspect when it did not answer the ping. */
	| {
			readonly kind: 'give-up';
			readonly reason: 'unreachable' | 'no-progress';
	  };

/** Decides how an interrupted stream goes on. */
export class StreamRecovery {
	private attempts = 0;
	private interruption: StreamInterruption | undefined;

	constructor(
		/** Resumes without a new token between them, after which the target is given up. */
		private readonly maximumAttempts: number,
	) {}

	/** Takes note of a new token. */
	recordProgress(): void {
		this.attempts = 0;
	}

	/** Decides on an interruption. */
	handleInterruption(interruption: StreamInterruption): RecoveryAction {
		if (this.attempts >= this.maximumAttempts) {
			return {kind: 'give-up', reason: 'no-progress'};
		}

		this.attempts++;
		this.interruption = interruption;
		// A connection that delivers wrong events still shows that the target answers.
		return interruption === 'gap' || interruption === 'garbled'
			? {kind: 'resume', overNewConnections: false}
			: {kind: 'probe'};
	}

	/** Decides after a ping over a new connection. */
	handleProbeResult(isReachable: boolean): RecoveryAction {
		return isReachable
			? {
					kind: 'resume',
					overNewConnections: this.interruption !== 'closed',
				}
			: {kind: 'give-up', reason: 'unreachable'};
	}
}
