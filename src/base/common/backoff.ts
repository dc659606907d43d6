import {type RandomSource} from './random-source.js';

/** Bounds of a delay between retries. */
export type BackoffOptions = {
	readonly initialMilliseconds: number;
	readonly maximumMilliseconds: number;
};

/** Exponential delay with full jitter, so that callers that failed together do not retry together. */
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
