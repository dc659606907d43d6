import {err, ok, type Result} from 'neverthrow';
import {
	connectionHeaderNames,
	flattenHeaders,
	hopByHopNames,
	lowerCaseNames,
	withoutHeaders,
} from '../base/common/header-lists.js';
import {parseCount, parseDecimals} from '../base/common/header-numbers.js';
import {
	type AdapterId,
	type CustomerName,
	type ModelId,
	type PromptPartId,
	type RequestId,
	type TargetId,
} from '../contracts/ids.js';
import {
	RequestCodec,
	RequestFormatError,
	type HoldBackRequest,
	type ResponseMetadata,
	type AttemptMetadata,
	type RequestMetadata,
	type ReportedLoad,
} from '../contracts/request-codec.js';
import {digestOfKey} from '../contracts/key-digest.js';
import {prefixKeysOf} from '../contracts/prefix-keys.js';
import {headerNames} from './wire.js';

/** Headers by which a caller shows who it is, or by which this program tells a worker. */
const identityNames = lowerCaseNames([headerNames.apiKey, headerNames.tenant]);

/** Headers that this program sets itself or that callers may not set. They are removed from callers' requests. */
const reservedNames = lowerCaseNames([
	'Content-Length',
	headerNames.deadline,
	headerNames.expectInstance,
	headerNames.expectVersion,
	headerNames.priority,
	headerNames.lastEventId,
	headerNames.pin,
	headerNames.hold,
	headerNames.backup,
	headerNames.resumeFrom,
	headerNames.fetchFrom,
	...identityNames,
]);

/** Headers of a response that identify the target or describe its state, or that apply to its connection only. They are not forwarded to the caller. */
const hiddenResponseNames = lowerCaseNames([
	...hopByHopNames,
	'Content-Length',
	headerNames.load,
	headerNames.rateLimit,
	headerNames.brittle,
	headerNames.leaving,
	headerNames.instance,
	headerNames.notRun,
	headerNames.retryAfter,
]);

/** Requests with a longer id are refused, because it would not fit the type that ids are decoded to. */
const maximumIdLength = 256;
/** Characters of a malformed header in the log. */
const maximumLoggedValue = 64;
/** Largest priority that the header can express. Higher values are sent as this one. */
const maximumPriority = 9;

/** Decodes and encodes the platform's HTTP headers. */
export class PlatformRequestCodec extends RequestCodec {
	decodeRequest(
		rawHeaders: readonly string[],
	): Result<RequestMetadata, RequestFormatError> {
		const values = new Map<string, string>();
		const repeatedNames = new Set<string>();
		const forwardedHeaders: string[] = [];
		const connectionNames = connectionHeaderNames(rawHeaders);
		for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
			const name = rawHeaders[index]!;
			const value = rawHeaders[index + 1]!;
			const key = name.toLowerCase();
			if (values.has(key) && key === headerNames.requestId.toLowerCase()) {
				return err(new RequestFormatError('the request has more than one id'));
			}

			if (values.has(key)) {
				repeatedNames.add(key);
			}

			values.set(key, value);
			if (
				!hopByHopNames.has(key) &&
				!reservedNames.has(key) &&
				!connectionNames.has(key)
			) {
				forwardedHeaders.push(name, value);
			}
		}

		const valueOf = (name: string) => values.get(name.toLowerCase());
		const id = valueOf(headerNames.requestId);
		if (id === undefined || id === '' || id.length > maximumIdLength) {
			return err(
				new RequestFormatError('the id of the request is missing or too long'),
			);
		}

