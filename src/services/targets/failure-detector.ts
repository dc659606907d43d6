import {type TargetIncarnation} from '../../contracts/ids.js';
import {
	TargetUnreachableError,
	type TargetError,
} from '../../contracts/target-error.js';
import {type TrackedTarget} from './target-directory.js';

const pingMilliseconds = 1000;

/**
 * Tells whether the process of a target ended after a stream on it was lost. A timeout is no evidence:
 * a cut network would make suspects of requests that harmed nothing.
 */
export async function detectEndedIncarnation(
	target: TrackedTarget,
	incarnation: TargetIncarnation | undefined,
): Promise<TargetIncarnation | undefined> {
	const {engine} = target;
	if (!engine || incarnation === undefined) {
		return undefined;
	}

	const answer = await engine.ping(pingMilliseconds);
	if (answer.isOk()) {
		return answer.value.incarnation === incarnation ? undefined : incarnation;
	}

	return isConnectionRefused(answer.error) ? incarnation : undefined;
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
