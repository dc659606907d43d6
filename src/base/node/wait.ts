import {setTimeout as delay} from 'node:timers/promises';

/** Waits for a duration or until the signal aborts, whichever comes first. */
export async function wait(
	milliseconds: number,
	signal?: AbortSignal,
): Promise<void> {
	try {
		await delay(milliseconds, undefined, {...(signal && {signal})});
	} catch {
		// The only failure of a delay is its abort, after which the caller checks the signal.
	}
}
