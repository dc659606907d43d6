import {type TargetIncarnation} from '../../contracts/ids.js';
import {
	TargetUnreachableError,
	type TargetError,
} from '../../contracts/target-error.js';
import {type TrackedTarget} from './target-directory.js';

const pingTimeoutMilliseconds = 1000;

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

function isConnectionRefused(error: TargetError): boolean {
	if (!(error instanceof TargetUnreachableError)) {
		return false;
	}

	let cause: unknown = error;
	while (cause instanceof Error) {
		if ('code' in cause && cause.code === 'ECONNREFUSED') {
			return true;
		}

		({cause} = cause);
	}

	return false;
}
