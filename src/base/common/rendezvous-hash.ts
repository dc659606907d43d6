import {hash32} from './digest.js';

/**
 * Orders candidates for a key by rendezvous hashing (highest random weight). Adding or removing a candidate
 * changes the first choice of only the keys that this candidate wins.
 */
export function rendezvousOrder<T extends string>(
	key: string,
	candidates: readonly T[],
): T[] {
	return candidates
		.map((candidate) => ({candidate, weight: hash32(`${key}\n${candidate}`)}))
		.sort(
			(left, right) =>
				right.weight - left.weight ||
				(left.candidate < right.candidate ? -1 : 1),
		)
		.map(({candidate}) => candidate);
}
