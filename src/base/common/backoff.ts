import {type RandomSource} from './random-source.js';

/** Bounds of the delay between retries. */
export type BackoffOptions = {
	/** Upper bound of the delay for attempt 0. It doubles with each attempt. */
	readonly initialMilliseconds: number;
	/** Upper bound of the delay for every attempt. */
	readonly maximumMilliseconds: number;
};

/**
 * Returns an exponential backoff delay in milliseconds. It is drawn at random from the upper half of the
 * range for this attempt, so that clients that failed together do not retry together.
 */
export function backoffMilliseconds(
	attempt: number,
	options: BackoffOptions,
	random: RandomSource,
): number {
	const ceiling = Math.min(
		options.maximumMilliseconds,
		options.initialMilliseconds * 2 ** attempt,
	);
	return ceiling * (0.5 + random.next() / 2);
}
