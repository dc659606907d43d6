import {hash32} from './digest.js';

/** Orders the candidates for a key by highest random weight. Few keys move when a candidate comes or goes. */
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
