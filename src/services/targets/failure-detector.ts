import {type TargetIncarnation} from '../../contracts/ids.js';
import {
	TargetResponseLostError,
	TargetUnreachableError,
	type TargetError,
} from '../../contracts/target-error.js';
import {type TrackedTarget} from './target-directory.js';

const pingTimeoutMilliseconds = 1000;
/** Code of the error of undici for a connection that is not established in time. */
const connectTimeoutCode = 'UND_ERR_CONNECT_TIMEOUT';

/**
 * Determines after the loss of a stream whether the target process that served it has ended. Returns its
 * incarnation if the target refuses connections or responds as another incarnation, otherwise undefined.
 * A timeout is not evidence: during a network partition it would mark harmless requests as suspect.
 */
export async function detectEndedIncarnation(
	target: TrackedTarget,
	incarnation: TargetIncarnation | undefined,
): Promise<TargetIncarnation | undefined> {
	const {engine} = target;
	if (!engine || incarnation === undefined) {
		return undefined;
	}

	const response = await engine.ping(pingTimeoutMilliseconds);
	if (response.isOk()) {
		return response.value.incarnation === incarnation ? undefined : incarnation;
	}

	return isConnectionRefused(response.error) ? incarnation : undefined;
}

/** True if nothing arrived from the target within the timeout of a ping. The target may be paused and continue later. */
export function isSilence(error: TargetError): boolean {
	return error instanceof TargetUnreachableError
		? codesOf(error).every((code) => code === connectTimeoutCode)
		: error instanceof TargetResponseLostError && error.loss === 'timeout';
}

function isConnectionRefused(error: TargetError): boolean {
	return (
		error instanceof TargetUnreachableError &&
		codesOf(error).includes('ECONNREFUSED')
	);
}

/** Codes of the errors that caused an error. */
function codesOf(error: TargetError): unknown[] {
	const codes: unknown[] = [];
	let cause: unknown = error;
	while (cause instanceof Error) {
		if ('code' in cause) {
			codes.push(cause.code);
		}

		({cause} = cause);
	}

	return codes;
}