		const [model, adapter] = (valueOf(headerNames.model) ?? '').split('/');
		const [promptTokens, maximumTokens] = (valueOf(headerNames.tokens) ?? '')
			.split(',')
			.map((part) => parseCount(part) ?? 0);
		const promptParts = parsePromptParts(valueOf(headerNames.promptPrefix));
		return ok({
			id: id as RequestId,
			keyDigest: repeatedNames.has(headerNames.apiKey.toLowerCase())
				? undefined
				: digestOfKey(valueOf(headerNames.apiKey)),
			model: model ? (model as ModelId) : undefined,
			adapter: adapter ? (adapter as AdapterId) : undefined,
			promptTokens: promptTokens ?? 0,
			maximumTokens: maximumTokens ?? 0,
			expectedTokens: parseCount(valueOf(headerNames.lengthHint)),
			prefixKeys: prefixKeysOf(promptParts, model, adapter),
			promptParts,
			remainingMilliseconds: parseCount(valueOf(headerNames.deadline)),
			lastEventId: parseCount(valueOf(headerNames.lastEventId)),
			resumedRequest: repeatedNames.has(headerNames.resumes.toLowerCase())
				? undefined
				: parseId(valueOf(headerNames.resumes)),
			forwardedHeaders,
		});
	}

	encodeForPeer(
		rawHeaders: readonly string[],
		customer: CustomerName | undefined,
	): string[] {
		const headers = withoutHeaders(rawHeaders, identityNames);
		return customer === undefined
			? headers
			: [...headers, headerNames.tenant, customer];
	}

	encodeAttempt(request: RequestMetadata, attempt: AttemptMetadata): string[] {
		return [
			...request.forwardedHeaders,
			headerNames.deadline,
			String(Math.max(1, Math.floor(attempt.remainingMilliseconds))),
			headerNames.expectInstance,
			attempt.target,
			headerNames.priority,
			String(Math.min(maximumPriority, Math.max(0, attempt.priority))),
			...(attempt.customer === undefined
				? []
				: [headerNames.tenant, attempt.customer]),
			...(attempt.lastEventId === undefined
				? []
				: [headerNames.lastEventId, String(attempt.lastEventId)]),
		];
	}

	decodeResponse(
		status: number,
		headers: Readonly<Record<string, string | string[] | undefined>>,
	): ResponseMetadata {
		const valueOf = (name: string) => {
			const value = headers[name.toLowerCase()];
			return Array.isArray(value) ? value[0] : value;
		};

		const isSigned = valueOf(headerNames.signature) !== undefined;
		const isMisdirected = status === 421;
		const rates = headers[headerNames.rateLimit.toLowerCase()];
		return {
			status,
			requestId: valueOf(headerNames.requestId) as RequestId | undefined,
			isSigned,
			isNotRun: isMisdirected || valueOf(headerNames.notRun) !== undefined,
			isFramed:
				valueOf('Content-Length') !== undefined ||
				valueOf('Transfer-Encoding') !== undefined,
			isMisdirected,
			...decodeAvailability(status, headers),
			contentType: valueOf('Content-Type'),
			respondingTarget: valueOf(headerNames.instance) as TargetId | undefined,
			load: parseLoad(valueOf(headerNames.load)),
			requestsPerSecond: parseRate(rates),
			forwardedHeaders: flattenHeaders(headers, hiddenResponseNames),
		};
	}

	encodeLocalResponse(
		request: RequestId | undefined,
		retryAfterMilliseconds: number | undefined,
	): Record<string, string> {
		return {
			...(request === undefined ? {} : {[headerNames.requestId]: request}),
			...(retryAfterMilliseconds === undefined
				? {}
				: {
						[headerNames.retryAfter]: (retryAfterMilliseconds / 1000).toFixed(
							3,
						),
					}),
		};
	}
}

/** Returns the id that a header names, unless it is too long. */
function parseId(value: string | undefined): RequestId | undefined {
	return value === '' || (value?.length ?? 0) > maximumIdLength
		? undefined
		: (value as RequestId | undefined);
}

/** Parses `ID:TOKENS` pairs, separated by commas, and returns the ids. */
function parsePromptParts(text: string | undefined): PromptPartId[] {
	return text === undefined
		? []
		: text
				.split(',')
				.map((part) => (part.trim().split(':')[0] ?? '') as PromptPartId);
}

/** Parses `RUNNING,QUEUED,SLOTS[,SLOWDOWN]`. The slowdown is in percent, and 100 is usual. A load without slots has no meaning. */
function parseLoad(text: string | undefined): ReportedLoad | undefined {
	const [running, queued, slots, slowdownPercent] = (text ?? '')
		.split(',')
		.map((part) => parseCount(part));
	if (running === undefined || queued === undefined || !slots) {
		return undefined;
	}

	return {running, queued, slots, slowdown: (slowdownPercent ?? 100) / 100};
}

/** Parses a decimal number. Of several values the lowest counts. */
function parseRate(value: string | string[] | undefined): number | undefined {
	const rates = parseDecimals(value);
	return rates.length === 0 ? undefined : Math.min(...rates);
}

/** Decodes what the head of any answer of a worker says of its availability. */
export function decodeAvailability(
	status: number,
	headers: Readonly<Record<string, string | string[] | undefined>>,
): Pick<ResponseMetadata, 'isLeaving' | 'holdBack' | 'refusalsPerSecond'> {
	const leaving = headers[headerNames.leaving.toLowerCase()];
	const retryAfter = headers[headerNames.retryAfter.toLowerCase()];
	return {
		isLeaving: [leaving ?? []].flat().some((value) => value.trim() === '1'),
		holdBack: parseHoldBack(status, retryAfter),
		refusalsPerSecond: parseRate(headers[headerNames.brittle.toLowerCase()]),
	};
}

/** Parses the seconds that a worker names when it turns a request away. Of several values the longest counts. */
export function parseHoldBack(
	status: number,
	value: string | string[] | undefined,
): HoldBackRequest | undefined {
	if (status !== 503 || value === undefined) {
		return undefined;
	}

	const seconds = parseDecimals(value);
	return seconds.length === 0
		? {kind: 'invalid', value: String(value).slice(0, maximumLoggedValue)}
		: {kind: 'time', milliseconds: Math.max(...seconds) * 1000};
}
