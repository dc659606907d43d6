import {type Result} from 'neverthrow';
import {
	type AdapterId,
	type ModelId,
	type RequestId,
	type TargetId,
} from './ids.js';

/** What a caller declares of its request in the headers. */
export type RequestMetadata = {
	readonly id: RequestId;
	readonly model: ModelId | undefined;
	readonly adapter: AdapterId | undefined;
	readonly promptTokens: number;
	readonly maximumTokens: number;
	/** The caller's estimate of the tokens of the answer. Often far off. */
	readonly expectedTokens: number | undefined;
	/** Digests of the prompt's parts with all parts before each, longest first. */
	readonly prefixDigests: readonly string[];
	/** Time that the caller waits. */
	readonly remainingMilliseconds: number | undefined;
	/** Last event that the caller has of a stream that broke. */
	readonly lastEventId: number | undefined;
	/** Names and values of the headers that are passed on unchanged. */
	readonly forwardedHeaders: readonly string[];
};

/** A request does not follow the protocol. */
export class RequestFormatError extends Error {
	override readonly name = 'RequestFormatError';
}

/** What this system adds to a request when it sends it to a target. */
export type AttemptMetadata = {
	readonly target: TargetId;
	readonly remainingMilliseconds: number;
	/** Last event that was passed on. */
	readonly lastEventId: number | undefined;
	/** Rank among the requests at the target, 0 is first. */
	readonly priority: number;
};

/** Load that a target states in its answers. */
export type ReportedLoad = {
	readonly running: number;
	readonly queued: number;
	readonly slots: number;
	/** Time that work takes on the machine at the moment, relative to the usual time. */
	readonly slowdown: number;
};

/** What the head of a target's answer says. */
export type ResponseMetadata = {
	readonly status: number;
	readonly requestId: RequestId | undefined;
	/** True when the target signed its answer. */
	readonly isSigned: boolean;
	/** False when nothing but the end of the connection ends the answer, so that a short one cannot be told from a whole one. */
	readonly isFramed: boolean;
	/** True when the target states that it did not run the request and never will. */
	readonly isNotRun: boolean;
	/** True when the target is not the one named, or does not hold the model or adapter. */
	readonly isMisdirected: boolean;
	/** The target that answered, where the answer says so. */
	readonly respondingTarget: TargetId | undefined;
	readonly load: ReportedLoad | undefined;
	/** Names and values of the headers that the caller gets. */
	readonly forwardedHeaders: readonly string[];
};

/** Translates between the headers on the wire and the facts of a request. */
export abstract class RequestCodec {
	abstract decodeRequest(
		rawHeaders: readonly string[],
	): Result<RequestMetadata, RequestFormatError>;

	abstract encodeAttempt(
		request: RequestMetadata,
		attempt: AttemptMetadata,
	): string[];

	abstract decodeResponse(
		status: number,
		headers: Readonly<Record<string, string | string[] | undefined>>,
	): ResponseMetadata;

	/** Headers of an answer that this system gives itself. */
	abstract encodeLocalResponse(
		request: RequestId | undefined,
		retryAfterMilliseconds: number | undefined,
	): Record<string, string>;
}
