import {type Execution} from '../../../contracts/execution.js';

/** A response that this host generates itself, because no target has answered the request. */
export type OwnResponse = {
	readonly status: number;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly execution: Execution;
	readonly reason: string;
	readonly retryAfterMilliseconds: number | undefined;
};

/** The response to one request of a caller. Only the first call of `send`, `sendUnframed`, `sendOwn` or `startStream` has an effect. */
export abstract class CallerResponse {
	/** True once the response head was sent or the connection was aborted. */
	abstract get hasStarted(): boolean;

	/** True once the response was completed or aborted. */
	abstract get isEnded(): boolean;

	/** Bytes that wait in this process until the receiver takes them. */
	abstract get unsentBytes(): number;

	/** Sends a complete response with a content length. */
	abstract send(
		status: number,
		headers: readonly string[],
		body: Uint8Array,
	): void;

	/** Sends a response whose target gave no length and no chunks, and ended it in order. */
	abstract sendUnframed(
		status: number,
		headers: readonly string[],
		body: Uint8Array,
	): void;

	/** Sends a response of this host. */
	abstract sendOwn(response: OwnResponse): void;

	/** Sends the head of a stream. `isFramed` is false if only the end of its connection marks the end of the stream at the target. */
	abstract startStream(
		status: number,
		headers: readonly string[],
		isFramed: boolean,
	): void;

	/** Sends bytes of a started stream. */
	abstract write(bytes: Uint8Array): void;

	/** Calls back once the receiver has taken the bytes written so far. Returns false, without calling back, when it already has. */
	abstract waitForDrain(callback: () => void): boolean;

	/** Ends a stream that is complete. */
	abstract end(): void;

	/** Ends the response so that a truncated stream does not look complete. */
	abstract abort(): void;
}
