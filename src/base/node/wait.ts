import {setTimeout as delay} from 'node:timers/promises';
import {maximumTimerMilliseconds} from '../common/timer-limits.js';

/** Resolves after a duration or when the signal aborts, whichever comes first. It never rejects. */
export async function wait(
	milliseconds: number,
	signal?: AbortSignal,
): Promise<void> {
	try {
		await delay(Math.min(maximumTimerMilliseconds, milliseconds), undefined, {
			...(signal && {signal}),
		});
	} catch {
		// The delay rejects only when it is aborted. Callers check the signal afterwards.
	}
}
