import {err, ok, type Result} from 'neverthrow';
import {
	type AdapterId,
	type ModelId,
	type RequestId,
	type TargetId,
} from '../contracts/ids.js';
import {
	RequestCodec,
	RequestFormatError,
	type ResponseMetadata,
	type AttemptMetadata,
	type RequestMetadata,
	type ReportedLoad,
} from '../contracts/request-codec.js';
import {headerNames} from './wire.js';

const lowerCase = (names: readonly string[]) =>
	new Set(names.map((name) => name.toLowerCase()));

/** Headers that concern one connection only. */
const hopByHopNames = lowerCase([
	'Connection',
	'Keep-Alive',
	'Proxy-Connection',
	'Proxy-Authenticate',
	'Proxy-Authorization',
	'TE',
	'Trailer',
	'Transfer-Encoding',
	'Upgrade',
	'Expect',
]);

/** Headers that this system sets itself, and those that callers may not send. */
const replacedNames = lowerCase([
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
]);

/** Headers of an answer that tell which target gave it, or concern its connection only. */
const hiddenAnswerNames = lowerCase([
	'Content-Length',
	headerNames.load,
	headerNames.instance,
	headerNames.notRun,
	headerNames.retryAfter,
]);

// Values above these are refused, because they would not fit the types that they are decoded to.
const maximumIdLength = 256;
// Requests of all routes are ranked within these bounds on the wire.
const maximumPriority = 9;

/** Decodes and encodes the platform's headers. */
export class PlatformRequestCodec extends RequestCodec {
	decodeRequest(
		rawHeaders: readonly string[],
	): Result<RequestMetadata, RequestFormatError> {
		const values = new Map<string, string>();
		const forwardedHeaders: string[] = [];
		const connectionNames = namesInConnection(rawHeaders);
		for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
			const name = rawHeaders[index]!;
			const value = rawHeaders[index + 1]!;
			const key = name.toLowerCase();
			if (values.has(key) && key === headerNames.requestId.toLowerCase()) {
				return err(new RequestFormatError('the request has two ids'));
			}

			values.set(key, value);
			if (
				!hopByHopNames.has(key) &&
				!replacedNames.has(key) &&
				!connectionNames.has(key)
			) {
				forwardedHeaders.push(name, value);
			}
		}

		const valueOf = (name: string) => values.get(name.toLowerCase());
		const id = valueOf(headerNames.requestId);
		if (id === undefined || id === '' || id.length > maximumIdLength) {
			return err(new RequestFormatError('the request has no id'));
		}

		const [model, adapter] = (valueOf(headerNames.model) ?? '').split('/');
		const [promptTokens, maximumTokens] = (valueOf(headerNames.tokens) ?? '')
			.split(',')
			.map((part) => readCount(part) ?? 0);
		return ok({
			id: id as RequestId,
			model: model ? (model as ModelId) : undefined,
			adapter: adapter ? (adapter as AdapterId) : undefined,
			promptTokens: promptTokens ?? 0,
			maximumTokens: maximumTokens ?? 0,
			expectedTokens: readCount(valueOf(headerNames.lengthHint)),
			prefixKeys: readPrefixes(
				valueOf(headerNames.promptPrefix),
				model,
				adapter,
			),
			remainingMilliseconds: readCount(valueOf(headerNames.deadline)),
			lastEventId: readCount(valueOf(headerNames.lastEventId)),
			forwardedHeaders,
		});
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
		return {
			status,
			requestId: valueOf(headerNames.requestId) as RequestId | undefined,
			isSigned,
			isNotRun: isMisdirected || valueOf(headerNames.notRun) !== undefined,
			isFramed:
				valueOf('Content-Length') !== undefined ||
				valueOf('Transfer-Encoding') !== undefined,
			isMisdirected,
			respondingTarget: valueOf(headerNames.instance) as TargetId | undefined,
			load: readLoad(valueOf(headerNames.load)),
			forwardedHeaders: passedAnswerHeaders(headers),
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

function namesInConnection(rawHeaders: readonly string[]): Set<string> {
	const names = new Set<string>();
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() !== 'connection') {
			continue;
		}

		for (const name of rawHeaders[index + 1]!.split(',')) {
			names.add(name.trim().toLowerCase());
		}
	}

	return names;
}

function readCount(text: string | undefined): number | undefined {
	if (text === undefined || !/^\s*\d{1,15}\s*$/.test(text)) {
		return undefined;
	}

	return Number(text);
}

/**
 * Reads `ID:TOKENS` pairs. A target keeps a part for one model and adapter and only together with all parts before it,
 * so each prefix is named by the whole path to it.
 */
function readPrefixes(
	text: string | undefined,
	model: string | undefined,
	adapter: string | undefined,
): string[] {
	if (text === undefined) {
		return [];
	}

	const prefixes: string[] = [];
	let path = `${model ?? ''}/${adapter ?? ''}`;
	for (const part of text.split(',')) {
		const [id] = part.trim().split(':');
		path += `|${id ?? ''}`;
		prefixes.unshift(path);
	}

	return prefixes;
}

function readLoad(text: string | undefined): ReportedLoad | undefined {
	const [running, queued, slots, slowness] = (text ?? '')
		.split(',')
		.map((part) => readCount(part));
	if (running === undefined || queued === undefined || slots === undefined) {
		return undefined;
	}

	return {running, queued, slots, slowdown: (slowness ?? 100) / 100};
}

function passedAnswerHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>,
): string[] {
	const passed: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		if (
			value === undefined ||
			hopByHopNames.has(name) ||
			hiddenAnswerNames.has(name)
		) {
			continue;
		}

		for (const each of Array.isArray(value) ? value : [value]) {
			passed.push(name, each);
		}
	}

	return passed;
}
