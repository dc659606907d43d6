import {type IncomingHttpHeaders} from 'node:http';
import {z} from 'zod';
import {
	TargetResponseLostError,
	TargetProtocolError,
	TargetRefusedError,
	TargetUnreachableError,
	type RefusalReason,
	type TargetError,
} from '../../contracts/target-error.js';
import {type TransportError, type TransportResponse} from './http-transport.js';
import {parseJson} from './json-body.js';

/** Header by which a target declares that it did not execute the request. Its value is the reason. */
export const refusalHeader = 'target-refusal';

const refusalReasons = new Set<string>([
	'busy',
	'leaving',
	'not-resident',
	'insufficient-memory',
	'stale-token',
	'unknown-request',
	'invalid',
] satisfies RefusalReason[]);

const refusalBodySchema = z.object({message: z.string()});

/** Body of the response to a ping. */
export const pingResponseSchema = z.object({incarnation: z.string().min(1)});

/** Maps a failed exchange to an error of the target. Only a request of which no byte can have been sent counts as unreachable. */
export function toTargetError(error: TransportError): TargetError {
	if (!error.isSent) {
		return new TargetUnreachableError(error.message, {cause: error});
	}

	if (error.reason === 'too-large') {
		return new TargetProtocolError(
			'the response body exceeds the maximum size',
			{cause: error},
		);
	}

	return new TargetResponseLostError(error.reason, error.message, {
		cause: error,
	});
}

/** Returns the refusal of a target, or undefined when the response is not an explicit refusal. */
export function parseRefusal(
	headers: IncomingHttpHeaders,
	body: Uint8Array,
): TargetRefusedError | undefined {
	const reason = headers[refusalHeader];
	if (typeof reason !== 'string' || !refusalReasons.has(reason)) {
		return undefined;
	}

	const parsedBody = parseJson(body, refusalBodySchema);
	return new TargetRefusedError(
		reason as RefusalReason,
		parsedBody.isOk()
			? parsedBody.value.message
			: `the target refused the request: ${reason}`,
	);
}

/** Maps a response with an error status to an error of the target. */
export function toResponseError(response: TransportResponse): TargetError {
	return (
		parseRefusal(response.headers, response.body) ??
		new TargetProtocolError(
			`the target responded with status ${response.status}`,
		)
	);
}
