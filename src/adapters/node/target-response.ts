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

/** Header by which a target says that it did not run the request, with the reason. */
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

/** Body of a ping answer. */
export const pingResponseSchema = z.object({incarnation: z.string().min(1)});

/** Maps an exchange without an answer. Only a request that cannot have left is unreachable. */
export function toTargetError(error: TransportError): TargetError {
	if (!error.isSent) {
		return new TargetUnreachableError(error.message, {cause: error});
	}

	if (error.reason === 'too-large') {
		return new TargetProtocolError('the answer is too large', {cause: error});
	}

	return new TargetResponseLostError(error.reason, error.message, {
		cause: error,
	});
}

/** Returns the refusal of a target, or undefined when the answer is not an explicit refusal. */
export function parseRefusal(
	headers: IncomingHttpHeaders,
	body: Uint8Array,
): TargetRefusedError | undefined {
	const reason = headers[refusalHeader];
	if (typeof reason !== 'string' || !refusalReasons.has(reason)) {
		return undefined;
	}

	const text = parseJson(body, refusalBodySchema);
	return new TargetRefusedError(
		reason as RefusalReason,
		text.isOk() ? text.value.message : `the target refused: ${reason}`,
	);
}

/** Maps an answer that is not a success. */
export function toResponseError(response: TransportResponse): TargetError {
	return (
		parseRefusal(response.headers, response.body) ??
		new TargetProtocolError(`the target answered ${response.status}`)
	);
}
