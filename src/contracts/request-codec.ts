import {type Result} from 'neverthrow';
import {
	type AdapterId,
	type CustomerName,
	type KeyDigest,
	type ModelId,
	type PromptPartId,
	type RequestId,
	type TargetId,
} from './ids.js';

/** What the headers of a caller's request declare. */
export type RequestMetadata = {
	readonly id: RequestId;
	/** Digest of the caller's key, undefined if there is not exactly one that could be valid. */
	readonly keyDigest: KeyDigest | undefined;
	readonly model: ModelId | undefined;
	readonly adapter: AdapterId | undefined;
	readonly promptTokens: number;
	readonly maximumTokens: number;
	/** The caller's estimate of the tokens of the response. It is often far off. */
	readonly expectedTokens: number | undefined;
	/** Identifiers of the prompt's prefixes, the longest first. Each names a part of the prompt with all parts before it. */
	readonly prefixKeys: readonly string[];
	/** Ids of the parts of the prompt, in their order. The last part belongs to the request or its session alone. */
	readonly promptParts: readonly PromptPartId[];
	/** Time until the caller's deadline. */
	readonly remainingMilliseconds: number | undefined;
	/** Id of the last event that the caller received of an interrupted stream. */
	readonly lastEventId: number | undefined;
	/** Request that brought the caller the first event of that stream. */
	readonly resumedRequest: RequestId | undefined;
	/** Alternating names and values of the headers that are forwarded to the target unchanged. */
	readonly forwardedHeaders: readonly string[];
};

/** The headers of a request violate the protocol. */
export class RequestFormatError extends Error {
	override readonly name = 'RequestFormatError';
}

/** What this program adds to the headers when it sends a request to a target. */
export type AttemptMetadata = {
	readonly target: TargetId;
	/** Time until the request's deadline. */
	readonly remainingMilliseconds: number;
	/** Id of the last event that was forwarded to the caller. */
	readonly lastEventId: number | undefined;
	/** Priority among the requests of the target, 0 is the most urgent. */
	readonly priority: number;
	/** Customer whose key the request carried, undefined if it needs none. */
	readonly customer: CustomerName | undefined;
};

/** Load that a target reports in the headers of its responses. */
export type ReportedLoad = {
	readonly running: number;
	readonly queued: number;
	readonly slots: number;
	/** Current duration of work on the target's machine relative to the usual duration. 1 is usual, 2 takes twice as long. */
	readonly slowdown: number;
};

/** The time that a target named when it turned this host away, or a value that names none. */
export type HoldBackRequest =
	| {readonly kind: 'time'; readonly milliseconds: number}
	| {readonly kind: 'invalid'; readonly value: string};

/** What the status and headers of a target's response declare. */
export type ResponseMetadata = {
	readonly status: number;
	readonly requestId: RequestId | undefined;
	/** True when the response has a signature. */
	readonly isSigned: boolean;
	/** False when only the end of the connection marks the end of the body, so that a truncated body looks like a complete one. */
	readonly isFramed: boolean;
	/** True when the target declares that it did not execute the request and never will. */
	readonly isNotRun: boolean;
	/** True when the request reached another target than the expected one, or the model or adapter is not resident there. */
	readonly isMisdirected: boolean;
	/** The target that sent the response, if the response names it. */
	readonly respondingTarget: TargetId | undefined;
	/** True when the target says that it leaves. */
	readonly isLeaving?: boolean;
	/** Time for which the target wants nothing from this host, which it has turned away. */
	readonly holdBack?: HoldBackRequest | undefined;
	/** Refusals a second above which the target says that it falls over, undefined if it does not say so. */
	readonly refusalsPerSecond?: number | undefined;
	/** Type of the body, undefined if the response names none. */
	readonly contentType?: string | undefined;
	readonly load: ReportedLoad | undefined;
	/** Requests a second that the target takes from all hosts together at the moment, undefined if it names no limit. */
	readonly requestsPerSecond: number | undefined;
	/** Alternating names and values of the headers that are forwarded to the caller. */
	readonly forwardedHeaders: readonly string[];
};

/** Converts between HTTP headers and the metadata of requests and responses. */
export abstract class RequestCodec {
	/** Decodes the headers of a caller's request, given as alternating names and values. */
	abstract decodeRequest(
		rawHeaders: readonly string[],
	): Result<RequestMetadata, RequestFormatError>;

	/** Returns the headers of a caller's request for another host: without its key, and with the customer that a host of an older build passes on to a target. */
	abstract encodeForPeer(
		rawHeaders: readonly string[],
		customer: CustomerName | undefined,
	): string[];

	/** Returns the headers with which a request is sent to a target, as alternating names and values. */
	abstract encodeAttempt(
		request: RequestMetadata,
		attempt: AttemptMetadata,
	): string[];

	/** Decodes the status and headers of a target's response. */
	abstract decodeResponse(
		status: number,
		headers: Readonly<Record<string, string | string[] | undefined>>,
	): ResponseMetadata;

	/** Returns the headers of a response that this program generates itself. */
	abstract encodeLocalResponse(
		requestId: RequestId | undefined,
		retryAfterMilliseconds: number | undefined,
	): Record<string, string>;
}
