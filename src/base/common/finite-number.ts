/** Cuts infinity, which JSON cannot hold, to the largest number. */
export function toFinite(value: number): number {
	return Math.min(Number.MAX_VALUE, value);
}
