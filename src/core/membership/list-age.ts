/** Share of the drain bound at which a host reads the list itself at the latest, and at the earliest if the bound is short. */
const ageShares = {latest: 0.65, earliest: 0.35} as const;
/** Time that a read takes whose first answer is lost, while the store is slow, and in which a request that was being sent arrives. */
const readReserveMilliseconds = 700;

/** Age of a received target list from which a host reads the list itself, so that it knows a leaving target within the drain bound although one answer is lost. */
export function maximumListAge(drainMilliseconds: number): number {
	return Math.max(
		drainMilliseconds * ageShares.earliest,
		Math.min(
			drainMilliseconds * ageShares.latest,
			drainMilliseconds - readReserveMilliseconds,
		),
	);
}
